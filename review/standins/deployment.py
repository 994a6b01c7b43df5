"""A small deployment: a store, backend servers and VMs on loopback addresses."""

import asyncio
import json
import os
import signal
import tempfile
import time
from pathlib import Path
from typing import Any

from lavendershift_standins.platformserver import PlatformServer
from review.standins.store import Store
from review.standins.vms import Vm

HEARTBEAT_S = 1.2
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        now = time.monotonic() - self._started
        self._file.write(f"{now:8.3f} {text}\n")
        self._file.flush()


class Deployment:
    """The store, the servers of each service and the VMs."""

    def __init__(self, record: Record, zones: dict[str, list[int]], parts: int) -> None:
        self.record = record
        self.store = Store()
        self.servers: dict[str, list[PlatformServer]] = {}
        self.vms: list[Vm] = []
        self.draining: set[str] = set()
        self.version = 0
        self._zones, self._parts = zones, parts
        self._sequence = 0
        self._folder = tempfile.TemporaryDirectory()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(
        self, services: dict[str, int], configuration: dict[str, Any]
    ) -> None:
        """Start all parts and wait until the VMs are ready."""
        await self.prepare(services, configuration)
        for vm in self.vms:
            await vm.start()
        for vm in self.vms:
            await vm.wait_ready()
        self.record.write(f"{len(self.vms)} VMs are ready")

    async def prepare(
        self, services: dict[str, int], configuration: dict[str, Any]
    ) -> None:
        """Start the stand-ins, and lay out the VMs."""
        await self.store.start()
        for service, count in services.items():
            self.servers[service] = []
            for number in range(count):
                server = PlatformServer(f"i-{service}-{number}")
                await server.start()
                self.servers[service].append(server)
        await self.configure(configuration)
        await self.write_entries()
        self._tasks.append(asyncio.ensure_future(self._send_heartbeats()))
        folder = Path(self._folder.name)
        for zone, numbers in self._zones.items():
            for number in numbers:
                name = f"edge-{zone}-{number}"
                port, index = self.store.port, len(self.vms)
                self.vms.append(Vm(index, name, zone, port, self._parts, folder))

    async def configure(self, configuration: dict[str, Any]) -> None:
        """Write a configuration as the operator."""
        self.version += 1
        value = {"version": self.version, "limits": LIMITS} | configuration
        await self.store.append(
            "keyed.op", 0, [(b"config", json.dumps(value).encode())]
        )

    async def write_entries(self) -> None:
        """Write the entries of all servers."""
        self._sequence += 1
        records = []
        for service, servers in self.servers.items():
            for server in servers:
                is_draining = server.name in self.draining
                entry = {
                    "service": service,
                    "address": server.address,
                    "zone": next(iter(self._zones)),
                    "version": "v1",
                    "slots": 64,
                    "state": "draining" if is_draining else "ready",
                    "cold_remaining_ms": 0,
                    "sequence": self._sequence,
                    "born": 1,
                }
                records.append((server.name.encode(), json.dumps(entry).encode()))
        await self.store.append("keyed.servers", 0, records)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.write_entries()

    def find_vm(self, name: str) -> Vm:
        """Return the VM of that name."""
        return next(vm for vm in self.vms if vm.name == name)

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*(vm.kill() for vm in self.vms))
        for servers in self.servers.values():
            for server in servers:
                await server.stop()
        self._folder.cleanup()


def has_trouble() -> bool:
    """Return whether the disruption is played; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def stop_at_signals() -> None:
    """End the script by an exception at SIGTERM, so that its processes end too."""

    def stop(number: int, frame: object) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
