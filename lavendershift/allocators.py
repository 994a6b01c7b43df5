"""Getting tokens for requests: reservations, grants, hand-backs and loans.

A ``BudgetAllocator`` serves one ledger stream. A request reserves from the
local book where that suffices, which takes no message at all. Otherwise the
holding policy decides what to ask of the log or of peers while the request
waits, and the wait policy when it is to be refused.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Result, Success

from lavendershift.allowances import Reservation
from lavendershift.clocks import Clock
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.holdings import (
    HOLDING_POLICIES,
    Action,
    AskGrant,
    AskRecall,
    Borrow,
    HandBack,
    HoldingView,
    Peer,
)
from lavendershift.ledger import Verdict
from lavendershift.ledgersessions import LedgerSession, Participant
from lavendershift.messages import BorrowRequest, Heartbeat, LoanGrant
from lavendershift.rates import RateEstimator
from lavendershift.recalls import RecallBoard
from lavendershift.records import Charge, Outcome, Recall, Record
from lavendershift.waiting import Refuse, decide_wait

RATE_WINDOW = timedelta(minutes=10)
TICK = timedelta(seconds=1)
WAIT_STEP = timedelta(milliseconds=250)  # between looks at what changed
LOOK_PAUSE = timedelta(milliseconds=100)  # between looks ahead at one budget
IDLE_AFTER = timedelta(seconds=3)  # without a use a budget is looked at less often
IDLE_STEP = timedelta(seconds=10)  # between looks at an idle budget
FORGET_AFTER = 2 * RATE_WINDOW  # without a use, where nothing is held
RECALL_PAUSE = timedelta(seconds=1)  # between pleas for the same budget
EMPTY_PAUSE = timedelta(seconds=10)  # until a peer that lent nothing is asked again
BORROW_KEEP_S = 60  # of the own rate that a lender keeps

BorrowFrom = Callable[[str, BorrowRequest], Awaitable[LoanGrant | None]]


class Demand(NamedTuple):
    """A request's need for tokens, and its customer's holding settings."""

    budget: str
    tokens: int
    request: str
    attempt: str
    hold_ahead: timedelta
    hold_share: float


class HeldReservation(NamedTuple):
    """A reservation and the participant whose book it stands in."""

    participant: Participant
    reservation: Reservation


class _BudgetState:
    """What the allocator remembers of one budget."""

    def __init__(self, demand: Demand) -> None:
        self.demand = demand
        self.waiting: list[int] = []
        self.borrowing = 0
        self.empty_peers: dict[str, timedelta] = {}
        self.recalled_at: timedelta | None = None
        self.looked_at: timedelta | None = None
        self.used_at = timedelta()
        self.own_rate = RateEstimator(RATE_WINDOW)
        self.fleet_rate = RateEstimator(RATE_WINDOW)


class BudgetAllocator:
    """Reserves tokens of the budgets of one ledger stream.

    ``list_peers`` returns the reachable peers' heartbeats by VM, ``borrow``
    asks one of them for a loan.
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
        self._borrow_from = borrow
        self._budgets: dict[str, _BudgetState] = {}
        self._recalls = RecallBoard()
        self._loans: set[asyncio.Task[None]] = set()
        self._beats: dict[str, Heartbeat] = {}
        self._beats_at: timedelta | None = None

    async def acquire(
        self, demand: Demand, deadline: timedelta
    ) -> Result[HeldReservation, RequestError]:
        """Reserve tokens for ``demand``, waiting only while that can help.

        ``deadline`` is on the scale of ``Clock.elapsed``.
        """
        state = self._find_state(demand)
        held = self._reserve(demand)
        if held is not None:
            self._look_ahead(state)
            return Success(held)
        state.waiting.append(demand.tokens)
        try:
            return await self._wait(demand, deadline)
        finally:
            state.waiting.remove(demand.tokens)

    def note_used(self, budget: str, tokens: int) -> None:
        """Note that an attempt of this router used ``tokens``."""
        state = self._budgets.get(budget)
        if state is not None:
            state.used_at = self._clock.elapsed()
            state.own_rate.add(tokens, state.used_at)
        self._session.notify_change()

    def note_folded(self, record: Record, verdict: Verdict) -> None:
        """Take in a folded record of the session's stream."""
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
        """Look at the budgets in use; called about once a ``TICK``.

        Idle ones are looked at every ``IDLE_STEP``, so that what they hold
        goes back as their rate fades, and are forgotten once they hold
        nothing.
        """
        for budget, state in list(self._budgets.items()):
            if not self._is_idle(state):
                self._run_policy(budget)
            elif self._may_forget(state):
                del self._budgets[budget]
            elif self._is_due(state):
                self._run_policy(budget)

    def lend(self, request: BorrowRequest) -> LoanGrant:
        """Answer a borrower with what this router does not need soon."""
        participant = self._session.participant
        state = self._budgets.get(request.budget)
        rate = state.own_rate.estimate(self._clock.elapsed()) if state else 0.0
        wanted = sum(state.waiting) if state else 0
        keep = wanted + int(rate * BORROW_KEEP_S)
        answer = participant.book.lend(request, keep)
        if answer.transfer is not None:
            participant.writer.submit_record(answer.transfer)
        return answer.lent

    async def _wait(
        self, demand: Demand, deadline: timedelta
    ) -> Result[HeldReservation, RequestError]:
        started = self._clock.elapsed()
        while True:
            self._run_policy(demand.budget)
            view = self.make_view(demand.budget)
            now = self._clock.elapsed()
            decision = decide_wait(view, demand.tokens, now - started, deadline - now)
            if isinstance(decision, Refuse):
                return Failure(self._refuse(demand, view, decision))
            await self._session.wait_change(min(decision.longest, WAIT_STEP))
            held = self._reserve(demand)
            if held is not None:
                return Success(held)

    def _reserve(self, demand: Demand) -> HeldReservation | None:
        participant = self._session.participant
        reserved = participant.book.reserve(
            demand.budget, demand.tokens, demand.request, demand.attempt
        )
        if isinstance(reserved, Success):
            return HeldReservation(participant, reserved.unwrap())
        return None

    def _look_ahead(self, state: _BudgetState) -> None:
        """Run the policy unless it has just run; the next ``TICK`` does too."""
        now = self._clock.elapsed()
        if state.looked_at is None or now - state.looked_at >= LOOK_PAUSE:
            self._run_policy(state.demand.budget)

    def _refuse(
        self, demand: Demand, view: HoldingView, decision: Refuse
    ) -> RequestError:
        kind = decision.kind
        if not view.log_reachable and view.prepaid and view.available > 0:
            kind = ErrorKind.BUDGET_PENDING
        detail = f"needs up to {demand.tokens} tokens, {view.remainder} remain"
        return RequestError(kind, detail, decision.retry_after)

    def make_view(self, budget: str) -> HoldingView:
        """Return what the policies look at for ``budget``."""
        session = self._session
        ledger = session.ledger
        participant = session.participant
        state = self._budgets[budget]
        account = participant.book.account(budget)
        now = self._clock.elapsed()
        # A top-up that no record has cited yet can be granted from all the same.
        offset = max(ledger.config_offset, session.config_offset())
        return HoldingView(
            budget=budget,
            prepaid=ledger.find_prepaid(budget, offset),
            available=ledger.find_available(budget, offset),
            free=account.free,
            lendable=account.lendable,
            reserved=account.reserved,
            asked=participant.book.asked(budget) + state.borrowing,
            wanted=sum(state.waiting),
            least_wanted=min(state.waiting, default=0),
            recalled=self._recalls.wanted_ahead(
                budget, participant.incarnation, ledger.time_ms
            ),
            own_rate=state.own_rate.estimate(now),
            fleet_rate=state.fleet_rate.estimate(now),
            live_routers=ledger.count_live(),
            log_reachable=session.log_reachable,
            hold_ahead=state.demand.hold_ahead,
            hold_share=state.demand.hold_share,
            peers=self._describe_peers(state),
        )

    def _describe_peers(self, state: _BudgetState) -> tuple[Peer, ...]:
        """Return the live routers that hold tokens of the budget."""
        ledger = self._session.ledger
        own = self._session.participant.incarnation
        return tuple(
            self._describe_peer(state, name, held)
            for name, held in ledger.list_holders(state.demand.budget)
            if name != own
        )

    def _describe_peer(self, state: _BudgetState, name: str, held: int) -> Peer:
        beat = self._find_beats().get(name)
        if beat is None:
            return Peer(name, False, False, held)
        emptied = state.empty_peers.get(name)
        lends = emptied is None or self._clock.elapsed() - emptied > EMPTY_PAUSE
        near = beat.failure_domain == self._session.failure_domain
        return Peer(name, near, lends, held)

    def _find_beats(self) -> dict[str, Heartbeat]:
        """Return the reachable peers' heartbeats by incarnation."""
        now = self._clock.elapsed()
        if self._beats_at is None or now - self._beats_at >= LOOK_PAUSE:
            peers = self._list_peers().values()
            self._beats = {beat.incarnation: beat for beat in peers}
            self._beats_at = now
        return self._beats

    def _is_idle(self, state: _BudgetState) -> bool:
        if state.waiting or state.borrowing:
            return False
        if self._session.participant.book.asked(state.demand.budget):
            return False
        return self._clock.elapsed() - state.used_at > IDLE_AFTER

    def _is_due(self, state: _BudgetState) -> bool:
        if state.looked_at is None:
            return True
        return self._clock.elapsed() - state.looked_at >= IDLE_STEP

    def _may_forget(self, state: _BudgetState) -> bool:
        if self._clock.elapsed() - state.used_at < FORGET_AFTER:
            return False
        account = self._session.participant.book.account(state.demand.budget)
        return account.free + account.reserved + account.doubtful == 0

    def _find_state(self, demand: Demand) -> _BudgetState:
        state = self._budgets.get(demand.budget)
        if state is None:
            state = _BudgetState(demand)
            self._budgets[demand.budget] = state
        state.demand = demand
        state.used_at = self._clock.elapsed()
        return state

    def _run_policy(self, budget: str) -> None:
        self._budgets[budget].looked_at = self._clock.elapsed()
        if not self._session.joined:
            return
        for action in self._policy(self.make_view(budget)):
            self._perform(budget, action)

    def _perform(self, budget: str, action: Action) -> None:
        participant = self._session.participant
        book = participant.book
        if isinstance(action, AskGrant):
            offset = self._session.config_offset()
            grant = book.ask_grant(budget, action.tokens, offset)
            participant.writer.submit_record(grant)
        elif isinstance(action, HandBack):
            record = book.take_return(budget, action.tokens)
            if record is not None:
                participant.writer.submit_record(record)
        elif isinstance(action, Borrow):
            self._start_loan(budget, action)
        elif isinstance(action, AskRecall):
            self._ask_recall(budget, action.tokens)

    def _ask_recall(self, budget: str, tokens: int) -> None:
        state = self._budgets[budget]
        now = self._clock.elapsed()
        if state.recalled_at is not None and now - state.recalled_at < RECALL_PAUSE:
            return
        state.recalled_at = now
        participant = self._session.participant
        participant.writer.submit(
            lambda record_id: Recall(record_id, budget, participant.incarnation, tokens)
        )

    def _start_loan(self, budget: str, action: Borrow) -> None:
        state = self._budgets[budget]
        if state.borrowing:
            return
        state.borrowing = action.tokens
        task = asyncio.ensure_future(self._take_loan(budget, action))
        self._loans.add(task)
        task.add_done_callback(self._loans.discard)

    async def _take_loan(self, budget: str, action: Borrow) -> None:
        participant = self._session.participant
        request = participant.book.make_borrow(budget, action.tokens)
        try:
            lent = await self._borrow_from(action.peer, request)
        finally:
            self._budgets[budget].borrowing = 0
        if lent is None or lent.tokens == 0:
            self._budgets[budget].empty_peers[action.peer] = self._clock.elapsed()
            self._session.notify_change()
            return
        transfer = participant.book.accept(lent)
        if transfer is not None:
            participant.writer.submit_record(transfer)
        self._session.notify_change()
