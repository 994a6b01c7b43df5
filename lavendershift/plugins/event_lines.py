"""Plug-in that writes the process's log from the named signals.

It serves every application that has an ``event_log``.
"""

from typing import Any

from lavendershift import signals
from lavendershift.errors import RequestError
from lavendershift.logs import Event, EventLog
from lavendershift.retries import RetryReason


class EventLines:
    """Turns signals into lines of ``log`` for as long as it lives."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        signals.request_answered.connect(self.note_answered)
        signals.request_refused.connect(self.note_refused)
        signals.request_retried.connect(self.note_retried)
        signals.configuration_changed.connect(self.note_configuration)
        signals.record_folded.connect(self.note_folded)
        signals.server_ejected.connect(self.note_ejected)

    def note_answered(self, sender: Any, context: Any, **_: Any) -> None:
        """Write that a request got its whole answer."""
        self._log.write(
            Event.REQUEST_ANSWERED,
            context.request,
            context.caller.customer,
            attempt=context.attempt,
        )

    def note_refused(
        self, sender: Any, context: Any, error: RequestError, **_: Any
    ) -> None:
        """Write that a request ended with an error kind."""
        if context is None:
            self._log.write(Event.REQUEST_REFUSED, error=error.kind.value)
            return
        self._log.write(
            Event.REQUEST_REFUSED,
            context.request,
            context.caller.customer,
            attempt=context.attempt,
            error=error.kind.value,
        )

    def note_retried(
        self, sender: Any, context: Any, attempt: str, reason: RetryReason, **_: Any
    ) -> None:
        """Write that an attempt is repeated."""
        self._log.write(
            Event.REQUEST_RETRIED,
            context.request,
            context.caller.customer,
            attempt=attempt,
            reason=reason.value,
        )

    def note_configuration(self, sender: Any, offset: int, **_: Any) -> None:
        """Write how far the configuration is in force."""
        self._log.write(Event.CONFIGURATION_CHANGED, config_offset=offset)

    def note_folded(self, sender: Any, record: Any, verdict: Any, **_: Any) -> None:
        """Write why a record has no effect."""
        if not verdict.counted:
            self._log.write(
                Event.RECORD_REJECTED,
                getattr(record, "request", ""),
                incarnation=getattr(record, "incarnation", ""),
                reason=verdict.reason,
            )

    def note_ejected(self, sender: Any, ejection: Any, **_: Any) -> None:
        """Write that a server gets no work for a while."""
        self._log.write(
            Event.SERVER_EJECTED, server=ejection.server, reason=ejection.cause.value
        )


_lines: dict[int, EventLines] = {}


def start_lines(application: Any, **_: Any) -> None:
    """Write the lines of an application that has an event log."""
    log = getattr(application, "event_log", None)
    if log is not None:
        _lines[id(application)] = EventLines(log)
        log.write(Event.PROCESS_STARTED)


def note_stopping(application: Any, **_: Any) -> None:
    """Write that a graceful shutdown began."""
    if id(application) in _lines:
        application.event_log.write(Event.PROCESS_STOPPING)


def stop_lines(application: Any, **_: Any) -> None:
    """Write that the process ended, and no more."""
    if _lines.pop(id(application), None) is not None:
        application.event_log.write(Event.PROCESS_STOPPED)


def register() -> None:
    """Hook the life-cycle of the process."""
    signals.started.connect(start_lines)
    signals.stopping.connect(note_stopping)
    signals.stopped.connect(stop_lines)
