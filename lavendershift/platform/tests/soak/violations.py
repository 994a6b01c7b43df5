"""Checks of a soak run, from the records of callers, servers and node logs."""

import json
from collections import Counter, defaultdict

from lavendershift.logs import Event
from lavendershift.platform.tests.soak.callers import OUTPUT_TOKENS
from lavendershift.platform.tests.soak.endings import (
    CLOSE_RACE_S,
    SERVICES,
    check_endings,
    is_time_over,
    was_silenced,
)
from lavendershift.platform.tests.soak.evacuations import check_evacuations
from lavendershift.tests.limitbounds import STABLE_WINDOW_S, find_excess
from lavendershift_standins.platformserver import make_event

NOT_RUN_STATUSES = (408, 421, 429, 503)  # responses to requests that never run
ONCE = ("record", "once")  # kinds of requests that may run once at most
EVENTS = [make_event(number) for number in range(1, 9)]
STREAMS = [b"".join(EVENTS[:count]) for count in range(1, len(EVENTS) + 1)]
KEY_OWNERS = {"key-1": "plume", "key-2": "encre", "key-3": "sable"}
TOKENS_PER_EVENT = 5
DRAIN_S = 2.0  # time until nodes stop using a draining or leaving server
PAUSE_DELAY_S = 0.5  # time until a node applies a Retry-After of a server
MAX_PAUSE_REQUESTS = 2  # requests that a node may send a server during its Retry-After
MAX_CRASHES = 5  # crashes after which requests with a deadly part have to stop
MAX_LATE_DEADLY = 3  # requests with the part that may still reach servers
MAX_NODE_PAUSE_S = 5.0  # maximum duration of a SIGSTOP


def find_violations(world, starts):
    """Return the violations of a finished run as messages.

    ``starts`` are the start times of its phases.
    """
    calls = [call for caller in world.callers for call in caller.calls]
    received = [
        each
        for servers in world.servers.values()
        for server in servers
        for each in server.received
    ]
    runs = Counter(
        request
        for servers in world.servers.values()
        for server in servers
        for request in server.runs
    )
    violations = list(world.violations)
    violations += check_responses(calls)
    violations += check_runs(world, calls)
    violations += check_headers(calls, received)
    violations += check_spending(world, calls, runs)
    violations += check_endings(world, calls)
    violations += check_planned_phase(world, calls, runs, starts)
    violations += check_drains(world, calls, starts)
    violations += check_evacuations(world, calls, starts)
    violations += check_departures(world, calls)
    violations += check_pauses(world, calls)
    violations += check_limits(world, calls)
    violations += check_deadly_parts(world, calls, received)
    violations += check_logs(world)
    for check in world.checks:
        violations += check(world)
    if len(calls) < 100 or not any(call.status == 200 for call in calls):
        violations.append(
            f"expected at least 100 requests and one success, got {len(calls)} requests"
        )
    return violations


def check_responses(calls):
    """Check that each success carries the complete events of its own request."""
    for each in calls:
        if each.status != 200:
            continue
        if each.headers.get("X-Lavendershift-Attempt-Id") != each.id:
            yield f"{each.id} got the response of another request"
        if not each.headers.get("X-Lavendershift-Response-Signature"):
            yield f"{each.id} got a success that no server sent"
        # Faulty servers of both services may respond with a plain body. A node
        # forwards an event stream by complete events, any other body completely
        # or not at all.
        bodies = [f"done {each.id}".encode()]
        if each.headers.get("Content-Type", "").startswith("text/event-stream"):
            bodies = STREAMS
            if SERVICES[each.kind] != "pool":
                yield f"{each.id} got a stream"
        if each.is_complete and each.body != bodies[-1]:
            yield f"{each.id} got a complete body of {describe_body(each.body)}"
        elif each.body not in [b"", *bodies]:
            yield f"{each.id} got an incomplete body of {describe_body(each.body)}"


def describe_body(body):
    """Return the number of events in order and the bytes that follow them."""
    count = sum(body.startswith(part) for part in STREAMS)
    rest = body[len(STREAMS[count - 1]) :] if count else body
    return f"{count} events in order, then {rest[:60]!r}"


def check_runs(world, calls):
    """Check that non-repeatable requests run once, and never if reported as not run.

    A server that restarts under another id stays one server of the world, and a run
    that begins after the response counts as well.
    """
    places = defaultdict(list)
    for servers in world.servers.values():
        for server in servers:
            for request in server.runs:
                places[request].append(server.name)
    for each in calls:
        if each.kind not in ONCE:
            continue
        ran = places[each.id]
        if len(ran) > 1:
            yield f"{each.id} ({each.kind}) ran {len(ran)} times, at {', '.join(ran)}"
        if ran and each.status in NOT_RUN_STATUSES:
            yield (
                f"{each.id} ({each.kind}) ran at {', '.join(ran)}, but status "
                f"{each.status} means not run"
            )


def check_headers(calls, received):
    """Check that servers see the authenticated customer and no API key."""
    owners = {each.id: KEY_OWNERS[each.key] for each in calls}
    for each in received:
        owner = owners.get(each.id)
        if "authorization" in each.headers:
            yield f"{each.id} was forwarded with its API key"
        if owner and each.headers.get("x-lavendershift-tenant") != owner:
            yield f"{each.id} was forwarded for another customer"


def check_spending(world, calls, runs):
    """Check that no customer uses more tokens than it has prepaid."""
    spent = defaultdict(int)
    for each in calls:
        if SERVICES[each.kind] == "pool" and runs[each.id]:
            events = each.body.count(b"\n\n") if each.status == 200 else 0
            output = min(events * TOKENS_PER_EVENT, OUTPUT_TOKENS)
            spent[KEY_OWNERS[each.key]] += each.input_tokens + output
    for customer, tokens in spent.items():
        if tokens > world.prepaid[customer]:
            yield f"{customer} spent {tokens}, prepaid {world.prepaid[customer]}"


def check_planned_phase(world, calls, runs, starts):
    """Check that planned operations and silences interrupt no request.

    A request may reach its timeout if a server of its service was silent. Faults may
    end those that last into the next phase, see ``check_endings``.
    """
    start, end = starts[0], starts[1]
    for each in calls:
        if not start < each.sent_at < end - 0.5 or each.closed_early:
            continue
        if each.ended_at > end:
            continue
        if each.status not in (200, 401, 429) or not each.is_complete:
            hit_close = each.is_reused and not runs[each.id]
            if each.ended_at - each.sent_at <= CLOSE_RACE_S and hit_close:
                continue
            if not runs[each.id] and not each.status and not each.is_reused:
                continue  # no connection was made
            if is_time_over(world, each) and was_silenced(world, each):
                continue
            yield f"{each.id} at {each.node} got {each.status} in the planned phase"


def check_drains(world, calls, starts):
    """Check that in the planned phase a draining server gets no new request.

    Nodes have ``DRAIN_S`` to apply the server's entry.
    """
    calls_by_id = {each.id: each for each in calls}
    for server, start, end in world.drains:
        for received in server.received:
            each = calls_by_id.get(received.id)
            if each is None or not start + DRAIN_S < each.sent_at < end:
                continue
            if each.sent_at < starts[1]:
                yield f"{each.id} at {each.node} reached draining {server.name}"


def check_departures(world, calls):
    """Check that a node stops using a server whose response announced its departure.

    Only nodes that forwarded such a response completely are known to have read it.
    """
    calls_by_id = {each.id: each for each in calls}
    for server, start, end in world.departures:
        requests = [r for r in server.received if start <= r.at < end]
        announced = {}
        for each in (calls_by_id[r.id] for r in requests if r.id in calls_by_id):
            if each.is_complete and each.headers.get("Server-Leaving") == "1":
                first = announced.get(each.node, each.ended_at)
                announced[each.node] = min(first, each.ended_at)
        for received in requests:
            each = calls_by_id.get(received.id)
            if each is None or each.node not in announced:
                continue
            since = announced[each.node]
            if is_disturbed(world, each.node, since, received.at):
                continue
            if each.sent_at > since + DRAIN_S:
                yield f"{each.id} at {each.node} reached leaving {server.name}"


def check_pauses(world, calls):
    """Check that a node respects the Retry-After of a server.

    A few requests, at most ``MAX_PAUSE_REQUESTS``, may still arrive.
    """
    nodes = {each.id: each.node for each in calls}
    for server, behaviour, seconds in world.pauses:
        for request, answered_at in behaviour.answered:
            node, until = nodes.get(request), answered_at + seconds
            # The incarnation after a crash has asked for no pause.
            crashes = world.list_crashes(server)
            until = min([until, *(at for at in crashes if at > answered_at)])
            if node is None or is_disturbed(world, node, answered_at, until):
                continue
            requests = [
                received.id
                for received in server.received
                if answered_at + PAUSE_DELAY_S < received.at < until
                and nodes.get(received.id) == node
            ]
            if len(requests) > MAX_PAUSE_REQUESTS:
                yield f"{server.name} got {requests[:4]} from {node} during Retry-After"


def check_limits(world, calls):
    """Check that all nodes together keep to the limit that a server names.

    A node has to obey from ``OBEY_S`` after it forwarded a response with the limit.
    """
    nodes = {each.id: each.node for each in calls}
    ended = {each.id: each.ended_at for each in calls if "Server-Limit" in each.headers}
    for server, limit, start, end in world.limits:
        requests = [r for r in server.received if start <= r.at <= end]
        forwarded = [(nodes[r.id], ended[r.id]) for r in requests if r.id in ended]
        arrivals = [
            (r.at, nodes[r.id])
            for r in requests
            if r.id in nodes and not is_disturbed(world, nodes[r.id], r.at, r.at)
        ]
        for excess in find_excess(float(limit), arrivals, forwarded):
            yield f"{server.name} with the limit {limit} got {excess}"


def check_deadly_parts(world, calls, received):
    """Check that requests with a deadly part stop after a few crashes.

    At most ``MAX_LATE_DEADLY`` may reach servers later than ``STABLE_WINDOW_S`` after
    the last of ``MAX_CRASHES`` crashes, those of disturbed nodes left out.
    """
    nodes = {each.id: each.node for each in calls}
    for part in world.deadly_parts:
        arrivals = sorted(
            (each.at, nodes[each.id])
            for each in received
            if part in each.parts and each.id in nodes
        )
        if not arrivals:
            continue
        crashes = sorted(at for _, at in world.crashes if at >= arrivals[0][0])
        if len(crashes) < MAX_CRASHES:
            continue
        since = crashes[MAX_CRASHES - 1] + STABLE_WINDOW_S
        late = [
            node
            for at, node in arrivals
            if at > since and not is_disturbed(world, node, at, at)
        ]
        if len(late) > MAX_LATE_DEADLY:
            yield f"{len(late)} requests with {part} reached servers late"


def is_disturbed(world, node, since, until):
    """Return whether a node was paused or started between two times.

    A SIGSTOP or start up to ``MAX_NODE_PAUSE_S`` earlier counts as well.
    """
    return any(since - MAX_NODE_PAUSE_S <= at <= until for at in world.disturbed[node])


def check_logs(world):
    """Check that node logs hold known events only, and no errors.

    Within one process the configuration version never decreases.
    """
    known = {event.value for event in Event}
    for node in world.nodes:
        versions = defaultdict(int)
        starts = 0
        for number, text in enumerate(node.log_path.read_text().splitlines()):
            try:
                line = json.loads(text)
            except ValueError:
                if number and not text.startswith("{"):
                    yield f"{node.name} logged {text[:80]!r}"
                continue  # the last line of a killed process may be incomplete
            starts += line["event"] == "process_started"
            if line["event"] not in known:
                yield f"{node.name} logged an unknown event {line['event']}"
            if line["event"] in ("internal_error", "library_message"):
                yield f"{node.name} logged {text[:200]}"
            if line["event"] == "configuration_changed":
                if line["version"] < versions[starts]:
                    yield f"{node.name} reverted to version {line['version']}"
                versions[starts] = line["version"]
