"""What the result of an attempt at an engine says about the request."""

import msgspec

from lavendershift.errors import Ran
from lavendershift.retries import RetryReason
from lavendershift.upstreams import Delivery, UpstreamResult

CLIENT_ERRORS = range(400, 500)
MODEL_MISSING_STATUS = 404


def is_callers_fault(result: UpstreamResult) -> bool:
    """Whether an engine refused a request for what the caller asked.

    An engine that misses its model is not the caller's fault.
    """
    if result.delivery is not Delivery.ANSWERED:
        return False
    return result.status in CLIENT_ERRORS and result.status != MODEL_MISSING_STATUS


def classify(result: UpstreamResult) -> tuple[RetryReason, Ran]:
    """Return why an attempt failed and whether it ran."""
    if result.delivery is Delivery.NOT_SENT:
        return RetryReason.CONNECT_FAILED, Ran.NO
    if result.delivery is Delivery.REFUSED or result.status == MODEL_MISSING_STATUS:
        return RetryReason.REFUSED, Ran.NO
    return RetryReason.FAILED, Ran.UNKNOWN


def proves_no_run(result: UpstreamResult) -> bool:
    """Whether an attempt that has no usage certainly consumed nothing."""
    if result.delivery in (Delivery.NOT_SENT, Delivery.REFUSED):
        return True
    return result.delivery is Delivery.ANSWERED and result.status in CLIENT_ERRORS


def combine(earlier: Ran, latest: Ran) -> Ran:
    """Return whether a request ran in any of its attempts."""
    for ran in (Ran.YES, Ran.UNKNOWN):
        if ran in (earlier, latest):
            return ran
    return Ran.NO


def summarize_error(body: bytes) -> str:
    """Return the message of an engine's error answer, shortened."""
    try:
        data = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return ""
    error = data.get("error") if isinstance(data, dict) else None
    message = error.get("message") if isinstance(error, dict) else error
    return str(message or "")[:200]
