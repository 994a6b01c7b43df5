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
import random
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta

from lavendershift.clocks import BootClock
from lavendershift.drawplans import MAX_AGE_TO_REFUSE, DrawPlans, FleetView
from lavendershift.errors import LogUnavailableError
from lavendershift.leases import SNAPSHOT_INTERVAL, LeaseBook
from lavendershift.pendingtokens import PendingTokens, TokenRequest
from lavendershift.prepaid import LARGE_FLEET, PrepaidAccount
from lavendershift.quotalogs import QuotaLog
from lavendershift.quotapartitions import QuotaPartitions
from lavendershift.quotarecords import QuotaRecords
from lavendershift.roundintervals import (
    OUTAGE_RETRY_INTERVAL,
    choose_interval,
    find_retry_interval,
    find_round_interval,
)
from lavendershift.storehistories import StoreRestoredError
from lavendershift.storewatch import StoreWatch
from lavendershift.tokenloans import LoanFailure
from lavendershift.tokenreturns import (
    ReleasedTokens,
    SnapshotHistory,
    SnapshotNotStoredError,
)
from lavendershift.tokenwaits import Borrow, TokenWaits, WaitResult

# Largest age of quota records to plan with; two round intervals if longer.
MAX_AGE_TO_PLAN = timedelta(seconds=3)
DRAW_TIME_WEIGHT = 0.3  # weight of the newest draw in the mean duration
MAX_CONFLICTS = 6  # lost races for the quota records, after which a round ends


DrawListener = Callable[[str, int, int], None]


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
    begin. ``draw_time`` is the mean duration of recent draws for waiting requests.
    ``grants`` is what is known here of all grants.
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
        lost_fraction: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._clock = clock
        self._rng = random.Random(name)
        self._fleet = FleetView(
            prepaid, vms, others_rate, draws_ahead, find_rank, lost_fraction
        )
        self._lease_book = lease_book
        self.accounts: dict[str, PrepaidAccount] = {}
        self._records = [
            QuotaRecords(clock, log, name, self.find_account, on_draw, on_invalid)
            for log in logs
        ]
        self.grants = QuotaPartitions(self._records)
        self._watch = StoreWatch(clock, self.grants.find_read_at, on_reachability)
        self.has_synced = False
        self.pending = PendingTokens(clock.elapsed())
        self.plans = DrawPlans(
            clock, self._fleet, self._records, self.pending, self.find_account
        )
        self.waits = TokenWaits(
            clock, self, self.plans, self.pending, self.find_account
        )
        self._rebalancing: dict[int, asyncio.Task[bool]] = {}
        self._locks = [asyncio.Lock() for _ in logs]
        self._conflicts: set[int] = set()
        self.draw_time: timedelta | None = None
        self._wake = asyncio.Event()
        self._totals_known = asyncio.Event()

    def find_account(self, customer: str) -> PrepaidAccount:
        """Return the account of ``customer``, empty at first."""
        account = self.accounts.get(customer)
        if account is None:
            account = self.accounts[customer] = PrepaidAccount(customer)
        return account

    def use_loans(
        self,
        borrow: Borrow,
        is_lender: Callable[[str], bool],
        find_failure: Callable[[str], LoanFailure | None] = lambda customer: None,
    ) -> None:
        """Set the function that borrows tokens.

        ``is_lender`` returns whether this VM is the lender of a customer,
        ``find_failure`` why its last loan gave too few tokens.
        """
        self.waits.borrow = borrow
        self.waits.find_loan_failure = find_failure
        self.plans.is_lender = is_lender

    async def wait_for(
        self,
        request: TokenRequest,
        timeout: timedelta,
        longest: timedelta = timedelta(),
    ) -> WaitResult:
        """Reserve tokens for a request of this VM; see ``TokenWaits.wait_for``."""
        return await self.waits.wait_for(request, timeout, longest)

    async def lend(self, request: TokenRequest, most: int) -> int:
        """Debit tokens for another VM; see ``TokenWaits.lend``."""
        return await self.waits.lend(request, most)

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
        """Return the tokens of the total that are not granted to any VM."""
        return self.plans.count_left(customer)

    def estimate_return_time(self) -> timedelta:
        """Return the mean time until the next round of a VM that may return tokens."""
        return find_round_interval(self._fleet.vms()) / 2

    def note_restore(self) -> None:
        """Begin a round, as the store was restored and may lack grants."""
        self._wake.set()

    def return_all(self) -> None:
        """Return all free tokens from the next round on; this VM is leaving."""
        self.plans.returns_all = True
        self._wake.set()

    def resume_holding(self) -> None:
        """Draw ahead again after ``return_all``."""
        self.plans.returns_all = False

    @property
    def is_store_reachable(self) -> bool:
        """Whether the store responded to this VM when it was last called."""
        return self._watch.is_reachable

    @is_store_reachable.setter
    def is_store_reachable(self, is_reachable: bool) -> None:
        self._watch.is_reachable = is_reachable

    @property
    def is_store_responsive(self) -> bool:
        """Whether the store is reachable and no call has waited long for a response."""
        return self._watch.is_responsive

    def mark_totals_known(self) -> None:
        """Let the rounds begin; none is complete without the totals."""
        self._totals_known.set()

    async def run(self) -> None:
        """Draw and return tokens until cancelled."""
        await self._totals_known.wait()
        while True:
            interval = choose_interval(self._fleet.vms(), self._rng)
            try:
                await self.run_round()
                if self.grants.list_lost():
                    # Other VMs draw soon, also those that don't know the lost grants.
                    interval = OUTAGE_RETRY_INTERVAL
            except LogUnavailableError:
                interval = find_retry_interval(self._fleet.draws_ahead())
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
                self.has_synced
                and self.is_store_reachable
                and self._fleet.draws_ahead()
            ):
                continue
            try:
                with self._watch.watch_calls():
                    await self._write_snapshot()
            except LogUnavailableError:
                continue  # recorded by StoreWatch

    async def run_round(self) -> None:
        """Move all accounts towards their targets and write a lease snapshot.

        Raises ``LogUnavailableError`` if no partition could be reached.
        """
        with self._watch.watch_calls():
            if self._lease_book is not None:
                await self._lease_book.adopt(self.find_account)
        partitions = self._list_partitions()
        if partitions and not self.is_store_reachable:
            await self._rebalance(partitions.pop(0))
        failures = await self._rebalance_all(partitions)
        if failures and len(failures) == len(partitions):
            raise failures[0]
        with self._watch.watch_calls():
            await self._write_snapshot()
        self.has_synced = self.has_synced or not failures

    def _list_partitions(self) -> list[int]:
        """Return the partitions that a full round processes."""
        used = {self.plans.find_partition(c) for c in self._fleet.prepaid()}
        if not self._fleet.draws_ahead() and self.is_store_reachable:
            held = [c for c, account in self.accounts.items() if account.free]
            used &= {self.plans.find_partition(customer) for customer in held}
        return sorted(used | set(self.grants.list_lost()))

    async def _rebalance_all(
        self, partitions: Sequence[int]
    ) -> list[LogUnavailableError]:
        """Rebalance partitions; return the failures.

        A large fleet processes them one after the other, as the store's rate limit
        covers the calls of all VMs together.
        """
        concurrency = 1 if self._fleet.vms() >= LARGE_FLEET else len(partitions)
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

    def find_rebalancing(self, customer: str) -> "asyncio.Task[bool] | None":
        """Return the running task that draws for ``customer``."""
        task = self._rebalancing.get(self.plans.find_partition(customer))
        return None if task is None or task.done() else task

    def start_rebalancing(self, customer: str) -> "asyncio.Task[bool]":
        """Return the running task that draws for ``customer``, or start one."""
        task = self.find_rebalancing(customer)
        if task is None:
            partition = self.plans.find_partition(customer)
            task = asyncio.ensure_future(self._rebalance_urgently(partition))
            self._rebalancing[partition] = task
        return task

    def has_conflicts(self, customer: str) -> bool:
        """Return whether the last draw for ``customer`` lost all its races."""
        return self.plans.find_partition(customer) in self._conflicts

    async def _rebalance_urgently(self, partition: int) -> bool:
        """Draw for the requests that wait for tokens of a partition.

        Returns false if the store failed or refused a call.
        """
        started = self._clock.elapsed()
        try:
            await self._rebalance(partition, is_urgent=True)
            if self.plans.is_bound_by_lease(partition):
                with self._watch.watch_calls():
                    await self._write_snapshot()
        except StoreRestoredError:
            return True  # the next draw reads the store's new history
        except LogUnavailableError:  # recorded by StoreWatch
            return False
        duration = self._clock.elapsed() - started
        last = duration if self.draw_time is None else self.draw_time
        self.draw_time = last + (duration - last) * DRAW_TIME_WEIGHT
        return True

    async def _rebalance(self, partition: int, is_urgent: bool = False) -> None:
        """Change the quota records of a partition as planned.

        An urgent round returns no tokens, because a return writes a lease snapshot
        first and requests wait.
        """
        async with self._locks[partition]:
            with self._watch.watch_calls():
                is_done = await self._rebalance_records(
                    self._records[partition], is_urgent
                )
        (self._conflicts.discard if is_done else self._conflicts.add)(partition)

    async def _rebalance_records(self, records: QuotaRecords, is_urgent: bool) -> bool:
        """Change quota records as planned; return false if all races were lost."""
        age = max(MAX_AGE_TO_PLAN, 2 * find_round_interval(self._fleet.vms()))
        if not self.is_store_reachable or records.is_older_than(age):
            await records.sync()
        for _ in range(MAX_CONFLICTS):
            deltas = await self._borrow_planned(self.plans.plan(records, is_urgent))
            if records.exceeds_grants(deltas) or (
                self.plans.leaves_missing(records, deltas)
                and records.is_older_than(MAX_AGE_TO_REFUSE)
            ):
                await records.sync()
                deltas = await self._borrow_planned(self.plans.plan(records, is_urgent))
            if not deltas or await records.change(deltas, self._release):
                return True
            await records.sync()
        return False

    async def _borrow_planned(self, deltas: dict[str, int]) -> dict[str, int]:
        """Borrow from lenders that draw for this VM; return the remaining deltas.

        A delta remains if it is not a lender's to draw or nothing was borrowed for it.
        """
        borrowed = {
            customer: delta
            for customer, delta in deltas.items()
            if delta > 0 and not self.plans.draws_itself(customer)
        }
        if not borrowed:
            return deltas
        requests = [TokenRequest(c, max(d // 2, 1), False) for c, d in borrowed.items()]
        results = await asyncio.gather(
            *(self.waits.borrow(r, borrowed[r.customer]) for r in requests)
        )
        found = {c for c, tokens in zip(borrowed, results, strict=True) if tokens}
        return {c: d for c, d in deltas.items() if c not in found}

    async def _write_snapshot(self) -> None:
        """Write a lease snapshot of the accounts.

        None is written while a restored store lacks grants, as the next process would
        adopt tokens that can be drawn again.
        """
        if self.grants.list_lost():
            return
        if self._lease_book is not None:
            await self._lease_book.record(self.accounts, self.pending.all)

    async def _release(self, tokens: Mapping[str, int]) -> ReleasedTokens:
        """Debit ``tokens`` so that they can be returned."""
        if self.grants.list_lost():
            raise SnapshotNotStoredError("a restored store may lack grants")
        if self._lease_book is not None:
            return await self._lease_book.release(
                tokens, self.accounts, self.pending.all
            )
        for customer, count in tokens.items():
            self.find_account(customer).credit(-count)
        history = SnapshotHistory()
        return ReleasedTokens(history, history.debit(tokens))
