"""What must hold, judged from what callers, servers and logs saw."""

import json
from collections import Counter, defaultdict

from lavendershift.logs import Event
from lavendershift.platform.tests.soak.callers import OUTPUT_TOKENS
from lavendershift_standins.platformserver import make_event

PROMISES = (408, 421, 429, 503)  # not run, and never will be
EVENTS = [make_event(number) for number in range(1, 9)]
STREAMS = [b"".join(EVENTS[:count]) for count in range(1, len(EVENTS) + 1)]
OWNERS = {"key-1": "plume", "key-2": "encre", "key-3": "sable"}
TOKENS_PER_EVENT = 5
DRAIN_S = 2.0
TURNED_AWAY_S = 0.5  # after which a server that wants a pause gets nothing
MOST_IN_PAUSE = 2
PAUSE_S = 5.0  # the longest time for which a node is paused
CROSSING_S = 0.2  # within which a request may cross the close of its connection


def judge(world, starts):
    """Return the violations of a seed that was played."""
    seen = [each for caller in world.callers for each in caller.calls]
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
    found = list(world.violations)
    found += judge_answers(seen)
    found += judge_runs(seen, runs)
    found += judge_headers(seen, received)
    found += judge_spending(world, seen, runs)
    found += judge_calm_part(world, seen, runs, starts)
    found += judge_drains(world, seen, starts)
    found += judge_departures(world, seen)
    found += judge_pauses(world, seen)
    found += judge_logs(world)
    if len(seen) < 100 or not any(each.status == 200 for each in seen):
        found.append(f"only {len(seen)} requests")
    return found


def judge_answers(seen):
    for each in seen:
        if each.status != 200:
            continue
        if each.headers.get("X-Lavendershift-Attempt-Id") != each.id:
            yield f"{each.id} got the answer of another request"
        if not each.headers.get("X-Lavendershift-Response-Signature"):
            yield f"{each.id} got a success that no server made"
        # Spoilt servers of either kind answer with a plain body. Of events a
        # node hands on whole ones only, of other bodies nothing but the whole.
        bodies = [f"done {each.id}".encode()]
        if each.headers.get("Content-Type", "").startswith("text/event-stream"):
            bodies = STREAMS
            if each.kind != "index":
                yield f"{each.id} got a stream"
        if each.is_complete and each.body != bodies[-1]:
            yield f"{each.id} got as whole {describe_body(each.body)}"
        elif each.body not in [b"", *bodies]:
            yield f"{each.id} got {describe_body(each.body)}"


def describe_body(body):
    """Return where a body stops to be events in order."""
    count = sum(body.startswith(part) for part in STREAMS)
    rest = body[len(STREAMS[count - 1]) :] if count else body
    return f"{count} events in order, then {rest[:60]!r}"


def judge_runs(seen, runs):
    for each in seen:
        if each.kind != "record":
            continue
        if runs[each.id] > 1:
            yield f"{each.id} ran {runs[each.id]} times"
        if runs[each.id] and each.status in PROMISES:
            yield f"{each.id} ran and was answered {each.status}"


def judge_headers(seen, received):
    owners = {each.id: OWNERS[each.key] for each in seen}
    for each in received:
        owner = owners.get(each.id)
        if "authorization" in each.headers:
            yield f"{each.id} was sent with its key"
        if owner and each.headers.get("x-lavendershift-tenant") != owner:
            yield f"{each.id} was sent for another customer"


def judge_spending(world, seen, runs):
    spent = defaultdict(int)
    for each in seen:
        if each.kind == "index" and runs[each.id]:
            events = each.body.count(b"\n\n") if each.status == 200 else 0
            output = min(events * TOKENS_PER_EVENT, OUTPUT_TOKENS)
            spent[OWNERS[each.key]] += each.input_tokens + output
    for customer, tokens in spent.items():
        if tokens > world.prepaid[customer]:
            yield f"{customer} spent {tokens} of {world.prepaid[customer]}"


def judge_calm_part(world, seen, runs, starts):
    """Planned work cuts nothing, and a draining server gets nothing new."""
    began, ended = starts[0], starts[1]
    for each in seen:
        if not began < each.sent_at < ended - 0.5 or each.closed_early:
            continue
        if each.status not in (200, 401, 429) or not each.is_complete:
            crossed = each.is_reused and not runs[each.id]
            if each.ended_at - each.sent_at <= CROSSING_S and crossed:
                continue
            if not runs[each.id] and not each.status and not each.is_reused:
                continue  # no connection was made
            yield f"{each.id} at {each.node} ended with {each.status} in calm"


def judge_drains(world, seen, starts):
    """In calm a server gets nothing new once its entry says for long that it leaves."""
    callers = {each.id: each for each in seen}
    for server, began, ended in world.drains:
        for received in server.received:
            each = callers.get(received.id)
            if each is None or not began + DRAIN_S < each.sent_at < ended:
                continue
            if each.sent_at < starts[1]:
                yield f"{each.id} at {each.node} reached {server.name}, which drained"


def judge_departures(world, seen):
    """A node that passed an answer on which says so sends its server nothing more."""
    callers = {each.id: each for each in seen}
    for server, began, ended in world.departures:
        times = [r for r in server.received if began <= r.at < ended]
        told = {}
        for each in (callers[r.id] for r in times if r.id in callers):
            if each.is_complete and each.headers.get("Server-Leaving") == "1":
                first = told.get(each.node, each.ended_at)
                told[each.node] = min(first, each.ended_at)
        for received in times:
            each = callers.get(received.id)
            if each is None or each.node not in told:
                continue
            since = told[each.node]
            if is_disturbed(world, each.node, since, received.at):
                continue
            if each.sent_at > since + DRAIN_S:
                yield f"{each.id} at {each.node} reached {server.name}, which had left"


def judge_pauses(world, seen):
    """A server gets no more than two requests from a node that it asked to wait."""
    nodes = {each.id: each.node for each in seen}
    for server, behaviour, seconds in world.pauses:
        for request, answered_at in behaviour.answered:
            node, until = nodes.get(request), answered_at + seconds
            if node is None or is_disturbed(world, node, answered_at, until):
                continue
            reached = [
                received.id
                for received in server.received
                if answered_at + TURNED_AWAY_S < received.at < until
                and nodes.get(received.id) == node
            ]
            if len(reached) > MOST_IN_PAUSE:
                yield f"{server.name} got {reached[:4]} from {node} in a pause"


def is_disturbed(world, node, since, until):
    """Whether a node was stopped, paused or started in a time."""
    return any(since - PAUSE_S <= at <= until for at in world.disturbed[node])


def judge_logs(world):
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
                continue  # the last line of a killed process may be cut
            starts += line["event"] == "process_started"
            if line["event"] not in known:
                yield f"{node.name} logged an unknown event {line['event']}"
            if line["event"] in ("internal_error", "library_message"):
                yield f"{node.name} logged {text[:200]}"
            if line["event"] == "configuration_changed":
                if line["version"] < versions[starts]:
                    yield f"{node.name} went back to version {line['version']}"
                versions[starts] = line["version"]
