"""Dispatch of completions to model engines.

Each attempt reserves tokens, is assigned to an engine and sent. When it ends, the
reservation is settled, is cancelled if no tokens were consumed, or stays in
doubt. Until the first byte of the response has been sent to the caller, a failed
attempt may be retried on another engine with a new reservation. After that the
response is either complete or ends with an explicit error.
"""

import asyncio
from datetime import timedelta
from typing import NamedTuple

from lavendershift import signals
from lavendershift.admission import RequestContext
from lavendershift.attemptresults import (
    classify,
    combine_ran,
    is_caller_error,
    proves_not_run,
    summarize_error,
)
from lavendershift.budgets import Budgets
from lavendershift.clocks import Clock
from lavendershift.completions import (
    CompletionRequest,
)
from lavendershift.errors import ErrorKind, Ran, RequestError
from lavendershift.forwarding import Attempt, ResponseForwarder
from lavendershift.placement import Placement
from lavendershift.prefixes import hash_prefix
from lavendershift.retries import AttemptOutcome, GiveUp, Retries, RetryReason
from lavendershift.routing import RouteRequest
from lavendershift.servers import AttemptResult
from lavendershift.sinks import ResponseSink
from lavendershift.upstreams import (
    Transfer,
    UpstreamCall,
    UpstreamClient,
    UpstreamResult,
)
from lavendershift.usageinquiries import UsageInquiry

PRIORITY_LEVELS = {"interactive": "0", "batch": "10"}
MAX_RESUMES = 3  # reconnections to one stream whose connection breaks
CANCEL_GRACE = timedelta(seconds=5)  # wait for the usage of a cancelled stream


class DispatchSettings(NamedTuple):
    """Limits on the dispatch of completions."""

    connect_timeout: timedelta
    max_buffered_bytes: int


class CompletionDispatcher:
    """Runs completions on the engines, with retries."""

    def __init__(
        self,
        clock: Clock,
        settings: DispatchSettings,
        budgets: Budgets,
        placement: Placement,
        retries: Retries,
        client: UpstreamClient,
        inquiry: UsageInquiry,
    ) -> None:
        self._clock = clock
        self._settings = settings
        self._budgets = budgets
        self._placement = placement
        self._retries = retries
        self._client = client
        self._inquiry = inquiry
        self._abandoned: set[asyncio.Task[None]] = set()

    async def run(
        self, context: RequestContext, request: CompletionRequest, sink: ResponseSink
    ) -> None:
        """Run a request and write its response to ``sink``; raises ``RequestError``."""
        route = make_route(context, request)
        earlier_ran = Ran.NO
        number = 0
        while True:
            number += 1
            attempt = await self._prepare_attempt(
                context, request, route, number, earlier_ran
            )
            outcome = await self._run_attempt(context, request, attempt, sink)
            if outcome is None:
                self._retries.record_success()
                return
            route = route._replace(
                excluded=route.excluded | {attempt.assignment.server}
            )
            outcome = outcome._replace(
                earlier_ran=earlier_ran,
                servers_left=self._placement.has_untried(route),
            )
            decision = self._retries.decide(outcome)
            if isinstance(decision, GiveUp):
                raise RequestError(decision.kind)
            signals.request_retried.send(
                self, context=context, attempt=attempt.id, reason=decision.reason
            )
            earlier_ran = combine_ran(earlier_ran, outcome.ran)
            await asyncio.sleep(decision.delay.total_seconds())

    async def _prepare_attempt(
        self,
        context: RequestContext,
        request: CompletionRequest,
        route: RouteRequest,
        number: int,
        earlier_ran: Ran,
    ) -> Attempt:
        """Reserve tokens for the next attempt and assign it to an engine."""
        attempt_id = f"{context.attempt}-{number}"
        try:
            held = await self._budgets.reserve(context, request.token_bound, attempt_id)
            try:
                assignment = await self._placement.place(context, route, attempt_id)
            except BaseException:
                self._budgets.cancel(held)
                raise
        except RequestError as error:
            if earlier_ran is Ran.NO:
                raise
            raise RequestError(ErrorKind.SERVER_FAILED, error.kind.value) from None
        others = route._replace(excluded=route.excluded | {assignment.server})
        return Attempt(number, held, assignment, self._placement.has_untried(others))

    async def _run_attempt(
        self,
        context: RequestContext,
        request: CompletionRequest,
        attempt: Attempt,
        sink: ResponseSink,
    ) -> AttemptOutcome | None:
        """Run one attempt; return how it failed, or ``None`` if it succeeded."""
        signals.request_dispatched.send(
            self, context=context, attempt=attempt.id, server=attempt.assignment.server
        )
        self._budgets.note_sent(attempt.held, attempt.assignment.address)
        forwarder = ResponseForwarder(
            attempt, request, sink, self._placement, self._settings.max_buffered_bytes
        )
        call = self._make_call(context, request, attempt)
        try:
            result = await self._exchange(call, context, attempt, forwarder, sink)
            if result is not None and forwarder.can_resume(result):
                result = await self._resume(result, context, attempt, forwarder, sink)
        except BaseException:
            self._inquiry.start(attempt.held, attempt.assignment.address, attempt.id)
            self._placement.release(attempt.assignment, AttemptResult.CANCELLED)
            raise
        if result is None:
            attempt.given_up = True
            raise RequestError(ErrorKind.DEADLINE_EXCEEDED)
        forwarder.handle_result(result)
        return await self._finish_attempt(context, attempt, result, forwarder, sink)

    async def _resume(
        self,
        broken: UpstreamResult,
        context: RequestContext,
        attempt: Attempt,
        forwarder: "ResponseForwarder",
        sink: ResponseSink,
    ) -> UpstreamResult | None:
        """Resume a stream whose connection broke; return the last result.

        If the engine cannot resume it, the result of the broken connection is
        returned.
        """
        for _ in range(MAX_RESUMES):
            attempt.servers_left = attempt.servers_left and not sink.started
            call = self._make_resume_call(context, attempt, forwarder.prepare_resume())
            result = await self._exchange(call, context, attempt, forwarder, sink)
            if result is None:
                return None
            if result.status != 200:
                return broken
            if not forwarder.can_resume(result):
                return result
        return broken

    async def _exchange(
        self,
        call: UpstreamCall,
        context: RequestContext,
        attempt: Attempt,
        forwarder: "ResponseForwarder",
        sink: ResponseSink,
    ) -> UpstreamResult | None:
        """Send a call and forward its response; return ``None`` if it is given up."""
        attempt.transfer = Transfer()
        call_task = asyncio.ensure_future(
            self._client.run_call(
                call, attempt.transfer, forwarder.handle_status, forwarder.handle_chunk
            )
        )
        return await self._await_result(call_task, context, attempt, sink)

    async def _await_result(
        self,
        call_task: "asyncio.Future[UpstreamResult]",
        context: RequestContext,
        attempt: Attempt,
        sink: ResponseSink,
    ) -> UpstreamResult | None:
        """Return the result, or ``None`` if the attempt is given up first.

        A request that exceeds its deadline, or whose caller closed the
        connection, is cancelled on the engine and settled in the background.
        """
        while True:
            left = context.deadline - self._clock.elapsed()
            timeout = min(max(left.total_seconds(), 0.0), 1.0)
            done, _ = await asyncio.wait([call_task], timeout=timeout)
            if done:
                return call_task.result()
            if left <= timedelta() or sink.closed:
                task = asyncio.ensure_future(self._abandon(call_task, attempt))
                self._abandoned.add(task)
                task.add_done_callback(self._abandoned.discard)
                return None

    async def _abandon(
        self, call_task: "asyncio.Future[UpstreamResult]", attempt: Attempt
    ) -> None:
        """Cancel an attempt on its engine and settle the tokens it consumed."""
        attempt.transfer.resume()
        await self._inquiry.cancel_attempt(attempt.assignment.address, attempt.id)
        await asyncio.wait([call_task], timeout=CANCEL_GRACE.total_seconds())
        if not call_task.done():
            attempt.transfer.abort()
        result = await call_task
        await self._settle(attempt, result)
        self._placement.release(attempt.assignment, AttemptResult.CANCELLED)

    async def _finish_attempt(
        self,
        context: RequestContext,
        attempt: Attempt,
        result: UpstreamResult,
        forwarder: "ResponseForwarder",
        sink: ResponseSink,
    ) -> AttemptOutcome | None:
        """Settle a finished attempt, then end the caller's response."""
        await self._settle(attempt, result)
        if attempt.is_complete:
            self._placement.release(attempt.assignment, AttemptResult.COMPLETED)
            forwarder.finish()
            return None
        if is_caller_error(result):
            self._placement.release(attempt.assignment, AttemptResult.CANCELLED)
            raise RequestError(ErrorKind.INVALID_REQUEST, summarize_error(result.body))
        reason, ran = classify(result)
        refused = reason is RetryReason.REFUSED
        self._placement.release(
            attempt.assignment,
            AttemptResult.REFUSED if refused else AttemptResult.FAILED,
        )
        return self._make_outcome(context, attempt, reason, ran, sink)

    async def _settle(self, attempt: Attempt, result: UpstreamResult) -> None:
        if attempt.usage is not None:
            await self._budgets.settle(attempt.held, attempt.usage.total)
        elif attempt.is_complete:
            await self._budgets.settle(attempt.held, attempt.held.reservation.tokens)
        elif proves_not_run(result):
            self._budgets.cancel(attempt.held)
        else:
            self._inquiry.start(attempt.held, attempt.assignment.address, attempt.id)

    def _make_outcome(
        self,
        context: RequestContext,
        attempt: Attempt,
        reason: RetryReason,
        ran: Ran,
        sink: ResponseSink,
    ) -> AttemptOutcome:
        return AttemptOutcome(
            reason=RetryReason.TRUNCATED if sink.started else reason,
            ran=ran,
            repeatable=True,
            attempts=attempt.number,
            answer_started=sink.started,
            deadline=context.deadline,
        )

    def _make_call(
        self, context: RequestContext, request: CompletionRequest, attempt: Attempt
    ) -> UpstreamCall:
        path = "/v1/chat/completions" if request.chat else "/v1/completions"
        headers = {
            "Content-Type": "application/json",
            "Request-Id": attempt.id,
            "Priority": PRIORITY_LEVELS[context.priority],
        }
        return UpstreamCall(
            "POST",
            self._client.make_url(attempt.assignment.address, path),
            headers,
            request.body,
            self._choose_connect_timeout(context, attempt),
            context.deadline - self._clock.elapsed() + 2 * CANCEL_GRACE,
        )

    def _make_resume_call(
        self, context: RequestContext, attempt: Attempt, first_event: int
    ) -> UpstreamCall:
        """Return a call for the remainder of a stream whose connection broke."""
        address = attempt.assignment.address
        path = f"/control/requests/{attempt.id}/stream?from={first_event}"
        return UpstreamCall(
            "GET",
            self._client.make_url(address, path),
            {},
            None,
            self._choose_connect_timeout(context, attempt),
            context.deadline - self._clock.elapsed() + 2 * CANCEL_GRACE,
        )

    def _choose_connect_timeout(
        self, context: RequestContext, attempt: Attempt
    ) -> timedelta:
        return self._retries.choose_connect_timeout(
            self._settings.connect_timeout,
            attempt.number,
            attempt.servers_left,
            context.deadline,
        )


def make_route(context: RequestContext, request: CompletionRequest) -> RouteRequest:
    """Return the routing properties of a completion."""
    return RouteRequest(
        model=request.model,
        prefix=hash_prefix(request.prompt),
        prompt_tokens=len(request.prompt) // 4,
        max_tokens=request.output_bound,
        priority=context.priority,
        deadline=context.deadline,
    )
