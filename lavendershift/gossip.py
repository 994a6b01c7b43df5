"""Exchange of backend server load between VMs, and heartbeats.

Each VM sends its peers the numbers of its in-flight requests and unread prompt tokens
on a server whenever they change, and periodically those of all servers that it uses. It
sends totals, never differences, so that the next datagram makes up for a lost one. No
guarantee depends on these datagrams: a VM that receives none balances by its own load
alone.

The peers are the active VMs, and others that recently reported load. An active VM
also sends periodic heartbeats, to standby VMs as well::

    gossip = Gossip(
        clock, "edge-1", incarnation, servers, list_peers, list_heartbeat_peers,
        datagrams,
    )
    gossip.note_change("i-7f3a91c2", ("5c1e07a2", "91bd3f06"))
"""

import asyncio
from collections.abc import Callable, Sequence
from datetime import timedelta

import msgspec
import xxhash

from lavendershift.clocks import Clock
from lavendershift.datagrams import Datagrams, Peer, register_message
from lavendershift.decoding import Count, Integer
from lavendershift.serverlist import ServerList
from lavendershift.serversignals import ServerSignal
from lavendershift.serverstates import ServerEntry, ServerLoad
from lavendershift.speedrecords import SpeedRecord

# Interval of heartbeats and of full summaries.
SUMMARY_INTERVAL = timedelta(milliseconds=500)
# Delay before load changes are sent, multiplied by the square of the number of peers.
DELAY_PER_SQUARED_PEER = timedelta(microseconds=50)
# Least delay before load changes are sent; batches the changes of one event loop turn.
MIN_DELAY = timedelta(milliseconds=2)
MAX_DATAGRAM_BYTES = 1400  # bytes that an Ethernet link carries without fragmentation
MAX_PARTS = 40  # most prompt parts in one load change
# Time for which a VM that reported load is sent the load of this one.
REPORTER_EXPIRY = timedelta(seconds=2)
SPEED_BYTES = 56  # usual size of one measurement in a datagram
MAX_SPEEDS = MAX_DATAGRAM_BYTES // SPEED_BYTES
# VMs that send their estimates to one that has just started; one datagram may be lost.
INFORMING_VMS = 3


class _LoadChange(msgspec.Struct, array_like=True):
    """The sender's load on one server, and the prompt parts it sent there."""

    server: str
    in_flight: Integer
    unread_tokens: Integer
    parts: list[str] = []


@register_message
class LoadUpdate(msgspec.Struct, array_like=True, tag="news"):
    """The load of one VM; ``number`` increases within the sender's incarnation.

    ``speeds`` are what the sender measured since its last update of this kind, and
    ``estimates`` what it knows from all VMs. VMs of earlier versions send neither, and
    ignore both.
    """

    vm: str
    incarnation: str
    number: Count
    changes: list[_LoadChange]
    speeds: list[SpeedRecord] = []
    estimates: list[SpeedRecord] = []


@register_message
class VmLeaving(msgspec.Struct, array_like=True, tag="leaving"):
    """The sender's incarnation is shutting down and must get no more callers."""

    vm: str
    incarnation: str


@register_message
class ServerLeaving(msgspec.Struct, array_like=True, tag="departure"):
    """A backend server announced its shutdown in a response.

    ``born`` identifies its process by the start time, in ms since the epoch.
    """

    server: str
    born: Count


class Gossip:
    """Sends this VM's load to other VMs and applies the load they report."""

    def __init__(
        self,
        clock: Clock,
        vm: str,
        incarnation: str,
        servers: ServerList,
        list_peers: Callable[[], Sequence[Peer]],
        list_heartbeat_peers: Callable[[], Sequence[Peer]],
        datagrams: Datagrams,
    ) -> None:
        self._clock = clock
        self._vm = vm
        self._incarnation = incarnation
        self._servers = servers
        self._list_peers = list_peers
        self._list_heartbeat_peers = list_heartbeat_peers
        self._reporters: dict[Peer, timedelta] = {}
        self._datagrams = datagrams
        self._changed: dict[str, list[str]] = {}
        self._wake = asyncio.Event()
        self._number = 0
        self._newest_numbers: dict[str, tuple[str, int]] = {}
        self._received_at: dict[str, timedelta] = {}
        self.on_leaving: Callable[[str, str], None] = lambda vm, incarnation: None
        datagrams.handle(LoadUpdate, self._apply_update)
        datagrams.handle(VmLeaving, self._handle_vm_leaving)
        datagrams.handle(ServerLeaving, self._handle_server_leaving)

    def find_silence(self, vm: str) -> timedelta | None:
        """Return the time since the last update of ``vm``, ``None`` if none came."""
        received = self._received_at.get(vm)
        return None if received is None else self._clock.elapsed() - received

    def note_change(self, server: str, parts: Sequence[str] = ()) -> None:
        """Schedule sending this VM's load on ``server`` and new prompt ``parts``."""
        self._changed.setdefault(server, []).extend(parts)
        self._wake.set()

    def announce_leaving(self, peers: Sequence[Peer]) -> None:
        """Tell ``peers`` that this VM is leaving, before they read its row."""
        self._datagrams.send(VmLeaving(self._vm, self._incarnation), peers)

    def _handle_vm_leaving(self, message: VmLeaving, sender: Peer) -> None:
        self.on_leaving(message.vm, message.incarnation)

    def announce_server_leaving(self, entry: ServerEntry) -> None:
        """Tell the other VMs that a server is leaving, as they may not reach the store.

        Each VM sends this once, also if another VM reported the server, so that no
        VM misses it because of a single lost datagram.
        """
        peers = {*self._find_peers(), *self._list_heartbeat_peers()}
        self._datagrams.send(ServerLeaving(entry.id, entry.born), peers)

    def _handle_server_leaving(self, message: ServerLeaving, sender: Peer) -> None:
        server = self._servers.find(message.server)
        if server is not None and server.entry.born == message.born:
            self._servers.note_signal(server, ServerSignal(is_leaving=True))

    async def run(self) -> None:
        """Send load updates and heartbeats until cancelled."""
        summarized_at = timedelta()
        while True:
            try:
                async with asyncio.timeout(SUMMARY_INTERVAL.total_seconds()):
                    await self._wake.wait()
            except TimeoutError:
                pass  # no load changed, but a summary is due
            self._wake.clear()
            peers = self._find_peers()
            delay = max(DELAY_PER_SQUARED_PEER * len(peers) ** 2, MIN_DELAY)
            await asyncio.sleep(delay.total_seconds())
            now = self._clock.elapsed()
            if now - summarized_at >= SUMMARY_INTERVAL:
                summarized_at = now
                for server in self._servers.list_in_use():
                    self._changed.setdefault(server, [])
                self._send_summary(peers)
            elif self._changed:
                self._send(peers, [])

    def _send_summary(self, peers: Sequence[Peer]) -> None:
        """Send loads and new measurements to the peers, and heartbeats to the others.

        Measurements are for standby VMs too, which may be sent callers at any time.
        """
        speeds = [SpeedRecord.make(m) for m in self._servers.speeds.take_unsent()]
        informed = peers if self._changed or speeds else []
        others = [p for p in self._list_heartbeat_peers() if p not in informed]
        for batch in split_speeds(speeds) or [[]]:
            self._send_batch([], others, batch)
        if self._changed or speeds:
            self._send(peers, speeds)

    def _find_peers(self) -> list[Peer]:
        """Return the active VMs and those that recently reported load."""
        now = self._clock.elapsed()
        self._reporters = {
            peer: at
            for peer, at in self._reporters.items()
            if now - at <= REPORTER_EXPIRY
        }
        return list({*self._list_peers(), *self._reporters})

    def _send(self, peers: Sequence[Peer], speeds: list[SpeedRecord]) -> None:
        changes = [
            self._measure_change(server, parts)
            for server, parts in self._changed.items()
        ]
        self._changed.clear()
        batch: list[_LoadChange] = []
        size = 0
        for change in changes:
            length = 24 + len(change.server) + sum(len(p) + 2 for p in change.parts)
            if batch and size + length > MAX_DATAGRAM_BYTES:
                self._send_batch(batch, peers)
                batch, size = [], 0
            batch.append(change)
            size += length
        if size + len(speeds) * SPEED_BYTES <= MAX_DATAGRAM_BYTES:
            self._send_batch(batch, peers, speeds)
            return
        self._send_batch(batch, peers)
        for part in split_speeds(speeds):
            self._send_batch([], peers, part)

    def _measure_change(self, server: str, parts: Sequence[str]) -> _LoadChange:
        load = self._servers.measure_own_load(server)
        return _LoadChange(
            server, load.in_flight, load.unread_tokens, list(parts[-MAX_PARTS:])
        )

    def _send_batch(
        self,
        batch: list[_LoadChange],
        peers: Sequence[Peer],
        speeds: list[SpeedRecord] | None = None,
        estimates: list[SpeedRecord] | None = None,
    ) -> None:
        self._number += 1
        update = LoadUpdate(
            self._vm,
            self._incarnation,
            self._number,
            batch,
            speeds or [],
            estimates or [],
        )
        self._datagrams.send(update, peers)

    def _send_estimates(self, update: LoadUpdate, peer: Peer) -> None:
        """Send all estimates to a VM that has just started, if it is this VM's turn.

        About ``INFORMING_VMS`` of its peers do so, whichever they are.
        """
        rank = xxhash.xxh3_64_intdigest(f"{update.incarnation}/{self._vm}".encode())
        count = max(len(self._newest_numbers), 1)
        if rank % count >= INFORMING_VMS:
            return
        records = [
            SpeedRecord.make(m)
            for m in self._servers.speeds.list_estimates(self._servers.list_servers())
        ]
        for batch in split_speeds(records):
            self._send_batch([], [peer], estimates=batch)

    def _apply_update(self, update: LoadUpdate, sender: Peer) -> None:
        """Apply another VM's load, unless a newer update has been applied."""
        incarnation, number = self._newest_numbers.get(update.vm, ("", 0))
        if update.incarnation == incarnation and update.number <= number:
            return
        self._newest_numbers[update.vm] = (update.incarnation, update.number)
        if update.incarnation != incarnation:
            self._send_estimates(update, sender)
        self._received_at[update.vm] = self._clock.elapsed()
        if update.changes:
            self._reporters[sender] = self._clock.elapsed()
        for change in update.changes:
            load = ServerLoad(max(change.in_flight, 0), max(change.unread_tokens, 0))
            self._servers.record_peer_load(update.vm, change.server, load, change.parts)
        for record in update.speeds:
            server = self._servers.find(record.server)
            if server is not None and (speed := record.read()) is not None:
                self._servers.speeds.merge(server, speed)
        for record in update.estimates:
            server = self._servers.find(record.server)
            if server is not None and (speed := record.read()) is not None:
                self._servers.speeds.adopt(server, speed)


def split_speeds(records: Sequence[SpeedRecord]) -> list[list[SpeedRecord]]:
    """Return measurements in parts of which each fits into a datagram."""
    return [
        list(records[start : start + MAX_SPEEDS])
        for start in range(0, len(records), MAX_SPEEDS)
    ]
