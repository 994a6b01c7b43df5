"""Lease snapshots in a keyed topic of the store."""

from datetime import UTC, datetime, timedelta

import msgspec
import xxhash

from lavendershift.errors import LogUnavailableError
from lavendershift.leases import LeaseEntry, LeaseSnapshot, SnapshotResult
from lavendershift.platform import names
from lavendershift.platform.store import AppendResult, StoreClient

EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
RESULTS = {
    AppendResult.DONE: SnapshotResult.DONE,
    AppendResult.MOVED: SnapshotResult.MOVED,
    AppendResult.NOT_DONE: SnapshotResult.REFUSED,
    AppendResult.UNKNOWN: SnapshotResult.UNKNOWN,
}


class _SnapshotValue(msgspec.Struct):
    incarnation: str
    boot: str
    at_us: int  # µs from the boot to the snapshot
    written_us: int  # Unix time of the snapshot in µs
    # Unspent tokens, burst and tokens/s of each customer.
    entries: dict[str, tuple[int, float, float]]
    opens_us: int = 0  # delay in µs from the snapshot to the unlock period
    opening_us: int = 5_000_000  # duration of the unlock period in µs


class StoreLeaseLog:
    """The lease snapshots of one VM, in a partition that VMs may share."""

    def __init__(self, store: StoreClient, vm: str, partitions: int) -> None:
        self._store = store
        self._key = vm.encode()
        self._partition = xxhash.xxh3_64_intdigest(self._key) % max(partitions, 1)

    async def read(self) -> tuple[LeaseSnapshot | None, int]:
        """Return this VM's newest snapshot and the end of its partition."""
        newest = await self._store.read_newest(names.LEASES_TOPIC, self._partition)
        records = list(newest.records)
        end = newest.next_offset
        while True:
            batch = await self._store.read(names.LEASES_TOPIC, self._partition, end)
            records += batch.records
            end = batch.next_offset
            if not batch.records or end >= batch.end:
                break
        own = [r.value for r in records if r.key == self._key and r.value]
        return (decode_snapshot(own[-1]) if own else None), end

    async def write(
        self, end: int, snapshot: LeaseSnapshot
    ) -> tuple[SnapshotResult, int]:
        """Append a snapshot if the partition ends at ``end``; return its end."""
        value = msgspec.json.encode(
            _SnapshotValue(
                snapshot.incarnation,
                snapshot.boot,
                snapshot.since_boot // timedelta(microseconds=1),
                (snapshot.written_at - EPOCH) // timedelta(microseconds=1),
                {c: (e.unspent, e.burst, e.rate) for c, e in snapshot.entries.items()},
                snapshot.unlock_delay // timedelta(microseconds=1),
                snapshot.unlock_period // timedelta(microseconds=1),
            )
        )
        result, new_end = await self._store.append(
            names.LEASES_TOPIC, self._partition, [(self._key, value)], end
        )
        return RESULTS[result], end if new_end is None else new_end


def decode_snapshot(value: bytes) -> LeaseSnapshot:
    """Decode a snapshot; raises ``LogUnavailableError`` if that fails."""
    try:
        wire = msgspec.json.decode(value, type=_SnapshotValue)
    except msgspec.MsgspecError as error:
        raise LogUnavailableError(f"lease snapshot can't be decoded: {error}") from None
    entries = {customer: LeaseEntry(*entry) for customer, entry in wire.entries.items()}
    since_boot = timedelta(microseconds=wire.at_us)
    unlock_delay = timedelta(microseconds=wire.opens_us)
    written_at = EPOCH + timedelta(microseconds=wire.written_us)
    unlock_period = timedelta(microseconds=wire.opening_us)
    return LeaseSnapshot(
        wire.incarnation,
        wire.boot,
        since_boot,
        written_at,
        entries,
        unlock_delay,
        unlock_period,
    )
