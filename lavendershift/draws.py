"""Drawing prepaid tokens from the row that all VMs share, and returning them.

The rows of all customers lie in one ordered log, and a change is appended
under the condition that the log still ends where this VM has read it. At most
one VM can therefore change the rows at a time, and each change is made from
the newest rows. Tokens are spent only after the change that granted them was
acknowledged or read back; tokens to be returned are taken out of use before
the change is sent. A change without an answer may still happen later, so its
outcome is read from the log: at its offset lies either it or another change,
after which it can no longer happen.
"""

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from datetime import timedelta
from enum import Enum
from typing import NamedTuple, Protocol

from lavendershift.clocks import BootClock
from lavendershift.errors import LogUnavailableError, RecordsExpiredError
from lavendershift.passbook import Passbook
from lavendershift.prepaid import DrawView, PrepaidAccount, plan_draw

ROUND_INTERVAL = timedelta(seconds=1)  # between rounds without a waiting request
AWAY_INTERVAL = timedelta(milliseconds=400)  # between tries while the store is away
SETTLE_TIME = timedelta(seconds=2)  # until the other VMs' rows were read
MAX_CONFLICTS = 6  # lost races in one round before the next one is waited for


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
    UNKNOWN = "unknown"


class GrantLog(Protocol):
    """The ordered rows; calls raise ``LogUnavailableError``."""

    async def read_newest(self) -> tuple[list[GrantRow], int]:
        """Return the newest row of each customer and an end before them."""
        ...

    async def read_rows(self, offset: int) -> list[GrantRow]:
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


DrawListener = Callable[[str, int, int], None]


class TokenDraws:
    """Keeps the accounts of this VM filled.

    ``prepaid`` returns the newest totals, ``vms`` the number of live VMs and
    ``others_rate`` the demand of a customer at the other ones, in tokens/s.
    ``on_draw`` is told customer, tokens and the new total of grants.
    ``was_reached`` is set once a whole round went well: from then on requests
    that wait for tokens can get them.
    """

    def __init__(
        self,
        clock: BootClock,
        log: GrantLog,
        name: str,
        prepaid: Callable[[], Mapping[str, int]],
        vms: Callable[[], int],
        others_rate: Callable[[str], float] = lambda customer: 0.0,
        passbook: Passbook | None = None,
        on_draw: DrawListener = lambda customer, tokens, granted: None,
        on_reach: Callable[[bool, str], None] = lambda reached, reason: None,
    ) -> None:
        self._clock = clock
        self._log = log
        self._name = name
        self._prepaid = prepaid
        self._vms = vms
        self._others_rate = others_rate
        self._passbook = passbook
        self._on_draw = on_draw
        self._on_reach = on_reach
        self.accounts: dict[str, PrepaidAccount] = {}
        self.granted: dict[str, int] = {}
        self.is_reached = False
        self.was_reached = False
        self._end: int | None = None
        self._changes = 0
        self._wanted: dict[str, int] = {}
        self._unresolved: list[_Unresolved] = []
        self._wake = asyncio.Event()
        self._round_done = asyncio.Event()
        self._hold_nothing = False
        self._settles_at = clock.elapsed() + SETTLE_TIME

    def find_account(self, customer: str) -> PrepaidAccount:
        """Return the account of ``customer``, empty at first."""
        account = self.accounts.get(customer)
        if account is None:
            account = self.accounts[customer] = PrepaidAccount(customer)
        return account

    async def wait_for(self, customer: str, tokens: int, timeout: timedelta) -> bool:
        """Reserve ``tokens``, drawing them if need be.

        Returns false at once where the store is known to be away, or when
        the tokens did not come within ``timeout``.
        """
        account = self.find_account(customer)
        if account.reserve(tokens, self._clock.since_boot()):
            return True
        deadline = self._clock.elapsed() + timeout
        self.note_wanted(customer, tokens)
        try:
            while self.is_reached and self._has_left(customer, tokens):
                done = self._round_done
                self._wake.set()
                left = (deadline - self._clock.elapsed()).total_seconds()
                if left <= 0:
                    return False
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(done.wait(), left)
                if account.reserve(tokens, self._clock.since_boot()):
                    return True
            return False
        finally:
            self.note_wanted(customer, -tokens)

    def note_wanted(self, customer: str, tokens: int) -> None:
        """Note that requests wait for ``tokens`` more, or fewer if negative."""
        self._wanted[customer] = self._wanted.get(customer, 0) + tokens

    def measure_demand(self) -> dict[str, float]:
        """Return the recent demand of each customer here, in tokens/s."""
        now = self._clock.elapsed()
        return {name: a.find_rate(now) for name, a in self.accounts.items()}

    def count_wanted(self, customer: str) -> int:
        """Return the tokens that requests wait for."""
        return self._wanted.get(customer, 0)

    def count_left(self, customer: str) -> int:
        """Return the tokens of the total that are granted to nobody."""
        return self._prepaid().get(customer, 0) - self.granted.get(customer, 0)

    def _has_left(self, customer: str, tokens: int) -> bool:
        account = self.find_account(customer)
        return self.count_left(customer) + account.free >= tokens

    def return_all(self) -> None:
        """Return free tokens from the next round on, as the VM is leaving."""
        self._hold_nothing = True
        self._wake.set()

    def hold_again(self) -> None:
        """Draw ahead again after ``return_all``."""
        self._hold_nothing = False

    async def run(self) -> None:
        """Draw and return tokens until cancelled."""
        while True:
            interval = ROUND_INTERVAL
            try:
                await self.run_round()
            except LogUnavailableError as error:
                self._note_reached(False, str(error))
                interval = AWAY_INTERVAL
            else:
                self._note_reached(True, "")
                self.was_reached = True
            done, self._round_done = self._round_done, asyncio.Event()
            done.set()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), interval.total_seconds())
            self._wake.clear()

    async def run_round(self) -> None:
        """Bring the rows up to date, change them as planned and record that."""
        if self._passbook is not None:
            await self._passbook.adopt(self.find_account)
        await self._sync()
        for _ in range(MAX_CONFLICTS):
            deltas = self._plan()
            if not deltas or await self._change(deltas):
                break
            await self._sync()
        await self._record()

    async def _record(self) -> None:
        """Write what is held to the passbook."""
        if self._passbook is not None:
            await self._passbook.record(self.accounts, self._wanted)

    def _note_reached(self, reached: bool, reason: str) -> None:
        if reached != self.is_reached:
            self.is_reached = reached
            self._on_reach(reached, reason)

    def _plan(self) -> dict[str, int]:
        deltas = {}
        now = self._clock.elapsed()
        for customer, prepaid in self._prepaid().items():
            account = self.find_account(customer)
            wanted = max(self._wanted.get(customer, 0) - account.free, 0)
            view = DrawView(
                prepaid=prepaid,
                granted=self.granted.get(customer, 0),
                free=account.free,
                wanted=wanted,
                rate=account.find_rate(now),
                fleet_rate=self._others_rate(customer) + account.find_rate(now),
                largest=account.largest,
                vms=self._vms(),
                is_measured=account.is_measured(now),
            )
            delta = self._choose_delta(view, now)
            if delta:
                deltas[customer] = delta
        return deltas

    def _choose_delta(self, view: DrawView, now: timedelta) -> int:
        """Return the tokens to draw, or a negative number to return."""
        if self._hold_nothing:
            return -view.free
        if now < self._settles_at and not view.wanted:
            return 0
        return plan_draw(view)

    async def _change(self, deltas: dict[str, int]) -> bool:
        """Append the planned changes; false if another VM came first."""
        assert self._end is not None
        end = self._end
        self._changes += 1
        change = f"{self._name}/{self._changes}"
        rows = [
            GrantRow(customer, self.granted.get(customer, 0) + delta, change)
            for customer, delta in deltas.items()
        ]
        for customer, delta in deltas.items():
            if delta < 0:
                self.find_account(customer).credit(delta)
        if any(delta < 0 for delta in deltas.values()):
            # A successor must not adopt what is about to be returned.
            try:
                await self._record()
            except LogUnavailableError:
                self._undo(deltas)
                raise
        unresolved = _Unresolved(end, change, deltas)
        self._unresolved.append(unresolved)
        result = await self._log.swap(end, rows)
        if result is SwapResult.UNKNOWN:
            raise LogUnavailableError("no answer to a draw")
        self._unresolved.remove(unresolved)
        if result is SwapResult.MOVED:
            self._undo(deltas)
            return False
        for offset, row in enumerate(rows, end):
            self._fold(offset, row)
        self._end = end + len(rows)
        self._credit(deltas)
        return True

    def _undo(self, deltas: dict[str, int]) -> None:
        """Take back returns that did not happen."""
        for customer, delta in deltas.items():
            if delta < 0:
                self.find_account(customer).credit(-delta)

    def _credit(self, deltas: dict[str, int]) -> None:
        """Credit draws that happened; returns were taken out before."""
        for customer, delta in deltas.items():
            if delta > 0:
                self.find_account(customer).credit(delta)
            self._on_draw(customer, delta, self.granted.get(customer, 0))

    async def _sync(self) -> None:
        """Read the rows up to the log's end."""
        if self._end is None:
            rows, end = await self._log.read_newest()
            for row in rows:
                self.granted[row.customer] = row.granted
            self._end = end
        try:
            rows = await self._log.read_rows(self._end)
        except RecordsExpiredError:
            self._forget()
            raise LogUnavailableError("rows expired before they were read") from None
        for offset, row in enumerate(rows, self._end):
            self._fold(offset, row)
        self._end += len(rows)

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
        self._unresolved.clear()
