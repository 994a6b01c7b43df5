"""Limits of cold servers, which take few requests for some time after a start.

A server states in its entries how long it stays cold. Between two entries a VM can
only presume that it is cold: after a start, a failed connection or the end of an
evacuation. Such a presumption ends once entries that were written later state the
contrary, or after the usual time of a cold start. Cold servers are sent requests with
permits, like servers that announce a limit, see ``permits``::

    cold = ColdServers(clock)
    cold.bounds = ColdBounds(overage=1.5, slack=5.0)
    cold.services = {"index": ColdService(rate=9.3, start=timedelta(seconds=3))}
    cold.note_entry(entry, is_start=True)
    cold.find_rate(("i-7f3a91c2", 1_700_000_000_000))  # 9.3
"""

from collections import OrderedDict
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.serversignals import MAX_INCARNATIONS, Incarnation
from lavendershift.serverstates import ServerEntry

# Share of the bound that permits use: requests that were sent over more than a second
# may arrive within one.
BOUND_SHARE = 0.8
SAVED_PERMITS = 3.0  # permits that may be used at once, see ``permits``
MIN_PRESUMPTION = timedelta(seconds=3)  # longer than two intervals between entries
# Further entries that end a presumption. The entry that shows a start was written
# after it. The first one after another event may have been written before.
ENTRIES_AFTER_START = 1
ENTRIES_AFTER_EVENT = 2


class ColdBounds(NamedTuple):
    """The requests/s to a cold server: ``overage`` times its rate, and ``slack``."""

    overage: float
    slack: float


class ColdService(NamedTuple):
    """The requests/s that a cold server of a service takes, and for how long."""

    rate: float
    start: timedelta


class _Coldness(NamedTuple):
    """Until when a server is cold; ``entries`` more that state otherwise end it.

    ``sequence`` is the number of the last entry that was counted.
    """

    service: str
    until: timedelta
    entries: int
    sequence: int


class ColdServers:
    """The servers that are cold or presumed to be, at most ``MAX_INCARNATIONS``.

    Without ``bounds``, or for services without a rate, no server has a limit.
    ``on_presumed`` is called with the entry of a server of which other VMs should
    presume the same.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._known: OrderedDict[Incarnation, _Coldness] = OrderedDict()
        self.bounds: ColdBounds | None = None
        self.services: Mapping[str, ColdService] = {}
        self.on_presumed: Callable[[ServerEntry], None] = lambda entry: None

    def count(self) -> int:
        """Return the number of servers with a limit because they may be cold."""
        return sum(
            self.find_rate(incarnation) is not None for incarnation in self._known
        )

    def find_rate(self, incarnation: Incarnation) -> float | None:
        """Return the requests/s that a cold server takes, ``None`` without a limit."""
        known = self._known.get(incarnation)
        if known is None or self.bounds is None:
            return None
        if self._clock.elapsed() >= known.until:
            return None
        service = self.services.get(known.service)
        return find_cold_rate(service.rate, self.bounds) if service else None

    def note_entry(self, entry: ServerEntry, is_start: bool) -> None:
        """Apply an entry; ``is_start`` if it shows that the server just started."""
        incarnation = (entry.id, entry.born)
        if is_start:
            self._presume(entry, ENTRIES_AFTER_START)
        known = self._known.get(incarnation)
        if entry.cold_remaining:
            until = self._clock.elapsed() + entry.cold_remaining
            if known is not None and known.entries:
                until = max(until, known.until)
            self._store(incarnation, _Coldness(entry.service, until, 1, entry.sequence))
        elif known is not None and entry.sequence > known.sequence:
            if known.entries > 1:
                left = known._replace(entries=known.entries - 1)
                self._known[incarnation] = left._replace(sequence=entry.sequence)
            else:
                del self._known[incarnation]

    def presume(self, entry: ServerEntry, is_certain: bool = True) -> None:
        """Presume that a server is cold.

        ``on_presumed`` is called if it wasn't known to be and ``is_certain`` is set:
        a VM that is cut off from servers must not limit those of all other VMs.
        """
        was_cold = self.find_rate((entry.id, entry.born)) is not None
        self._presume(entry, ENTRIES_AFTER_EVENT)
        is_cold = self.find_rate((entry.id, entry.born)) is not None
        if is_certain and is_cold and not was_cold:
            self.on_presumed(entry)

    def _presume(self, entry: ServerEntry, entries: int) -> None:
        service = self.services.get(entry.service)
        if service is None or not service.rate or self.bounds is None:
            return
        incarnation = (entry.id, entry.born)
        until = self._clock.elapsed() + max(service.start, MIN_PRESUMPTION)
        known = self._known.get(incarnation)
        if known is not None:
            until = max(until, known.until)
            entries = max(entries, known.entries)
        self._store(
            incarnation, _Coldness(entry.service, until, entries, entry.sequence)
        )

    def _store(self, incarnation: Incarnation, coldness: _Coldness) -> None:
        self._known.pop(incarnation, None)
        self._known[incarnation] = coldness
        if len(self._known) > MAX_INCARNATIONS:
            self._known.popitem(last=False)


def find_cold_rate(rate: float, bounds: ColdBounds) -> float | None:
    """Return the permits per second for a cold server, ``None`` without a limit.

    Within a second, the saved permits may be used besides. It is no more than the
    server takes well, so that two keepers for a moment stay near the bound.
    """
    if rate <= 0:
        return None
    bound = rate * bounds.overage + bounds.slack
    return min(rate, max(bound * BOUND_SHARE - SAVED_PERMITS, 0.0))
