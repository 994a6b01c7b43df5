"""A virtual-time model of inference engines for the routing experiment.

An engine uses continuous batching: each step prefills a chunk of prompt tokens and
decodes one token of every sequence whose prefill is done. Interactive sequences are
admitted and prefilled before batch ones. The prefix cache holds a limited number of
blocks and evicts the least recently used ones.
"""

import heapq
import itertools
import math
from collections import OrderedDict
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Any, Literal

from lavendershift.prefixes import BLOCK_TOKENS, CacheEvent
from lavendershift.tools.routing_workload import Arrival

CAPACITY = 16  # maximum number of sequences in the batch
CACHE_BLOCKS = 600  # maximum number of blocks in the prefix cache
CHUNK_TOKENS = 512  # maximum number of prompt tokens prefilled per step
STEP_S = 0.008  # fixed duration of a step
DECODE_S = 0.0005  # additional duration of a step per decoded sequence
PREFILL_S = 0.0001  # additional duration of a step per prefilled token
FAILURE_S = 0.005  # delay until a failing engine responds with an error


class Timeline:
    """Event queue in virtual time, and the ``Clock`` of the code under test."""

    def __init__(self) -> None:
        self.time = 0.0
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._sequence_numbers = itertools.count()

    def elapsed(self) -> timedelta:
        """Return the virtual time."""
        return timedelta(seconds=self.time)

    def now(self) -> datetime:
        """Return the virtual time as a UTC date and time."""
        return datetime(2026, 1, 1, tzinfo=UTC) + self.elapsed()

    @staticmethod
    def convert(time: float) -> timedelta:
        """Convert a virtual time in seconds to the type of ``elapsed``."""
        return timedelta(seconds=time)

    def call_at(self, time: float, function: Callable[..., None], *args: Any) -> None:
        """Call ``function`` at a virtual time, or now if that has passed."""
        event = (max(time, self.time), next(self._sequence_numbers), function, args)
        heapq.heappush(self._events, event)

    def run(self, until: float) -> None:
        """Run events in order up to ``until``."""
        while self._events and self._events[0][0] <= until:
            self.time, _, function, args = heapq.heappop(self._events)
            function(*args)
        self.time = until


class Sequence:
    """A request on an engine.

    ``on_first`` is called at the first token, ``on_end`` with whether it completed.
    """

    def __init__(
        self,
        arrival: Arrival,
        on_first: Callable[[], None],
        on_end: Callable[[bool], None],
    ) -> None:
        self.arrival = arrival
        self.on_first = on_first
        self.on_end = on_end
        self.prefill_left = arrival.prompt_tokens
        self.output_left = arrival.output_tokens
        self.cached_tokens = 0
        self.cancelled = False


class Engine:
    """One inference engine; ``slowness`` multiplies the duration of its steps.

    With ``fifo`` it serves all priorities in order of arrival.
    """

    def __init__(self, timeline: Timeline, name: str, fifo: bool = False) -> None:
        self.name = name
        self.slowness = 1.0
        self.failing = False
        self._timeline = timeline
        self._fifo = fifo
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._running: list[Sequence] = []
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._sequence_numbers = itertools.count()
        self._is_stepping = False
        self._events: list[CacheEvent] = []
        self.last_seq = 0
        self.closed_at = math.inf
        self.late_starts = 0

    def submit(self, sequence: Sequence) -> None:
        """Enqueue a request; one after ``closed_at`` counts as a late start."""
        self.late_starts += self._timeline.time > self.closed_at
        if self.failing:
            time = self._timeline.time + FAILURE_S
            self._timeline.call_at(time, sequence.on_end, False)
            return
        rank = 0 if self._fifo or sequence.arrival.priority == "interactive" else 1
        heapq.heappush(self._waiting, (rank, next(self._sequence_numbers), sequence))
        if not self._is_stepping:
            self._is_stepping = True
            self._step()

    @property
    def running(self) -> int:
        """Number of sequences in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of sequences that wait for a slot in the batch."""
        return sum(not entry[2].cancelled for entry in self._waiting)

    def count_cached(self, prefix: tuple[str, ...]) -> int:
        """Return how many leading blocks of ``prefix`` are cached."""
        cached = itertools.takewhile(self._cache.__contains__, prefix)
        return sum(1 for _ in cached)

    def count_backlog(self) -> int:
        """Return the number of prompt tokens still to be prefilled."""
        running = sum(s.prefill_left for s in self._running)
        return running + sum(entry[2].prefill_left for entry in self._waiting)

    def _step(self) -> None:
        self._admit()
        if not self._running:
            self._is_stepping = False
            return
        finished_prefill, chunk = self._prefill()
        decoding = [s for s in self._running if not s.prefill_left]
        seconds = STEP_S + chunk * PREFILL_S + len(decoding) * DECODE_S
        time = self._timeline.time + seconds * self.slowness
        self._timeline.call_at(time, self._end_step, finished_prefill, decoding)

    def _admit(self) -> None:
        self._running = [s for s in self._running if not s.cancelled]
        while self._waiting and len(self._running) < CAPACITY:
            sequence = heapq.heappop(self._waiting)[2]
            if sequence.cancelled:
                continue
            cached = self.count_cached(sequence.arrival.prefix) * BLOCK_TOKENS
            sequence.cached_tokens = cached
            sequence.prefill_left = max(sequence.arrival.prompt_tokens - cached, 1)
            self._running.append(sequence)

    def _prefill(self) -> tuple[list[Sequence], int]:
        left, finished = CHUNK_TOKENS, []
        pending = [s for s in self._running if s.prefill_left]
        if not self._fifo:
            pending.sort(key=lambda s: s.arrival.priority == "batch")
        for sequence in pending:
            tokens = min(left, sequence.prefill_left)
            sequence.prefill_left -= tokens
            left -= tokens
            if not sequence.prefill_left:
                finished.append(sequence)
            if not left:
                break
        return finished, CHUNK_TOKENS - left

    def _end_step(self, finished: list[Sequence], decoding: list[Sequence]) -> None:
        for sequence in finished:
            self._cache_blocks(sequence.arrival.prefix)
            if not sequence.cancelled:
                sequence.on_first()
        for sequence in decoding:
            sequence.output_left -= 1
            if sequence.output_left <= 0 and not sequence.cancelled:
                self._running.remove(sequence)
                sequence.on_end(True)
        self._step()

    def take_events(self) -> list[CacheEvent]:
        """Return the cache events since the last call."""
        events, self._events = self._events, []
        return events

    def _cache_blocks(self, prefix: tuple[str, ...]) -> None:
        for block in prefix:
            if block not in self._cache:
                self._record_event("stored", block)
            self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > CACHE_BLOCKS:
            self._record_event("evicted", self._cache.popitem(last=False)[0])

    def _record_event(self, kind: Literal["stored", "evicted"], block: str) -> None:
        self.last_seq += 1
        self._events.append(CacheEvent(self.last_seq, kind, block))
