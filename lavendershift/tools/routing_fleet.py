"""Routers around the routing kernel, in virtual time, for the experiment.

``SimulatedRouter`` does what a router's shell does with the kernel: choose,
queue, start, retry, refuse. ``OracleRouter`` is the all-knowing reference: it
sees the true state of every engine and sends each request at once.
"""

import random
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from returns.result import Success

from lavendershift.errors import ErrorKind, Ran, RequestError
from lavendershift.nodes import ServerSettings
from lavendershift.prefixes import BLOCK_TOKENS
from lavendershift.queues import RequestQueue, Ticket
from lavendershift.retries import (
    AttemptOutcome,
    GiveUp,
    Retries,
    RetryReason,
)
from lavendershift.routing import ROUTING_POLICIES, RouteRequest, choose_server
from lavendershift.servers import AttemptResult, ServerPool
from lavendershift.tools.routing_model import CAPACITY, Engine, Sequence, Timeline
from lavendershift.tools.routing_workload import Arrival

MODEL = "plume"
TICK_S = 0.02


class Outcome(NamedTuple):
    """How one request ended; ``refusal`` is empty where it was answered."""

    arrival: Arrival
    ended: float
    first_token: float | None = None
    refusal: str = ""
    retries: int = 0
    cached_tokens: int = 0
    server: str = ""


Report = Callable[[Outcome], None]


class _Flight:
    """A request on its way through a simulated router."""

    def __init__(self, arrival: Arrival) -> None:
        self.arrival = arrival
        self.tried: frozenset[str] = frozenset()
        self.attempts = 0
        self.server = ""
        self.first_token: float | None = None
        self.sequence: Sequence | None = None
        self.ran = Ran.NO
        self.done = False

    @property
    def attempt(self) -> str:
        """Id of the current attempt."""
        return f"{self.arrival.id}#{self.attempts}"

    def make_request(self) -> RouteRequest:
        """Return what the kernel is told of it."""
        return RouteRequest(
            model=MODEL,
            prefix=self.arrival.prefix,
            prompt_tokens=self.arrival.prompt_tokens,
            max_tokens=self.arrival.output_tokens,
            priority=self.arrival.priority,
            excluded=self.tried,
        )


def describe_engine(name: str) -> ServerSettings:
    """Return the settings of a simulated engine."""
    domain = f"d{int(name[1:]) % 3}"
    return ServerSettings(
        name, "engine", name, domain, (MODEL,), "", CAPACITY, "live", "ignored"
    )


class SimulatedRouter:
    """One router and its own view of the engines."""

    def __init__(
        self,
        timeline: Timeline,
        engines: dict[str, Engine],
        policy: str,
        rng: random.Random,
        routers: int,
        domain: str,
        report: Report,
    ) -> None:
        self._timeline = timeline
        self._engines = engines
        self._report = report
        self.pool = ServerPool(timeline, rng, domain, routers)
        self.pool.update_settings({name: describe_engine(name) for name in engines})
        self._policy = ROUTING_POLICIES[policy](rng)
        self._queue = RequestQueue(timeline)
        self._flights: dict[str, _Flight] = {}
        self._retries = Retries(timeline, rng)
        timeline.call_at(rng.random() * TICK_S, self._tick)

    def submit(self, arrival: Arrival) -> None:
        """Take a request from a caller."""
        flight = _Flight(arrival)
        self._timeline.call_at(arrival.deadline, self._give_up, flight)
        ahead = self._queue.has_waiting(arrival.priority)
        if ahead or not self._start(flight):
            self._enqueue(flight)
            self._drain()

    def _start(self, flight: _Flight, is_urgent: bool = False) -> bool:
        request = flight.make_request()._replace(is_urgent=is_urgent)
        choice = choose_server(self._policy, self.pool, request)
        if not isinstance(choice, Success):
            return False
        self._dispatch(flight, choice.unwrap().server)
        return True

    def _enqueue(self, flight: _Flight) -> None:
        arrival = flight.arrival
        ticket = Ticket(
            id=arrival.id,
            customer=arrival.customer,
            priority=arrival.priority,
            deadline=timedelta(seconds=arrival.deadline),
            service_time=self.pool.estimate_service_time(
                MODEL, priority=arrival.priority
            ),
            cost=arrival.prompt_tokens + arrival.output_tokens,
        )
        self._flights[arrival.id] = flight
        result = self._queue.enqueue(ticket)
        if not isinstance(result, Success):
            self._refuse(arrival.id, result.failure())
            return
        for refusal in result.unwrap().displaced:
            self._refuse(refusal.ticket.id, refusal.error)

    def _tick(self) -> None:
        for refusal in self._queue.expire():
            self._refuse(refusal.ticket.id, refusal.error)
        self._drain()
        self._timeline.call_at(self._timeline.time + TICK_S, self._tick)

    def _drain(self) -> None:
        while self._queue.take(self._start_ticket) is not None:
            pass

    def _start_ticket(self, ticket: Ticket) -> bool:
        flight = self._flights[ticket.id]
        started = self._start(flight, self._queue.is_urgent(ticket))
        if started:
            del self._flights[ticket.id]
        return started

    def _dispatch(self, flight: _Flight, server: str) -> None:
        flight.attempts += 1
        flight.server = server
        flight.tried |= {server}
        arrival = flight.arrival
        self.pool.start(
            server,
            flight.attempt,
            arrival.prompt_tokens,
            arrival.prefix,
            arrival.priority,
        )
        flight.sequence = Sequence(
            arrival,
            lambda: self._note_first(flight),
            lambda completed: self._end(flight, completed),
        )
        self._engines[server].submit(flight.sequence)

    def _note_first(self, flight: _Flight) -> None:
        flight.first_token = self._timeline.time
        self.pool.note_first_token(flight.attempt)

    def _end(self, flight: _Flight, completed: bool) -> None:
        if flight.done:
            return
        if completed:
            self.pool.finish(flight.attempt, AttemptResult.COMPLETED)
            self._retries.record_success()
            self._conclude(flight, "")
        else:
            self.pool.finish(flight.attempt, AttemptResult.FAILED)
            self._retry(flight)
        self._drain()

    def _retry(self, flight: _Flight) -> None:
        outcome = AttemptOutcome(
            RetryReason.FAILED,
            Ran.UNKNOWN,
            repeatable=True,
            attempts=flight.attempts,
            deadline=timedelta(seconds=flight.arrival.deadline),
        )
        decision = self._retries.decide(outcome)
        if isinstance(decision, GiveUp):
            self._conclude(flight, decision.kind.value)
            return
        time = self._timeline.time + decision.delay.total_seconds()
        self._timeline.call_at(time, self._repeat, flight)

    def _repeat(self, flight: _Flight) -> None:
        if not flight.done and not self._start(flight):
            self._enqueue(flight)

    def _give_up(self, flight: _Flight) -> None:
        if flight.done:
            return
        self._queue.cancel(flight.arrival.id)
        self._flights.pop(flight.arrival.id, None)
        if flight.sequence is not None:
            flight.sequence.cancelled = True
            self.pool.finish(flight.attempt, AttemptResult.CANCELLED)
        self._conclude(flight, ErrorKind.DEADLINE_EXCEEDED.value)

    def _refuse(self, name: str, error: RequestError) -> None:
        self._conclude(self._flights.pop(name), error.kind.value)

    def _conclude(self, flight: _Flight, refusal: str) -> None:
        flight.done = True
        self._report(
            Outcome(
                flight.arrival,
                self._timeline.time,
                flight.first_token,
                refusal,
                max(flight.attempts - 1, 0),
                flight.sequence.cached_tokens if flight.sequence else 0,
                flight.server,
            )
        )


class OracleRouter:
    """Sends each request to the best engine by their true states."""

    def __init__(
        self,
        timeline: Timeline,
        engines: dict[str, Engine],
        policy: str,
        report: Report,
    ) -> None:
        self._timeline = timeline
        self._engines = engines
        self._rate = {
            "oracle_least_loaded": self._count_load,
            "oracle_affinity": self._estimate_cost,
        }[policy]
        self._report = report
        self.leaving: set[str] = set()

    def submit(self, arrival: Arrival) -> None:
        """Take a request from a caller."""
        usable = [
            engine
            for name, engine in self._engines.items()
            if name not in self.leaving and not engine.failing
        ]
        engine = min(usable, key=lambda e: (self._rate(arrival, e), e.name))
        first: list[float] = []
        sequence = Sequence(
            arrival,
            lambda: first.append(self._timeline.time),
            lambda completed: conclude(),
        )

        def conclude() -> None:
            refusal = ""
            if self._timeline.time > arrival.deadline:
                refusal = ErrorKind.DEADLINE_EXCEEDED.value
            held = sequence.cached_tokens
            time = self._timeline.time
            self._report(
                Outcome(arrival, time, first[0], refusal, 0, held, engine.name)
            )

        engine.submit(sequence)

    def _count_load(self, arrival: Arrival, engine: Engine) -> float:
        return (engine.running + engine.waiting) * engine.slowness

    def _estimate_cost(self, arrival: Arrival, engine: Engine) -> float:
        held = engine.count_cached(arrival.prefix) * BLOCK_TOKENS
        uncached = arrival.prompt_tokens - held
        load = engine.running + engine.waiting
        work = engine.count_backlog() + uncached + 64 * load
        return work * engine.slowness
