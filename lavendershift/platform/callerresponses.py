"""Encoding of responses to callers."""

import json
from collections.abc import Callable, Sequence
from typing import Any

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    ResponseStartLine,
    responses,
)

from lavendershift.connectionreports import EndCause
from lavendershift.connections import reset_stream
from lavendershift.errors import Answer, Ran, RequestError
from lavendershift.gateway import is_being_cancelled
from lavendershift.platform import names
from lavendershift.platform.callerstreams import CallerStream

# Statuses that an error may keep if its request was not executed; others become 503.
NOT_EXECUTED_STATUSES = frozenset({400, 401, 402, 404, 413, 429, 503})


class CallerResponseWriter:
    """Writes one response to a caller, without a body for a HEAD request.

    ``should_close`` tells whether the response has to end its connection.
    """

    def __init__(
        self, connection: HTTPConnection, should_close: Callable[[], bool], method: str
    ) -> None:
        self._connection: Any = connection
        self._stream: CallerStream | None = getattr(connection, "stream", None)
        self._should_close = should_close
        self._has_body = method != "HEAD"
        self.has_started = False
        self.is_done = False

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed."""
        return self._stream is None or self._stream.closed()

    def send(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Send a complete response."""
        if self.is_done:
            return
        headers["Content-Length"] = str(len(body))
        self._write_head(status, headers, body if self._has_body else None)
        self.is_done = self.has_started = True
        self._end_response()

    def send_pieces(
        self, status: int, headers: HTTPHeaders, pieces: Sequence[bytearray]
    ) -> None:
        """Send a complete response with a long body, without copying it."""
        if self.is_done:
            return
        headers["Content-Length"] = str(sum(map(len, pieces)))
        self._write_head(status, headers, None)
        if self._has_body and not self.is_closed:
            for piece in pieces:
                self._connection.write(piece)
        self.is_done = self.has_started = True
        self._end_response()

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Begin a response whose body follows in chunks."""
        self.has_started = True
        self._write_head(status, headers, None)

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body; return once the socket has accepted it."""
        await self._connection.write(chunk)

    def finish(self) -> None:
        """End the response as complete."""
        self.is_done = True
        self._end_response()

    def _end_response(self) -> None:
        """Tell the connection that the response is complete, and flush it."""
        stream = self._stream
        if stream is not None:
            stream.note_response()
            if self._connection._disconnect_on_finish:
                stream.set_cause(EndCause.RESPONSE)
        self._connection.finish()

    def abort(self) -> None:
        """Reset the connection, so that the response can't be taken for complete."""
        if self.is_done:
            return
        self.is_done = True
        stream = self._stream
        if stream is not None and not stream.closed():
            if stream.cause is not EndCause.STOP:
                is_cancelled = is_being_cancelled()
                cause = EndCause.CANCELLED if is_cancelled else EndCause.TRUNCATED
                stream.set_cause(cause)
            reset_stream(stream)

    def refuse(self, error: RequestError) -> None:
        """Send the response for an error."""
        response = error.answer
        headers = HTTPHeaders({"Content-Type": "application/json"})
        if response.retry_after is not None and response.ran is Ran.NO:
            seconds = response.retry_after.total_seconds()
            headers[names.RETRY_AFTER] = f"{max(seconds, 0.05):.2f}"
        if choose_status(response) in (400, 413):
            headers["Connection"] = "close"
        body = json.dumps({"error": error.kind.value, "message": response.message})
        self.send(choose_status(response), headers, body.encode())

    def _write_head(
        self, status: int, headers: HTTPHeaders, body: bytes | None
    ) -> None:
        if self._should_close():
            headers["Connection"] = "close"
        if headers.get("Connection") == "close":
            # tornado has no public way to close after the response was flushed.
            self._connection._disconnect_on_finish = True
        reason = responses.get(status, "Unknown")
        line = ResponseStartLine("HTTP/1.1", status, reason)
        self._connection.write_headers(line, headers, body)


def choose_status(response: Answer) -> int:
    """Return the status that callers get for an error.

    Callers take 429 and 503 as proof that a request was not executed, so no other
    error may have them; 502 and 504 leave open whether it was.
    """
    if response.ran is Ran.NO:
        return response.status if response.status in NOT_EXECUTED_STATUSES else 503
    return 504 if response.status == 504 else 502
