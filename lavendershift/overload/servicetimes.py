"""Recent times from the arrival of requests to their delivery, by kind."""

import math
from datetime import timedelta

from lavendershift.clocks import Clock

MEMORY = timedelta(
    seconds=1
)  # time in which the weight of a delivery falls by two thirds
# Time after which the deliveries of a kind say nothing of the next one. A kind that is
# refused for the time that it takes is tried again after it.
EXPIRY = timedelta(seconds=2)


class ServiceTimes:
    """Averages of the time that each kind of request needed, the latest first.

    The kinds are routes of the configuration.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._sums: dict[str, tuple[timedelta, float, float]] = {}

    def note(self, kind: str, duration: timedelta) -> None:
        """Note the time that a request needed until its first event or response."""
        now = self._clock.elapsed()
        weight, total = self._find_sums(kind, now)
        self._sums[kind] = now, weight + 1, total + duration.total_seconds()

    def estimate(self, kind: str) -> timedelta | None:
        """Return the time that a request needs, ``None`` if that is unknown."""
        sums = self._sums.get(kind)
        if sums is None or self._clock.elapsed() - sums[0] > EXPIRY:
            return None
        _, weight, total = sums
        return timedelta(seconds=total / weight)

    def _find_sums(self, kind: str, now: timedelta) -> tuple[float, float]:
        sums = self._sums.get(kind)
        if sums is None:
            return 0.0, 0.0
        noted, weight, total = sums
        decay = math.exp((noted - now) / MEMORY)
        return weight * decay, total * decay


class LateShare:
    """The fraction of recent deliveries that missed their target latency."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._noted = clock.elapsed()
        self._late = self._total = 0.0

    def note(self, is_late: bool) -> None:
        """Note a delivery."""
        self._decay()
        self._late += is_late
        self._total += 1

    def measure(self) -> float:
        """Return the fraction; it tends to 0 if nothing is delivered."""
        self._decay()
        return self._late / (self._total + 1)

    def _decay(self) -> None:
        now = self._clock.elapsed()
        decay = math.exp((self._noted - now) / MEMORY)
        self._noted = now
        self._late *= decay
        self._total *= decay
