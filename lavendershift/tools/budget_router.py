"""A router of the budget experiment: real decision logic, simulated wires."""

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
from lavendershift.messages import BorrowRequest, Lent
from lavendershift.rates import RateEstimator
from lavendershift.recalls import RecallQueue
from lavendershift.records import Charge, Grant, Join, Recall, Record, Transfer
from lavendershift.reservations import Reservation
from lavendershift.tools.budget_log import (
    APPEND_S,
    APPEND_RETRY_S,
    Connectivity,
    SimulatedLog,
    Timeline,
)
from lavendershift.tools.traces import DOMAIN_OF_ROUTER, TracedRequest
from lavendershift.waitpolicies import Refuse, decide_wait

BUDGET = "budget"
STREAM = "ledger-0"
LAZY_FLUSH_S = 1.0
TICK_S = 5.0
PEER_DELAY_S = 0.002
RECALL_INTERVAL_S = 1.0
EMPTY_PEER_S = 10.0  # a peer that lent nothing is not asked again for so long
RATE_WINDOW = timedelta(minutes=15)
DEADLINE = timedelta(seconds=60)


class Holding(NamedTuple):
    """Settings of a run: how long and which share to hold ahead."""

    ahead: timedelta
    share: float


class Waiter(NamedTuple):
    """A request that waits for tokens."""

    request: TracedRequest
    since_s: float


class Surroundings(NamedTuple):
    """What a router of the experiment is connected to."""

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
    """One incarnation of a router."""

    def __init__(
        self,
        index: int,
        incarnation: str,
        policy: HoldingPolicy,
        holding: Holding,
        surroundings: Surroundings,
    ) -> None:
        self.index = index
        self.name = incarnation
        self.alive = True
        self.around = surroundings
        self.ledger = Ledger(STREAM, surroundings.find_prepaid)
        self.book = AllowanceBook(incarnation, self.ledger, self._next_id)
        self._policy = policy
        self._holding = holding
        self._board = RecallQueue()
        self._own_rate = RateEstimator(RATE_WINDOW)
        self._fleet_rate = RateEstimator(RATE_WINDOW)
        self._seq = 0
        self._outbox: list[Record] = []
        self._flushing = False
        self._waiters: list[Waiter] = []
        self._borrowing = 0
        self._empty_peers: dict[str, float] = {}
        self._recalled_s = -RECALL_INTERVAL_S
        self._attempts = 0
        self._log_record(
            Join(self._next_id(), incarnation, f"r{index}", self.domain, 0), 0.0
        )
        surroundings.log.readers.append(self.read)
        surroundings.timeline.call_later(TICK_S, self._tick_again)

    @property
    def domain(self) -> str:
        """Name of the failure domain."""
        return f"d{DOMAIN_OF_ROUTER[self.index]}"

    @property
    def online(self) -> bool:
        """Whether the log answers this router."""
        return self.around.connectivity.can_reach_log(self.index)

    def stop(self) -> None:
        """Vanish, as a VM does."""
        self.alive = False
        self.around.log.readers.remove(self.read)

    def handle(self, request: TracedRequest) -> None:
        """Take a request from a caller."""
        waiter = Waiter(request, self.around.timeline.now_s)
        if self._start(waiter):
            self._tick()
            return
        self._waiters.append(waiter)
        self._tick()
        self._review(waiter)

    def read(self) -> None:
        """Fold what the log has, if it can be reached."""
        if not self.alive or not self.online:
            return
        entries = self.around.log.entries
        relevant = False
        while self.ledger.next_offset < len(entries):
            entry = entries[self.ledger.next_offset]
            verdict = self.ledger.fold(entry)
            record = entry.record
            assert record is not None
            for answer in self.book.apply(record, verdict):
                self._log_record(answer, 0.0)
            self._board.apply(record, verdict, entry.time_ms)
            if isinstance(record, Charge):
                self._fleet_rate.add(record.tokens, self.around.timeline.now)
            own = isinstance(record, Grant) and record.incarnation == self.name
            relevant |= own or isinstance(record, Recall | Transfer | Join)
        if relevant or self._waiters:
            self._serve()
            self._tick()

    def lend(self, request: BorrowRequest) -> Lent:
        """Answer a peer that wants to borrow."""
        answer = self.book.lend(request)
        if answer.transfer is not None:
            self._log_record(answer.transfer, LAZY_FLUSH_S)
        return answer.loan

    def make_view(self) -> HoldingView:
        """Return the budget as this router sees it."""
        account = self.book.account(BUDGET)
        now = self.around.timeline.now
        config_offset = self.around.find_config_offset(self.index)
        budget = self.ledger.find_budget(BUDGET, config_offset)
        time_ms = int(now / timedelta(milliseconds=1))
        wanted = [waiter.request.tokens for waiter in self._waiters]
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
            self._board.sum_ahead(BUDGET, self.name, time_ms),
            self._own_rate.estimate(now),
            self._fleet_rate.estimate(now),
            len(self.ledger.live_incarnations()),
            self.online,
            self._holding.ahead,
            self._holding.share,
            tuple(self._find_peers(budget.held)),
        )

    def _find_peers(self, held: dict[str, int]) -> list[Peer]:
        peers = []
        for name in self.ledger.live_incarnations():
            router = self.around.find_router(name)
            if name == self.name or router is None:
                continue
            reachable = router.alive and self.around.connectivity.can_reach_peer(
                self.index, router.index
            )
            empty = self._empty_peers.get(name, 0.0) > self.around.timeline.now_s
            near = router.domain == self.domain
            usable = reachable and not empty
            peers.append(Peer(name, near, usable, held.get(name, 0)))
        return peers

    def _start(self, waiter: Waiter) -> bool:
        request = waiter.request
        attempt = f"{self.name}-a{self._attempts}"
        result = self.book.reserve(BUDGET, request.tokens, attempt, attempt)
        if not isinstance(result, Success):
            return False
        self._attempts += 1
        reservation = result.unwrap()
        timeline = self.around.timeline
        self.around.on_started(request, timeline.now_s - waiter.since_s)
        timeline.call_later(
            request.duration_s, lambda: self._finish(request, reservation)
        )
        return True

    def _finish(self, request: TracedRequest, reservation: Reservation) -> None:
        self.around.on_finished(request)
        if not self.alive:
            return
        self._own_rate.add(request.used, self.around.timeline.now)
        self._log_record(self.book.settle(reservation, request.used), LAZY_FLUSH_S)
        self._serve()
        self._tick()

    def _serve(self) -> None:
        for waiter in list(self._waiters):
            if self._start(waiter):
                self._waiters.remove(waiter)

    def _review(self, waiter: Waiter) -> None:
        """Refuse a waiting request, or look at it again later."""
        if waiter not in self._waiters or not self.alive:
            return
        waited = timedelta(seconds=self.around.timeline.now_s - waiter.since_s)
        decision = decide_wait(
            self.make_view(), waiter.request.tokens, waited, DEADLINE - waited
        )
        if isinstance(decision, Refuse):
            self._waiters.remove(waiter)
            left = waited.total_seconds()
            self.around.on_refused(waiter.request, left)
            self._serve()
            return
        delay_s = min(1.0, decision.longest.total_seconds())
        self.around.timeline.call_later(delay_s, lambda: self._review(waiter))

    def _tick_again(self) -> None:
        if self.alive:
            self.read()
            self._tick()
            self.around.timeline.call_later(TICK_S, self._tick_again)

    def _tick(self) -> None:
        if not self.book.active:
            return
        for action in self._policy(self.make_view()):
            self._act(action)

    def _act(self, action: Action) -> None:
        if isinstance(action, RequestGrant):
            offset = self.around.find_config_offset(self.index)
            self._log_record(
                self.book.request_grant(BUDGET, action.tokens, offset), 0.0
            )
        elif isinstance(action, ReturnTokens):
            returned = self.book.return_tokens(BUDGET, action.tokens)
            if returned is not None:
                self._log_record(returned, 0.0)
        elif isinstance(action, BorrowTokens):
            self._borrow(action)
        elif self.around.timeline.now_s - self._recalled_s >= RECALL_INTERVAL_S:
            self._recalled_s = self.around.timeline.now_s
            recall = Recall(self._next_id(), BUDGET, self.name, action.tokens)
            self._log_record(recall, 0.0)

    def _borrow(self, action: BorrowTokens) -> None:
        lender = self.around.find_router(action.peer)
        assert lender is not None
        request = self.book.make_loan_request(BUDGET, action.tokens)
        self._borrowing += action.tokens
        self.around.timeline.call_later(
            2 * PEER_DELAY_S,
            lambda: self._take_loan(lender.lend(request), action.tokens),
        )

    def _take_loan(self, lent: Lent, asked: int) -> None:
        self._borrowing -= asked
        transfer = self.book.accept_loan(lent)
        if transfer is not None:
            self._log_record(transfer, LAZY_FLUSH_S)
        if lent.tokens < asked:
            until_s = self.around.timeline.now_s + EMPTY_PEER_S
            self._empty_peers[lent.sender] = until_s
        self._serve()
        self._tick()

    def _next_id(self) -> str:
        self._seq += 1
        return f"{self.name}/{self._seq}"

    def _log_record(self, record: Record, delay_s: float) -> None:
        self._outbox.append(record)
        if delay_s == 0.0:
            self.around.timeline.call_later(APPEND_S, self._flush)
        elif not self._flushing:
            self._flushing = True
            self.around.timeline.call_later(delay_s, self._flush_lazily)

    def _flush_lazily(self) -> None:
        self._flushing = False
        self._flush()

    def _flush(self) -> None:
        if not self._outbox or not self.alive:
            return
        if not self.online:
            self._retry_flush()
            return
        records, self._outbox = self._outbox, []
        self.around.log.append(records)

    def _retry_flush(self) -> None:
        if not self._flushing:
            self._flushing = True
            self.around.timeline.call_later(APPEND_RETRY_S, self._flush_lazily)
