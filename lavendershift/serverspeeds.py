"""Measurements of how fast the listed servers are, from their responses."""

import math
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import NamedTuple

from lavendershift.capacity.estimates import Capacities, Measurement
from lavendershift.capacity.servercapacity import MAX_VALUE, SPEED_SIZES, Size
from lavendershift.capacity.states import describe, find_state
from lavendershift.capacity.windows import Estimate
from lavendershift.clocks import Clock
from lavendershift.servercosts import PREFILL_RATE, UNLOADED_LATENCY
from lavendershift.serverstates import ListedServer, PromptShape, ServerEntry

LATENCY_WEIGHT = 0.05  # weight of the newest response in a service's mean latency
# Least time between two reports on one server, as noise may change its state often.
REPORT_INTERVAL = timedelta(seconds=5)
MIN_TIME_S = 1e-4  # shortest time that is measured, as timers are no more precise


class Assignment(NamedTuple):
    """A request that counts towards a server's load until it has finished.

    ``unread_tokens`` is the part of its prompt that the server has yet to read, and
    ``expected`` the estimated time to its first event. ``queue_factor`` is the time of
    plain work at the server's load, as a multiple of that of an idle server.
    """

    server: ListedServer
    unread_tokens: int
    started: timedelta
    expected: timedelta
    is_plain: bool = False
    queue_factor: float = 1.0


class ServerSpeeds:
    """Estimates times of requests, and measures servers by the actual ones.

    ``on_change`` is called with a server's entry, the new state of its speed, and its
    estimates as a text.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._mean_latency: dict[str, timedelta] = {}
        self._capacities = Capacities()
        self.on_change: Callable[[ServerEntry, str, str], None] = lambda *args: None

    def refresh(
        self, service: str, servers: Sequence[ListedServer], now: timedelta
    ) -> None:
        """Bring the factors of a service's servers up to date."""
        if not self._capacities.refresh(service, servers, now):
            return
        for server in servers:
            state = find_state(server.capacity)
            if state != server.speed_state and now >= server.speed_reported_at:
                server.speed_state = state
                server.speed_reported_at = now + REPORT_INTERVAL
                self.on_change(server.entry, state, describe(server.capacity))

    def make_assignment(self, server: ListedServer, prompt: PromptShape) -> Assignment:
        """Return a request that is sent now, before it counts towards the load."""
        now = self._clock.elapsed()
        unread = server.count_unread(prompt)
        load = server.sum_load(now)
        if unread:
            ahead = load.unread_tokens + unread
            expected = UNLOADED_LATENCY + timedelta(seconds=ahead / PREFILL_RATE)
        else:
            expected = self._mean_latency.get(server.entry.service, timedelta())
        queue_factor = max((load.in_flight + 1) / max(server.entry.slots, 1), 1.0)
        return Assignment(server, unread, now, expected, not prompt.parts, queue_factor)

    def note_latency(self, assignment: Assignment, waited: timedelta) -> None:
        """Record the time to a first event or to a response."""
        server = assignment.server
        if not assignment.unread_tokens:
            service = server.entry.service
            mean = self._mean_latency.get(service, waited)
            self._mean_latency[service] = mean + (waited - mean) * LATENCY_WEIGHT
        if assignment.is_plain:
            own = waited / assignment.queue_factor
            self._measure(server, Size.PLAIN, own.total_seconds())
        elif assignment.unread_tokens:
            self._measure(server, Size.PROMPT, waited / assignment.expected)

    def note_output(
        self, assignment: Assignment, duration: timedelta, gaps: int
    ) -> None:
        """Record the time that ``gaps`` times between events took together."""
        if gaps > 0:
            self._measure(
                assignment.server, Size.OUTPUT, duration.total_seconds() / gaps
            )

    def note_outcome(self, server: ListedServer, is_failure: bool) -> None:
        """Record that a request got a response, or failed or was refused."""
        self._capacities.measure(
            server.incarnation,
            server.capacity,
            Size.OUTCOME,
            float(is_failure),
            self._clock.elapsed(),
        )

    def note_rejection(self, server: ListedServer) -> None:
        """Record that a request was refused: by a full server, or else a failure."""
        now = self._clock.elapsed()
        in_flight = server.sum_load(now).in_flight
        if in_flight >= server.entry.slots:
            server.capacity.note_full(in_flight, now)
        else:
            self.note_outcome(server, is_failure=True)

    def take_unsent(self) -> list[Measurement]:
        """Return the measurements of this VM since the last call."""
        return self._capacities.take_unsent(self._clock.elapsed())

    def merge(self, server: ListedServer, measurement: Measurement) -> None:
        """Apply what another VM measured, unless of another incarnation."""
        if measurement.born != server.entry.born:
            return
        at = self._clock.elapsed() - measurement.age
        server.capacity.add(measurement.size, measurement.value, at, measurement.number)

    def list_estimates(self, servers: Sequence[ListedServer]) -> list[Measurement]:
        """Return the estimates of servers, without failures.

        Failures are measured anew, as few of them are enough.
        """
        now = self._clock.elapsed()
        estimates = []
        for server in servers:
            for size in SPEED_SIZES:
                found = server.capacity.windows[size].find_median(now)
                if found is not None:
                    estimates.append(
                        Measurement(
                            *server.incarnation,
                            size,
                            found.value,
                            found.slots,
                            found.age,
                        )
                    )
        return estimates

    def adopt(self, server: ListedServer, estimate: Measurement) -> None:
        """Start from another VM's estimate, unless there are measurements."""
        if estimate.born != server.entry.born:
            return
        value = min(max(estimate.value, -MAX_VALUE), MAX_VALUE)
        server.capacity.windows[estimate.size].adopt(
            Estimate(value, estimate.number, estimate.age), self._clock.elapsed()
        )

    def _measure(self, server: ListedServer, size: Size, amount: float) -> None:
        value = math.log(max(amount, MIN_TIME_S))
        now = self._clock.elapsed()
        self._capacities.measure(server.incarnation, server.capacity, size, value, now)
