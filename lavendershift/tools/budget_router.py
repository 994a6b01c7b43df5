"""A router of the budget experiment, with the product's ledger and policies.

Only the log, the network and the callers are simulated.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from returns.result import Success

from lavendershift.allowances import AllowanceBook
from lavendershift.holdingpolicies import (
    Action,
    BorrowTokens,
    HoldingPolicy,
    HoldingView,
    Peer,
    RequestGrant,
    ReturnTokens,
)
from lavendershift.ledger import Ledger
from lavendershift.messages import BorrowRequest, LoanGrant
from lavendershift.rates import RateEstimator
from lavendershift.recalls import RecallQueue
from lavendershift.records import Charge, Grant, Join, Recall, Record, Transfer
from lavendershift.reservations import Reservation
from lavendershift.tools.budget_log import (
    APPEND_RETRY_S,
    APPEND_S,
    Connectivity,
    SimulatedLog,
    Timeline,
)
from lavendershift.tools.traces import DOMAIN_OF_ROUTER, TracedRequest
from lavendershift.waitpolicies import Refuse, decide_wait

BUDGET = "budget"
STREAM = "ledger-0"
BATCH_DELAY_S = 1.0  # delay of records that are not urgent, to append a batch
POLICY_INTERVAL_S = 5.0  # interval between policy runs without an event
PEER_DELAY_S = 0.002  # one-way latency between two routers
RECALL_INTERVAL_S = 1.0  # minimum interval between two recall requests
EMPTY_PEER_BACKOFF_S = 10.0  # delay until a peer that lent too little gets a request
RATE_WINDOW = timedelta(minutes=15)  # time window of the estimates of token usage
DEADLINE = timedelta(seconds=60)  # time from the arrival of a request to its deadline


class HoldingSettings(NamedTuple):
    """Settings of a run: the demand and the share of the remainder to hold ahead."""

    ahead: timedelta
    share: float


class WaitingRequest(NamedTuple):
    """A request that waits for tokens."""

    request: TracedRequest
    since_s: float


class RouterEnvironment(NamedTuple):
    """Connections and callbacks of a simulated router."""

    timeline: Timeline
    log: SimulatedLog
    connectivity: Connectivity
    find_prepaid: Callable[[str, int], int]
    find_config_offset: Callable[[int], int]
    find_router: Callable[[str], "SimulatedRouter | None"]
    on_refused: Callable[[TracedRequest, float], None]
    on_started: Callable[[TracedRequest, float], None]
    on_finished: Callable[[TracedRequest], None]


class SimulatedRouter:
    """One incarnation of a router, with its ledger, allowances and waiting requests."""

    def __init__(
        self,
        index: int,
        incarnation: str,
        policy: HoldingPolicy,
        holding: HoldingSettings,
        environment: RouterEnvironment,
    ) -> None:
        self.index = index
        self.name = incarnation
        self.alive = True
        self.environment = environment
        self.ledger = Ledger(STREAM, environment.find_prepaid)
        self.book = AllowanceBook(incarnation, self.ledger, self._next_id)
        self._policy = policy
        self._holding = holding
        self._recalls = RecallQueue()
        self._own_rate = RateEstimator(RATE_WINDOW)
        self._fleet_rate = RateEstimator(RATE_WINDOW)
        self._seq = 0
        self._outbox: list[Record] = []
        self._flushing = False
        self._waiting: list[WaitingRequest] = []
        self._borrowing = 0
        self._empty_peer_until_s: dict[str, float] = {}
        self._last_recall_s = -RECALL_INTERVAL_S
        self._attempts = 0
        self._log_record(
            Join(self._next_id(), incarnation, f"r{index}", self.domain, 0), 0.0
        )
        environment.log.readers.append(self.read)
        environment.timeline.call_later(POLICY_INTERVAL_S, self._run_periodically)

    @property
    def domain(self) -> str:
        """Name of the failure domain."""
        return f"d{DOMAIN_OF_ROUTER[self.index]}"

    @property
    def online(self) -> bool:
        """Whether this router can reach the log."""
        return self.environment.connectivity.can_reach_log(self.index)

    def stop(self) -> None:
        """Stop without closing the incarnation, as a lost VM does."""
        self.alive = False
        self.environment.log.readers.remove(self.read)

    def handle(self, request: TracedRequest) -> None:
        """Start a caller's request, or let it wait for tokens."""
        waiting = WaitingRequest(request, self.environment.timeline.now_s)
        if self._start(waiting):
            self._run_policy()
            return
        self._waiting.append(waiting)
        self._run_policy()
        self._check_waiting(waiting)

    def read(self) -> None:
        """Apply the new entries of the log if it is reachable."""
        if not self.alive or not self.online:
            return
        entries = self.environment.log.entries
        relevant = False
        while self.ledger.next_offset < len(entries):
            entry = entries[self.ledger.next_offset]
            verdict = self.ledger.apply(entry)
            record = entry.record
            assert record is not None
            for response in self.book.apply(record, verdict):
                self._log_record(response, 0.0)
            self._recalls.apply(record, verdict, entry.time_ms)
            if isinstance(record, Charge):
                self._fleet_rate.add(record.tokens, self.environment.timeline.now)
            own = isinstance(record, Grant) and record.incarnation == self.name
            relevant |= own or isinstance(record, Recall | Transfer | Join)
        if relevant or self._waiting:
            self._start_waiting()
            self._run_policy()

    def lend(self, request: BorrowRequest) -> LoanGrant:
        """Respond to a peer's loan request."""
        response = self.book.lend(request)
        if response.transfer is not None:
            self._log_record(response.transfer, BATCH_DELAY_S)
        return response.loan

    def make_view(self) -> HoldingView:
        """Return this router's view of the budget."""
        account = self.book.account(BUDGET)
        now = self.environment.timeline.now
        config_offset = self.environment.find_config_offset(self.index)
        budget = self.ledger.find_budget(BUDGET, config_offset)
        time_ms = int(now / timedelta(milliseconds=1))
        wanted = [waiting.request.tokens for waiting in self._waiting]
        return HoldingView(
            BUDGET,
            budget.prepaid,
            budget.available,
            account.free,
            account.lendable,
            account.reserved,
            self.book.requested(BUDGET) + self._borrowing,
            sum(wanted),
            min(wanted, default=0),
            self._recalls.sum_ahead(BUDGET, self.name, time_ms),
            self._own_rate.estimate(now),
            self._fleet_rate.estimate(now),
            len(self.ledger.list_live()),
            self.online,
            self._holding.ahead,
            self._holding.share,
            tuple(self._find_peers(budget.held)),
        )

    def _find_peers(self, held: dict[str, int]) -> list[Peer]:
        peers = []
        for name in self.ledger.list_live():
            router = self.environment.find_router(name)
            if name == self.name or router is None:
                continue
            reachable = router.alive and self.environment.connectivity.can_reach_peer(
                self.index, router.index
            )
            empty = (
                self._empty_peer_until_s.get(name, 0.0)
                > self.environment.timeline.now_s
            )
            same_domain = router.domain == self.domain
            usable = reachable and not empty
            peers.append(Peer(name, same_domain, usable, held.get(name, 0)))
        return peers

    def _start(self, waiting: WaitingRequest) -> bool:
        request = waiting.request
        attempt = f"{self.name}-a{self._attempts}"
        result = self.book.reserve(BUDGET, request.tokens, attempt, attempt)
        if not isinstance(result, Success):
            return False
        self._attempts += 1
        reservation = result.unwrap()
        timeline = self.environment.timeline
        self.environment.on_started(request, timeline.now_s - waiting.since_s)
        timeline.call_later(
            request.duration_s, lambda: self._finish(request, reservation)
        )
        return True

    def _finish(self, request: TracedRequest, reservation: Reservation) -> None:
        self.environment.on_finished(request)
        if not self.alive:
            return
        self._own_rate.add(request.used, self.environment.timeline.now)
        self._log_record(self.book.settle(reservation, request.used), BATCH_DELAY_S)
        self._start_waiting()
        self._run_policy()

    def _start_waiting(self) -> None:
        for waiting in list(self._waiting):
            if self._start(waiting):
                self._waiting.remove(waiting)

    def _check_waiting(self, waiting: WaitingRequest) -> None:
        """Refuse a waiting request, or check it again later."""
        if waiting not in self._waiting or not self.alive:
            return
        waited = timedelta(seconds=self.environment.timeline.now_s - waiting.since_s)
        decision = decide_wait(
            self.make_view(), waiting.request.tokens, waited, DEADLINE - waited
        )
        if isinstance(decision, Refuse):
            self._waiting.remove(waiting)
            waited_s = waited.total_seconds()
            self.environment.on_refused(waiting.request, waited_s)
            self._start_waiting()
            return
        delay_s = min(1.0, decision.longest.total_seconds())
        self.environment.timeline.call_later(
            delay_s, lambda: self._check_waiting(waiting)
        )

    def _run_periodically(self) -> None:
        if self.alive:
            self.read()
            self._run_policy()
            self.environment.timeline.call_later(
                POLICY_INTERVAL_S, self._run_periodically
            )

    def _run_policy(self) -> None:
        if not self.book.active:
            return
        for action in self._policy(self.make_view()):
            self._execute(action)

    def _execute(self, action: Action) -> None:
        if isinstance(action, RequestGrant):
            offset = self.environment.find_config_offset(self.index)
            self._log_record(
                self.book.request_grant(BUDGET, action.tokens, offset), 0.0
            )
        elif isinstance(action, ReturnTokens):
            returned = self.book.return_tokens(BUDGET, action.tokens)
            if returned is not None:
                self._log_record(returned, 0.0)
        elif isinstance(action, BorrowTokens):
            self._borrow(action)
        elif self.environment.timeline.now_s - self._last_recall_s >= RECALL_INTERVAL_S:
            self._last_recall_s = self.environment.timeline.now_s
            recall = Recall(self._next_id(), BUDGET, self.name, action.tokens)
            self._log_record(recall, 0.0)

    def _borrow(self, action: BorrowTokens) -> None:
        lender = self.environment.find_router(action.peer)
        assert lender is not None
        request = self.book.make_loan_request(BUDGET, action.tokens)
        self._borrowing += action.tokens
        self.environment.timeline.call_later(
            2 * PEER_DELAY_S,
            lambda: self._take_loan(lender.lend(request), action.tokens),
        )

    def _take_loan(self, loan: LoanGrant, requested: int) -> None:
        self._borrowing -= requested
        transfer = self.book.accept_loan(loan)
        if transfer is not None:
            self._log_record(transfer, BATCH_DELAY_S)
        if loan.tokens < requested:
            until_s = self.environment.timeline.now_s + EMPTY_PEER_BACKOFF_S
            self._empty_peer_until_s[loan.sender] = until_s
        self._start_waiting()
        self._run_policy()

    def _next_id(self) -> str:
        self._seq += 1
        return f"{self.name}/{self._seq}"

    def _log_record(self, record: Record, delay_s: float) -> None:
        self._outbox.append(record)
        if delay_s == 0.0:
            self.environment.timeline.call_later(APPEND_S, self._flush)
        elif not self._flushing:
            self._flushing = True
            self.environment.timeline.call_later(delay_s, self._flush_batch)

    def _flush_batch(self) -> None:
        self._flushing = False
        self._flush()

    def _flush(self) -> None:
        if not self._outbox or not self.alive:
            return
        if not self.online:
            self._retry_flush()
            return
        records, self._outbox = self._outbox, []
        self.environment.log.append(records)

    def _retry_flush(self) -> None:
        if not self._flushing:
            self._flushing = True
            self.environment.timeline.call_later(APPEND_RETRY_S, self._flush_batch)
