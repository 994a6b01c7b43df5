"""Simulated router cores that share an in-memory log."""

from datetime import timedelta
from typing import Any, NamedTuple

from returns.result import Success

from lavendershift.allowances import AllowanceBook
from lavendershift.holdingpolicies import (
    HOLDING_POLICIES,
    BorrowTokens,
    HoldingView,
    Peer,
    RequestGrant,
    ReturnTokens,
)
from lavendershift.ledger import Ledger
from lavendershift.messages import BorrowRequest
from lavendershift.recalls import RecallQueue
from lavendershift.records import (
    Abandon,
    Claim,
    Grant,
    Join,
    Recall,
    decode_entry,
    encode_record,
)

STREAM = "ledger-0"
HOLD_AHEAD = timedelta(seconds=20)


class Call(NamedTuple):
    """A caller's request; a retry has another ``id`` and the same ``request``."""

    id: str
    request: str
    budget: str
    tokens: int
    repeatable: bool


class Packet(NamedTuple):
    """A message on the simulated network."""

    kind: str  # type of the message: dispatch, response, refusal, borrow or lent
    to: str  # receiving incarnation, or "server"
    body: Any


class Attempt(NamedTuple):
    """A call at a backend server, with the tokens reserved for it."""

    id: str
    incarnation: str
    call: Call
    reservation: Any


class FakeLog:
    """In-memory log; entries below offset ``first`` have expired."""

    def __init__(self):
        self.entries = []
        self.first = 0
        self.checkpoint = None

    def append(self, time_ms, raws):
        for raw in raws:
            self.entries.append([len(self.entries), time_ms, raw])

    def read(self, offset, limit):
        assert offset >= self.first, "offset has expired"
        return [decode_entry(STREAM, *entry) for entry in self.entries[offset:][:limit]]


class Core:
    """Simulated router incarnation.

    It replays the ledger, accounts for its tokens, runs the holding policy, and
    queues its records in ``outbox`` until ``flush`` appends them.
    """

    def __init__(self, world, vm, incarnation, policy):
        self.world, self.vm, self.name = world, vm, incarnation
        self.status = "running"
        self.policy = HOLDING_POLICIES[policy]
        self.seq = self.attempts = 0
        self.outbox, self.batch = [], None
        self.claims, self.running, self.in_doubt = {}, {}, {}
        self.wanted = {}
        self.config_offset = 0
        self.recalls = RecallQueue()
        checkpoint = world.log.checkpoint
        if checkpoint:
            self.ledger = Ledger.restore(checkpoint, world.prepaid)
        else:
            self.ledger = Ledger(STREAM, world.prepaid)
        self.book = AllowanceBook(incarnation, self.ledger, self.next_id)
        domain = f"d{vm % 2}"
        self.log(Join(self.next_id(), incarnation, f"r{vm}", domain, 0))

    def next_id(self):
        self.seq += 1
        return f"{self.name}/{self.seq}"

    def log(self, record):
        if record is not None:
            self.outbox.append(encode_record(record))

    # Requests
    def handle(self, call):
        state = self.ledger.find_request(call.request)
        if not call.repeatable and state is not None and state.outcome is not None:
            return self.world.reply(call, "answer", state.outcome.body)
        claimed = state is not None and state.claimant
        if not self.book.active or call.request in self.claims or claimed:
            return self.world.reply(call, "refused")
        self.attempts += 1
        attempt = f"{self.name}-a{self.attempts}"
        match self.book.reserve(call.budget, call.tokens, call.request, attempt):
            case Success(reservation):
                return self.admit(Attempt(attempt, self.name, call, reservation))
        self.wanted[call.budget] = call.tokens
        self.tick()
        return self.world.reply(call, "refused")

    def admit(self, attempt):
        if attempt.call.repeatable:
            return self.dispatch(attempt)
        call = attempt.call
        claim = Claim(self.next_id(), call.request, call.budget, self.name, "f")
        self.claims[call.request] = attempt
        return self.log(claim)

    def dispatch(self, attempt):
        self.running[attempt.id] = attempt
        self.world.send(Packet("dispatch", "server", attempt))

    def apply_claim(self, claim, verdict):
        attempt = self.claims.pop(claim.request, None)
        if attempt is None:
            return None
        has_reply = attempt.call.id in self.world.replied
        if verdict.counted and self.book.active and not has_reply:
            return self.dispatch(attempt)
        self.book.cancel(attempt.reservation)
        if verdict.counted:
            self.log(Abandon(self.next_id(), claim.request, self.name))
        return self.world.reply(attempt.call, "refused")

    # Messages of backend servers and other routers
    def receive(self, packet):
        if packet.kind == "borrow":
            response = self.book.lend(packet.body)
            self.log(response.transfer)
            self.world.send(Packet("lent", packet.body.incarnation, response.loan))
        elif packet.kind == "lent":
            self.log(self.book.accept_loan(packet.body))
        else:
            self.finish(packet)

    def finish(self, packet):
        attempt, tokens, answer = packet.body
        if self.book.closed:
            return
        open_attempt = self.running.pop(attempt.id, None) or self.in_doubt.pop(
            attempt.id, None
        )
        if open_attempt is None:
            return
        call, reservation = attempt.call, attempt.reservation
        if packet.kind == "refusal":
            self.book.cancel(reservation)
            if not call.repeatable:
                self.log(Abandon(self.next_id(), call.request, self.name))
            self.world.reply(call, "refused")
            return
        if call.repeatable:
            self.log(self.book.settle(reservation, tokens))
        else:
            self.log(self.book.settle_outcome(reservation, tokens, 200, "text", answer))
        self.world.reply(call, "answer", answer)

    def lose(self, attempt):
        """Mark an attempt as in doubt after its connection broke."""
        if self.running.pop(attempt.id, None) is not None:
            self.in_doubt[attempt.id] = attempt
            self.book.mark_in_doubt(attempt.reservation)
            self.world.reply(attempt.call, "unknown")

    # Log
    def flush(self, taken, answered):
        """Append a batch of records.

        The log receives it if ``taken``. The batch is sent again by the next call
        unless the acknowledgement arrives, too (``answered``).
        """
        if self.batch is None:
            self.batch, self.outbox = self.outbox[:4], self.outbox[4:]
        if taken:
            self.world.log.append(self.world.time_ms, self.batch)
        if taken and answered:
            self.batch = None

    def read(self, limit):
        if self.ledger.next_offset < self.world.log.first:
            return self.retire()
        for entry in self.world.log.read(self.ledger.next_offset, limit):
            required = self.ledger.required_config_offset(entry)
            self.config_offset = max(self.config_offset, required)
            verdict = self.ledger.apply(entry)
            for record in self.book.apply(entry.record, verdict):
                self.log(record)
            self.recalls.apply(entry.record, verdict, entry.time_ms)
            is_own = getattr(entry.record, "incarnation", "") == self.name
            is_new = verdict.reason != "repeated"
            if is_own and is_new and isinstance(entry.record, Claim):
                self.apply_claim(entry.record, verdict)
            if is_own and isinstance(entry.record, Grant):
                self.wanted.pop(entry.record.budget, None)
        return None

    def retire(self):
        """Stop permanently: the offset to read next has expired from the log."""
        for request in list(self.claims):
            attempt = self.claims.pop(request)
            self.book.cancel(attempt.reservation)
            self.log(Abandon(self.next_id(), request, self.name))
            self.world.reply(attempt.call, "refused")
        if not self.running and not self.book.closed:
            self.log(self.book.make_close())

    # Holding policy
    def view(self, budget):
        world, account = self.world, self.book.account(budget)
        view = self.ledger.find_budget(budget, self.config_offset)
        peers = tuple(
            Peer(name, name[1] == self.name[1], True, held)
            for name, held in view.held.items()
            if name != self.name and self.ledger.incarnations.is_joined(name)
        )
        recalled = self.recalls.sum_ahead(budget, self.name, world.time_ms)
        return HoldingView(
            budget,
            view.prepaid,
            view.available,
            account.free,
            account.lendable,
            account.reserved,
            self.book.requested(budget),
            self.wanted.get(budget, 0),
            self.wanted.get(budget, 0),
            recalled,
            5.0,
            10.0,
            len(self.ledger.list_live()),
            self.vm not in world.vms_without_log,
            HOLD_AHEAD,
            0.3,
            peers,
        )

    def tick(self):
        if not self.book.active:
            return
        for budget in self.world.budgets:
            for action in self.policy(self.view(budget)):
                self.act(budget, action)

    def act(self, budget, action):
        if isinstance(action, RequestGrant):
            offset = self.config_offset
            self.log(self.book.request_grant(budget, action.tokens, offset))
        elif isinstance(action, ReturnTokens):
            self.log(self.book.return_tokens(budget, action.tokens))
        elif isinstance(action, BorrowTokens):
            request = self.book.make_loan_request(budget, action.tokens)
            assert isinstance(request, BorrowRequest)
            self.world.send(Packet("borrow", action.peer, request))
        else:
            self.log(Recall(self.next_id(), budget, self.name, action.tokens))
