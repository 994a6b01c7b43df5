"""Classification of the results of attempts at engines."""

import msgspec

from lavendershift.decoding import run_decoder
from lavendershift.errors import DecodeError, Ran
from lavendershift.retries import RetryReason
from lavendershift.upstreams import Delivery, UpstreamResult

CLIENT_ERRORS = range(400, 500)
MODEL_MISSING_STATUS = 404


def is_caller_error(result: UpstreamResult) -> bool:
    """Return whether an engine rejected a request as invalid.

    A missing model is a fault of the engine, not of the caller.
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


def proves_not_run(result: UpstreamResult) -> bool:
    """Return whether an attempt without usage certainly consumed no tokens."""
    if result.delivery in (Delivery.NOT_SENT, Delivery.REFUSED):
        return True
    return result.delivery is Delivery.ANSWERED and result.status in CLIENT_ERRORS


def combine_ran(earlier: Ran, latest: Ran) -> Ran:
    """Return whether a request ran in its earlier or its latest attempt."""
    for ran in (Ran.YES, Ran.UNKNOWN):
        if ran in (earlier, latest):
            return ran
    return Ran.NO


def summarize_error(body: bytes) -> str:
    """Return the message of an engine's error response, cut to 200 characters."""
    try:
        data = run_decoder(lambda: msgspec.json.decode(body), "error")
    except DecodeError:
        return ""
    error = data.get("error") if isinstance(data, dict) else None
    message = error.get("message") if isinstance(error, dict) else error
    return str(message or "")[:200]
