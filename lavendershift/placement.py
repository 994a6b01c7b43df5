"""Placing attempts on backend servers, with waiting while all are busy."""

import asyncio
from typing import NamedTuple

from returns.result import Failure, Result, Success

from lavendershift.admission import RequestContext
from lavendershift.clocks import Clock
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.queues import Refusal, RequestQueue, Ticket
from lavendershift.routing import Choice, RouteRequest, RoutingPolicy, choose_server
from lavendershift.servers import AttemptResult, ServerPool


class Placed(NamedTuple):
    """An attempt that has a place on a server, to be given back at its end."""

    attempt: str
    server: str
    address: str


class _Waiting(NamedTuple):
    route: RouteRequest
    attempt: str
    placed: asyncio.Future[Placed]


class Placement:
    """Gives attempts places on servers, in order of the queues' policy.

    A place is taken the moment it is chosen, so that a burst of requests sees
    each other's load.
    """

    def __init__(self, clock: Clock, pool: ServerPool, policy: RoutingPolicy) -> None:
        self._clock = clock
        self._pool = pool
        self._policy = policy
        self._queues: dict[str, RequestQueue] = {}
        self._waiting: dict[str, _Waiting] = {}

    async def place(
        self, context: RequestContext, route: RouteRequest, attempt: str
    ) -> Placed:
        """Return a place for ``attempt``.

        Raises ``RequestError`` at once when there will be none in time.
        """
        queue = self._find_queue(route)
        if not queue.has_waiting(route.priority):
            placed = self._try_place(route, attempt)
            if placed is not None:
                return placed
        return await self._wait(queue, context, route, attempt)

    def note_first_token(self, placed: Placed) -> None:
        """Note that the answer of an attempt began."""
        self._pool.note_first_token(placed.attempt)

    def release(self, placed: Placed, result: AttemptResult) -> None:
        """Give a place back and start what waits for it."""
        self._pool.finish(placed.attempt, result)
        self.dispatch_queued()

    def has_untried(self, route: RouteRequest) -> bool:
        """Whether a server that was not tried yet is available."""
        candidates = self._pool.list_candidates(
            route.model, route.service, route.prefix, route.adapter
        )
        return any(c.name not in route.excluded for c in candidates)

    async def poll_queues(self) -> None:
        """Do what ``dispatch_queued`` does; called from time to time."""
        self.dispatch_queued()

    def dispatch_queued(self) -> None:
        """Start waiting attempts that fit, and refuse those too late."""
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
    ) -> Placed:
        ticket = self._make_ticket(context, route, attempt)
        match queue.enqueue(ticket):
            case Failure(error):
                raise error
            case Success(enqueued):
                for refusal in enqueued.displaced:
                    self._refuse(refusal)
        placed: asyncio.Future[Placed] = asyncio.get_running_loop().create_future()
        self._waiting[attempt] = _Waiting(route, attempt, placed)
        try:
            return await placed
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
        return isinstance(self._choose(self._renew(waiting.route, ticket)), Success)

    def _renew(self, route: RouteRequest, ticket: Ticket) -> RouteRequest:
        """Return the route as it is by now: a batch request becomes urgent."""
        queue = self._find_queue(route)
        return route._replace(is_urgent=queue.is_urgent(ticket))

    def _start(self, ticket: Ticket) -> None:
        waiting = self._waiting.pop(ticket.id, None)
        if waiting is None or waiting.placed.done():
            return
        try:
            route = self._renew(waiting.route, ticket)
            placed = self._try_place(route, waiting.attempt)
        except RequestError as error:
            waiting.placed.set_exception(error)
            return
        if placed is None:
            waiting.placed.set_exception(RequestError(ErrorKind.OVERLOADED))
            return
        waiting.placed.set_result(placed)

    def _refuse(self, refusal: Refusal) -> None:
        waiting = self._waiting.pop(refusal.ticket.id, None)
        if waiting is not None and not waiting.placed.done():
            waiting.placed.set_exception(refusal.error)

    def _try_place(self, route: RouteRequest, attempt: str) -> Placed | None:
        """Return a place, ``None`` when all servers are busy."""
        match self._choose(route):
            case Failure(ErrorKind.OVERLOADED):
                return None
            case Failure(kind):
                raise RequestError(kind)
            case Success(choice):
                return self._take(choice, route, attempt)
        raise AssertionError("a result is a success or a failure")

    def _choose(self, route: RouteRequest) -> Result[Choice, ErrorKind]:
        return choose_server(self._policy, self._pool, route)

    def _take(self, choice: Choice, route: RouteRequest, attempt: str) -> Placed:
        self._pool.start(
            choice.server, attempt, route.prompt_tokens, route.prefix, route.priority
        )
        return Placed(attempt, choice.server, choice.address)

    def _find_queue(self, route: RouteRequest) -> RequestQueue:
        name = f"service {route.service}" if route.service else route.model
        if name not in self._queues:
            self._queues[name] = RequestQueue(self._clock)
        return self._queues[name]
