"""Prepaid tokens of each budget, as of any offset of the configuration stream.

Ledger records name the configuration offset against which they are applied. It may
be far behind the newest one, so the complete history of top-ups is stored.
"""

from bisect import bisect_left
from collections.abc import Iterable
from typing import NamedTuple


class TopUpEntry(NamedTuple):
    """An accepted top-up and the offset at which it was applied."""

    offset: int
    budget: str
    tokens: int
    id: str


class _Prepaid(NamedTuple):
    """Offsets of a budget's top-ups and the running total after each."""

    offsets: list[int]
    totals: list[int]


class TopUpHistory:
    """All accepted top-ups, so that a repeated id is recognized at any time."""

    def __init__(self, entries: Iterable[TopUpEntry] = ()) -> None:
        self._entries: list[TopUpEntry] = []
        self._offset_of: dict[str, int] = {}
        self._prepaid: dict[str, _Prepaid] = {}
        for entry in entries:
            self.add(entry)

    def add(self, entry: TopUpEntry) -> None:
        """Add ``entry``, whose offset must be above all earlier ones."""
        self._entries.append(entry)
        self._offset_of[entry.id] = entry.offset
        prepaid = self._prepaid.setdefault(entry.budget, _Prepaid([], []))
        total = prepaid.totals[-1] if prepaid.totals else 0
        prepaid.offsets.append(entry.offset)
        prepaid.totals.append(total + entry.tokens)

    def find_offset(self, top_up_id: str) -> int | None:
        """Return the offset at which the top-up was applied, ``None`` if it was not."""
        return self._offset_of.get(top_up_id)

    def count_prepaid(self, budget: str, offset: int) -> int:
        """Return the tokens added to ``budget`` at offsets below ``offset``."""
        prepaid = self._prepaid.get(budget)
        if prepaid is None:
            return 0
        count = bisect_left(prepaid.offsets, offset)
        return prepaid.totals[count - 1] if count else 0

    def list_entries(self) -> list[TopUpEntry]:
        """Return the top-ups in the order of their offsets."""
        return list(self._entries)

    def list_budgets(self) -> list[str]:
        """Return the names of all budgets ever topped up."""
        return list(self._prepaid)
