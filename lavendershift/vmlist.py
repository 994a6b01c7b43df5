"""The VMs of the fleet.

Each VM keeps a row in the store and renews it. A VM is listed while its row is
renewed and does not say that it is leaving. While this VM reaches the store no
more, nobody's silence means anything, and the list stays as it was::

    vms = VmList(clock, "edge-1")
    vms.update(VmRow("edge-2", "10.0.0.2:80", "rennes", "a1", 7, False))
    vms.list_serving()
"""

import math
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.hashing import rank_by_hash

PEER_EXPIRY = timedelta(milliseconds=2200)  # four datagrams, and one late row
LENDER_SILENCE = timedelta(milliseconds=1300)  # two datagrams, and a late one
EXPIRY = timedelta(milliseconds=4500)  # three renewals and the interval of reading


class VmRow(NamedTuple):
    """What a VM says of itself; ``renewal`` rises with each row it writes.

    ``demand`` is the recent demand of each customer there, in tokens/s.
    ``capacity`` is the requests/s that it can carry, ``arrivals`` those it gets.
    One that ``is_active`` sends datagrams all the time.
    """

    name: str
    address: str
    failure_domain: str
    incarnation: str
    renewal: int
    is_leaving: bool
    demand: Mapping[str, float] = {}
    peer_address: str = ""
    capacity: float = 0.0
    arrivals: float = 0.0
    is_active: bool = True


def split_address(address: str) -> tuple[str, int] | None:
    """Return host and port, ``None`` for what is no address."""
    host, _, port = address.rpartition(":")
    return (host, int(port)) if host and port.isdigit() else None


class _KnownVm(NamedTuple):
    """A VM's newest row; it ``is_proven`` once the row was seen to be renewed."""

    row: VmRow
    renewed_at: timedelta
    is_proven: bool


class VmList:
    """The VMs as this one knows them, itself included."""

    def __init__(self, clock: Clock, own: VmRow) -> None:
        self._clock = clock
        self._find_silence: Callable[[str], timedelta | None] = lambda name: None
        self.own = own
        self._known: dict[str, _KnownVm] = {}
        self._newest: dict[str, tuple[str, int]] = {}  # incarnation and renewal
        self._left: dict[str, str] = {}  # the last incarnation that said it leaves
        self._checked_at = clock.elapsed()

    def hear_directly(self, find_silence: Callable[[str], timedelta | None]) -> None:
        """Use ``find_silence``, which tells how long a VM sent nothing here."""
        self._find_silence = find_silence

    def set_own(self, row: VmRow) -> None:
        """Note this VM's own row."""
        self.own = row

    def update(self, row: VmRow, is_new: bool = True) -> bool:
        """Note a VM's row; true if it is news that callers should get.

        A row older than the newest of its incarnation is ignored, as the store
        may carry out an append without an answer late. One that ``is_new`` was
        written since this VM reads the rows; others may be of VMs long gone.
        """
        if row.name == self.own.name:
            return False
        incarnation, renewal = self._newest.get(row.name, ("", 0))
        if row.incarnation == incarnation and row.renewal < renewal:
            return False
        self._newest[row.name] = (row.incarnation, row.renewal)
        if self._left.get(row.name) == row.incarnation:
            row = row._replace(is_leaving=True)
        known = self._known.get(row.name)
        is_proven = is_new or (known is not None and known.is_proven)
        self._known[row.name] = _KnownVm(row, self._clock.elapsed(), is_proven)
        if known is None:
            return True
        return (known.row.incarnation, known.row.is_leaving) != (
            row.incarnation,
            row.is_leaving,
        )

    def note_leaving(self, name: str, incarnation: str) -> None:
        """Note that an incarnation of a VM said itself that it leaves."""
        self._left[name] = incarnation
        known = self._known.get(name)
        if known is not None and known.row.incarnation == incarnation:
            row = known.row._replace(is_leaving=True)
            self._known[name] = known._replace(row=row)

    def list_names(self) -> list[str]:
        """Return the names of the other VMs."""
        return list(self._known)

    def expire(self) -> list[str]:
        """Drop VMs whose rows are no longer renewed; called after each reading.

        Time in which the store was not read does not count against a VM.
        """
        now = self._clock.elapsed()
        missed = now - self._checked_at - EXPIRY / 3
        self._checked_at = now
        if missed > timedelta():
            self._known = {
                name: known._replace(renewed_at=known.renewed_at + missed)
                for name, known in self._known.items()
            }
        gone = [n for n, k in self._known.items() if now - k.renewed_at > EXPIRY]
        for name in gone:
            del self._known[name]
        return gone

    def count(self) -> int:
        """Return the number of VMs, leaving ones included."""
        return len(self._known) + 1

    def list_peers(self, names: Iterable[str]) -> list[tuple[str, int]]:
        """Return host and port of the other VMs among ``names`` for datagrams."""
        known = [self._known[name] for name in names if name in self._known]
        addresses = [each.row.peer_address for each in known]
        return [peer for peer in map(split_address, addresses) if peer is not None]

    def list_neighbours(self) -> list[str]:
        """Return the names of the other VMs of this VM's failure domain."""
        domain = self.own.failure_domain
        return [n for n, k in self._known.items() if k.row.failure_domain == domain]

    def rank_lenders(self, customer: str, names: Iterable[str]) -> list[VmRow]:
        """Return the VMs to borrow a customer's tokens from, the best first.

        Others are those among ``names`` that were heard directly within
        ``LENDER_SILENCE``, as requests wait for a loan.
        """
        rows = [
            known.row
            for known in map(self._known.get, names)
            if known is not None
            and not known.row.is_leaving
            and known.row.peer_address
            and self._is_heard(known.row.name)
        ]
        by_name = {row.name: row for row in [*rows, self.own]}
        return [by_name[name] for name in rank_by_hash(list(by_name), customer)]

    def _is_heard(self, name: str) -> bool:
        silence = self._find_silence(name)
        return silence is not None and silence <= LENDER_SILENCE

    def rank_by_demand(
        self, customer: str, names: Iterable[str], own_demand: float
    ) -> list[str]:
        """Return ``names`` by a customer's demand there, the largest first.

        Demands that differ by less than a factor of two leave the order to a hash, so
        that it seldom changes.
        """

        def find_level(name: str) -> int:
            known = self._known.get(name)
            demand = known.row.demand.get(customer, 0.0) if known else 0.0
            if name == self.own.name:
                demand = own_demand
            return math.floor(math.log2(demand + 1))

        ranked = rank_by_hash(list(names), customer)
        return sorted(ranked, key=find_level, reverse=True)

    def sum_demand(self, customer: str) -> float:
        """Return a customer's demand at the other VMs, in tokens/s."""
        return sum(
            k.row.demand.get(customer, 0.0) for k in self._known.values() if k.is_proven
        )

    def _find_present(self) -> list[_KnownVm]:
        """Return the VMs that were heard of lately, by their rows or directly.

        While more than half are silent, this VM is the one that is cut off,
        and all of them are returned.
        """
        now = self._clock.elapsed()
        known = [k for k in self._known.values() if k.is_proven]
        if not known:
            # All VMs may have started again together.
            return list(self._known.values())
        silent = {k.row.name for k in known if self._is_silent(k, now)}
        active = sum(k.row.is_active for k in known)
        if not silent or len(silent) * 2 > active:
            return known
        return [k for k in known if k.row.name not in silent]

    def _is_silent(self, known: _KnownVm, now: timedelta) -> bool:
        silence = self._find_silence(known.row.name)
        return (
            known.row.is_active
            and silence is not None
            and silence > PEER_EXPIRY
            and now - known.renewed_at > PEER_EXPIRY
        )

    def list_serving(self) -> list[VmRow]:
        """Return the VMs that serve callers, or are about to as this one is."""
        rows = [known.row for known in self._find_present() if known.row.address]
        return [row for row in [*rows, self.own] if not row.is_leaving]

    def list_addresses(self, names: Iterable[str]) -> list[str]:
        """Return the callers' addresses of the VMs ``names``, where they are ready."""
        rows = {name: known.row for name, known in self._known.items()}
        rows[self.own.name] = self.own
        addresses = [rows[name].address for name in names if name in rows]
        return [address for address in addresses if address]
