"""Which VMs callers are sent to: as few as carry the load.

What a VM holds ahead of a customer's tokens serves only the callers that come to
it. With callers spread over all VMs of a large fleet, a customer's total is split
into parts of less than one request, and VMs that are cut off refuse most of what
they are asked. So callers are sent to the *active* VMs only. The others stand by:
they hold nothing, and take over where active ones fail or the load rises::

    working_set = WorkingSet(clock, list_vms)
    working_set.list_for("rennes")

Each VM works the set out by itself from the rows of all VMs. VMs are ranked by what
they can carry, then by a hash, and the first of them are taken until their capacity
suffices, so that sets made from different views are nested.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Protocol

from lavendershift.clocks import Clock
from lavendershift.hashing import hash_pair, rank_by_hash
from lavendershift.rates import DecayingRate

USED_CAPACITY = 0.2  # of the active VMs, which leaves room for surges and slow VMs
HEADROOM = 1.25  # above the measured load, so that its waves don't change the set
LEAST_LISTED = 2  # active VMs that a caller is told of, so that it can try another
PEAK_TIME = timedelta(seconds=5)  # in which a load counts, as VMs come and go
MEMORY = timedelta(milliseconds=400)  # in which the set is not worked out again
REQUEST_TIME = timedelta(milliseconds=10)  # of a usual core, docs/CAPACITY.md
REQUEST_BYTES = 24_576  # each way, a prompt of 12 KB that comes in and goes out
ARRIVAL_WINDOW = timedelta(seconds=5)  # over which arrivals are measured
LEAST_ARRIVALS = 2.0  # requests/s at which a VM holds tokens though it stands by


class Member(Protocol):
    """A VM that could serve callers."""

    @property
    def name(self) -> str:
        """The VM's name."""
        ...

    @property
    def failure_domain(self) -> str:
        """Its failure domain."""
        ...

    @property
    def capacity(self) -> float:
        """The requests/s that it can carry."""
        ...

    @property
    def arrivals(self) -> float:
        """The requests/s that it gets."""
        ...


class WorkingSet:
    """The active VMs, as one VM sees them.

    ``list_members`` returns the VMs that serve, this one included.
    """

    def __init__(
        self, clock: Clock, list_members: Callable[[], Iterable[Member]]
    ) -> None:
        self._clock = clock
        self._list_members = list_members
        self._loads: dict[str, float] = {}
        self._peaks: deque[tuple[timedelta, dict[str, float]]] = deque()
        self._active: dict[str, list[str]] = {}
        self._chosen_at: timedelta | None = None

    def find_active(self) -> dict[str, list[str]]:
        """Return the names of the active VMs by failure domain."""
        now = self._clock.elapsed()
        if self._chosen_at is None or now - self._chosen_at >= MEMORY:
            self._chosen_at = now
            members = list(self._list_members())
            # Some callers keep to one VM whatever they are told. Others can't carry
            # its load.
            led = [member for member in members if self._led(member)]
            self._peaks.append((now, measure_loads(led)))
            while now - self._peaks[0][0] > PEAK_TIME:
                self._peaks.popleft()
            peaks = find_peaks(loads for _, loads in self._peaks)
            self._loads = follow_loads(self._loads, peaks)
            self._active = choose_active(members, self._loads)
        return self._active

    def _led(self, member: Member) -> bool:
        """Whether callers were sent to a VM."""
        return member.name in self._active.get(member.failure_domain, ())

    def list_names(self) -> list[str]:
        """Return the names of all active VMs."""
        return [name for names in self.find_active().values() for name in names]

    def includes(self, name: str) -> bool:
        """Whether a VM is active."""
        return any(name in names for names in self.find_active().values())

    def count(self) -> int:
        """Return the number of active VMs, at least 1."""
        return max(sum(len(names) for names in self.find_active().values()), 1)

    def list_for(self, failure_domain: str) -> list[str]:
        """Return the active VMs for the callers of a failure domain.

        They are those of the domain itself, as some customers have callers in one
        domain only, and one of each further domain until there are enough.
        """
        active = self.find_active()
        names = list(active.get(failure_domain, ()))
        others = [domain for domain in active if domain != failure_domain]
        for domain in rank_by_hash(others, failure_domain):
            if len(names) >= LEAST_LISTED:
                break
            names += active[domain][:1]
        return names


class Activity:
    """Whether this VM acts as an active one, and the requests that it gets.

    It does so while it is in the working set, and while callers come: they keep
    addresses for a while, and other VMs may see another set.
    """

    def __init__(self, clock: Clock, working_set: WorkingSet, name: str) -> None:
        self._clock = clock
        self._working_set = working_set
        self._name = name
        self._arrivals = DecayingRate(ARRIVAL_WINDOW)

    def note_arrival(self) -> None:
        """Note a request of a caller."""
        self._arrivals.add(1, self._clock.elapsed())

    def measure_arrivals(self) -> float:
        """Return the recent requests/s; the few of a VM that stands by don't count."""
        arrivals = self._arrivals.measure(self._clock.elapsed())
        return arrivals if self.is_active() else 0.0

    def is_active(self) -> bool:
        """Whether tokens are held here and datagrams sent all the time."""
        if self._working_set.includes(self._name):
            return True
        return self._arrivals.measure(self._clock.elapsed()) >= LEAST_ARRIVALS


def find_place(member: Member) -> tuple[float, int]:
    """Return what VMs of a domain are ranked by, the smallest first."""
    return -member.capacity, hash_pair(member.name, member.failure_domain)


def estimate_capacity(cores: float, link_mbps: float) -> float:
    """Return the requests/s that fill a VM's processor or its link."""
    by_processor = cores / REQUEST_TIME.total_seconds()
    by_link = link_mbps * 1e6 / 8 / REQUEST_BYTES
    return round(min(by_processor, by_link), 1)


def measure_loads(members: Iterable[Member]) -> dict[str, float]:
    """Return the requests/s that arrive in each failure domain."""
    loads: dict[str, float] = {}
    for member in members:
        domain = member.failure_domain
        loads[domain] = loads.get(domain, 0.0) + member.arrivals
    return loads


def find_peaks(measured: Iterable[dict[str, float]]) -> dict[str, float]:
    """Return the largest load of each failure domain."""
    peaks: dict[str, float] = {}
    for loads in measured:
        for domain, load in loads.items():
            peaks[domain] = max(peaks.get(domain, 0.0), load)
    return peaks


def follow_loads(
    before: dict[str, float], measured: dict[str, float]
) -> dict[str, float]:
    """Return the loads to provide for, in requests/s.

    They rise with the measured ones at once, and fall only where these have halved.
    """
    loads = {}
    for domain, load in measured.items():
        provided = before.get(domain, 0.0)
        if load > provided or load * HEADROOM < provided / 2:
            provided = load * HEADROOM
        loads[domain] = provided
    return loads


def choose_active(
    members: Iterable[Member], loads: dict[str, float]
) -> dict[str, list[str]]:
    """Return the active VMs of each failure domain, the largest first.

    There is one in each domain at least, and ``LEAST_LISTED`` in a single domain.
    """
    by_domain: dict[str, dict[str, Member]] = {}
    for member in members:
        by_domain.setdefault(member.failure_domain, {})[member.name] = member
    least = math.ceil(LEAST_LISTED / max(len(by_domain), 1))
    active = {}
    for domain, known in sorted(by_domain.items()):
        ranked = sorted(known, key=lambda name: find_place(known[name]))
        needed = loads.get(domain, 0.0) / USED_CAPACITY
        chosen: list[str] = []
        for name in ranked:
            if needed <= 0 and len(chosen) >= least:
                break
            chosen.append(name)
            needed -= known[name].capacity
        active[domain] = chosen
    return active
