"""Grants of prepaid tokens that a restored store has lost.

A copy of the store lacks the grants made after it, but the tokens may be spent. Each VM
knows the newest number of grants that it has read or written; after a restore it writes
the number again if the store's record is lower, so that the record rises to the largest
number that any VM knows. Nothing is drawn until each VM in contact had the time to do
so::

    grants = KnownGrants(clock)
    grants.begin(History(0, 4))
    grants.note("plume", 5000, era=4, is_settled=True)
    grants.begin(History(0, 5))
    grants.note("plume", 3000, era=4, is_settled=True)
    grants.lost  # {"plume": 5000}, to be written again

VMs also tell each other of their draws (``grantnotices``), so that the draw of a VM
that has ended since is known to another one. Before its first draw in a history, a VM
asks the others for grants that they can't write, as the store may reject them, or
hasn't told them of the restore::

    grants.begin_inquiry(["plume"])  # {"plume": 3000}, to be sent to the others
    grants.is_answered("plume")  # once they had the time to reply

The larger number is kept where two VMs know different ones, also if the smaller one is
newer: tokens returned since then stay granted, which never overspends a total.
"""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.storehistories import History

# Time from the first reading after a restore until tokens are drawn. VMs read some
# topic of the store every 0.4 to 1.2 s, and then write lost grants at once.
CONFIRMATION_TIME = timedelta(seconds=2)
# Time in which other VMs reply to an inquiry; event loops pause for up to 300 ms.
ANSWER_TIME = timedelta(milliseconds=400)
# Time from the first reading in which other VMs are asked: the store may reject a VM
# for 9 s.
INQUIRY_TIME = timedelta(seconds=10)
INQUIRIES = 2  # for each customer, as datagrams get lost
MAX_ASKED = 50  # customers in one inquiry, which goes to all active VMs
# The era of a store that was never restored, if it counts from 1.
FIRST_ERA = 1


class _Inquiry(NamedTuple):
    """When other VMs were asked about a customer first and last, and how often."""

    first: timedelta
    last: timedelta
    number: int = 1


class KnownGrants:
    """The numbers of grants in one partition of the quota records.

    ``granted`` holds the number for each customer, and ``lost`` the numbers that the
    store's records lack.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.granted: dict[str, int] = {}
        self.lost: dict[str, int] = {}
        self._history: History | None = None
        self._began_at = timedelta()
        self._has_changed = self._has_moved = False
        self._has_older_records = False
        # Customers whose newest record was written after lost grants were.
        self._confirmed: set[str] = set()
        # Grants that other VMs have told of and when, by customer and era.
        self._told: dict[tuple[str, int], tuple[int, timedelta]] = {}
        self._inquiries: dict[str, _Inquiry] = {}

    @property
    def era(self) -> int:
        """The era of the store, 0 if it is unknown."""
        return self._history.era if self._history else 0

    def is_settled(self, customer: str) -> bool:
        """Return whether lost grants were written again, so that tokens may be drawn.

        A process that has just started doesn't know when the store was restored, and
        waits unless the record shows that another VM has waited. At a store that was
        never restored all records are of its first era.
        """
        if self.lost:
            return False
        if self._is_confirmed(customer):
            return True
        return self._clock.elapsed() - self._began_at >= CONFIRMATION_TIME

    def _is_confirmed(self, customer: str) -> bool:
        is_first = not self._has_changed and self.era <= FIRST_ERA
        # Records of a copy at another address may have been confirmed at the old one.
        is_confirmed = customer in self._confirmed and not self._has_moved
        return is_confirmed or (is_first and not self._has_older_records)

    def is_answered(self, customer: str) -> bool:
        """Return whether other VMs had the time to reply, if they are to be asked."""
        now = self._clock.elapsed()
        if now - self._began_at >= INQUIRY_TIME or self._is_confirmed(customer):
            return True
        inquiry = self._inquiries.get(customer)
        return inquiry is not None and now - inquiry.first >= ANSWER_TIME

    def find_wait(self, customer: str) -> timedelta:
        """Return how long nothing can be drawn for ``customer``, as far as is known."""
        if self._is_confirmed(customer) and not self.lost:
            return timedelta()
        now = self._clock.elapsed()
        until = self._began_at + CONFIRMATION_TIME
        if not self.is_answered(customer):
            inquiry = self._inquiries.get(customer)
            until = max(until, (inquiry.first if inquiry else now) + ANSWER_TIME)
        return max(until - now, timedelta())

    def begin_inquiry(self, customers: Iterable[str]) -> dict[str, int]:
        """Return the known grants of the ``customers`` to ask other VMs about now.

        The others of more than ``MAX_ASKED`` are asked about the next time.
        """
        now = self._clock.elapsed()
        asked: dict[str, int] = {}
        if now - self._began_at >= INQUIRY_TIME:
            return asked
        for customer in customers:
            if len(asked) == MAX_ASKED:
                break
            inquiry = self._inquiries.get(customer)
            if self._is_confirmed(customer):
                continue
            if inquiry is None:
                self._inquiries[customer] = _Inquiry(now, now)
            elif inquiry.number < INQUIRIES and now - inquiry.last >= ANSWER_TIME:
                number = inquiry.number + 1
                self._inquiries[customer] = _Inquiry(inquiry.first, now, number)
            else:
                continue
            asked[customer] = self.granted.get(customer, 0)
        return asked

    def find_known(self, customer: str) -> int:
        """Return the largest number that was read, written or told."""
        told = [n for (c, _), (n, _) in self._told.items() if c == customer]
        return max([self.granted.get(customer, 0), *told])

    def begin(self, history: History) -> None:
        """Begin with the records of ``history``; all that is known may be lost."""
        if history == self._history:
            return
        if self._history is not None:
            self._has_changed = True
            self._has_moved = history.moves != self._history.moves
            self.lost = dict(self.granted)
        self._history = history
        self._inquiries.clear()
        told, self._told = self._told, {}
        for (customer, era), notice in told.items():
            if era < history.era or self._has_moved:
                self.raise_lost(customer, notice[0])
            else:
                self._told[customer, era] = notice
        self._began_at = self._clock.elapsed()
        self._has_older_records = False
        self._confirmed.clear()

    def forget(self, customer: str) -> None:
        """Write no number again for a customer whose newest record is malformed."""
        self.lost.pop(customer, None)

    def has_told_before(self, history: History) -> bool:
        """Return whether ``history`` may lack grants that other VMs have told of."""
        return any(era < history.era for _, era in self._told)

    def raise_lost(self, customer: str, granted: int) -> None:
        """Note grants that the store's record may lack."""
        if granted > self.granted.get(customer, 0):
            self.granted[customer] = self.lost[customer] = granted

    def note_told(self, customer: str, granted: int, era: int) -> None:
        """Note the grants after a draw of another VM, which may not be read yet."""
        if era < self.era:
            self.raise_lost(customer, granted)
            return
        told, _ = self._told.get((customer, era), (0, timedelta()))
        self._told[customer, era] = max(told, granted), self._clock.elapsed()

    def note_reading(self, began_at: timedelta) -> None:
        """Note that all records were read that were written before ``began_at``."""
        self._told = {c: t for c, t in self._told.items() if t[1] >= began_at}

    def note(self, customer: str, granted: int, era: int, is_settled: bool) -> None:
        """Note a record that was written in ``era``.

        A lower number than the known one from an earlier era is part of the copy, or an
        append from before the restore that the store executed late. A later era than
        the store's was read from a damaged response, or at another address.
        """
        known = self.granted.get(customer, 0)
        if era != self.era:
            self._has_older_records = True
            self._confirmed.discard(customer)
            if granted < known:
                self.lost[customer] = known
                return
        elif is_settled and era > 0:
            self._confirmed.add(customer)
        if granted < self.lost.get(customer, 0):
            return
        self.lost.pop(customer, None)
        self.granted[customer] = granted
