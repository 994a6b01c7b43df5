"""Keeping the accounts of a VM filled from the rows that all VMs share.

The customers' rows are spread over the partitions of a log by a hash of the
customer's name, so that VMs that draw for different customers seldom get in
each other's way. A full round goes through all partitions and moves what is
held towards its target; in between, requests that wait for tokens set off
rounds of their customers' partitions alone.

In a large fleet one VM draws for all others, its customers' lender, and they
borrow from it. Everywhere loans help out while the store does not answer or
when the rest of a total lies with other VMs.
"""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Awaitable, Callable, Iterator, Mapping, Sequence
from datetime import timedelta

from lavendershift.clocks import BootClock
from lavendershift.errors import LogUnavailableError
from lavendershift.grantrows import DrawRefusedError, QuotaLog, QuotaRecords
from lavendershift.needs import PendingTokens, TokenRequest
from lavendershift.partitions import find_partition
from lavendershift.passbook import SNAPSHOT_INTERVAL, LeaseBook
from lavendershift.prepaid import (
    LARGE_FLEET,
    DrawView,
    PrepaidAccount,
    bound_draw,
    find_urgent_reserve,
    plan_draw,
)

ROUND_INTERVAL = timedelta(seconds=1)  # between full rounds of a small fleet
ROUND_INTERVAL_PER_VM = timedelta(milliseconds=120)  # so that rounds seldom collide
SMALL_SPREAD, LARGE_SPREAD = 0.1, 0.5  # of the interval, either way
ROWS_AGE = timedelta(seconds=3)  # of rows that full rounds plan from, or two rounds
WANTED_ROWS_AGE = timedelta(milliseconds=100)  # of rows that refuse a request
TRIES_ALONE = 2  # at a draw, before others are asked for what they hold
SETTLING_PAUSE = timedelta(milliseconds=10)  # between tries for a waiting request
DOUBTED_AFTER = timedelta(milliseconds=400)  # of some calls of 4 ms each
AWAY_INTERVAL = timedelta(milliseconds=400)  # between tries while the store is away
IDLE_AWAY_INTERVAL = timedelta(seconds=1)  # the same where nothing is held ahead
SETTLE_TIME = timedelta(seconds=2)  # until the other VMs' rows were read
LENDING_TIME = timedelta(milliseconds=500)  # of the fleet's demand, kept for loans
LENDING_PART = 0.1  # of what is left, kept for loans at most
LENT_DRAW_TIMEOUT = timedelta(milliseconds=100)  # for a draw that a loan needs
KEPT_TIME = timedelta(milliseconds=500)  # of the own demand, not lent without the store
MAX_CONFLICTS = 6  # lost races in one round before the next one is waited for


DrawListener = Callable[[str, int, int], None]
Borrow = Callable[[TokenRequest, int], Awaitable[int]]


async def borrow_nothing(request: TokenRequest, most: int) -> int:
    """Return 0, for a fleet without loans."""
    return 0


def find_round_interval(vms: int) -> timedelta:
    """Return the time between full rounds in a fleet of ``vms``."""
    return max(ROUND_INTERVAL, vms * ROUND_INTERVAL_PER_VM)


class TokenDraws:
    """Keeps the accounts of this VM filled.

    ``logs`` are the partitions of the rows. ``prepaid`` returns the newest
    totals, ``vms`` the number of VMs that hold tokens ahead and ``others_rate``
    the demand of a customer at the other ones, in tokens/s.
    ``on_draw`` is told customer, tokens and the new total of grants.
    ``holds_ahead`` tells whether this VM draws before requests come; where it does
    not, it draws what they need and returns the rest. ``find_rank`` returns this
    VM's place among those that hold a customer's tokens, 0 first.
    ``has_synced`` is set once a whole round went well: from then on requests
    that wait for tokens can get them. Rounds begin with ``mark_totals_known``.
    """

    def __init__(
        self,
        clock: BootClock,
        logs: Sequence[QuotaLog],
        name: str,
        prepaid: Callable[[], Mapping[str, int]],
        vms: Callable[[], int],
        others_rate: Callable[[str], float] = lambda customer: 0.0,
        lease_book: LeaseBook | None = None,
        on_draw: DrawListener = lambda customer, tokens, granted: None,
        on_reach: Callable[[bool, str], None] = lambda reached, reason: None,
        holds_ahead: Callable[[], bool] = lambda: True,
        find_rank: Callable[[str], int] = lambda customer: 0,
    ) -> None:
        self._clock = clock
        self._rng = random.Random(name)
        self._prepaid = prepaid
        self._vms = vms
        self._others_rate = others_rate
        self._lease_book = lease_book
        self._on_reach = on_reach
        self._holds_ahead = holds_ahead
        self._find_rank = find_rank
        self.accounts: dict[str, PrepaidAccount] = {}
        self._rows = [
            QuotaRecords(clock, log, name, self.find_account, on_draw) for log in logs
        ]
        self.is_store_reachable = False
        self.has_synced = False
        self.pending = PendingTokens(clock.elapsed())
        self._settling: dict[int, asyncio.Task[bool]] = {}
        self._locks = [asyncio.Lock() for _ in logs]
        self._recording = asyncio.Lock()
        self._answered_at = timedelta()
        self._waiting_since: list[timedelta] = []
        self._wake = asyncio.Event()
        self._knows_totals = asyncio.Event()
        self._hold_nothing = False
        self._borrow: Borrow = borrow_nothing
        self._is_lender: Callable[[str], bool] = lambda customer: True
        self._settles_at = clock.elapsed() + SETTLE_TIME

    def find_account(self, customer: str) -> PrepaidAccount:
        """Return the account of ``customer``, empty at first."""
        account = self.accounts.get(customer)
        if account is None:
            account = self.accounts[customer] = PrepaidAccount(customer)
        return account

    def use_loans(self, borrow: Borrow, is_lender: Callable[[str], bool]) -> None:
        """Borrow with ``borrow``; ``is_lender`` tells whose lender this VM is."""
        self._borrow = borrow
        self._is_lender = is_lender

    async def wait_for(self, request: TokenRequest, timeout: timedelta) -> bool:
        """Reserve the tokens of ``request``, borrowing or drawing them if need be.

        Returns false when the tokens did not come within ``timeout``, sooner
        where neither the store nor a lender is in reach.
        """
        self.pending.note_arrival(request, self._clock.elapsed())
        if self._reserve(request):
            return True
        deadline = self._clock.elapsed() + timeout
        borrows_first = not self._draws_itself(request.customer)
        if borrows_first and await self._borrow_for(request, deadline):
            return True
        if await self._draw_for(request, deadline):
            return True
        return not borrows_first and await self._borrow_for(request, deadline)

    def _reserve(self, request: TokenRequest) -> bool:
        account = self.find_account(request.customer)
        return self.pending.can_take(request, account.free) and account.reserve(
            request.tokens, self._clock.since_boot()
        )

    def _draws_itself(self, customer: str) -> bool:
        return self._vms() < LARGE_FLEET or self._is_lender(customer)

    async def _borrow_for(self, request: TokenRequest, deadline: timedelta) -> bool:
        """Reserve tokens after borrowing what is missing."""
        customer, tokens, _ = request
        missing = tokens - self.find_account(customer).free
        left = (deadline - self._clock.elapsed()).total_seconds()
        if left <= 0 or tokens > self._prepaid().get(customer, 0):
            return False
        if missing > 0:
            now = self._clock.elapsed()
            view = self._make_view(customer, now)._replace(wanted=missing)
            most = max(plan_draw(view), missing)
            try:
                async with asyncio.timeout(left):
                    await self._borrow(request._replace(tokens=missing), most)
            except TimeoutError:
                return False
        return self._reserve(request)

    async def _draw_for(self, request: TokenRequest, deadline: timedelta) -> bool:
        """Reserve tokens after drawing what is missing."""
        self.pending.add(request)
        try:
            for tries in itertools.count(1):
                left = (deadline - self._clock.elapsed()).total_seconds()
                if (
                    left <= 0
                    or not self.is_store_reachable
                    or not self._may_have_left(request)
                ):
                    return False
                settling = self._start_settling(request.customer)
                await asyncio.wait({settling}, timeout=left)
                if self._reserve(request):
                    return True
                if settling.done() and not settling.result():
                    return False
                # A slow VM may lose every race for the rows.
                if tries == TRIES_ALONE and await self._borrow_for(request, deadline):
                    return True
                await asyncio.sleep(SETTLING_PAUSE.total_seconds())
            return False
        finally:
            self.pending.remove(request)

    async def lend(self, request: TokenRequest, most: int) -> int:
        """Take tokens out of use for another VM; returns how many.

        While the store is away, what this VM will soon need itself is kept.
        """
        self.pending.note_arrival(request, self._clock.elapsed())
        account = self.find_account(request.customer)
        kept = 0
        if not self.is_store_reachable:
            rate = account.find_rate(self._clock.elapsed())
            kept = int(rate * KEPT_TIME.total_seconds())
        for tokens in (most, request.tokens):
            if account.free - tokens >= kept and account.lend(
                tokens, self._clock.since_boot()
            ):
                return tokens
        deadline = self._clock.elapsed() + LENT_DRAW_TIMEOUT
        if not await self._draw_for(request, deadline):
            return 0
        account.settle(request.tokens, used=request.tokens)
        return request.tokens

    def add_loan(self, customer: str, tokens: int) -> None:
        """Add tokens that another VM has taken out of use."""
        self.find_account(customer).credit_drawn(tokens)

    def measure_demand(self) -> dict[str, float]:
        """Return the recent demand of each customer here, in tokens/s."""
        now = self._clock.elapsed()
        return {name: a.find_rate(now) for name, a in self.accounts.items()}

    def measure_free(self) -> dict[str, int]:
        """Return the free tokens of each customer here."""
        return {name: account.free for name, account in self.accounts.items()}

    def count_left(self, customer: str) -> int:
        """Return the tokens of the total that are granted to nobody."""
        granted = self._find_rows(customer).granted.get(customer, 0)
        return self._prepaid().get(customer, 0) - granted

    def count_usable(self, customer: str, is_urgent: bool) -> int:
        """Return the tokens of the total that a request may still draw."""
        kept = 0 if is_urgent else self._count_kept(customer)
        return max(self.count_left(customer) - kept, 0)

    def _count_kept(self, customer: str) -> int:
        """Return the last part of the total, which only urgent requests draw."""
        if not self.pending.expects_urgent(customer, self._clock.elapsed()):
            return 0
        return find_urgent_reserve(self._prepaid().get(customer, 0))

    def _find_partition(self, customer: str) -> int:
        return find_partition(customer, len(self._rows))

    def _find_rows(self, customer: str) -> QuotaRecords:
        return self._rows[self._find_partition(customer)]

    def _may_have_left(self, request: TokenRequest) -> bool:
        """Whether tokens are left, by rows that are recent enough to tell."""
        if request.tokens > self._prepaid().get(request.customer, 0):
            return False
        usable = self.count_usable(request.customer, request.is_urgent)
        if usable + self.find_account(request.customer).free >= request.tokens:
            return True
        return self._find_rows(request.customer).is_older_than(WANTED_ROWS_AGE)

    def return_all(self) -> None:
        """Return free tokens from the next round on, as the VM is leaving."""
        self._hold_nothing = True
        self._wake.set()

    def hold_again(self) -> None:
        """Draw ahead again after ``return_all``."""
        self._hold_nothing = False

    @property
    def is_store_responsive(self) -> bool:
        """Whether the store answers, by calls that still wait as well."""
        doubtful = self._clock.elapsed() - DOUBTED_AFTER
        return self.is_store_reachable and all(
            at > doubtful for at in self._waiting_since
        )

    def mark_totals_known(self) -> None:
        """Note that the totals are known, without which no round is whole."""
        self._knows_totals.set()

    async def run(self) -> None:
        """Draw and return tokens until cancelled."""
        await self._knows_totals.wait()
        while True:
            interval = self._choose_interval()
            try:
                await self.run_round()
            except LogUnavailableError:
                interval = AWAY_INTERVAL if self._holds_ahead() else IDLE_AWAY_INTERVAL
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), interval.total_seconds())
            self._wake.clear()

    async def run_snapshots(self) -> None:
        """Write pages between the rounds until cancelled.

        The younger a page, the more of the tokens a successor can adopt.
        """
        while True:
            await asyncio.sleep(SNAPSHOT_INTERVAL.total_seconds())
            if not (
                self.has_synced and self.is_store_reachable and self._holds_ahead()
            ):
                continue
            try:
                with self._watch_reach():
                    await self._record()
            except LogUnavailableError:
                continue  # noted by the watch

    def _choose_interval(self) -> timedelta:
        """Return the time to the next round, spread so that VMs don't meet.

        All VMs of a fleet start at the same time.
        """
        vms = self._vms()
        spread = LARGE_SPREAD if vms >= LARGE_FLEET else SMALL_SPREAD
        return find_round_interval(vms) * self._rng.uniform(1 - spread, 1 + spread)

    async def run_round(self) -> None:
        """Move all accounts towards their targets and record what is held.

        Raises ``LogUnavailableError`` if no partition could be reached.
        """
        with self._watch_reach():
            if self._lease_book is not None:
                await self._lease_book.adopt(self.find_account)
        partitions = self._list_partitions()
        if partitions and not self.is_store_reachable:
            await self._settle(partitions.pop(0))
        failures = await self._settle_all(partitions)
        if failures and len(failures) == len(partitions):
            raise failures[0]
        with self._watch_reach():
            await self._record()
        self.has_synced = self.has_synced or not failures

    def _list_partitions(self) -> list[int]:
        """Return the partitions whose rows a full round looks at."""
        used = {self._find_partition(c) for c in self._prepaid()}
        if not self._holds_ahead() and self.is_store_reachable:
            held = [c for c, account in self.accounts.items() if account.free]
            used &= {self._find_partition(customer) for customer in held}
        return sorted(used)

    async def _settle_all(self, partitions: Sequence[int]) -> list[LogUnavailableError]:
        """Settle partitions; returns the failures.

        In a large fleet one is settled after the other, as the store's rate
        bounds the calls of all VMs together.
        """
        at_once = 1 if self._vms() >= LARGE_FLEET else len(partitions)
        failures: list[LogUnavailableError] = []
        for start in range(0, len(partitions), max(at_once, 1)):
            results = await asyncio.gather(
                *(self._settle(n) for n in partitions[start : start + at_once]),
                return_exceptions=True,
            )
            for result in results:
                if isinstance(result, LogUnavailableError):
                    failures.append(result)
                elif isinstance(result, BaseException):
                    raise result
        return failures

    def _start_settling(self, customer: str) -> "asyncio.Task[bool]":
        """Return the running task that draws for ``customer``, or a new one."""
        number = self._find_partition(customer)
        task = self._settling.get(number)
        if task is None or task.done():
            task = asyncio.ensure_future(self._settle_urgently(number))
            self._settling[number] = task
        return task

    async def _settle_urgently(self, number: int) -> bool:
        """Draw for the requests that wait for tokens of a partition.

        Returns false if the store did not do what it was asked.
        """
        try:
            await self._settle(number, is_urgent=True)
            if self._is_bound_by_page(number):
                with self._watch_reach():
                    await self._record()
        except LogUnavailableError:  # noted by the watch
            return False
        return True

    def _is_bound_by_page(self, number: int) -> bool:
        """Whether a request waits though its tokens are here.

        The promise of the newest page keeps them from being spent.
        """
        return any(
            wanted > 0
            and self._find_partition(customer) == number
            and not self._count_missing(customer)
            for customer, wanted in self.pending.all.items()
        )

    def _count_missing(self, customer: str) -> int:
        """Return the tokens that requests wait for and that are not here."""
        return self.pending.count_missing(customer, self.find_account(customer).free)

    async def _settle(self, number: int, is_urgent: bool = False) -> None:
        """Change the rows of a partition as planned.

        Nothing is returned where requests wait, as a return writes a page first.
        """
        async with self._locks[number]:
            with self._watch_reach():
                await self._settle_rows(self._rows[number], is_urgent)

    async def _settle_rows(self, rows: QuotaRecords, is_urgent: bool) -> None:
        age = max(ROWS_AGE, 2 * find_round_interval(self._vms()))
        if not self.is_store_reachable or rows.is_older_than(age):
            await rows.sync()
        for _ in range(MAX_CONFLICTS):
            deltas = await self._borrow_planned(self._plan(rows, is_urgent))
            if self._lacks(rows, deltas) and rows.is_older_than(WANTED_ROWS_AGE):
                await rows.sync()
                deltas = await self._borrow_planned(self._plan(rows, is_urgent))
            if not deltas or await rows.change(deltas, self._record):
                break
            await rows.sync()

    @contextlib.contextmanager
    def _watch_reach(self) -> Iterator[None]:
        """Note whether the store answered.

        A call without an answer says nothing while others are answered.
        """
        started = self._clock.elapsed()
        self._waiting_since.append(started)
        try:
            yield
        except DrawRefusedError:
            raise
        except LogUnavailableError as error:
            if self._answered_at <= started:
                self._note_reached(False, str(error))
            raise
        finally:
            self._waiting_since.remove(started)
        newest = max((r.read_at for r in self._rows if r.read_at), default=timedelta())
        if newest >= started:
            self._answered_at = self._clock.elapsed()
            self._note_reached(True, "")

    async def _borrow_planned(self, deltas: dict[str, int]) -> dict[str, int]:
        """Borrow what lenders draw for this VM; returns what is left to change."""
        borrowed = {
            customer: delta
            for customer, delta in deltas.items()
            if delta > 0 and not self._draws_itself(customer)
        }
        if not borrowed:
            return deltas
        pending = [TokenRequest(c, max(d // 2, 1), False) for c, d in borrowed.items()]
        results = await asyncio.gather(
            *(self._borrow(n, borrowed[n.customer]) for n in pending)
        )
        found = {c for c, tokens in zip(borrowed, results, strict=True) if tokens}
        return {c: d for c, d in deltas.items() if c not in found}

    def _lacks(self, rows: QuotaRecords, deltas: Mapping[str, int]) -> bool:
        """Whether ``deltas`` leave a request without tokens."""
        return any(
            self._count_missing(customer) > deltas.get(customer, 0)
            for customer in self.pending.all
            if self._find_rows(customer) is rows
        )

    async def _record(self) -> None:
        """Write what is held to the passbook."""
        if self._lease_book is not None:
            async with self._recording:
                await self._lease_book.record(self.accounts, self.pending.all)

    def _note_reached(self, reached: bool, reason: str) -> None:
        if reached != self.is_store_reachable:
            self.is_store_reachable = reached
            self._on_reach(reached, reason)

    def _plan(self, rows: QuotaRecords, is_urgent: bool) -> dict[str, int]:
        """Return the tokens to draw for the customers of a partition.

        Negative numbers are tokens to return, none in an urgent round.
        """
        deltas = {}
        now = self._clock.elapsed()
        for customer in self._prepaid():
            if self._find_rows(customer) is not rows:
                continue
            view = self._make_view(customer, now)
            delta = self._choose_delta(view, now)
            if delta > 0 or (delta and not is_urgent):
                deltas[customer] = delta
        return deltas

    def _make_view(self, customer: str, now: timedelta) -> DrawView:
        account = self.find_account(customer)
        rate = account.find_rate(now)
        fleet_rate = self._others_rate(customer) + rate
        vms = self._vms()
        prepaid = self._prepaid().get(customer, 0)
        granted = self._find_rows(customer).granted.get(customer, 0)
        loan_reserve = 0
        if vms >= LARGE_FLEET and self._is_lender(customer):
            ahead = int(fleet_rate * LENDING_TIME.total_seconds())
            loan_reserve = min(ahead, int(max(prepaid - granted, 0) * LENDING_PART))
        missing = self._count_missing(customer)
        return DrawView(
            prepaid=prepaid,
            granted=granted,
            free=account.free,
            wanted=missing,
            urgent_wanted=min(self.pending.urgent[customer], missing),
            urgent_reserve=self._count_kept(customer),
            rate=rate,
            fleet_rate=fleet_rate,
            largest_request=account.largest_request,
            vms=vms,
            is_measured=account.is_measured(now),
            loan_reserve=loan_reserve,
            rank=self._find_rank(customer),
        )

    def _choose_delta(self, view: DrawView, now: timedelta) -> int:
        """Return the tokens to draw, or a negative number to return."""
        if self._hold_nothing or not self._holds_ahead():
            return bound_draw(view, view.wanted) if view.wanted else -view.free
        if now < self._settles_at and not view.wanted:
            return 0
        return plan_draw(view)
