"""Reader that follows a stream of the log and applies its entries in order."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from datetime import timedelta

from lavendershift.clocks import Clock
from lavendershift.errors import LogUnavailableError, RecordsExpiredError
from lavendershift.records import Checkpoint, Entry, name_checkpoint_stream
from lavendershift.streams import LogClient

READ_LIMIT = 1000  # most entries in one read
CHECKPOINT_READ_LIMIT = 16  # most checkpoint parts in one read, 2 MiB in all
# Longest wait of a read at the end, a quarter of ``ledgersessions.MAX_RESPONSE_AGE``.
READ_WAIT = timedelta(milliseconds=500)
RETRY_PAUSE = timedelta(milliseconds=200)  # pause after a failed read

ApplyEntry = Callable[[Entry], Awaitable[None]]


class StreamFollower:
    """Reads ``stream`` from ``offset`` on and passes each entry to ``apply``.

    ``caught_up`` is set once the follower has reached the end of the stream as it
    was known at that time. ``response_age`` counts from when the log service was
    asked for its latest response, which a relay may have forwarded later. If
    entries expire before they are read, ``on_expired`` must restore the state from
    a checkpoint and return the next offset to read.
    """

    def __init__(
        self,
        log: LogClient,
        stream: str,
        offset: int,
        apply: ApplyEntry,
        on_expired: Callable[[], Awaitable[int]],
        clock: Clock,
    ) -> None:
        self.stream = stream
        self.next_offset = offset
        self.end_offset = offset
        self.caught_up = asyncio.Event()
        self._log = log
        self._apply = apply
        self._on_expired = on_expired
        self._clock = clock
        self._started = clock.elapsed()
        self._confirmed: timedelta | None = None
        self._idle = False
        self._task: asyncio.Task[None] | None = None

    @property
    def response_age(self) -> timedelta:
        """Age of the log's latest response; before the first, time since the start."""
        since = self._started if self._confirmed is None else self._confirmed
        return self._clock.elapsed() - since

    @property
    def is_at_end(self) -> bool:
        """Whether all entries up to the newest end reported by the log are applied."""
        return self.caught_up.is_set() and self.next_offset >= self.end_offset

    def record_response(self, age: timedelta = timedelta()) -> None:
        """Record a response of the log service whose read was sent ``age`` ago."""
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
                await self._restore_past_expired()

    async def _advance(self) -> None:
        wait = READ_WAIT if self.caught_up.is_set() or self._idle else timedelta()
        requested = self._clock.elapsed()
        result = await self._log.read_entries(
            self.stream, self.next_offset, READ_LIMIT, wait
        )
        self._idle = not result.entries
        # After a change of relay, the new one may know a lower end than the old one.
        self.end_offset = max(self.end_offset, result.end_offset)
        self.record_response(self._clock.elapsed() - requested - result.confirmed_after)
        for entry in result.entries:
            await self._apply(entry)
            self.next_offset = entry.offset + 1
        self.end_offset = max(self.end_offset, self.next_offset)
        if self.next_offset >= result.end_offset:
            self.caught_up.set()

    async def _restore_past_expired(self) -> None:
        before = self.next_offset
        with contextlib.suppress(LogUnavailableError):
            self.next_offset = await self._on_expired()
        if self.next_offset == before:
            await asyncio.sleep(RETRY_PAUSE.total_seconds())


async def retry_until_available(read: Callable[[], Awaitable[int]]) -> None:
    """Await ``read``, and retry after a pause while the log is unavailable."""
    while True:
        try:
            await read()
            return
        except LogUnavailableError:
            await asyncio.sleep(RETRY_PAUSE.total_seconds())


async def find_bounds(log: LogClient, stream: str) -> tuple[int, int]:
    """Return the first retained offset of ``stream`` and its end offset."""
    first = 0
    while True:
        try:
            result = await log.read_entries(stream, first, 1, timedelta())
            return first, result.end_offset
        except RecordsExpiredError as error:  # entries may expire between two reads
            first = error.first_offset


async def read_checkpoint(log: LogClient, stream: str) -> list[Checkpoint]:
    """Return the parts of the newest usable checkpoint of ``stream``.

    That is the checkpoint written last among those of which all parts are present
    and after which all records are still retained. A router that was paused may
    write an older checkpoint after a newer one; records after the older one may
    have expired. The list is empty if there is no usable checkpoint.
    """
    first_retained, _ = await find_bounds(log, stream)
    checkpoints = name_checkpoint_stream(stream)
    first, end = await find_bounds(log, checkpoints)
    by_id: dict[str, dict[int, Checkpoint]] = {}
    upper = end
    while upper > first:
        lower = max(first, upper - CHECKPOINT_READ_LIMIT)
        found = await _read_range(log, checkpoints, lower, upper)
        for checkpoint in reversed(found):
            parts = by_id.setdefault(checkpoint.id, {})
            parts[checkpoint.part] = checkpoint
            if len(parts) == checkpoint.parts and is_usable(checkpoint, first_retained):
                return [parts[number] for number in sorted(parts)]
        upper = lower
    return []


def is_usable(checkpoint: Checkpoint, first_retained: int) -> bool:
    """Return whether all records after ``checkpoint`` are still retained."""
    return checkpoint.next_offset >= first_retained


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
