"""Server for callers.

Requests arrive on tornado's HTTP server and are passed to the gateway once their body
is complete. An ambiguous request is refused with 400, and its connection is closed.
"""

import asyncio
import contextlib
import socket
import sys
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import Any
from weakref import WeakSet

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
)
from tornado.iostream import StreamClosedError

from lavendershift.attempts import CallerRequest
from lavendershift.clocks import Clock
from lavendershift.connectionreports import ConnectionEnd, EndCause, Stage
from lavendershift.connections import reset_stream
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.forwardedconnections import ForwardedConnections
from lavendershift.gateway import Gateway
from lavendershift.lingering import LingeringSockets
from lavendershift.memory.budgets import SEARCH_INTERVAL, MemoryBudget
from lavendershift.memory.limits import (
    DEFAULT_MAX_FDS,
    DEFAULT_MEMORY_MB,
    MemoryLimits,
    derive_limits,
)
from lavendershift.overload.forwarding import ConnectionForwarding
from lavendershift.platform.callerresponses import CallerResponseWriter
from lavendershift.platform.callerstreams import (
    CHUNK_BYTES,
    CallerStream,
    make_memory_response,
)
from lavendershift.platform.requestreaders import RequestReader
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
# Slow connections that are ended at once if there is no descriptor for another one.
EVICTED_AT_ONCE = 16
# Forwarded connections as a part of those from callers, and the descriptors of one.
FORWARDED_SHARE = 0.25
DESCRIPTORS_PER_FORWARDED = 2
# Lingering sockets as a part of the connections from callers.
LINGERING_SHARE = 0.25


DEFAULT_LIMITS = derive_limits(DEFAULT_MEMORY_MB, DEFAULT_MAX_FDS)


class CallerServer(HTTPServerConnectionDelegate):
    """Listens for callers and runs their requests through the gateway."""

    def __init__(
        self,
        clock: Clock,
        gateway: Gateway,
        limits: MemoryLimits = DEFAULT_LIMITS,
        budget: MemoryBudget | None = None,
        forwarding: ConnectionForwarding | None = None,
        address: str = "",
    ) -> None:
        self.clock = clock
        self._forwarding = forwarding
        self._forwarded = ForwardedConnections(
            address, int(limits.caller_connections * FORWARDED_SHARE)
        )
        # Whether an address is that of another VM.
        self.is_vm: Callable[[str], bool] = lambda address: False
        self.on_forwarded: Callable[[str], None] = lambda outcome: None
        self.budget = budget or MemoryBudget(clock, limits.held_bytes)
        self.find_customer: Callable[[str], str] = lambda key: ""
        self.on_connection_refused: Callable[[], None] = lambda: None
        self.on_connection: Callable[[], object] = lambda: None
        self._limits = limits
        self._open = 0
        self._searched_at = clock.elapsed() - SEARCH_INTERVAL
        self._lingering = LingeringSockets(
            int(limits.caller_connections * LINGERING_SHARE)
        )
        self.on_connection_end: Callable[[ConnectionEnd], None] = lambda end: None
        self.on_refusal: Callable[[str, RequestError], None] = lambda name, error: None
        self._gateway = gateway
        self._http: _CallerHttpServer | None = None
        self._is_leaving = False
        self._idle_timeout = self._longer_idle = timedelta()
        self._longer_until = clock.elapsed()
        self._active: set[asyncio.Task[None]] = set()
        self._streams: WeakSet[CallerStream] = WeakSet()
        self._readers: WeakSet[RequestReader] = WeakSet()

    def listen(self, address: str) -> None:
        """Listen on ``address``."""
        self._http = _CallerHttpServer(self, chunk_size=CHUNK_BYTES)
        # Streams have their own timeouts, and readers refuse bodies above the limit.
        self._http.conn_params.header_timeout = None
        self._http.conn_params.max_body_size = sys.maxsize
        self._http.make_stream = self.make_stream
        self._http.may_accept = self.may_accept
        self._http.forward = self.forward
        self._http.refuse_connection = self.refuse_connection
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
        reader = RequestReader(self, request_conn)
        self._readers.add(reader)
        return reader

    def on_close(self, server_conn: object) -> None:
        """Do nothing, as each request has its own callback for a close."""

    def make_writer(
        self, connection: HTTPConnection, method: str
    ) -> CallerResponseWriter:
        """Return the writer of the response to a request of ``method``."""
        stream = getattr(connection, "stream", None)
        # The VM that forwards a connection doesn't know where its requests end.
        is_last = stream is not None and self.is_vm(stream.address)
        if not is_last and self._forwarding is not None and self._may_forward():
            is_last = self._forwarding.may_shift()
        return CallerResponseWriter(
            connection, lambda: is_last or self._is_leaving, method
        )

    def forward(self, endpoint: socket.socket, address: Any) -> bool:
        """Forward a new connection to another VM; return false to serve it here.

        Connections that come from another VM, which may have forwarded them, stay.
        """
        forwarding, http = self._forwarding, self._http
        if forwarding is None or http is None or not self._may_forward():
            return False
        target = None if self.is_vm(address[0]) else forwarding.choose()
        if target is None:
            return False

        def serve(has_failed: bool) -> None:
            if has_failed:
                self.on_forwarded("failed")
                forwarding.note_failure(target)
            http.serve_connection(endpoint, address)

        self.on_connection()
        self.on_forwarded("begun")
        self._forwarded.start(endpoint, target, serve)
        return True

    def _may_forward(self) -> bool:
        """Whether there are descriptors to forward one more connection."""
        after = self._count_open() + DESCRIPTORS_PER_FORWARDED
        is_low = after <= self._limits.caller_connections
        return is_low and self._forwarded.has_room and not self._is_leaving

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
            endpoint,
            self.clock,
            self.find_limits,
            self._note_end,
            self.budget,
            self._lingering,
            self.is_vm,
        )
        self._open += 1
        self._streams.add(stream)
        self.on_connection()
        return stream

    def _note_end(self, end: ConnectionEnd) -> None:
        self._open -= 1
        self.on_connection_end(end)

    def count_descriptors(self) -> int:
        """Return how many descriptors connections have, open or lingering."""
        return self._count_open() + self._lingering.count

    def _count_open(self) -> int:
        """Return the descriptors of open connections, those that are forwarded too."""
        return self._open + len(self._forwarded) * DESCRIPTORS_PER_FORWARDED

    def may_accept(self) -> bool:
        """Return whether there is a descriptor for one more connection.

        If there isn't, slow connections are ended for it, or one that has been idle.
        """
        if self._count_open() < self._limits.caller_connections:
            return True
        if self.clock.elapsed() - self._searched_at >= SEARCH_INTERVAL:
            self._searched_at = self.clock.elapsed()
            for victim in self.budget.find_slow()[:EVICTED_AT_ONCE]:
                victim.evict()
            idle = self.budget.find_longest_idle()
            most = self._limits.caller_connections
            if idle is not None and self._count_open() >= most:
                idle.evict()
        return self._count_open() < self._limits.caller_connections

    def refuse_connection(self, endpoint: socket.socket) -> None:
        """Refuse what a new connection may request, for lack of descriptors."""
        self.on_connection_refused()
        endpoint.setblocking(False)
        with contextlib.suppress(OSError):  # the caller disconnected
            endpoint.send(make_memory_response(endpoint.fileno()))
        self._lingering.discard_remainder(endpoint)

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
        self._forwarded.close_unused()

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
        self._forwarded.reset_all()
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
        if len(self._forwarded):
            return True
        streams = [stream for stream in self._streams if not stream.closed()]
        return not all(stream.is_waiting for stream in streams) or any(
            stream.has_unread() for stream in streams
        )


class _CallerHttpServer(HTTPServer):
    """HTTP server without Nagle's algorithm whose streams come from ``make_stream``."""

    make_stream: Callable[[socket.socket], CallerStream]
    may_accept: Callable[[], bool]
    forward: Callable[[socket.socket, Any], bool]
    refuse_connection: Callable[[socket.socket], None]

    def _handle_connection(self, connection: socket.socket, address: Any) -> None:
        if not self.forward(connection, address):
            self.serve_connection(connection, address)

    def serve_connection(self, connection: socket.socket, address: Any) -> None:
        """Serve a connection that was accepted, or refuse it."""
        if not self.may_accept():
            self.refuse_connection(connection)
            return
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
