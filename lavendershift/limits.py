"""Limits on the request rate and the requests in flight of a caller.

A limit in the settings tree holds for the whole fleet. Routers do not
coordinate on each request. Each enforces its share of the limit, so that the
fleet admits at most ``sum(share_i) * rate * t + sum(burst_i)`` requests in a time
``t``. If the shares add up to one, the rate holds exactly, apart from one burst
of ``BURST_TIME`` per router. ``DemandTracker`` divides a limit in proportion to the
requests that arrive at each router. During a network partition the shares add
up to more than one, but at most to the number of partitions. A share allows at
least one request in flight, and a burst at least one request::

    permit = limiter.admit([Limit("desks/rennes/plume", 5.0, 20)], share=1 / 6)
"""

import math
from collections.abc import Sequence
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Result, Success

from lavendershift.clocks import Clock
from lavendershift.errors import ErrorKind, RequestError

BURST_TIME = timedelta(seconds=2)  # size of the bucket, as time at the full rate
CONCURRENT_RETRY = timedelta(seconds=1)  # retry delay at the concurrency limit
FORBIDDEN_RETRY = timedelta(minutes=1)  # retry delay at a rate of zero
PRUNE_INTERVAL = timedelta(minutes=1)


class Limit(NamedTuple):
    """Fleet-wide limits of one node of the settings tree; ``None`` is unlimited."""

    path: str
    requests_per_s: float | None = None
    concurrent_requests: int | None = None


class Permit(NamedTuple):
    """Permit of an admitted request; released when the request ends."""

    paths: tuple[str, ...]


class RateLimiter:
    """Enforces one router's share of the limits of all callers.

    The rate is enforced by the generic cell rate algorithm, a token bucket that
    stores one time per caller: when the bucket would be full again.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._full_at: dict[str, timedelta] = {}
        self._in_flight: dict[str, int] = {}
        self._pruned_at = clock.elapsed()

    def admit(
        self, limits: Sequence[Limit], share: float
    ) -> Result[Permit, RequestError]:
        """Admit a request under all of ``limits``; a refusal consumes none.

        Fails with ``RATE_LIMITED``. The retry delay is exact if the rate is the
        limit, provided that no other request arrives first.
        """
        waits = [self._find_wait(limit, share) for limit in limits]
        wait = max(waits, default=timedelta())
        if wait > timedelta():
            path = limits[waits.index(wait)].path
            error = RequestError(ErrorKind.RATE_LIMITED, f"limit of {path}", wait)
            return Failure(error)
        for limit in limits:
            self._consume(limit, share)
        self._prune()
        return Success(Permit(tuple(limit.path for limit in limits)))

    def release(self, permit: Permit) -> None:
        """Free the concurrency of an admitted request that has ended."""
        for path in permit.paths:
            self._in_flight[path] -= 1
            if not self._in_flight[path]:
                del self._in_flight[path]

    def _find_wait(self, limit: Limit, share: float) -> timedelta:
        return max(
            self._find_rate_wait(limit, share),
            self._find_concurrency_wait(limit, share),
        )

    def _find_rate_wait(self, limit: Limit, share: float) -> timedelta:
        if limit.requests_per_s is None:
            return timedelta()
        if limit.requests_per_s <= 0:
            return FORBIDDEN_RETRY
        interval = find_interval(limit.requests_per_s, share)
        full_at = self._full_at.get(limit.path, timedelta())
        refill_time = full_at - self._clock.elapsed()
        allowed = find_burst_time(interval) - interval
        return min(max(refill_time - allowed, timedelta()), interval)

    def _find_concurrency_wait(self, limit: Limit, share: float) -> timedelta:
        if limit.concurrent_requests is None:
            return timedelta()
        slots = math.ceil(limit.concurrent_requests * share - 1e-9)
        if self._in_flight.get(limit.path, 0) < slots:
            return timedelta()
        return CONCURRENT_RETRY

    def _consume(self, limit: Limit, share: float) -> None:
        self._in_flight[limit.path] = self._in_flight.get(limit.path, 0) + 1
        if limit.requests_per_s is None:
            return
        interval = find_interval(limit.requests_per_s, share)
        now = self._clock.elapsed()
        refill_time = max(self._full_at.get(limit.path, now) - now, timedelta())
        allowed = find_burst_time(interval) - interval
        self._full_at[limit.path] = now + min(refill_time, allowed) + interval

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
    """Return the bucket size as a time, ``BURST_TIME`` or ``interval`` if longer."""
    return max(BURST_TIME, interval)
