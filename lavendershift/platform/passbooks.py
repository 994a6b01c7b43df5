"""Passbook pages in a keyed topic of the store."""

from datetime import UTC, datetime, timedelta

import msgspec
import xxhash

from lavendershift.errors import LogUnavailableError
from lavendershift.passbook import Entry, Page, PageResult
from lavendershift.platform import names
from lavendershift.platform.store import AppendResult, StoreClient

EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
RESULTS = {
    AppendResult.DONE: PageResult.DONE,
    AppendResult.MOVED: PageResult.MOVED,
    AppendResult.NOT_DONE: PageResult.REFUSED,
    AppendResult.UNKNOWN: PageResult.UNKNOWN,
}


class _Page(msgspec.Struct):
    incarnation: str
    boot: str
    at_us: int  # since boot
    written_us: int  # of the Unix time
    entries: dict[str, tuple[int, float, float]]  # unspent, burst, tokens/s
    opens_us: int = 0  # after the page
    opening_us: int = 5_000_000  # from then on


class StoreLeaseLog:
    """The page of one VM, in a partition that it may share with others."""

    def __init__(self, store: StoreClient, vm: str, partitions: int) -> None:
        self._store = store
        self._key = vm.encode()
        self._partition = xxhash.xxh3_64_intdigest(self._key) % max(partitions, 1)

    async def read(self) -> tuple[Page | None, int]:
        """Return this VM's newest page and the end of its partition."""
        newest = await self._store.read_newest(names.PASSBOOK_TOPIC, self._partition)
        records = list(newest.records)
        end = newest.next_offset
        while True:
            batch = await self._store.read(names.PASSBOOK_TOPIC, self._partition, end)
            records += batch.records
            end = batch.next_offset
            if not batch.records or end >= batch.end:
                break
        own = [r.value for r in records if r.key == self._key and r.value]
        return (decode_page(own[-1]) if own else None), end

    async def write(self, end: int, page: Page) -> tuple[PageResult, int]:
        """Write a page if the partition ends at ``end``; returns its end."""
        value = msgspec.json.encode(
            _Page(
                page.incarnation,
                page.boot,
                page.at // timedelta(microseconds=1),
                (page.written - EPOCH) // timedelta(microseconds=1),
                {c: (e.unspent, e.burst, e.rate) for c, e in page.entries.items()},
                page.unlock_delay // timedelta(microseconds=1),
                page.unlock_period // timedelta(microseconds=1),
            )
        )
        result, new_end = await self._store.append(
            names.PASSBOOK_TOPIC, self._partition, [(self._key, value)], end
        )
        return RESULTS[result], end if new_end is None else new_end


def decode_page(value: bytes) -> Page:
    """Return a page; raises ``LogUnavailableError`` if it can't be read."""
    try:
        wire = msgspec.json.decode(value, type=_Page)
    except msgspec.MsgspecError as error:
        raise LogUnavailableError(f"passbook: {error}") from None
    entries = {customer: Entry(*entry) for customer, entry in wire.entries.items()}
    at = timedelta(microseconds=wire.at_us)
    unlock_delay = timedelta(microseconds=wire.opens_us)
    written = EPOCH + timedelta(microseconds=wire.written_us)
    unlock_period = timedelta(microseconds=wire.opening_us)
    return Page(
        wire.incarnation, wire.boot, at, written, entries, unlock_delay, unlock_period
    )
