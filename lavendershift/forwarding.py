"""Carrying an engine's answer to the caller, chunk by chunk."""

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
from lavendershift.placement import Placed, Placement
from lavendershift.sinks import AnswerSink
from lavendershift.upstreams import Delivery, Transfer, UpstreamResult

TAKEN_POLL = timedelta(milliseconds=10)  # between looks at what a caller has taken


class Attempt:
    """One attempt of a completion and what is known of its answer."""

    def __init__(self, number: int, held: HeldReservation, placed: Placed) -> None:
        self.number = number
        self.id = placed.attempt
        self.held = held
        self.placed = placed
        self.transfer = Transfer()
        self.usage: Usage | None = None
        self.whole = False
        self.late = False


class AnswerForwarder:
    """Carries one attempt's answer from the engine to the caller."""

    def __init__(
        self,
        attempt: Attempt,
        request: CompletionRequest,
        sink: AnswerSink,
        placement: Placement,
        max_buffered_bytes: int,
    ) -> None:
        self._attempt = attempt
        self._request = request
        self._sink = sink
        self._placement = placement
        self._max_buffered_bytes = max_buffered_bytes
        self._stream = CompletionStream(request.wants_usage)
        self._begun = False
        self._resuming: asyncio.Task[None] | None = None
        self._body = b""

    def take_status(self, status: int, headers: HTTPHeaders) -> bool:
        """Begin the answer; whether its body is handed over in chunks."""
        if status != 200 or not self._request.stream:
            return False
        return headers.get("Content-Type", "").startswith("text/event-stream")

    def take_chunk(self, chunk: bytes) -> None:
        """Forward a chunk of a stream, unless the attempt was given up."""
        if not self._begun:
            self._begun = True
            self._placement.note_first_token(self._attempt.placed)
        events = self._stream.feed(chunk)
        if events and not self._attempt.late and not self._sink.closed:
            if not self._sink.started:
                self._sink.begin(200, "text/event-stream", self._attempt.id)
            waiting = self._sink.write(events)
            if waiting > self._max_buffered_bytes:
                self._hold_back()
        self._note_stream()

    def take_result(self, result: UpstreamResult) -> None:
        """Note the end of the transfer, with the body of a plain answer."""
        self._note_stream()
        if self._request.stream or result.status != 200:
            return
        if result.delivery is not Delivery.ANSWERED:
            return
        try:
            data = msgspec.json.decode(result.body)
        except msgspec.DecodeError:
            return
        self._attempt.usage = parse_usage(data)
        self._attempt.whole = isinstance(data, dict) and "choices" in data
        self._body = result.body

    def can_resume(self, result: UpstreamResult) -> bool:
        """Whether the rest of a broken stream may be had from the engine."""
        if not self._request.stream or self._sink.closed:
            return False
        broken = result.delivery is Delivery.UNKNOWN and result.status == 200
        return broken and not self._stream.complete and not self._stream.failed

    def prepare_resume(self) -> int:
        """Return the number of the event to ask for."""
        return self._stream.restart()

    def finish(self) -> None:
        """End the caller's answer as complete."""
        if self._attempt.late or self._sink.closed:
            return
        if self._request.stream:
            if not self._sink.started:
                self._sink.begin(200, "text/event-stream", self._attempt.id)
            self._sink.finish(END_OF_STREAM)
            return
        self._sink.begin(200, "application/json", self._attempt.id)
        self._sink.finish(self._body)

    def _note_stream(self) -> None:
        self._attempt.usage = self._stream.usage
        self._attempt.whole = self._stream.complete and not self._stream.failed

    def _hold_back(self) -> None:
        self._attempt.transfer.pause()
        self._resuming = asyncio.ensure_future(self._resume_when_taken())

    async def _resume_when_taken(self) -> None:
        while self._sink.write(b"") > self._max_buffered_bytes // 2:
            if self._sink.closed:
                break
            await asyncio.sleep(TAKEN_POLL.total_seconds())
        self._attempt.transfer.resume()
