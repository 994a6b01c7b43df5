"""Reader for the response of one server to one attempt.

Each attempt has a reader of its own, so that bytes of one response can't get into the
next. Streams are forwarded by complete events, other responses are collected. When a
stream is resumed, a response is forwarded only if its status, media type and event ids
show that it continues the stream.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from tornado.httputil import HTTPHeaders

from lavendershift.attempts import AttemptEnd, ResponseKind, StreamReport
from lavendershift.collectedbodies import CollectedBody
from lavendershift.eventstreams import (
    EventLimitError,
    EventOrderError,
    EventPosition,
    EventReader,
)
from lavendershift.memory.budgets import Holding, MemoryBudget, Phase
from lavendershift.memory.waits import wait_for_room
from lavendershift.progresstimeouts import NullMonitor, ProgressMonitor

SUCCESSES = range(200, 300)
SERVER_ERRORS = range(500, 600)
EVENT_STREAM = "text/event-stream"  # media type of server-sent events, HTML standard
MAX_UNSIZED_BYTES = 1_048_576  # limit for a plain body without a Content-Length
# Responses to other requests before the attempt's own, beside one for each request that
# the connection carried without an answer.
MAX_SKIPPED_RESPONSES = 8


class ServerResponse(NamedTuple):
    """A complete response."""

    status: int
    headers: HTTPHeaders
    body: CollectedBody


class EventReceiver(Protocol):
    """Receives the head and the events of a response."""

    @property
    def first_status(self) -> int:
        """The status already sent to the caller, 0 if there is none."""
        ...

    @property
    def position(self) -> EventPosition:
        """The position up to which earlier responses were forwarded."""
        ...

    def classify(
        self, status: int, headers: HTTPHeaders, is_fresh: bool
    ) -> ResponseKind:
        """Return which request a response belongs to and whether that ran."""
        ...

    async def forward(self, reader: "AttemptReader", events: bytes) -> None:
        """Forward complete events to the caller."""
        ...


class AttemptReader:
    """Reads the response to one attempt.

    ``is_fresh`` is set if the connection carried no request before. ``monitor`` records
    the progress of the response. ``refused`` is set once the response can't be the
    continuation of the stream, or exceeds a limit without an end; ``stop`` is then
    called to close the connection. ``is_streamed`` is set from the head on if the
    response is forwarded as it arrives. ``skipped`` counts the responses to other
    requests, of which there may be ``max_skipped``.
    """

    def __init__(
        self,
        receiver: EventReceiver,
        is_stream: bool,
        is_fresh: bool,
        stop: Callable[[], None],
    ) -> None:
        self.refused: AttemptEnd | None = None
        self.reason = ""
        self.monitor: ProgressMonitor = NullMonitor()
        self.kind = ResponseKind.FOREIGN
        self.status = 0
        self.headers = HTTPHeaders()
        self.is_streamed = False
        is_continuation = receiver.first_status > 0 or bool(receiver.position.last_id)
        self.events = EventReader(receiver.position, is_continuation)
        self._receiver = receiver
        self._is_stream = is_stream
        self._is_fresh = is_fresh
        self._stop = stop
        self._initial_position = receiver.position
        self._body = CollectedBody()
        self._size = 0
        self.skipped = 0
        self.max_skipped = MAX_SKIPPED_RESPONSES
        self._memory: MemoryBudget | None = None
        self._holding: Holding | None = None
        self._counted = 0

    def count_in(self, memory: MemoryBudget) -> None:
        """Count what is collected of the response in a budget."""
        self._memory = memory
        self._holding = memory.open((), lambda: None)
        self._holding.begin(Phase.RUNNING)

    def release(self) -> None:
        """Count nothing any more, as the attempt has ended."""
        if self._holding is not None:
            self._holding.close()

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Process a response head; one for an earlier request may come first."""
        self._body, self._size, self._counted = CollectedBody(), 0, 0
        self.status, self.headers = status, headers
        self.kind = self._receiver.classify(status, headers, self._is_fresh)
        self.is_streamed = (
            self.kind is ResponseKind.OWN
            and self._is_stream
            and status in SUCCESSES
            and is_event_stream(self.media_type)
        )
        self._is_fresh = False
        if self.kind is ResponseKind.FOREIGN:
            self._skip()
            return
        self.monitor.note_progress()
        if not self.needs_body:
            return
        if self._receiver.first_status and status not in SERVER_ERRORS:
            self._check_continuation()

    def _skip(self) -> None:
        """Skip a response to another request, up to a number of them."""
        self.skipped += 1
        if self.skipped > self.max_skipped:
            self._refuse(AttemptEnd.BROKEN, "only responses to other requests")

    def _check_continuation(self) -> None:
        """Refuse a response that can't be the continuation of the stream."""
        if not self.is_streamed or self.status != self._receiver.first_status:
            self._refuse(AttemptEnd.OTHER_KIND, f"{self.status} {self.media_type}")

    @property
    def needs_body(self) -> bool:
        """Whether the head leaves anything open; that of a refusal doesn't."""
        return self.kind not in (ResponseKind.NOT_RUN, ResponseKind.WRONG_SERVER)

    @property
    def has_event(self) -> bool:
        """Whether the response has a complete event."""
        return self.events.position.events > self._initial_position.events

    @property
    def position(self) -> EventPosition:
        """The position up to which events were read."""
        return self.events.position

    @property
    def is_inside_event(self) -> bool:
        """Whether a part of an event has arrived."""
        return self.events.is_inside_event

    @property
    def media_type(self) -> str:
        """The response's Content-Type."""
        return self.headers.get("Content-Type", "")

    def add(self, chunk: bytes) -> Awaitable[None] | None:
        """Process a chunk of the body."""
        if self.refused is not None:
            return None
        if not self.is_streamed:
            self._collect(chunk)
            return self._hold_body()
        before = self.events.position.events
        try:
            data = self.events.feed(chunk)
        except EventOrderError as error:
            self._refuse(AttemptEnd.OUT_OF_PLACE, str(error))
            return None
        except EventLimitError as error:
            self._refuse(AttemptEnd.BROKEN, str(error))
            return None
        if self.events.position.events > before:
            self.monitor.note_progress()
        return self._forward(data) if data else None

    def _collect(self, chunk: bytes) -> None:
        """Buffer a chunk of a plain body, or skip it if it isn't the request's."""
        if self.kind is ResponseKind.OWN:
            self._body.add(chunk)
        self._size += len(chunk)
        if "Content-Length" in self.headers:
            if self.kind is ResponseKind.OWN:
                self.monitor.note_progress()
        elif self._size > MAX_UNSIZED_BYTES:
            self._refuse(AttemptEnd.BROKEN, f"{self._size} bytes without an end")
        elif self.kind is ResponseKind.OWN:
            self.monitor.note_bytes()

    def _hold_body(self) -> Awaitable[None] | None:
        """Count the collected body; the server isn't read until there is room."""
        uncounted = len(self._body) - self._counted
        if self._holding is None or self._memory is None or uncounted <= 0:
            return None
        self._counted = len(self._body)
        if self._memory.has_room(self._holding, uncounted):
            self._holding.resize(self._holding.size + uncounted)
            return None
        return self._wait_for_room(self._memory, self._holding, uncounted)

    async def _wait_for_room(
        self, memory: MemoryBudget, holding: Holding, size: int
    ) -> None:
        self.monitor.suspend()
        if await wait_for_room(memory, holding, size, lambda: not holding.is_open):
            holding.resize(holding.size + size)
        elif self.refused is None:
            self._body.clear()
            self._refuse(AttemptEnd.NO_ROOM, "no room for the response")
        self.monitor.resume()

    async def _forward(self, data: bytes) -> None:
        self.monitor.suspend()
        await self._receiver.forward(self, data)
        self.monitor.resume()

    def _refuse(self, end: AttemptEnd, reason: str) -> None:
        self.refused, self.reason = end, reason
        self._stop()

    def take_remainder(self) -> bytes | None:
        """Return the bytes after the last event, ``None`` if an event is incomplete."""
        if self.events.is_inside_event:
            self.refused = AttemptEnd.INSIDE_EVENT
            return None
        try:
            return self.events.take_remainder()
        except EventOrderError as error:
            self._refuse(AttemptEnd.OUT_OF_PLACE, str(error))
            return None

    def collect(self) -> ServerResponse:
        """Return the complete response, whose body isn't copied."""
        body, self._body = self._body, CollectedBody()
        return ServerResponse(self.status, self.headers, body)

    def describe(self) -> StreamReport | None:
        """Return the report of a stream for the log."""
        if not self._is_stream:
            return None
        return StreamReport(
            self._initial_position.last_id,
            self.events.position.events - self._initial_position.events,
            self.events.partial_bytes,
            self.media_type,
        )


def is_event_stream(media_type: str) -> bool:
    """Whether a media type is that of event streams, whatever its parameters."""
    return media_type.partition(";")[0].strip().lower() == EVENT_STREAM
