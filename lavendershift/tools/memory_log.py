"""An in-memory log for measurements and tests within one process.

It implements ``streams.LogClient`` and the additional calls of a relay. It sends
nothing over a network, so a measurement covers only the work of the caller.
"""

import asyncio
import contextlib
from collections.abc import Sequence
from datetime import timedelta
from typing import Any, NamedTuple

from lavendershift.errors import LogUnavailableError, RecordsExpiredError
from lavendershift.records import Record, decode_entry, encode_record
from lavendershift.streams import ReadResult

RawEntry = tuple[int, int, Any]


class RawPage(NamedTuple):
    """Undecoded entries, and the offsets to read next and at the stream's end."""

    entries: list[RawEntry]
    next_offset: int
    end_offset: int


class MemoryStream:
    """The entries of one stream.

    Reads before ``first_offset`` fail, as those entries have expired.
    """

    def __init__(self) -> None:
        self.entries: list[RawEntry] = []
        self.first_offset = 0
        self.appended = asyncio.Event()


class MemoryLog:
    """Streams in memory; all calls fail while ``available`` is false."""

    def __init__(self) -> None:
        self.streams: dict[str, MemoryStream] = {}
        self.available = True
        self.appends = 0
        self.received_bytes = 0  # never counted, as there is no network transfer
        self.time_ms = 0

    def find_stream(self, stream: str) -> MemoryStream:
        """Return the named stream; create it if it does not exist."""
        return self.streams.setdefault(stream, MemoryStream())

    async def append_records(self, stream: str, records: Sequence[Record]) -> int:
        """Append ``records``; see ``streams.LogClient``."""
        return await self.append_raw(stream, [encode_record(r) for r in records])

    async def append_raw(self, stream: str, records: list[Any]) -> int:
        """Append records that are in their JSON form already."""
        self._check_available()
        found = self.find_stream(stream)
        offset = len(found.entries)
        self.appends += 1
        for number, record in enumerate(records):
            found.entries.append((offset + number, self.time_ms, record))
        found.appended.set()
        found.appended = asyncio.Event()
        return offset

    async def read_entries(
        self, stream: str, offset: int, limit: int, wait: timedelta
    ) -> ReadResult:
        """Return entries; see ``streams.LogClient``."""
        page = await self.read_raw(stream, offset, limit, wait)
        entries = [decode_entry(stream, *raw) for raw in page.entries]
        return ReadResult(entries, page.next_offset, page.end_offset)

    async def read_raw(
        self, stream: str, offset: int, limit: int, wait: timedelta
    ) -> RawPage:
        """Return entries whose records are in their JSON form."""
        self._check_available()
        found = self.find_stream(stream)
        if offset >= len(found.entries) and wait:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait.total_seconds()):
                    await found.appended.wait()
            self._check_available()
        if offset < found.first_offset:
            raise RecordsExpiredError(stream, found.first_offset)
        entries = found.entries[offset : offset + limit]
        return RawPage(entries, offset + len(entries), len(found.entries))

    async def close(self) -> None:
        """Do nothing, as there is no connection to close."""

    def _check_available(self) -> None:
        if not self.available:
            raise LogUnavailableError("the log is switched off")
