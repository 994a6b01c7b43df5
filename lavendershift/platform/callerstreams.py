"""Connections of callers: their timeouts, and reports of how they end.

An idle connection is closed after the idle timeout, and one on which a header has begun
is refused after the header timeout. Before that, bytes that arrived meanwhile are read.
"""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from lavendershift.clocks import Clock
from lavendershift.connectionreports import ConnectionEnd, EndCause, Stage
from lavendershift.connections import reset_stream
from lavendershift.lingering import LingeringSockets
from lavendershift.memory.budgets import SMALL_BYTES, MemoryBudget, Phase
from lavendershift.routes import CallerLimits

CHUNK_BYTES = 65_536  # maximum size of one read from a caller
# Stages in which the id of the latest request is known.
NAMED_STAGES = frozenset({Stage.BODY, Stage.IN_FLIGHT, Stage.SENDING})
# Time until a timeout is checked again, for bytes that arrived at its end to be read.
RECHECK_TIME = timedelta(milliseconds=20)
MIN_CHECK_INTERVAL = timedelta(milliseconds=100)
# Bytes of one read while a header is expected, and while a request is in progress:
# a caller that doesn't wait for responses, or for room, is not read far ahead.
HEADER_CHUNK_BYTES = 16_384
AHEAD_BYTES = 4096
CONNECTION_BYTES = 16_384  # what the objects of a connection take
FIELD_BYTES = 800  # what the objects of a header's field take, as read and as forwarded
FRAME_LINES = 2  # lines of a header that aren't fields
# Times without progress after which a body, or a response, is given up. Callers that
# send or read anything in this time are not affected.
BODY_TIMEOUT = timedelta(seconds=30)
UNREAD_TIMEOUT = timedelta(seconds=30)
RETRY_STEPS = 8  # number of different retry delays, 1 to 2 s, of refusals for memory
HEADER_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)
# Causes after which the caller may still have to read a response.
LINGERING_CAUSES = frozenset(
    {
        EndCause.RESPONSE,
        EndCause.LARGE_HEADER,
        EndCause.MALFORMED,
    }
)


class CallerStream(IOStream):
    """A caller's connection; ``on_end`` is called once, just before it is closed."""

    def __init__(
        self,
        endpoint: socket.socket,
        clock: Clock,
        find_limits: Callable[[], CallerLimits],
        on_end: Callable[[ConnectionEnd], None],
        budget: MemoryBudget,
        lingering: LingeringSockets,
        is_vm: Callable[[str], bool] = lambda host: False,
    ) -> None:
        super().__init__(endpoint, read_chunk_size=CHUNK_BYTES)
        self._budget = budget
        self._lingering = lingering
        self.address = _find_address(endpoint)
        # Connections that another VM forwards are those of many callers.
        self._owners = () if is_vm(self.address) else (self.address,)
        self.holding = budget.open(self._owners, self.end_slow)
        self.holding.begin(Phase.IDLE)
        self._request_bytes = 0
        self._clock = clock
        self._find_limits = find_limits
        self._on_end = on_end
        self._opened = self._idle_since = self._read_at = clock.elapsed()
        self._served = 0
        self._stage = Stage.IDLE
        self._request_id = ""
        self._was_ended_by_caller = False
        self._cause: EndCause | None = None
        self._is_waiting = False
        self._has_refused = False
        self._timed_since = self._opened
        # Limit of the header timeout or the idle timeout, if one of them is running.
        self._time_limit: timedelta | None = None
        self._timer = self._schedule(MIN_CHECK_INTERVAL)

    @property
    def cause(self) -> EndCause | None:
        """Why the connection is about to be closed, if that is known."""
        return self._cause

    @property
    def received_at(self) -> timedelta:
        """When the latest request's last bytes were read, or its turn came."""
        return max(self._read_at, self._idle_since)

    @property
    def is_waiting(self) -> bool:
        """Whether nothing was read since the latest response was sent."""
        return self._is_waiting

    def has_unread(self) -> bool:
        """Return whether bytes were received that the process hasn't read."""
        return self._peek() > 0

    def find_stage(self) -> Stage:
        """Return how far the latest request has come; a closed connection is idle."""
        if self.closed():
            return Stage.IDLE
        return self._find_stage(self._read_buffer_size + self._peek())

    def note_waiting(self) -> None:
        """Note that the connection is ready for a request."""
        self._idle_since = self._clock.elapsed()
        if self._read_buffer_size:
            self._begin_header()
        else:
            self._is_waiting = True
            self._start_timer(self._find_limits().idle_timeout)
            self.holding.begin(Phase.IDLE)
        self._count()

    def note_header(self, request_id: str) -> None:
        """Note that a request's header was read."""
        self._time_limit = None
        self._stage = Stage.BODY
        self._request_id = request_id

    def note_request(self) -> None:
        """Note that a request was read completely."""
        self._stage = Stage.IN_FLIGHT
        self.holding.begin(Phase.RUNNING)
        self._count()

    def note_response(self) -> None:
        """Note that a request's complete response, or its refusal, was written."""
        self._stage = Stage.IDLE
        self._served += 1
        self._idle_since = self._clock.elapsed()
        self._request_bytes = 0
        self._budget.drop_owners(self.holding, self._owners)
        self._count()

    def hold(self, size: int) -> None:
        """Count bytes of a request, until its response is complete."""
        self._request_bytes += size
        self._count()

    def _count(self, received: int = 0) -> None:
        """Update how many bytes are held for the connection."""
        if not self.closed():
            buffered = self._read_buffer_size + len(self._write_buffer) + received
            self.holding.resize(CONNECTION_BYTES + buffered + self._request_bytes)

    def raise_limits(self, limits: CallerLimits) -> None:
        """Extend the timeout that is running, as callers rely on the longer one."""
        if self._time_limit is not None:
            limit = limits.idle_timeout if self._is_waiting else limits.header_timeout
            self._time_limit = max(self._time_limit, limit)

    def set_cause(self, cause: EndCause) -> None:
        """Set why the connection is about to be closed."""
        self._cause = cause

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket, and note whether the caller closed or reset it."""
        if self._stage is Stage.IDLE:
            buf = memoryview(buf)[:HEADER_CHUNK_BYTES]
        elif self._stage is Stage.IN_FLIGHT:
            buf = memoryview(buf)[:AHEAD_BYTES]
        try:
            received = super().read_from_fd(buf)
        except OSError:
            self._was_ended_by_caller = True
            raise
        self._was_ended_by_caller = received == 0
        if received and self._is_waiting:
            self._begin_header()
        if received:
            self._note_received(received)
        return received

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Read a header, which is parsed only if there is room for its objects."""
        return self._check_header(super().read_until_regex(regex, max_bytes))

    async def _check_header(self, reading: Awaitable[bytes]) -> bytes:
        # Parsing a header of 16 KiB with very short fields takes some 15 ms.
        data = await reading
        size = (data.count(b"\n") - FRAME_LINES) * FIELD_BYTES
        if size > SMALL_BYTES and not self.closed():
            if not self._budget.has_room(self.holding, size):
                self._budget.evict_slow(self.holding, size)
            if not self._budget.has_room(self.holding, size):
                self.refuse_for_memory()
                raise StreamClosedError
        return data

    def _note_received(self, received: int) -> None:
        self._read_at = self._clock.elapsed()
        self.holding.note_progress()
        self._count(received)
        # A refusal while the last response is unsent would cut that response.
        is_header = (
            self._stage is Stage.IDLE and not self._has_refused and not self.writing()
        )
        if is_header and not self._budget.has_room(self.holding, 0):
            # The stream can't be closed while it reads.
            asyncio.get_running_loop().call_soon(self._check_room)

    def _check_room(self) -> None:
        """Refuse the header that is read if there is no room for it."""
        if self.writing():
            return
        self._budget.evict_slow(self.holding, 0)
        has_room = self._budget.has_room(self.holding, 0)
        if not has_room and not self.closed() and self._stage is Stage.IDLE:
            self.refuse_for_memory()

    def write(self, data: bytes | memoryview) -> "asyncio.Future[None]":
        """Write to the caller, and count what it doesn't read at once."""
        if not self.writing() and self.holding.phase is Phase.SENDING:
            self.holding.begin(Phase.RUNNING)
        future = super().write(data)
        if self.writing() and self.holding.phase is not Phase.SENDING:
            self.holding.begin(Phase.SENDING)
        self._count()
        return future

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the socket, and note that the caller reads."""
        sent = super().write_to_fd(data)
        if sent:
            self.holding.note_progress()
        return sent

    def refuse_for_memory(self) -> None:
        """Refuse a request that isn't read completely, as there is no room for it."""
        self.refuse_header(EndCause.MEMORY, make_memory_response(self.socket.fileno()))

    def end_slow(self) -> None:
        """Make room: refuse the request that is read, or end the unread response."""
        if self.closed():
            return
        stage = self.find_stage()
        if self.writing():
            self.set_cause(EndCause.UNREAD)
            reset_stream(self)
        elif stage in (Stage.HEADER, Stage.BODY):
            self.refuse_for_memory()
        elif stage is Stage.IDLE:
            self.set_cause(EndCause.IDLE_TIMER)
            self.close()
        else:
            self.holding.begin(Phase.RUNNING)

    def close(self, exc_info: Any = False) -> None:
        """Close the connection, and report its end."""
        if not self.closed():
            self._timer.cancel()
            error = exc_info if isinstance(exc_info, BaseException) else self.error
            self._cause = self._find_cause(error)
            self._report(self._cause, error)
            self.holding.close()
        super().close(exc_info)

    def close_fd(self) -> None:
        """Close the socket, after the caller if it may have to read a response."""
        if self._cause in LINGERING_CAUSES or self._has_refused:
            endpoint, self.socket = self.socket, None  # type: ignore[assignment]
            self._lingering.discard_remainder(endpoint)
        else:
            super().close_fd()

    def _begin_header(self) -> None:
        self._is_waiting = False
        self._start_timer(self._find_limits().header_timeout)
        self.holding.begin(Phase.READING)

    def _start_timer(self, limit: timedelta) -> None:
        self._timed_since, self._time_limit = self._clock.elapsed(), limit

    def _schedule(self, delay: timedelta) -> asyncio.TimerHandle:
        loop = asyncio.get_running_loop()
        return loop.call_later(delay.total_seconds(), self._check_timer)

    def _check_timer(self) -> None:
        """Close the connection if its time is over and no bytes have arrived.

        The check is repeated at least once in each header timeout, so that requests
        need no timers of their own.
        """
        interval = max(self._find_limits().header_timeout, MIN_CHECK_INTERVAL)
        if self._has_stalled():
            return
        if self._time_limit is not None and self.reading():
            remaining = self._time_limit - (self._clock.elapsed() - self._timed_since)
            if remaining <= timedelta():
                if not self.has_unread():
                    self._close_late()
                    return
                remaining = RECHECK_TIME
            interval = min(interval, remaining)
        self._timer = self._schedule(interval)

    def _has_stalled(self) -> bool:
        """End a body or a response without progress; return whether it was."""
        idle = self._clock.elapsed() - self.holding.progress_at
        if self.writing() and idle > UNREAD_TIMEOUT:
            self.set_cause(EndCause.UNREAD)
            reset_stream(self)
            return True
        is_reading = self.holding.phase is Phase.READING
        if self._stage is Stage.BODY and is_reading and idle > BODY_TIMEOUT:
            if self.has_unread():
                return False
            self.refuse_header(EndCause.BODY_TIMER, HEADER_TIMEOUT_RESPONSE)
            return True
        return False

    def _close_late(self) -> None:
        """Close the connection, after a refusal if a part of a header was read."""
        if self._is_waiting:
            self.set_cause(EndCause.IDLE_TIMER)
            self.close()
        else:
            self.refuse_header(EndCause.HEADER_TIMER, HEADER_TIMEOUT_RESPONSE)

    def refuse_header(self, cause: EndCause, response: bytes) -> None:
        """Send a refusal in place of reading a request's header, and close."""
        self.set_cause(cause)
        self._has_refused = True
        with contextlib.suppress(StreamClosedError):  # the caller disconnected
            self.write(response)
        self.close()

    def _report(self, cause: EndCause, error: BaseException | None) -> None:
        now = self._clock.elapsed()
        unread_bytes = self._read_buffer_size + self._peek()
        stage = self._find_stage(unread_bytes)
        is_named = stage in NAMED_STAGES or cause is EndCause.RESPONSE
        self._on_end(
            ConnectionEnd(
                cause,
                stage,
                self._request_id if is_named else "",
                self._served,
                now - self._opened,
                now - self._idle_since,
                unread_bytes,
                type(error).__name__ if error is not None else "",
            )
        )

    def _find_cause(self, error: BaseException | None) -> EndCause:
        if self._was_ended_by_caller or isinstance(error, OSError):
            return EndCause.CALLER
        if isinstance(error, UnsatisfiableReadError):
            # Lines of a chunked body are limited too.
            is_header = self._stage is Stage.IDLE
            return EndCause.LARGE_HEADER if is_header else EndCause.MALFORMED
        if self._cause is not None:
            return self._cause
        return EndCause.MALFORMED if error is None else EndCause.FAILED

    def _find_stage(self, unread_bytes: int) -> Stage:
        if self._stage is not Stage.IDLE:
            return self._stage
        if self._cause is EndCause.RESPONSE:
            return Stage.SENDING if self.writing() else Stage.IDLE
        if self._read_buffer_size:
            return Stage.HEADER
        if self.writing():
            return Stage.SENDING
        return Stage.UNREAD if unread_bytes else Stage.IDLE

    def _peek(self) -> int:
        """Return how many received bytes aren't read, up to the size of one read."""
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return len(self.socket.recv(CHUNK_BYTES, flags))
        except OSError:
            return 0


def make_memory_response(number: int) -> bytes:
    """Return a refusal as not run; ``number`` spreads the retry delays."""
    delay = 1 + number % RETRY_STEPS / RETRY_STEPS
    return (
        "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
        f"Content-Length: 0\r\nRetry-After: {delay:.2f}\r\n\r\n"
    ).encode()


def _find_address(endpoint: socket.socket) -> str:
    try:
        return str(endpoint.getpeername()[0])
    except (OSError, IndexError):  # the peer has already closed
        return ""
