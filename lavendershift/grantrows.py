"""Rows of granted tokens in a log that all VMs share.

The prepaid total of a customer is drawn from by raising its row, the tokens
granted to VMs so far, and returned to by lowering it. A change is appended
under the condition that its partition still ends where this VM has read it. At
most one VM can therefore change a partition's rows at a time, and each change
is made from the newest rows.

Tokens are spent only after the change that granted them was acknowledged or
read back; tokens to be returned are taken out of use before the change is
sent. A change without an answer may still happen later, so its outcome is read
from the log: at its offset lies either it or another change, after which it
can no longer happen.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple, Protocol

from lavendershift.clocks import Clock
from lavendershift.errors import LogUnavailableError, RecordsExpiredError
from lavendershift.prepaid import PrepaidAccount


class DrawRefusedError(LogUnavailableError):
    """The store refused a change, as it does beyond its rate."""


class GrantRow(NamedTuple):
    """One change of one customer's row, as it lies in the log.

    ``granted`` is the new total, ``change`` names the change that made it.
    """

    customer: str
    granted: int
    change: str


class SwapResult(Enum):
    """What came of a conditional append."""

    DONE = "done"
    MOVED = "moved"
    REFUSED = "refused"  # for a reason that a repeat at once would meet again
    UNKNOWN = "unknown"


class GrantLog(Protocol):
    """One partition of the rows; calls raise ``LogUnavailableError``."""

    async def read_newest(self) -> tuple[list[GrantRow], int]:
        """Return the newest row of each customer and an end before them."""
        ...

    async def read_records(self, offset: int) -> list[GrantRow]:
        """Return the rows from ``offset`` on to the log's end."""
        ...

    async def swap(self, end: int, rows: list[GrantRow]) -> SwapResult:
        """Append ``rows``, all or none, if the log ends at ``end``."""
        ...


class _Unresolved(NamedTuple):
    """A change that was sent at ``offset`` and not answered."""

    offset: int
    change: str
    deltas: dict[str, int]


class GrantRows:
    """The rows of one partition, and this VM's changes to them.

    ``on_draw`` is told customer, tokens and the new total of grants.
    ``read_at`` is the time at which the rows were last known to be the newest.
    """

    def __init__(
        self,
        clock: Clock,
        log: GrantLog,
        name: str,
        find_account: Callable[[str], PrepaidAccount],
        on_draw: Callable[[str, int, int], None],
    ) -> None:
        self._clock = clock
        self._log = log
        self._name = name
        self._find_account = find_account
        self._on_draw = on_draw
        self.granted: dict[str, int] = {}
        self.read_at: timedelta | None = None
        self._end: int | None = None
        self._changes = 0
        self._unresolved: list[_Unresolved] = []

    def is_older_than(self, age: timedelta) -> bool:
        """Whether the rows have to be read to be at most ``age`` old.

        They have to be while a change is in doubt, whatever their age.
        """
        if self.read_at is None or self._unresolved:
            return True
        return self._clock.elapsed() - self.read_at > age

    async def sync(self) -> None:
        """Read the rows up to the log's end."""
        started = self._clock.elapsed()
        if self._end is None:
            rows, end = await self._log.read_newest()
            for row in rows:
                self.granted[row.customer] = row.granted
            self._end = end
        try:
            rows = await self._log.read_records(self._end)
        except RecordsExpiredError:
            self._forget()
            raise LogUnavailableError("rows expired before they were read") from None
        for offset, row in enumerate(rows, self._end):
            self._fold(offset, row)
        self._end += len(rows)
        self.read_at = started

    async def change(
        self, deltas: dict[str, int], record: Callable[[], Awaitable[None]]
    ) -> bool:
        """Append changes; false if another VM came first.

        Raises ``LogUnavailableError``, ``DrawRefusedError`` where the store
        refuses the call.
        ``record`` writes what is held to the passbook. It is awaited before
        tokens are returned, as a successor must not adopt them afterwards.
        """
        assert self._end is not None
        deltas = self._bound_returns(deltas)
        if not deltas:
            return True
        end, started = self._end, self._clock.elapsed()
        self._changes += 1
        change = f"{self._name}/{self._changes}"
        rows = [
            GrantRow(customer, self.granted.get(customer, 0) + delta, change)
            for customer, delta in deltas.items()
        ]
        for customer, delta in deltas.items():
            if delta < 0:
                self._find_account(customer).credit(delta)
        if any(delta < 0 for delta in deltas.values()):
            try:
                await record()
            except LogUnavailableError:
                self._undo(deltas)
                raise
        unresolved = _Unresolved(end, change, deltas)
        self._unresolved.append(unresolved)
        result = await self._log.swap(end, rows)
        if result is SwapResult.UNKNOWN:
            raise LogUnavailableError("no answer to a draw")
        self._unresolved.remove(unresolved)
        if result is not SwapResult.DONE:
            self._undo(deltas)
            if result is SwapResult.REFUSED:
                raise DrawRefusedError("a draw was refused")
            return False
        for offset, row in enumerate(rows, end):
            self._fold(offset, row)
        self._end = end + len(rows)
        self.read_at = started
        self._credit(deltas)
        return True

    def _bound_returns(self, deltas: dict[str, int]) -> dict[str, int]:
        """Return ``deltas`` without returns of what is in use by now.

        Requests come in between the plan and the change.
        """
        bounded = {
            customer: max(delta, -self._find_account(customer).free)
            for customer, delta in deltas.items()
        }
        return {customer: delta for customer, delta in bounded.items() if delta}

    def _undo(self, deltas: dict[str, int]) -> None:
        """Take back returns that did not happen."""
        for customer, delta in deltas.items():
            if delta < 0:
                self._find_account(customer).credit(-delta)

    def _credit(self, deltas: dict[str, int]) -> None:
        """Credit draws that happened; returns were taken out before."""
        for customer, delta in deltas.items():
            if delta > 0:
                self._find_account(customer).credit_drawn(delta)
            self._on_draw(customer, delta, self.granted.get(customer, 0))

    def _fold(self, offset: int, row: GrantRow) -> None:
        """Take over a row, which also decides the changes sent at its offset."""
        self.granted[row.customer] = row.granted
        for unresolved in [u for u in self._unresolved if u.offset == offset]:
            self._unresolved.remove(unresolved)
            if row.change == unresolved.change:
                self._credit(unresolved.deltas)
            else:
                self._undo(unresolved.deltas)

    def _forget(self) -> None:
        """Start from the newest rows again.

        What became of changes that lie in the gap cannot be told; their
        tokens count as granted and as not received.
        """
        self._end = None
        self.read_at = None
        self._unresolved.clear()
