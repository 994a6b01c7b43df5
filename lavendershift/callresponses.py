"""Responses of plain services, and what an attempt's result says of its server."""

from typing import NamedTuple

from lavendershift.errors import ErrorKind, Ran, RequestError
from lavendershift.records import Outcome
from lavendershift.retries import RetryReason
from lavendershift.servers import AttemptResult
from lavendershift.sinks import ResponseSink
from lavendershift.upstreams import Delivery, UpstreamResult


class ServiceResponse(NamedTuple):
    """Complete response of a plain service."""

    status: int
    content_type: str
    body: bytes


def classify_health(result: UpstreamResult) -> AttemptResult:
    """Return the result of an attempt, as it counts for the server's health."""
    if result.delivery is Delivery.REFUSED:
        return AttemptResult.REFUSED
    if result.delivery is Delivery.ANSWERED and result.status < 500:
        return AttemptResult.COMPLETED
    return AttemptResult.TIMED_OUT if result.timed_out else AttemptResult.FAILED


def classify(result: UpstreamResult) -> tuple[RetryReason, Ran]:
    """Return why an attempt failed and whether it ran."""
    if result.delivery is Delivery.NOT_SENT:
        return RetryReason.CONNECT_FAILED, Ran.NO
    if result.delivery is Delivery.REFUSED:
        return RetryReason.REFUSED, Ran.NO
    if result.delivery is Delivery.UNKNOWN:
        return RetryReason.TIMEOUT, Ran.UNKNOWN
    return RetryReason.FAILED, Ran.UNKNOWN


def make_response(result: UpstreamResult) -> ServiceResponse:
    """Return the response in the result of an answered attempt."""
    content_type = result.headers.get("Content-Type", "application/octet-stream")
    return ServiceResponse(result.status, content_type, result.body)


def decode_outcome(outcome: Outcome) -> ServiceResponse:
    """Return a recorded response; raises ``RequestError`` if it was too long.

    Bodies are recorded as Latin-1 text, which can represent any bytes.
    """
    if not outcome.content_type:
        raise RequestError(ErrorKind.ANSWER_TRUNCATED, "the answer was not recorded")
    body = outcome.body.encode("latin-1")
    return ServiceResponse(outcome.status, outcome.content_type, body)


def send_response(sink: ResponseSink, response: ServiceResponse, attempt: str) -> None:
    """Send a complete response to the caller."""
    sink.begin(response.status, response.content_type, attempt)
    sink.finish(response.body)
