"""Counters and gauges of a process.

The set of names is fixed: one counter for each error kind, retry reason and
ejection cause, and those of ``COUNTERS``, ``GAUGES`` and ``BUDGET_GAUGES``.
Values are kept in the process; ``snapshot`` returns them, for plug-ins that
export them. Signals increment the counters, so that no other module depends on
this one for counting::

    metrics = Metrics()
    metrics.connect()
    metrics.snapshot().counters["refused.overloaded"]
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

from lavendershift import signals
from lavendershift.balances import BudgetView
from lavendershift.ejection import EjectionCause
from lavendershift.errors import ANSWERS, ErrorKind, RequestError
from lavendershift.retries import RetryReason

RETRY_PREFIX = "retried."
EJECTION_PREFIX = "ejected."
BUDGET_PREFIX = "budget."

COUNTERS: dict[str, str] = {
    "requests.received": "Requests that reached the router.",
    "requests.admitted": "Requests that passed admission.",
    "requests.dispatched": "Attempts handed to a backend server.",
    "requests.answered": "Requests that got their whole answer.",
    "configuration.changed": "Times that newer configuration took effect.",
    "records.counted": "Ledger records folded that took effect.",
    "records.void": "Ledger records folded that have no effect.",
}

RETRIES: dict[RetryReason, str] = {
    RetryReason.CONNECT_FAILED: "No connection to the server was made.",
    RetryReason.REFUSED: "The server refused the attempt before running it.",
    RetryReason.FAILED: "The server failed.",
    RetryReason.TIMEOUT: "The server did not answer in time.",
    RetryReason.TRUNCATED: "The answer was cut off before any of it was passed on.",
}

EJECTIONS: dict[EjectionCause, str] = {
    EjectionCause.FAILURES: "A server failed too often.",
    EjectionCause.LATENCY: "A server was much slower than the others.",
    EjectionCause.PROBE_FAILED: "An ejected server failed its probe.",
}

GAUGES: dict[str, str] = {
    "requests.in_flight": "Requests admitted and not yet ended.",
    "configuration.offset": "Offset up to which the configuration is in force.",
}

BUDGET_GAUGES: dict[str, str] = {
    "prepaid": "Tokens paid for in advance.",
    "available": "Tokens that may still be granted to routers.",
    "spent": "Tokens consumed.",
    "billed": "Tokens billed.",
    "held": "Tokens held by routers, unspent.",
    "in_doubt": "Tokens held by lost routers.",
}


class Snapshot(NamedTuple):
    """All counters and gauges at one time."""

    counters: Mapping[str, int]
    gauges: Mapping[str, float]


def list_counters() -> dict[str, str]:
    """Return the description of every counter by name."""
    return {
        **COUNTERS,
        **{answer.counter: answer.message for answer in ANSWERS.values()},
        **{f"{RETRY_PREFIX}{reason.value}": RETRIES[reason] for reason in RetryReason},
        **{
            f"{EJECTION_PREFIX}{cause.value}": EJECTIONS[cause]
            for cause in EjectionCause
        },
    }


class Metrics:
    """Counters and gauges; every counter exists from the start, with value 0."""

    def __init__(self) -> None:
        self._counters = dict.fromkeys(list_counters(), 0)
        self._gauges: dict[str, float] = dict.fromkeys(GAUGES, 0)

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter; raises ``KeyError`` for an unknown name."""
        self._counters[name] += amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge; raises ``KeyError`` for an unknown name."""
        if name not in GAUGES:
            raise KeyError(name)
        self._gauges[name] = value

    def set_budget(self, budget: str, view: BudgetView) -> None:
        """Set the gauges ``budget.NAME.*`` of one budget."""
        values = view._asdict() | {"held": sum(view.held.values())}
        for name in BUDGET_GAUGES:
            self._gauges[f"{BUDGET_PREFIX}{budget}.{name}"] = values[name]

    def drop_budget(self, budget: str) -> None:
        """Remove the gauges of a budget that this process no longer uses."""
        for name in BUDGET_GAUGES:
            self._gauges.pop(f"{BUDGET_PREFIX}{budget}.{name}", None)

    def count_error(self, kind: ErrorKind) -> None:
        """Increment the counter of an error kind."""
        self.count(ANSWERS[kind].counter)

    def snapshot(self) -> Snapshot:
        """Return a copy of all counters and gauges."""
        return Snapshot(dict(self._counters), dict(self._gauges))

    def connect(self) -> None:
        """Connect the counters to signals for the lifetime of this object."""
        signals.request_received.connect(self._on_request_received)
        signals.request_admitted.connect(self._on_request_admitted)
        signals.request_dispatched.connect(self._on_request_dispatched)
        signals.request_answered.connect(self._on_request_answered)
        signals.request_refused.connect(self._on_request_refused)
        signals.request_retried.connect(self._on_request_retried)
        signals.configuration_changed.connect(self._on_configuration_changed)
        signals.record_folded.connect(self._on_record_folded)
        signals.server_ejected.connect(self._on_server_ejected)

    def _on_request_received(self, sender: Any, **_: Any) -> None:
        self.count("requests.received")

    def _on_request_admitted(self, sender: Any, **_: Any) -> None:
        self.count("requests.admitted")

    def _on_request_dispatched(self, sender: Any, **_: Any) -> None:
        self.count("requests.dispatched")

    def _on_request_answered(self, sender: Any, **_: Any) -> None:
        self.count("requests.answered")

    def _on_request_refused(self, sender: Any, error: RequestError, **_: Any) -> None:
        self.count_error(error.kind)

    def _on_request_retried(self, sender: Any, reason: RetryReason, **_: Any) -> None:
        self.count(RETRY_PREFIX + reason.value)

    def _on_configuration_changed(self, sender: Any, offset: int, **_: Any) -> None:
        self.count("configuration.changed")
        self.set_gauge("configuration.offset", offset)

    def _on_record_folded(self, sender: Any, verdict: Any, **_: Any) -> None:
        self.count("records.counted" if verdict.counted else "records.void")

    def _on_server_ejected(self, sender: Any, ejection: Any, **_: Any) -> None:
        self.count(EJECTION_PREFIX + ejection.cause.value)
