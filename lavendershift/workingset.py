"""Working set of VMs: the fewest VMs that carry the load of callers.

Tokens that a VM reserves for a customer serve only the callers that connect to that
VM. With callers spread over all VMs of a large fleet, a customer's total is split into
shares smaller than one request, and VMs that are disconnected refuse most requests.
Callers are therefore directed to the *active* VMs only. The others are on standby: they
reserve nothing, and take over when active ones fail or the load rises::

    working_set = WorkingSet(clock, list_vms)
    working_set.list_for("rennes")

Each VM computes the set by itself from the capacity and arrival rate that each VM
publishes. VMs are ranked by capacity, then by a hash, and taken in this order until
their capacity suffices, so that sets computed from different views are nested.
"""

import math
from collections import deque
from collections.abc import Callable, Container, Iterable
from datetime import timedelta
from typing import Protocol

from lavendershift.clocks import Clock
from lavendershift.hashing import hash_pair, rank_by_hash
from lavendershift.rates import DecayingRate

# Used share of the active VMs' capacity; the unused part absorbs surges and slow VMs.
TARGET_UTILIZATION = 0.2
# Factor on the measured load, so that its fluctuations don't change the set.
LOAD_HEADROOM = 1.25
MIN_LISTED = 2  # active VMs listed to a caller, so that it can retry at another one
PEAK_WINDOW = timedelta(seconds=5)  # lifetime of a peak load, as VMs join and leave
REFRESH_INTERVAL = timedelta(milliseconds=400)  # lifetime of a computed set
# CPU time of a request on a usual core, see docs/CAPACITY.md.
REQUEST_CPU_TIME = timedelta(milliseconds=10)
REQUEST_BYTES = 24_576  # bytes each way for a prompt of 12 KB, received and sent on
ARRIVAL_WINDOW = timedelta(seconds=5)  # averaging period of the arrival rate
MIN_ARRIVAL_RATE = 2.0  # requests/s at which a standby VM reserves tokens as well


class Member(Protocol):
    """A VM that can serve callers."""

    @property
    def name(self) -> str:
        """The VM's name."""
        ...

    @property
    def failure_domain(self) -> str:
        """The VM's failure domain."""
        ...

    @property
    def capacity(self) -> float:
        """The requests/s that the VM can handle."""
        ...

    @property
    def arrivals(self) -> float:
        """The requests/s that the VM receives."""
        ...


class WorkingSet:
    """The active VMs, as computed by one VM.

    ``list_members`` returns the VMs in service, this one included.
    """

    def __init__(
        self, clock: Clock, list_members: Callable[[], Iterable[Member]]
    ) -> None:
        self._clock = clock
        self._list_members = list_members
        self._loads: dict[str, float] = {}
        self._peaks: deque[tuple[timedelta, dict[str, float]]] = deque()
        self._active: dict[str, list[str]] = {}
        self._ranked: list[list[str]] = []
        self._refreshed_at: timedelta | None = None

    def find_active(self) -> dict[str, list[str]]:
        """Return the names of the active VMs by failure domain."""
        now = self._clock.elapsed()
        if self._refreshed_at is None or now - self._refreshed_at >= REFRESH_INTERVAL:
            self._refreshed_at = now
            members = list(self._list_members())
            # Some callers stay with a VM that is not listed to them. Activating other
            # VMs would not relieve it, so that its load is not counted.
            listed = [member for member in members if self._is_listed(member)]
            self._peaks.append((now, measure_loads(listed)))
            while now - self._peaks[0][0] > PEAK_WINDOW:
                self._peaks.popleft()
            peaks = find_peaks(loads for _, loads in self._peaks)
            self._loads = apply_hysteresis(self._loads, peaks)
            self._active = choose_active(members, self._loads)
            self._ranked = list(rank_by_domain(members).values())
        return self._active

    def _is_listed(self, member: Member) -> bool:
        """Whether the previous set directed callers to a VM."""
        return member.name in self._active.get(member.failure_domain, ())

    def list_names(self) -> list[str]:
        """Return the names of all active VMs."""
        return [name for names in self.find_active().values() for name in names]

    def rank_members(self) -> list[list[str]]:
        """Return the names of all VMs in service by failure domain, the largest first.

        The ranking doesn't depend on the load, and active VMs come first.
        """
        self.find_active()
        return self._ranked

    def includes(self, name: str) -> bool:
        """Whether a VM is active."""
        return any(name in names for names in self.find_active().values())

    def count(self) -> int:
        """Return the number of active VMs, at least 1."""
        return max(sum(len(names) for names in self.find_active().values()), 1)

    def list_for(
        self, failure_domain: str, allowed: Container[str] | None = None
    ) -> list[str]:
        """Return the active VMs for the callers of a failure domain.

        All active VMs of the domain itself are listed, as some customers have callers
        in one domain only, and one of each further domain up to ``MIN_LISTED`` VMs.
        ``allowed`` are the failure domains that may be listed, ``None`` for all.
        """
        active = self.find_active()
        if allowed is not None:
            active = {d: names for d, names in active.items() if d in allowed}
        names = list(active.get(failure_domain, ()))
        others = [domain for domain in active if domain != failure_domain]
        for domain in rank_by_hash(others, failure_domain):
            if len(names) >= MIN_LISTED:
                break
            names += active[domain][:1]
        return names


class Activity:
    """Whether this VM acts as an active one, and its rate of arrivals.

    It is active while it is in the working set, and while callers use it: they cache
    addresses for a while, and other VMs may have computed another set.
    """

    def __init__(self, clock: Clock, working_set: WorkingSet, name: str) -> None:
        self._clock = clock
        self._working_set = working_set
        self._name = name
        self._arrival_rate = DecayingRate(ARRIVAL_WINDOW)

    def note_arrival(self) -> None:
        """Count a request of a caller."""
        self._arrival_rate.add(1, self._clock.elapsed())

    def measure_arrivals(self) -> float:
        """Return the recent requests/s, 0 for the few at a standby VM."""
        arrivals = self._arrival_rate.measure(self._clock.elapsed())
        return arrivals if self.is_active() else 0.0

    def is_active(self) -> bool:
        """Whether this VM reserves tokens and keeps sending datagrams."""
        if self._working_set.includes(self._name):
            return True
        return self._arrival_rate.measure(self._clock.elapsed()) >= MIN_ARRIVAL_RATE


def make_rank_key(member: Member) -> tuple[float, int]:
    """Return the key by which VMs of a domain are ranked, the smallest first."""
    return -member.capacity, hash_pair(member.name, member.failure_domain)


def estimate_capacity(cores: float, link_mbps: float) -> float:
    """Return the requests/s that saturate a VM's processor or its network link."""
    by_processor = cores / REQUEST_CPU_TIME.total_seconds()
    by_link = link_mbps * 1e6 / 8 / REQUEST_BYTES
    return round(min(by_processor, by_link), 1)


def measure_loads(members: Iterable[Member]) -> dict[str, float]:
    """Return the requests/s received in each failure domain."""
    loads: dict[str, float] = {}
    for member in members:
        domain = member.failure_domain
        loads[domain] = loads.get(domain, 0.0) + member.arrivals
    return loads


def find_peaks(measured: Iterable[dict[str, float]]) -> dict[str, float]:
    """Return the peak load of each failure domain."""
    peaks: dict[str, float] = {}
    for loads in measured:
        for domain, load in loads.items():
            peaks[domain] = max(peaks.get(domain, 0.0), load)
    return peaks


def apply_hysteresis(
    previous: dict[str, float], measured: dict[str, float]
) -> dict[str, float]:
    """Return the loads to provide capacity for, in requests/s.

    They rise immediately with the measured loads, and fall only when these halve.
    """
    loads = {}
    for domain, load in measured.items():
        provided = previous.get(domain, 0.0)
        if load > provided or load * LOAD_HEADROOM < provided / 2:
            provided = load * LOAD_HEADROOM
        loads[domain] = provided
    return loads


def rank_by_domain(members: Iterable[Member]) -> dict[str, list[str]]:
    """Return the names of the VMs of each failure domain, the largest first."""
    by_domain: dict[str, dict[str, Member]] = {}
    for member in members:
        by_domain.setdefault(member.failure_domain, {})[member.name] = member
    return {
        domain: sorted(known, key=lambda name: make_rank_key(known[name]))
        for domain, known in sorted(by_domain.items())
    }


def choose_active(
    members: Iterable[Member], loads: dict[str, float]
) -> dict[str, list[str]]:
    """Return the active VMs of each failure domain, the largest first.

    There is at least one in each domain, and ``MIN_LISTED`` in a single domain.
    """
    by_name = {member.name: member for member in members}
    by_domain = rank_by_domain(by_name.values())
    minimum = math.ceil(MIN_LISTED / max(len(by_domain), 1))
    active = {}
    for domain, ranked in by_domain.items():
        needed = loads.get(domain, 0.0) / TARGET_UTILIZATION
        chosen: list[str] = []
        for name in ranked:
            if needed <= 0 and len(chosen) >= minimum:
                break
            chosen.append(name)
            needed -= by_name[name].capacity
        active[domain] = chosen
    return active
