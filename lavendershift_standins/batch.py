"""Continuous batching: the requests that an engine runs in each step.

A ``Batch`` does no I/O and reads no clock: each call of ``step`` is one step of
the engine, in which every running request whose prompt has been processed
produces one token.
"""

import heapq
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from lavendershift_standins.prompts import Prompt


class RunState(Enum):
    """The state of a request on an engine."""

    RUNNING = "running"  # state of a running or queued request
    DONE = "done"
    CANCELLED = "cancelled"


class Caller(NamedTuple):
    """The request's identifiers and priority, read from its headers."""

    request_id: str
    idempotency_key: str
    holder: str
    priority: int


class Run:
    """A request submitted to the engine, and its progress."""

    __slots__ = (
        "cached_tokens",
        "caller",
        "listeners",
        "output_tokens",
        "prefill_left",
        "produced",
        "prompt",
        "started",
        "started_ms",
        "state",
    )

    def __init__(self, prompt: Prompt, caller: Caller, output_tokens: int) -> None:
        self.prompt = prompt
        self.caller = caller
        self.output_tokens = output_tokens
        self.state = RunState.RUNNING
        self.started = False
        self.started_ms = 0
        self.cached_tokens = 0
        self.prefill_left = 0.0
        self.produced = 0
        self.listeners: list[Callable[[], None]] = []

    @property
    def prompt_tokens(self) -> int:
        """The prompt tokens counted as used: 0 in the queue, all of them afterwards."""
        return self.prompt.tokens if self.started else 0

    def notify(self) -> None:
        """Call the listeners after a new token or a change of state."""
        for listener in self.listeners:
            listener()


class Batch:
    """The running and the queued requests of an engine.

    ``start`` is called when a request leaves the queue; it returns the number of
    its prompt tokens that are cached.
    """

    def __init__(
        self,
        capacity: int,
        prefill_tokens_per_step: float,
        start: Callable[[Run], int],
    ) -> None:
        self.capacity = capacity
        self.running: list[Run] = []
        self._waiting: list[tuple[int, int, Run]] = []
        self._sequence = 0
        self._prefill_tokens_per_step = prefill_tokens_per_step
        self._start = start

    @property
    def is_idle(self) -> bool:
        """Whether no request is running or queued."""
        return not self.running and not self._waiting

    @property
    def waiting(self) -> int:
        """The number of requests in the queue."""
        return len(self._waiting)

    def add(self, run: Run) -> None:
        """Queue a request, ordered by ascending priority, then by arrival."""
        self._sequence += 1
        heapq.heappush(self._waiting, (run.caller.priority, self._sequence, run))

    def cancel(self, run: Run) -> None:
        """Cancel a request unless it has finished."""
        if run.state is not RunState.RUNNING:
            return
        run.state = RunState.CANCELLED
        if run.started:
            self.running.remove(run)
        else:
            self._waiting = [entry for entry in self._waiting if entry[2] is not run]
            heapq.heapify(self._waiting)
        run.notify()

    def step(self) -> None:
        """Run one step: start queued requests, process prompts, produce tokens."""
        self._admit_waiting()
        self._prefill()
        finished = False
        for run in self.running:
            if run.prefill_left > 0:
                continue
            run.produced += 1
            if run.produced >= run.output_tokens:
                run.state = RunState.DONE
                finished = True
            run.notify()
        if finished:
            self.running = [r for r in self.running if r.state is RunState.RUNNING]

    def _admit_waiting(self) -> None:
        while self._waiting and len(self.running) < self.capacity:
            _, _, run = heapq.heappop(self._waiting)
            run.started = True
            run.cached_tokens = min(self._start(run), run.prompt.tokens)
            run.prefill_left = run.prompt.tokens - run.cached_tokens
            self.running.append(run)

    def _prefill(self) -> None:
        """Process prompt tokens, in the order in which the requests started."""
        remaining = self._prefill_tokens_per_step
        for run in self.running:
            if run.prefill_left <= 0:
                continue
            used = min(remaining, run.prefill_left)
            run.prefill_left -= used
            remaining -= used
            if remaining <= 0:
                return
