"""Dispatch of calls to plain services.

A repeatable call is routed and retried like a completion. A call that is not
repeatable is claimed in the log under its idempotency key before it is sent.
The first valid claim wins, and only the router that made it sends the call,
once. The response is recorded in the log, so that every router can return it
for a repeated key.
"""

import asyncio
import hashlib
from datetime import timedelta
from typing import NamedTuple

from lavendershift import signals
from lavendershift.admission import RequestContext
from lavendershift.allocators import HeldReservation
from lavendershift.budgets import Budgets
from lavendershift.callresponses import (
    ServiceResponse,
    classify,
    classify_health,
    decode_outcome,
    make_response,
    send_response,
)
from lavendershift.clocks import Clock
from lavendershift.errors import ErrorKind, Ran, RequestError
from lavendershift.incarnations import Membership
from lavendershift.ledgersessions import LedgerSession
from lavendershift.placement import Assignment, Placement
from lavendershift.records import Abandon, Claim
from lavendershift.requeststates import RequestState
from lavendershift.retries import AttemptOutcome, GiveUp, Retries
from lavendershift.routing import RouteRequest
from lavendershift.servers import AttemptResult
from lavendershift.sinks import ResponseSink
from lavendershift.upstreams import (
    Delivery,
    Transfer,
    UpstreamCall,
    UpstreamClient,
    UpstreamResult,
)

MAX_RECORDED_BYTES = 64 * 1024  # size of the largest response body that is recorded
CLAIM_WAIT = timedelta(seconds=3)  # timeout of waiting for the log to decide a claim
OUTCOME_WAIT = timedelta(seconds=10)  # timeout of waiting for another router's response
OUTCOME_STEP = timedelta(milliseconds=500)  # longest wait between checks of the ledger


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
        """Hash of the properties that identical calls share."""
        digest = hashlib.sha256()
        for part in (self.service, self.method, self.path, self.content_type):
            digest.update(part.encode() + b"\0")
        digest.update(self.body)
        return digest.hexdigest()[:32]


class CallDispatcher:
    """Runs calls on plain services."""

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
        self, context: RequestContext, call: ServiceCall, sink: ResponseSink
    ) -> None:
        """Run a call and write its response to ``sink``; raises ``RequestError``."""
        if call.repeatable:
            await self._run_repeatable(context, call, sink)
            return
        if not context.keyed:
            raise RequestError(ErrorKind.KEY_REQUIRED)
        if not context.caller.budget:
            raise RequestError(ErrorKind.BUDGET_EXHAUSTED, "no budget is assigned")
        response = None
        while response is None:
            response = await self._find_recorded_response(context, call)
            if response is None:
                response = await self._run_claimed(context, call)
        send_response(sink, response, context.attempt)

    def may_have_run(self, context: RequestContext, error: RequestError) -> bool:
        """Return whether an earlier submission of a call's key may have run.

        It did not run if this router won the claim of the key, or if its replayed
        state of the log is current and has no claim.
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
        self, context: RequestContext, call: ServiceCall, sink: ResponseSink
    ) -> None:
        route = make_route(context, call)
        earlier_ran = Ran.NO
        number = 0
        while True:
            number += 1
            attempt = f"{context.attempt}-{number}"
            assignment = await self._placement.place(context, route, attempt)
            route = route._replace(excluded=route.excluded | {assignment.server})
            connect_timeout = self._retries.choose_connect_timeout(
                self._connect_timeout,
                number,
                self._placement.has_untried(route),
                context.deadline,
            )
            result = await self._send_priced(context, call, assignment, connect_timeout)
            if result.delivery is Delivery.ANSWERED and result.status < 500:
                self._retries.record_success()
                send_response(sink, make_response(result), attempt)
                return
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
        self,
        context: RequestContext,
        call: ServiceCall,
        assignment: Assignment,
        connect_timeout: timedelta,
    ) -> UpstreamResult:
        """Send a repeatable call and settle its price."""
        held = None
        try:
            if call.price:
                held = await self._budgets.reserve(
                    context, call.price, assignment.attempt
                )
        except RequestError:
            self._placement.release(assignment, AttemptResult.CANCELLED)
            raise
        try:
            result = await self._send(context, call, assignment, connect_timeout)
        except BaseException:
            if held is not None:
                self._budgets.mark_in_doubt(held)
            raise
        if held is None:
            return result
        if result.delivery in (Delivery.NOT_SENT, Delivery.REFUSED):
            self._budgets.cancel(held)
        else:
            await self._budgets.settle(held, call.price)
        return result

    async def _find_recorded_response(
        self, context: RequestContext, call: ServiceCall
    ) -> ServiceResponse | None:
        """Return the recorded response of a key, ``None`` if it may be claimed.

        Waits for the response while a live router has claimed the key.
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
                return decode_outcome(state.outcome)
            self._check_claimant(session, state)
            if self._clock.elapsed() >= until:
                raise RequestError(ErrorKind.IN_PROGRESS)
            await session.wait_change(OUTCOME_STEP)

    def _check_claimant(self, session: LedgerSession, state: RequestState) -> None:
        """Raise ``OUTCOME_UNKNOWN`` if the claimant will not record a response."""
        incarnation = session.ledger.find_incarnation(state.claimant)
        if incarnation is None or incarnation.state is not Membership.JOINED:
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN)

    async def _run_claimed(
        self, context: RequestContext, call: ServiceCall
    ) -> ServiceResponse | None:
        """Claim, assign, send and record a call that is not repeatable.

        Returns ``None`` if another claim of the key came first.
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
            assignment = await self._placement.place(
                context, make_route(context, call), attempt
            )
        except RequestError as error:
            error.is_first_submission = True
            self._abandon_claim(context, held)
            raise
        connect_timeout = self._retries.choose_connect_timeout(
            self._connect_timeout, 1, False, context.deadline
        )
        try:
            result = await self._send(context, call, assignment, connect_timeout)
        except BaseException:
            self._budgets.mark_in_doubt(held)
            raise
        return await self._record_outcome(context, call, held, result)

    async def _claim(
        self, context: RequestContext, call: ServiceCall, held: HeldReservation
    ) -> bool:
        """Claim a call in the log; return whether this router may run it."""
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
        """Abandon the claim of a call that certainly did not run."""
        self._budgets.cancel(held)
        self._submit_abandon(context, held)

    def _submit_abandon(self, context: RequestContext, held: HeldReservation) -> None:
        incarnation = held.participant.incarnation
        held.participant.writer.submit(
            lambda record_id: Abandon(record_id, context.request, incarnation)
        )

    async def _record_outcome(
        self,
        context: RequestContext,
        call: ServiceCall,
        held: HeldReservation,
        result: UpstreamResult,
    ) -> ServiceResponse:
        """Record the outcome of a call, or raise the error that the result implies."""
        if result.delivery in (Delivery.NOT_SENT, Delivery.REFUSED):
            self._abandon_claim(context, held)
            refused = result.delivery is Delivery.REFUSED
            kind = ErrorKind.SERVER_REFUSED if refused else ErrorKind.NO_SERVER
            error = RequestError(kind)
            error.is_first_submission = True
            raise error
        if result.delivery is Delivery.UNKNOWN:
            self._budgets.mark_in_doubt(held)
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN)
        response = make_response(result)
        recorded = response
        if len(response.body) > MAX_RECORDED_BYTES:
            recorded = ServiceResponse(response.status, "", b"")
        await self._budgets.settle_outcome(
            held,
            call.price,
            recorded.status,
            recorded.content_type,
            recorded.body.decode("latin-1"),
        )
        return response

    async def _send(
        self,
        context: RequestContext,
        call: ServiceCall,
        assignment: Assignment,
        connect_timeout: timedelta,
    ) -> UpstreamResult:
        """Send one attempt and release its assignment."""
        signals.request_dispatched.send(
            self, context=context, attempt=assignment.attempt, server=assignment.server
        )
        headers = {"Request-Id": assignment.attempt}
        if call.content_type:
            headers["Content-Type"] = call.content_type
        if context.keyed:
            headers["Idempotency-Key"] = context.request
        request = UpstreamCall(
            call.method,
            self._client.make_url(assignment.address, call.path),
            headers,
            call.body or None,
            connect_timeout,
            context.deadline - self._clock.elapsed(),
        )
        health = AttemptResult.FAILED
        try:
            result = await self._client.run_call(request, Transfer())
            if result.status:
                self._placement.note_first_token(assignment)
            health = classify_health(result)
        finally:
            self._placement.release(assignment, health)
        return result


def make_route(context: RequestContext, call: ServiceCall) -> RouteRequest:
    """Return the routing properties of a call."""
    return RouteRequest(
        service=call.service,
        priority=context.priority,
        deadline=context.deadline,
    )


def check_state(state: RequestState, call: ServiceCall) -> None:
    """Raise ``RequestError`` if a key has expired or belongs to another call."""
    if state.expired:
        raise RequestError(ErrorKind.KEY_EXPIRED)
    if state.fingerprint != call.fingerprint:
        raise RequestError(ErrorKind.KEY_REUSED)
