"""Simulated routers of the routing experiment, in virtual time.

``SimulatedRouter`` runs the product's routing policies, queue and retries, without
its I/O. ``OracleRouter`` is the reference for comparison: it knows the true state of
every engine and dispatches each request immediately.
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
QUEUE_INTERVAL_S = 0.02  # interval between two checks of the queue without an event


class Outcome(NamedTuple):
    """How one request ended; ``refusal`` is empty if it completed."""

    arrival: Arrival
    ended: float
    first_token: float | None = None
    refusal: str = ""
    retries: int = 0
    cached_tokens: int = 0
    server: str = ""


OutcomeCallback = Callable[[Outcome], None]


class _Submission:
    """A request that a router has accepted, and the state of its attempts."""

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
        """Return the input of the routing policy for the next attempt."""
        return RouteRequest(
            model=MODEL,
            prefix=self.arrival.prefix,
            prompt_tokens=self.arrival.prompt_tokens,
            max_tokens=self.arrival.output_tokens,
            priority=self.arrival.priority,
            excluded=self.tried,
        )


def make_engine_settings(name: str) -> ServerSettings:
    """Return the settings of a simulated engine."""
    domain = f"d{int(name[1:]) % 3}"
    return ServerSettings(
        name, "engine", name, domain, (MODEL,), "", CAPACITY, "live", "ignored"
    )


class SimulatedRouter:
    """A router with its own view of the engines, as last reported to it."""

    def __init__(
        self,
        timeline: Timeline,
        engines: dict[str, Engine],
        policy: str,
        rng: random.Random,
        routers: int,
        domain: str,
        on_outcome: OutcomeCallback,
    ) -> None:
        self._timeline = timeline
        self._engines = engines
        self._on_outcome = on_outcome
        self.pool = ServerPool(timeline, rng, domain, routers)
        self.pool.update_settings(
            {name: make_engine_settings(name) for name in engines}
        )
        self._policy = ROUTING_POLICIES[policy](rng)
        self._queue = RequestQueue(timeline)
        self._submissions: dict[str, _Submission] = {}
        self._retries = Retries(timeline, rng)
        timeline.call_at(rng.random() * QUEUE_INTERVAL_S, self._check_queue)

    def submit(self, arrival: Arrival) -> None:
        """Dispatch a caller's request, or queue it."""
        submission = _Submission(arrival)
        self._timeline.call_at(arrival.deadline, self._time_out, submission)
        ahead = self._queue.has_waiting(arrival.priority)
        if ahead or not self._start(submission):
            self._enqueue(submission)
            self._dispatch_queued()

    def _start(self, submission: _Submission, is_urgent: bool = False) -> bool:
        request = submission.make_request()._replace(is_urgent=is_urgent)
        choice = choose_server(self._policy, self.pool, request)
        if not isinstance(choice, Success):
            return False
        self._dispatch(submission, choice.unwrap().server)
        return True

    def _enqueue(self, submission: _Submission) -> None:
        arrival = submission.arrival
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
        self._submissions[arrival.id] = submission
        result = self._queue.enqueue(ticket)
        if not isinstance(result, Success):
            self._refuse(arrival.id, result.failure())
            return
        for refusal in result.unwrap().displaced:
            self._refuse(refusal.ticket.id, refusal.error)

    def _check_queue(self) -> None:
        for refusal in self._queue.expire():
            self._refuse(refusal.ticket.id, refusal.error)
        self._dispatch_queued()
        self._timeline.call_at(
            self._timeline.time + QUEUE_INTERVAL_S, self._check_queue
        )

    def _dispatch_queued(self) -> None:
        while self._queue.take(self._start_ticket) is not None:
            pass

    def _start_ticket(self, ticket: Ticket) -> bool:
        submission = self._submissions[ticket.id]
        started = self._start(submission, self._queue.is_urgent(ticket))
        if started:
            del self._submissions[ticket.id]
        return started

    def _dispatch(self, submission: _Submission, server: str) -> None:
        submission.attempts += 1
        submission.server = server
        submission.tried |= {server}
        arrival = submission.arrival
        self.pool.start(
            server,
            submission.attempt,
            arrival.prompt_tokens,
            arrival.prefix,
            arrival.priority,
        )
        submission.sequence = Sequence(
            arrival,
            lambda: self._record_first_token(submission),
            lambda completed: self._end(submission, completed),
        )
        self._engines[server].submit(submission.sequence)

    def _record_first_token(self, submission: _Submission) -> None:
        submission.first_token = self._timeline.time
        self.pool.note_first_token(submission.attempt)

    def _end(self, submission: _Submission, completed: bool) -> None:
        if submission.done:
            return
        if completed:
            self.pool.finish(submission.attempt, AttemptResult.COMPLETED)
            self._retries.record_success()
            self._conclude(submission, "")
        else:
            self.pool.finish(submission.attempt, AttemptResult.FAILED)
            self._retry(submission)
        self._dispatch_queued()

    def _retry(self, submission: _Submission) -> None:
        outcome = AttemptOutcome(
            RetryReason.FAILED,
            Ran.UNKNOWN,
            repeatable=True,
            attempts=submission.attempts,
            deadline=timedelta(seconds=submission.arrival.deadline),
        )
        decision = self._retries.decide(outcome)
        if isinstance(decision, GiveUp):
            self._conclude(submission, decision.kind.value)
            return
        time = self._timeline.time + decision.delay.total_seconds()
        self._timeline.call_at(time, self._dispatch_retry, submission)

    def _dispatch_retry(self, submission: _Submission) -> None:
        if not submission.done and not self._start(submission):
            self._enqueue(submission)

    def _time_out(self, submission: _Submission) -> None:
        if submission.done:
            return
        self._queue.cancel(submission.arrival.id)
        self._submissions.pop(submission.arrival.id, None)
        if submission.sequence is not None:
            submission.sequence.cancelled = True
            self.pool.finish(submission.attempt, AttemptResult.CANCELLED)
        self._conclude(submission, ErrorKind.DEADLINE_EXCEEDED.value)

    def _refuse(self, name: str, error: RequestError) -> None:
        self._conclude(self._submissions.pop(name), error.kind.value)

    def _conclude(self, submission: _Submission, refusal: str) -> None:
        submission.done = True
        self._on_outcome(
            Outcome(
                submission.arrival,
                self._timeline.time,
                submission.first_token,
                refusal,
                max(submission.attempts - 1, 0),
                submission.sequence.cached_tokens if submission.sequence else 0,
                submission.server,
            )
        )


class OracleRouter:
    """Dispatches each request to the best engine according to its true state."""

    def __init__(
        self,
        timeline: Timeline,
        engines: dict[str, Engine],
        policy: str,
        on_outcome: OutcomeCallback,
    ) -> None:
        self._timeline = timeline
        self._engines = engines
        self._score = {
            "oracle_least_loaded": self._count_load,
            "oracle_affinity": self._estimate_cost,
        }[policy]
        self._on_outcome = on_outcome
        self.leaving: set[str] = set()

    def submit(self, arrival: Arrival) -> None:
        """Dispatch a caller's request immediately."""
        usable = [
            engine
            for name, engine in self._engines.items()
            if name not in self.leaving and not engine.failing
        ]
        engine = min(usable, key=lambda e: (self._score(arrival, e), e.name))
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
            cached = sequence.cached_tokens
            time = self._timeline.time
            self._on_outcome(
                Outcome(arrival, time, first[0], refusal, 0, cached, engine.name)
            )

        engine.submit(sequence)

    def _count_load(self, arrival: Arrival, engine: Engine) -> float:
        return (engine.running + engine.waiting) * engine.slowness

    def _estimate_cost(self, arrival: Arrival, engine: Engine) -> float:
        cached = engine.count_cached(arrival.prefix) * BLOCK_TOKENS
        uncached = arrival.prompt_tokens - cached
        load = engine.running + engine.waiting
        work = engine.count_backlog() + uncached + 64 * load
        return work * engine.slowness
