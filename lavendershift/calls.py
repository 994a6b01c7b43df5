"""Calls to plain services.

A call that may be repeated is routed and retried like a completion. One that
may not is claimed in the log under its idempotency key before it is sent: the
first valid claim wins, and only its holder sends, once. The answer is recorded
in the log, so that a repeated key gets it from any router.
"""

import asyncio
import hashlib
from datetime import timedelta
from typing import NamedTuple

from lavendershift import signals
from lavendershift.admission import RequestContext
from lavendershift.allocators import HeldReservation
from lavendershift.budgets import Budgets
from lavendershift.clocks import Clock
from lavendershift.errors import ErrorKind, Ran, RequestError
from lavendershift.incarnations import Membership
from lavendershift.placement import Placed, Placement
from lavendershift.records import Abandon, Claim, Outcome
from lavendershift.requeststates import RequestState
from lavendershift.retries import AttemptOutcome, GiveUp, Retries, RetryReason
from lavendershift.routing import RouteRequest
from lavendershift.servers import AttemptResult
from lavendershift.sessions import LedgerSession
from lavendershift.sinks import AnswerSink
from lavendershift.upstreams import (
    Delivery,
    Transfer,
    UpstreamCall,
    UpstreamClient,
    UpstreamResult,
)

MAX_RECORDED_BYTES = 64 * 1024
CLAIM_WAIT = timedelta(seconds=3)  # for the log to decide on a claim
OUTCOME_WAIT = timedelta(seconds=10)  # for another router's answer
OUTCOME_STEP = timedelta(milliseconds=500)


class ServiceCall(NamedTuple):
    """A call to a plain service; ``path`` includes the query."""

    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    price: int
    repeatable: bool

    @property
    def fingerprint(self) -> str:
        """Hash of all that makes two calls the same."""
        digest = hashlib.sha256()
        for part in (self.service, self.method, self.path, self.content_type):
            digest.update(part.encode() + b"\0")
        digest.update(self.body)
        return digest.hexdigest()[:32]


class CallAnswer(NamedTuple):
    """A whole answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class CallDispatcher:
    """Runs calls on the plain services."""

    def __init__(
        self,
        clock: Clock,
        connect_timeout: timedelta,
        budgets: Budgets,
        placement: Placement,
        retries: Retries,
        client: UpstreamClient,
    ) -> None:
        self._clock = clock
        self._connect_timeout = connect_timeout
        self._budgets = budgets
        self._placement = placement
        self._retries = retries
        self._client = client

    async def run(
        self, context: RequestContext, call: ServiceCall, sink: AnswerSink
    ) -> None:
        """Answer a call through ``sink``; raises ``RequestError``."""
        if call.repeatable:
            await self._run_repeatable(context, call, sink)
            return
        if not context.keyed:
            raise RequestError(ErrorKind.KEY_REQUIRED)
        if not context.caller.budget:
            raise RequestError(ErrorKind.BUDGET_EXHAUSTED, "no budget is assigned")
        answer = None
        while answer is None:
            answer = await self._find_recorded(context, call)
            if answer is None:
                answer = await self._run_claimed(context, call)
        send_answer(sink, answer, context.attempt)

    def may_have_run(self, context: RequestContext, error: RequestError) -> bool:
        """Whether an earlier submission of a call's key may have run.

        It has not where this router won the claim of the key, or follows the
        log closely and knows of no claim.
        """
        if error.is_first_submission:
            return False
        if not context.caller.budget:
            return True
        session = self._budgets.find_shard(context.caller.budget).session
        state = session.ledger.find_request(context.request)
        if state is not None and (state.claimant or state.expired):
            return True
        return not (session.is_current and session.log_reachable)

    async def _run_repeatable(
        self, context: RequestContext, call: ServiceCall, sink: AnswerSink
    ) -> None:
        route = make_route(context, call)
        earlier_ran = Ran.NO
        number = 0
        while True:
            number += 1
            attempt = f"{context.attempt}-{number}"
            placed = await self._placement.place(context, route, attempt)
            result = await self._send_priced(context, call, placed)
            if result.delivery is Delivery.ANSWERED and result.status < 500:
                self._retries.record_success()
                send_answer(sink, make_answer(result), attempt)
                return
            route = route._replace(excluded=route.excluded | {placed.server})
            reason, ran = classify(result)
            outcome = AttemptOutcome(
                reason=reason,
                ran=ran,
                repeatable=True,
                attempts=number,
                earlier_ran=earlier_ran,
                servers_left=self._placement.has_untried(route),
                deadline=context.deadline,
            )
            decision = self._retries.decide(outcome)
            if isinstance(decision, GiveUp):
                raise RequestError(decision.kind)
            signals.request_retried.send(
                self, context=context, attempt=attempt, reason=decision.reason
            )
            earlier_ran = ran if earlier_ran is Ran.NO else earlier_ran
            await asyncio.sleep(decision.delay.total_seconds())

    async def _send_priced(
        self, context: RequestContext, call: ServiceCall, placed: Placed
    ) -> UpstreamResult:
        """Send a call that may be repeated and settle its price."""
        held = None
        try:
            if call.price:
                held = await self._budgets.reserve(context, call.price, placed.attempt)
        except RequestError:
            self._placement.release(placed, AttemptResult.CANCELLED)
            raise
        try:
            result = await self._send(context, call, placed)
        except BaseException:
            if held is not None:
                self._budgets.keep_in_doubt(held)
            raise
        if held is None:
            return result
        if result.delivery in (Delivery.NOT_SENT, Delivery.REFUSED):
            self._budgets.cancel(held)
        else:
            await self._budgets.settle(held, call.price)
        return result

    async def _find_recorded(
        self, context: RequestContext, call: ServiceCall
    ) -> CallAnswer | None:
        """Return the recorded answer of a key, ``None`` if it may be claimed.

        Waits for the answer while another router that is alive works on it.
        """
        ledger = self._budgets.find_ledger(context.caller.budget)
        session = self._budgets.find_shard(context.caller.budget).session
        until = min(self._clock.elapsed() + OUTCOME_WAIT, context.deadline)
        while True:
            state = ledger.find_request(context.request)
            if state is None or (not state.claimant and not state.expired):
                return None
            check_state(state, call)
            if state.outcome is not None:
                return read_outcome(state.outcome)
            self._check_claimant(session, state)
            if self._clock.elapsed() >= until:
                raise RequestError(ErrorKind.IN_PROGRESS)
            await session.wait_change(OUTCOME_STEP)

    def _check_claimant(self, session: LedgerSession, state: RequestState) -> None:
        """Raise ``OUTCOME_UNKNOWN`` if nobody will record the answer."""
        incarnation = session.ledger.find_incarnation(state.claimant)
        if incarnation is None or incarnation.state is not Membership.JOINED:
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN)

    async def _run_claimed(
        self, context: RequestContext, call: ServiceCall
    ) -> CallAnswer | None:
        """Claim, place, send and record a call that may not be repeated.

        Returns ``None`` when another claim of the key came first.
        """
        attempt = f"{context.attempt}-1"
        held = await self._budgets.reserve(context, call.price, attempt)
        try:
            won = await self._claim(context, call, held)
        except RequestError:
            self._budgets.cancel(held)
            raise
        if not won:
            self._budgets.cancel(held)
            return None
        try:
            placed = await self._placement.place(
                context, make_route(context, call), attempt
            )
        except RequestError as error:
            error.is_first_submission = True
            self._abandon_claim(context, held)
            raise
        try:
            result = await self._send(context, call, placed)
        except BaseException:
            self._budgets.keep_in_doubt(held)
            raise
        return await self._conclude(context, call, held, result)

    async def _claim(
        self, context: RequestContext, call: ServiceCall, held: HeldReservation
    ) -> bool:
        """Return the log's decision whether this router runs the call."""
        session = self._budgets.find_shard(context.caller.budget).session
        if not session.log_reachable:
            raise RequestError(ErrorKind.LOG_UNAVAILABLE)
        writer = held.participant.writer
        claim = Claim(
            writer.next_id(),
            context.request,
            context.caller.budget,
            held.participant.incarnation,
            call.fingerprint,
        )
        writer.submit_record(claim)
        verdict = await session.wait_verdict(claim.id, CLAIM_WAIT)
        if verdict is None:
            self._submit_abandon(context, held)
            raise RequestError(ErrorKind.LOG_UNAVAILABLE)
        return verdict.counted

    def _abandon_claim(self, context: RequestContext, held: HeldReservation) -> None:
        """Give up a claim whose call was certainly not run."""
        self._budgets.cancel(held)
        self._submit_abandon(context, held)

    def _submit_abandon(self, context: RequestContext, held: HeldReservation) -> None:
        incarnation = held.participant.incarnation
        held.participant.writer.submit(
            lambda record_id: Abandon(record_id, context.request, incarnation)
        )

    async def _conclude(
        self,
        context: RequestContext,
        call: ServiceCall,
        held: HeldReservation,
        result: UpstreamResult,
    ) -> CallAnswer:
        """Record what came of the call, or say truthfully what is not known."""
        if result.delivery in (Delivery.NOT_SENT, Delivery.REFUSED):
            self._abandon_claim(context, held)
            refused = result.delivery is Delivery.REFUSED
            kind = ErrorKind.SERVER_REFUSED if refused else ErrorKind.NO_SERVER
            error = RequestError(kind)
            error.is_first_submission = True
            raise error
        if result.delivery is Delivery.UNKNOWN:
            self._budgets.keep_in_doubt(held)
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN)
        answer = make_answer(result)
        recorded = answer
        if len(answer.body) > MAX_RECORDED_BYTES:
            recorded = CallAnswer(answer.status, "", b"")
        await self._budgets.settle_outcome(
            held,
            call.price,
            recorded.status,
            recorded.content_type,
            recorded.body.decode("latin-1"),
        )
        return answer

    async def _send(
        self, context: RequestContext, call: ServiceCall, placed: Placed
    ) -> UpstreamResult:
        """Send one attempt and give its place back."""
        signals.request_dispatched.send(
            self, context=context, attempt=placed.attempt, server=placed.server
        )
        headers = {"Request-Id": placed.attempt}
        if call.content_type:
            headers["Content-Type"] = call.content_type
        if context.keyed:
            headers["Idempotency-Key"] = context.request
        request = UpstreamCall(
            call.method,
            self._client.make_url(placed.address, call.path),
            headers,
            call.body or None,
            self._connect_timeout,
            context.deadline - self._clock.elapsed(),
        )
        judged = AttemptResult.FAILED
        try:
            result = await self._client.run_call(request, Transfer())
            self._placement.note_first_token(placed)
            judged = judge(result)
        finally:
            self._placement.release(placed, judged)
        return result


def make_route(context: RequestContext, call: ServiceCall) -> RouteRequest:
    """Return what routing has to know of a call."""
    return RouteRequest(
        service=call.service,
        priority=context.priority,
        deadline=context.deadline,
    )


def check_state(state: RequestState, call: ServiceCall) -> None:
    """Raise where a key is too old or belongs to another call."""
    if state.expired:
        raise RequestError(ErrorKind.KEY_EXPIRED)
    if state.fingerprint != call.fingerprint:
        raise RequestError(ErrorKind.KEY_REUSED)


def judge(result: UpstreamResult) -> AttemptResult:
    """Return how an attempt ended as far as the server's health goes."""
    if result.delivery is Delivery.REFUSED:
        return AttemptResult.REFUSED
    if result.delivery is Delivery.ANSWERED and result.status < 500:
        return AttemptResult.COMPLETED
    return AttemptResult.FAILED


def classify(result: UpstreamResult) -> tuple[RetryReason, Ran]:
    """Return why an attempt failed and whether it ran."""
    if result.delivery is Delivery.NOT_SENT:
        return RetryReason.CONNECT_FAILED, Ran.NO
    if result.delivery is Delivery.REFUSED:
        return RetryReason.REFUSED, Ran.NO
    if result.delivery is Delivery.UNKNOWN:
        return RetryReason.TIMEOUT, Ran.UNKNOWN
    return RetryReason.FAILED, Ran.UNKNOWN


def make_answer(result: UpstreamResult) -> CallAnswer:
    """Return a backend server's answer."""
    content_type = result.headers.get("Content-Type", "application/octet-stream")
    return CallAnswer(result.status, content_type, result.body)


def read_outcome(outcome: Outcome) -> CallAnswer:
    """Return a recorded answer; raises where it was too long to be recorded.

    Bodies are recorded as Latin-1 text, which can hold any bytes.
    """
    if not outcome.content_type:
        raise RequestError(ErrorKind.ANSWER_TRUNCATED, "the answer was not recorded")
    body = outcome.body.encode("latin-1")
    return CallAnswer(outcome.status, outcome.content_type, body)


def send_answer(sink: AnswerSink, answer: CallAnswer, attempt: str) -> None:
    """Send a whole answer to the caller."""
    sink.begin(answer.status, answer.content_type, attempt)
    sink.finish(answer.body)
