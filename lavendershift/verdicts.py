"""Verdicts on the records of the configuration stream.

Operators look up a record by its id to learn its outcome. ``VerdictHistory``
retains the latest verdicts in the order of their offsets. Eviction depends only on
their number, so that all readers retain the same ones.
"""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from lavendershift.records import KIND_OF_RECORD, Entry
from lavendershift.values import MAX_TEXT_LENGTH

MAX_VERDICTS = 10_000  # verdicts retained in a history


class Status(Enum):
    """Outcome of a record."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    DUPLICATE = "duplicate"


class Verdict(NamedTuple):
    """Outcome of the record at ``offset``, with the reason if it has no effect.

    ``id`` is empty if the entry was no valid record; ``time_ms`` is the log's own
    Unix time.
    """

    offset: int
    time_ms: int
    kind: str
    id: str
    author: str
    status: Status
    reason: str = ""

    @property
    def accepted(self) -> bool:
        """Whether the record took effect."""
        return self.status is Status.ACCEPTED


class VerdictHistory:
    """The latest verdicts, indexed by the kind and id of their record."""

    def __init__(self, verdicts: Iterable[Verdict] = ()) -> None:
        self._verdicts: dict[int, Verdict] = {}
        self._by_id: dict[tuple[str, str], Verdict] = {}
        for verdict in verdicts:
            self.add(verdict)

    def add(self, verdict: Verdict) -> None:
        """Add ``verdict`` and evict the oldest one beyond ``MAX_VERDICTS``.

        A duplicate does not replace the verdict on the first record of its id.
        """
        self._verdicts[verdict.offset] = verdict
        if verdict.id and verdict.status is not Status.DUPLICATE:
            self._by_id[verdict.kind, verdict.id] = verdict
        if len(self._verdicts) > MAX_VERDICTS:
            oldest = self._verdicts.pop(next(iter(self._verdicts)))
            if self._by_id.get((oldest.kind, oldest.id)) == oldest:
                del self._by_id[oldest.kind, oldest.id]

    def find(self, kind: str, record_id: str) -> Verdict | None:
        """Return the verdict on the first record of this kind and id, if retained."""
        return self._by_id.get((kind, record_id))

    def list_verdicts(self) -> list[Verdict]:
        """Return the retained verdicts in the order of their offsets."""
        return list(self._verdicts.values())


def make_verdict(entry: Entry, status: Status, reason: str) -> Verdict:
    """Return the verdict on ``entry``, with its texts cut to ``MAX_TEXT_LENGTH``."""
    record = entry.record
    kind = "" if record is None else KIND_OF_RECORD[type(record)]
    return Verdict(
        offset=entry.offset,
        time_ms=entry.time_ms,
        kind=kind,
        id="" if record is None else record.id[:MAX_TEXT_LENGTH],
        author=getattr(record, "author", "")[:MAX_TEXT_LENGTH],
        status=status,
        reason=reason[:MAX_TEXT_LENGTH],
    )
