"""Draws of prepaid tokens from the quota records that all VMs share.

The quota records are spread over the partitions of a log by a hash of the customer's
name, so that draws for different customers seldom conflict. A full round goes through
all partitions and moves the held tokens of each customer towards their target; between
full rounds, requests that wait for tokens start rounds of their customers' partitions
only.

In a large fleet each customer has a lender, a VM that draws for all others, and they
borrow from it. In any fleet VMs also borrow while the store does not answer or when
other VMs hold the remainder of a total.
"""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Awaitable, Callable, Iterator, Mapping, Sequence
from datetime import timedelta

from lavendershift.clocks import BootClock
from lavendershift.errors import LogUnavailableError
from lavendershift.leases import SNAPSHOT_INTERVAL, LeaseBook
from lavendershift.partitions import find_partition
from lavendershift.pendingtokens import PendingTokens, TokenRequest
from lavendershift.prepaid import (
    LARGE_FLEET,
    DrawView,
    PrepaidAccount,
    bound_draw,
    find_urgent_reserve,
    plan_draw,
)
from lavendershift.quotarecords import DrawRefusedError, QuotaLog, QuotaRecords
from lavendershift.tokenreturns import (
    ReleasedTokens,
    SnapshotHistory,
    SnapshotNotStoredError,
)

ROUND_INTERVAL = timedelta(seconds=1)  # time between full rounds of a small fleet
# Round interval per VM of a large fleet, which keeps conflicts of rounds rare.
ROUND_INTERVAL_PER_VM = timedelta(milliseconds=120)
# Jitter of rounds, as a fraction of the interval between them.
SMALL_FLEET_JITTER, LARGE_FLEET_JITTER = 0.1, 0.5
# Largest age of quota records to plan with; two round intervals if longer.
MAX_AGE_TO_PLAN = timedelta(seconds=3)
# Largest age of the quota records behind a refusal.
MAX_AGE_TO_REFUSE = timedelta(milliseconds=100)
DRAWS_BEFORE_LOAN = 2  # attempts for a request before it borrows from other VMs
# Pause between attempts to draw for a waiting request.
DRAW_RETRY_PAUSE = timedelta(milliseconds=10)
# Time without a response to an operation that makes a few calls of about 4 ms each.
UNRESPONSIVE_AFTER = timedelta(milliseconds=400)
# Time between two rounds during a store outage, on VMs that draw ahead and on others.
OUTAGE_RETRY_INTERVAL = timedelta(milliseconds=400)
STANDBY_RETRY_INTERVAL = timedelta(seconds=1)
# Time from the start in which tokens are drawn only if requests wait. Meanwhile the VM
# reads which other VMs there are, as the share that it draws ahead depends on them.
STARTUP_DELAY = timedelta(seconds=2)
# Time of fleet demand that the tokens held for loans cover.
LOAN_RESERVE_TIME = timedelta(milliseconds=500)
# Upper bound of the reserve for loans, as a fraction of the ungranted tokens.
LOAN_RESERVE_FRACTION = 0.1
LOAN_DRAW_TIMEOUT = timedelta(milliseconds=100)  # timeout of a draw that serves a loan
# Time of a VM's own demand that the tokens not lent in an outage cover.
RETAINED_TIME = timedelta(milliseconds=500)
MAX_CONFLICTS = 6  # lost races for the quota records, after which a round ends


DrawListener = Callable[[str, int, int], None]
Borrow = Callable[[TokenRequest, int], Awaitable[int]]


async def borrow_nothing(request: TokenRequest, most: int) -> int:
    """Borrow no tokens; for a fleet without loans."""
    return 0


def find_round_interval(vms: int) -> timedelta:
    """Return the time between full rounds in a fleet of ``vms``."""
    return max(ROUND_INTERVAL, vms * ROUND_INTERVAL_PER_VM)


class TokenDraws:
    """Draws tokens for the accounts of this VM and returns surplus ones.

    ``logs`` are the partitions of the quota records. ``prepaid`` returns the newest
    totals, ``vms`` the number of VMs that draw ahead and ``others_rate`` the demand
    of a customer at the other VMs, in tokens/s. ``on_draw`` is called with customer,
    tokens and the new total of grants, ``on_reachability`` with whether the store is
    reachable and the error if it is not.

    ``draws_ahead`` returns whether this VM draws before requests arrive; if not, it
    draws for each request and returns the tokens it did not use. ``find_rank``
    returns the position of this VM, 0 first, among those that hold a customer's
    tokens. ``on_invalid`` is called with the customer of a quota record that can't be
    decoded and the reason; nothing is drawn or returned for that customer.
    ``has_synced`` is set once a full round has succeeded: from then on
    requests that wait for tokens can get them. ``mark_totals_known`` lets the rounds
    begin.
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
        on_reachability: Callable[[bool, str], None] = lambda reachable, reason: None,
        draws_ahead: Callable[[], bool] = lambda: True,
        find_rank: Callable[[str], int] = lambda customer: 0,
        on_invalid: Callable[[str, str], None] = lambda customer, reason: None,
    ) -> None:
        self._clock = clock
        self._rng = random.Random(name)
        self._prepaid = prepaid
        self._vms = vms
        self._others_rate = others_rate
        self._lease_book = lease_book
        self._on_reachability = on_reachability
        self._draws_ahead = draws_ahead
        self._find_rank = find_rank
        self.accounts: dict[str, PrepaidAccount] = {}
        self._records = [
            QuotaRecords(clock, log, name, self.find_account, on_draw, on_invalid)
            for log in logs
        ]
        self.is_store_reachable = False
        self.has_synced = False
        self.pending = PendingTokens(clock.elapsed())
        self._rebalancing: dict[int, asyncio.Task[bool]] = {}
        self._locks = [asyncio.Lock() for _ in logs]
        self._responded_at = timedelta()
        self._call_starts: list[timedelta] = []
        self._wake = asyncio.Event()
        self._totals_known = asyncio.Event()
        self._returns_all = False
        self._borrow: Borrow = borrow_nothing
        self._is_lender: Callable[[str], bool] = lambda customer: True
        self._draws_ahead_from = clock.elapsed() + STARTUP_DELAY

    def find_account(self, customer: str) -> PrepaidAccount:
        """Return the account of ``customer``, empty at first."""
        account = self.accounts.get(customer)
        if account is None:
            account = self.accounts[customer] = PrepaidAccount(customer)
        return account

    def use_loans(self, borrow: Borrow, is_lender: Callable[[str], bool]) -> None:
        """Set the function that borrows tokens.

        ``is_lender`` returns whether this VM is the lender of a customer.
        """
        self._borrow = borrow
        self._is_lender = is_lender

    async def wait_for(self, request: TokenRequest, timeout: timedelta) -> bool:
        """Reserve the tokens of ``request``; borrow or draw them if too few are free.

        Returns false after ``timeout``, or earlier if neither the store nor a lender
        is reachable.
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
        """Reserve tokens after borrowing the missing ones."""
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
        """Reserve tokens after drawing the missing ones."""
        self.pending.add(request)
        try:
            for attempt in itertools.count(1):
                left = (deadline - self._clock.elapsed()).total_seconds()
                if (
                    left <= 0
                    or not self.is_store_reachable
                    or not self._may_have_tokens(request)
                ):
                    return False
                rebalancing = self._start_rebalancing(request.customer)
                await asyncio.wait({rebalancing}, timeout=left)
                if self._reserve(request):
                    return True
                if rebalancing.done() and not rebalancing.result():
                    return False
                # A slow VM may lose every race for the quota records.
                if attempt == DRAWS_BEFORE_LOAN and await self._borrow_for(
                    request, deadline
                ):
                    return True
                await asyncio.sleep(DRAW_RETRY_PAUSE.total_seconds())
            return False
        finally:
            self.pending.remove(request)

    async def lend(self, request: TokenRequest, most: int) -> int:
        """Debit ``most`` tokens, or those of ``request``, and return how many.

        They are lent to another VM; 0 if neither number can be lent. During a store
        outage, tokens for this VM's own imminent demand are retained.
        """
        self.pending.note_arrival(request, self._clock.elapsed())
        account = self.find_account(request.customer)
        retained = 0
        if not self.is_store_reachable:
            rate = account.find_rate(self._clock.elapsed())
            retained = int(rate * RETAINED_TIME.total_seconds())
        for tokens in (most, request.tokens):
            if account.free - tokens >= retained and account.lend(
                tokens, self._clock.since_boot()
            ):
                return tokens
        deadline = self._clock.elapsed() + LOAN_DRAW_TIMEOUT
        if not await self._draw_for(request, deadline):
            return 0
        account.settle(request.tokens, used=request.tokens)
        return request.tokens

    def add_loan(self, customer: str, tokens: int) -> None:
        """Credit tokens that another VM has debited."""
        self.find_account(customer).credit_drawn(tokens)

    def measure_demand(self) -> dict[str, float]:
        """Return the recent demand of each customer here, in tokens/s."""
        now = self._clock.elapsed()
        return {name: a.find_rate(now) for name, a in self.accounts.items()}

    def measure_free(self) -> dict[str, int]:
        """Return the free tokens of each customer here."""
        return {name: account.free for name, account in self.accounts.items()}

    def count_left(self, customer: str) -> int:
        """Return the tokens of the total that are not granted to any VM.

        These are 0 if the number of grants is unknown.
        """
        if customer in self._find_records(customer).invalid:
            return 0
        granted = self._find_records(customer).granted.get(customer, 0)
        return self._prepaid().get(customer, 0) - granted

    def count_usable(self, customer: str, is_urgent: bool) -> int:
        """Return the tokens of the total that a request may still draw."""
        reserved = 0 if is_urgent else self._count_urgent_reserve(customer)
        return max(self.count_left(customer) - reserved, 0)

    def _count_urgent_reserve(self, customer: str) -> int:
        """Return the last part of the total, which only urgent requests may draw."""
        if not self.pending.expects_urgent(customer, self._clock.elapsed()):
            return 0
        return find_urgent_reserve(self._prepaid().get(customer, 0))

    def _find_partition(self, customer: str) -> int:
        return find_partition(customer, len(self._records))

    def _find_records(self, customer: str) -> QuotaRecords:
        return self._records[self._find_partition(customer)]

    def _may_have_tokens(self, request: TokenRequest) -> bool:
        """Return whether enough tokens may be left.

        Quota records older than ``MAX_AGE_TO_REFUSE`` do not prove the contrary.
        """
        if request.tokens > self._prepaid().get(request.customer, 0):
            return False
        usable = self.count_usable(request.customer, request.is_urgent)
        if usable + self.find_account(request.customer).free >= request.tokens:
            return True
        return self._find_records(request.customer).is_older_than(MAX_AGE_TO_REFUSE)

    def note_told(self, customer: str, granted: int, era: int) -> None:
        """Note the grants after a draw of another VM, in case a restore loses it."""
        self._find_records(customer).note_told(customer, granted, era)

    def find_era(self, customer: str) -> int:
        """Return the store's era of a customer's quota record."""
        return self._find_records(customer).era

    def note_restore(self) -> None:
        """Begin a round, as the store was restored and may lack grants."""
        self._wake.set()

    def return_all(self) -> None:
        """Return all free tokens from the next round on; this VM is leaving."""
        self._returns_all = True
        self._wake.set()

    def resume_holding(self) -> None:
        """Draw ahead again after ``return_all``."""
        self._returns_all = False

    @property
    def is_store_responsive(self) -> bool:
        """Whether the store is reachable and no call has waited long for a response."""
        threshold = self._clock.elapsed() - UNRESPONSIVE_AFTER
        return self.is_store_reachable and all(
            at > threshold for at in self._call_starts
        )

    def mark_totals_known(self) -> None:
        """Let the rounds begin; none is complete without the totals."""
        self._totals_known.set()

    async def run(self) -> None:
        """Draw and return tokens until cancelled."""
        await self._totals_known.wait()
        while True:
            interval = self._choose_interval()
            try:
                await self.run_round()
            except LogUnavailableError:
                interval = (
                    OUTAGE_RETRY_INTERVAL
                    if self._draws_ahead()
                    else STANDBY_RETRY_INTERVAL
                )
            with contextlib.suppress(TimeoutError):
                # ``asyncio.wait_for`` loses a cancellation in the turn of the wake.
                async with asyncio.timeout(interval.total_seconds()):
                    await self._wake.wait()
            self._wake.clear()

    async def run_snapshots(self) -> None:
        """Write lease snapshots between the rounds until cancelled.

        The newer a snapshot, the more of its tokens the next process can adopt.
        """
        while True:
            await asyncio.sleep(SNAPSHOT_INTERVAL.total_seconds())
            if not (
                self.has_synced and self.is_store_reachable and self._draws_ahead()
            ):
                continue
            try:
                with self._watch_store():
                    await self._write_snapshot()
            except LogUnavailableError:
                continue  # recorded by _watch_store

    def _choose_interval(self) -> timedelta:
        """Return the time to the next round.

        All VMs of a fleet start at the same time; jitter keeps their rounds from
        conflicting.
        """
        vms = self._vms()
        jitter = LARGE_FLEET_JITTER if vms >= LARGE_FLEET else SMALL_FLEET_JITTER
        return find_round_interval(vms) * self._rng.uniform(1 - jitter, 1 + jitter)

    async def run_round(self) -> None:
        """Move all accounts towards their targets and write a lease snapshot.

        Raises ``LogUnavailableError`` if no partition could be reached.
        """
        with self._watch_store():
            if self._lease_book is not None:
                await self._lease_book.adopt(self.find_account)
        partitions = self._list_partitions()
        if partitions and not self.is_store_reachable:
            await self._rebalance(partitions.pop(0))
        failures = await self._rebalance_all(partitions)
        if failures and len(failures) == len(partitions):
            raise failures[0]
        with self._watch_store():
            await self._write_snapshot()
        self.has_synced = self.has_synced or not failures

    def _list_partitions(self) -> list[int]:
        """Return the partitions that a full round processes."""
        used = {self._find_partition(c) for c in self._prepaid()}
        if not self._draws_ahead() and self.is_store_reachable:
            held = [c for c, account in self.accounts.items() if account.free]
            used &= {self._find_partition(customer) for customer in held}
        lost = {n for n, r in enumerate(self._records) if r.has_lost_grants}
        return sorted(used | lost)

    async def _rebalance_all(
        self, partitions: Sequence[int]
    ) -> list[LogUnavailableError]:
        """Rebalance partitions; return the failures.

        A large fleet processes them one after the other, as the store's rate limit
        covers the calls of all VMs together.
        """
        concurrency = 1 if self._vms() >= LARGE_FLEET else len(partitions)
        failures: list[LogUnavailableError] = []
        for start in range(0, len(partitions), max(concurrency, 1)):
            results = await asyncio.gather(
                *(self._rebalance(n) for n in partitions[start : start + concurrency]),
                return_exceptions=True,
            )
            for result in results:
                if isinstance(result, LogUnavailableError):
                    failures.append(result)
                elif isinstance(result, BaseException):
                    raise result
        return failures

    def _start_rebalancing(self, customer: str) -> "asyncio.Task[bool]":
        """Return the running task that draws for ``customer``, or start one."""
        partition = self._find_partition(customer)
        task = self._rebalancing.get(partition)
        if task is None or task.done():
            task = asyncio.ensure_future(self._rebalance_urgently(partition))
            self._rebalancing[partition] = task
        return task

    async def _rebalance_urgently(self, partition: int) -> bool:
        """Draw for the requests that wait for tokens of a partition.

        Returns false if the store failed or refused a call.
        """
        try:
            await self._rebalance(partition, is_urgent=True)
            if self._is_bound_by_lease(partition):
                with self._watch_store():
                    await self._write_snapshot()
        except LogUnavailableError:  # recorded by _watch_store
            return False
        return True

    def _is_bound_by_lease(self, partition: int) -> bool:
        """Return whether a request waits although its tokens are free here.

        The terms of the newest lease snapshot do not allow spending them yet.
        """
        return any(
            wanted > 0
            and self._find_partition(customer) == partition
            and not self._count_missing(customer)
            for customer, wanted in self.pending.all.items()
        )

    def _count_missing(self, customer: str) -> int:
        """Return the tokens that requests wait for beyond the free ones."""
        return self.pending.count_missing(customer, self.find_account(customer).free)

    async def _rebalance(self, partition: int, is_urgent: bool = False) -> None:
        """Change the quota records of a partition as planned.

        An urgent round returns no tokens, because a return writes a lease snapshot
        first and requests wait.
        """
        async with self._locks[partition]:
            with self._watch_store():
                await self._rebalance_records(self._records[partition], is_urgent)

    async def _rebalance_records(self, records: QuotaRecords, is_urgent: bool) -> None:
        age = max(MAX_AGE_TO_PLAN, 2 * find_round_interval(self._vms()))
        if not self.is_store_reachable or records.is_older_than(age):
            await records.sync()
        for _ in range(MAX_CONFLICTS):
            deltas = await self._borrow_planned(self._plan(records, is_urgent))
            if records.exceeds_grants(deltas) or (
                self._leaves_missing(records, deltas)
                and records.is_older_than(MAX_AGE_TO_REFUSE)
            ):
                await records.sync()
                deltas = await self._borrow_planned(self._plan(records, is_urgent))
            if not deltas or await records.change(deltas, self._release):
                break
            await records.sync()

    @contextlib.contextmanager
    def _watch_store(self) -> Iterator[None]:
        """Record whether the store responded to the calls in this context.

        A call without a response does not count while others get responses. Refused
        draws and lost races are responses.
        """
        started = self._clock.elapsed()
        self._call_starts.append(started)
        try:
            yield
        except (DrawRefusedError, SnapshotNotStoredError):
            raise
        except LogUnavailableError as error:
            if self._responded_at <= started:
                self._set_store_reachable(False, str(error))
            raise
        finally:
            self._call_starts.remove(started)
        newest = max(
            (r.read_at for r in self._records if r.read_at), default=timedelta()
        )
        if newest >= started:
            self._responded_at = self._clock.elapsed()
            self._set_store_reachable(True, "")

    async def _borrow_planned(self, deltas: dict[str, int]) -> dict[str, int]:
        """Borrow from lenders that draw for this VM; return the remaining deltas.

        A delta remains if it is not a lender's to draw or nothing was borrowed for it.
        """
        borrowed = {
            customer: delta
            for customer, delta in deltas.items()
            if delta > 0 and not self._draws_itself(customer)
        }
        if not borrowed:
            return deltas
        requests = [TokenRequest(c, max(d // 2, 1), False) for c, d in borrowed.items()]
        results = await asyncio.gather(
            *(self._borrow(r, borrowed[r.customer]) for r in requests)
        )
        found = {c for c, tokens in zip(borrowed, results, strict=True) if tokens}
        return {c: d for c, d in deltas.items() if c not in found}

    def _leaves_missing(self, records: QuotaRecords, deltas: Mapping[str, int]) -> bool:
        """Return whether ``deltas`` leave a request without its tokens."""
        return any(
            self._count_missing(customer) > deltas.get(customer, 0)
            for customer in self.pending.all
            if self._find_records(customer) is records
        )

    async def _write_snapshot(self) -> None:
        """Write a lease snapshot of the accounts.

        None is written while a restored store lacks grants, as the next process would
        adopt tokens that can be drawn again.
        """
        if any(records.has_lost_grants for records in self._records):
            return
        if self._lease_book is not None:
            await self._lease_book.record(self.accounts, self.pending.all)

    async def _release(self, tokens: Mapping[str, int]) -> ReleasedTokens:
        """Debit ``tokens`` so that they can be returned."""
        if self._lease_book is not None:
            return await self._lease_book.release(
                tokens, self.accounts, self.pending.all
            )
        for customer, count in tokens.items():
            self.find_account(customer).credit(-count)
        history = SnapshotHistory()
        return ReleasedTokens(history, history.debit(tokens))

    def _set_store_reachable(self, is_reachable: bool, reason: str) -> None:
        if is_reachable != self.is_store_reachable:
            self.is_store_reachable = is_reachable
            self._on_reachability(is_reachable, reason)

    def _plan(self, records: QuotaRecords, is_urgent: bool) -> dict[str, int]:
        """Return the tokens to draw for the customers of a partition.

        Negative numbers are tokens to return, none in an urgent round.
        """
        deltas = {}
        now = self._clock.elapsed()
        for customer in self._prepaid():
            if self._find_records(customer) is not records:
                continue
            if customer in records.invalid:
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
        granted = self._find_records(customer).granted.get(customer, 0)
        loan_reserve = 0
        if vms >= LARGE_FLEET and self._is_lender(customer):
            ahead = int(fleet_rate * LOAN_RESERVE_TIME.total_seconds())
            loan_reserve = min(
                ahead, int(max(prepaid - granted, 0) * LOAN_RESERVE_FRACTION)
            )
        missing = self._count_missing(customer)
        return DrawView(
            prepaid=prepaid,
            granted=granted,
            free=account.free,
            wanted=missing,
            urgent_wanted=min(self.pending.urgent[customer], missing),
            urgent_reserve=self._count_urgent_reserve(customer),
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
        if self._returns_all or not self._draws_ahead():
            return bound_draw(view, view.wanted) if view.wanted else -view.free
        if now < self._draws_ahead_from and not view.wanted:
            return 0
        return plan_draw(view)
