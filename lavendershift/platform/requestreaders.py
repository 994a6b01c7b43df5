"""Readers of callers' requests, which pass them on once their body is complete.

What a request takes is counted in the budget. A caller isn't read until there is room,
and its request is refused if there is none in time.
"""

import asyncio
from collections.abc import Awaitable
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from lavendershift.decoding import MAX_INTEGER, parse_count
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.memory.budgets import SMALL_BYTES
from lavendershift.memory.waits import wait_for_room
from lavendershift.platform import names
from lavendershift.platform.callerrequests import (
    decode_request,
    measure_header,
    parse_api_key,
    parse_deadline,
)
from lavendershift.platform.callerstreams import FIELD_BYTES, CallerStream

if TYPE_CHECKING:
    from lavendershift.platform.callers import CallerServer

# Size up to which a body without a length is counted as it arrives. A longer one is
# counted like the largest.
UNSIZED_BYTES = 65_536
# What a body takes for each of its bytes: its pieces, and the whole that is sent.
BODY_COPIES = 2


class RequestReader(HTTPMessageDelegate):
    """Receives one request and passes it to the gateway."""

    def __init__(self, server: "CallerServer", connection: HTTPConnection) -> None:
        self._server = server
        self._connection: Any = connection
        self._start_line: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._chunks: list[bytes] = []
        self._size = 0
        self._counted = 0  # bytes of the body that were counted
        self._limit = 0
        self._is_refused = False
        self._is_read = False
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Check the header, and wait until there is room for the request."""
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
        self._counted = length
        stream = self.stream
        if stream is not None:
            key = parse_api_key(headers.get(names.AUTHORIZATION, ""))
            customer = self._server.find_customer(key) if key else ""
            self._server.budget.add_owner(stream.holding, customer)
        objects = measure_objects(headers)
        if objects > SMALL_BYTES and not self._has_room(objects):
            # The objects exist already, so that waiting would not hold less.
            self._headers = HTTPHeaders()
            if stream is not None and not stream.closed():
                stream.refuse_for_memory()
            return None
        return self._hold(objects + length * BODY_COPIES)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Collect a piece of the body, if there is room for it."""
        self._size += len(chunk)
        if self._size > self._limit:
            self._refuse(ErrorKind.TOO_LARGE)
            self._chunks.clear()
        if self._is_refused:
            return None
        self._chunks.append(chunk)
        if self._size <= self._counted:
            return None
        # Bodies without a length that each got a part of the room could all wait for
        # the rest of it.
        counted = self._size if self._size <= UNSIZED_BYTES else self._limit
        uncounted, self._counted = counted - self._counted, counted
        return self._hold(uncounted * BODY_COPIES)

    def _has_room(self, size: int) -> bool:
        """Return whether there is room, for which slow callers are ended."""
        stream, budget = self.stream, self._server.budget
        if stream is None or stream.closed():
            return False
        budget.evict_slow(stream.holding, size)
        return budget.has_room(stream.holding, size)

    def _hold(self, size: int) -> Awaitable[None] | None:
        """Count bytes of the request; the caller isn't read until there is room."""
        stream = self.stream
        if stream is None or stream.closed():
            return None
        if self._server.budget.has_room(stream.holding, size):
            stream.hold(size)
            return None
        return self._wait_for_room(stream, size)

    async def _wait_for_room(self, stream: CallerStream, size: int) -> None:
        budget, holding = self._server.budget, stream.holding
        longest = self._find_deadline()
        if await wait_for_room(budget, holding, size, self._is_ended, longest):
            stream.hold(size)
        elif not self._is_ended():
            stream.refuse_for_memory()

    def _find_deadline(self) -> timedelta:
        try:
            return parse_deadline(self._headers.get(names.DEADLINE_MS))
        except RequestError:
            return timedelta()  # the request is malformed

    def _is_ended(self) -> bool:
        return self._is_refused or self.stream is None or self.stream.closed()

    @property
    def _request_id(self) -> str:
        return self._headers.get(names.REQUEST_ID, "")

    @property
    def stream(self) -> CallerStream | None:
        """The connection's stream, while it has one."""
        return getattr(self._connection, "stream", None)

    def finish(self) -> None:
        """Pass on the request, as it is complete."""
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
                # Between its bytes and its end are turns of the event loop.
                self.stream.received_at,
            )
        except RequestError as error:
            self._server.refuse(writer, self._request_id, error)
            return
        self._task = self._server.start_serving(request, writer)
        self._connection.set_close_callback(self._task.cancel)

    def on_connection_close(self) -> None:
        """Drop the body of a request that stays incomplete."""
        self._chunks.clear()

    def refuse_remainder(self) -> None:
        """Refuse a request whose body isn't complete, as the process stops."""
        if not self._is_read and self.stream is not None and not self.stream.closed():
            self._refuse(ErrorKind.STOPPING)

    def _refuse(self, kind: ErrorKind) -> None:
        if not self._is_refused and self._start_line is not None:
            self._is_refused = True
            if self.stream is not None:
                self._server.budget.waiting.recheck(self.stream.holding)
            method = self._start_line.method
            writer = self._server.make_writer(self._connection, method)
            self._server.refuse(writer, self._request_id, RequestError(kind))


def measure_objects(headers: HTTPHeaders) -> int:
    """Return what the objects of a request's header take."""
    return sum(FIELD_BYTES + len(value) * 2 for _, value in headers.get_all())
