"""Relay that batches appends to the log service and caches reads.

One relay runs on each VM. It has no authority: the routers that replay the stream
decide about every record, so a lost or repeated batch does no harm. Without it,
hundreds of routers would each poll the log service and each use up part of the
few hundred appends per second that it accepts.
"""

import asyncio
import contextlib
import re
from collections import deque
from collections.abc import Iterable
from datetime import timedelta
from typing import Any, Protocol

import msgspec

from lavendershift.clocks import Clock, SystemClock
from lavendershift.errors import LogUnavailableError, RecordsExpiredError
from lavendershift.messages import (
    Appended,
    AppendRequest,
    Expired,
    Failure,
    Message,
    ReadReply,
    ReadRequest,
)
from lavendershift.records import CHECKPOINT_STREAM_SUFFIX

RAW_READ_LIMIT = 2000  # most entries in one read of the log service
# Longest wait of a read at the end, a quarter of ``ledgersessions.MAX_RESPONSE_AGE``.
TAIL_WAIT = timedelta(milliseconds=500)
# Age from which the end of a stream is not served, because routers make no use of
# an older one; equal to ``ledgersessions.MAX_RESPONSE_AGE``.
MAX_END_AGE = timedelta(seconds=2)
TAIL_RETRY = timedelta(milliseconds=250)  # pause after the log was unavailable
MAX_STREAMS = 256  # streams followed at a time; further ones are read uncached
MAX_BATCH_RECORDS = 1000  # records at which a batch takes no further request
MAX_REPLY_BYTES = 4 * 1024 * 1024  # size limit of a reply, half of the largest message
MAX_CACHE_BYTES = 32 * 1024 * 1024  # bytes cached per stream
MAX_WAIT_MS = 30_000  # longest time that a read may occupy a handler
STREAM_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,100}")


class RawPage(Protocol):
    """Undecoded entries and offsets as the log service returns them."""

    entries: list[tuple[int, int, Any]]
    next_offset: int
    end_offset: int


class RawLog(Protocol):
    """A log client that leaves records in their JSON form."""

    async def append_raw(self, stream: str, records: list[Any]) -> int:
        """Append ``records`` and return the offset of the first."""
        ...

    async def read_raw(
        self, stream: str, offset: int, limit: int, wait: timedelta
    ) -> Any:
        """Return a ``RawPage`` of entries from ``offset`` on."""
        ...


class StreamCache:
    """Bounded cache of the latest, contiguous entries of one stream.

    Entries are stored as the MessagePack bytes that readers receive, at most
    ``capacity`` of them and at most ``MAX_CACHE_BYTES``. Readers at the end wait on
    ``changed``, which is replaced at each change. ``confirmed`` is when the log
    service was asked for its latest response, ``None`` before the first one, and
    ``end_offset`` the end that it reported.
    """

    def __init__(self, capacity: int) -> None:
        self._entries: deque[bytes] = deque()
        self._capacity = capacity
        self.size = 0
        self.next_offset = 0
        self.end_offset = 0
        self.confirmed: timedelta | None = None
        self.healthy = True
        self.changed = asyncio.Event()

    @property
    def first_offset(self) -> int:
        """Offset of the first cached entry."""
        return self.next_offset - len(self._entries)

    def add_entries(self, entries: list[tuple[int, int, Any]]) -> None:
        """Add entries read from the log and wake the waiting readers."""
        for entry in entries:
            packed = pack_entry(entry)
            self._entries.append(packed)
            self.size += len(packed)
        self.next_offset = entries[-1][0] + 1
        while self._is_full():
            self.size -= len(self._entries.popleft())
        self.notify_readers()

    def skip_to(self, offset: int) -> None:
        """Drop all entries and continue at ``offset``, the first one retained."""
        self._entries.clear()
        self.size = 0
        self.next_offset = offset
        self.confirmed = None

    def record_response(self, end_offset: int, requested: timedelta) -> None:
        """Record a response of the log to a read sent at ``requested``."""
        self.end_offset = end_offset
        self.confirmed = requested

    def notify_readers(self) -> None:
        """Wake all readers that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def has_offset(self, offset: int) -> bool:
        """Return whether the cache can serve a read from ``offset``."""
        return self.first_offset <= offset

    def read_entries(self, offset: int, limit: int) -> list[msgspec.Raw]:
        """Return up to ``limit`` cached entries, as many as fit into a reply."""
        start = offset - self.first_offset
        stop = min(start + limit, len(self._entries))
        return fit_reply(self._entries[i] for i in range(start, stop))

    def _is_full(self) -> bool:
        if len(self._entries) > self._capacity:
            return True
        return self.size > MAX_CACHE_BYTES


def pack_entry(entry: tuple[int, int, Any]) -> bytes:
    """Encode an entry; a record that MessagePack can't hold is left out.

    Such a record is void, and readers need the entries after it.
    """
    try:
        return msgspec.msgpack.encode(entry)
    except (OverflowError, RecursionError):
        offset, time_ms, _ = entry
        return msgspec.msgpack.encode((offset, time_ms, None))


def fit_reply(entries: Iterable[bytes]) -> list[msgspec.Raw]:
    """Return as many leading entries as fit into a reply, at least one."""
    fitting: list[msgspec.Raw] = []
    size = 0
    for entry in entries:
        size += len(entry)
        if fitting and size > MAX_REPLY_BYTES:
            break
        fitting.append(msgspec.Raw(entry))
    return fitting


class StreamTail:
    """Follows one stream of the log into a cache, from ``offset`` on."""

    def __init__(
        self, stream: str, log: RawLog, offset: int, capacity: int, clock: Clock
    ) -> None:
        self.cache = StreamCache(capacity)
        self.cache.skip_to(offset)
        self._stream = stream
        self._log = log
        self._clock = clock
        self._task = asyncio.ensure_future(self._follow())

    async def _follow(self) -> None:
        while True:
            try:
                await self._advance()
                self._set_healthy(True)
            except LogUnavailableError:
                self._set_healthy(False)
                await asyncio.sleep(TAIL_RETRY.total_seconds())
            except RecordsExpiredError as error:
                self.cache.skip_to(error.first_offset)

    async def _advance(self) -> None:
        # The first read does not wait, as readers are waiting for its response already.
        wait = timedelta() if self.cache.confirmed is None else TAIL_WAIT
        requested = self._clock.elapsed()
        page = await self._log.read_raw(
            self._stream, self.cache.next_offset, RAW_READ_LIMIT, wait
        )
        # Entries appended after the read was sent may be missing from the response.
        self.cache.record_response(page.end_offset, requested)
        if page.entries:
            self.cache.add_entries(list(page.entries))

    def _set_healthy(self, healthy: bool) -> None:
        if self.cache.healthy != healthy:
            self.cache.healthy = healthy
            self.cache.notify_readers()

    async def stop(self) -> None:
        """Stop following."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task


class _PendingAppend:
    """An append request that waits for its batch to be appended."""

    def __init__(self, records: list[Any]) -> None:
        self.records = records
        self.reply: asyncio.Future[Message] = asyncio.get_running_loop().create_future()


class AppendBatcher:
    """Combines the append requests of one stream into few appends.

    While an append is in flight, further requests are queued; the next append
    takes them together in order of arrival.
    """

    def __init__(self, stream: str, log: RawLog, pause: timedelta) -> None:
        self._stream = stream
        self._log = log
        self._pause = pause
        self._pending: deque[_PendingAppend] = deque()
        self._task: asyncio.Task[None] | None = None

    async def append(self, records: list[Any]) -> Message:
        """Append ``records`` as part of a batch; return the reply to their request."""
        pending = _PendingAppend(records)
        self._pending.append(pending)
        if self._task is None or self._task.done():
            self._task = asyncio.ensure_future(self._run())
        return await pending.reply

    async def _run(self) -> None:
        while self._pending:
            await asyncio.sleep(self._pause.total_seconds())
            await self._append_batch(self._take_batch())

    def _take_batch(self) -> list[_PendingAppend]:
        batch = [self._pending.popleft()]
        size = len(batch[0].records)
        while self._pending and size < MAX_BATCH_RECORDS:
            size += len(self._pending[0].records)
            batch.append(self._pending.popleft())
        return batch

    async def _append_batch(self, batch: list[_PendingAppend]) -> None:
        records = [record for pending in batch for record in pending.records]
        try:
            offset = await self._log.append_raw(self._stream, records)
        except LogUnavailableError as error:
            self._reply_all(batch, Failure("log_unavailable", str(error)))
            return
        for pending in batch:
            self._reply(pending, Appended(offset))
            offset += len(pending.records)

    def _reply_all(self, batch: list[_PendingAppend], reply: Message) -> None:
        for pending in batch:
            self._reply(pending, reply)

    def _reply(self, pending: _PendingAppend, reply: Message) -> None:
        if not pending.reply.done():
            pending.reply.set_result(reply)


class Relay:
    """Serves the append and read requests of routers.

    A stream is followed and cached from the offset at which a reader first waits
    for new entries; earlier reads are forwarded to the log service. Reads of
    checkpoints are forwarded too, because they are rare and large.

    ``capacity`` is the number of entries cached per stream, ``batch_pause`` the time
    that an append waits for others to join it. The end of a stream is not served
    once it is older than ``MAX_END_AGE``.
    """

    def __init__(
        self,
        log: RawLog,
        capacity: int,
        batch_pause: timedelta,
        clock: Clock | None = None,
    ) -> None:
        self._log = log
        self._clock = clock or SystemClock()
        self._capacity = capacity
        self._batch_pause = batch_pause
        self._tails: dict[str, StreamTail] = {}
        self._batchers: dict[str, AppendBatcher] = {}

    async def handle_message(self, message: Message) -> Message:
        """Return the reply to ``message``."""
        if not isinstance(message, AppendRequest | ReadRequest):
            return Failure("unexpected", type(message).__name__)
        if STREAM_PATTERN.fullmatch(message.stream) is None:
            return Failure("unexpected", f"stream {message.stream[:80]!r}")
        if isinstance(message, AppendRequest):
            return await self._append(message)
        return await self._read(message)

    async def stop(self) -> None:
        """Stop following all streams."""
        for tail in self._tails.values():
            await tail.stop()

    async def _append(self, request: AppendRequest) -> Message:
        if not request.records:
            return Failure("unexpected", "an append without records")
        try:
            records = [msgspec.Raw(msgspec.json.encode(r)) for r in request.records]
        except (TypeError, ValueError, RecursionError) as error:
            # A request that cannot be encoded would fail all requests of its batch.
            return Failure("undecodable", str(error))
        batcher = self._batchers.get(request.stream)
        if batcher is None:
            batcher = AppendBatcher(request.stream, self._log, self._batch_pause)
            self._batchers[request.stream] = batcher
        return await batcher.append(records)

    async def _read(self, request: ReadRequest) -> Message:
        received = self._clock.elapsed()
        if request.stream.endswith(CHECKPOINT_STREAM_SUFFIX):
            return await self._read_log(request)
        if request.stream not in self._tails and not self._may_follow(request):
            return await self._read_log(request)
        cache = self._get_or_start_tail(request).cache
        if not cache.has_offset(request.offset):
            return await self._read_log(request)
        if request.offset >= cache.next_offset and request.wait_ms:
            wait_ms = min(request.wait_ms, MAX_WAIT_MS)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / 1000):
                    await cache.changed.wait()
        if not cache.has_offset(request.offset):
            return await self._read_log(request)
        entries = cache.read_entries(request.offset, request.limit)
        confirmed = cache.confirmed
        if confirmed is None or (not entries and not self._is_fresh(cache)):
            return Failure("log_unavailable", "the log service does not answer")
        return ReadReply(
            entries,
            request.offset + len(entries),
            max(cache.end_offset, cache.next_offset),
            (confirmed - received) // timedelta(milliseconds=1),
        )

    def _is_fresh(self, cache: StreamCache) -> bool:
        """Return whether the end of the stream is younger than ``MAX_END_AGE``."""
        if not cache.healthy or cache.confirmed is None:
            return False
        return self._clock.elapsed() - cache.confirmed < MAX_END_AGE

    def _may_follow(self, request: ReadRequest) -> bool:
        """Return whether to follow a new stream.

        A stream is followed once a reader waits for its new entries; at most
        ``MAX_STREAMS`` are followed.
        """
        return request.wait_ms > 0 and len(self._tails) < MAX_STREAMS

    def _get_or_start_tail(self, request: ReadRequest) -> StreamTail:
        tail = self._tails.get(request.stream)
        if tail is None:
            tail = StreamTail(
                request.stream,
                self._log,
                request.offset,
                self._capacity,
                self._clock,
            )
            self._tails[request.stream] = tail
        return tail

    async def _read_log(self, request: ReadRequest) -> Message:
        limit = min(request.limit, RAW_READ_LIMIT)
        try:
            page = await self._log.read_raw(
                request.stream, request.offset, limit, timedelta()
            )
        except RecordsExpiredError as error:
            return Expired(error.first_offset)
        except LogUnavailableError as error:
            return Failure("log_unavailable", str(error))
        entries = fit_reply(pack_entry(entry) for entry in page.entries)
        next_offset = request.offset + len(entries)
        # The log service was read after the request arrived, hence 0.
        return ReadReply(entries, next_offset, page.end_offset, 0)
