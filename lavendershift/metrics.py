"""Counters and gauges of a process.

The names form a closed vocabulary: one counter for each error kind and each
retry reason, and the rows of ``COUNTERS`` and ``GAUGES``. Counts are kept in
the process, where ``snapshot`` reads them, and handed to sinks that plug-ins
add. Signals raise the counters, so that nothing else has to know of them::

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
    """All counts and gauges at one moment."""

    counters: Mapping[str, int]
    gauges: Mapping[str, float]


def list_counters() -> dict[str, str]:
    """Return every counter's name and meaning."""
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
    """Counters and gauges; every counter is there from the start, at 0."""

    def __init__(self) -> None:
        self._counters = dict.fromkeys(list_counters(), 0)
        self._gauges: dict[str, float] = dict.fromkeys(GAUGES, 0)

    def count(self, name: str, amount: int = 1) -> None:
        """Raise a counter; raises ``KeyError`` for a name that is not listed."""
        self._counters[name] += amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge; raises ``KeyError`` for a name that is not listed."""
        if name not in GAUGES:
            raise KeyError(name)
        self._gauges[name] = value

    def set_budget(self, budget: str, view: BudgetView) -> None:
        """Set the gauges ``budget.NAME.*`` of one budget."""
        values = view._asdict() | {"held": sum(view.held.values())}
        for name in BUDGET_GAUGES:
            self._gauges[f"{BUDGET_PREFIX}{budget}.{name}"] = values[name]

    def drop_budget(self, budget: str) -> None:
        """Forget the gauges of a budget that is no longer served here."""
        for name in BUDGET_GAUGES:
            self._gauges.pop(f"{BUDGET_PREFIX}{budget}.{name}", None)

    def count_error(self, kind: ErrorKind) -> None:
        """Raise the counter of an error kind."""
        self.count(ANSWERS[kind].counter)

    def snapshot(self) -> Snapshot:
        """Return a copy of all counts and gauges."""
        return Snapshot(dict(self._counters), dict(self._gauges))

    def connect(self) -> None:
        """Have signals raise the counters for as long as this object lives."""
        signals.request_received.connect(self._note_received)
        signals.request_admitted.connect(self._note_admitted)
        signals.request_dispatched.connect(self._note_dispatched)
        signals.request_answered.connect(self._note_answered)
        signals.request_refused.connect(self._note_refused)
        signals.request_retried.connect(self._note_retried)
        signals.configuration_changed.connect(self._note_configuration)
        signals.record_folded.connect(self._note_folded)
        signals.server_ejected.connect(self._note_ejected)

    def _note_received(self, sender: Any, **_: Any) -> None:
        self.count("requests.received")

    def _note_admitted(self, sender: Any, **_: Any) -> None:
        self.count("requests.admitted")

    def _note_dispatched(self, sender: Any, **_: Any) -> None:
        self.count("requests.dispatched")

    def _note_answered(self, sender: Any, **_: Any) -> None:
        self.count("requests.answered")

    def _note_refused(self, sender: Any, error: RequestError, **_: Any) -> None:
        self.count_error(error.kind)

    def _note_retried(self, sender: Any, reason: RetryReason, **_: Any) -> None:
        self.count(RETRY_PREFIX + reason.value)

    def _note_configuration(self, sender: Any, offset: int, **_: Any) -> None:
        self.count("configuration.changed")
        self.set_gauge("configuration.offset", offset)

    def _note_folded(self, sender: Any, verdict: Any, **_: Any) -> None:
        self.count("records.counted" if verdict.counted else "records.void")

    def _note_ejected(self, sender: Any, ejection: Any, **_: Any) -> None:
        self.count(EJECTION_PREFIX + ejection.cause.value)
