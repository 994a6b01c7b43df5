"""Server for callers.

Requests arrive on tornado's HTTP server and are passed to the gateway once their body
is complete. An ambiguous request is refused with 400, and its connection is closed.
"""

import asyncio
import contextlib
import socket
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any
from weakref import WeakSet

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from lavendershift.attempts import CallerRequest
from lavendershift.clocks import Clock
from lavendershift.connectionreports import ConnectionEnd, EndCause, Stage
from lavendershift.connections import reset_stream
from lavendershift.decoding import MAX_INTEGER, parse_count
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.gateway import Gateway
from lavendershift.platform import names
from lavendershift.platform.callerrequests import decode_request, measure_header
from lavendershift.platform.callerresponses import CallerResponseWriter
from lavendershift.platform.callerstreams import CHUNK_BYTES, CallerStream
from lavendershift.routes import CallerLimits
from lavendershift.supervision import is_being_cancelled

# Time in which callers may not know of a shorter idle timeout yet.
IDLE_CHANGE_TIME = timedelta(seconds=3)
STOP_POLL_S = 0.02  # interval between checks for connections with requests
STOPPING_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
    b"Content-Length: 0\r\nRetry-After: 0.05\r\n\r\n"
)
# Size up to which headers are read, so that those above the limit are refused, and so
# that a higher limit applies to connections that are idle when it is set.
MAX_HEADER_READ = 1_048_576


class _RequestReader(HTTPMessageDelegate):
    """Receives one request and passes it to the gateway."""

    def __init__(self, server: "CallerServer", connection: HTTPConnection) -> None:
        self._server = server
        self._connection: Any = connection
        self._start_line: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._chunks: list[bytes] = []
        self._size = 0
        self._limit = 0
        self._is_refused = False
        self._is_read = False
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, RequestStartLine)
        self._start_line, self._headers = start_line, headers
        if self.stream is not None:
            self.stream.note_header(self._request_id)
        if start_line.version == "HTTP/1.0":
            # Only the end of the connection marks the end of a stream, but tornado
            # would keep the connection open if the request's headers ask for it.
            headers["Connection"] = "close"
            self._connection._disconnect_on_finish = True
        limits = self._server.find_limits()
        self._limit = limits.body_bytes
        length = parse_count(headers.get("Content-Length", "0"), MAX_INTEGER) or 0
        if (
            measure_header(start_line, headers) > limits.header_bytes
            or length > limits.body_bytes
        ):
            self._refuse(ErrorKind.TOO_LARGE)
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self._size += len(chunk)
        if self._size > self._limit:
            self._refuse(ErrorKind.TOO_LARGE)
        if not self._is_refused:
            self._chunks.append(chunk)
        return None

    @property
    def _request_id(self) -> str:
        return self._headers.get(names.REQUEST_ID, "")

    @property
    def stream(self) -> CallerStream | None:
        """The connection's stream, while it has one."""
        return getattr(self._connection, "stream", None)

    def finish(self) -> None:
        if self._is_refused or self._start_line is None:
            return
        self._is_read = True
        if self.stream is None or self.stream.closed():
            # A pipelined request is still read from the buffer of a closed
            # connection, but its response could not be delivered.
            return
        self.stream.note_request()
        method = self._start_line.method
        writer = self._server.make_writer(self._connection, method)
        try:
            request = decode_request(
                self._start_line,
                self._headers,
                b"".join(self._chunks),
                self._server.clock.elapsed(),
            )
        except RequestError as error:
            self._server.refuse(writer, self._request_id, error)
            return
        self._task = self._server.start_serving(request, writer)
        self._connection.set_close_callback(self._task.cancel)

    def on_connection_close(self) -> None:
        self._chunks.clear()

    def refuse_remainder(self) -> None:
        """Refuse a request whose body isn't complete, as the process stops."""
        if not self._is_read and self.stream is not None and not self.stream.closed():
            self._refuse(ErrorKind.STOPPING)

    def _refuse(self, kind: ErrorKind) -> None:
        if not self._is_refused and self._start_line is not None:
            self._is_refused = True
            method = self._start_line.method
            writer = self._server.make_writer(self._connection, method)
            self._server.refuse(writer, self._request_id, RequestError(kind))


class CallerServer(HTTPServerConnectionDelegate):
    """Listens for callers and runs their requests through the gateway."""

    def __init__(self, clock: Clock, gateway: Gateway) -> None:
        self.clock = clock
        self.on_connection_end: Callable[[ConnectionEnd], None] = lambda end: None
        self.on_refusal: Callable[[str, RequestError], None] = lambda name, error: None
        self._gateway = gateway
        self._http: _CallerHttpServer | None = None
        self._is_leaving = False
        self._idle_timeout = self._longer_idle = timedelta()
        self._longer_until = clock.elapsed()
        self._active: set[asyncio.Task[None]] = set()
        self._streams: WeakSet[CallerStream] = WeakSet()
        self._readers: WeakSet[_RequestReader] = WeakSet()

    def listen(self, address: str) -> None:
        """Listen on ``address``."""
        self._http = _CallerHttpServer(self, chunk_size=CHUNK_BYTES)
        # Streams have their own timeouts, and readers refuse bodies above the limit.
        self._http.conn_params.header_timeout = None
        self._http.conn_params.max_body_size = sys.maxsize
        self._http.make_stream = self.make_stream
        self.update_limits(self._gateway.find_limits())
        host, _, port = address.rpartition(":")
        self._http.listen(int(port), address=host, backlog=1024)

    def update_limits(self, limits: CallerLimits) -> None:
        """Apply limits, also to open connections.

        Callers reuse connections for most of the idle timeout, so that a shorter one
        applies from the next response on, and once callers can know of it.
        """
        if self._http is None:
            return
        if limits.idle_timeout < self._idle_timeout:
            now = self.clock.elapsed()
            is_over = now >= self._longer_until
            former = timedelta() if is_over else self._longer_idle
            self._longer_idle = max(former, self._idle_timeout)
            self._longer_until = now + IDLE_CHANGE_TIME
        self._idle_timeout = limits.idle_timeout
        parameters = self._http.conn_params
        parameters.max_header_size = max(limits.header_bytes, MAX_HEADER_READ)
        for stream in list(self._streams):
            stream.raise_limits(limits)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the reader of a request."""
        stream: CallerStream = request_conn.stream  # type: ignore[attr-defined]
        stream.note_waiting()
        reader = _RequestReader(self, request_conn)
        self._readers.add(reader)
        return reader

    def on_close(self, server_conn: object) -> None:
        """Do nothing, as each request has its own callback for a close."""

    def make_writer(
        self, connection: HTTPConnection, method: str
    ) -> CallerResponseWriter:
        """Return the writer of the response to a request of ``method``."""
        return CallerResponseWriter(connection, lambda: self._is_leaving, method)

    def find_limits(self) -> CallerLimits:
        """Return the limits in force, with the idle timeout that callers rely on."""
        limits = self._gateway.find_limits()
        remaining = self._longer_until - self.clock.elapsed()
        longer = min(self._longer_idle, remaining)
        if longer <= limits.idle_timeout:
            return limits
        return limits._replace(idle_timeout=longer)

    def make_stream(self, endpoint: socket.socket) -> CallerStream:
        """Return the stream of a caller's new connection, and register it."""
        stream = CallerStream(
            endpoint, self.clock, self.find_limits, self.on_connection_end
        )
        self._streams.add(stream)
        return stream

    def start_serving(
        self, request: CallerRequest, writer: CallerResponseWriter
    ) -> asyncio.Task[None]:
        """Start the task that serves a request."""
        task = asyncio.ensure_future(self._serve(request, writer))
        self._active.add(task)
        task.add_done_callback(self._active.discard)
        return task

    async def _serve(
        self, request: CallerRequest, writer: CallerResponseWriter
    ) -> None:
        try:
            with contextlib.suppress(StreamClosedError):  # the caller disconnected
                await self._gateway.serve(request, writer)
        finally:
            if not writer.is_done:
                self._end_unfinished(request, writer)

    def _end_unfinished(
        self, request: CallerRequest, writer: CallerResponseWriter
    ) -> None:
        """End a response that the gateway has left incomplete."""
        if writer.has_started or writer.is_closed or is_being_cancelled():
            writer.abort()
        else:
            self.refuse(writer, request.id, RequestError(ErrorKind.INTERNAL))

    def refuse(
        self, writer: CallerResponseWriter, request_id: str, error: RequestError
    ) -> None:
        """Refuse a request that the gateway doesn't serve."""
        self.on_refusal(request_id, error)
        writer.refuse(error)

    def announce_leaving(self) -> None:
        """Close each connection after its next response."""
        self._is_leaving = True

    def stop_listening(self) -> None:
        """Accept no more connections, and refuse requests on open ones.

        Callers may use an idle connection until the process has ended.
        """
        self._gateway.stop_admission()
        if self._http is not None:
            self._http.accept_pending()
            self._http.stop()

    def count_stages(self) -> Counter[Stage]:
        """Return how many connections with a request are at each stage."""
        stages = (stream.find_stage() for stream in self._streams)
        return Counter(stage for stage in stages if stage is not Stage.IDLE)

    async def wait_idle(self, until: timedelta) -> None:
        """Wait until no connection has a request, or until the time ``until``.

        A request may arrive on an idle connection until it is closed, so that
        ``close_connections`` has to be called in the same turn of the event loop.
        """
        while self._has_requests() and self.clock.elapsed() < until:
            await asyncio.sleep(STOP_POLL_S)

    def end_requests(self) -> None:
        """End all requests with a response, or a reset where one has begun.

        Those that were not read completely are refused.
        """
        streams = [stream for stream in self._streams if not stream.closed()]
        for stream in streams:
            if stream.find_stage() is Stage.IN_FLIGHT:
                stream.set_cause(EndCause.STOP)
        self._gateway.end_requests()
        for reader in list(self._readers):
            reader.refuse_remainder()
        for stream in streams:
            if stream.find_stage() is Stage.HEADER:
                stream.refuse_header(EndCause.STOP, STOPPING_RESPONSE)

    def close_connections(self) -> None:
        """Close all connections; a response that isn't sent completely is reset."""
        for stream in list(self._streams):
            if stream.closed():
                continue
            stage = stream.find_stage()
            stream.set_cause(EndCause.STOP)
            if stage is Stage.IDLE:
                stream.close()
            elif stage in (Stage.UNREAD, Stage.HEADER):
                stream.refuse_header(EndCause.STOP, STOPPING_RESPONSE)
            else:
                reset_stream(stream)

    def _has_requests(self) -> bool:
        """Whether any connection has a request, unread bytes or an unsent response."""
        streams = [stream for stream in self._streams if not stream.closed()]
        return not all(stream.is_waiting for stream in streams) or any(
            stream.has_unread() for stream in streams
        )


class _CallerHttpServer(HTTPServer):
    """HTTP server without Nagle's algorithm whose streams come from ``make_stream``."""

    make_stream: Callable[[socket.socket], CallerStream]

    def _handle_connection(self, connection: socket.socket, address: Any) -> None:
        # tornado has no public way to choose the class of the streams.
        stream = self.make_stream(connection)
        stream.set_nodelay(True)
        self.handle_stream(stream, address)

    def accept_pending(self) -> None:
        """Accept connections that wait, which would be reset with the listener."""
        for listener in self._sockets.values():
            with contextlib.suppress(OSError):  # no other connection waits
                while True:
                    self._handle_connection(*listener.accept())
