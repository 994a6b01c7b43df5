"""Lease snapshots in a keyed topic of the store."""

from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Annotated

import msgspec
import xxhash

from lavendershift.decoding import Count, Rate, decode_json
from lavendershift.errors import DecodeError
from lavendershift.leases import LeaseEntry, LeaseSnapshot, SnapshotResult
from lavendershift.platform import names
from lavendershift.platform.store import StoreClient
from lavendershift.platform.storerecords import AppendResult
from lavendershift.storehistories import StoreRestoredError

EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
RESULTS = {
    AppendResult.DONE: SnapshotResult.DONE,
    AppendResult.MOVED: SnapshotResult.MOVED,
    AppendResult.NOT_DONE: SnapshotResult.REFUSED,
    AppendResult.UNKNOWN: SnapshotResult.UNKNOWN,
}


# A time in µs; the largest is below the end of the calendar.
MAX_MICROSECONDS = 10**17
Microseconds = Annotated[int, msgspec.Meta(ge=0, le=MAX_MICROSECONDS)]
Offset = Annotated[int, msgspec.Meta(ge=-MAX_MICROSECONDS, le=MAX_MICROSECONDS)]
Period = Annotated[int, msgspec.Meta(ge=1, le=MAX_MICROSECONDS)]


class _SnapshotValue(msgspec.Struct):
    incarnation: str
    boot: str
    at_us: Offset  # µs from the boot to the snapshot, by a clock with any start
    written_us: Microseconds  # Unix time of the snapshot in µs
    # Unspent tokens, burst and tokens/s of each customer.
    entries: dict[str, tuple[Count, Rate, Rate]]
    opens_us: Microseconds = 0  # delay in µs from the snapshot to the unlock period
    opening_us: Period = 5_000_000  # duration of the unlock period in µs
    era: Count | msgspec.UnsetType = msgspec.UNSET  # era of the store when written


class StoreLeaseLog:
    """The lease snapshots of one VM, in a partition that VMs may share.

    ``on_skipped`` is called with the reason why a snapshot can't be decoded. After a
    restore of the store, the newest snapshot there may be an older one, whose tokens
    are spent; so one of an earlier era counts no tokens.
    """

    def __init__(
        self,
        store: StoreClient,
        vm: str,
        partitions: int,
        on_skipped: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._on_skipped = on_skipped
        self._store = store
        self._key = vm.encode()
        self._partition = xxhash.xxh3_64_intdigest(self._key) % max(partitions, 1)
        self._history = store.history
        self._restored_end: int | None = None

    async def read(self) -> tuple[LeaseSnapshot | None, int]:
        """Return this VM's newest snapshot and the end of its partition.

        There is none if the newest can't be decoded: its tokens stay granted and
        unused, and the next snapshot replaces it.
        """
        newest = await self._store.read_newest(names.LEASES_TOPIC, self._partition)
        history = newest.history
        records = list(newest.records)
        end = newest.next_offset
        while True:
            batch = await self._store.read(names.LEASES_TOPIC, self._partition, end)
            if batch.history != history:
                raise StoreRestoredError("lease snapshots of two histories")
            records += batch.records
            end = batch.next_offset
            if not batch.records or end >= batch.end:
                break
        self._history, self._restored_end = history, None
        own = [r.value for r in records if r.key == self._key and r.value]
        return (self._decode(own[-1]) if own else None), end

    def _decode(self, value: bytes) -> LeaseSnapshot | None:
        try:
            return decode_snapshot(value, self._history.era)
        except DecodeError as error:
            self._on_skipped(error.reason)
            return None

    async def write(
        self, end: int, snapshot: LeaseSnapshot
    ) -> tuple[SnapshotResult, int]:
        """Append a snapshot if the partition ends at ``end``; return its end.

        If the store was restored since ``end`` was read, the new end is read for the
        next call and ``StoreRestoredError`` is raised, as the caller may have to record
        lost grants before.
        """
        if self._store.history != self._history:
            _, self._restored_end = await self.read()
            raise StoreRestoredError("the end is from before a restore")
        if self._restored_end is not None:
            end, self._restored_end = self._restored_end, None
        era = self._history.era or msgspec.UNSET
        value = msgspec.json.encode(
            _SnapshotValue(
                snapshot.incarnation,
                snapshot.boot,
                snapshot.since_boot // timedelta(microseconds=1),
                (snapshot.written_at - EPOCH) // timedelta(microseconds=1),
                {c: (e.unspent, e.burst, e.rate) for c, e in snapshot.entries.items()},
                snapshot.unlock_delay // timedelta(microseconds=1),
                snapshot.unlock_period // timedelta(microseconds=1),
                era,
            )
        )
        result, new_end = await self._store.append(
            names.LEASES_TOPIC,
            self._partition,
            [(self._key, value)],
            end,
            self._history,
        )
        if self._store.history != self._history:
            raise StoreRestoredError("restored during the append of a lease snapshot")
        return RESULTS[result], end if new_end is None else new_end


def decode_snapshot(value: bytes, era: int = 0) -> LeaseSnapshot:
    """Decode a snapshot; raises ``DecodeError``.

    One that was written in another era than ``era`` has no entries.
    """
    wire = decode_json(value, _SnapshotValue, "lease snapshot")
    entries = {customer: LeaseEntry(*entry) for customer, entry in wire.entries.items()}
    if (wire.era or 0) != era:
        entries = {}
    return LeaseSnapshot(
        wire.incarnation,
        wire.boot,
        timedelta(microseconds=wire.at_us),
        EPOCH + timedelta(microseconds=wire.written_us),
        entries,
        timedelta(microseconds=wire.opens_us),
        timedelta(microseconds=wire.opening_us),
    )
