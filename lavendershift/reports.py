"""Reporting what happens to the process's log.

An ``EventReporter`` hooks the signals and writes a line for each that the
vocabulary of ``lavendershift.logs`` has an event for.
"""

import logging
from collections.abc import Callable
from typing import Any

from blinker import Signal

from lavendershift import signals
from lavendershift.admission import RequestContext
from lavendershift.clocks import Clock
from lavendershift.errors import RequestError
from lavendershift.logs import Event, EventLog, LibraryHandler, make_handler
from lavendershift.records import Record
from lavendershift.settings_sections import LoggingSection, VmSection


def open_reporter(
    vm: VmSection, section: LoggingSection, clock: Clock
) -> "EventReporter":
    """Open the process's log and report to it, libraries' warnings as well."""
    log = EventLog(make_handler(section), vm.name, vm.failure_domain, clock)
    logging.getLogger().addHandler(LibraryHandler(log))
    reporter = EventReporter(log)
    reporter.connect()
    return reporter


class EventReporter:
    """Writes to ``log`` what the signals tell of."""

    def __init__(self, log: EventLog) -> None:
        self.log = log

    def connect(self) -> None:
        """Hook the signals until the process's application has stopped."""
        for signal, receiver in self._list_hooks():
            signal.connect(receiver)

    def disconnect(self) -> None:
        """Leave the signals."""
        for signal, receiver in self._list_hooks():
            signal.disconnect(receiver)

    def _list_hooks(self) -> list[tuple[Signal, Callable[..., None]]]:
        return [
            (signals.started, self._note_started),
            (signals.stopping, self._note_stopping),
            (signals.stopped, self._note_stopped),
            (signals.request_answered, self._note_answered),
            (signals.request_refused, self._note_refused),
            (signals.request_retried, self._note_retried),
            (signals.configuration_changed, self._note_configuration),
            (signals.record_folded, self._note_folded),
            (signals.server_ejected, self._note_ejected),
        ]

    def _note_started(self, sender: Any, **_: Any) -> None:
        self.log.write(Event.PROCESS_STARTED)

    def _note_stopping(self, sender: Any, **_: Any) -> None:
        self.log.write(Event.PROCESS_STOPPING)

    def _note_stopped(self, sender: Any, **_: Any) -> None:
        self.log.write(Event.PROCESS_STOPPED)
        self.disconnect()

    def _note_answered(self, sender: Any, context: RequestContext, **_: Any) -> None:
        self.log.write(
            Event.REQUEST_ANSWERED,
            request=context.request,
            customer=context.caller.customer,
            attempt=context.attempt,
        )

    def _note_refused(
        self, sender: Any, context: RequestContext | None, error: RequestError, **_: Any
    ) -> None:
        self.log.write(
            Event.REQUEST_REFUSED,
            request=context.request if context else "",
            customer=context.caller.customer if context else "",
            attempt=context.attempt if context else "",
            error=error.kind.value,
        )

    def _note_retried(
        self, sender: Any, context: RequestContext, attempt: str, reason: Any, **_: Any
    ) -> None:
        self.log.write(
            Event.REQUEST_RETRIED,
            request=context.request,
            customer=context.caller.customer,
            attempt=attempt,
            reason=reason.value,
        )

    def _note_configuration(self, sender: Any, offset: int, **_: Any) -> None:
        self.log.write(Event.CONFIGURATION_CHANGED, config_offset=offset)

    def _note_folded(self, sender: Any, record: Record, verdict: Any, **_: Any) -> None:
        if not verdict.counted:
            self.log.write(
                Event.RECORD_REJECTED,
                request=getattr(record, "request", ""),
                reason=f"{record.id}: {verdict.reason}",
            )

    def _note_ejected(self, sender: Any, ejection: Any, **_: Any) -> None:
        self.log.write(
            Event.SERVER_EJECTED, server=ejection.server, reason=ejection.cause.value
        )
