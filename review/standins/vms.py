"""Processes of the deploy file's program, with settings of a small deployment."""

import asyncio
import contextlib
import json
import os
import shlex
import signal
import socket
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = """
node = "{name}"
role = "gateway"
machine_class = "edge"
serves = ["edge", "directory"]
ip = "{ip}"
zone = "{zone}"
region = "bretagne"
internal_ports = [{peer}, {peer}]
heartbeat_ms = 1200
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
directory = "{ip}:{directory}"
[limits]
cpu_share = 0.516
cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
stable_window_ms = 3000
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 56
ttl_max_s = 5
[platform]
address = "127.0.0.1:{store}"
form = "log"
parts = {parts}
"""
START_TIMEOUT_S = 20.0
GRACE_S = 8.0


def find_ports(ip: str, count: int) -> list[int]:
    """Return ports that are free on a loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((ip, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Vm:
    """One VM with its process, which keeps its addresses across restarts."""

    def __init__(
        self, number: int, name: str, zone: str, store: int, parts: int, folder: Path
    ) -> None:
        # The metrics have a fixed port, so that each VM needs an address of its own.
        block = os.getpid()
        self.ip = f"127.{block >> 8 & 127 | 64}.{block & 255}.{number + 10}"
        self.name, self.zone = name, zone
        self.front, self.ready, self.directory, peer = find_ports(self.ip, 4)
        self.settings = folder / f"{name}.toml"
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                ip=self.ip,
                zone=zone,
                peer=peer,
                front=self.front,
                ready=self.ready,
                directory=self.directory,
                store=store,
                parts=parts,
            )
        )
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        environment = {
            key: value
            for key, value in os.environ.items()
            if key in ("PATH", "HOME", "LANG")
        }
        environment["LAVENDERSHIFT_SETTINGS"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                process_group=0,
            )

    async def wait_ready(self) -> None:
        """Wait until the process says that it is ready."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    async def is_ready(self) -> bool:
        """Return whether the process says that it is ready."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
        return False

    async def resolve(self, zone: str) -> list[str]:
        """Return the addresses that the directory of this VM names to a caller."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, self.directory)
                path = f"/resolve?name=books.example&region=bretagne&zone={zone}"
                writer.write(f"GET {path} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
                length = int(head.lower().partition("content-length:")[2].split()[0])
                body = await reader.readexactly(length)
                writer.close()
                if " 200 " in head.split("\r\n")[0]:
                    addresses: list[str] = json.loads(body)["addresses"]
                    return addresses
        return []

    def send(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Stop the process with SIGTERM, and with SIGKILL after the grace time."""
        self.send(signal.SIGTERM)
        if self.process is not None:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.process.wait(), GRACE_S)
        await self.kill()

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.send(signal.SIGKILL)
            await self.process.wait()
