"""Event queue, connectivity and log of the budget experiment, in virtual time."""

import heapq
import itertools
from collections.abc import Callable
from datetime import timedelta

from lavendershift.records import Entry, Record
from lavendershift.tools.traces import DOMAIN_OF_ROUTER, Scenario

APPEND_S = 0.010  # latency of an append
NOTIFY_S = 0.010  # delay from an append until the readers receive it
APPEND_RETRY_S = 1.0  # delay until a failed append is retried
MS_PER_S = 1000


class Timeline:
    """Event queue that runs callbacks in the order of their virtual time."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    @property
    def now(self) -> timedelta:
        """The time since the start of the run."""
        return timedelta(seconds=self.now_s)

    def call_at(self, at_s: float, function: Callable[[], None]) -> None:
        """Run ``function`` at ``at_s``."""
        heapq.heappush(self._events, (at_s, next(self._sequence), function))

    def call_later(self, delay_s: float, function: Callable[[], None]) -> None:
        """Run ``function`` after ``delay_s``."""
        self.call_at(self.now_s + delay_s, function)

    def run(self, end_s: float) -> None:
        """Run all events up to ``end_s``."""
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, function = heapq.heappop(self._events)
            function()


class Connectivity:
    """Connections to the log and between routers under the faults of a scenario."""

    def __init__(self, scenario: Scenario, timeline: Timeline) -> None:
        self._scenario = scenario
        self._timeline = timeline

    def can_reach_log(self, router: int) -> bool:
        """Return whether ``router`` can append and read now."""
        faults = self._scenario.partitions + self._scenario.outages
        domain = DOMAIN_OF_ROUTER[router]
        return not any(
            domain in fault.domains
            and fault.start_s <= self._timeline.now_s < fault.end_s
            for fault in faults
        )

    def can_reach_peer(self, router: int, peer: int) -> bool:
        """Return whether two routers can connect directly now."""
        own, other = DOMAIN_OF_ROUTER[router], DOMAIN_OF_ROUTER[peer]
        if own == other:
            return True
        return not any(
            (own in partition.domains or other in partition.domains)
            and partition.start_s <= self._timeline.now_s < partition.end_s
            for partition in self._scenario.partitions
        )


class SimulatedLog:
    """One ledger stream with unlimited retention; it notifies ``readers``."""

    def __init__(self, timeline: Timeline) -> None:
        self.entries: list[Entry] = []
        self.appends = 0
        self.readers: list[Callable[[], None]] = []
        self._timeline = timeline
        self._notifying = False

    def append(self, records: list[Record]) -> None:
        """Append ``records`` at consecutive offsets."""
        self.appends += 1
        time_ms = int(self._timeline.now_s * MS_PER_S)
        for record in records:
            self.entries.append(Entry(len(self.entries), time_ms, record))
        if not self._notifying:
            self._notifying = True
            self._timeline.call_later(NOTIFY_S, self._notify)

    def _notify(self) -> None:
        self._notifying = False
        for reader in list(self.readers):
            reader()
