"""Log lines for the signals of a process.

An ``EventReporter`` connects to the signals for which ``lavendershift.logs``
defines an event, and writes a log line for each signal that it receives.
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
    """Open the process's log for its signals and the warnings of libraries."""
    log = EventLog(make_handler(section), vm.name, vm.failure_domain, clock)
    logging.getLogger().addHandler(LibraryHandler(log))
    reporter = EventReporter(log)
    reporter.connect()
    return reporter


class EventReporter:
    """Write a line to ``log`` for each signal."""

    def __init__(self, log: EventLog) -> None:
        self.log = log

    def connect(self) -> None:
        """Connect to the signals until the process's application has stopped."""
        for signal, receiver in self._list_receivers():
            signal.connect(receiver)

    def disconnect(self) -> None:
        """Disconnect from the signals."""
        for signal, receiver in self._list_receivers():
            signal.disconnect(receiver)

    def _list_receivers(self) -> list[tuple[Signal, Callable[..., None]]]:
        return [
            (signals.started, self._log_started),
            (signals.stopping, self._log_stopping),
            (signals.stopped, self._log_stopped),
            (signals.request_answered, self._log_answered),
            (signals.request_refused, self._log_refused),
            (signals.request_retried, self._log_retried),
            (signals.configuration_changed, self._log_configuration),
            (signals.record_folded, self._log_rejected_record),
            (signals.server_ejected, self._log_ejected),
        ]

    def _log_started(self, sender: Any, **_: Any) -> None:
        self.log.write(Event.PROCESS_STARTED)

    def _log_stopping(self, sender: Any, **_: Any) -> None:
        self.log.write(Event.PROCESS_STOPPING)

    def _log_stopped(self, sender: Any, **_: Any) -> None:
        self.log.write(Event.PROCESS_STOPPED)
        self.disconnect()

    def _log_answered(self, sender: Any, context: RequestContext, **_: Any) -> None:
        self.log.write(
            Event.REQUEST_ANSWERED,
            request=context.request,
            customer=context.caller.customer,
            attempt=context.attempt,
        )

    def _log_refused(
        self, sender: Any, context: RequestContext | None, error: RequestError, **_: Any
    ) -> None:
        self.log.write(
            Event.REQUEST_REFUSED,
            request=context.request if context else "",
            customer=context.caller.customer if context else "",
            attempt=context.attempt if context else "",
            error=error.kind.value,
        )

    def _log_retried(
        self, sender: Any, context: RequestContext, attempt: str, reason: Any, **_: Any
    ) -> None:
        self.log.write(
            Event.REQUEST_RETRIED,
            request=context.request,
            customer=context.caller.customer,
            attempt=attempt,
            reason=reason.value,
        )

    def _log_configuration(self, sender: Any, offset: int, **_: Any) -> None:
        self.log.write(Event.CONFIGURATION_CHANGED, config_offset=offset)

    def _log_rejected_record(
        self, sender: Any, record: Record, verdict: Any, **_: Any
    ) -> None:
        if not verdict.counted:
            self.log.write(
                Event.RECORD_REJECTED,
                request=getattr(record, "request", ""),
                reason=f"{record.id}: {verdict.reason}",
            )

    def _log_ejected(self, sender: Any, ejection: Any, **_: Any) -> None:
        self.log.write(
            Event.SERVER_EJECTED, server=ejection.server, reason=ejection.cause.value
        )
