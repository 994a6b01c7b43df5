"""The response of one request as it is forwarded to its caller."""

from datetime import timedelta

from tornado.httputil import HTTPHeaders

from lavendershift.attempts import ResponseWriter, ServerWire
from lavendershift.clocks import Clock
from lavendershift.serverresponses import ServerResponse


class OutgoingResponse:
    """Forwards the responses of servers, and measures when events are forwarded.

    ``first_status`` is the status of a stream that has begun, 0 if none has.
    """

    def __init__(self, clock: Clock, writer: ResponseWriter, wire: ServerWire) -> None:
        self.first_status = 0
        self.first_event_at: timedelta | None = None
        self.longest_gap: timedelta | None = None
        self._clock = clock
        self._writer = writer
        self._wire = wire
        self._last_events_at: timedelta | None = None

    @property
    def has_started(self) -> bool:
        """Whether the caller has got a part of the response."""
        return self._writer.has_started

    def send(self, response: ServerResponse) -> None:
        """Send a complete response, whose body is dropped."""
        headers = self._wire.select_response_headers(response.headers)
        pieces = response.body.take()
        if len(pieces) > 1:
            self._writer.send_pieces(response.status, headers, pieces)
        else:
            self._writer.send(response.status, headers, b"".join(pieces))

    def start(self, status: int, headers: HTTPHeaders) -> None:
        """Start a stream, unless it has begun."""
        if self.has_started:
            return
        self.first_event_at = self._clock.elapsed()
        self.first_status = status
        self._writer.start(status, self._wire.select_response_headers(headers))

    async def write_events(self, events: bytes) -> None:
        """Write events, and measure the time since the ones before."""
        now = self._clock.elapsed()
        if self._last_events_at is not None:
            gap = now - self._last_events_at
            self.longest_gap = max(self.longest_gap or gap, gap)
        self._last_events_at = now
        await self._writer.write(events)

    async def finish(self, remainder: bytes) -> None:
        """End a stream as complete, with what follows its last event."""
        if remainder:
            await self._writer.write(remainder)
        self._writer.finish()
