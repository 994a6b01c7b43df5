"""The process's log: JSON lines with a closed set of events.

Each line has the time, level, event, VM, failure domain, request key and
customer, and the fields of its event. The fields are typed and form a closed
set too, which keeps prompts, responses and secrets out of the log, as no field
could hold them::

    log = EventLog(make_handler(settings.logging), "r1", "rennes", SystemClock())
    log.write(Event.REQUEST_REFUSED, request="desks/a/b/k1", error="overloaded")
"""

import json
import logging
import sys
import traceback
from datetime import timedelta
from enum import Enum
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple, TypedDict, Unpack

import logbook

from lavendershift.clocks import Clock

if TYPE_CHECKING:
    from lavendershift.settings_sections import LoggingSection

MAX_FIELD_LENGTH = 300  # longest text that is logged in a field, in characters
MAX_FRAMES = 5  # innermost stack frames of a traceback that are logged


class Event(Enum):
    """All events that can be logged."""

    PROCESS_STARTED = "process_started"
    PROCESS_STOPPING = "process_stopping"
    PROCESS_STOPPED = "process_stopped"
    REQUEST_ANSWERED = "request_answered"
    REQUEST_REFUSED = "request_refused"
    REQUEST_RETRIED = "request_retried"
    REQUEST_PLACED = "request_placed"
    REQUEST_ATTEMPTED = "request_attempted"
    REQUEST_ABANDONED = "request_abandoned"
    CONNECTION_ENDED = "connection_ended"
    TOKENS_DRAWN = "tokens_drawn"
    TOKENS_ADOPTED = "tokens_adopted"
    TOKENS_LOST = "tokens_lost"
    TOKENS_LENT = "tokens_lent"
    SERVER_CHANGED = "server_changed"
    SERVER_LIMITED = "server_limited"
    SERVER_CRASHED = "server_crashed"
    PARTS_QUARANTINED = "parts_quarantined"
    PARTS_RELEASED = "parts_released"
    VM_CHANGED = "vm_changed"
    ENTRY_SKIPPED = "entry_skipped"
    SETTINGS_RELOADED = "settings_reloaded"
    DEPENDENCY_LOST = "dependency_lost"
    DEPENDENCY_FOUND = "dependency_found"
    STORE_RESTORED = "store_restored"
    CONFIGURATION_CHANGED = "configuration_changed"
    RECORD_REJECTED = "record_rejected"
    SERVER_EJECTED = "server_ejected"
    LOG_LOST = "log_lost"
    LOG_FOUND = "log_found"
    LOOP_FAILED = "loop_failed"
    LOOP_PAUSED = "loop_paused"
    INTERNAL_ERROR = "internal_error"
    LIBRARY_MESSAGE = "library_message"
    DOMAIN_EVACUATED = "domain_evacuated"


class EventInfo(NamedTuple):
    """Log level and description of an event."""

    level: str
    description: str


EVENTS: dict[Event, EventInfo] = {
    Event.PROCESS_STARTED: EventInfo(
        "notice", "All components of the process are running."
    ),
    Event.PROCESS_STOPPING: EventInfo(
        "notice", "A graceful shutdown started or reached its next stage."
    ),
    Event.PROCESS_STOPPED: EventInfo(
        "notice", "All components of the process have stopped."
    ),
    Event.REQUEST_ANSWERED: EventInfo("info", "A request got its complete response."),
    Event.REQUEST_REFUSED: EventInfo("info", "A request ended with an error kind."),
    Event.REQUEST_RETRIED: EventInfo("info", "A failed attempt is retried."),
    Event.REQUEST_PLACED: EventInfo("info", "The attempt that completed the response."),
    Event.REQUEST_ATTEMPTED: EventInfo(
        "info", "An attempt that ended without a complete response."
    ),
    Event.REQUEST_ABANDONED: EventInfo(
        "info", "The caller disconnected or a shutdown cancelled the request."
    ),
    Event.CONNECTION_ENDED: EventInfo(
        "info", "A caller's connection ended with a request on it, or for an error."
    ),
    Event.TOKENS_DRAWN: EventInfo(
        "info", "Tokens of a customer were drawn, or returned where negative."
    ),
    Event.TOKENS_ADOPTED: EventInfo(
        "info", "Tokens that the VM's previous process can't have spent were adopted."
    ),
    Event.TOKENS_LOST: EventInfo(
        "info", "Tokens that the VM held when it lost power stay granted."
    ),
    Event.TOKENS_LENT: EventInfo(
        "info", "Tokens were borrowed from another VM, or lent to one where negative."
    ),
    Event.SERVER_CHANGED: EventInfo("info", "A backend server's entry changed."),
    Event.SERVER_LIMITED: EventInfo(
        "info", "The limit of a backend server's requests/s changed or ended."
    ),
    Event.SERVER_CRASHED: EventInfo(
        "warning",
        "A server broke off requests before their first event and refuses connections.",
    ),
    Event.PARTS_QUARANTINED: EventInfo(
        "warning", "Prompts with these parts aren't sent, as they crashed servers."
    ),
    Event.PARTS_RELEASED: EventInfo(
        "notice", "Prompts with these parts are sent to servers again."
    ),
    Event.VM_CHANGED: EventInfo("info", "A VM joined, is leaving, or is gone."),
    Event.ENTRY_SKIPPED: EventInfo("warning", "Data that can't be used was skipped."),
    Event.SETTINGS_RELOADED: EventInfo("notice", "The settings were reloaded."),
    Event.DEPENDENCY_LOST: EventInfo("warning", "A service stopped responding."),
    Event.DEPENDENCY_FOUND: EventInfo("notice", "A service responds again."),
    Event.STORE_RESTORED: EventInfo(
        "warning", "The store was restored from a copy, or has another address."
    ),
    Event.CONFIGURATION_CHANGED: EventInfo(
        "info", "The configuration was replayed up to an offset."
    ),
    Event.RECORD_REJECTED: EventInfo("warning", "A record of a stream has no effect."),
    Event.SERVER_EJECTED: EventInfo(
        "warning", "A server is ejected and gets no requests for a while."
    ),
    Event.LOG_LOST: EventInfo("warning", "The log service stopped responding."),
    Event.LOG_FOUND: EventInfo("notice", "The log service responds again."),
    Event.LOOP_FAILED: EventInfo(
        "error", "A background loop failed, and starts again after a pause."
    ),
    Event.LOOP_PAUSED: EventInfo(
        "warning", "The event loop handled nothing for a while."
    ),
    Event.INTERNAL_ERROR: EventInfo("error", "An unexpected exception occurred."),
    Event.LIBRARY_MESSAGE: EventInfo("warning", "A library logged a message."),
    Event.DOMAIN_EVACUATED: EventInfo(
        "notice", "The evacuation of a failure domain's servers began or ended."
    ),
}


class EventFields(TypedDict, total=False):
    """Optional fields of a log line, in addition to those of every line."""

    address: str
    age_ms: int
    allowed_ms: int
    attempt: str
    belief_ms: int
    budget: str
    build_ms: int
    bytes: int
    cause: str
    config_offset: int
    connect_ms: int
    connection: int
    current_version: int
    duration_ms: int
    earlier_sends: int
    ended_for: str
    entry: str
    error: str
    events: int
    excess: float
    exchange: int
    expected_ms: int
    first_ms: int
    free_tokens: int
    granted_tokens: int
    head_us: int
    idle_ms: int
    incarnation: str
    known_limit: float
    media_type: str
    name: str
    named_limit: float
    offset: int
    outage_ms: int
    partial_bytes: int
    parts: str
    place: str
    processor_ms: int
    progress: str
    ran: str
    read_bytes: int
    read_ms: int
    reason: str
    records: int
    records_left: int
    result: str
    resumed_after: str
    route: str
    routes: int
    served: int
    server: str
    silent_ms: int
    skipped: int
    source: str
    stage: str
    status: int
    stream: str
    successor: str
    tokens: int
    unread_bytes: int
    version: int
    waited_ms: int
    work_ms: int


FIELD_NAMES = frozenset(EventFields.__annotations__)
# Numbers of the levels in logbook.
LEVELS = {
    info.level: logbook.lookup_level(info.level.upper()) for info in EVENTS.values()
}
ENCODER = json.JSONEncoder(ensure_ascii=False)


class EventLog:
    """Write the events of one process to a logbook handler.

    Each line has ``vm`` and ``failure_domain``.
    """

    def __init__(
        self, handler: logbook.Handler, vm: str, failure_domain: str, clock: Clock
    ) -> None:
        self._logger = logbook.Logger("lavendershift")
        self._logger.handlers.append(handler)
        self._vm = vm
        self._failure_domain = failure_domain
        self._clock = clock

    def write(
        self,
        event: Event,
        request: str = "",
        customer: str = "",
        **fields: Unpack[EventFields],
    ) -> None:
        """Write one line; raise ``TypeError`` for an unlisted field."""
        if not fields.keys() <= FIELD_NAMES:
            unknown = sorted(fields.keys() - FIELD_NAMES)
            raise TypeError(f"no such field of a log line: {unknown}")
        level = EVENTS[event].level
        line = {
            "time": self._clock.now().isoformat(timespec="milliseconds"),
            "level": level,
            "event": event.value,
            "vm": self._vm,
            "failure_domain": self._failure_domain,
            "request": truncate_text(request),
            "customer": truncate_text(customer),
            **fields,
        }
        for key, value in fields.items():
            if isinstance(value, str) and len(value) > MAX_FIELD_LENGTH:
                line[key] = truncate_text(value)
        self._logger.log(LEVELS[level], event.value, extra={"line": line})

    def write_error(self, error: BaseException, request: str = "") -> None:
        """Write an exception's type and traceback, but not its message.

        The message could contain what a caller sent.
        """
        self.write(
            Event.INTERNAL_ERROR,
            request=request,
            error=type(error).__name__,
            place=format_traceback(error),
        )


class LibraryHandler(logging.Handler):
    """Forward warnings of libraries that use Python's ``logging``.

    Only the message's template is written, since its arguments could contain
    what callers sent.
    """

    def __init__(self, log: EventLog) -> None:
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line for ``record``."""
        template = record.msg if isinstance(record.msg, str) and record.args else ""
        error = record.exc_info[1] if record.exc_info else None
        place = f"{record.name}:{Path(record.pathname).name}:{record.lineno}"
        if error is not None:
            place = format_traceback(error) or place
        self._log.write(
            Event.LIBRARY_MESSAGE,
            reason=template,
            error=type(error).__name__ if error else "",
            place=place,
        )


def truncate_text(value: Any) -> Any:
    """Return ``value``, truncated to ``MAX_FIELD_LENGTH`` if it is a string."""
    return value[:MAX_FIELD_LENGTH] if isinstance(value, str) else value


def format_traceback(error: BaseException) -> str:
    """Return the innermost frames of the traceback, as ``file:line``."""
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    return " ".join(f"{Path(frame.filename).name}:{frame.lineno}" for frame in frames)


def format_line(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Return a log record as one line of JSON."""
    return ENCODER.encode(record.extra["line"])


def make_handler(section: "LoggingSection") -> logbook.Handler:
    """Return a handler with the path and level of ``section``."""
    level = section.level.upper()
    handler: logbook.Handler
    if section.path is None:
        handler = logbook.StreamHandler(sys.stderr, level=level)
    else:
        handler = logbook.FileHandler(str(section.path), level=level)
    handler.formatter = format_line
    return handler


def in_milliseconds(duration: timedelta) -> int:
    """Return ``duration`` in whole milliseconds, the unit of log fields."""
    return duration // timedelta(milliseconds=1)
