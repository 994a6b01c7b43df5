"""Pool of HTTP/1.1 connections to backend servers and to the platform's services.

Built on tornado's ``HTTP1Connection``, which in contrast to libcurl never resends a
request by itself. An ``Exchange`` states how far a request came, so that a request is
reported as not run only if nothing of it was sent::

    connections = ConnectionPool(clock)
    connection = await connections.connect("10.0.0.7:8080", timeout)
    exchange = await connection.exchange(request, reader)
"""

import asyncio
import contextlib
import re
import socket
import struct
from collections import deque
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, NamedTuple, Protocol

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from lavendershift.clocks import Clock
from lavendershift.decoding import parse_count
from lavendershift.timeouts import Timeout

IDLE_TIMEOUT = timedelta(seconds=4)  # idle limit if a server sends no Keep-Alive
IDLE_MARGIN = timedelta(seconds=1)  # margin below the server's own idle timeout
MAX_IDLE_CONNECTIONS = 16  # idle connections to one address
MAX_RESPONSE_BYTES = 64 * 1024 * 1024  # size at which a response is cut off
# Timeout of a connection that only tells whether a process listens.
PROBE_TIMEOUT = timedelta(milliseconds=100)
MAX_KEEP_ALIVE_S = 86_400  # largest idle timeout that a server may name
TCP_USER_TIMEOUT_MS = 4000  # time without an ACK until the kernel drops a connection
LAST_INFORMATIONAL_STATUS = 199
MAX_INFORMATIONAL_RESPONSES = 8  # 1xx responses accepted before the final one
# Time that a body which isn't needed may take, so that its connection can be kept.
UNNEEDED_BODY_TIMEOUT = timedelta(milliseconds=100)
# Size of one read. tornado clears a buffer of this size for each; events are short.
READ_BYTES = 16_384
STATUS_LINE = re.compile(r"HTTP/\d\.\d \d{3}\b")


class ConnectError(Exception):
    """The connection could not be opened, so nothing was sent.

    ``was_refused`` is set if the host responded that nothing listens on the port.
    """

    def __init__(self, message: str, was_refused: bool = False) -> None:
        super().__init__(message)
        self.was_refused = was_refused


class ServerRequest(NamedTuple):
    """A request as sent on the wire; ``target`` is path and query."""

    method: str
    target: str
    headers: HTTPHeaders
    body: bytes


class ResponseReader(Protocol):
    """Processes a response as it arrives."""

    @property
    def needs_body(self) -> bool:
        """Whether the caller of the exchange has to wait for the body."""
        ...

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Process the status and the headers."""
        ...

    def add(self, chunk: bytes) -> Awaitable[None] | None:
        """Process a chunk of the body; reading continues once the awaitable is done."""
        ...


class Exchange(NamedTuple):
    """Result of a request that was sent.

    ``is_complete`` is set if the response ended cleanly, ``has_started`` if its head
    arrived. ``reason`` names the error, if any.
    """

    is_complete: bool
    has_started: bool
    reason: str = ""


class ServerStream(IOStream):
    """A stream that can be checked for received but unread bytes.

    ``received_at`` is the time on the event loop's clock at which bytes last arrived.
    """

    received_at = 0.0

    def _handle_events(self, fd: int | Any, events: int) -> None:
        # tornado stops watching the socket whenever a read leaves bytes in the buffer,
        # and starts again at the next read: two system calls for each event of a
        # stream. Here it is watched until bytes arrive that nobody reads.
        if events != IOLoop.READ or not self.reading() or self.writing():
            super()._handle_events(fd, events)
            return
        try:
            self._handle_read()
        except UnsatisfiableReadError as error:
            self.close(exc_info=error)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket."""
        size = super().read_from_fd(buf)
        if size:
            self.received_at = asyncio.get_running_loop().time()
        return size

    def has_unread(self) -> bool:
        """Return whether the peer sent bytes after the response or closed."""
        if self._read_buffer_size:
            return True
        try:
            self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True


class _Delegate(HTTPMessageDelegate):
    """Forwards one response to its reader, and resolves ``ended`` at its end."""

    def __init__(
        self,
        reader: ResponseReader,
        ended: asyncio.Future[bool],
        stop: Callable[[], None],
    ) -> None:
        self._reader = reader
        self._ended = ended
        self._stop = stop
        self._informational = 0
        self._size = 0
        self.status = 0
        self.headers = HTTPHeaders()
        self.closes = False
        self.reason = ""
        self._timeout: asyncio.TimerHandle | None = None

    def headers_received(
        self, start_line: ResponseStartLine | RequestStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, ResponseStartLine)
        if has_second_head(start_line.reason, headers):
            self._fail("two joined heads")
            return None
        if start_line.code > LAST_INFORMATIONAL_STATUS:
            self.status, self.headers = start_line.code, headers
            self.closes = start_line.version == "HTTP/1.0" or _asks_to_close(headers)
            self._reader.start(start_line.code, headers)
            if not self._reader.needs_body:
                self._timeout = asyncio.get_running_loop().call_later(
                    UNNEEDED_BODY_TIMEOUT.total_seconds(), self._fail, "body too late"
                )
            return None
        self._informational += 1
        if self._informational > MAX_INFORMATIONAL_RESPONSES:
            self._fail("too many informational responses")
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self._size += len(chunk)
        if self._size > MAX_RESPONSE_BYTES:
            self._fail("response too long")
            return None
        return self._reader.add(chunk)

    def _fail(self, reason: str) -> None:
        self.reason = reason
        self._end(False)
        self._stop()

    def _end(self, is_complete: bool) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
        if not self._ended.done():
            self._ended.set_result(is_complete)

    def finish(self) -> None:
        self._end(True)

    def on_connection_close(self) -> None:
        self._end(False)


class Connection:
    """A connection that carries one request at a time."""

    def __init__(self, stream: ServerStream, address: str) -> None:
        self.address = address
        self.is_fresh = True
        self.idle_since = timedelta()
        self.max_idle = IDLE_TIMEOUT
        self._stream = stream
        self._reading: asyncio.Task[bool] | None = None
        self._may_reuse = False
        self._request_line: RequestStartLine | None = None

    @property
    def received_at(self) -> float:
        """Time on the event loop's clock at which bytes last arrived."""
        return self._stream.received_at

    async def exchange(
        self, request: ServerRequest, reader: ResponseReader
    ) -> Exchange:
        """Send ``request`` and read one response."""
        http = self._make_http()
        self._may_reuse = False
        self._request_line = RequestStartLine(
            request.method, request.target, "HTTP/1.1"
        )
        http.write_headers(self._request_line, request.headers, request.body or None)
        http.finish()
        return await self._read(http, reader)

    async def read_next(self, reader: ResponseReader) -> Exchange:
        """Read the next response, after one that belongs to an earlier request."""
        http = self._make_http()
        # tornado has no public way to read a response to HEAD without sending HEAD.
        http._request_start_line = self._request_line
        http.finish()
        return await self._read(http, reader)

    def _make_http(self) -> HTTP1Connection:
        parameters = HTTP1ConnectionParameters(max_body_size=MAX_RESPONSE_BYTES)
        return HTTP1Connection(self._stream, True, parameters)

    async def _read(self, http: HTTP1Connection, reader: ResponseReader) -> Exchange:
        ended: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        delegate = _Delegate(reader, ended, self._stream.close)
        self._reading = asyncio.ensure_future(http.read_response(delegate))
        self._reading.add_done_callback(lambda task: _finish_reading(task, ended))
        is_complete = await ended
        has_started = delegate.status > 0
        if (
            is_complete
            and not is_delimited(delegate.status, delegate.headers)
            and self._stream.error is not None
        ):
            return Exchange(False, True, "reset before the end")
        if not is_complete:
            error = self._stream.error
            return Exchange(False, has_started, delegate.reason or _describe(error))
        self._note_response(delegate)
        return Exchange(True, True)

    def _note_response(self, delegate: _Delegate) -> None:
        headers = delegate.headers
        has_end = is_delimited(delegate.status, headers)
        self._may_reuse = has_end and not delegate.closes
        timeout = _parse_keep_alive(headers.get("Keep-Alive", ""))
        if timeout is not None:
            self.max_idle = timeout - IDLE_MARGIN
        self.is_fresh = False

    def is_reusable(self, now: timedelta) -> bool:
        """Return whether the connection can carry another request."""
        if not self._may_reuse or self._stream.closed() or self._stream.writing():
            return False
        if now - self.idle_since > self.max_idle:
            return False
        return not self._stream.has_unread()

    def close(self) -> None:
        """Close the connection, which cancels a request in flight on it."""
        self._may_reuse = False
        if self._reading is not None:
            self._reading.cancel()
        self._stream.close()


class ConnectionPool:
    """Opens connections and keeps the reusable ones."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[str, deque[Connection]] = {}
        self.opened = 0

    def take(self, address: str) -> Connection | None:
        """Return the most recently used idle connection to ``address``."""
        idle = self._idle.get(address)
        now = self._clock.elapsed()
        while idle:
            connection = idle.pop()
            if connection.is_reusable(now):
                return connection
            connection.close()
        return None

    async def connect(self, address: str, timeout: timedelta) -> Connection:
        """Open a connection; raises ``ConnectError``."""
        host, _, port = address.rpartition(":")
        endpoint = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        endpoint.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError):
            endpoint.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
            )
        stream = ServerStream(endpoint, read_chunk_size=READ_BYTES)
        try:
            async with Timeout(timeout.total_seconds()):
                await stream.connect((host, int(port)))
        except (TimeoutError, OSError, StreamClosedError, ValueError) as error:
            stream.close()
            reason = _describe(error)
            was_refused = reason == ConnectionRefusedError.__name__
            raise ConnectError(f"{address}: {reason}", was_refused) from None
        except BaseException:
            stream.close()
            raise
        self.opened += 1
        return Connection(stream, address)

    async def is_refused(self, address: str) -> bool:
        """Return whether connections to ``address`` are refused."""
        try:
            connection = await self.connect(address, PROBE_TIMEOUT)
        except ConnectError as error:
            return error.was_refused
        connection.close()
        return False

    def give_back(self, connection: Connection) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        connection.idle_since = self._clock.elapsed()
        idle = self._idle.setdefault(connection.address, deque())
        if len(idle) >= MAX_IDLE_CONNECTIONS or not connection.is_reusable(
            connection.idle_since
        ):
            connection.close()
            return
        idle.append(connection)

    def drop(self, address: str) -> None:
        """Close the idle connections to ``address``."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def drop_stale(self) -> None:
        """Close idle connections that can't be reused."""
        now = self._clock.elapsed()
        for address, idle in list(self._idle.items()):
            reusable: deque[Connection] = deque()
            for connection in idle:
                if connection.is_reusable(now):
                    reusable.append(connection)
                else:
                    connection.close()
            if reusable:
                self._idle[address] = reusable
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop(address)


def reset_stream(stream: IOStream) -> None:
    """Close ``stream`` with a TCP reset, so that its response can't look complete."""
    with contextlib.suppress(OSError, AttributeError):
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    stream.close()


def _finish_reading(task: asyncio.Task[bool], ended: asyncio.Future[bool]) -> None:
    """Resolve ``ended`` for a response whose reading ended early."""
    if not task.cancelled():
        task.exception()  # marks it as retrieved; the stream's error has the cause
    if not ended.done():
        ended.set_result(False)


def has_second_head(reason: str, headers: HTTPHeaders) -> bool:
    """Return whether a head contains the status line of another response.

    A server that breaks off a response within its head and sends the next one on the
    same connection joins both heads. The status is then that of the first response,
    and the request's id that of the second one.
    """
    texts = [reason, *(value for _, value in headers.get_all())]
    return any(STATUS_LINE.search(text) for text in texts)


def is_delimited(status: int, headers: HTTPHeaders) -> bool:
    """Return whether a response can end without the end of its connection."""
    if "Content-Length" in headers or status in (204, 304):
        return True
    return "chunked" in headers.get("Transfer-Encoding", "").lower()


def _asks_to_close(headers: HTTPHeaders) -> bool:
    """Return whether the Connection header contains ``close``."""
    options = headers.get("Connection", "").lower().split(",")
    return "close" in [option.strip() for option in options]


def _parse_keep_alive(value: str) -> timedelta | None:
    """Return the timeout of a ``Keep-Alive`` header, ``None`` if it has none."""
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        seconds = parse_count(number, MAX_KEEP_ALIVE_S)
        if name.lower() == "timeout" and seconds is not None:
            return timedelta(seconds=seconds)
    return None


def _describe(error: BaseException | None) -> str:
    """Return the name of an error's type for log lines."""
    if error is None:
        return "closed"
    if isinstance(error, StreamClosedError) and error.real_error is not None:
        return _describe(error.real_error)
    return type(error).__name__
