"""Limits on the request rate and the requests in flight of a caller.

A limit in the settings tree holds for the whole fleet. Routers don't agree on
each request; each enforces its share, so that the fleet admits at most
``sum(share_i) * rate * t + sum(burst_i)`` requests in a time ``t``. Shares that
add up to one keep to the rate exactly, beyond one burst of ``BURST_TIME`` a
router. ``Demands`` divides a limit by where the requests arrive. While routers
cannot hear each other their shares add up to more than one, at most to the
number of parts that the fleet is cut into. A share never rounds below one
request in flight, and a burst never below one request::

    permit = limiter.admit([Limit("desks/rennes/plume", 5.0, 20)], share=1 / 6)
"""

import math
from collections.abc import Sequence
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Result, Success

from lavendershift.clocks import Clock
from lavendershift.errors import ErrorKind, RequestError

BURST_TIME = timedelta(seconds=2)  # of a full rate that may come at once
CONCURRENT_RETRY = timedelta(seconds=1)  # when requests in flight are the limit
FORBIDDEN_RETRY = timedelta(minutes=1)  # when the rate is zero
PRUNE_INTERVAL = timedelta(minutes=1)


class Limit(NamedTuple):
    """The fleet-wide limits of one node of the tree; ``None`` is unlimited."""

    path: str
    requests_per_s: float | None = None
    concurrent_requests: int | None = None


class Permit(NamedTuple):
    """An admitted request, to be released when it ends."""

    paths: tuple[str, ...]


class RateLimiter:
    """Enforces one router's share of the limits of all callers.

    The rate is enforced by the generic cell rate algorithm, a token bucket
    that keeps one time a caller: when its bucket would be full again.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._full_at: dict[str, timedelta] = {}
        self._in_flight: dict[str, int] = {}
        self._pruned_at = clock.elapsed()

    def admit(
        self, limits: Sequence[Limit], share: float
    ) -> Result[Permit, RequestError]:
        """Admit a request under all of ``limits``, or none of them is drawn on.

        Fails with ``RATE_LIMITED``; its time to come back is exact where the
        rate is the limit, and assumes that no other request comes first.
        """
        waits = [self._find_wait(limit, share) for limit in limits]
        wait = max(waits, default=timedelta())
        if wait > timedelta():
            path = limits[waits.index(wait)].path
            error = RequestError(ErrorKind.RATE_LIMITED, f"limit of {path}", wait)
            return Failure(error)
        for limit in limits:
            self._draw(limit, share)
        self._prune()
        return Success(Permit(tuple(limit.path for limit in limits)))

    def release(self, permit: Permit) -> None:
        """Note that an admitted request has ended."""
        for path in permit.paths:
            self._in_flight[path] -= 1
            if not self._in_flight[path]:
                del self._in_flight[path]

    def _find_wait(self, limit: Limit, share: float) -> timedelta:
        return max(self._find_rate_wait(limit, share), self._find_slot(limit, share))

    def _find_rate_wait(self, limit: Limit, share: float) -> timedelta:
        if limit.requests_per_s is None:
            return timedelta()
        if limit.requests_per_s <= 0:
            return FORBIDDEN_RETRY
        interval = find_interval(limit.requests_per_s, share)
        full_at = self._full_at.get(limit.path, timedelta())
        behind = full_at - self._clock.elapsed()
        allowed = find_burst_time(interval) - interval
        return min(max(behind - allowed, timedelta()), interval)

    def _find_slot(self, limit: Limit, share: float) -> timedelta:
        if limit.concurrent_requests is None:
            return timedelta()
        slots = math.ceil(limit.concurrent_requests * share - 1e-9)
        if self._in_flight.get(limit.path, 0) < slots:
            return timedelta()
        return CONCURRENT_RETRY

    def _draw(self, limit: Limit, share: float) -> None:
        self._in_flight[limit.path] = self._in_flight.get(limit.path, 0) + 1
        if limit.requests_per_s is None:
            return
        interval = find_interval(limit.requests_per_s, share)
        now = self._clock.elapsed()
        behind = max(self._full_at.get(limit.path, now) - now, timedelta())
        room = find_burst_time(interval) - interval
        self._full_at[limit.path] = now + min(behind, room) + interval

    def _prune(self) -> None:
        now = self._clock.elapsed()
        if now - self._pruned_at < PRUNE_INTERVAL:
            return
        self._pruned_at = now
        self._full_at = {p: full for p, full in self._full_at.items() if full > now}


def find_interval(requests_per_s: float, share: float) -> timedelta:
    """Return the time between requests at this router's share of a rate."""
    return timedelta(seconds=1 / (requests_per_s * share))


def find_burst_time(interval: timedelta) -> timedelta:
    """Return the size of the bucket as a time: ``BURST_TIME`` or one request."""
    return max(BURST_TIME, interval)
