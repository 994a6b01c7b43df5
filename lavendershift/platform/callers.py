"""The wire towards callers: requests decoded, answers encoded.

Requests arrive on tornado's HTTP server and are handed to the gateway once
their body is whole. What could be read in two ways is refused with 400 and a
closed connection.
"""

import asyncio
import contextlib
import json
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
    responses,
)
from tornado.iostream import IOStream, StreamClosedError

from lavendershift.attempts import CallerRequest
from lavendershift.clocks import Clock
from lavendershift.connections import reset_stream
from lavendershift.errors import Answer, ErrorKind, Ran, RequestError
from lavendershift.gateway import Gateway
from lavendershift.platform import names
from lavendershift.routes import CallerLimits
from lavendershift.serverstates import PromptPart, PromptShape

SINGLE_HEADERS = (
    "Host",
    names.REQUEST_ID,
    names.DEADLINE_MS,
    names.PROMPT_PARTS,
    names.LAST_EVENT_ID,
    names.MODEL,
    names.TOKENS,
    names.AUTHORIZATION,
)
DEFAULT_DEADLINE = timedelta(seconds=30)  # of a request that names none
LONGEST_DEADLINE = timedelta(hours=1)  # a longer one is cut to it
CHUNK_BYTES = 65_536  # read from a caller at a time
NOT_RUN_STATUSES = frozenset({400, 401, 402, 404, 413, 429, 503})
READING_POLL_S = 0.02  # between looks for requests whose bodies come in
BODY_MARGIN = 1_048_576  # bytes above the limit that still get a proper answer


class CallerAnswers:
    """Writes one answer to a caller, without a body to a HEAD request."""

    def __init__(
        self, connection: HTTPConnection, closes: Callable[[], bool], method: str
    ) -> None:
        self._connection: Any = connection
        self._closes = closes
        self._has_body = method != "HEAD"
        self.has_started = False
        self.is_done = False

    def send(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Send a whole answer."""
        if self.is_done:
            return
        self.is_done = self.has_started = True
        headers["Content-Length"] = str(len(body))
        self._write_head(status, headers, body if self._has_body else None)
        self._connection.finish()

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Begin an answer whose body follows in parts."""
        self.has_started = True
        self._write_head(status, headers, None)

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; returns once the caller has taken it."""
        await self._connection.write(chunk)

    def finish(self) -> None:
        """End the answer as complete."""
        self.is_done = True
        self._connection.finish()

    def abort(self) -> None:
        """End the answer so that it can't be taken for complete."""
        if self.is_done:
            return
        self.is_done = True
        stream = getattr(self._connection, "stream", None)
        if stream is not None and not stream.closed():
            reset_stream(stream)

    def refuse(self, error: RequestError) -> None:
        """Send the answer of an error kind."""
        answer = error.answer
        headers = HTTPHeaders({"Content-Type": "application/json"})
        if answer.retry_after is not None and answer.ran is Ran.NO:
            seconds = answer.retry_after.total_seconds()
            headers[names.RETRY_AFTER] = f"{max(seconds, 0.05):.2f}"
        if choose_status(answer) in (400, 413):
            headers["Connection"] = "close"
        body = json.dumps({"error": error.kind.value, "message": answer.message})
        self.send(choose_status(answer), headers, body.encode())

    def _write_head(
        self, status: int, headers: HTTPHeaders, body: bytes | None
    ) -> None:
        if self._closes():
            headers["Connection"] = "close"
        if headers.get("Connection") == "close":
            # tornado has no public way to close after an answer was flushed.
            self._connection._disconnect_on_finish = True
        reason = responses.get(status, "Unknown")
        line = ResponseStartLine("HTTP/1.1", status, reason)
        self._connection.write_headers(line, headers, body)


def choose_status(answer: Answer) -> int:
    """Return the status for callers of an error kind's answer.

    429 and 503 say that a request did not run, so that nothing else may have
    them; 502 and 504 say nothing about it.
    """
    if answer.ran is Ran.NO:
        return answer.status if answer.status in NOT_RUN_STATUSES else 503
    return 504 if answer.status == 504 else 502


class _Message(HTTPMessageDelegate):
    """Collects one request and hands it to the gateway."""

    def __init__(self, server: "CallerServer", connection: HTTPConnection) -> None:
        self._server = server
        self._connection: Any = connection
        self._start_line: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._chunks: list[bytes] = []
        self._size = 0
        self._is_refused = False
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        assert isinstance(start_line, RequestStartLine)
        self._start_line, self._headers = start_line, headers
        self._server.note_reading(self)
        if start_line.version == "HTTP/1.0":
            # Only the connection's end marks the end of a stream. tornado keeps
            # the connection if these headers ask for it.
            headers["Connection"] = "close"
            self._connection._disconnect_on_finish = True
        length = headers.get("Content-Length", "0")
        if length.isdigit() and int(length) > self._server.find_body_limit():
            self._refuse(ErrorKind.TOO_LARGE)
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self._size += len(chunk)
        if self._size > self._server.find_body_limit():
            self._refuse(ErrorKind.TOO_LARGE)
        if not self._is_refused:
            self._chunks.append(chunk)
        return None

    @property
    def stream(self) -> IOStream | None:
        """The connection's stream, while it has one."""
        return getattr(self._connection, "stream", None)

    def finish(self) -> None:
        self._server.note_read(self)
        if self._is_refused or self._start_line is None:
            return
        if self.stream is None or self.stream.closed():
            # Bytes of a closed connection are read from the buffer, but their
            # answer would reach nobody.
            return
        method = self._start_line.method
        answers = self._server.make_answers(self._connection, method)
        try:
            request = decode_request(
                self._start_line,
                self._headers,
                b"".join(self._chunks),
                self._server.clock.elapsed(),
            )
        except RequestError as error:
            answers.refuse(error)
            return
        self._task = self._server.start_serving(request, answers, self.stream)
        self._connection.set_close_callback(self._task.cancel)

    def on_connection_close(self) -> None:
        self._server.note_read(self)
        self._chunks.clear()

    def _refuse(self, kind: ErrorKind) -> None:
        if not self._is_refused and self._start_line is not None:
            self._is_refused = True
            method = self._start_line.method
            answers = self._server.make_answers(self._connection, method)
            answers.refuse(RequestError(kind))


class CallerServer(HTTPServerConnectionDelegate):
    """Listens for callers and runs their requests through the gateway."""

    def __init__(self, clock: Clock, gateway: Gateway) -> None:
        self.clock = clock
        self._gateway = gateway
        self._http: _CallerHttpServer | None = None
        self._is_leaving = False
        self._active: dict[asyncio.Task[None], IOStream | None] = {}
        self._reading: set[_Message] = set()
        self._streams: WeakSet[IOStream] = WeakSet()

    def listen(self, address: str) -> None:
        """Listen on ``address``."""
        self._http = _CallerHttpServer(self, chunk_size=CHUNK_BYTES)
        self._http.on_stream = self.note_stream
        self.update_limits(self._gateway.find_limits())
        host, _, port = address.rpartition(":")
        self._http.listen(int(port), address=host, backlog=1024)

    def update_limits(self, limits: CallerLimits) -> None:
        """Put limits in force, also for connections that are open.

        Callers reuse connections for most of the idle time, so that closing
        them sooner would cut requests.
        """
        if self._http is None:
            return
        parameters = self._http.conn_params
        parameters.header_timeout = limits.idle_timeout.total_seconds()
        parameters.max_header_size = limits.header_bytes
        parameters.max_body_size = limits.body_bytes + BODY_MARGIN

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate of one request."""
        return _Message(self, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Do nothing: requests learn of a close by their own callbacks."""

    def make_answers(self, connection: HTTPConnection, method: str) -> CallerAnswers:
        """Return the writer of the answer to a request of ``method``."""
        return CallerAnswers(connection, lambda: self._is_leaving, method)

    def find_body_limit(self) -> int:
        """Return the largest body that is taken, in bytes."""
        return self._gateway.find_limits().body_bytes

    def note_stream(self, stream: IOStream) -> None:
        """Note a caller's new connection."""
        self._streams.add(stream)

    def note_reading(self, message: _Message) -> None:
        """Note that the head of a request was read."""
        self._reading.add(message)

    def note_read(self, message: _Message) -> None:
        """Note that a request was read to its end, or won't be."""
        self._reading.discard(message)

    def start_serving(
        self,
        request: CallerRequest,
        answers: CallerAnswers,
        stream: IOStream | None = None,
    ) -> asyncio.Task[None]:
        """Run one request to its end, in a task of its own."""
        task = asyncio.ensure_future(self._serve(request, answers))
        self._active[task] = stream
        task.add_done_callback(lambda task: self._active.pop(task, None))
        return task

    async def _serve(self, request: CallerRequest, answers: CallerAnswers) -> None:
        with contextlib.suppress(StreamClosedError):  # the caller went away
            await self._gateway.serve(request, answers)

    def announce_leaving(self) -> None:
        """Have each further answer end its connection."""
        self._is_leaving = True

    def stop_listening(self) -> None:
        """Take no more connections, and no requests of those that are kept.

        Callers may go on using a kept connection until the process is gone.
        """
        self._gateway.is_stopping = True
        if self._http is not None:
            self._http.stop()

    async def end_connections(self, timeout: timedelta) -> int:
        """Wait until no request runs, and close what is idle then.

        Kept connections bring requests until they are closed, so the last look
        and the closing happen in one turn. Returns how many requests still run.
        """
        deadline = self.clock.elapsed() + timeout
        while self._active or self._reading:
            left = (deadline - self.clock.elapsed()).total_seconds()
            if left <= 0:
                break
            await asyncio.wait(
                {*self._active, asyncio.ensure_future(asyncio.sleep(READING_POLL_S))},
                timeout=left,
                return_when=asyncio.FIRST_COMPLETED,
            )
        busy = {*self._active.values(), *(m.stream for m in self._reading)}
        for stream in list(self._streams):
            # One that still writes is closed by its answer.
            if stream not in busy and not stream.writing():
                stream.close()
        return len(self._active)


class _CallerHttpServer(HTTPServer):
    """Hands requests to a connection delegate, without buffering answers."""

    on_stream: Callable[[IOStream], None]

    def handle_stream(self, stream: IOStream, address: Any) -> None:  # type: ignore[override]
        stream.set_nodelay(True)
        self.on_stream(stream)
        super().handle_stream(stream, address)


def decode_request(
    start_line: RequestStartLine, headers: HTTPHeaders, body: bytes, now: timedelta
) -> CallerRequest:
    """Return a request; raises ``RequestError`` for one that is ambiguous."""
    for name in SINGLE_HEADERS:
        if len(headers.get_list(name)) > 1:
            raise RequestError(ErrorKind.INVALID_REQUEST, f"repeated {name}")
    return CallerRequest(
        id=headers.get(names.REQUEST_ID, ""),
        method=start_line.method,
        target=start_line.path,
        host=headers.get("Host", "").partition(":")[0].lower(),
        headers=select_headers(headers),
        body=body,
        key=find_key(headers.get(names.AUTHORIZATION, "")),
        received=now,
        deadline=now + find_deadline(headers.get(names.DEADLINE_MS)),
        prompt=decode_prompt(headers),
        resumed_after=headers.get(names.LAST_EVENT_ID, ""),
    )


def find_key(value: str) -> str:
    """Return the key of an ``Authorization`` header, or an empty text."""
    scheme, _, key = value.strip().partition(" ")
    return key.strip() if scheme.lower() == names.KEY_SCHEME else ""


def find_deadline(value: str | None) -> timedelta:
    """Return how long a caller waits; raises ``RequestError``."""
    if value is None:
        return DEFAULT_DEADLINE
    try:
        deadline = timedelta(milliseconds=float(value))
    except (ValueError, OverflowError):
        raise RequestError(ErrorKind.INVALID_REQUEST, "deadline") from None
    return min(max(deadline, timedelta()), LONGEST_DEADLINE)


def decode_prompt(headers: HTTPHeaders) -> PromptShape | None:
    """Return a prompt's sizes and parts; raises ``RequestError``."""
    tokens = headers.get(names.TOKENS)
    if tokens is None:
        return None
    try:
        read, written = (int(number) for number in tokens.split(","))
        parts = tuple(
            PromptPart(part.partition(":")[0].strip(), int(part.partition(":")[2]))
            for part in headers.get(names.PROMPT_PARTS, "").split(",")
            if part.strip()
        )
    except ValueError:
        raise RequestError(ErrorKind.INVALID_REQUEST, "sizes of the prompt") from None
    if read < 0 or written < 0:
        raise RequestError(ErrorKind.INVALID_REQUEST, "sizes of the prompt")
    return PromptShape(parts, read, written)


def select_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Return the headers that are passed on to a server."""
    named = {
        name.strip().lower()
        for value in headers.get_list("Connection")
        for name in value.split(",")
    } - names.PROTECTED_HEADERS
    selected = HTTPHeaders()
    for name, value in headers.get_all():
        lowered = name.lower()
        if (
            lowered not in names.SYSTEM_HEADERS
            and lowered not in names.CONNECTION_HEADERS
            and lowered not in named
        ):
            selected.add(name, value)
    return selected
