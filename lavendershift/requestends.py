"""Reasons for which this VM ends a request that is at a backend server.

The list is closed: nothing else may end an attempt whose server may still respond. An
attempt that its server ended, or whose response can't be used, has an ``AttemptEnd``
of its own.
"""

from datetime import timedelta
from enum import Enum
from typing import NamedTuple


class EndReason(Enum):
    """Why a request or an attempt was ended."""

    CALLER_GONE = "caller_gone"  # its connection closed, or its task was cancelled
    TIME_OVER = "time_over"
    STOPPED = "stopped"  # the process stops and its grace time is over
    SERVER_FAILED = (
        "server_failed"  # no response came, and no other attempt can be made
    )
    REPLACED = "replaced"  # another attempt has delivered
    QUARANTINED = "quarantined"  # its prompt would crash the server
    INTERNAL = "internal"  # an exception that nothing handles


class Progress(Enum):
    """What an attempt had received when it replaced others."""

    EVENT = "event"  # of a stream, one that the caller doesn't have
    RESPONSE = "response"  # a complete one


class AttemptEnding(NamedTuple):
    """How this VM ended an attempt.

    ``successor`` is the server of the attempt that replaced it, ``progress`` what that
    had received by then.
    """

    reason: EndReason
    successor: str = ""
    progress: Progress | None = None


class RequestEnding(NamedTuple):
    """How a request ended without a complete response.

    ``allowed`` is the time that it had since it was received. ``was_sent`` is set if it
    was sent to a server.
    """

    reason: EndReason
    allowed: timedelta
    was_sent: bool
