"""List of the live VMs of the fleet.

Each VM writes a row to the store and renews it periodically. A VM is listed while
its row is renewed and not marked as leaving, or while it sends datagrams: it may be
cut off from the store alone. While this VM can't reach the store, missing renewals say
nothing about the other VMs, and the list stays unchanged::

    vms = VmList(clock, "edge-1")
    vms.update(VmRow("edge-2", "10.0.0.2:80", "rennes", "a1", 7, False))
    vms.list_serving()
"""

import math
from collections.abc import Callable, Container, Iterable, Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.decoding import MAX_PORT, parse_count
from lavendershift.hashing import rank_by_hash

# Time without datagrams and renewals after which an active VM counts as silent: four
# datagram intervals, and one late row.
MAX_PEER_SILENCE = timedelta(milliseconds=2200)
# Time without datagrams after which no tokens are borrowed from a VM: two datagram
# intervals, and one late datagram.
MAX_LENDER_SILENCE = timedelta(milliseconds=1300)
# Time without renewals after which a VM is dropped: three renewal intervals, and the
# interval between two readings.
ROW_EXPIRY = timedelta(milliseconds=4500)
# Time between two readings that counts towards the age of rows; more is an outage.
MAX_READING_GAP = ROW_EXPIRY / 3
# Time that a stopped VM may be named beyond the stable window.
DIRECTORY_ALLOWANCE = timedelta(seconds=3)
# Part of the bound that isn't the age of a row: a reading interval of a standby VM
# (1.2 s) until the last row is read, the lifetime of a working set (0.4 s), and 0.8 s
# for slow calls and event loops.
DETECTION_RESERVE = timedelta(milliseconds=2400)
# Least age of a row after which its VM isn't listed: two renewals.
MIN_LISTING_EXPIRY = timedelta(milliseconds=2400)
# Time from the first reading in which each running VM renews its row, and the renewal
# is read: 1.2 s each, and a slow call.
UNRENEWED_EXPIRY = timedelta(milliseconds=2600)


class VmRow(NamedTuple):
    """The state that a VM publishes; ``renewal`` counts the rows it has written.

    ``demand`` is the recent demand of each customer on that VM, in tokens/s.
    ``capacity`` is the load that the VM can carry and ``arrivals`` the load that it
    gets, both in requests/s. An active VM (``is_active``) sends heartbeat datagrams;
    a standby VM does not. ``has_lost_tokens`` is set for some time after a start that
    followed a loss of power with tokens held.
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
    has_lost_tokens: bool = False


def split_address(address: str) -> tuple[str, int] | None:
    """Return the host and port of ``address``, or ``None`` if it is malformed."""
    host, _, port = address.rpartition(":")
    number = parse_count(port, MAX_PORT + 1)
    return (host, number) if host and number and number <= MAX_PORT else None


def find_listing_expiry(stable_window: timedelta) -> timedelta:
    """Return the age of a VM's row after which the VM isn't listed to callers.

    A VM that was killed must not be named from ``stable_window`` and 3 s on.
    """
    left = stable_window + DIRECTORY_ALLOWANCE - DETECTION_RESERVE
    return min(max(left, MIN_LISTING_EXPIRY), ROW_EXPIRY)


class _KnownVm(NamedTuple):
    """The newest row of a VM; ``has_renewed`` once a renewal of it was observed."""

    row: VmRow
    renewed_at: timedelta
    has_renewed: bool


class VmList:
    """The VMs known to this VM, itself included.

    ``listing_expiry`` is the age of its row after which a VM isn't listed.
    """

    def __init__(
        self, clock: Clock, own: VmRow, listing_expiry: timedelta = ROW_EXPIRY
    ) -> None:
        self._clock = clock
        self._listing_expiry = listing_expiry
        self._find_silence: Callable[[str], timedelta | None] = lambda name: None
        self.own = own
        self._known: dict[str, _KnownVm] = {}
        self._hosts: set[str] | None = None  # of the other VMs, if they were collected
        # The incarnation and renewal number of the newest row of each VM.
        self._newest_renewals: dict[str, tuple[str, int]] = {}
        # The last incarnation of each VM that announced its shutdown.
        self._leaving_incarnations: dict[str, str] = {}
        self._last_expiry = clock.elapsed()

    def set_silence_lookup(
        self, find_silence: Callable[[str], timedelta | None]
    ) -> None:
        """Set the function that returns the time since a VM's last datagram.

        It returns ``None`` for a VM that never sent one.
        """
        self._find_silence = find_silence

    def set_own(self, row: VmRow) -> None:
        """Replace this VM's own row."""
        self.own = row

    def update(self, row: VmRow, is_new: bool = True) -> bool:
        """Store a VM's row; return true if the VM is new or its state changed.

        Its state is its incarnation and whether it is leaving. A row older than the
        newest of its incarnation is ignored, as the store may execute an append
        without a response late. ``is_new`` marks a row written
        after this VM began to read; any other row may belong to a VM that
        stopped long ago, and if it was read before, the VM hasn't renewed it since.
        """
        if row.name == self.own.name:
            return False
        incarnation, renewal = self._newest_renewals.get(row.name, ("", 0))
        if row.incarnation == incarnation and row.renewal < renewal + (not is_new):
            return False
        self._newest_renewals[row.name] = (row.incarnation, row.renewal)
        if self._leaving_incarnations.get(row.name) == row.incarnation:
            row = row._replace(is_leaving=True)
        known = self._known.get(row.name)
        if known is None or known.row.peer_address != row.peer_address:
            self._hosts = None
        has_renewed = is_new or (known is not None and known.has_renewed)
        self._known[row.name] = _KnownVm(row, self._clock.elapsed(), has_renewed)
        if known is None:
            return True
        return (known.row.incarnation, known.row.is_leaving) != (
            row.incarnation,
            row.is_leaving,
        )

    def note_leaving(self, name: str, incarnation: str) -> None:
        """Mark an incarnation of a VM that announced its shutdown as leaving."""
        self._leaving_incarnations[name] = incarnation
        known = self._known.get(name)
        if known is not None and known.row.incarnation == incarnation:
            row = known.row._replace(is_leaving=True)
            self._known[name] = known._replace(row=row)

    def list_names(self) -> list[str]:
        """Return the names of the other VMs."""
        return list(self._known)

    def expire(self) -> list[str]:
        """Drop VMs whose rows are no longer renewed and return their names.

        Called after each reading. Time in which the store could not be read does
        not count towards the expiry of a row. A VM that sends datagrams runs, and
        stays.
        """
        now = self._clock.elapsed()
        missed = now - self._last_expiry - MAX_READING_GAP
        self._last_expiry = now
        if missed > timedelta():
            self._known = {
                name: known._replace(renewed_at=known.renewed_at + missed)
                for name, known in self._known.items()
            }
        expired = [
            name
            for name, known in self._known.items()
            if now - known.renewed_at > ROW_EXPIRY and not self._is_heard(name)
        ]
        for name in expired:
            del self._known[name]
            self._hosts = None
        return expired

    def count(self) -> int:
        """Return the number of known VMs, leaving ones and this one included."""
        return len(self._known) + 1

    def list_peers(self, names: Iterable[str]) -> list[tuple[str, int]]:
        """Return the datagram addresses of the other VMs among ``names``."""
        known = [self._known[name] for name in names if name in self._known]
        addresses = [each.row.peer_address for each in known]
        return [peer for peer in map(split_address, addresses) if peer is not None]

    def find_rows(self, names: Iterable[str]) -> list[VmRow]:
        """Return the rows of the other VMs among ``names``."""
        return [self._known[name].row for name in names if name in self._known]

    def is_vm(self, host: str) -> bool:
        """Whether a host is another VM."""
        if self._hosts is None:
            rows = (known.row for known in self._known.values())
            self._hosts = {row.peer_address.rpartition(":")[0] for row in rows}
        return host in self._hosts

    def list_domain_peers(self) -> list[str]:
        """Return the names of the other VMs in this VM's failure domain."""
        domain = self.own.failure_domain
        return [n for n, k in self._known.items() if k.row.failure_domain == domain]

    def rank_lenders(self, customer: str, names: Iterable[str]) -> list[VmRow]:
        """Return the VMs to borrow a customer's tokens from, the best first.

        This VM is among them. The others are those of ``names`` that sent a datagram
        within ``MAX_LENDER_SILENCE``: requests wait for a loan, so that its lender
        has to be reachable.
        """
        rows = [
            known.row
            for known in map(self._known.get, names)
            if known is not None
            and not known.row.is_leaving
            and known.row.peer_address
            and self._is_in_contact(known.row.name)
        ]
        by_name = {row.name: row for row in [*rows, self.own]}
        return [by_name[name] for name in rank_by_hash(list(by_name), customer)]

    def rank_standby(self, customer: str, active: Container[str]) -> list[VmRow]:
        """Return the VMs besides the ``active`` ones to borrow from, the best first.

        They send no datagrams by themselves, so that nothing is known of their store.
        """
        rows = {
            known.row.name: known.row
            for known in self._known.values()
            if known.row.name not in active
            and not known.row.is_leaving
            and self._is_reachable(known.row.name)
        }
        return [rows[name] for name in rank_by_hash(list(rows), customer)]

    def choose_keeper(self, key: str, candidates: Iterable[Sequence[str]]) -> str:
        """Return the name of the VM that keeps a server's permits or another fact.

        ``candidates`` are the names of the VMs of each failure domain in a ranking
        that is the same on all VMs. The first of each domain that can be reached
        stands for its domain, and a hash of ``key`` chooses among these.
        """
        leaders = []
        for ranked in candidates:
            leaders += [name for name in ranked if self._is_reachable(name)][:1]
        return rank_by_hash(leaders, key)[0] if leaders else self.own.name

    def _is_reachable(self, name: str) -> bool:
        """Whether nothing shows that a VM can't be reached.

        Only active VMs send datagrams, and not to all standby VMs.
        """
        if name == self.own.name:
            return True
        known = self._known.get(name)
        if known is None or split_address(known.row.peer_address) is None:
            return False
        silence = self._find_silence(name)
        is_silent = silence is not None and silence > MAX_LENDER_SILENCE
        return not (known.row.is_active and is_silent)

    def _is_heard(self, name: str) -> bool:
        silence = self._find_silence(name)
        return silence is not None and silence <= MAX_PEER_SILENCE

    def _is_in_contact(self, name: str) -> bool:
        silence = self._find_silence(name)
        return silence is not None and silence <= MAX_LENDER_SILENCE

    def rank_by_demand(
        self, customer: str, names: Iterable[str], own_demand: float
    ) -> list[str]:
        """Return ``names`` sorted by a customer's demand on each, the largest first.

        Demand is compared by its power of two, and equal levels are ordered by hash,
        so that small changes of demand seldom change the order.
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
        """Return a customer's total demand on the other VMs, in tokens/s."""
        return sum(
            k.row.demand.get(customer, 0.0)
            for k in self._known.values()
            if k.has_renewed
        )

    def measure_lost_fraction(self) -> float:
        """Return the fraction of the VMs that recently lost tokens with their power."""
        rows = [self.own, *(k.row for k in self._known.values() if k.has_renewed)]
        # Standby VMs hold no tokens, so that they have none to lose.
        holders = [row for row in rows if row.is_active or row.has_lost_tokens]
        if not holders:
            return 0.0
        return sum(row.has_lost_tokens for row in holders) / len(holders)

    def _list_live(self) -> list[_KnownVm]:
        """Return the VMs that recently renewed their rows or sent datagrams.

        While more than half of the active VMs are silent, this VM is presumed to be
        the partitioned one, and all those are returned whose rows aren't too old.
        """
        now = self._clock.elapsed()
        listed = [k for k in self._known.values() if not self._is_overdue(k, now)]
        known = [k for k in listed if k.has_renewed or self._is_heard(k.row.name)]
        if not known:
            # All VMs may have restarted together.
            return listed
        silent = {k.row.name for k in known if self._is_silent(k, now)}
        active = sum(k.row.is_active for k in known)
        if not silent or len(silent) * 2 > active:
            return known
        return [k for k in known if k.row.name not in silent]

    def _is_overdue(self, known: _KnownVm, now: timedelta) -> bool:
        """Whether a VM that runs would have renewed its row, and isn't heard either.

        Time since the last reading counts only as far as it is no outage.
        """
        age = min(now, self._last_expiry + MAX_READING_GAP) - known.renewed_at
        limit = self._listing_expiry
        if not known.has_renewed:
            limit = min(limit, UNRENEWED_EXPIRY)
        return age > limit and not self._is_heard(known.row.name)

    def _is_silent(self, known: _KnownVm, now: timedelta) -> bool:
        silence = self._find_silence(known.row.name)
        return (
            known.row.is_active
            and silence is not None
            and silence > MAX_PEER_SILENCE
            and now - known.renewed_at > MAX_PEER_SILENCE
        )

    def list_serving(self) -> list[VmRow]:
        """Return the live VMs that serve callers and aren't leaving.

        This VM is included even before it is ready, unless it is leaving.
        """
        rows = [known.row for known in self._list_live() if known.row.address]
        return [row for row in [*rows, self.own] if not row.is_leaving]

    def list_addresses(self, names: Iterable[str]) -> list[str]:
        """Return the callers' addresses of those VMs in ``names`` that are ready."""
        rows = {name: known.row for name, known in self._known.items()}
        rows[self.own.name] = self.own
        addresses = [rows[name].address for name in names if name in rows]
        return [address for address in addresses if address]
