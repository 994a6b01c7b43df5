"""Assignment of attempts to backend servers.

An attempt that finds all servers busy waits in the queue of its model or
service.
"""

import asyncio
from typing import NamedTuple

from returns.result import Failure, Result, Success

from lavendershift.admission import RequestContext
from lavendershift.clocks import Clock
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.queues import Refusal, RequestQueue, Ticket
from lavendershift.routing import Choice, RouteRequest, RoutingPolicy, choose_server
from lavendershift.servers import AttemptResult, ServerPool


class Assignment(NamedTuple):
    """A server's capacity held by an attempt; released when the attempt ends."""

    attempt: str
    server: str
    address: str


class _Waiting(NamedTuple):
    route: RouteRequest
    attempt: str
    assignment: asyncio.Future[Assignment]


class Placement:
    """Assigns attempts to servers, in the order that the queues decide.

    An assignment counts as load as soon as its server is chosen, so that each
    request of a burst sees the load of those before it.
    """

    def __init__(self, clock: Clock, pool: ServerPool, policy: RoutingPolicy) -> None:
        self._clock = clock
        self._pool = pool
        self._policy = policy
        self._queues: dict[str, RequestQueue] = {}
        self._waiting: dict[str, _Waiting] = {}

    async def place(
        self, context: RequestContext, route: RouteRequest, attempt: str
    ) -> Assignment:
        """Assign ``attempt`` to a server, waiting for one if all are busy.

        Raises ``RequestError`` immediately if the attempt cannot start in time.
        """
        queue = self._find_queue(route)
        if not queue.has_waiting(route.priority):
            assignment = self._try_assign(route, attempt)
            if assignment is not None:
                return assignment
        return await self._wait(queue, context, route, attempt)

    def note_first_token(self, assignment: Assignment) -> None:
        """Record the arrival of the first token of a response."""
        self._pool.note_first_token(assignment.attempt)

    def release(self, assignment: Assignment, result: AttemptResult) -> None:
        """Release an assignment and start queued attempts that now fit."""
        self._pool.finish(assignment.attempt, result)
        self.dispatch_queued()

    def has_untried(self, route: RouteRequest) -> bool:
        """Return whether an untried server is available."""
        return self._pool.has_available(route.model, route.service, route.excluded)

    async def poll_queues(self) -> None:
        """Run ``dispatch_queued`` as a periodic task."""
        self.dispatch_queued()

    def dispatch_queued(self) -> None:
        """Start queued attempts that fit; refuse those that would start too late."""
        for queue in self._queues.values():
            for refusal in queue.expire():
                self._refuse(refusal)
            while len(queue):
                ticket = queue.take(self._fits)
                if ticket is None:
                    break
                self._start(ticket)

    async def _wait(
        self,
        queue: RequestQueue,
        context: RequestContext,
        route: RouteRequest,
        attempt: str,
    ) -> Assignment:
        ticket = self._make_ticket(context, route, attempt)
        match queue.enqueue(ticket):
            case Failure(error):
                raise error
            case Success(enqueued):
                for refusal in enqueued.displaced:
                    self._refuse(refusal)
        assignment: asyncio.Future[Assignment] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting[attempt] = _Waiting(route, attempt, assignment)
        try:
            return await assignment
        finally:
            self._waiting.pop(attempt, None)
            queue.cancel(attempt)

    def _make_ticket(
        self, context: RequestContext, route: RouteRequest, attempt: str
    ) -> Ticket:
        service_time = self._pool.estimate_service_time(
            route.model, route.service, context.priority
        )
        if context.priority == "interactive":
            first_token = self._pool.estimate_first_token(
                route.prompt_tokens, route.model
            )
            service_time = min(service_time, first_token)
        return Ticket(
            id=attempt,
            customer=context.caller.customer,
            priority=context.priority,
            deadline=context.deadline,
            service_time=service_time,
            cost=float(route.prompt_tokens + route.max_tokens),
            weight=context.caller.weight,
        )

    def _fits(self, ticket: Ticket) -> bool:
        waiting = self._waiting.get(ticket.id)
        if waiting is None:
            return True
        return isinstance(
            self._choose(self._update_urgency(waiting.route, ticket)), Success
        )

    def _update_urgency(self, route: RouteRequest, ticket: Ticket) -> RouteRequest:
        """Return ``route`` with its current urgency; batch requests become urgent."""
        queue = self._find_queue(route)
        return route._replace(is_urgent=queue.is_urgent(ticket))

    def _start(self, ticket: Ticket) -> None:
        waiting = self._waiting.pop(ticket.id, None)
        if waiting is None or waiting.assignment.done():
            return
        try:
            route = self._update_urgency(waiting.route, ticket)
            assignment = self._try_assign(route, waiting.attempt)
        except RequestError as error:
            waiting.assignment.set_exception(error)
            return
        if assignment is None:
            waiting.assignment.set_exception(RequestError(ErrorKind.OVERLOADED))
            return
        waiting.assignment.set_result(assignment)

    def _refuse(self, refusal: Refusal) -> None:
        waiting = self._waiting.pop(refusal.ticket.id, None)
        if waiting is not None and not waiting.assignment.done():
            waiting.assignment.set_exception(refusal.error)

    def _try_assign(self, route: RouteRequest, attempt: str) -> Assignment | None:
        """Return an assignment, or ``None`` if all servers are busy."""
        match self._choose(route):
            case Failure(ErrorKind.OVERLOADED):
                return None
            case Failure(kind):
                raise RequestError(kind)
            case Success(choice):
                return self._assign(choice, route, attempt)
        raise AssertionError("a result is a success or a failure")

    def _choose(self, route: RouteRequest) -> Result[Choice, ErrorKind]:
        return choose_server(self._policy, self._pool, route)

    def _assign(self, choice: Choice, route: RouteRequest, attempt: str) -> Assignment:
        self._pool.start(
            choice.server, attempt, route.prompt_tokens, route.prefix, route.priority
        )
        return Assignment(attempt, choice.server, choice.address)

    def _find_queue(self, route: RouteRequest) -> RequestQueue:
        name = f"service {route.service}" if route.service else route.model
        if name not in self._queues:
            self._queues[name] = RequestQueue(self._clock)
        return self._queues[name]
