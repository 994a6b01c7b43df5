"""Open recall requests for idle tokens, smallest first.

Near exhaustion several routers may each hold part of the tokens that a waiting
request needs. All of them read the same ``Recall`` records and serve the
smallest request first, and among equal ones the first in the log. A router
returns tokens for the requests ahead of its own but not for those behind it, so
that no two routers wait for each other's tokens.
"""

from datetime import timedelta
from typing import NamedTuple

from lavendershift.ledgerrules import Verdict
from lavendershift.records import Grant, Recall, Record

RECALL_TTL = timedelta(seconds=4)  # log time after which a recall request expires


class RecallRequest(NamedTuple):
    """One router's recall request, with the log's time of its record."""

    incarnation: str
    tokens: int
    time_ms: int


class RecallQueue:
    """Recall requests of one ledger stream that are neither served nor expired."""

    def __init__(self) -> None:
        self._open: dict[str, list[RecallRequest]] = {}

    def apply(self, record: Record, verdict: Verdict, time_ms: int) -> None:
        """Apply a record that the ledger has applied, with its time in the log."""
        if not verdict.counted:
            return
        if isinstance(record, Recall):
            self._add_recall(record, time_ms)
        elif isinstance(record, Grant) and record.budget in self._open:
            self._apply_grant(record, verdict.tokens)

    def sum_ahead(self, budget: str, incarnation: str, time_ms: int) -> int:
        """Return the tokens of the requests served before that of ``incarnation``.

        If ``incarnation`` has no request, that is the sum of all requests.
        """
        tokens = 0
        unexpired = self._find_unexpired(budget, time_ms)
        for recall in sorted(unexpired, key=lambda recall: recall.tokens):
            if recall.incarnation == incarnation:
                break
            tokens += recall.tokens
        return tokens

    def _find_unexpired(self, budget: str, time_ms: int) -> list[RecallRequest]:
        recalls = self._open.get(budget)
        if not recalls:
            return []
        oldest_ms = time_ms - RECALL_TTL / timedelta(milliseconds=1)
        unexpired = [recall for recall in recalls if recall.time_ms >= oldest_ms]
        if unexpired:
            self._open[budget] = unexpired
        else:
            del self._open[budget]
        return unexpired

    def _add_recall(self, record: Recall, time_ms: int) -> None:
        new = RecallRequest(record.incarnation, record.tokens, time_ms)
        recalls = self._find_unexpired(record.budget, time_ms)
        for index, recall in enumerate(recalls):
            if recall.incarnation == record.incarnation:
                recalls[index] = new
                return
        self._open.setdefault(record.budget, []).append(new)

    def _apply_grant(self, record: Grant, tokens: int) -> None:
        remaining = []
        for recall in self._open[record.budget]:
            if recall.incarnation == record.incarnation:
                recall = recall._replace(tokens=recall.tokens - tokens)
            if recall.tokens > 0:
                remaining.append(recall)
        self._open[record.budget] = remaining
