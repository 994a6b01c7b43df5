"""Allocation of tokens to requests: reservations, grants, returns and loans.

A ``BudgetAllocator`` serves one ledger stream. A request reserves tokens from
the local allowance book if it holds enough, which sends no message. Otherwise
the request waits: the holding policy decides what to request from the log or
from peers, and ``decide_wait`` when the request is refused.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Result, Success

from lavendershift.allowances import Reservation
from lavendershift.clocks import Clock
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.holdingpolicies import (
    HOLDING_POLICIES,
    Action,
    BorrowTokens,
    HoldingView,
    Peer,
    RequestGrant,
    RequestRecall,
    ReturnTokens,
)
from lavendershift.ledger import Verdict
from lavendershift.ledgersessions import LedgerSession, Participant
from lavendershift.messages import BorrowRequest, Heartbeat, LoanGrant
from lavendershift.rates import RateEstimator
from lavendershift.recalls import RecallQueue
from lavendershift.records import Charge, Outcome, Recall, Record
from lavendershift.waitpolicies import Refuse, decide_wait

RATE_WINDOW = timedelta(minutes=10)  # averaging window of the usage rates
POLICY_INTERVAL = timedelta(seconds=1)  # time between policy runs for budgets in use
# Longest wait of a request before it tries again to reserve its tokens.
RECHECK_INTERVAL = timedelta(milliseconds=250)
# Shortest time between policy runs that successful reservations start; also the age
# from which the peers' heartbeats are listed again.
MIN_POLICY_INTERVAL = timedelta(milliseconds=100)
IDLE_AFTER = timedelta(seconds=3)  # time without use after which a budget is idle
IDLE_POLICY_INTERVAL = timedelta(seconds=10)  # time between policy runs if idle
DROP_AFTER = 2 * RATE_WINDOW  # time without use after which an empty budget is dropped
RECALL_INTERVAL = timedelta(seconds=1)  # time between recall requests for one budget
LENDER_BACKOFF = timedelta(seconds=10)  # retry delay for a peer that lent nothing
LENDER_RESERVE_S = 60  # seconds of a lender's own usage that it does not lend

BorrowFrom = Callable[[str, BorrowRequest], Awaitable[LoanGrant | None]]


class ReservationRequest(NamedTuple):
    """Tokens to reserve for an attempt, and its customer's holding settings."""

    budget: str
    tokens: int
    request: str
    attempt: str
    hold_ahead: timedelta
    hold_share: float


class HeldReservation(NamedTuple):
    """A reservation and the participant whose allowance book it belongs to."""

    participant: Participant
    reservation: Reservation


class _BudgetState:
    """State of one budget: waiting requests, loans, recalls and usage rates."""

    def __init__(self, request: ReservationRequest) -> None:
        self.request = request
        self.waiting: list[int] = []
        self.borrowing = 0
        self.refused_at: dict[str, timedelta] = {}
        self.recalled_at: timedelta | None = None
        self.policy_ran_at: timedelta | None = None
        self.used_at = timedelta()
        self.own_rate = RateEstimator(RATE_WINDOW)
        self.fleet_rate = RateEstimator(RATE_WINDOW)


class BudgetAllocator:
    """Reserve tokens from the budgets of one ledger stream.

    ``list_peers`` returns the reachable peers' heartbeats by VM, and ``borrow``
    requests a loan from one of them.
    """

    def __init__(
        self,
        session: LedgerSession,
        policy: str,
        clock: Clock,
        list_peers: Callable[[], Mapping[str, Heartbeat]],
        borrow: BorrowFrom,
    ) -> None:
        self._session = session
        self._policy = HOLDING_POLICIES[policy]
        self._clock = clock
        self._list_peers = list_peers
        self._borrow = borrow
        self._budgets: dict[str, _BudgetState] = {}
        self._recalls = RecallQueue()
        self._loans: set[asyncio.Task[None]] = set()
        self._heartbeats: dict[str, Heartbeat] = {}
        self._heartbeats_at: timedelta | None = None

    async def acquire(
        self, request: ReservationRequest, deadline: timedelta
    ) -> Result[HeldReservation, RequestError]:
        """Reserve tokens, waiting only while tokens can still become available.

        ``deadline`` is on the time scale of ``Clock.elapsed``.
        """
        state = self._find_state(request)
        held = self._reserve(request)
        if held is not None:
            self._run_policy_unless_recent(state)
            return Success(held)
        state.waiting.append(request.tokens)
        try:
            return await self._wait(request, deadline)
        finally:
            state.waiting.remove(request.tokens)

    def record_usage(self, budget: str, tokens: int) -> None:
        """Record that an attempt of this router used ``tokens``."""
        state = self._budgets.get(budget)
        if state is not None:
            state.used_at = self._clock.elapsed()
            state.own_rate.add(tokens, state.used_at)
        self._session.notify_change()

    def apply_record(self, record: Record, verdict: Verdict) -> None:
        """Apply a record that the session's ledger has applied."""
        self._recalls.apply(record, verdict, self._session.ledger.time_ms)
        if isinstance(record, Charge | Outcome):
            state = self._budgets.get(record.budget)
            if state is not None:
                state.fleet_rate.add(verdict.tokens, self._clock.elapsed())
        elif isinstance(record, Recall) and record.budget in self._budgets:
            self._run_policy(record.budget)

    def budgets(self) -> list[str]:
        """Return the budgets in use at this router."""
        return list(self._budgets)

    def run_policies(self) -> None:
        """Run the policy for the budgets in use, about once a ``POLICY_INTERVAL``.

        For idle budgets it runs once an ``IDLE_POLICY_INTERVAL``, so that their
        tokens are returned as the usage rate decays. Unused budgets are dropped
        once they hold nothing.
        """
        for budget, state in list(self._budgets.items()):
            if not self._is_idle(state):
                self._run_policy(budget)
            elif self._can_drop(state):
                del self._budgets[budget]
            elif self._is_policy_due(state):
                self._run_policy(budget)

    def lend(self, request: BorrowRequest) -> LoanGrant:
        """Lend tokens to a peer, except those that this router needs soon."""
        participant = self._session.participant
        state = self._budgets.get(request.budget)
        rate = state.own_rate.estimate(self._clock.elapsed()) if state else 0.0
        wanted = sum(state.waiting) if state else 0
        reserve = wanted + int(rate * LENDER_RESERVE_S)
        response = participant.book.lend(request, reserve)
        if response.transfer is not None:
            participant.writer.submit_record(response.transfer)
        return response.loan

    async def _wait(
        self, request: ReservationRequest, deadline: timedelta
    ) -> Result[HeldReservation, RequestError]:
        started = self._clock.elapsed()
        while True:
            self._run_policy(request.budget)
            view = self.make_view(request.budget)
            now = self._clock.elapsed()
            decision = decide_wait(view, request.tokens, now - started, deadline - now)
            if isinstance(decision, Refuse):
                return Failure(self._make_refusal(request, view, decision))
            await self._session.wait_change(min(decision.longest, RECHECK_INTERVAL))
            held = self._reserve(request)
            if held is not None:
                return Success(held)

    def _reserve(self, request: ReservationRequest) -> HeldReservation | None:
        participant = self._session.participant
        reserved = participant.book.reserve(
            request.budget, request.tokens, request.request, request.attempt
        )
        if isinstance(reserved, Success):
            return HeldReservation(participant, reserved.unwrap())
        return None

    def _run_policy_unless_recent(self, state: _BudgetState) -> None:
        """Run the policy unless it ran within ``MIN_POLICY_INTERVAL``.

        ``run_policies`` makes up for a skipped run within ``POLICY_INTERVAL``.
        """
        now = self._clock.elapsed()
        if (
            state.policy_ran_at is None
            or now - state.policy_ran_at >= MIN_POLICY_INTERVAL
        ):
            self._run_policy(state.request.budget)

    def _make_refusal(
        self, request: ReservationRequest, view: HoldingView, decision: Refuse
    ) -> RequestError:
        kind = decision.kind
        if not view.log_reachable and view.prepaid and view.available > 0:
            kind = ErrorKind.BUDGET_PENDING
        detail = f"needs up to {request.tokens} tokens, {view.remainder} remain"
        return RequestError(kind, detail, decision.retry_after)

    def make_view(self, budget: str) -> HoldingView:
        """Return the view of ``budget`` that the policies decide on."""
        session = self._session
        ledger = session.ledger
        participant = session.participant
        state = self._budgets[budget]
        account = participant.book.account(budget)
        now = self._clock.elapsed()
        # Tokens of a top-up are available before any ledger record refers to the
        # configuration offset of that top-up.
        offset = max(ledger.config_offset, session.config_offset())
        return HoldingView(
            budget=budget,
            prepaid=ledger.find_prepaid(budget, offset),
            available=ledger.find_available(budget, offset),
            free=account.free,
            lendable=account.lendable,
            reserved=account.reserved,
            requested=participant.book.requested(budget) + state.borrowing,
            wanted=sum(state.waiting),
            smallest_wanted=min(state.waiting, default=0),
            recalled_ahead=self._recalls.sum_ahead(
                budget, participant.incarnation, ledger.time_ms
            ),
            own_rate=state.own_rate.estimate(now),
            fleet_rate=state.fleet_rate.estimate(now),
            live_routers=ledger.count_live(),
            log_reachable=session.log_reachable,
            hold_ahead=state.request.hold_ahead,
            hold_share=state.request.hold_share,
            peers=self._list_holding_peers(state),
        )

    def _list_holding_peers(self, state: _BudgetState) -> tuple[Peer, ...]:
        """Return the other live routers that hold tokens of the budget."""
        ledger = self._session.ledger
        own = self._session.participant.incarnation
        return tuple(
            self._make_peer(state, name, held)
            for name, held in ledger.list_holders(state.request.budget)
            if name != own
        )

    def _make_peer(self, state: _BudgetState, name: str, held: int) -> Peer:
        heartbeat = self._find_heartbeats().get(name)
        if heartbeat is None:
            return Peer(name, False, False, held)
        refused_at = state.refused_at.get(name)
        is_available = (
            refused_at is None or self._clock.elapsed() - refused_at > LENDER_BACKOFF
        )
        same_domain = heartbeat.failure_domain == self._session.failure_domain
        return Peer(name, same_domain, is_available, held)

    def _find_heartbeats(self) -> dict[str, Heartbeat]:
        """Return the reachable peers' heartbeats by incarnation."""
        now = self._clock.elapsed()
        if (
            self._heartbeats_at is None
            or now - self._heartbeats_at >= MIN_POLICY_INTERVAL
        ):
            peers = self._list_peers().values()
            self._heartbeats = {peer.incarnation: peer for peer in peers}
            self._heartbeats_at = now
        return self._heartbeats

    def _is_idle(self, state: _BudgetState) -> bool:
        if state.waiting or state.borrowing:
            return False
        if self._session.participant.book.requested(state.request.budget):
            return False
        return self._clock.elapsed() - state.used_at > IDLE_AFTER

    def _is_policy_due(self, state: _BudgetState) -> bool:
        if state.policy_ran_at is None:
            return True
        return self._clock.elapsed() - state.policy_ran_at >= IDLE_POLICY_INTERVAL

    def _can_drop(self, state: _BudgetState) -> bool:
        if self._clock.elapsed() - state.used_at < DROP_AFTER:
            return False
        account = self._session.participant.book.account(state.request.budget)
        return account.free + account.reserved + account.in_doubt == 0

    def _find_state(self, request: ReservationRequest) -> _BudgetState:
        state = self._budgets.get(request.budget)
        if state is None:
            state = _BudgetState(request)
            self._budgets[request.budget] = state
        state.request = request
        state.used_at = self._clock.elapsed()
        return state

    def _run_policy(self, budget: str) -> None:
        self._budgets[budget].policy_ran_at = self._clock.elapsed()
        if not self._session.joined:
            return
        for action in self._policy(self.make_view(budget)):
            self._perform(budget, action)

    def _perform(self, budget: str, action: Action) -> None:
        participant = self._session.participant
        book = participant.book
        if isinstance(action, RequestGrant):
            offset = self._session.config_offset()
            grant = book.request_grant(budget, action.tokens, offset)
            participant.writer.submit_record(grant)
        elif isinstance(action, ReturnTokens):
            record = book.return_tokens(budget, action.tokens)
            if record is not None:
                participant.writer.submit_record(record)
        elif isinstance(action, BorrowTokens):
            self._start_loan(budget, action)
        elif isinstance(action, RequestRecall):
            self._request_recall(budget, action.tokens)

    def _request_recall(self, budget: str, tokens: int) -> None:
        state = self._budgets[budget]
        now = self._clock.elapsed()
        if state.recalled_at is not None and now - state.recalled_at < RECALL_INTERVAL:
            return
        state.recalled_at = now
        participant = self._session.participant
        participant.writer.submit(
            lambda record_id: Recall(record_id, budget, participant.incarnation, tokens)
        )

    def _start_loan(self, budget: str, action: BorrowTokens) -> None:
        state = self._budgets[budget]
        if state.borrowing:
            return
        state.borrowing = action.tokens
        task = asyncio.ensure_future(self._take_loan(budget, action))
        self._loans.add(task)
        task.add_done_callback(self._loans.discard)

    async def _take_loan(self, budget: str, action: BorrowTokens) -> None:
        participant = self._session.participant
        request = participant.book.make_loan_request(budget, action.tokens)
        try:
            loan = await self._borrow(action.peer, request)
        finally:
            self._budgets[budget].borrowing = 0
        if loan is None or loan.tokens == 0:
            self._budgets[budget].refused_at[action.peer] = self._clock.elapsed()
            self._session.notify_change()
            return
        transfer = participant.book.accept_loan(loan)
        if transfer is not None:
            participant.writer.submit_record(transfer)
        self._session.notify_change()
