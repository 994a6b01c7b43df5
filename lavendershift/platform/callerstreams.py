"""Connections of callers: their timeouts, and reports of how they end.

An idle connection is closed after the idle timeout, and one on which a header has begun
is refused after the header timeout. Before that, bytes that arrived meanwhile are read.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from lavendershift.clocks import Clock
from lavendershift.connectionreports import ConnectionEnd, EndCause, Stage
from lavendershift.routes import CallerLimits

CHUNK_BYTES = 65_536  # maximum size of one read from a caller
# Stages in which the id of the latest request is known.
NAMED_STAGES = frozenset({Stage.BODY, Stage.IN_FLIGHT, Stage.SENDING})
# Time until a timeout is checked again, for bytes that arrived at its end to be read.
RECHECK_TIME = timedelta(milliseconds=20)
MIN_CHECK_INTERVAL = timedelta(milliseconds=100)
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
# Time in which bytes are still received after a response that closes, see RFC 9112,
# section 9.6.
LINGER_TIME = timedelta(seconds=3)


class CallerStream(IOStream):
    """A caller's connection; ``on_end`` is called once, just before it is closed."""

    def __init__(
        self,
        endpoint: socket.socket,
        clock: Clock,
        find_limits: Callable[[], CallerLimits],
        on_end: Callable[[ConnectionEnd], None],
    ) -> None:
        super().__init__(endpoint, read_chunk_size=CHUNK_BYTES)
        self._clock = clock
        self._find_limits = find_limits
        self._on_end = on_end
        self._opened = self._idle_since = clock.elapsed()
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

    def note_header(self, request_id: str) -> None:
        """Note that a request's header was read."""
        self._time_limit = None
        self._stage = Stage.BODY
        self._request_id = request_id

    def note_request(self) -> None:
        """Note that a request was read completely."""
        self._stage = Stage.IN_FLIGHT

    def note_response(self) -> None:
        """Note that a request's complete response, or its refusal, was written."""
        self._stage = Stage.IDLE
        self._served += 1
        self._idle_since = self._clock.elapsed()

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
        try:
            received = super().read_from_fd(buf)
        except OSError:
            self._was_ended_by_caller = True
            raise
        self._was_ended_by_caller = received == 0
        if received and self._is_waiting:
            self._begin_header()
        return received

    def close(self, exc_info: Any = False) -> None:
        """Close the connection, and report its end."""
        if not self.closed():
            self._timer.cancel()
            error = exc_info if isinstance(exc_info, BaseException) else self.error
            self._cause = self._find_cause(error)
            self._report(self._cause, error)
        super().close(exc_info)

    def close_fd(self) -> None:
        """Close the socket, after the caller if it may have to read a response."""
        if self._cause in LINGERING_CAUSES or self._has_refused:
            endpoint, self.socket = self.socket, None  # type: ignore[assignment]
            discard_remainder(endpoint)
        else:
            super().close_fd()

    def _begin_header(self) -> None:
        self._is_waiting = False
        self._start_timer(self._find_limits().header_timeout)

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
        if self._time_limit is not None and self.reading():
            remaining = self._time_limit - (self._clock.elapsed() - self._timed_since)
            if remaining <= timedelta():
                if not self.has_unread():
                    self._close_late()
                    return
                remaining = RECHECK_TIME
            interval = min(interval, remaining)
        self._timer = self._schedule(interval)

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


def discard_remainder(endpoint: socket.socket) -> None:
    """Send the end of a connection, and close it once the peer has ended it too.

    Closing a socket with unread bytes resets the connection, and the peer may then lose
    the response that was sent before.
    """
    loop = asyncio.get_running_loop()

    def discard() -> None:
        try:
            if endpoint.recv(CHUNK_BYTES):
                return
        except BlockingIOError:
            return
        except OSError:
            pass  # the peer reset the connection
        end()

    def end() -> None:
        loop.remove_reader(endpoint)
        timer.cancel()
        endpoint.close()

    try:
        endpoint.shutdown(socket.SHUT_WR)
    except OSError:  # the peer reset the connection
        endpoint.close()
        return
    timer = loop.call_later(LINGER_TIME.total_seconds(), end)
    loop.add_reader(endpoint, discard)
