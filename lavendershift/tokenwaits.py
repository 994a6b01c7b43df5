"""Requests that wait for tokens: draws, shared loans, and why a wait ended.

A request takes tokens that are free on the VM. Otherwise it waits for a draw from the
store, or for a loan of another VM if that one draws for the customer or this VM has no
contact with the store. New draws and loans begin until the request's deadline; one in
flight is worth waiting for until its ``latest`` time, because a refused caller often
returns to the same VM::

    result = await waits.wait_for(request, timeout, longest)
    if result is not WaitResult.GRANTED:
        refuse(result.value)

Requests of one customer share a loan in flight, urgent ones another than the others: a
loan that isn't urgent may yield nothing although the last part of the total, which is
reserved for urgent requests, has tokens.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple, Protocol

from lavendershift.clocks import BootClock
from lavendershift.drawplans import MAX_AGE_TO_REFUSE, DrawPlans
from lavendershift.pendingtokens import PendingTokens, TokenRequest
from lavendershift.prepaid import (
    PrepaidAccount,
    find_idle_fraction,
    find_target,
    plan_draw,
)
from lavendershift.timeouts import Timeout
from lavendershift.tokenloans import LoanFailure

DRAWS_BEFORE_LOAN = 2  # attempts for a request before it borrows from other VMs
# Pause between attempts to draw for a waiting request.
DRAW_RETRY_PAUSE = timedelta(milliseconds=10)
LOAN_DRAW_TIMEOUT = timedelta(milliseconds=100)  # timeout of a draw that serves a loan
# Time of a VM's own demand that the tokens not lent to others cover.
RETAINED_TIME = timedelta(milliseconds=500)
# The same during a store outage: longer than ``OUTAGE_EARLY_TIME``, so that two VMs
# with demand don't lend the same tokens to each other in turn.
OUTAGE_RETAINED_TIME = timedelta(seconds=1)
OUTAGE_EARLY_TIME = timedelta(milliseconds=500)
# Time of a VM's demand that a loan covers during a store outage.
OUTAGE_LOAN_TIME = timedelta(seconds=2)
# Time of a VM's demand below which its free tokens are replenished at once: a few times
# the duration of a draw on a VM whose event loop pauses for 100 to 300 ms.
EARLY_TIME = timedelta(seconds=1)
# Fraction of the target below which tokens are replenished early. It is the lower, the
# more VMs have demand, as their draws compete.
MIN_EARLY_FRACTION, MAX_EARLY_FRACTION = 0.1, 0.9
# Time between two early draws for a customer; with scarce tokens, each request would
# cause one.
EARLY_INTERVAL = timedelta(milliseconds=200)


class WaitResult(Enum):
    """The result of a wait for tokens; each but the first is a cause of a refusal."""

    GRANTED = "granted"
    EXCEEDS_TOTAL = "exceeds_total"
    EXHAUSTED = "exhausted"  # too few tokens here and in the total
    UNCONFIRMED = "unconfirmed"  # a restored store may lack grants that other VMs know
    CONFLICT = "conflict"  # draws lost their races against those of other VMs
    QUEUED = "queued"  # other waiting requests got the tokens, or have precedence
    LEASE_BOUND = "lease_bound"  # free tokens that no lease snapshot lets be spent
    OUTDATED = "outdated"  # no recent quota records when the wait ended
    IN_FLIGHT = "in_flight"  # draw or loan without a result when the wait ended
    STORE_UNREACHABLE = "store_unreachable"
    LENDER_UNREACHABLE = "lender_unreachable"  # nor did a lender reply
    LENDER_EMPTY = "lender_empty"  # no store, and the lenders had too few tokens


Borrow = Callable[[TokenRequest, int], Awaitable[int]]


async def borrow_nothing(request: TokenRequest, most: int) -> int:
    """Borrow no tokens; for a fleet without loans."""
    return 0


class DrawSource(Protocol):
    """The draws that requests wait for."""

    @property
    def is_store_reachable(self) -> bool:
        """Whether the store responded to this VM when it was last called."""
        ...

    def find_rebalancing(self, customer: str) -> "asyncio.Task[bool] | None":
        """Return the draw in flight that may serve ``customer``."""
        ...

    def start_rebalancing(self, customer: str) -> "asyncio.Task[bool]":
        """Return the draw in flight for ``customer``, or start one.

        Its result is false if the store failed or refused a call.
        """
        ...

    def has_conflicts(self, customer: str) -> bool:
        """Return whether the last draw for ``customer`` lost all its races."""
        ...


class _Wait(NamedTuple):
    """Until when a request starts draws, and waits for those in flight."""

    deadline: timedelta
    latest: timedelta


class TokenWaits:
    """The requests of this VM and the loans of others that wait for tokens."""

    def __init__(
        self,
        clock: BootClock,
        source: DrawSource,
        plans: DrawPlans,
        pending: PendingTokens,
        find_account: Callable[[str], PrepaidAccount],
    ) -> None:
        self._clock = clock
        self._source = source
        self._plans = plans
        self._pending = pending
        self._find_account = find_account
        self._loans: dict[tuple[str, bool], asyncio.Task[int]] = {}
        self._early_at: dict[str, timedelta] = {}
        self.borrow: Borrow = borrow_nothing
        self.find_loan_failure: Callable[[str], LoanFailure | None] = lambda c: None

    async def wait_for(
        self, request: TokenRequest, timeout: timedelta, longest: timedelta
    ) -> WaitResult:
        """Reserve the tokens of ``request``; borrow or draw them if too few are free.

        No draw or loan is begun after ``timeout``, and none in flight is awaited for
        longer than ``longest``. Ends earlier if neither the store nor a lender is
        reachable.
        """
        now = self._clock.elapsed()
        self._pending.note_arrival(request, now)
        if self._reserve(request):
            self._replenish(request.customer, now)
            return WaitResult.GRANTED
        if request.tokens > self._plans.find_total(request.customer):
            return WaitResult.EXCEEDS_TOTAL
        wait = _Wait(now + timeout, now + max(timeout, longest))
        self._pending.add(request)
        try:
            is_granted = await self._obtain(request, wait)
            # Tokens may have become free since the last draw ended.
            if is_granted or self._reserve(request):
                return WaitResult.GRANTED
            return self._explain(request)
        finally:
            self._pending.remove(request)

    async def _obtain(self, request: TokenRequest, wait: _Wait) -> bool:
        borrows_first = not self._plans.draws_itself(request.customer)
        if borrows_first and await self._borrow_for(request, wait):
            return True
        if await self._draw_for(request, wait):
            return True
        return not borrows_first and await self._borrow_for(request, wait)

    def _reserve(self, request: TokenRequest) -> bool:
        account = self._find_account(request.customer)
        return self._pending.can_take(request, account.free) and account.reserve(
            request.tokens, self._clock.since_boot()
        )

    def _replenish(self, customer: str, now: timedelta) -> None:
        """Draw, or borrow without the store, before requests have to wait."""
        account = self._find_account(customer)
        is_reachable = self._source.is_store_reachable
        early = EARLY_TIME if is_reachable else OUTAGE_EARLY_TIME
        if account.free >= account.find_rate(now) * early.total_seconds():
            return
        last = self._early_at.get(customer)
        if last is not None and now - last < EARLY_INTERVAL:
            return
        self._early_at[customer] = now
        if not is_reachable:
            self._start_loan(TokenRequest(customer, account.free + 1, is_urgent=False))
            return
        view = self._plans.make_view(customer, now)
        fraction = max(
            MIN_EARLY_FRACTION, MAX_EARLY_FRACTION * find_idle_fraction(view)
        )
        if account.free < find_target(view) * fraction and plan_draw(view) > 0:
            self._source.start_rebalancing(customer)

    async def _borrow_for(self, request: TokenRequest, wait: _Wait) -> bool:
        """Reserve tokens after borrowing the missing ones."""
        while not self._reserve(request):
            if self._clock.elapsed() >= wait.deadline:
                return False
            loan = self._start_loan(request)
            if not await self._await_task(loan, wait) or not loan.result():
                return self._reserve(request)
        return True

    def _start_loan(self, request: TokenRequest) -> "asyncio.Task[int]":
        """Return the loan in flight that ``request`` shares, or start one."""
        key = (request.customer, request.is_urgent)
        loan = self._loans.get(key)
        if loan is None or loan.done():
            loan = self._loans[key] = asyncio.ensure_future(self._borrow(request))
        return loan

    async def _borrow(self, request: TokenRequest) -> int:
        """Borrow what ``request`` lacks, and as much as is useful beyond that."""
        customer, now = request.customer, self._clock.elapsed()
        account = self._find_account(customer)
        least = max(request.tokens - account.free, 1)
        missing = max(self._plans.count_missing(customer), least)
        view = self._plans.make_view(customer, now)._replace(wanted=missing)
        most = max(plan_draw(view), missing)
        if not self._source.is_store_reachable:
            ahead = int(view.rate * OUTAGE_LOAN_TIME.total_seconds())
            most = max(most, missing + ahead)
        return await self.borrow(request._replace(tokens=least), most)

    async def _draw_for(self, request: TokenRequest, wait: _Wait) -> bool:
        """Reserve tokens after drawing the missing ones.

        A draw in flight may have been planned without the request, which is entitled
        to one more draw then.
        """
        draws = attempts = 0
        while self._source.is_store_reachable and self._plans.may_have_tokens(request):
            begins_until = wait.deadline if draws else wait.latest
            if self._clock.elapsed() >= begins_until:
                return False
            attempts += 1
            joined = self._source.find_rebalancing(request.customer)
            draw = self._source.start_rebalancing(request.customer)
            draws += draw is not joined
            is_done = await self._await_task(draw, wait)
            if self._reserve(request):
                return True
            if not is_done or not draw.result():
                return False
            # A slow VM may lose every race for the quota records.
            if attempts == DRAWS_BEFORE_LOAN and await self._borrow_for(request, wait):
                return True
            await asyncio.sleep(DRAW_RETRY_PAUSE.total_seconds())
        return False

    async def _await_task(self, task: "asyncio.Task[bool | int]", wait: _Wait) -> bool:
        """Wait for a draw or a loan; return whether it has ended.

        After a pause of the event loop, a response that has arrived is processed
        before the wait ends.
        """
        left = max((wait.latest - self._clock.elapsed()).total_seconds(), 0.0)
        with contextlib.suppress(TimeoutError):
            async with Timeout(left):
                await asyncio.wait({task})
        return task.done()

    def _explain(self, request: TokenRequest) -> WaitResult:
        """Return why a request got no tokens."""
        customer, tokens, _ = request
        free = self._find_account(customer).free
        loan = self._loans.get((customer, request.is_urgent))
        if free >= tokens:
            is_queued = not self._pending.can_take(request, free)
            return WaitResult.QUEUED if is_queued else WaitResult.LEASE_BOUND
        records = self._plans.find_records(customer)
        usable = self._plans.count_usable(customer, request.is_urgent)
        may_draw = self._source.is_store_reachable and usable + free >= tokens
        if may_draw and records.find_draw_wait(customer):
            return WaitResult.UNCONFIRMED
        if self._source.has_conflicts(customer):
            return WaitResult.CONFLICT
        if self._source.find_rebalancing(customer) or (loan and not loan.done()):
            return WaitResult.IN_FLIGHT
        if not self._source.is_store_reachable:
            failure = self.find_loan_failure(customer)
            if failure is None:
                return WaitResult.STORE_UNREACHABLE
            if failure is LoanFailure.NO_REPLY:
                return WaitResult.LENDER_UNREACHABLE
            return WaitResult.LENDER_EMPTY
        if usable + free < tokens:
            is_old = records.is_older_than(MAX_AGE_TO_REFUSE)
            return WaitResult.OUTDATED if is_old else WaitResult.EXHAUSTED
        return WaitResult.QUEUED

    async def lend(self, request: TokenRequest, most: int) -> int:
        """Debit up to ``most`` tokens that are lent to another VM; return how many.

        Tokens for this VM's own imminent demand are retained. If fewer than those of
        ``request`` are left, the missing ones are drawn, and only what is free is lent
        if that fails.
        """
        self._pending.note_arrival(request, self._clock.elapsed())
        if self._count_lendable(request.customer) >= request.tokens:
            return self._lend_free(request.customer, most)
        deadline = self._clock.elapsed() + LOAN_DRAW_TIMEOUT
        # One draw for all that the borrower can use saves calls to the store. Only what
        # urgent requests wait for may come from the reserve for them.
        extra = max(most - request.tokens, 0)
        wanted = [request, TokenRequest(request.customer, extra, is_urgent=False)]
        for each in wanted:
            self._pending.add(each)
        try:
            is_drawn = await self._draw_for(request, _Wait(deadline, deadline))
        finally:
            for each in wanted:
                self._pending.remove(each)
        if not is_drawn:
            return self._lend_free(request.customer, most)
        account = self._find_account(request.customer)
        account.settle(request.tokens, used=request.tokens)
        return request.tokens + self._lend_free(request.customer, extra)

    def _count_lendable(self, customer: str) -> int:
        """Return the free tokens beyond those for this VM's imminent demand."""
        account = self._find_account(customer)
        is_reachable = self._source.is_store_reachable
        retained_s = (
            RETAINED_TIME if is_reachable else OUTAGE_RETAINED_TIME
        ).total_seconds()
        retained = int(account.find_rate(self._clock.elapsed()) * retained_s)
        return max(account.count_spendable(self._clock.since_boot()) - retained, 0)

    def _lend_free(self, customer: str, most: int) -> int:
        """Debit up to ``most`` of the tokens that can be lent; return how many."""
        tokens = min(most, self._count_lendable(customer))
        if tokens <= 0:
            return 0
        account = self._find_account(customer)
        return tokens if account.lend(tokens, self._clock.since_boot()) else 0
