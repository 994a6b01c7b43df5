"""Forwarding of an engine's response to the caller.

Streams are forwarded event by event. If the caller reads more slowly than the
engine sends, the transfer from the engine is paused.
"""

import asyncio
from datetime import timedelta

import msgspec
from tornado.httputil import HTTPHeaders

from lavendershift.allocators import HeldReservation
from lavendershift.completions import (
    END_OF_STREAM,
    CompletionRequest,
    CompletionStream,
    Usage,
    parse_usage,
)
from lavendershift.placement import Assignment, Placement
from lavendershift.sinks import ResponseSink
from lavendershift.upstreams import Delivery, Transfer, UpstreamResult

BUFFER_POLL = timedelta(milliseconds=10)  # interval of checks of the caller's buffer


class Attempt:
    """One attempt of a completion and the state of its response.

    ``servers_left`` is whether another server was available when it began.
    ``given_up`` is set if the deadline passes or the caller closes the
    connection; later chunks are not forwarded.
    """

    def __init__(
        self,
        number: int,
        held: HeldReservation,
        assignment: Assignment,
        servers_left: bool,
    ) -> None:
        self.number = number
        self.servers_left = servers_left
        self.id = assignment.attempt
        self.held = held
        self.assignment = assignment
        self.transfer = Transfer()
        self.usage: Usage | None = None
        self.is_complete = False
        self.given_up = False


class ResponseForwarder:
    """Forwards one attempt's response from the engine to the caller."""

    def __init__(
        self,
        attempt: Attempt,
        request: CompletionRequest,
        sink: ResponseSink,
        placement: Placement,
        max_buffered_bytes: int,
    ) -> None:
        self._attempt = attempt
        self._request = request
        self._sink = sink
        self._placement = placement
        self._max_buffered_bytes = max_buffered_bytes
        self._stream = CompletionStream(request.wants_usage)
        self._has_chunk = False
        self._resume_task: asyncio.Task[None] | None = None
        self._body = b""

    def handle_status(self, status: int, headers: HTTPHeaders) -> bool:
        """Return whether the response is an event stream to be forwarded."""
        if status != 200 or not self._request.stream:
            return False
        return headers.get("Content-Type", "").startswith("text/event-stream")

    def handle_chunk(self, chunk: bytes) -> None:
        """Forward the events completed by a chunk, unless the attempt was given up."""
        if not self._has_chunk:
            self._has_chunk = True
            self._placement.note_first_token(self._attempt.assignment)
        events = self._stream.feed(chunk)
        if events and not self._attempt.given_up and not self._sink.closed:
            if not self._sink.started:
                self._sink.begin(200, "text/event-stream", self._attempt.id)
            buffered = self._sink.write(events)
            if buffered > self._max_buffered_bytes:
                self._pause_transfer()
        self._update_attempt()

    def handle_result(self, result: UpstreamResult) -> None:
        """Record the end of the transfer, and the body if it is not streamed."""
        self._update_attempt()
        if self._request.stream or result.status != 200:
            return
        if result.delivery is not Delivery.ANSWERED:
            return
        try:
            data = msgspec.json.decode(result.body)
        except msgspec.DecodeError:
            return
        self._attempt.usage = parse_usage(data)
        self._attempt.is_complete = isinstance(data, dict) and "choices" in data
        self._body = result.body

    def can_resume(self, result: UpstreamResult) -> bool:
        """Return whether the remainder of a broken stream may be requested."""
        if not self._request.stream or self._sink.closed:
            return False
        broken = result.delivery is Delivery.UNKNOWN and result.status == 200
        return broken and not self._stream.complete and not self._stream.failed

    def prepare_resume(self) -> int:
        """Return the index of the first event to request."""
        return self._stream.restart()

    def finish(self) -> None:
        """End the caller's response as complete."""
        if self._attempt.given_up or self._sink.closed:
            return
        if self._request.stream:
            if not self._sink.started:
                self._sink.begin(200, "text/event-stream", self._attempt.id)
            self._sink.finish(END_OF_STREAM)
            return
        self._sink.begin(200, "application/json", self._attempt.id)
        self._sink.finish(self._body)

    def _update_attempt(self) -> None:
        self._attempt.usage = self._stream.usage
        self._attempt.is_complete = self._stream.complete and not self._stream.failed

    def _pause_transfer(self) -> None:
        self._attempt.transfer.pause()
        self._resume_task = asyncio.ensure_future(self._resume_when_drained())

    async def _resume_when_drained(self) -> None:
        while self._sink.write(b"") > self._max_buffered_bytes // 2:
            if self._sink.closed:
                break
            await asyncio.sleep(BUFFER_POLL.total_seconds())
        self._attempt.transfer.resume()
