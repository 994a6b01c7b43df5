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
import errno
import socket
import struct
import sys
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    RequestStartLine,
)
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from lavendershift.clocks import Clock
from lavendershift.decoding import parse_count
from lavendershift.responsedelegates import (
    MAX_RESPONSE_BYTES,
    ResponseDelegate,
    ResponseReader,
    is_delimited,
)
from lavendershift.timeouts import Timeout

IDLE_TIMEOUT = timedelta(seconds=4)  # idle limit if a server sends no Keep-Alive
IDLE_MARGIN = timedelta(seconds=1)  # margin below the server's own idle timeout
MAX_IDLE_CONNECTIONS = 16  # idle connections to one address
# Requests that a connection carried without an answer, after which it is replaced.
MAX_UNANSWERED = 64
# Timeout of a connection that only tells whether a process listens.
PROBE_TIMEOUT = timedelta(milliseconds=100)
MAX_KEEP_ALIVE_S = 86_400  # largest idle timeout that a server may name
TCP_USER_TIMEOUT_MS = 4000  # time without an ACK until the kernel drops a connection
# Size of one read. tornado clears a buffer of this size for each; events are short.
READ_BYTES = 16_384
# Errors of a process, or a system, that has no descriptor or buffer left.
LOCAL_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL}
)


class ConnectError(Exception):
    """The connection could not be opened, so nothing was sent.

    ``was_refused`` is set if the host responded that nothing listens on the port, and
    ``is_local`` if this process lacks a descriptor, which says nothing about the host.
    """

    def __init__(
        self, message: str, was_refused: bool = False, is_local: bool = False
    ) -> None:
        super().__init__(message)
        self.was_refused = was_refused
        self.is_local = is_local


class ServerRequest(NamedTuple):
    """A request as sent on the wire; ``target`` is path and query."""

    method: str
    target: str
    headers: HTTPHeaders
    body: bytes


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
    ``on_descriptor_closed`` is called once its socket is closed.
    """

    received_at = 0.0
    on_descriptor_closed: Callable[[], None] = staticmethod(lambda: None)

    def close_fd(self) -> None:
        """Close the socket."""
        super().close_fd()
        self.on_descriptor_closed()

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

    @property
    def has_unsent(self) -> bool:
        """Whether a part of what was written is not sent; it holds after a close."""
        # tornado has no public way to tell.
        return self._total_write_done_index < self._total_write_index

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


class Connection:
    """A connection that carries one request at a time.

    ``number`` is that of the connection in its process, and ``exchanges`` counts the
    requests sent on it. The server may send a response a second time at any later
    moment, which only the request's id tells from the response to another request.
    Each attempt of a caller has its own id, and a request that got no answer on a
    connection isn't sent there again.
    """

    def __init__(self, stream: ServerStream, address: str, number: int = 0) -> None:
        self.address = address
        self.number = number
        self.exchanges = 0
        self.is_fresh = True
        self.idle_since = timedelta()
        self.max_idle = IDLE_TIMEOUT
        self._stream = stream
        self._reading: asyncio.Task[bool] | None = None
        self._unanswered: set[int] = set()  # hashes of ids, which may be long
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
        self.exchanges += 1
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
        delegate = ResponseDelegate(reader, ended, self._stream.close)
        self._reading = asyncio.ensure_future(http.read_response(delegate))
        self._reading.add_done_callback(lambda task: _finish_reading(task, ended))
        is_complete = await ended
        has_started = delegate.status > 0
        if (
            is_complete
            and not is_delimited(delegate.status, delegate.headers)
            and (self._stream.error is not None or self._stream.has_unsent)
        ):
            # The end of a connection that stops reading the request is no proof that
            # the response is complete.
            return Exchange(False, True, "reset before the end")
        if not is_complete:
            error = self._stream.error
            return Exchange(False, has_started, delegate.reason or _describe(error))
        self._note_response(delegate)
        return Exchange(True, True)

    def _note_response(self, delegate: ResponseDelegate) -> None:
        headers = delegate.headers
        has_end = is_delimited(delegate.status, headers)
        # Copies of responses to HEAD have no body, whatever their length says.
        assert self._request_line is not None
        is_head = self._request_line.method == "HEAD"
        self._may_reuse = has_end and not delegate.closes and not is_head
        timeout = _parse_keep_alive(headers.get("Keep-Alive", ""))
        if timeout is not None:
            self.max_idle = timeout - IDLE_MARGIN
        self.is_fresh = False

    def note_unanswered(self, request_id: str) -> None:
        """Note a request that may be sent again, as it got no answer here."""
        self._unanswered.add(hash(request_id))

    @property
    def unanswered(self) -> int:
        """The number of requests that got no answer here."""
        return len(self._unanswered)

    def may_carry(self, request_id: str) -> bool:
        """Return whether a request has not been sent on this connection before."""
        return hash(request_id) not in self._unanswered

    def is_reusable(self, now: timedelta) -> bool:
        """Return whether the connection can carry another request."""
        if self.unanswered >= MAX_UNANSWERED:
            return False
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
    """Opens connections and keeps the reusable ones.

    ``open_count`` is the number of open ones, and ``find_limit`` returns how many may
    be. Beyond that, a new one takes the place of the one that is idle for longest.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[str, deque[Connection]] = {}
        self.opened = 0
        self.open_count = 0
        self.find_limit: Callable[[], int] = lambda: sys.maxsize

    def take(self, address: str, request_id: str = "") -> Connection | None:
        """Return the most recently used idle connection to ``address``.

        One that has carried the request ``request_id`` is left to other requests. If
        there are no others, it is closed, as its place is needed at a server that takes
        no more connections.
        """
        idle = self._idle.get(address, deque())
        now = self._clock.elapsed()
        for connection in reversed(tuple(idle)):
            if not connection.may_carry(request_id):
                continue
            idle.remove(connection)
            if connection.is_reusable(now):
                return connection
            connection.close()
        if idle:
            idle.popleft().close()
        return None

    async def connect(self, address: str, timeout: timedelta) -> Connection:
        """Open a connection; raises ``ConnectError``."""
        host, _, port = address.rpartition(":")
        if not self._make_room():
            raise ConnectError(f"{address}: too many connections", is_local=True)
        try:
            endpoint = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            raise ConnectError(f"{address}: {error.strerror}", is_local=True) from None
        endpoint.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError):
            endpoint.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
            )
        stream = ServerStream(endpoint, read_chunk_size=READ_BYTES)
        self.open_count += 1
        stream.on_descriptor_closed = self._note_closed
        try:
            async with Timeout(timeout.total_seconds()):
                await stream.connect((host, int(port)))
        except (TimeoutError, OSError, StreamClosedError, ValueError) as error:
            stream.close()
            reason = _describe(error)
            was_refused = reason == ConnectionRefusedError.__name__
            raise ConnectError(
                f"{address}: {reason}", was_refused, _is_local(error)
            ) from None
        except BaseException:  # a cancellation, too; the caller reports it
            stream.close()
            raise
        self.opened += 1
        return Connection(stream, address, self.opened)

    def _make_room(self) -> bool:
        """Return whether a connection may be opened; an idle one may be closed."""
        return self.trim(1)

    def trim(self, spare: int = 0) -> bool:
        """Close idle connections until ``spare`` more may be open; return if they may.

        Callers that connect take descriptors that idle connections had.
        """
        limit = self.find_limit()
        while self.open_count + spare > limit:
            oldest = min(
                (idle for idle in self._idle.values() if idle),
                key=lambda idle: idle[0].idle_since,
                default=None,
            )
            if oldest is None:
                return False
            oldest.popleft().close()
        return True

    def _note_closed(self) -> None:
        self.open_count -= 1

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


def _parse_keep_alive(value: str) -> timedelta | None:
    """Return the timeout of a ``Keep-Alive`` header, ``None`` if it has none."""
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        seconds = parse_count(number, MAX_KEEP_ALIVE_S)
        if name.lower() == "timeout" and seconds is not None:
            return timedelta(seconds=seconds)
    return None


def _is_local(error: BaseException | None) -> bool:
    """Whether an error on connecting is a lack of this process or this system."""
    if isinstance(error, StreamClosedError):
        return _is_local(error.real_error)
    return isinstance(error, OSError) and error.errno in LOCAL_ERRORS


def _describe(error: BaseException | None) -> str:
    """Return the name of an error's type for log lines."""
    if error is None:
        return "closed"
    if isinstance(error, StreamClosedError) and error.real_error is not None:
        return _describe(error.real_error)
    return type(error).__name__
