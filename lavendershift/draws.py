"""Keeping the accounts of a VM filled from the rows that all VMs share.

The customers' rows are spread over the partitions of a log by a hash of the
customer's name, so that VMs that draw for different customers seldom get in
each other's way. A full round goes through all partitions and moves what is
held towards its target; in between, requests that wait for tokens set off
rounds of their customers' partitions alone.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterator, Mapping, Sequence
from datetime import timedelta

import xxhash

from lavendershift.clocks import BootClock
from lavendershift.errors import LogUnavailableError
from lavendershift.grantrows import GrantLog, GrantRows
from lavendershift.passbook import Passbook
from lavendershift.prepaid import DrawView, PrepaidAccount, plan_draw

ROUND_INTERVAL = timedelta(seconds=1)  # between full rounds of a small fleet
ROUND_INTERVAL_PER_VM = timedelta(milliseconds=60)  # so that rounds seldom collide
ROWS_AGE = timedelta(seconds=3)  # of rows that full rounds plan from
WANTED_ROWS_AGE = timedelta(milliseconds=100)  # of rows that refuse a request
SETTLING_PAUSE = timedelta(milliseconds=2)  # between tries for a waiting request
AWAY_INTERVAL = timedelta(milliseconds=400)  # between tries while the store is away
SETTLE_TIME = timedelta(seconds=2)  # until the other VMs' rows were read
MAX_CONFLICTS = 6  # lost races in one round before the next one is waited for

DrawListener = Callable[[str, int, int], None]


def find_round_interval(vms: int) -> timedelta:
    """Return the time between full rounds in a fleet of ``vms``."""
    return max(ROUND_INTERVAL, vms * ROUND_INTERVAL_PER_VM)


def find_partition(customer: str, partitions: int) -> int:
    """Return the partition of a customer's row, the same on all VMs."""
    return xxhash.xxh3_64_intdigest(customer.encode()) % partitions


class TokenDraws:
    """Keeps the accounts of this VM filled.

    ``logs`` are the partitions of the rows. ``prepaid`` returns the newest
    totals, ``vms`` the number of live VMs and ``others_rate`` the demand of a
    customer at the other ones, in tokens/s.
    ``on_draw`` is told customer, tokens and the new total of grants.
    ``was_reached`` is set once a whole round went well: from then on requests
    that wait for tokens can get them.
    """

    def __init__(
        self,
        clock: BootClock,
        logs: Sequence[GrantLog],
        name: str,
        prepaid: Callable[[], Mapping[str, int]],
        vms: Callable[[], int],
        others_rate: Callable[[str], float] = lambda customer: 0.0,
        passbook: Passbook | None = None,
        on_draw: DrawListener = lambda customer, tokens, granted: None,
        on_reach: Callable[[bool, str], None] = lambda reached, reason: None,
    ) -> None:
        self._clock = clock
        self._prepaid = prepaid
        self._vms = vms
        self._others_rate = others_rate
        self._passbook = passbook
        self._on_reach = on_reach
        self.accounts: dict[str, PrepaidAccount] = {}
        self._rows = [
            GrantRows(clock, log, name, self.find_account, on_draw) for log in logs
        ]
        self.is_reached = False
        self.was_reached = False
        self._wanted: dict[str, int] = {}
        self._settling: dict[int, asyncio.Task[None]] = {}
        self._locks = [asyncio.Lock() for _ in logs]
        self._recording = asyncio.Lock()
        self._answered_at = timedelta()
        self._wake = asyncio.Event()
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
            while self.is_reached and self._may_have_left(customer, tokens):
                left = (deadline - self._clock.elapsed()).total_seconds()
                if left <= 0:
                    return False
                settling = self._start_settling(customer)
                await asyncio.wait({settling}, timeout=left)
                if settling.done():
                    settling.result()
                if account.reserve(tokens, self._clock.since_boot()):
                    return True
                await asyncio.sleep(SETTLING_PAUSE.total_seconds())
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
        granted = self._find_rows(customer).granted.get(customer, 0)
        return self._prepaid().get(customer, 0) - granted

    def _find_partition(self, customer: str) -> int:
        return find_partition(customer, len(self._rows))

    def _find_rows(self, customer: str) -> GrantRows:
        return self._rows[self._find_partition(customer)]

    def _may_have_left(self, customer: str, tokens: int) -> bool:
        """Whether ``tokens`` are left, by rows that are recent enough to tell."""
        if tokens > self._prepaid().get(customer, 0):
            return False
        if self.count_left(customer) + self.find_account(customer).free >= tokens:
            return True
        return self._find_rows(customer).is_older_than(WANTED_ROWS_AGE)

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
            interval = find_round_interval(self._vms())
            try:
                await self.run_round()
            except LogUnavailableError:
                interval = AWAY_INTERVAL
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), interval.total_seconds())
            self._wake.clear()

    async def run_round(self) -> None:
        """Move all accounts towards their targets and record what is held.

        Raises ``LogUnavailableError`` if no partition could be reached.
        """
        with self._watch_reach():
            if self._passbook is not None:
                await self._passbook.adopt(self.find_account)
        partitions = sorted({self._find_partition(c) for c in self._prepaid()})
        if partitions and not self.is_reached:
            await self._settle(partitions.pop(0))
        results = await asyncio.gather(
            *(self._settle(number) for number in partitions), return_exceptions=True
        )
        failures = [r for r in results if isinstance(r, BaseException)]
        if failures and len(failures) == len(results):
            raise failures[0]
        with self._watch_reach():
            await self._record()
        self.was_reached = self.was_reached or not failures

    def _start_settling(self, customer: str) -> "asyncio.Task[None]":
        """Return the running task that draws for ``customer``, or a new one."""
        number = self._find_partition(customer)
        task = self._settling.get(number)
        if task is None or task.done():
            task = asyncio.ensure_future(self._settle_urgently(number))
            self._settling[number] = task
        return task

    async def _settle_urgently(self, number: int) -> None:
        """Draw for the requests that wait for tokens of a partition."""
        with contextlib.suppress(LogUnavailableError):  # noted by the watch
            await self._settle(number)
            if self._is_bound_by_page(number):
                with self._watch_reach():
                    await self._record()

    def _is_bound_by_page(self, number: int) -> bool:
        """Whether a request waits though its tokens are here.

        The promise of the newest page keeps them from being spent.
        """
        return any(
            wanted > 0
            and self._find_partition(customer) == number
            and not self._count_missing(customer)
            for customer, wanted in self._wanted.items()
        )

    def _count_missing(self, customer: str) -> int:
        """Return the tokens that requests wait for and that are not here."""
        wanted = self._wanted.get(customer, 0)
        return max(wanted - self.find_account(customer).free, 0)

    async def _settle(self, number: int) -> None:
        """Change the rows of a partition as planned."""
        async with self._locks[number]:
            with self._watch_reach():
                await self._settle_rows(self._rows[number])

    async def _settle_rows(self, rows: GrantRows) -> None:
        if not self.is_reached or rows.is_older_than(ROWS_AGE):
            await rows.sync()
        for _ in range(MAX_CONFLICTS):
            deltas = self._plan(rows)
            if self._lacks(rows, deltas) and rows.is_older_than(WANTED_ROWS_AGE):
                await rows.sync()
                deltas = self._plan(rows)
            if not deltas or await rows.change(deltas, self._record):
                break
            await rows.sync()

    @contextlib.contextmanager
    def _watch_reach(self) -> Iterator[None]:
        """Note whether the store answered.

        A call without an answer says nothing while others are answered.
        """
        started = self._clock.elapsed()
        try:
            yield
        except LogUnavailableError as error:
            if self._answered_at <= started:
                self._note_reached(False, str(error))
            raise
        newest = max((r.read_at for r in self._rows if r.read_at), default=timedelta())
        if newest >= started:
            self._answered_at = self._clock.elapsed()
            self._note_reached(True, "")

    def _lacks(self, rows: GrantRows, deltas: Mapping[str, int]) -> bool:
        """Whether ``deltas`` leave a request without tokens."""
        return any(
            self._count_missing(customer) > deltas.get(customer, 0)
            for customer in self._wanted
            if self._find_rows(customer) is rows
        )

    async def _record(self) -> None:
        """Write what is held to the passbook."""
        if self._passbook is not None:
            async with self._recording:
                await self._passbook.record(self.accounts, self._wanted)

    def _note_reached(self, reached: bool, reason: str) -> None:
        if reached != self.is_reached:
            self.is_reached = reached
            self._on_reach(reached, reason)

    def _plan(self, rows: GrantRows) -> dict[str, int]:
        """Return the tokens to draw for the customers of a partition.

        Negative numbers are tokens to return.
        """
        deltas = {}
        now = self._clock.elapsed()
        for customer, prepaid in self._prepaid().items():
            if self._find_rows(customer) is not rows:
                continue
            account = self.find_account(customer)
            view = DrawView(
                prepaid=prepaid,
                granted=rows.granted.get(customer, 0),
                free=account.free,
                wanted=self._count_missing(customer),
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
            left = max(view.prepaid - view.granted, 0)
            return min(view.wanted, left) if view.wanted else -view.free
        if now < self._settles_at and not view.wanted:
            return 0
        return plan_draw(view)
