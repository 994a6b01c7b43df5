"""Budget operations of the request path: reserve, settle and cancel.

``Budgets`` finds the ledger stream of a budget and reserves tokens before an
attempt is sent. After the attempt it appends a charge, which the log confirms
if it is reachable; it retains the reservation in doubt if the usage is unknown,
and frees it if the attempt is known not to have run.
"""

import asyncio
from collections.abc import Mapping
from datetime import timedelta
from typing import NamedTuple

from returns.result import Failure, Success

from lavendershift.admission import RequestContext
from lavendershift.allocators import (
    BudgetAllocator,
    HeldReservation,
    ReservationRequest,
)
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.ledger import Ledger
from lavendershift.ledgersessions import LedgerSession
from lavendershift.messages import AttemptNote
from lavendershift.records import Record, find_ledger_stream
from lavendershift.replicas import AttemptSender

SETTLE_WAIT = timedelta(seconds=2)  # timeout for the log to confirm a charge


class Shard(NamedTuple):
    """One ledger stream with its session and its allocator."""

    session: LedgerSession
    allocator: BudgetAllocator


class Budgets:
    """Reserve and settle tokens in the ledger stream of each budget.

    ``sender`` is notified of attempts that are sent and that are charged.
    """

    def __init__(self, shards: Mapping[str, Shard], sender: AttemptSender) -> None:
        self._shards = shards
        self._sender = sender

    def find_shard(self, budget: str) -> Shard:
        """Return the shard that ``budget`` belongs to."""
        return self._shards[find_ledger_stream(budget, len(self._shards))]

    def find_shard_by_stream(self, stream: str) -> Shard:
        """Return the shard of a ledger stream."""
        return self._shards[stream]

    def list_shards(self) -> list[Shard]:
        """Return all shards."""
        return list(self._shards.values())

    def find_ledger(self, budget: str) -> Ledger:
        """Return the ledger of the stream that ``budget`` belongs to."""
        return self.find_shard(budget).session.ledger

    async def reserve(
        self, context: RequestContext, tokens: int, attempt: str
    ) -> HeldReservation:
        """Reserve ``tokens`` for an attempt; raises ``RequestError``."""
        caller = context.caller
        if not caller.budget:
            raise RequestError(ErrorKind.BUDGET_EXHAUSTED, "no budget is assigned")
        request = ReservationRequest(
            caller.budget,
            tokens,
            context.request,
            attempt,
            caller.hold_ahead,
            caller.hold_share,
        )
        allocator = self.find_shard(caller.budget).allocator
        match await allocator.acquire(request, context.deadline):
            case Success(held):
                return held
            case Failure(error):
                raise error
        raise AssertionError("a result is a success or a failure")

    def cancel(self, held: HeldReservation) -> None:
        """Free the reservation of an attempt that is known not to have run."""
        held.participant.book.cancel(held.reservation)
        self._sender.note_charged(held.reservation.attempt)
        self._record_usage(held, 0)

    def note_sent(self, held: HeldReservation, address: str) -> None:
        """Notify ``sender`` that an attempt is about to be sent to ``address``."""
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
        """Charge an attempt's usage; return true once the log has confirmed it.

        If the log does not confirm it in time, the charge stays queued and is
        appended later.
        """
        used = min(used, held.reservation.tokens)
        charge = held.participant.book.settle(held.reservation, used)
        self._record_usage(held, used)
        return await self.append(held, charge)

    async def settle_outcome(
        self,
        held: HeldReservation,
        used: int,
        status: int,
        content_type: str,
        body: str,
    ) -> bool:
        """Record the response to a claimed request and charge its usage.

        Returns true once the log has confirmed the record.
        """
        outcome = held.participant.book.settle_outcome(
            held.reservation, used, status, content_type, body
        )
        self._record_usage(held, used)
        return await self.append(held, outcome)

    def mark_in_doubt(self, held: HeldReservation) -> None:
        """Retain the reservation of an attempt whose usage is unknown."""
        held.participant.book.mark_in_doubt(held.reservation)

    def resolve(self, held: HeldReservation, used: int) -> None:
        """Charge an attempt in doubt once its usage is known."""
        used = min(used, held.reservation.tokens)
        charge = held.participant.book.resolve(held.reservation, used)
        self._submit(held, charge)
        self._record_usage(held, used)

    async def append(self, held: HeldReservation, record: Record) -> bool:
        """Append a record; return true once the log has confirmed it.

        Waits at most ``SETTLE_WAIT`` for the log, and not at all while appends
        to it fail.
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

    def _record_usage(self, held: HeldReservation, used: int) -> None:
        budget = held.reservation.budget
        self.find_shard(budget).allocator.record_usage(budget, used)
