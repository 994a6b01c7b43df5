"""Checks of how requests of a soak run ended, beside what their servers did."""

import json
from bisect import bisect_right
from collections import defaultdict
from datetime import datetime
from enum import Enum

from lavendershift.logs import Event
from lavendershift.platform.tests.soak.silences import SILENCE_S

# Service of each kind of request; "once" is a stream that can't be resumed.
SERVICES = {"index": "pool", "record": "ledger", "read": "ledger", "once": "pool"}
TIMEOUT_SLACK_S = 0.1  # time before the timeout at which a response may be given up
SCHEDULING_S = 0.1  # inaccuracy of recorded times on a busy machine
STOP_WINDOW_S = 3.0  # time after SIGTERM in which callers may still send requests
STOP_END = 1 / 6  # last part of the grace period, in which requests may be cut
# Maximum time from the last byte of a request to the end of a connection that was
# closed without reading it.
CLOSE_RACE_S = 0.2


class Ending(Enum):
    """Why a request ended, or why a node left the server that worked on it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed without a server that went on"
    CALLER_GONE = "caller gone"
    TIME_OVER = "time over"
    STOP_ENDED = "stop ended"
    SERVER_BROKE_OFF = "server broke off"
    REPLACED = "another attempt delivered"
    NOT_READ = "not read"
    NODE_KILLED = "node killed"


def check_endings(world, calls):
    """Check that each request and each attempt ended for a reason of ``Ending``.

    A server doesn't go on if it breaks a response off by its script, if it sent a part
    of a copied refusal before the response, if it crashes, if
    its link is cut or if it is silent for longer than ``SILENCE_S``. Another attempt
    has delivered once its server has sent an event, the end of a stream without one, or
    a part of another body; if it breaks off afterwards, the request may end with it.
    """
    attempts = defaultdict(list)
    for servers in world.servers.values():
        for server in servers:
            for handled in server.handled:
                attempts[handled.received.id].append((server, handled))
    timeouts = ActiveTimeouts(world)
    for each in calls:
        listed = attempts[each.id]
        ending = find_ending(world, each, listed, timeouts)
        world.endings[ending] += 1
        if ending is None:
            yield describe_ending(world, each, listed, timeouts)
            continue
        for server, handled in listed:
            if handled.was_cut and goes_on(world, each, server, handled, listed):
                at = handled.ended_at
                if ending is Ending.ANSWERED and list_delivered(handled, listed):
                    continue
                if not find_excuse(world, each, listed, timeouts, at):
                    yield (
                        f"{each.id} ({each.kind}) at {each.node} left {server.name} "
                        f"after {at - each.sent_at:.2f} s, though it went on and no "
                        "other had delivered"
                    )


def find_ending(world, call, attempts, timeouts):
    """Return why a request ended, ``None`` if for no allowed reason."""
    if call.is_complete and call.status not in (502, 504):
        return Ending.ANSWERED if call.status == 200 else Ending.REFUSED
    excuse = find_excuse(world, call, attempts, timeouts, call.ended_at)
    if excuse is not None and not (excuse is Ending.STOP_ENDED and not call.status):
        return excuse
    if any(goes_on(world, call, *attempt, attempts) for attempt in attempts):
        return None
    if attempts:
        left = [handled for _, handled in attempts if was_replaced(handled, attempts)]
        return Ending.REPLACED if left else Ending.SERVER_BROKE_OFF
    if call.status:
        return Ending.FAILED
    is_whole = call.whole_at is not None
    if not is_whole or call.ended_at - call.whole_at <= CLOSE_RACE_S:
        return Ending.NOT_READ
    return None


def find_excuse(world, call, attempts, timeouts, at):
    """Return what allows to end a request at a time although its server goes on."""
    if call.closed_early:
        return Ending.CALLER_GONE
    if at - call.sent_at > timeouts.find(call, at) - TIMEOUT_SLACK_S:
        return Ending.TIME_OVER
    if any(
        name == call.node and overlaps(call, *times) for name, *times in world.kills
    ):
        return Ending.NODE_KILLED
    stop = find_stop(world, call, at)
    if stop is None or at < stop + world.grace_s * (1 - STOP_END) - SCHEDULING_S:
        return None
    is_late = call.whole_at is None or call.whole_at > stop + STOP_WINDOW_S
    at_work = [h for _, h in attempts if (h.ended_at or at) >= at - SCHEDULING_S]
    return Ending.STOP_ENDED if at_work and not is_late else None


def find_stop(world, call, at):
    """Return the time of the SIGTERM to the process that is stopping at a time."""
    stops = [t for name, t in world.stops if name == call.node and t < at]
    launches = [t for name, t in world.launches if name == call.node and t < at]
    stop = max(stops, default=None)
    return None if stop is None or max(launches) > stop else stop


def goes_on(world, call, server, handled, attempts):
    """Return whether a sound server works on a request that no other delivers."""
    return (
        is_sound(world, handled)
        and set(world.deadly_parts).isdisjoint(handled.received.parts)
        and not has_trouble(world, server, call)
        and not was_replaced(handled, attempts)
    )


def is_sound(world, handled):
    """Return whether a server goes on with a request by its script."""
    fails = handled.behaviour in world.fails_resumed
    is_resumed = "last-event-id" in handled.received.headers
    if handled.is_behind_part:
        return False
    return handled.behaviour in world.sound and not (fails and is_resumed)


def describe_ending(world, call, attempts, timeouts):
    """Return the message for a request that ended for no allowed reason."""
    servers = [
        server.name
        for server, handled in attempts
        if goes_on(world, call, server, handled, attempts)
    ]
    what = "a truncated" if call.status == 200 else "an" if call.status else "no"
    stop = find_stop(world, call, call.ended_at)
    in_stop = ""
    if stop is not None:
        sent_s, ended_s = (call.whole_at or call.sent_at) - stop, call.ended_at - stop
        in_stop = f", sent {sent_s:.2f} s and ended {ended_s:.2f} s after SIGTERM"
    return (
        f"{call.id} ({call.kind}) at {call.node} got {what} answer ({call.status}) "
        f"after {call.ended_at - call.sent_at:.2f} s of "
        f"{timeouts.find(call, call.ended_at):.2f} s, though "
        f"{', '.join(servers) or 'its node'} went on{in_stop}"
    )


class ActiveTimeouts:
    """Timeouts of the routes that were in force at each node, by the nodes' logs."""

    def __init__(self, world):
        self._world = world
        self._changes = {}
        for node in world.nodes:
            changes = self._changes[node.name] = [(float("-inf"), world.first_version)]
            for text in node.log_path.read_text().splitlines():
                if Event.CONFIGURATION_CHANGED.value not in text:
                    continue
                line = json.loads(text)
                at = datetime.fromisoformat(line["time"]).timestamp()
                changes.append((at - world.clock_offset, line["version"]))

    def find(self, call, at):
        """Return the time that a request has, by the longest timeout until ``at``.

        Versions count from the time at which the whole request was sent.
        """
        changes = self._changes[call.node]
        received_at = (call.whole_at or call.sent_at) + SCHEDULING_S
        first = bisect_right(changes, (received_at, float("inf"))) - 1
        last = bisect_right(changes, (at - SCHEDULING_S, float("inf")))
        longest = max(
            self._world.timeouts[version][call.kind]
            for _, version in changes[first : max(last, first + 1)]
        )
        return min(longest, call.deadline_s)


def is_time_over(world, call):
    """Return whether a request lasted until its deadline or its route's timeout."""
    lasted_s = call.ended_at - call.sent_at
    timeout_s = world.timeouts[world.first_version][call.kind]
    return lasted_s > min(timeout_s, call.deadline_s) - TIMEOUT_SLACK_S


def list_delivered(handled, attempts):
    """Return the other attempts that had delivered when one was left."""
    return [
        other
        for _, other in attempts
        if other is not handled
        and other.delivered_at is not None
        and other.delivered_at < handled.ended_at
    ]


def was_replaced(handled, attempts):
    """Return whether an attempt was left for one that delivered and went on.

    A server that ends its response at the same moment sees the close afterwards.
    """
    closed_at = handled.closed_at or float("inf")
    is_left = handled.was_left or closed_at < handled.ended_at + SCHEDULING_S
    return is_left and any(
        other.ended_at is None or other.ended_at > handled.ended_at - SCHEDULING_S
        for other in list_delivered(handled, attempts)
    )


def has_trouble(world, server, call):
    """Return whether a server crashed, or was cut off or hung, during a request."""
    repair_s = call.deadline_s  # data sent before the repair may still be missing
    return (
        any(overlaps(call, at, at) for at in world.list_crashes(server))
        or any(
            name == server.name and overlaps(call, start, end + repair_s)
            for name, start, end in world.cuts
        )
        or any(
            end - start > SILENCE_S[1] + SCHEDULING_S and overlaps(call, start, end)
            for start, end in server.silences
        )
    )


def was_silenced(world, call):
    """Return whether a server of a request's service was silent during it."""
    return any(
        overlaps(call, start, end)
        for server in world.servers[SERVICES[call.kind]]
        for start, end in [*server.silences, *world.scripted_silences[server.name]]
    )


def overlaps(call, start, end):
    """Return whether a request was in progress between two times."""
    return start <= call.ended_at + SCHEDULING_S and end >= call.sent_at - SCHEDULING_S
