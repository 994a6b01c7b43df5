"""What this VM knows about the speed of one incarnation of a server.

``ServerCapacity`` holds the measurements and the factors that ``Capacities`` derives by
comparison with the other servers of the service. A new incarnation has a new one, with
the factors of a usual server::

    capacity = ServerCapacity(slots=64)
    capacity.add(Size.PLAIN, math.log(0.09), now)
"""

import math
from datetime import timedelta
from enum import IntEnum

from lavendershift.capacity.loadlimits import Base, LoadLimit
from lavendershift.capacity.windows import Window

# Largest amount of a measurement, in logarithms of seconds or ratios: 0.05 ms to 6 h.
MAX_VALUE = 10.0
# Places/s by which the number at which a server was full rises: the VMs' counts of its
# load were perhaps too low by the requests that were on their way.
PLACES_RISE = 1.0
PLACES_VALIDITY = timedelta(seconds=30)


class Size(IntEnum):
    """What a measurement is about; the numbers are sent to other VMs.

    ``PROMPT`` is the logarithm of the time to the first event, divided by its estimate.
    ``OUTPUT`` is that of the time between events in seconds, ``PLAIN`` that of the time
    of plain work in seconds. ``OUTCOME`` is 1 for a failure or refusal, else 0.
    """

    PROMPT = 0
    OUTPUT = 1
    PLAIN = 2
    OUTCOME = 3


SPEED_SIZES = (Size.PROMPT, Size.OUTPUT, Size.PLAIN)


class ServerCapacity:
    """Measurements of one server, and its factors compared with a usual one.

    ``factors`` has the times of each size relative to the service's usual ones,
    ``failure_cost`` the factor by which failures raise the cost of a request.
    """

    __slots__ = (
        "_full_at",
        "_places",
        "bases",
        "factors",
        "failure_cost",
        "limit",
        "windows",
    )

    def __init__(self, slots: int) -> None:
        self.windows = tuple(Window() for _ in Size)
        self.bases = tuple(Base() for _ in SPEED_SIZES)
        self.limit = LoadLimit(slots)
        self.factors = [1.0] * len(SPEED_SIZES)
        self.failure_cost = 1.0
        self._places = 0.0
        self._full_at: timedelta | None = None

    def add(self, size: Size, value: float, at: timedelta, count: int = 1) -> None:
        """Add the mean of ``count`` measurements that were made at ``at``."""
        value = min(max(value, -MAX_VALUE), MAX_VALUE)
        self.windows[size].add(value, at, count)

    def note_full(self, in_flight: int, now: timedelta) -> None:
        """Record that the server refused a request at a load above its slots."""
        self._places = max(min(in_flight, self.find_places(now)) - 1, self.limit.slots)
        self._full_at = now

    def find_places(self, now: timedelta) -> float:
        """Return the requests in flight, running and queued, that the server takes."""
        if self._full_at is None:
            return math.inf
        since = (now - self._full_at).total_seconds()
        if since > PLACES_VALIDITY.total_seconds():
            return math.inf
        return self._places + since * PLACES_RISE

    def set_slots(self, slots: int) -> None:
        """Apply the number of slots of a newer entry."""
        if slots != self.limit.slots:
            self.limit = LoadLimit(slots)
