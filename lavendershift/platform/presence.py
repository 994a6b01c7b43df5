"""Presence of VMs: writes this VM's row to the store and reads the rows of all VMs."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from functools import partial

import msgspec

from lavendershift.clocks import Clock
from lavendershift.decoding import (
    Count,
    Demand,
    decode_identifier,
    decode_json,
    parse_address,
)
from lavendershift.errors import DecodeError
from lavendershift.logs import Event, EventLog
from lavendershift.platform import names
from lavendershift.platform.feeds import Feed
from lavendershift.platform.store import StoreClient
from lavendershift.platform.storerecords import AppendResult, Record
from lavendershift.platform.topicreaders import TopicReader
from lavendershift.vmlist import VmList, VmRow

RENEWAL_INTERVAL = timedelta(milliseconds=1200)  # interval between two rows of this VM
# Time until a change of the row that wasn't stored is written again.
ANNOUNCE_INTERVAL = timedelta(milliseconds=300)
# Smallest reported demand in tokens/s, as leaving out smaller ones saves bytes.
MIN_REPORTED_DEMAND = 1.0
READ_INTERVAL = timedelta(milliseconds=600)  # interval between readings on an active VM
# Time between readings on a standby VM.
STANDBY_READ_INTERVAL = timedelta(milliseconds=1200)


class _Row(msgspec.Struct):
    """A VM's row as it is stored."""

    address: str
    domain: str
    incarnation: str
    renewal: Count
    leaving: bool = False
    demand: dict[str, Demand] = {}  # demand of each customer in tokens/s
    peer: str = ""  # host and port that receive datagrams
    capacity: Demand = 0.0  # capacity of the VM in requests/s
    arrivals: Demand = 0.0  # arrival rate of the VM in requests/s
    active: bool = True
    # Whether the VM recently lost power with tokens; left out if not.
    lost: bool | msgspec.UnsetType = msgspec.UNSET


class PresenceWriter:
    """Writes this VM's row to the store periodically."""

    def __init__(
        self,
        store: StoreClient,
        vms: VmList,
        measure_demand: Callable[[], dict[str, float]],
        measure_arrivals: Callable[[], float],
        is_active: Callable[[], bool],
    ) -> None:
        self._store = store
        self._vms = vms
        self._measure_demand = measure_demand
        self._measure_arrivals = measure_arrivals
        self._is_active = is_active

    async def run(self) -> None:
        """Renew the row until cancelled."""
        while True:
            await self.renew()
            await asyncio.sleep(RENEWAL_INTERVAL.total_seconds())

    async def announce(self) -> None:
        """Write the row until it is known to be stored."""
        while not await self.renew():
            await asyncio.sleep(ANNOUNCE_INTERVAL.total_seconds())

    async def renew(self, is_leaving: bool = False) -> bool:
        """Write the row once; return whether it is known to be stored.

        The next renewal makes up for a failed one.
        """
        own = self._vms.own
        row = own._replace(
            renewal=own.renewal + 1,
            is_leaving=own.is_leaving or is_leaving,
            arrivals=round(self._measure_arrivals(), 2),
            is_active=self._is_active(),
        )
        self._vms.set_own(row)
        value = _Row(
            row.address,
            row.failure_domain,
            row.incarnation,
            row.renewal,
            row.is_leaving,
            {
                name: round(rate, 1)
                for name, rate in self._measure_demand().items()
                if rate >= MIN_REPORTED_DEMAND
            },
            row.peer_address,
            row.capacity,
            row.arrivals,
            row.is_active,
            row.has_lost_tokens or msgspec.UNSET,
        )
        record = (row.name.encode(), msgspec.json.encode(value))
        result, _ = await self._store.append(names.VMS_TOPIC, 0, [record])
        return result is AppendResult.DONE


class PresenceFeed(Feed):
    """Follows the rows of all VMs."""

    name = "vms"
    kind = "vm"
    has_newest_only = True

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        log: EventLog,
        vms: VmList,
        is_active: Callable[[], bool],
    ) -> None:
        super().__init__(clock, TopicReader(store, names.VMS_TOPIC, timedelta()), log)
        self._vms = vms
        self._is_active = is_active

    async def pause(self) -> None:
        """Wait for further rows."""
        interval = READ_INTERVAL if self._is_active() else STANDBY_READ_INTERVAL
        await asyncio.sleep(interval.total_seconds())

    def apply_records(self, records: list[Record], is_snapshot: bool) -> None:
        """Update VMs from their rows, and drop VMs whose rows are no longer renewed."""
        self.apply_each(records, partial(self._apply_row, is_new=not is_snapshot))
        for name in self._vms.expire():
            self._log.write(Event.VM_CHANGED, name=name, result="gone")

    def _apply_row(self, record: Record, is_new: bool) -> None:
        if not record.value:
            return
        row = decode_row(record.key, record.value)
        if self._vms.update(row, is_new):
            result = "leaving" if row.is_leaving else "serving"
            self._log.write(Event.VM_CHANGED, name=row.name, result=result)


def decode_row(key: bytes, value: bytes) -> VmRow:
    """Decode the row of the VM ``key``; raises ``DecodeError``.

    A VM whose rows can't be decoded is dropped like one that renews none.
    """
    name = decode_identifier(key, "vm")
    wire = decode_json(value, _Row, "vm")
    for address in (wire.address, wire.peer):
        if address and parse_address(address) is None:
            raise DecodeError("vm", "an address is no IPv4 address with a port")
    return VmRow(
        name,
        wire.address,
        wire.domain,
        wire.incarnation,
        wire.renewal,
        wire.leaving,
        wire.demand,
        wire.peer,
        wire.capacity,
        wire.arrivals,
        wire.active,
        wire.lost is True,
    )
