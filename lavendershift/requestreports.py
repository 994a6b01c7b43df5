"""What the log and the metrics tell of each request.

One line for each attempt at a server and one at the request's end, with what
decided it. No line holds a prompt, a body or a key.
"""

from datetime import timedelta
from typing import Unpack

from lavendershift.attempts import (
    AttemptEnd,
    AttemptReport,
    CallerRequest,
    StreamReport,
)
from lavendershift.clocks import Clock
from lavendershift.errors import RequestError
from lavendershift.instruments import Instruments
from lavendershift.logs import Event, EventFields, EventLog, in_milliseconds


class RequestTrace:
    """What is known of a request at its end.

    ``version`` is that of the configuration it was admitted under, ``waited``
    the time it waited for tokens.
    """

    def __init__(self, request: CallerRequest) -> None:
        self.request = request
        self.customer = ""
        self.route = ""
        self.version = 0
        self.used_tokens = 0
        self.waited = timedelta()
        self.first_event_at: timedelta | None = None
        self.longest_gap: timedelta | None = None


class RequestReports:
    """Writes the lines and raises the counters of requests."""

    def __init__(self, clock: Clock, log: EventLog, instruments: Instruments) -> None:
        self._clock = clock
        self._log = log
        self._instruments = instruments

    def note_received(self) -> None:
        """Note that a request arrived."""
        self._instruments.count("requests")

    def note_answered(self, trace: RequestTrace) -> None:
        """Note a request that got its whole answer."""
        first = trace.first_event_at
        received = trace.request.received
        duration = self._clock.elapsed() - received
        self._instruments.count("answers")
        self._instruments.observe("duration", duration)
        if first is not None:
            self._instruments.observe("first_event", first - received)
        if trace.longest_gap is not None:
            self._instruments.observe("event_gap", trace.longest_gap)
        self._note_tokens(trace)
        first_ms = _in_known_milliseconds(None if first is None else first - received)
        self._write(Event.REQUEST_ANSWERED, trace, first_ms=first_ms)

    def note_refused(self, trace: RequestTrace, error: RequestError) -> None:
        """Note a request that ended with an error kind."""
        answer = error.answer
        self._instruments.count("refusals", error.kind.value)
        self._note_tokens(trace)
        self._write(
            Event.REQUEST_REFUSED,
            trace,
            error=error.kind.value,
            reason=error.detail,
            ran=answer.ran.value,
        )

    def note_abandoned(self, trace: RequestTrace) -> None:
        """Note a request whose caller went away, or that a stop cut."""
        self._instruments.count("abandoned")
        self._note_tokens(trace)
        self._write(Event.REQUEST_ABANDONED, trace)

    def note_attempt(self, request: CallerRequest, attempt: AttemptReport) -> None:
        """Note an attempt at a server that ended."""
        self._instruments.count("attempts", attempt.end.value)
        event = Event.REQUEST_ATTEMPTED
        if attempt.end is AttemptEnd.ANSWERED:
            event = Event.REQUEST_PLACED
        fields = EventFields(
            server=attempt.server,
            result=attempt.end.value,
            reason=attempt.reason,
            status=attempt.status,
            expected_ms=in_milliseconds(attempt.expected),
            duration_ms=in_milliseconds(attempt.duration),
            entry="missing" if attempt.knowledge.is_missing else "listed",
            belief_ms=_in_known_milliseconds(attempt.knowledge.age),
            connect_ms=_in_known_milliseconds(attempt.connecting),
        )
        if attempt.stream is not None:
            self._note_stream(attempt.end, attempt.stream)
            fields["resumed_after"] = attempt.stream.resumed_after
            fields["events"] = attempt.stream.events
            fields["partial_bytes"] = attempt.stream.partial_bytes
            fields["media_type"] = attempt.stream.media_type
        self._log.write(event, request=request.id, **fields)

    def _note_stream(self, end: AttemptEnd, stream: StreamReport) -> None:
        if stream.resumed_after:
            self._instruments.count("resumes", end.value)
        if stream.partial_bytes:
            self._instruments.count("partial_events", end.value)

    def note_retry(self, end: AttemptEnd) -> None:
        """Note that a request goes to another server after ``end``."""
        self._instruments.count("retries", end.value)

    def note_error(self, trace: RequestTrace, error: BaseException) -> None:
        """Note an error without a kind of its own."""
        self._log.write_error(error, request=trace.request.id)

    def _note_tokens(self, trace: RequestTrace) -> None:
        if trace.used_tokens:
            amount = trace.used_tokens
            self._instruments.count("tokens_spent", trace.customer, amount=amount)
        if trace.waited:
            self._instruments.observe("token_wait", trace.waited)

    def _write(
        self, event: Event, trace: RequestTrace, **fields: Unpack[EventFields]
    ) -> None:
        """Write the line of a request's end."""
        duration = self._clock.elapsed() - trace.request.received
        fields["route"] = trace.route
        fields["version"] = trace.version
        fields["tokens"] = trace.used_tokens
        fields["waited_ms"] = in_milliseconds(trace.waited)
        fields["duration_ms"] = in_milliseconds(duration)
        self._log.write(
            event, request=trace.request.id, customer=trace.customer, **fields
        )


def _in_known_milliseconds(length: timedelta | None) -> int:
    """Return a length for a line, -1 where it is not known."""
    return -1 if length is None else in_milliseconds(length)
