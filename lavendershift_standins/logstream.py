"""In-memory streams of the stand-in log service.

A ``Stream`` holds its entries as encoded JSON, so that the same entries aren't
encoded again for each of many readers.
"""

import asyncio
from typing import NamedTuple


class ReadPage(NamedTuple):
    """Consecutive entries as encoded JSON, and the offset of the next read."""

    entries: list[bytes]
    next_offset: int
    end_offset: int


class Retention(NamedTuple):
    """The limits by age and number of retained entries; ``None`` sets no limit."""

    age_ms: int | None = None
    records: int | None = None


class Stream:
    """An append-only sequence of records with consecutive offsets."""

    def __init__(self, retention: Retention) -> None:
        self._retention = retention
        self._entries: list[bytes] = []
        self._times_ms: list[int] = []
        self._last_time_ms = 0
        self._appended = asyncio.Event()
        self.first_offset = 0

    @property
    def end_offset(self) -> int:
        """The offset after the last entry."""
        return self.first_offset + len(self._entries)

    def append(self, records: list[bytes], now_ms: int) -> int:
        """Append ``records`` with one timestamp; return the offset of the first.

        Timestamps never decrease from entry to entry, even if the clock is set
        back.
        """
        first = self.end_offset
        if not records:
            return first
        time_ms = self._last_time_ms = max(now_ms, self._last_time_ms)
        for i, record in enumerate(records):
            self._entries.append(b"[%d,%d,%s]" % (first + i, time_ms, record))
            self._times_ms.append(time_ms)
        self._appended.set()
        self._appended = asyncio.Event()
        return first

    def read(self, offset: int, limit: int) -> ReadPage:
        """Return up to ``limit`` entries from ``offset``, which must be retained."""
        start = offset - self.first_offset
        entries = self._entries[start : start + limit]
        return ReadPage(entries, offset + len(entries), self.end_offset)

    def expire(self, now_ms: int) -> None:
        """Drop the entries beyond the retention limits."""
        count = 0
        if self._retention.records is not None:
            count = max(0, len(self._entries) - self._retention.records)
        if self._retention.age_ms is not None:
            oldest = now_ms - self._retention.age_ms
            while count < len(self._entries) and self._times_ms[count] < oldest:
                count += 1
        if count:
            del self._entries[:count]
            del self._times_ms[:count]
            self.first_offset += count

    async def wait_appended(self, timeout_s: float) -> None:
        """Wait up to ``timeout_s`` seconds for the next append."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._appended.wait()
        except TimeoutError:
            return
