"""Log lines and metrics of requests.

Each attempt at a server gets a log line, and so does each request when it ends,
with the values that decided its outcome. No line contains a prompt, a body or a
key.
"""

from datetime import timedelta
from typing import Unpack

from lavendershift.attempts import (
    AttemptEnd,
    AttemptReport,
    CallerRequest,
    ExchangeReport,
    StreamReport,
)
from lavendershift.clocks import Clock
from lavendershift.errors import RequestError
from lavendershift.instruments import Instruments
from lavendershift.logs import Event, EventFields, EventLog, in_milliseconds
from lavendershift.overload.admissions import OverloadError
from lavendershift.requestends import RequestEnding


class RequestTrace:
    """Data of one request that its last log line reports.

    ``version`` is the version of the configuration that admitted it, or refused it for
    its path or key, ``current_version`` the one in force when it ended, ``waited`` the
    time it waited for tokens. ``ending`` is set if it ended without a complete
    response.
    """

    def __init__(self, request: CallerRequest) -> None:
        self.request = request
        self.customer = ""
        self.route = ""
        self.version = self.current_version = 0
        self.ending: RequestEnding | None = None
        self.reserved_tokens = self.used_tokens = 0
        self.waited = timedelta()
        self.first_event_at: timedelta | None = None
        self.longest_gap: timedelta | None = None


class RequestReports:
    """Write the log lines and update the metrics of requests."""

    def __init__(self, clock: Clock, log: EventLog, instruments: Instruments) -> None:
        self._clock = clock
        self._log = log
        self._instruments = instruments

    def count_received(self) -> None:
        """Count a request that was received."""
        self._instruments.count("requests")

    def count_shortage(self, cause: str) -> None:
        """Count a request that got no tokens, by cause."""
        self._instruments.count("token_shortages", cause)

    def report_answered(self, trace: RequestTrace) -> None:
        """Report a request that got its complete response."""
        first = trace.first_event_at
        received = trace.request.received
        duration = self._clock.elapsed() - received
        self._instruments.count("answers")
        self._instruments.observe("duration", duration)
        if first is not None:
            self._instruments.observe("first_event", first - received)
        if trace.longest_gap is not None:
            self._instruments.observe("event_gap", trace.longest_gap)
        self._measure_tokens(trace)
        first_ms = _to_milliseconds_or_unknown(
            None if first is None else first - received
        )
        self._write(Event.REQUEST_ANSWERED, trace, first_ms=first_ms)

    def report_refused(self, trace: RequestTrace, error: RequestError) -> None:
        """Report a request that ended with an error kind."""
        answer = error.answer
        self._instruments.count("refusals", error.kind.value)
        self._measure_tokens(trace)
        fields = self._describe_ending(trace)
        fields["error"] = error.kind.value
        fields["reason"] = error.detail
        fields["ran"] = answer.ran.value
        if isinstance(error, OverloadError):
            self._instruments.count("overload_refusals", error.cause.value)
            fields["excess"] = round(error.excess, 2)
        self._write(Event.REQUEST_REFUSED, trace, **fields)

    def report_rejected(self, request_id: str, error: RequestError) -> None:
        """Report a request that was refused before it was routed."""
        self._instruments.count("refusals", error.kind.value)
        self._log.write(
            Event.REQUEST_REFUSED,
            request=request_id,
            error=error.kind.value,
            reason=error.detail,
            ran=error.answer.ran.value,
        )

    def report_abandoned(self, trace: RequestTrace) -> None:
        """Report a request that its caller or a shutdown cancelled."""
        self._instruments.count("abandoned")
        self._measure_tokens(trace)
        fields = self._describe_ending(trace)
        self._write(Event.REQUEST_ABANDONED, trace, **fields)

    def _describe_ending(self, trace: RequestTrace) -> EventFields:
        """Count a request that ended without a complete response; return its fields."""
        fields = EventFields(current_version=trace.current_version)
        ending = trace.ending
        if ending is not None:
            if ending.was_sent:
                self._instruments.count("requests_ended", ending.reason.value)
            fields["ended_for"] = ending.reason.value
            fields["allowed_ms"] = in_milliseconds(ending.allowed)
        return fields

    def report_attempt(self, request: CallerRequest, attempt: AttemptReport) -> None:
        """Report an attempt at a server after its end."""
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
            belief_ms=_to_milliseconds_or_unknown(attempt.knowledge.age),
            connect_ms=_to_milliseconds_or_unknown(attempt.connecting),
        )
        self._describe_exchange(fields, attempt.end, attempt.exchange)
        if attempt.known_limit is not None:
            self._instruments.count("limited_attempts", attempt.end.value)
            fields["known_limit"] = attempt.known_limit
        if attempt.named_limit is not None:
            fields["named_limit"] = attempt.named_limit
        if attempt.silence is not None:
            fields["silent_ms"] = in_milliseconds(attempt.silence)
        if attempt.is_beside:
            self._instruments.count("attempts_beside", attempt.end.value)
            fields["place"] = "beside"
        if attempt.ending is not None:
            ending = attempt.ending
            self._instruments.count("attempts_ended", ending.reason.value)
            fields["ended_for"] = ending.reason.value
            if ending.progress is not None:
                fields["successor"] = ending.successor
                fields["progress"] = ending.progress.value
        if attempt.parts and event is Event.REQUEST_ATTEMPTED:
            fields["parts"] = ",".join(attempt.parts)
        if attempt.stream is not None:
            self._count_stream(attempt.end, attempt.stream)
            fields["resumed_after"] = attempt.stream.resumed_after
            fields["events"] = attempt.stream.events
            fields["partial_bytes"] = attempt.stream.partial_bytes
            fields["media_type"] = attempt.stream.media_type
        self._log.write(event, request=request.id, **fields)

    def _describe_exchange(
        self, fields: EventFields, end: AttemptEnd, exchange: ExchangeReport | None
    ) -> None:
        """Add the fields of an attempt's connection, and count what is unusual."""
        if exchange is None:
            return
        fields["address"] = exchange.address
        fields["connection"] = exchange.number
        fields["exchange"] = exchange.position
        if exchange.head_delay is not None:
            fields["head_us"] = exchange.head_delay // timedelta(microseconds=1)
        if exchange.skipped:
            self._instruments.count("skipped_responses", amount=exchange.skipped)
            fields["skipped"] = exchange.skipped
        if exchange.earlier_sends:
            self._instruments.count("sends_again", end.value)
            fields["earlier_sends"] = exchange.earlier_sends

    def _count_stream(self, end: AttemptEnd, stream: StreamReport) -> None:
        if stream.resumed_after:
            self._instruments.count("resumes", end.value)
        if stream.partial_bytes:
            self._instruments.count("partial_events", end.value)

    def count_retry(self, end: AttemptEnd) -> None:
        """Count a retry on another server, by how the previous attempt ended."""
        self._instruments.count("retries", end.value)

    def report_error(self, trace: RequestTrace, error: BaseException) -> None:
        """Report an unexpected exception."""
        self._log.write_error(error, request=trace.request.id)

    def _measure_tokens(self, trace: RequestTrace) -> None:
        if trace.used_tokens:
            amount = trace.used_tokens
            self._instruments.count("tokens_spent", trace.customer, amount=amount)
        if trace.waited:
            self._instruments.observe("token_wait", trace.waited)

    def _write(
        self, event: Event, trace: RequestTrace, **fields: Unpack[EventFields]
    ) -> None:
        """Write a request's last log line."""
        duration = self._clock.elapsed() - trace.request.received
        fields["route"] = trace.route
        fields["version"] = trace.version
        fields["tokens"] = trace.used_tokens
        fields["waited_ms"] = in_milliseconds(trace.waited)
        fields["duration_ms"] = in_milliseconds(duration)
        self._log.write(
            event, request=trace.request.id, customer=trace.customer, **fields
        )


def _to_milliseconds_or_unknown(duration: timedelta | None) -> int:
    """Return a duration in milliseconds for a log line, -1 if it is unknown."""
    return -1 if duration is None else in_milliseconds(duration)
