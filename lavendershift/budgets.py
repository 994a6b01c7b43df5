"""The budgets of the fleet as the request path uses them.

Finds the ledger stream of a budget, reserves before an attempt is sent, and
settles after it: a charge that is confirmed by the log where it answers, a
reservation kept in doubt where the usage is unknown, or nothing where the
attempt certainly did not run.
"""

import asyncio
from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Success

from lavendershift.admission import RequestContext
from lavendershift.allocators import BudgetAllocator, Demand, HeldReservation
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.ledger import Ledger
from lavendershift.ledgersessions import LedgerSession
from lavendershift.messages import AttemptNote
from lavendershift.records import Record, find_ledger_stream
from lavendershift.replicas import AttemptSender

SETTLE_WAIT = timedelta(seconds=2)  # for the log to confirm a charge


class Shard(NamedTuple):
    """One ledger stream with its session and its allocator."""

    session: LedgerSession
    allocator: BudgetAllocator


class Budgets:
    """Reserves and settles on the ledger stream of each budget.

    ``sender`` is told of the attempts that are charged.
    """

    def __init__(self, shards: Mapping[str, Shard], sender: AttemptSender) -> None:
        self._shards = shards
        self._sender = sender

    def find_shard(self, budget: str) -> Shard:
        """Return the shard that ``budget`` belongs to."""
        return self._shards[find_ledger_stream(budget, len(self._shards))]

    def find_shard_of(self, stream: str) -> Shard:
        """Return the shard of a ledger stream."""
        return self._shards[stream]

    def list_shards(self) -> list[Shard]:
        """Return all shards."""
        return list(self._shards.values())

    def find_ledger(self, budget: str) -> Ledger:
        """Return the fold of the stream that ``budget`` belongs to."""
        return self.find_shard(budget).session.ledger

    async def reserve(
        self, context: RequestContext, tokens: int, attempt: str
    ) -> HeldReservation:
        """Reserve ``tokens`` for an attempt; raises ``RequestError``."""
        caller = context.caller
        if not caller.budget:
            raise RequestError(ErrorKind.BUDGET_EXHAUSTED, "no budget is assigned")
        demand = Demand(
            caller.budget,
            tokens,
            context.request,
            attempt,
            caller.hold_ahead,
            caller.hold_share,
        )
        allocator = self.find_shard(caller.budget).allocator
        match await allocator.acquire(demand, context.deadline):
            case Success(held):
                return held
            case Failure(error):
                raise error
        raise AssertionError("a result is a success or a failure")

    def cancel(self, held: HeldReservation) -> None:
        """Free the reservation of an attempt that certainly did not run."""
        held.participant.book.cancel(held.reservation)
        self._sender.note_charged(held.reservation.attempt)
        self._note_used(held, 0)

    def note_sent(self, held: HeldReservation, address: str) -> None:
        """Note that an attempt is about to be sent to the engine at ``address``."""
        reservation = held.reservation
        self._sender.note_sent(
            AttemptNote(
                held.participant.incarnation,
                reservation.attempt,
                reservation.request,
                reservation.budget,
                address,
            )
        )

    async def settle(self, held: HeldReservation, used: int) -> bool:
        """Charge what an attempt used; true once the log has confirmed it.

        Without the log's answer the charge is kept and appended later.
        """
        used = min(used, held.reservation.tokens)
        charge = held.participant.book.settle(held.reservation, used)
        self._note_used(held, used)
        return await self.append(held, charge)

    async def settle_outcome(
        self,
        held: HeldReservation,
        used: int,
        status: int,
        content_type: str,
        body: str,
    ) -> bool:
        """Record the answer of a claimed request and charge it."""
        outcome = held.participant.book.settle_outcome(
            held.reservation, used, status, content_type, body
        )
        self._note_used(held, used)
        return await self.append(held, outcome)

    def keep_in_doubt(self, held: HeldReservation) -> None:
        """Keep the reservation of an attempt whose usage is unknown."""
        held.participant.book.keep_in_doubt(held.reservation)

    def resolve(self, held: HeldReservation, used: int) -> None:
        """Charge an attempt in doubt on evidence of what it used."""
        used = min(used, held.reservation.tokens)
        charge = held.participant.book.resolve(held.reservation, used)
        self._submit(held, charge)
        self._note_used(held, used)

    async def append(self, held: HeldReservation, record: Record) -> bool:
        """Append a record of the reservation's participant.

        Waits for the log at most ``SETTLE_WAIT``, and not at all while it is
        known to be away.
        """
        writer = held.participant.writer
        appended = self._submit(held, record)
        if writer.failing_for:
            return False
        done, _ = await asyncio.wait([appended], timeout=SETTLE_WAIT.total_seconds())
        return bool(done)

    def _submit(self, held: HeldReservation, record: Record) -> asyncio.Future[None]:
        appended = held.participant.writer.submit_record(record)
        attempt = held.reservation.attempt
        appended.add_done_callback(lambda _: self._sender.note_charged(attempt))
        return appended

    def _note_used(self, held: HeldReservation, used: int) -> None:
        budget = held.reservation.budget
        self.find_shard(budget).allocator.note_used(budget, used)
