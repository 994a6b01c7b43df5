"""A stand-in for a backend server of the platform, with scripted responses.

Each request takes the next behaviour from the script, a coroutine that writes any
bytes to the connection. Once the script is empty, a request gets the default
behaviour, which sends a complete response::

    server = PlatformServer("i-1")
    server.script.append(answer_not_run)
"""

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import NamedTuple

from lavendershift_standins.heldwriters import HeldWriter
from lavendershift_standins.refusalcopies import (
    ChangeCopy,
    ChooseDelay,
    RefusalCopies,
    keep_whole,
    send_no_copy,
)

ATTEMPT_ID_HEADER = "x-lavendershift-attempt-id"
EXPECTED_SERVER_HEADER = "x-lavendershift-expect-instance"
PROMPT_HEADER = "x-lavendershift-prompt-prefix"
LAST_CHUNK = b"0\r\n\r\n"
MAX_SILENCE_S = 3600.0  # the event loop takes no infinite delay


class ReceivedRequest(NamedTuple):
    """A request that the server received.

    ``is_leaving`` adds a ``Server-Leaving`` header to the response and ``limit`` a
    ``Server-Limit``; ``at`` is the monotonic time in seconds at which the request was
    complete.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    is_leaving: bool = False
    at: float = 0.0
    limit: str = ""

    @property
    def id(self) -> str:
        """The attempt id of the request, empty if it has none."""
        return self.headers.get(ATTEMPT_ID_HEADER, "")

    @property
    def parts(self) -> list[str]:
        """The ids of the parts of the prompt."""
        entries = self.headers.get(PROMPT_HEADER, "").split(",")
        return [entry.partition(":")[0].strip() for entry in entries if entry]


class HandledRequest:
    """A request, its behaviour, and the monotonic times of what happened to it.

    ``sent_at`` is the time of the first byte of the response, ``delivered_at`` that of
    its first event, or its end, or of the first byte of another body, ``ended_at`` that
    of its end, and ``closed_at`` that of the end of the connection, if it was the last
    there. With ``was_left``, the client closed the connection before; with ``was_cut``,
    it did so while the server was still responding. With ``is_behind_part``, a part of
    a copied refusal was sent before. ``written`` are the bytes of the response up to
    its first event or the first byte of another body.
    """

    def __init__(self, received: ReceivedRequest, behaviour: "Behaviour") -> None:
        self.received = received
        self.behaviour = behaviour
        self.sent_at: float | None = None
        self.delivered_at: float | None = None
        self.ended_at: float | None = None
        self.closed_at: float | None = None
        self.was_left = False
        self.was_cut = False
        self.is_behind_part = False
        self.written = b""

    def note_written(self, data: bytes) -> None:
        """Record the time of ``data``, bytes of the response that were sent."""
        now = time.monotonic()
        self.sent_at = self.sent_at or now
        if self.delivered_at is not None:
            return
        self.written += data
        head, _, body = self.written.partition(b"\r\n\r\n")
        if b"text/event-stream" in head:
            has_delivered = b"\n\n" in body or body.endswith(LAST_CHUNK)
        else:
            has_delivered = bool(body)
        if has_delivered and head.startswith(b"HTTP/1.1 2"):
            self.delivered_at = now


class CrashOutput(Enum):
    """What a server sends of a response before it crashes."""

    NOTHING = "nothing"
    HEAD = "head"
    PARTIAL_EVENT = "partial event"


Behaviour = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


class PlatformServer:
    """Listens on the loopback interface and responds by its script.

    All responses have a ``Server-Limit`` header with the value of ``limit``, unless
    that is empty. ``connections`` counts the accepted connections, ``closed`` those
    that the client closed, during a response or between requests, or that a behaviour
    closed. ``crash_parts`` are parts of prompts with which the server crashes after
    ``read_s`` seconds, and ``crash_output`` what it sends of the response before.
    A crash resets the connections, or closes them if ``resets_at_crash`` is false, and
    calls ``on_crash``. ``fall_silent`` stops all output for a time, as if the process
    had been stopped, and ``silences`` holds the monotonic times of each silence.
    With ``checks_name``, requests for a server of another name get 421.
    ``choose_refusal`` may return a behaviour that refuses a request of the default
    behaviour. ``choose_copy_delay`` may let refusals be sent twice and ``change_copy``
    change their copies, see ``RefusalCopies``, and ``copies`` counts those sent twice.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.script: list[Behaviour] = []
        self.default: Behaviour = answer_complete
        self.received: list[ReceivedRequest] = []
        self.handled: list[HandledRequest] = []
        self.runs: list[str] = []  # attempt ids of requests that weren't rejected
        self.limit = ""
        self.crash_parts: set[str] = set()
        self.crash_output = CrashOutput.HEAD
        self.resets_at_crash = True
        self.read_s = 0.0
        self.checks_name = False
        self.choose_refusal: Callable[[], Behaviour | None] = refuse_nothing
        self.choose_copy_delay: ChooseDelay = send_no_copy
        self.change_copy: ChangeCopy = keep_whole
        self.copies = 0
        self.crashed_at: float | None = None
        self.closed = 0
        self.connections = 0
        self.port = 0
        self.on_crash: Callable[[], None] = lambda: None
        self._server: asyncio.Server | None = None
        self.silences: list[tuple[float, float]] = []
        self._writers: set[HeldWriter] = set()
        self._goes_on: asyncio.TimerHandle | None = None

    async def start(self, port: int = 0) -> None:
        """Listen on ``port``, or on a free one."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def crash(self) -> None:
        """End all connections and refuse new ones, as if the process had ended."""
        if self._server is None or self.crashed_at is not None:
            return
        self.crashed_at = time.monotonic()
        self._server.close()
        for writer in list(self._writers):
            if self.resets_at_crash:
                abort(writer)
            else:
                writer.close()
        self.on_crash()

    def fall_silent(self, seconds: float = float("inf")) -> None:
        """Send nothing for ``seconds``, then go on with all responses.

        Connections are accepted and requests received meanwhile. A silence without
        end lasts until ``go_on``.
        """
        if self._goes_on is not None:
            self._goes_on.cancel()
        loop = asyncio.get_running_loop()
        now = time.monotonic()
        self.silences.append((now, now + seconds))
        self._goes_on = loop.call_later(min(seconds, MAX_SILENCE_S), self.go_on)
        for writer in self._writers:
            writer.hold()

    @property
    def is_silent(self) -> bool:
        """Whether the server is in a silence."""
        return self._goes_on is not None

    def go_on(self) -> None:
        """End a silence."""
        if self._goes_on is None:
            return
        self._goes_on.cancel()
        self._goes_on = None
        self.silences[-1] = (self.silences[-1][0], time.monotonic())
        for writer in list(self._writers):
            writer.release()

    async def restart(self) -> None:
        """Listen again after a crash, on another port."""
        self.crashed_at = None
        await self.start()

    def _count_copy(self) -> None:
        self.copies += 1

    def _choose_behaviour(self, received: ReceivedRequest) -> "Behaviour":
        expected = received.headers.get(EXPECTED_SERVER_HEADER, self.name)
        if self.checks_name and expected != self.name:
            return answer_misdirected
        if self.script:
            return self.script.pop(0)
        return self.choose_refusal() or self.default

    async def _answer_with_crash(
        self, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(self.read_s)
        headers = {"Content-Type": "text/event-stream"}
        if self.crash_output is not CrashOutput.NOTHING:
            writer.write(make_head(received, 200, headers))
        if self.crash_output is CrashOutput.PARTIAL_EVENT:
            writer.write(make_event(1)[:7])
        await writer.drain()
        await asyncio.sleep(0.01)
        self.crash()
        raise ConnectionError

    @property
    def address(self) -> str:
        """The address as ``host:port``."""
        return f"127.0.0.1:{self.port}"

    async def _serve(
        self, reader: asyncio.StreamReader, accepted: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        writer = HeldWriter(accepted)
        if self._goes_on is not None:
            writer.hold()
        self._writers.add(writer)
        copies = RefusalCopies(
            accepted,
            lambda: self.choose_copy_delay(),
            self._count_copy,
            lambda refusal: self.change_copy(refusal),
        )
        handled = None
        try:
            while True:
                received = await read_request(reader)
                received = received._replace(limit=self.limit)
                self.received.append(received)
                behaviour = self._choose_behaviour(received)
                if not self.crash_parts.isdisjoint(received.parts):
                    behaviour = self._answer_with_crash
                handled = HandledRequest(received, behaviour)
                self.handled.append(handled)
                if not is_refusal(behaviour):
                    self.runs.append(received.id)
                copies.begin_request()
                responding = asyncio.ensure_future(respond(handled, writer, copies))
                closing = asyncio.ensure_future(wait_for_close(reader))
                await asyncio.wait(
                    {responding, closing}, return_when=asyncio.FIRST_COMPLETED
                )
                closing.cancel()
                handled.ended_at = time.monotonic()
                handled.was_left = is_closed(reader)
                handled.was_cut = not responding.done()
                handled.is_behind_part = copies.is_broken
                if handled.was_cut:
                    responding.cancel()
                    self.closed += 1
                    return
                await responding
                copies.end_response()
                if is_refusal(behaviour):
                    copies.add(handled.written)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
            if handled is not None:
                handled.closed_at = time.monotonic()
        finally:
            await writer.wait_released()
            self._writers.discard(writer)
            with contextlib.suppress(ConnectionError):
                writer.close()


def refuse_nothing() -> None:
    """Choose no refusal."""


async def respond(
    handled: HandledRequest, writer: HeldWriter, copies: RefusalCopies
) -> None:
    """Respond to one request, after a silence of the server."""
    await writer.wait_released()

    def note_written(data: bytes) -> None:
        copies.begin_response()
        handled.note_written(data)

    writer.on_write = note_written
    await handled.behaviour(handled.received, writer)


async def wait_for_close(reader: asyncio.StreamReader) -> None:
    """Wait until the client closes the connection."""
    while not is_closed(reader):
        await asyncio.sleep(0.005)


def is_closed(reader: asyncio.StreamReader) -> bool:
    """Return whether the client has closed or reset the connection."""
    return reader.at_eof() or reader.exception() is not None


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    """Read one request with a body of ``Content-Length`` bytes."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    lines = head.split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(method, target, headers, body, at=time.monotonic())


def is_refusal(behaviour: Behaviour) -> bool:
    """Return whether a behaviour rejects the request without running it."""
    if isinstance(behaviour, RetryLater):
        return behaviour.status == 503
    if isinstance(behaviour, Refusal):
        return True
    return behaviour in (answer_not_run, answer_misdirected)


def make_head(received: ReceivedRequest, status: int, headers: dict[str, str]) -> bytes:
    """Return the status line and headers of a response to ``received``."""
    lines = [f"HTTP/1.1 {status} -", f"X-Lavendershift-Attempt-Id: {received.id}"]
    lines.append(f"X-Lavendershift-Response-Signature: sign-{received.id}")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if received.is_leaving:
        lines.append("Server-Leaving: 1")
    if received.limit:
        lines.append(f"Server-Limit: {received.limit}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def answer_complete(
    received: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a complete response whose body holds the attempt id."""
    body = f"done {received.id}".encode()
    head = make_head(received, 200, {"Content-Length": str(len(body))})
    writer.write(head + body)


def work_first(behaviour: Behaviour, work_s: float) -> Behaviour:
    """Respond like ``behaviour`` after some work."""

    async def behave(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(work_s)
        await behaviour(received, writer)

    return behave


async def answer_not_run(
    received: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Reject a request with 503 without running it."""
    headers = {"Content-Length": "0", "X-Lavendershift-Not-Executed": "1"}
    writer.write(make_head(received, 503, headers))


def announce_leaving(behaviour: Behaviour) -> Behaviour:
    """Respond like ``behaviour``, with a ``Server-Leaving`` header added."""

    async def behave(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await behaviour(received._replace(is_leaving=True), writer)

    return behave


class RetryLater:
    """Respond with ``Retry-After``, the seconds without further requests.

    With status 503, a header also says that the request wasn't run.
    ``answered`` holds the attempt id and the monotonic time in seconds of each
    response.
    """

    def __init__(self, retry_after: str, status: int = 503) -> None:
        self.answered: list[tuple[str, float]] = []
        self.status = status
        self._retry_after = retry_after

    async def __call__(
        self, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to one request."""
        headers = {"Content-Length": "0", "Retry-After": self._retry_after}
        if self.status == 503:
            headers["X-Lavendershift-Not-Executed"] = "1"
        writer.write(make_head(received, self.status, headers))
        self.answered.append((received.id, time.monotonic()))


class Refusal:
    """Refuse requests with a status and the header that says they weren't run."""

    def __init__(self, status: int) -> None:
        self._status = status

    async def __call__(
        self, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to one request."""
        headers = {"Content-Length": "0", "X-Lavendershift-Not-Executed": "1"}
        writer.write(make_head(received, self._status, headers))


async def answer_error(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Respond 500 to a request that ran."""
    writer.write(make_head(received, 500, {"Content-Length": "5"}) + b"error")


async def answer_misdirected(
    received: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Respond 421: the request was meant for another server."""
    writer.write(make_head(received, 421, {"Content-Length": "0"}))


async def answer_other_request_first(
    received: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send a response with another attempt id before the right one.

    It imitates a duplicate response to an earlier request that arrives late.
    """
    other = received._replace(headers={ATTEMPT_ID_HEADER: "other"})
    await answer_complete(other, writer)
    await answer_complete(received, writer)


async def answer_with_extra(
    received: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send excess bytes after a complete response."""
    await answer_complete(received, writer)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz")


async def keep_silent(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send nothing for 60 seconds."""
    await asyncio.sleep(60)


async def reset(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Reset the connection: a linger time of 0 sends RST in place of FIN."""
    abort(writer)
    raise ConnectionError


def abort(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    endpoint: socket.socket = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):  # the connection has ended already
        endpoint.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


async def send_invalid_http(
    received: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send bytes that aren't an HTTP response, and close the connection."""
    writer.write(b"\x00\x01 not http\r\n\r\n")
    raise ConnectionError


async def close(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Close the connection without a reset."""
    raise ConnectionError


async def send_last_chunk(
    received: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send the last chunk of a chunked body."""
    writer.write(LAST_CHUNK)


def answer_with_media_type(status: int, media_type: str) -> Behaviour:
    """Send a complete response of ``media_type`` whose body holds no events."""

    async def behave(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        body = f'{{"done": "{received.id}"}}'.encode()
        headers = {"Content-Type": media_type, "Content-Length": str(len(body))}
        writer.write(make_head(received, status, headers) + body)

    return behave


def answer_unframed(is_clean: bool) -> Behaviour:
    """Send a body without a length; end it by a close if ``is_clean``, else a reset."""

    async def behave(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(make_head(received, 200, {}) + b"all of it")
        await writer.drain()
        await asyncio.sleep(0.05)
        if not is_clean:
            await reset(received, writer)
        raise ConnectionError

    return behave


def make_event(number: int) -> bytes:
    """Return event ``number`` of a stream, in the server-sent events format."""
    return f"id: {number}\ndata: piece-{number}\n\n".encode()


def stream(
    count: int,
    pause_s: float = 0.0,
    cut_after: int | None = None,
    partial: int = 7,
    cut: Behaviour = reset,
    is_chunked: bool = True,
    resumed: Behaviour | None = None,
) -> Behaviour:
    """Send events ``1`` to ``count``, from the one after ``Last-Event-Id`` on.

    ``cut_after`` truncates the stream: that many events are followed by the first
    ``partial`` bytes of the next one and by the behaviour ``cut``, which may never
    return. ``resumed`` handles requests with a ``Last-Event-Id`` in place of the
    stream.
    """

    async def behave(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        first = int(received.headers.get("last-event-id", "0")) + 1
        if resumed is not None and first > 1:
            await resumed(received, writer)
            return
        headers = {"Content-Type": "text/event-stream"}
        if is_chunked:
            headers["Transfer-Encoding"] = "chunked"
        writer.write(make_head(received, 200, headers))
        for number in range(first, count + 1):
            if cut_after is not None and number - first >= cut_after:
                write_part(writer, make_event(number)[:partial], is_chunked)
                await writer.drain()
                await asyncio.sleep(0.05)
                await cut(received, writer)
                return
            write_part(writer, make_event(number), is_chunked)
            await writer.drain()
            if pause_s:
                await asyncio.sleep(pause_s)
        await (send_last_chunk if is_chunked else close)(received, writer)

    return behave


def ignore_last_event_id(behaviour: Behaviour) -> Behaviour:
    """Respond like ``behaviour`` to a request without ``Last-Event-Id``."""

    async def behave(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        headers = {k: v for k, v in received.headers.items() if k != "last-event-id"}
        await behaviour(received._replace(headers=headers), writer)

    return behave


def write_part(writer: asyncio.StreamWriter, data: bytes, is_chunked: bool) -> None:
    """Write a part of a body, as a chunk if the body is chunked."""
    if not is_chunked:
        writer.write(data)
    elif data:
        write_chunk(writer, data)


def write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Write one chunk of a chunked body."""
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
