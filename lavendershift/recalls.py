"""Open pleas for idle tokens, smallest first.

Near exhaustion several routers may each hold part of what a waiting request
needs. All of them see the same ``Recall`` records and serve the smallest plea
first, and of equal ones the one the log took in first: a router hands back to
those ahead of it and keeps what it has from those behind, so that no two of
them wait for each other's part.
"""

from datetime import timedelta
from typing import NamedTuple

from lavendershift.ledgerrules import Verdict
from lavendershift.records import Grant, Recall, Record

RECALL_LIFETIME = timedelta(seconds=4)


class OpenRecall(NamedTuple):
    """One plea: who wants how much, and when the log took it in."""

    incarnation: str
    tokens: int
    time_ms: int


class RecallBoard:
    """Pleas of one ledger stream that are neither met nor expired."""

    def __init__(self) -> None:
        self._open: dict[str, list[OpenRecall]] = {}

    def apply(self, record: Record, verdict: Verdict, time_ms: int) -> None:
        """Take in a folded record with the time the log gave it."""
        if not verdict.counted:
            return
        if isinstance(record, Recall):
            self._add(record, time_ms)
        elif isinstance(record, Grant) and record.budget in self._open:
            self._meet(record, verdict.tokens)

    def wanted_ahead(self, budget: str, incarnation: str, time_ms: int) -> int:
        """Return what others want who come before ``incarnation``.

        They all do while it has no plea of its own.
        """
        wanted = 0
        live = self._find_live(budget, time_ms)
        for recall in sorted(live, key=lambda recall: recall.tokens):
            if recall.incarnation == incarnation:
                break
            wanted += recall.tokens
        return wanted

    def _find_live(self, budget: str, time_ms: int) -> list[OpenRecall]:
        recalls = self._open.get(budget)
        if not recalls:
            return []
        limit = time_ms - RECALL_LIFETIME / timedelta(milliseconds=1)
        live = [recall for recall in recalls if recall.time_ms >= limit]
        if live:
            self._open[budget] = live
        else:
            del self._open[budget]
        return live

    def _add(self, record: Recall, time_ms: int) -> None:
        new = OpenRecall(record.incarnation, record.tokens, time_ms)
        recalls = self._find_live(record.budget, time_ms)
        for index, recall in enumerate(recalls):
            if recall.incarnation == record.incarnation:
                recalls[index] = new
                return
        self._open.setdefault(record.budget, []).append(new)

    def _meet(self, record: Grant, tokens: int) -> None:
        remaining = []
        for recall in self._open[record.budget]:
            if recall.incarnation == record.incarnation:
                recall = recall._replace(tokens=recall.tokens - tokens)
            if recall.tokens > 0:
                remaining.append(recall)
        self._open[record.budget] = remaining
