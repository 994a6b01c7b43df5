"""The log of quota records, as ``QuotaRecords`` needs it, and the records in it."""

from enum import Enum
from typing import NamedTuple, Protocol

from lavendershift.errors import LogUnavailableError
from lavendershift.storehistories import History


class DrawRefusedError(LogUnavailableError):
    """The store refused a change, as it does above its rate limit."""


class QuotaRecord(NamedTuple):
    """One customer's quota, as stored in the log.

    ``granted`` is the new total of grants, ``None`` if the record can't be decoded for
    the reason ``fault``. ``change_id`` identifies the change that wrote it and ``era``
    the store's era at that time. With ``is_settled``, grants that were lost in the
    era's restore had been written again.
    """

    customer: str
    granted: int | None
    change_id: str
    fault: str = ""
    era: int = 0
    is_settled: bool = True


class SwapResult(Enum):
    """Outcome of a conditional append."""

    DONE = "done"
    MOVED = "moved"  # append at an offset other than the partition's end
    REFUSED = "refused"  # refusal for a reason that an immediate retry would meet again
    UNKNOWN = "unknown"


class QuotaLog(Protocol):
    """One partition of the quota records; calls raise ``LogUnavailableError``.

    Offsets are those of the ``history`` in which ``read_newest`` was last called. Once
    ``is_restored``, the store has another one: reads raise ``StoreRestoredError``, and
    no change succeeds, until ``read_newest`` is called again.
    """

    @property
    def history(self) -> History:
        """The history of the store in which the records were read."""
        ...

    @property
    def newest_history(self) -> History:
        """The newest history of the store that this VM knows of."""
        ...

    @property
    def is_restored(self) -> bool:
        """Whether the store has another history by now."""
        ...

    async def read_newest(self) -> tuple[list[QuotaRecord], int]:
        """Return each customer's newest record and the offset from which to read on.

        The offset may lie before some of these records.
        """
        ...

    async def read_records(self, offset: int) -> list[QuotaRecord]:
        """Return the records from ``offset`` to the end of the log."""
        ...

    async def swap(self, end: int, quota_records: list[QuotaRecord]) -> SwapResult:
        """Append ``quota_records`` atomically if the log ends at ``end``."""
        ...
