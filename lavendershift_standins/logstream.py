"""Streams kept by the stand-in of the log service.

A ``Stream`` holds its entries as ready JSON, so that many readers of the same
entries cost no encoding.
"""

import asyncio
from typing import NamedTuple


class ReadPage(NamedTuple):
    """A run of entries in JSON, and where to go on reading."""

    entries: list[bytes]
    next_offset: int
    end_offset: int


class Retention(NamedTuple):
    """How long entries are kept; ``None`` keeps them for ever."""

    age_ms: int | None = None
    records: int | None = None


class Stream:
    """An append-only run of records with offsets."""

    def __init__(self, retention: Retention) -> None:
        self._retention = retention
        self._entries: list[bytes] = []
        self._times_ms: list[int] = []
        self._last_time_ms = 0
        self._appended = asyncio.Event()
        self.first_offset = 0

    @property
    def end_offset(self) -> int:
        """One past the last entry."""
        return self.first_offset + len(self._entries)

    def append(self, records: list[bytes], now_ms: int) -> int:
        """Append ``records`` at one moment and return the offset of the first.

        The time of an entry is never below that of the one before it, even if
        the clock stepped back.
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
        """Return up to ``limit`` entries from ``offset`` on, which is retained."""
        start = offset - self.first_offset
        entries = self._entries[start : start + limit]
        return ReadPage(entries, offset + len(entries), self.end_offset)

    def expire(self, now_ms: int) -> None:
        """Drop the entries that the retention no longer covers."""
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
        """Wait for the next append, at most ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._appended.wait()
        except TimeoutError:
            return
