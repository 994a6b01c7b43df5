"""Log lines and metrics of callers' connections that ended.

Each end is counted by its cause and by how far the latest request had come. A
connection that ends without a request on it, for an ordinary cause, gets no log line.
"""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from lavendershift.instruments import Instruments
from lavendershift.logs import Event, EventLog, in_milliseconds


class EndCause(Enum):
    """Who ended a caller's connection, and why."""

    CALLER = "caller"
    IDLE_TIMER = "idle_timer"
    HEADER_TIMER = "header_timer"
    LARGE_HEADER = "large_header"
    MALFORMED = "malformed"
    RESPONSE = "response"  # the response had ``Connection: close``
    TRUNCATED = "truncated"  # reset, as the response couldn't be completed
    CANCELLED = "cancelled"  # reset, as the process ended the request's task
    BODY_TIMER = "body_timer"
    MEMORY = "memory"  # refused, as there was no room for the request
    UNREAD = "unread"  # reset, as the caller didn't read the response
    STOP = "stop"
    FAILED = "failed"  # an exception, which ``error`` names


class Stage(Enum):
    """How far the latest request on a connection had come when it ended."""

    IDLE = "idle"  # nothing read since the latest complete response
    UNREAD = "unread"  # only bytes that the process hasn't read
    HEADER = "header"  # a part of the header
    BODY = "body"  # the header and a part of the body
    IN_FLIGHT = "in_flight"  # read, and the response isn't complete
    SENDING = "sending"  # a complete response, of which a part isn't sent yet


ORDINARY_CAUSES = frozenset(
    {EndCause.CALLER, EndCause.IDLE_TIMER, EndCause.RESPONSE, EndCause.STOP}
)
# Causes with a refusal, 400, 408 or 503.
REFUSING_CAUSES = frozenset(
    {
        EndCause.MALFORMED,
        EndCause.HEADER_TIMER,
        EndCause.BODY_TIMER,
        EndCause.MEMORY,
    }
)
CUT_STAGES = frozenset({Stage.HEADER, Stage.BODY, Stage.IN_FLIGHT, Stage.SENDING})


class ConnectionEnd(NamedTuple):
    """The end of a caller's connection.

    ``request_id`` is the id of the request that ended with the connection, empty if its
    header wasn't read or if there is none. ``served`` is the number of complete
    responses, ``age`` the time since the connection was opened, and ``idle`` the time
    since the latest complete response, or since it was opened. ``unread_bytes`` is a
    lower bound of the bytes received but not read, which let the kernel reset the
    connection. ``error`` names the error, if any.
    """

    cause: EndCause
    stage: Stage
    request_id: str
    served: int
    age: timedelta
    idle: timedelta
    unread_bytes: int
    error: str


class ConnectionReports:
    """Write the log lines and update the metrics of callers' connections.

    ``find_version`` returns the version of the configuration in force.
    """

    def __init__(
        self, log: EventLog, instruments: Instruments, find_version: Callable[[], int]
    ) -> None:
        self._log = log
        self._instruments = instruments
        self._find_version = find_version

    def report(self, end: ConnectionEnd) -> None:
        """Report a connection that ended."""
        cause, stage = end.cause.value, end.stage.value
        self._instruments.count("connections_ended", cause, stage)
        if end.stage in CUT_STAGES and end.cause not in REFUSING_CAUSES:
            self._instruments.count("requests_cut", cause)
        is_ordinary = end.cause in ORDINARY_CAUSES and not end.unread_bytes
        if is_ordinary and end.stage is Stage.IDLE:
            return
        self._log.write(
            Event.CONNECTION_ENDED,
            request=end.request_id,
            cause=cause,
            stage=stage,
            error=end.error,
            served=end.served,
            age_ms=in_milliseconds(end.age),
            idle_ms=in_milliseconds(end.idle),
            unread_bytes=end.unread_bytes,
            version=self._find_version(),
        )
