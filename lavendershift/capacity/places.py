"""Places at the servers of a plain service with few slots, shared by all VMs.

One VM, the keeper of the service, grants the places. Requests without a free place wait
at the keeper, in order of urgency; of equal urgency, those that can still meet their
target go first, the earliest target before others. A request that can't finish in its
time is refused, with the time after which it could::

    queue = PlaceQueue(rng)
    queue.set_servers({"i-7f3a91c2": PlaceServer(places=7, factor=1.0)})
    decision = queue.request(ticket, now)

A place is free again when its holder releases it, or after some time, as holders may
stop and datagrams may be lost. Servers have queues of their own, so that a place that
is granted twice costs a wait and no refusal.
"""

import random
from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

# Time of work before any was measured; the VMs' first requests correct it.
INITIAL_WORK = timedelta(milliseconds=100)
WORK_WEIGHT = 0.05  # weight of the newest request in the mean time of work
# Weights of the newest request in the least time of work, if it took less and if more.
# Requests of one service may need less time than the mean; none is refused for that.
LESS_WEIGHT, MORE_WEIGHT = 0.5, 0.005
# Time after which a place that was not released is free, as a multiple of the work, and
# at least. Work that takes longer only fills the server's own queue.
EXPIRY_FACTOR = 8
MIN_EXPIRY = timedelta(seconds=2)
MAX_WAITING = 2000  # requests that wait; far more than can finish in any usual deadline
MIN_DELAY = timedelta(milliseconds=50)  # shortest retry delay of a refusal


Holder = tuple[tuple[str, int] | None, int]  # a VM, `None` for this one, and a number


class PlaceServer(NamedTuple):
    """The places at a server, and its times relative to the usual ones."""

    places: int
    factor: float = 1.0


class Ticket(NamedTuple):
    """A request for a place; ``target_at`` and ``end_at`` are times of its response."""

    holder: Holder
    urgency: int
    target_at: timedelta
    end_at: timedelta


class Decision(NamedTuple):
    """The server where a place was granted, ``None`` if the request was refused.

    ``delay`` is the time after which a refused caller should return.
    """

    holder: Holder
    server: str | None
    delay: timedelta = timedelta()


class _Grant(NamedTuple):
    server: str
    at: timedelta


class PlaceQueue:
    """The places of one service, and the requests that wait for them."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._servers: Mapping[str, PlaceServer] = {}
        self._used: dict[str, int] = {}
        # Numbers of the newest grants, so that idle servers take turns.
        self._turns: dict[str, int] = {}
        self._grants_made = 0
        self._grants: dict[Holder, _Grant] = {}
        self._waiting: dict[Holder, Ticket] = {}
        self._work = self._least_work = INITIAL_WORK

    @property
    def waiting(self) -> int:
        """The number of requests that wait."""
        return len(self._waiting)

    @property
    def holders(self) -> int:
        """The number of places in use."""
        return len(self._grants)

    def set_servers(self, servers: Mapping[str, PlaceServer]) -> None:
        """Set the servers that may be sent requests now."""
        self._servers = servers

    def request(self, ticket: Ticket, now: timedelta) -> Decision | None:
        """Grant a place or refuse one at once; return ``None`` if the request waits."""
        if ticket.holder in self._grants:  # the reply to it was perhaps lost
            return Decision(ticket.holder, self._grants[ticket.holder].server)
        if ticket.holder in self._waiting:
            return None
        wait = self._estimate_wait(ticket, now)
        if not wait:
            return self._grant(ticket, now)
        late_by = now + wait + self._least_work - ticket.end_at
        if late_by > timedelta() or len(self._waiting) >= MAX_WAITING:
            return self._refuse(ticket, late_by)
        self._waiting[ticket.holder] = ticket
        return None

    def release(self, holder: Holder, now: timedelta, has_run: bool) -> None:
        """Free a place, or end the wait for one."""
        self._waiting.pop(holder, None)
        grant = self._grants.pop(holder, None)
        if grant is None:
            return
        self._used[grant.server] -= 1
        if has_run:
            took = now - grant.at
            self._work += (took - self._work) * WORK_WEIGHT
            weight = LESS_WEIGHT if took < self._least_work else MORE_WEIGHT
            self._least_work += (took - self._least_work) * weight

    def settle(self, now: timedelta) -> list[Decision]:
        """Decide on the requests that wait, as far as possible now."""
        self._expire(now)
        decisions = []
        has_place = self._find_server() is not None
        for ticket in sorted(
            self._waiting.values(), key=lambda t: self._make_rank(t, now)
        ):
            if now + self._least_work > ticket.end_at:
                del self._waiting[ticket.holder]
                late_by = now + self._least_work - ticket.end_at
                decisions.append(self._refuse(ticket, late_by))
            elif has_place:
                del self._waiting[ticket.holder]
                decisions.append(self._grant(ticket, now))
                has_place = self._find_server() is not None
        return decisions

    def _estimate_wait(self, ticket: Ticket, now: timedelta) -> timedelta:
        """Return the time until a new request gets a place, 0 if one is free."""
        self._expire(now)
        if not self._waiting and self._find_server() is not None:
            return timedelta()
        rank = self._make_rank(ticket, now)
        ahead = sum(self._make_rank(t, now) <= rank for t in self._waiting.values())
        return self._work * ((ahead + 1) / self._count_places())

    def _count_places(self) -> float:
        places = sum(s.places / s.factor for s in self._servers.values())
        return max(places, 1.0)

    def _make_rank(self, ticket: Ticket, now: timedelta) -> tuple[int, bool, timedelta]:
        """Return the key by which waiting requests are ordered."""
        is_late = now + self._least_work > ticket.target_at
        at = ticket.end_at if is_late else ticket.target_at
        return ticket.urgency, is_late, at

    def _find_server(self) -> str | None:
        """Return the server with a free place where work is done first."""
        free = [
            (self._find_use(name, server), self._find_turn(name), name)
            for name, server in self._servers.items()
            if self._used.get(name, 0) < server.places
        ]
        return min(free)[2] if free else None

    def _find_turn(self, name: str) -> int:
        """Return the number of a server's newest grant, 0 unless all are idle."""
        return 0 if self._grants else self._turns.get(name, 0)

    def _find_use(self, name: str, server: PlaceServer) -> float:
        """Return the share of a server's places in use with one more, by its speed."""
        return (self._used.get(name, 0) + 1) * server.factor / server.places

    def _grant(self, ticket: Ticket, now: timedelta) -> Decision:
        name = self._find_server()
        assert name is not None
        self._grants[ticket.holder] = _Grant(name, now)
        self._used[name] = self._used.get(name, 0) + 1
        self._grants_made += 1
        self._turns[name] = self._grants_made
        return Decision(ticket.holder, name)

    def _refuse(self, ticket: Ticket, late_by: timedelta) -> Decision:
        """Refuse a request until it could finish in its time.

        The delays are spread over the time in which the waiting requests are served,
        so that callers don't return together.
        """
        backlog = self._work * (len(self._waiting) / self._count_places())
        delay = max(late_by, MIN_DELAY) + backlog * self._rng.random()
        return Decision(ticket.holder, None, delay * self._rng.uniform(1, 1.25))

    def _expire(self, now: timedelta) -> None:
        """Free the places that were granted too long ago; they are in order of time."""
        expiry = max(self._work * EXPIRY_FACTOR, MIN_EXPIRY)
        while self._grants:
            holder, grant = next(iter(self._grants.items()))
            if now - grant.at < expiry:
                return
            self.release(holder, now, has_run=False)
