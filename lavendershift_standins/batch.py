"""Continuous batching: which requests an engine runs in each step.

A ``Batch`` does no I/O and knows no time: each call of ``step`` stands for one
step of the engine, in which every running request whose prompt is processed
yields one token.
"""

import heapq
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from lavendershift_standins.prompts import Prompt


class RunState(Enum):
    """The state of a request on an engine."""

    RUNNING = "running"  # also while it waits
    DONE = "done"
    CANCELLED = "cancelled"


class Caller(NamedTuple):
    """Who sent a request, as its headers say."""

    request_id: str
    idempotency_key: str
    holder: str
    priority: int


class Run:
    """A request on the engine and how far it has come."""

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
        """The prompt tokens used: all once the request started."""
        return self.prompt.tokens if self.started else 0

    def notify(self) -> None:
        """Tell the listeners of a new token or the end."""
        for listener in self.listeners:
            listener()


class Batch:
    """The running and the waiting requests of an engine.

    ``start`` is called when a request leaves the queue and returns how many of
    its prompt tokens are cached.
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
        """Whether there is nothing to run."""
        return not self.running and not self._waiting

    @property
    def waiting(self) -> int:
        """The number of requests in the queue."""
        return len(self._waiting)

    def add(self, run: Run) -> None:
        """Queue a request; lower priorities run first, then earlier ones."""
        self._sequence += 1
        heapq.heappush(self._waiting, (run.caller.priority, self._sequence, run))

    def cancel(self, run: Run) -> None:
        """End a request that is not done."""
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
        """Run one step."""
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
        """Process prompt tokens, those of the earliest started request first."""
        remaining = self._prefill_tokens_per_step
        for run in self.running:
            if run.prefill_left <= 0:
                continue
            used = min(remaining, run.prefill_left)
            run.prefill_left -= used
            remaining -= used
            if remaining <= 0:
                return
