"""The number of requests in flight that a server takes well.

Some servers slow down long before their slots are in use. A server's own speed is its
*base*, which follows a faster speed at once and a slower one within some seconds. While
its times are longer than the base, and the times of its peers are not, the limit is
lowered below the present load. Afterwards it rises steadily up to the server's slots::

    limit = LoadLimit(slots=64)
    limit.update(excess=0.9, in_flight=30.0, now=now)
    limit.value  # 24.0
"""

import math
from datetime import timedelta

# Longer than the base by this factor: the load is too high. Medians of equal servers
# with noise differ by less.
SLOWDOWN = math.log(1.6)
# The limit rises while times are longer than the base by less than this factor.
CALM = math.log(1.25)
DECREASE = 0.8  # factor of a decrease
# Time between two decreases; the median needs it to show the effect of the first.
DECREASE_INTERVAL = timedelta(seconds=2)
# Time in which the limit rises from zero to the number of slots.
RISE_TIME = timedelta(seconds=6)
# Share of the slots that a server keeps, to notice that it recovers.
MIN_SHARE = 1 / 16
# Time in which a base follows a lasting slowdown, which then counts in the speed alone.
BASE_RISE_TIME = timedelta(seconds=10)


class Base:
    """The value of a server that is not overloaded, in logarithms of times."""

    __slots__ = ("_updated_at", "value")

    def __init__(self) -> None:
        self.value: float | None = None
        self._updated_at = timedelta()

    def update(self, value: float, now: timedelta) -> float:
        """Apply the present median; return by how much it exceeds the base."""
        if self.value is None or value < self.value:
            self.value = value
        else:
            part = min((now - self._updated_at) / BASE_RISE_TIME, 1.0)
            self.value += (value - self.value) * part
        self._updated_at = now
        return value - self.value


class LoadLimit:
    """A limit of requests in flight between a share of the slots and all of them."""

    __slots__ = ("_decreased_at", "_updated_at", "slots", "value")

    def __init__(self, slots: int) -> None:
        self.slots = max(slots, 1)
        self.value = float(self.slots)
        self._updated_at: timedelta | None = None
        self._decreased_at: timedelta | None = None

    def update(self, excess: float, in_flight: float, now: timedelta) -> None:
        """Apply how much times exceed the base, compared with the server's peers."""
        since = self._updated_at
        self._updated_at = now
        if excess > SLOWDOWN:
            self.decrease(in_flight, now)
        elif excess < CALM and since is not None and self.value < self.slots:
            rise = self.slots * ((now - since) / RISE_TIME)
            self.value = min(self.value + rise, float(self.slots))

    def decrease(self, in_flight: float, now: timedelta) -> None:
        """Lower the limit below the present load, at most once in an interval."""
        last = self._decreased_at
        if last is not None and now - last < DECREASE_INTERVAL:
            return
        self._decreased_at = now
        least = max(self.slots * MIN_SHARE, 1.0)
        self.value = max(min(self.value, in_flight) * DECREASE, least)
