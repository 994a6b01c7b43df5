"""The client of the platform's store, a log with conditional appends.

All parts of a process share one ``StoreClient``. Every call has a timeout of
its own, as a connection may fall silent without a sign::

    store = StoreClient("10.200.1.7:8223", connections, clock)
    batch = await store.read("keyed.op", 0, offset=12)
"""

import asyncio
import base64
import struct
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from enum import Enum
from typing import NamedTuple
from urllib.parse import urlencode

import msgspec
from tornado.httputil import HTTPHeaders

from lavendershift.clocks import Clock
from lavendershift.connections import (
    ConnectError,
    Connection,
    ConnectionPool,
    ServerRequest,
)
from lavendershift.errors import LogUnavailableError, RecordsExpiredError

CONNECT_TIMEOUT = timedelta(milliseconds=600)  # a path that lives answers in ms
CALL_TIMEOUT = timedelta(milliseconds=1500)  # calls take 4 ms; slow ones 100 times it
LONGEST_CALL = timedelta(seconds=15)  # while bytes come, as a record has 256 KiB
REFUSALS = frozenset({400, 403, 404, 409, 413, 429, 503, 507})  # nothing was done
HEAD = struct.Struct(">QQ")  # the partition's end and its first retained offset
LENGTH = struct.Struct(">I")


class StoreUnreachableError(LogUnavailableError):
    """No connection to the store was made, so nothing was done."""


class Record(NamedTuple):
    """A record of a keyed topic; an empty value drops its key."""

    offset: int
    key: bytes
    value: bytes


class Batch(NamedTuple):
    """Records that were read, and the offset after the last of them."""

    records: list[Record]
    next_offset: int
    end: int


class AppendResult(Enum):
    """What came of an append under a condition."""

    DONE = "done"
    MOVED = "moved"
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


class _Answer(NamedTuple):
    """A whole answer of the store."""

    status: int
    body: bytes


class _End(msgspec.Struct):
    end: int
    offset: int | None = None  # of the first record that was appended


class _NewestItem(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Newest(msgspec.Struct):
    """A page of the newest records; ``truncated`` tells that more follow."""

    items: list[_NewestItem]
    end: int
    truncated: bool = False


ByteListener = Callable[[], None]


class _Collector:
    """Collects an answer's status and body, and tells that bytes come."""

    def __init__(self, on_bytes: ByteListener) -> None:
        self.status = 0
        self.chunks: list[bytes] = []
        self.on_bytes = on_bytes

    def start(self, status: int, headers: HTTPHeaders) -> None:
        self.status = status
        self.on_bytes()

    def add(self, chunk: bytes) -> Awaitable[None] | None:
        self.chunks.append(chunk)
        self.on_bytes()
        return None


CallListener = Callable[[str, str, timedelta], None]


class StoreClient:
    """Calls to the store; ``on_call`` is told name, outcome and duration."""

    def __init__(
        self,
        address: str,
        connections: ConnectionPool,
        clock: Clock,
        on_call: CallListener = lambda call, outcome, duration: None,
    ) -> None:
        self._address = address
        self._connections = connections
        self._clock = clock
        self._on_call = on_call

    async def read(
        self,
        topic: str,
        partition: int,
        offset: int,
        wait: timedelta = timedelta(),
        on_bytes: ByteListener = lambda: None,
        is_repeat: bool = False,
    ) -> Batch:
        """Return the records from ``offset`` on, waiting for one up to ``wait``.

        ``on_bytes`` is told whenever bytes come. A repeat of a call that hangs is made
        on a new connection.

        Raises ``RecordsExpiredError`` where older records were deleted, and
        ``LogUnavailableError``.
        """
        query = {"topic": topic, "part": partition, "from": offset}
        if wait:
            query["wait_ms"] = wait // timedelta(milliseconds=1)
        answer = await self._call(
            "GET", "/log-read", query, b"", wait, on_bytes, is_repeat
        )
        if answer.status == 410:
            raise RecordsExpiredError(topic, offset)
        self._check(answer)
        return decode_batch(answer.body, offset)

    async def read_newest(
        self,
        topic: str,
        partition: int,
        on_bytes: ByteListener = lambda: None,
        is_repeat: bool = False,
    ) -> Batch:
        """Return the newest record of each key; see ``read`` on a repeat.

        ``next_offset`` is an end from before the first page was made: records
        from there on may be newer than those returned.
        """
        records: list[Record] = []
        first_end: int | None = None
        after = ""
        passed: set[str] = set()
        while True:
            query: dict[str, object] = {"topic": topic, "part": partition}
            if after:
                query["after"] = after
            answer = await self._call(
                "GET",
                "/log-newest",
                query,
                on_bytes=on_bytes,
                is_repeat=is_repeat and not passed,
            )
            self._check(answer)
            try:
                page = msgspec.json.decode(answer.body, type=_Newest)
                records += [
                    Record(i.offset, i.key.encode(), base64.b64decode(i.value))
                    for i in page.items
                ]
            except (msgspec.MsgspecError, ValueError) as error:
                raise LogUnavailableError(f"{topic}: {error}") from None
            if first_end is None:
                first_end = page.end
            if not page.truncated:
                return Batch(records, first_end, page.end)
            if not page.items:
                raise LogUnavailableError(f"{topic}: more promised, nothing sent")
            passed.add(after)
            after = page.items[-1].key
            if after in passed:
                raise LogUnavailableError(f"{topic}: pages that begin again")

    async def append(
        self,
        topic: str,
        partition: int,
        records: Sequence[tuple[bytes, bytes]],
        end: int | None = None,
    ) -> tuple[AppendResult, int | None]:
        """Append keyed records, with ``end`` only if the partition ends there.

        An append without an answer is ``UNKNOWN``: it may still happen. So is
        one whose answer names another place than ``end``. The partition's end
        comes with the result where the store tells it.
        """
        query: dict[str, object] = {"topic": topic, "part": partition}
        if end is not None:
            query["at"] = end
        body = b"".join(encode_record(key, value) for key, value in records)
        try:
            answer = await self._call("POST", "/log-append", query, body)
        except StoreUnreachableError:
            return AppendResult.NOT_DONE, None
        except LogUnavailableError:
            return AppendResult.UNKNOWN, None
        told = decode_end(answer.body)
        if answer.status == 200:
            if end is not None and (told is None or told.offset != end):
                return AppendResult.UNKNOWN, None
            return AppendResult.DONE, told.end if told else None
        if answer.status == 412:
            return AppendResult.MOVED, told.end if told else None
        if answer.status in REFUSALS:
            return AppendResult.NOT_DONE, None
        return AppendResult.UNKNOWN, None

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, object],
        body: bytes = b"",
        timeout: timedelta = timedelta(),
        on_bytes: ByteListener = lambda: None,
        is_repeat: bool = False,
    ) -> _Answer:
        """Make one call; raises ``LogUnavailableError``."""
        call = path.strip("/")
        headers = HTTPHeaders({"Host": self._address})
        if method == "POST":
            headers["Content-Length"] = str(len(body))
        request = ServerRequest(method, f"{path}?{urlencode(query)}", headers, body)
        started = self._clock.elapsed()
        try:
            connection = None
            if not is_repeat:
                connection = self._connections.take(self._address)
            if connection is None:
                connection = await self._connections.connect(
                    self._address, CONNECT_TIMEOUT
                )
        except ConnectError as error:
            self._on_call(call, "unreachable", self._clock.elapsed() - started)
            raise StoreUnreachableError(str(error)) from None
        answer = await self._exchange(
            connection, request, CALL_TIMEOUT + timeout, on_bytes
        )
        outcome = str(answer.status) if answer else "no answer"
        self._on_call(call, outcome, self._clock.elapsed() - started - timeout)
        if answer is None:
            raise LogUnavailableError(f"{call}: no answer")
        return answer

    async def _exchange(
        self,
        connection: Connection,
        request: ServerRequest,
        timeout: timedelta,
        on_bytes: ByteListener,
    ) -> _Answer | None:
        """Return the answer, ``None`` where it does not come or stops.

        A large answer on a full link takes long, and would take longer from the start.
        """
        loop = asyncio.get_running_loop()
        collector = _Collector(on_bytes)
        ends_at = loop.time() + LONGEST_CALL.total_seconds()

        def note_bytes() -> None:
            on_bytes()
            later = loop.time() + CALL_TIMEOUT.total_seconds()
            if not watchdog.expired():
                watchdog.reschedule(min(max(later, watchdog.when() or 0.0), ends_at))

        try:
            async with asyncio.timeout(timeout.total_seconds()) as watchdog:
                collector.on_bytes = note_bytes
                exchange = await connection.exchange(request, collector)
        except TimeoutError:
            connection.close()
            # Idle connections of the same path may have fallen silent as well.
            self._connections.drop(self._address)
            return None
        except BaseException:
            connection.close()
            if not collector.status:
                self._connections.drop(self._address)
            raise
        if not exchange.is_complete:
            connection.close()
            return None
        self._connections.give_back(connection)
        return _Answer(collector.status, b"".join(collector.chunks))

    def _check(self, answer: _Answer) -> None:
        if answer.status != 200:
            raise LogUnavailableError(f"status {answer.status}")


def decode_end(body: bytes) -> _End | None:
    """Return the place and the partition's end in the answer to an append."""
    try:
        return msgspec.json.decode(body, type=_End)
    except msgspec.MsgspecError:
        return None


def encode_record(key: bytes, value: bytes) -> bytes:
    """Return a record of a keyed topic as it is appended."""
    return LENGTH.pack(1 + len(key) + len(value)) + bytes([len(key)]) + key + value


def decode_batch(body: bytes, offset: int) -> Batch:
    """Return the records of a read that began at ``offset``.

    A record without a readable key has an empty one. Raises
    ``LogUnavailableError`` for a body that is cut off.
    """
    if len(body) < HEAD.size:
        raise LogUnavailableError("a read without its head")
    end, _ = HEAD.unpack_from(body)
    records: list[Record] = []
    position = HEAD.size
    while position < len(body):
        if position + LENGTH.size > len(body):
            raise LogUnavailableError("a read that is cut off")
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        data = body[position : position + length]
        if len(data) < length:
            raise LogUnavailableError("a read that is cut off")
        position += length
        records.append(Record(offset + len(records), *_split_record(data)))
    return Batch(records, offset + len(records), end)


def _split_record(data: bytes) -> tuple[bytes, bytes]:
    if not data or len(data) < 1 + data[0]:
        return b"", b""
    return data[1 : 1 + data[0]], data[1 + data[0] :]
