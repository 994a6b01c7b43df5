"""Factors of the servers of a service, from measurements of this VM and of others.

A server's factor is the median of its measurements, compared with the usual value: the
median over the service's servers. It is 1 for servers that differ by less than
``TOLERANCE``, so that equal servers are chosen by their load alone::

    capacities = Capacities()
    capacities.refresh("index", servers, now)
    servers[0].capacity.factors[Size.PROMPT]
"""

import math
import statistics
from collections.abc import Iterable, Sequence
from datetime import timedelta
from typing import NamedTuple, Protocol

from lavendershift.capacity.servercapacity import (
    SPEED_SIZES,
    ServerCapacity,
    Size,
)
from lavendershift.capacity.windows import Estimate

# Interval between two calculations of the factors; half of a time slot.
REFRESH_INTERVAL = timedelta(milliseconds=250)
# Servers within this factor of the usual one count as equal, in logarithms. Medians of
# equal servers with noise and a queue differ by up to 20 %.
TOLERANCE = math.log(1.25)
FULL_EFFECT = math.log(1.5)  # from here on a difference counts in full
MAX_DIFFERENCE = math.log(10.0)  # largest factor, whatever was measured
# Slots of the usual value that measurements are averaged with: a single noisy slot
# counts by half.
PRIOR_SLOTS = 1.0
# Age from which an estimate returns to the usual value, and the time for half of it.
FRESH_AGE = timedelta(seconds=1.5)
HALF_LIFE = timedelta(seconds=2)
# The same for failures, which cost more than a slow response when tried again.
FAILURE_HALF_LIFE = timedelta(seconds=4)
MIN_SLOTS = 4  # slots of measurements from which a limit is derived
MIN_FAILURES = 2  # failures from which their share counts
MAX_FAILURE_SHARE = 0.97  # bounds the cost of a server that only fails
# Servers and sizes of which measurements are kept until they are sent.
MAX_UNSENT = 400


class MeasuredServer(Protocol):
    """A server with its capacity and its requests in flight from all VMs."""

    @property
    def capacity(self) -> ServerCapacity:
        """Return what is known about its speed."""
        ...

    def count_in_flight(self, now: timedelta) -> int:
        """Return the requests in flight of all VMs."""
        ...


class Measurement(NamedTuple):
    """The mean ``value`` of measurements of one server.

    ``number`` is how many there were, ``age`` the time since the first one.
    """

    server: str
    born: int
    size: Size
    value: float
    number: int
    age: timedelta


class _Unsent:
    """Measurements of one server and size that were not sent yet."""

    __slots__ = ("count", "first_at", "total")

    def __init__(self, first_at: timedelta) -> None:
        self.first_at = first_at
        self.total = 0.0
        self.count = 0


class Capacities:
    """Calculates the factors of servers, and collects measurements to send."""

    def __init__(self) -> None:
        self._refreshed_at: dict[str, timedelta] = {}
        self._unsent: dict[tuple[str, int, Size], _Unsent] = {}

    def measure(
        self,
        incarnation: tuple[str, int],
        capacity: ServerCapacity,
        size: Size,
        value: float,
        now: timedelta,
    ) -> None:
        """Add a measurement of this VM, and keep it for the other VMs."""
        capacity.add(size, value, now)
        key = (*incarnation, size)
        unsent = self._unsent.get(key)
        if unsent is None:
            if len(self._unsent) >= MAX_UNSENT:
                return
            unsent = self._unsent[key] = _Unsent(now)
        unsent.total += value
        unsent.count += 1

    def take_unsent(self, now: timedelta) -> list[Measurement]:
        """Return the measurements since the last call."""
        taken = [
            Measurement(
                server, born, size, u.total / u.count, u.count, now - u.first_at
            )
            for (server, born, size), u in self._unsent.items()
        ]
        self._unsent.clear()
        return taken

    def refresh(
        self, service: str, servers: Sequence[MeasuredServer], now: timedelta
    ) -> bool:
        """Calculate the factors of a service's servers; return whether it was due."""
        last = self._refreshed_at.get(service)
        if last is not None and now - last < REFRESH_INTERVAL:
            return False
        self._refreshed_at[service] = now
        excesses: list[list[float]] = [[] for _ in servers]
        for size in SPEED_SIZES:
            self._compare_speeds(size, servers, excesses, now)
        for server, excess in zip(servers, excesses, strict=True):
            if excess:
                in_flight = server.count_in_flight(now)
                server.capacity.limit.update(max(excess), in_flight, now)
        compare_failures([server.capacity for server in servers], now)
        return True

    def _compare_speeds(
        self,
        size: Size,
        servers: Sequence[MeasuredServer],
        excesses: Sequence[list[float]],
        now: timedelta,
    ) -> None:
        """Set the factors of one size, and add to the excess over each base."""
        found = [server.capacity.windows[size].find_median(now) for server in servers]
        known = [estimate.value for estimate in found if estimate is not None]
        if not known:
            return
        usual = statistics.median(known)
        above: list[tuple[list[float], float]] = []
        for server, estimate, excess in zip(servers, found, excesses, strict=True):
            server.capacity.factors[size] = find_factor(estimate, usual)
            if estimate is not None and estimate.slots >= MIN_SLOTS:
                base = server.capacity.bases[size]
                above.append((excess, base.update(estimate.value, now)))
        if above:
            # A change that all servers share says nothing about one of them.
            common = statistics.median(amount for _, amount in above)
            for excess, amount in above:
                excess.append(amount - common)


def find_factor(estimate: Estimate | None, usual: float) -> float:
    """Return the times of a server relative to the usual ones."""
    if estimate is None:
        return 1.0
    difference = estimate.value - usual
    difference *= estimate.slots / (estimate.slots + PRIOR_SLOTS)
    difference *= find_freshness(estimate.age, HALF_LIFE)
    amount = min(abs(difference), MAX_DIFFERENCE)
    if amount <= TOLERANCE:
        return 1.0
    part = min((amount - TOLERANCE) / (FULL_EFFECT - TOLERANCE), 1.0)
    return math.exp(math.copysign(amount * part, difference))


def find_freshness(age: timedelta, half_life: timedelta) -> float:
    """Return the weight of an estimate whose newest measurement has an age."""
    return float(0.5 ** (max(age - FRESH_AGE, timedelta()) / half_life))


def compare_failures(capacities: Iterable[ServerCapacity], now: timedelta) -> None:
    """Set the cost of failures, compared with the usual share of them."""
    capacities = list(capacities)
    shares = [find_failure_share(capacity, now) for capacity in capacities]
    usual = statistics.median(shares) if shares else 0.0
    for capacity, share in zip(capacities, shares, strict=True):
        capacity.failure_cost = max((1 - usual) / (1 - share), 1.0)


def find_failure_share(capacity: ServerCapacity, now: timedelta) -> float:
    """Return the share of a server's requests that failed or were refused."""
    failed, count, age = capacity.windows[Size.OUTCOME].sum_counts(now)
    if failed < MIN_FAILURES:
        return 0.0
    share = failed / (count + 1) * find_freshness(age, FAILURE_HALF_LIFE)
    return min(share, MAX_FAILURE_SHARE)
