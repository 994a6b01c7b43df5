"""The closed set of error kinds and the response to each.

Every failure of a request ends in one ``ErrorKind``. The table ``ANSWERS`` has
the response to the caller: the HTTP status, whether the request ran, whether it
consumed budget, the retry delay, and the counter to increment. Nothing else in
the package chooses a status or states that a request did not run::

    answer = ANSWERS[ErrorKind.BUDGET_EXHAUSTED]
    assert answer.ran is Ran.NO
"""

from datetime import timedelta
from enum import Enum
from typing import NamedTuple


class Ran(Enum):
    """Whether a request ran on a backend server."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """Every way a request can end other than with a complete response."""

    INVALID_REQUEST = "invalid_request"
    TOO_LARGE = "too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    KEY_REQUIRED = "key_required"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    BUDGET_EXHAUSTED = "budget_exhausted"
    BUDGET_PENDING = "budget_pending"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    NO_SERVER = "no_server"
    LOG_UNAVAILABLE = "log_unavailable"
    STARTING = "starting"
    STOPPING = "stopping"
    CONFIGURATION_STALE = "configuration_stale"
    IN_PROGRESS = "in_progress"
    SERVER_REFUSED = "server_refused"
    QUARANTINED = "quarantined"
    SERVER_FAILED = "server_failed"
    ANSWER_TRUNCATED = "answer_truncated"
    OUTCOME_UNKNOWN = "outcome_unknown"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    INTERNAL = "internal"
    VM_OVERLOADED = "vm_overloaded"


class Answer(NamedTuple):
    """The response to a caller for an error kind.

    ``consumed`` states whether the request consumed budget. ``retry_after`` is the
    default retry delay; ``None`` means that retrying the same request cannot help.
    """

    status: int
    ran: Ran
    consumed: Ran
    retry_after: timedelta | None
    counter: str
    message: str


def _refuse(
    status: int, counter: str, message: str, retry_after_s: float | None = None
) -> Answer:
    """Return the response to a request that did not run and consumed nothing."""
    delay = None if retry_after_s is None else timedelta(seconds=retry_after_s)
    return Answer(status, Ran.NO, Ran.NO, delay, f"refused.{counter}", message)


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.INVALID_REQUEST: _refuse(
        400, "invalid_request", "The request is malformed."
    ),
    ErrorKind.TOO_LARGE: _refuse(413, "too_large", "The request is too large."),
    ErrorKind.UNAUTHENTICATED: _refuse(
        401, "unauthenticated", "The API key is not known."
    ),
    ErrorKind.FORBIDDEN: _refuse(403, "forbidden", "The customer may not do this."),
    ErrorKind.UNKNOWN_MODEL: _refuse(404, "unknown_model", "No such model."),
    ErrorKind.UNKNOWN_SERVICE: _refuse(404, "unknown_service", "No such service."),
    ErrorKind.UNKNOWN_ROUTE: _refuse(
        404, "unknown_route", "No route for this host and path."
    ),
    ErrorKind.KEY_REQUIRED: _refuse(
        428, "key_required", "A call that may not be repeated needs an Idempotency-Key."
    ),
    ErrorKind.KEY_REUSED: _refuse(
        422, "key_reused", "The Idempotency-Key was used for a different request."
    ),
    ErrorKind.KEY_EXPIRED: _refuse(
        410, "key_expired", "The Idempotency-Key is older than the time keys are kept."
    )._replace(ran=Ran.UNKNOWN, consumed=Ran.UNKNOWN),
    ErrorKind.BUDGET_EXHAUSTED: _refuse(
        402, "budget_exhausted", "The prepaid budget cannot cover this request.", 60
    ),
    ErrorKind.BUDGET_PENDING: _refuse(
        429, "budget_pending", "The budget is covered by requests in flight.", 2
    ),
    ErrorKind.RATE_LIMITED: _refuse(
        429, "rate_limited", "The rate limit is reached.", 1
    ),
    ErrorKind.OVERLOADED: _refuse(
        503, "overloaded", "All backend servers are busy.", 2
    ),
    ErrorKind.DEADLINE_UNREACHABLE: _refuse(
        503, "deadline_unreachable", "The deadline cannot be met.", 5
    ),
    ErrorKind.NO_SERVER: _refuse(
        503, "no_server", "No backend server is available.", 5
    ),
    ErrorKind.LOG_UNAVAILABLE: _refuse(
        503, "log_unavailable", "The log service is away; this call was not sent.", 10
    ),
    ErrorKind.STARTING: _refuse(503, "starting", "This router is starting.", 1),
    ErrorKind.STOPPING: _refuse(503, "stopping", "This router is shutting down.", 0),
    ErrorKind.CONFIGURATION_STALE: _refuse(
        503, "configuration_stale", "This router waits for its configuration.", 2
    ),
    ErrorKind.IN_PROGRESS: _refuse(
        409, "in_progress", "A request with this Idempotency-Key is still running.", 2
    )._replace(ran=Ran.UNKNOWN, consumed=Ran.UNKNOWN),
    ErrorKind.SERVER_REFUSED: _refuse(
        503, "server_refused", "The backend server refused the request.", 2
    ),
    ErrorKind.QUARANTINED: _refuse(
        503, "quarantined", "A part of this prompt crashed backend servers.", 30
    ),
    ErrorKind.SERVER_FAILED: Answer(
        502,
        Ran.UNKNOWN,
        Ran.UNKNOWN,
        timedelta(seconds=2),
        "failed.server_failed",
        "The backend server failed.",
    ),
    ErrorKind.ANSWER_TRUNCATED: Answer(
        502,
        Ran.YES,
        Ran.YES,
        timedelta(seconds=1),
        "failed.answer_truncated",
        "The answer was cut off.",
    ),
    ErrorKind.OUTCOME_UNKNOWN: Answer(
        504,
        Ran.UNKNOWN,
        Ran.UNKNOWN,
        None,
        "failed.outcome_unknown",
        "The call may have run; it is never run again under this Idempotency-Key.",
    ),
    ErrorKind.DEADLINE_EXCEEDED: Answer(
        504,
        Ran.UNKNOWN,
        Ran.UNKNOWN,
        timedelta(seconds=5),
        "failed.deadline_exceeded",
        "The deadline passed before the answer was complete.",
    ),
    ErrorKind.INTERNAL: Answer(
        500,
        Ran.UNKNOWN,
        Ran.UNKNOWN,
        timedelta(seconds=5),
        "failed.internal",
        "An internal error occurred.",
    ),
    ErrorKind.VM_OVERLOADED: _refuse(
        503, "vm_overloaded", "This router gets more requests than it can serve.", 1
    ),
}


# Transient refusals, caused by the state of the fleet or the budget at that time;
# an earlier submission of the same request may have been accepted and run.
TRANSIENT_REFUSALS = frozenset(
    {
        ErrorKind.BUDGET_EXHAUSTED,
        ErrorKind.BUDGET_PENDING,
        ErrorKind.RATE_LIMITED,
        ErrorKind.OVERLOADED,
        ErrorKind.DEADLINE_UNREACHABLE,
        ErrorKind.NO_SERVER,
        ErrorKind.LOG_UNAVAILABLE,
        ErrorKind.STARTING,
        ErrorKind.STOPPING,
        ErrorKind.CONFIGURATION_STALE,
        ErrorKind.SERVER_REFUSED,
        ErrorKind.QUARANTINED,
        ErrorKind.VM_OVERLOADED,
    }
)


class RequestError(Exception):
    """A request that ends with an error kind instead of a complete response.

    ``detail`` is appended to the table's message, ``retry_after`` replaces the
    table's default retry delay. ``is_first_submission`` is set if the log proves
    that no earlier submission of the same call ran, ``may_have_run_before`` if one
    may have run, so that the response must not say "not run".
    """

    def __init__(
        self,
        kind: ErrorKind,
        detail: str = "",
        retry_after: timedelta | None = None,
    ) -> None:
        super().__init__(f"{kind.value}: {detail}" if detail else kind.value)
        self.kind = kind
        self.detail = detail
        self.retry_after = retry_after
        self.is_first_submission = False
        self.may_have_run_before = False

    @property
    def answer(self) -> Answer:
        """The table's response, adjusted to this error.

        It has this error's own retry delay, and "unknown" in place of "not run"
        if an earlier submission may have run.
        """
        answer = ANSWERS[self.kind]
        if self.may_have_run_before and answer.ran is Ran.NO:
            answer = answer._replace(ran=Ran.UNKNOWN, consumed=Ran.UNKNOWN)
        if self.retry_after is None:
            return answer
        return answer._replace(retry_after=self.retry_after)


class DecodeError(ValueError):
    """External data that does not have the expected format.

    ``location`` is where the invalid value is, such as ``ledger-0@1520[3].tokens``.
    """

    def __init__(self, location: str, reason: str) -> None:
        super().__init__(f"{location}: {reason}")
        self.location = location
        self.reason = reason


class LogUnavailableError(Exception):
    """The log service did not respond; a write may or may not have taken effect."""


class RecordsExpiredError(Exception):
    """The requested records are no longer retained.

    ``first_offset`` is the first offset that is still retained.
    """

    def __init__(self, stream: str, first_offset: int) -> None:
        super().__init__(f"{stream}: records before {first_offset} have expired")
        self.stream = stream
        self.first_offset = first_offset
