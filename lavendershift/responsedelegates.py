"""Receives the parts of one response from tornado, and passes them to its reader."""

import asyncio
import re
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Protocol

from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

MAX_RESPONSE_BYTES = 64 * 1024 * 1024  # size at which a response is cut off
RESPONSE_STATUSES = range(100, 600)
LAST_INFORMATIONAL_STATUS = 199
MAX_INFORMATIONAL_RESPONSES = 8  # 1xx responses accepted before the final one
# Time that a body which isn't needed may take, so that its connection can be kept.
UNNEEDED_BODY_TIMEOUT = timedelta(milliseconds=100)
STATUS_LINE = re.compile(r"HTTP/\d\.\d \d{3}\b")


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


class ResponseDelegate(HTTPMessageDelegate):
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
        """Check a head, and pass on that of the final response."""
        assert isinstance(start_line, ResponseStartLine)
        if has_second_head(start_line.reason, headers):
            self._fail("two joined heads")
            return None
        if start_line.code not in RESPONSE_STATUSES:
            self._fail("malformed status")
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
        """Pass on a piece of the body."""
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
        """Note the end of the response."""
        self._end(True)

    def on_connection_close(self) -> None:
        """Note that the connection ended within the response."""
        self._end(False)


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
