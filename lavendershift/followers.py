"""Following a stream of the log and folding its entries in order."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from datetime import timedelta

from lavendershift.clocks import Clock
from lavendershift.errors import LogUnavailableError, RecordsExpiredError
from lavendershift.records import Checkpoint, Entry, name_checkpoint_stream
from lavendershift.streams import LogClient

READ_LIMIT = 1000
CHECKPOINT_READ_LIMIT = 16  # parts; 2 MiB
READ_WAIT = timedelta(milliseconds=500)  # a quarter of sessions.CURRENT_WITHIN
RETRY_PAUSE = timedelta(milliseconds=200)  # pause after a failed read

FoldEntry = Callable[[Entry], Awaitable[None]]


class StreamFollower:
    """Reads ``stream`` from ``offset`` on and hands each entry to ``fold``.

    ``caught_up`` is set once the end of the stream as known at the time was
    reached. ``silent_for`` counts from when the log was asked for its latest
    answer, which a relay may have passed on later. When entries expire before
    they were read, ``on_expired`` has to bring the fold forward from a
    checkpoint and return its next offset.
    """

    def __init__(
        self,
        log: LogClient,
        stream: str,
        offset: int,
        fold: FoldEntry,
        on_expired: Callable[[], Awaitable[int]],
        clock: Clock,
    ) -> None:
        self.stream = stream
        self.next_offset = offset
        self.end_offset = offset
        self.caught_up = asyncio.Event()
        self._log = log
        self._fold = fold
        self._on_expired = on_expired
        self._clock = clock
        self._started = clock.elapsed()
        self._confirmed: timedelta | None = None
        self._idle = False
        self._task: asyncio.Task[None] | None = None

    @property
    def silent_for(self) -> timedelta:
        """Age of the log's latest answer, or time since the start before one."""
        since = self._started if self._confirmed is None else self._confirmed
        return self._clock.elapsed() - since

    @property
    def at_end(self) -> bool:
        """Whether all entries are folded that an answer has told of."""
        return self.caught_up.is_set() and self.next_offset >= self.end_offset

    def note_answer(self, age: timedelta = timedelta()) -> None:
        """Note an answer of the log that was asked for ``age`` ago."""
        confirmed = self._clock.elapsed() - max(age, timedelta())
        if self._confirmed is None or confirmed > self._confirmed:
            self._confirmed = confirmed

    def start(self) -> None:
        """Start following in the background."""
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _run(self) -> None:
        while True:
            try:
                await self._advance()
            except LogUnavailableError:
                await asyncio.sleep(RETRY_PAUSE.total_seconds())
            except RecordsExpiredError:
                await self._recover()

    async def _advance(self) -> None:
        wait = READ_WAIT if self.caught_up.is_set() or self._idle else timedelta()
        asked = self._clock.elapsed()
        result = await self._log.read_entries(
            self.stream, self.next_offset, READ_LIMIT, wait
        )
        self._idle = not result.entries
        # Another relay may know less than the one asked before.
        self.end_offset = max(self.end_offset, result.end_offset)
        self.note_answer(self._clock.elapsed() - asked - result.confirmed_after)
        for entry in result.entries:
            await self._fold(entry)
            self.next_offset = entry.offset + 1
        self.end_offset = max(self.end_offset, self.next_offset)
        if self.next_offset >= result.end_offset:
            self.caught_up.set()

    async def _recover(self) -> None:
        before = self.next_offset
        with contextlib.suppress(LogUnavailableError):
            self.next_offset = await self._on_expired()
        if self.next_offset == before:
            await asyncio.sleep(RETRY_PAUSE.total_seconds())


async def repeat_until_answered(read: Callable[[], Awaitable[int]]) -> None:
    """Await ``read`` again, after a pause, for as long as the log is away."""
    while True:
        try:
            await read()
            return
        except LogUnavailableError:
            await asyncio.sleep(RETRY_PAUSE.total_seconds())


async def find_end(log: LogClient, stream: str) -> tuple[int, int]:
    """Return the first retained offset of ``stream`` and its end."""
    first = 0
    while True:
        try:
            result = await log.read_entries(stream, first, 1, timedelta())
            return first, result.end_offset
        except RecordsExpiredError as error:  # maybe since the last read
            first = error.first_offset


async def read_checkpoint(log: LogClient, stream: str) -> list[Checkpoint]:
    """Return the parts of the best whole checkpoint of ``stream``.

    That is the last one written whose tail is still retained. One written
    late, by a router that was paused, may come after a newer one; its tail
    may have expired. The list is empty where there is none.
    """
    tail_starts, _ = await find_end(log, stream)
    checkpoints = name_checkpoint_stream(stream)
    first, end = await find_end(log, checkpoints)
    by_id: dict[str, dict[int, Checkpoint]] = {}
    upper = end
    while upper > first:
        lower = max(first, upper - CHECKPOINT_READ_LIMIT)
        found = await _read_range(log, checkpoints, lower, upper)
        for checkpoint in reversed(found):
            parts = by_id.setdefault(checkpoint.id, {})
            parts[checkpoint.part] = checkpoint
            if len(parts) == checkpoint.parts and is_usable(checkpoint, tail_starts):
                return [parts[number] for number in sorted(parts)]
        upper = lower
    return []


def is_usable(checkpoint: Checkpoint, tail_starts: int) -> bool:
    """Whether all records after ``checkpoint`` are still retained."""
    return checkpoint.next_offset >= tail_starts


async def _read_range(
    log: LogClient, stream: str, lower: int, upper: int
) -> list[Checkpoint]:
    checkpoints: list[Checkpoint] = []
    offset = lower
    while offset < upper:
        try:
            result = await log.read_entries(stream, offset, upper - offset, timedelta())
        except RecordsExpiredError as error:
            offset = error.first_offset
            continue
        if not result.entries:
            break
        records = [entry.record for entry in result.entries]
        checkpoints += [r for r in records if isinstance(r, Checkpoint)]
        offset = result.next_offset
    return checkpoints
