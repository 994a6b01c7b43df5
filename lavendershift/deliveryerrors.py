"""Errors of requests that end without a complete response."""

from datetime import timedelta
from typing import NamedTuple

from lavendershift.attempts import AttemptEnd
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.requestends import EndReason
from lavendershift.routes import Repeat


class DeliveryProgress(NamedTuple):
    """How far a request has come.

    ``may_have_run`` is set if a server may have begun with it, ``has_started`` if the
    caller has got a part of the response.
    """

    repeat: Repeat
    may_have_run: bool
    has_started: bool


def make_end_error(reason: EndReason, progress: DeliveryProgress) -> RequestError:
    """Return the error of a request that was ended, as its time or the process ends."""
    if reason is not EndReason.STOPPED:
        is_exceeded = progress.may_have_run or progress.has_started
        kind = ErrorKind.DEADLINE_EXCEEDED
        return RequestError(kind if is_exceeded else ErrorKind.DEADLINE_UNREACHABLE)
    if progress.has_started:
        return RequestError(ErrorKind.ANSWER_TRUNCATED, "stopping")
    if not progress.may_have_run:
        return RequestError(ErrorKind.STOPPING)
    if progress.repeat is Repeat.NEVER:
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, "stopping")
    return RequestError(ErrorKind.SERVER_FAILED, "stopping")


def make_failure(end: AttemptEnd, progress: DeliveryProgress) -> RequestError:
    """Return the error of a request that may have run, after its last attempt."""
    if progress.has_started:
        return RequestError(ErrorKind.ANSWER_TRUNCATED)
    if end is AttemptEnd.INTERNAL_ERROR:
        return RequestError(ErrorKind.INTERNAL)
    if progress.repeat is Repeat.NEVER:
        return RequestError(ErrorKind.OUTCOME_UNKNOWN)
    return RequestError(ErrorKind.SERVER_FAILED)


def make_refusal(
    end: AttemptEnd, permit_delay: timedelta | None, retry_delay: timedelta | None
) -> RequestError:
    """Return the error of a request that certainly did not run.

    ``permit_delay`` is set if all servers that could run it are at their limits.
    """
    if permit_delay is not None:
        return RequestError(ErrorKind.OVERLOADED, "limits of servers", permit_delay)
    refused = end in (AttemptEnd.NOT_RUN, AttemptEnd.WRONG_SERVER)
    kind = ErrorKind.SERVER_REFUSED if refused else ErrorKind.NO_SERVER
    return RequestError(kind, retry_after=retry_delay)
