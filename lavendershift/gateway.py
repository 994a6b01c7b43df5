"""Routing, token quota and delivery of plain HTTP requests.

The gateway matches a request to its route and customer, reserves tokens for it,
lets a ``Delivery`` forward it to a backend server, and settles the reservation
against the tokens used. The response to a failure comes from the table of error
kinds.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple

from lavendershift.attempts import (
    AttemptEnd,
    AttemptReport,
    CallerRequest,
    ResponseWriter,
)
from lavendershift.clocks import Clock
from lavendershift.delivery import Delivery
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.evacuation.homes import find_homes
from lavendershift.overload.admissions import OverloadAdmission
from lavendershift.overload.works import Work, describe_work, find_urgency
from lavendershift.pendingtokens import TokenRequest
from lavendershift.preparations import Backends
from lavendershift.quarantine import Parts, make_quarantine_error
from lavendershift.requestends import EndReason
from lavendershift.requestreports import RequestReports, RequestTrace
from lavendershift.retries import RetryBudget
from lavendershift.routes import CallerLimits, Customer, Route, RoutingTable, Service
from lavendershift.serverstates import PromptShape
from lavendershift.supervision import is_being_cancelled
from lavendershift.tokendraws import TokenDraws
from lavendershift.tokenshortages import (
    TokenShortage,
    choose_retry_delay,
    find_longest_wait,
    find_wait,
)
from lavendershift.tokenwaits import WaitResult

DEFAULT_URGENCY = 5
# Fraction that a VM uses of its own part of the fleet's retry budget. VMs may differ
# in how many VMs they count, so that their parts may add up to more than one.
RETRY_MARGIN = 0.8


class RetryBounds(NamedTuple):
    """Fleet-wide bounds on retries to one service.

    ``share`` is the number of retries that each request adds to the budget,
    ``slack`` the most retries that the budget holds.
    """

    share: float
    slack: float


class Gateway:
    """Serve plain HTTP requests of callers.

    ``find_retry_part`` returns the fraction of the fleet's retry burst that this
    VM may use.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        backends: Backends,
        draws: TokenDraws,
        reports: RequestReports,
        retry_bounds: RetryBounds,
        find_retry_part: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._backends = backends
        self._draws = draws
        self._reports = reports
        self._bounds = retry_bounds
        self._find_retry_part = find_retry_part
        self._retries: dict[str, RetryBudget] = {}
        self._deliveries: set[Delivery] = set()
        self._table: RoutingTable | None = None
        # Set once a new request could not complete before the process stops.
        self.is_stopping = False
        self.admission = OverloadAdmission(clock, rng, lambda: 0.0, timedelta)
        self.on_arrival: Callable[[], None] = lambda: None
        self.estimate_peer_tokens: Callable[[str], int | None] = lambda customer: None
        self.take_trial: Callable[[Parts], Awaitable[bool]] = _refuse_trial

    @property
    def table(self) -> RoutingTable | None:
        """The configuration in force; a change extends requests in flight."""
        return self._table

    @table.setter
    def table(self, table: RoutingTable | None) -> None:
        self._table = table
        if table is None:
            return
        for delivery in self._deliveries:
            route = find_route(table, delivery.request)
            if route is not None and route.name == delivery.route.name:
                delivery.extend(route.timeout)

    def find_limits(self) -> CallerLimits:
        """Return the size limits and timeouts that apply to callers."""
        return self.table.limits if self.table else CallerLimits()

    def find_customer(self, key: str) -> str:
        """Return the name of the customer with an API key, empty if there is none."""
        customer = self.table.find_customer(key) if self.table else None
        return customer.name if customer else ""

    def set_retry_bounds(self, bounds: RetryBounds) -> None:
        """Change the fleet-wide bounds on retries."""
        self._bounds = bounds

    def stop_admission(self) -> None:
        """Refuse new requests from now on, and those that no server can have run."""
        self.is_stopping = True
        for delivery in list(self._deliveries):
            if not delivery.may_have_run:
                delivery.end(EndReason.STOPPED)

    def end_requests(self) -> int:
        """End all requests in flight, as the process ends; return their number.

        Each is answered within the next turns of the event loop: as not run if it was
        not sent to a server, with an error that leaves it open if the response has not
        begun, and else by a reset, so that the response doesn't look complete.
        """
        self.is_stopping = True
        for delivery in list(self._deliveries):
            delivery.end(EndReason.STOPPED)
        return len(self._deliveries)

    async def serve(self, request: CallerRequest, writer: ResponseWriter) -> None:
        """Serve one request and send its response or an error."""
        trace = RequestTrace(request)
        self._reports.count_received()
        self.on_arrival()
        try:
            await self._route_request(trace, writer)
            self._reports.report_answered(trace)
        except RequestError as error:
            self._send_error(trace, writer, error)
        except asyncio.CancelledError as error:
            if not is_being_cancelled():
                # Something that the request waited for was cancelled.
                self._fail(trace, writer, error)
                return
            self._reports.report_abandoned(trace)
            writer.abort()
            raise
        except Exception as error:
            self._fail(trace, writer, error)

    def _fail(
        self, trace: RequestTrace, writer: ResponseWriter, error: BaseException
    ) -> None:
        """Respond to a request that ended with an unexpected exception."""
        self._reports.report_error(trace, error)
        self._send_error(trace, writer, RequestError(ErrorKind.INTERNAL))

    async def _route_request(self, trace: RequestTrace, writer: ResponseWriter) -> None:
        table, request = self.table, trace.request
        if self.is_stopping:
            raise RequestError(ErrorKind.STOPPING)
        if table is None:
            raise RequestError(ErrorKind.STARTING)
        trace.version = trace.current_version = table.version
        route, customer = admit(table, request)
        trace.route = route.name
        trace.customer = customer.name if customer else ""
        work = describe_work(request, route, customer)
        self.admission.admit(work)
        service = self._choose_service(table, route)
        delivery = self._make_delivery(trace, writer, route, service, customer)
        is_urgent = table.is_urgent(route)

        async def prepare() -> None:
            delivery.guard.trial = await self._check_quarantine(request.prompt)
            if customer is not None and customer.prepaid is not None:
                await self._reserve_tokens(trace, route.target, is_urgent)
                if trace.waited:
                    self.admission.check_after_wait(work)
            if request.prompt is None and not route.is_stream:
                await self._take_place(delivery, service.name)

        self._deliveries.add(delivery)
        try:
            await delivery.run(prepare)
        finally:
            self._deliveries.discard(delivery)
            delivery.place.release(delivery.may_have_run)
            self._settle(trace, delivery)
            self._note_time(trace, work, delivery)

    async def _take_place(self, delivery: Delivery, service: str) -> None:
        """Wait for a place at a server with few slots; raises ``RequestError``."""
        places = self._backends.places
        # The keeper grants places in all regions.
        if places is None or delivery.homes is not None:
            return
        target_at = delivery.request.received + delivery.route.target
        delivery.place = await places.take(
            service, delivery.urgency, target_at, delivery.end_at
        )
        delivery.selection.placed = delivery.place.server

    async def _check_quarantine(self, prompt: PromptShape | None) -> Parts | None:
        """Return the quarantined parts of which a request is a trial, if any.

        Raises ``RequestError`` if the prompt is in quarantine and no trial is due.
        """
        block = self._backends.quarantine.find(prompt.part_ids) if prompt else None
        if block is None:
            return None
        if block.is_trial_due and await self.take_trial(block.parts):
            return block.parts
        raise make_quarantine_error(block)

    async def _reserve_tokens(
        self, trace: RequestTrace, target: timedelta, is_urgent: bool
    ) -> None:
        """Reserve the most tokens that a request may use; raises ``RequestError``."""
        request, prompt = trace.request, trace.request.prompt
        if prompt is None:
            return
        tokens = prompt.input_tokens + prompt.max_output_tokens
        started = self._clock.elapsed()
        self._draws.find_account(trace.customer).note_demand(tokens, started)
        left = request.deadline - started
        wait = find_wait(target)
        longest = find_longest_wait(target, self.admission.find_excess())
        token_request = TokenRequest(trace.customer, tokens, is_urgent)
        result = await self._draws.wait_for(
            token_request, min(wait, left), min(longest, left)
        )
        trace.waited = self._clock.elapsed() - started
        if result is not WaitResult.GRANTED:
            self._reports.count_shortage(result.value)
            raise self._make_shortage_error(token_request, result)
        trace.reserved_tokens = tokens

    def _settle(self, trace: RequestTrace, delivery: Delivery) -> None:
        """Settle the tokens of a request that has ended, and note how it ended."""
        trace.first_event_at = delivery.response.first_event_at
        trace.longest_gap = delivery.response.longest_gap
        trace.ending = delivery.ending
        trace.current_version = self.table.version if self.table else 0
        reserved, prompt = trace.reserved_tokens, trace.request.prompt
        if not reserved or prompt is None:
            return
        if delivery.may_have_run:
            used = prompt.input_tokens + delivery.delivered_tokens
            trace.used_tokens = min(used, reserved)
        self._draws.find_account(trace.customer).settle(reserved, trace.used_tokens)

    def _note_time(self, trace: RequestTrace, work: Work, delivery: Delivery) -> None:
        """Note how long a request took until its caller got a response, or gave up."""
        received, ending = trace.request.received, delivery.ending
        if delivery.response.has_started:
            delivered = trace.first_event_at or self._clock.elapsed()
            self.admission.note_delivery(work, received, trace.waited, delivered)
        elif ending and ending.reason in (EndReason.TIME_OVER, EndReason.CALLER_GONE):
            self.admission.note_delivery(work, received, trace.waited, None)

    def _make_shortage_error(
        self, token_request: TokenRequest, result: WaitResult
    ) -> RequestError:
        """Return the error for a request whose budget lacks tokens at this time."""
        shortage = TokenShortage(
            token_request.tokens,
            self._draws.find_account(token_request.customer).free,
            self._draws.plans.count_usable(
                token_request.customer, token_request.is_urgent
            ),
            self._draws.is_store_responsive,
            self.estimate_peer_tokens(token_request.customer),
            self._draws.draw_time,
            self._draws.estimate_return_time(),
            self._draws.grants.find_draw_wait(token_request.customer),
        )
        detail = (
            f"need {token_request.tokens} free {shortage.free} left {shortage.left} "
            f"cause {result.value}"
        )
        retry_after = choose_retry_delay(shortage, self._rng)
        return RequestError(ErrorKind.BUDGET_PENDING, detail, retry_after)

    def _make_delivery(
        self,
        trace: RequestTrace,
        writer: ResponseWriter,
        route: Route,
        service: Service,
        customer: Customer | None,
    ) -> Delivery:
        budget = self._find_retry_budget(service.name)
        budget.record_success()

        def take_retry(end: AttemptEnd) -> bool:
            if not budget.spend():
                return False
            self._reports.count_retry(end)
            return True

        def report_attempt(attempt: AttemptReport) -> None:
            self._reports.report_attempt(trace.request, attempt)

        def report_error(error: BaseException) -> None:
            self._reports.report_error(trace, error)

        return Delivery(
            self._clock,
            trace.request,
            route,
            service,
            self._backends,
            writer,
            take_retry,
            report_attempt,
            report_error,
            customer.name if customer else "",
            find_urgency(route, customer),
            find_homes(route, customer),
        )

    def _choose_service(self, table: RoutingTable, route: Route) -> Service:
        shares = route.shares
        if len(shares) == 1:
            name = shares[0].service
        else:
            weights = [max(share.weight, 0.0) for share in shares]
            name = self._rng.choices(shares, weights)[0].service
        service = table.services.get(name)
        return Service(name) if service is None else service

    def _find_retry_budget(self, service: str) -> RetryBudget:
        burst = self._bounds.slack * RETRY_MARGIN * self._find_retry_part()
        budget = self._retries.get(service)
        if budget is None:
            share = self._bounds.share * RETRY_MARGIN
            budget = self._retries[service] = RetryBudget(share, burst, self._rng)
        budget.set_burst(burst)
        return budget

    def _send_error(
        self, trace: RequestTrace, writer: ResponseWriter, error: RequestError
    ) -> None:
        self._reports.report_refused(trace, error)
        if writer.has_started:
            writer.abort()
        else:
            writer.refuse(error)


async def _refuse_trial(parts: Parts) -> bool:
    return False


def find_route(table: RoutingTable, request: CallerRequest) -> Route | None:
    """Return the route that a request matches."""
    return table.find_route(request.host, request.target.partition("?")[0])


def admit(table: RoutingTable, request: CallerRequest) -> tuple[Route, Customer | None]:
    """Return a request's route and customer.

    Raises ``RequestError`` when no route matches, or when the route needs an API
    key and the request's key belongs to no customer.
    """
    route = find_route(table, request)
    if route is None:
        raise RequestError(ErrorKind.UNKNOWN_ROUTE)
    customer = table.find_customer(request.key) if request.key else None
    if customer is None and table.needs_keys and not route.is_public:
        raise RequestError(ErrorKind.UNAUTHENTICATED)
    return route, customer
