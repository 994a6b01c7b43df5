"""Reading what one server answers to one attempt.

Each attempt has a reader of its own, so that nothing that was read of one answer
can get into the next. Streams are handed on by whole events, other answers are
collected. An answer to a request for the rest of a stream is handed on only if it
is proved to be that rest.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from tornado.httputil import HTTPHeaders

from lavendershift.attempts import AttemptEnd, ResponseKind, StreamNote
from lavendershift.eventstreams import (
    EventLimitError,
    EventOrderError,
    EventPosition,
    EventReader,
)
from lavendershift.patience import NullMonitor, ProgressMonitor

SUCCESSES = range(200, 300)
SERVER_ERRORS = range(500, 600)
EVENT_STREAM = "text/event-stream"  # the media type of the HTML standard
MAX_UNSIZED_BYTES = 1_048_576  # of a plain body that does not say its length


class ServerResponse(NamedTuple):
    """A whole answer that was collected."""

    status: int
    headers: HTTPHeaders
    body: bytes


class EventReceiver(Protocol):
    """Whom an answer's events are handed to."""

    @property
    def first_status(self) -> int:
        """The status that the caller already got, 0 where it got none."""
        ...

    @property
    def position(self) -> EventPosition:
        """How far the stream was handed on by the answers before."""
        ...

    def classify(
        self, status: int, headers: HTTPHeaders, is_fresh: bool
    ) -> ResponseKind:
        """Return whose answer has these headers."""
        ...

    async def forward(self, reader: "AttemptReader", events: bytes) -> None:
        """Hand whole events on to the caller."""
        ...


class AttemptReader:
    """Takes one attempt's answer.

    ``is_fresh`` tells whether its connection was used for no other request.
    ``monitor`` is told what arrives. ``refused`` is set once the answer can't be the
    rest of the stream, or has no end; ``stop`` then ends it.
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
        is_continuation = receiver.first_status > 0 or bool(receiver.position.last_id)
        self.events = EventReader(receiver.position, is_continuation)
        self._receiver = receiver
        self._is_stream = is_stream
        self._is_fresh = is_fresh
        self._stop = stop
        self._initial_position = receiver.position
        self._chunks: list[bytes] = []
        self._size = 0

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Take the head of an answer; one to another request may come first."""
        self._chunks, self._size = [], 0
        self.status, self.headers = status, headers
        self.kind = self._receiver.classify(status, headers, self._is_fresh)
        self._is_fresh = False
        if self.kind is not ResponseKind.OWN:
            return
        self.monitor.note_progress()
        if self._receiver.first_status and status not in SERVER_ERRORS:
            self._check_continuation()

    def _check_continuation(self) -> None:
        """Refuse an answer that can't be the rest of the stream."""
        if not self.is_streamed or self.status != self._receiver.first_status:
            self._refuse(AttemptEnd.OTHER_KIND, f"{self.status} {self.media_type}")

    @property
    def is_streamed(self) -> bool:
        """Whether the answer is handed on as it arrives."""
        return (
            self.kind is ResponseKind.OWN
            and self._is_stream
            and self.status in SUCCESSES
            and is_event_stream(self.media_type)
        )

    @property
    def media_type(self) -> str:
        """What the answer says that its body is."""
        return self.headers.get("Content-Type", "")

    def add(self, chunk: bytes) -> Awaitable[None] | None:
        """Take a part of the body."""
        if self.refused is not None:
            return None
        if not self.is_streamed:
            self._collect(chunk)
            return None
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
        """Keep a part of a plain body."""
        self._chunks.append(chunk)
        self._size += len(chunk)
        if "Content-Length" in self.headers:
            if self.kind is ResponseKind.OWN:
                self.monitor.note_progress()
        elif self._size > MAX_UNSIZED_BYTES:
            self._refuse(AttemptEnd.BROKEN, f"{self._size} bytes without an end")
        elif self.kind is ResponseKind.OWN:
            self.monitor.note_bytes()

    async def _forward(self, data: bytes) -> None:
        self.monitor.suspend()
        await self._receiver.forward(self, data)
        self.monitor.resume()

    def _refuse(self, end: AttemptEnd, reason: str) -> None:
        self.refused, self.reason = end, reason
        self._stop()

    def take_remainder(self) -> bytes | None:
        """Return what came after the last event, ``None`` where one is unfinished."""
        if self.events.is_inside_event:
            self.refused = AttemptEnd.INSIDE_EVENT
            return None
        try:
            return self.events.take_remainder()
        except EventOrderError as error:
            self._refuse(AttemptEnd.OUT_OF_PLACE, str(error))
            return None

    def collect(self) -> ServerResponse:
        """Return the whole answer."""
        return ServerResponse(self.status, self.headers, b"".join(self._chunks))

    def describe(self) -> StreamNote | None:
        """Return what was read of a stream, for the log."""
        if not self._is_stream:
            return None
        return StreamNote(
            self._initial_position.last_id,
            self.events.position.events - self._initial_position.events,
            self.events.partial_bytes,
            self.media_type,
        )


def is_event_stream(media_type: str) -> bool:
    """Whether a body is events, whatever the parameters of its media type."""
    return media_type.partition(";")[0].strip().lower() == EVENT_STREAM
