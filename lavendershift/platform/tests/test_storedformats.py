"""Bytes in the store stay the same when identifiers are renamed.

Values in the store are encoded by the names of their fields. A rename of a field
changes data that routers of two builds share: one of them then rejects what the other
wrote, or drops the field. The literals here were written by the build of commit
c614204, before a renaming of identifiers.
"""

import asyncio
from datetime import UTC, datetime, timedelta

import logbook

from lavendershift.clocks import ManualClock
from lavendershift.leases import LeaseEntry, LeaseSnapshot, SnapshotResult
from lavendershift.logs import EventLog
from lavendershift.platform.grants import StoreQuotaLog
from lavendershift.platform.leases import StoreLeaseLog
from lavendershift.platform.presence import PresenceFeed, PresenceWriter
from lavendershift.platform.storerecords import AppendResult, Batch, Record
from lavendershift.quotalogs import QuotaRecord, SwapResult
from lavendershift.storehistories import History
from lavendershift.vmlist import VmRow

LEASE_VALUE = (
    b'{"incarnation":"edge-1/1700000000000-4f2a9c","boot":"b00t","at_us":81000000,'
    b'"written_us":1764850000000000,"entries":{"plume":[4200,420.0,31.5]},'
    b'"opens_us":1200000,"opening_us":5000000}'
)
QUOTA_VALUE = b'{"granted":120000,"change":"edge-1/1700000000000-4f2a9c/7"}'
VM_VALUE = (
    b'{"address":"10.0.0.4:8000","domain":"rennes",'
    b'"incarnation":"1700000000000-4f2a9c","renewal":17,"leaving":true,'
    b'"demand":{"plume":31.5},"peer":"10.0.0.4:7301","capacity":42.5,'
    b'"arrivals":12.25,"active":false}'
)


class FakeStore:
    """Records appends, and holds one record that was stored before."""

    history = History()

    def __init__(self, topic, partition, key, value):
        self.place = (topic, partition)
        self.batch = Batch([Record(0, key, value)], next_offset=1, end=1)
        self.appends = []

    async def read_newest(self, topic, partition):
        assert (topic, partition) == self.place
        return self.batch

    async def read(self, topic, partition, offset):
        return Batch([], next_offset=offset, end=1)

    async def append(self, topic, partition, records, end=None, history=None):
        assert (topic, partition) == self.place
        self.appends += records
        return AppendResult.DONE, 2


def test_a_lease_snapshot_keeps_its_bytes():
    store = FakeStore("keyed.passbooks", 2, b"edge-1", LEASE_VALUE)
    log = StoreLeaseLog(store, "edge-1", partitions=8)

    async def work():
        snapshot, end = await log.read()
        result, _ = await log.write(end, snapshot)
        return snapshot, result

    snapshot, result = asyncio.run(work())
    assert snapshot == LeaseSnapshot(
        incarnation="edge-1/1700000000000-4f2a9c",
        boot="b00t",
        since_boot=timedelta(seconds=81),
        written_at=datetime(2025, 12, 4, 12, 6, 40, tzinfo=UTC),
        entries={"plume": LeaseEntry(unspent=4200, burst=420.0, rate=31.5)},
        unlock_delay=timedelta(milliseconds=1200),
        unlock_period=timedelta(seconds=5),
    )
    assert result is SnapshotResult.DONE
    assert store.appends == [(b"edge-1", LEASE_VALUE)]


def test_a_quota_record_keeps_its_bytes():
    store = FakeStore("keyed.grants", 3, b"plume", QUOTA_VALUE)
    log = StoreQuotaLog(store, partition=3)

    async def work():
        records, end = await log.read_newest()
        return records, await log.swap(end, records)

    records, result = asyncio.run(work())
    change_id = "edge-1/1700000000000-4f2a9c/7"
    assert records == [
        QuotaRecord(customer="plume", granted=120_000, change_id=change_id)
    ]
    assert result is SwapResult.DONE
    assert store.appends == [(b"plume", QUOTA_VALUE)]


class FakeVmList:
    """Records the rows of other VMs, and holds the own row."""

    def __init__(self):
        self.own = None
        self.rows = []

    def set_own(self, row):
        self.own = row

    def update(self, row, is_new):
        self.rows.append(row)
        return True

    def expire(self):
        return []


def test_a_vm_row_keeps_its_bytes():
    store, vms = FakeStore("keyed.vms", 0, b"edge-1", VM_VALUE), FakeVmList()
    log = EventLog(logbook.NullHandler(), "edge-1", "rennes", ManualClock())
    feed = PresenceFeed(ManualClock(), store, log, vms, lambda: True)
    feed.apply_records(store.batch.records, is_snapshot=True)
    row = VmRow(
        name="edge-1",
        address="10.0.0.4:8000",
        failure_domain="rennes",
        incarnation="1700000000000-4f2a9c",
        renewal=17,
        is_leaving=True,
        demand={"plume": 31.5},
        peer_address="10.0.0.4:7301",
        capacity=42.5,
        arrivals=12.25,
        is_active=False,
    )
    assert vms.rows == [row]
    vms.own = row._replace(renewal=16)  # the writer counts each row that it writes
    writer = PresenceWriter(
        store, vms, lambda: row.demand, lambda: row.arrivals, lambda: row.is_active
    )
    asyncio.run(writer.renew())
    assert store.appends == [(b"edge-1", VM_VALUE)]
