"""Client of the platform's store, a partitioned log with conditional appends.

All components of a process share one ``StoreClient``. Every call has its own timeout,
as a connection may fall silent without an error::

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
from lavendershift.connectors import Connector
from lavendershift.decoding import Count, decode_json
from lavendershift.errors import (
    DecodeError,
    LogUnavailableError,
    RecordsExpiredError,
)
from lavendershift.timeouts import Timeout

# Interval between attempts to connect, as the kernel repeats a lost packet after 1 s.
CONNECT_INTERVAL = timedelta(milliseconds=600)
# Timeout of connecting for a reading; packets may wait for long at a congested link.
CONNECT_TIMEOUT = timedelta(milliseconds=2400)
# Timeout of connecting for an append, for which a request may wait.
APPEND_CONNECT_TIMEOUT = timedelta(milliseconds=1200)
# Timeout of a call that receives no bytes: calls take 4 ms, slow ones 100 times that.
CALL_TIMEOUT = timedelta(milliseconds=1500)
# Longest duration of a call that keeps receiving bytes: a record may have 256 KiB.
MAX_CALL_DURATION = timedelta(seconds=15)
MAX_PAGE_BYTES = 67_108_864  # longest page of newest records
# Response statuses of calls that were not executed.
REJECTED_STATUSES = frozenset({400, 403, 404, 409, 413, 429, 503, 507})
READ_HEADER = struct.Struct(">QQ")  # the partition's end and its first retained offset
RECORD_LENGTH = struct.Struct(">I")  # number of bytes of the record that follows


class StoreUnreachableError(LogUnavailableError):
    """No connection to the store could be made, so the call was not executed."""


class Record(NamedTuple):
    """A record of a keyed topic; an empty value deletes its key."""

    offset: int
    key: bytes
    value: bytes


class Batch(NamedTuple):
    """Records that were read, the offset to read next, and the partition's end."""

    records: list[Record]
    next_offset: int
    end: int


class AppendResult(Enum):
    """Outcome of an append, which may be conditional on the partition's end."""

    DONE = "done"
    MOVED = "moved"  # append that was not done, as the partition ends elsewhere
    NOT_DONE = "not_done"
    UNKNOWN = "unknown"  # append that may have been executed, or may still be


class _Response(NamedTuple):
    """A complete response of the store."""

    status: int
    body: bytes


class _AppendResponse(msgspec.Struct):
    end: Count
    offset: Count | None = None  # offset of the first record that was appended


class _NewestItem(msgspec.Struct):
    key: str
    value: str
    offset: Count


class _NewestPage(msgspec.Struct):
    """A page of the newest records; ``truncated`` if more pages follow."""

    items: list[_NewestItem]
    end: Count
    truncated: bool = False


ByteListener = Callable[[], None]


class _ResponseCollector:
    """Collects the status and body of a response, and reports progress."""

    def __init__(self, on_bytes: ByteListener) -> None:
        self.needs_body = True
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
    """Calls the store; ``on_call`` gets the name, outcome and duration of each call."""

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
        self._connector = Connector(
            connections, address, CONNECT_INTERVAL, CONNECT_TIMEOUT
        )

    async def read(
        self,
        topic: str,
        partition: int,
        offset: int,
        wait: timedelta = timedelta(),
        on_bytes: ByteListener = lambda: None,
        is_hedge: bool = False,
        on_connect: ByteListener = lambda: None,
    ) -> Batch:
        """Return the records from ``offset`` on, waiting up to ``wait`` for one.

        ``on_connect`` is called once there is a connection, ``on_bytes`` whenever bytes
        arrive. A hedge of a call that hangs is made on a new connection.

        Raises ``RecordsExpiredError`` if records at ``offset`` were deleted by the
        store's retention, and ``LogUnavailableError``.
        """
        query = {"topic": topic, "part": partition, "from": offset}
        if wait:
            query["wait_ms"] = wait // timedelta(milliseconds=1)
        response = await self._call(
            "GET", "/log-read", query, b"", wait, on_bytes, is_hedge, on_connect
        )
        if response.status == 410:
            raise RecordsExpiredError(topic, offset)
        self._require_ok(response)
        return decode_batch(response.body, offset)

    async def read_newest(
        self,
        topic: str,
        partition: int,
        on_bytes: ByteListener = lambda: None,
        is_hedge: bool = False,
        on_connect: ByteListener = lambda: None,
    ) -> Batch:
        """Return the newest record of each key; ``read`` explains ``is_hedge``.

        ``next_offset`` is the partition's end from before the first page was made:
        records from there on may be newer than those returned, and later pages may
        already hold some of them. Raises ``LogUnavailableError``.
        """
        records: list[Record] = []
        end_before: int | None = None
        after = ""
        seen: set[str] = set()
        while True:
            query: dict[str, object] = {"topic": topic, "part": partition}
            if after:
                query["after"] = after
            response = await self._call(
                "GET",
                "/log-newest",
                query,
                on_bytes=on_bytes,
                is_hedge=is_hedge and not seen,
                on_connect=on_connect,
            )
            self._require_ok(response)
            try:
                page = decode_json(response.body, _NewestPage, topic, MAX_PAGE_BYTES)
                records += [
                    Record(i.offset, i.key.encode(), base64.b64decode(i.value))
                    for i in page.items
                ]
            except ValueError as error:  # DecodeError is one
                raise LogUnavailableError(f"{topic}: {error}") from None
            if end_before is None:
                end_before = page.end
            if not page.truncated:
                return Batch(records, end_before, page.end)
            if not page.items:
                raise LogUnavailableError(f"{topic}: an empty page marked as truncated")
            seen.add(after)
            after = page.items[-1].key
            if after in seen:
                raise LogUnavailableError(
                    f"{topic}: a page that ends with the key of an earlier one"
                )

    async def append(
        self,
        topic: str,
        partition: int,
        records: Sequence[tuple[bytes, bytes]],
        end: int | None = None,
    ) -> tuple[AppendResult, int | None]:
        """Append keyed records; with ``end``, only if the partition ends there.

        An append without a response is ``UNKNOWN``, as the store may still execute
        it, and so is one whose response names another offset than ``end``. Returns
        the result and the partition's end, if the response holds it.
        """
        query: dict[str, object] = {"topic": topic, "part": partition}
        if end is not None:
            query["at"] = end
        body = b"".join(encode_record(key, value) for key, value in records)
        try:
            response = await self._call("POST", "/log-append", query, body)
        except StoreUnreachableError:
            return AppendResult.NOT_DONE, None
        except LogUnavailableError:
            return AppendResult.UNKNOWN, None
        written = decode_append_response(response.body)
        if response.status == 200:
            if end is not None and (written is None or written.offset != end):
                return AppendResult.UNKNOWN, None
            return AppendResult.DONE, written.end if written else None
        if response.status == 412:
            return AppendResult.MOVED, written.end if written else None
        if response.status in REJECTED_STATUSES:
            return AppendResult.NOT_DONE, None
        return AppendResult.UNKNOWN, None

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, object],
        body: bytes = b"",
        wait: timedelta = timedelta(),
        on_bytes: ByteListener = lambda: None,
        is_hedge: bool = False,
        on_connect: ByteListener = lambda: None,
    ) -> _Response:
        """Make one call; raises ``LogUnavailableError``.

        ``wait`` is the time that the store may wait for records, which is added to
        the timeout of the call.
        """
        call = path.strip("/")
        headers = HTTPHeaders({"Host": self._address})
        if method == "POST":
            headers["Content-Length"] = str(len(body))
        request = ServerRequest(method, f"{path}?{urlencode(query)}", headers, body)
        started = self._clock.elapsed()
        try:
            connection = None
            if not is_hedge:
                connection = self._connections.take(self._address)
            if connection is None:
                connection = await self._connector.connect(
                    APPEND_CONNECT_TIMEOUT if method == "POST" else CONNECT_TIMEOUT
                )
        except ConnectError as error:
            self._on_call(call, "unreachable", self._clock.elapsed() - started)
            raise StoreUnreachableError(str(error)) from None
        on_connect()
        delay = self._clock.elapsed() - started
        response = await self._exchange(
            connection, request, CALL_TIMEOUT + delay + wait, on_bytes
        )
        outcome = str(response.status) if response else "no answer"
        self._on_call(call, outcome, self._clock.elapsed() - started - wait)
        if response is None:
            raise LogUnavailableError(f"{call}: no answer")
        return response

    async def _exchange(
        self,
        connection: Connection,
        request: ServerRequest,
        timeout: timedelta,
        on_bytes: ByteListener,
    ) -> _Response | None:
        """Return the response, or ``None`` if it is missing or incomplete.

        Progress extends the timeout: a large response on a saturated link takes long,
        and would take longer if it were requested again.
        """
        loop = asyncio.get_running_loop()
        collector = _ResponseCollector(on_bytes)
        latest_end = loop.time() + MAX_CALL_DURATION.total_seconds()

        def note_progress() -> None:
            on_bytes()
            extended = loop.time() + CALL_TIMEOUT.total_seconds()
            watchdog.extend(min(extended, latest_end))

        try:
            async with Timeout(timeout.total_seconds()) as watchdog:
                collector.on_bytes = note_progress
                exchange = await connection.exchange(request, collector)
        except TimeoutError:
            connection.close()
            # Idle connections to the store may have fallen silent as well.
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
        return _Response(collector.status, b"".join(collector.chunks))

    def _require_ok(self, response: _Response) -> None:
        if response.status != 200:
            raise LogUnavailableError(f"status {response.status}")


def decode_append_response(body: bytes) -> _AppendResponse | None:
    """Decode the response to an append; ``None`` if it is malformed."""
    try:
        return decode_json(body, _AppendResponse, "append")
    except DecodeError:
        return None


def encode_record(key: bytes, value: bytes) -> bytes:
    """Encode a record of a keyed topic for an append."""
    return (
        RECORD_LENGTH.pack(1 + len(key) + len(value)) + bytes([len(key)]) + key + value
    )


def decode_batch(body: bytes, offset: int) -> Batch:
    """Decode the response to a read that began at ``offset``.

    A record whose key can't be decoded gets an empty key. Raises
    ``LogUnavailableError`` for a truncated body.
    """
    if len(body) < READ_HEADER.size:
        raise LogUnavailableError("a read that ends within its 16-byte header")
    end, _ = READ_HEADER.unpack_from(body)
    records: list[Record] = []
    position = READ_HEADER.size
    while position < len(body):
        if position + RECORD_LENGTH.size > len(body):
            raise LogUnavailableError("a read that ends within a record's length")
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        data = body[position : position + length]
        if len(data) < length:
            raise LogUnavailableError("a read that ends within a record")
        position += length
        records.append(Record(offset + len(records), *_split_record(data)))
    return Batch(records, offset + len(records), end)


def _split_record(data: bytes) -> tuple[bytes, bytes]:
    if not data or len(data) < 1 + data[0]:
        return b"", b""
    return data[1 : 1 + data[0]], data[1 + data[0] :]
