"""Connections of callers, which note what they carry and report how they end."""

import socket
from collections.abc import Callable
from typing import Any

from tornado.iostream import IOStream, UnsatisfiableReadError

from lavendershift.clocks import Clock
from lavendershift.connectionreports import ConnectionEnd, EndCause, Stage

CHUNK_BYTES = 65_536  # maximum size of one read from a caller
# Stages in which the id of the latest request is known.
NAMED_STAGES = frozenset({Stage.BODY, Stage.IN_FLIGHT, Stage.SENDING})


class CallerStream(IOStream):
    """A caller's connection; ``on_end`` is called once, just before it is closed."""

    def __init__(
        self,
        endpoint: socket.socket,
        clock: Clock,
        on_end: Callable[[ConnectionEnd], None],
    ) -> None:
        super().__init__(endpoint, read_chunk_size=CHUNK_BYTES)
        self._clock = clock
        self._on_end = on_end
        self._opened = self._idle_since = clock.elapsed()
        self._served = 0
        self._stage = Stage.IDLE
        self._request_id = ""
        self._was_ended_by_caller = False
        self._cause: EndCause | None = None

    def note_header(self, request_id: str) -> None:
        """Note that a request's header was read."""
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
        return received

    def close(self, exc_info: Any = False) -> None:
        """Close the connection, and report its end."""
        if not self.closed():
            self._report(exc_info)
        super().close(exc_info)

    def _report(self, exc_info: Any) -> None:
        now = self._clock.elapsed()
        error = exc_info if isinstance(exc_info, BaseException) else self.error
        unread_bytes = self._read_buffer_size + self._peek()
        stage = self._find_stage(unread_bytes)
        is_named = stage in NAMED_STAGES or self._cause is EndCause.RESPONSE
        self._on_end(
            ConnectionEnd(
                self._find_cause(error),
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
            return EndCause.LARGE_HEADER
        if self._cause is not None:
            return self._cause
        if error is not None:
            return EndCause.FAILED
        if self._stage is not Stage.IDLE or not self.reading():
            return EndCause.MALFORMED
        return EndCause.HEADER_TIMER if self._read_buffer_size else EndCause.IDLE_TIMER

    def _find_stage(self, unread_bytes: int) -> Stage:
        if self._stage is not Stage.IDLE:
            return self._stage
        if self.writing():
            return Stage.SENDING
        if self._cause is EndCause.RESPONSE or not unread_bytes:
            return Stage.IDLE
        return Stage.HEADER if self._read_buffer_size else Stage.UNREAD

    def _peek(self) -> int:
        """Return how many received bytes aren't read, up to the size of one read."""
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return len(self.socket.recv(CHUNK_BYTES, flags))
        except OSError:
            return 0
