"""Measure the processor time of a node process for each request and each refusal.

A real ``lavendershift-node`` process serves callers of this process at a steady rate.
Stand-ins for the platform around it are 60 servers, and 80 VMs that renew their rows::

    python -m lavendershift.tools.node_costs --seconds 10 --rounds 3

Each round measures the process without requests, then with served ones (two streams to
one plain request), then with requests of a customer without tokens. The figures are
those of the cheapest round, as other programs on the machine only add to them. What a
round without requests costs is not subtracted from the others.
"""

import asyncio
import contextlib
import os
import random
import signal
import sys
import tempfile
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, NamedTuple

import cappa

from lavendershift.commands.output import print_rows
from lavendershift.tools.ports import find_ports
from lavendershift_standins.platformfleet import (
    EMPTY,
    PARTITIONS,
    PAYING,
    SETTINGS,
    SETTINGS_VARIABLE,
    FleetShape,
    PlatformFleet,
    make_request,
)

REQUESTS_PER_S = 60
STREAMS_IN_THREE = 2  # of three requests, those that are streamed
START_S = 15.0  # longest time until the process is ready
WARM_UP_S = 2.0  # time in which connections are opened and tokens are drawn
LAST_CHUNK = b"\r\n0\r\n\r\n"
NODE_MODULE = "lavendershift.tools.node"
# Runs the node under cProfile; it ends with os._exit, which skips other handlers.
PROFILED = f"""
import cProfile, os, runpy, sys
profile, end = cProfile.Profile(), os._exit
def write_and_end(code):
    profile.disable()
    profile.dump_stats(sys.argv[1])
    end(code)
os._exit = write_and_end
profile.enable()
runpy.run_module("{NODE_MODULE}", run_name="__main__")
"""


class PhaseCost(NamedTuple):
    """Processor time of the process in one phase.

    ``cpu_ms`` is that of each request, or of each second in the phase without requests.
    ``failed`` counts the requests without the expected status. ``chunks`` is the mean
    number of chunks that a stream arrived in: events that come together are forwarded
    together, so that a stream costs less on a busy machine. Only figures with the same
    number of chunks can be compared.
    """

    phase: str
    cpu_ms: float
    requests: int
    failed: int
    chunks: float


class Phase(NamedTuple):
    """The requests of a phase, and the status that they are expected to get."""

    name: str
    key: str
    status: int


PHASES = (
    Phase("no requests, each second", "", 0),
    Phase("served, each request", PAYING, 200),
    Phase("refused, each request", EMPTY, 429),
)


class Callers:
    """Callers that send requests at a steady rate over kept connections."""

    def __init__(self, ip: str, port: int) -> None:
        self._address = (ip, port)
        self._idle: deque[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = deque()
        self._number = 0
        self.streams = self.chunks = 0

    async def send(self, phase: Phase, seconds: float) -> tuple[int, int]:
        """Send requests for ``seconds``; return their number and that of failures."""
        self.streams = self.chunks = 0
        tasks = []
        loop = asyncio.get_running_loop()
        begin = loop.time()
        for index in range(round(seconds * REQUESTS_PER_S)):
            await asyncio.sleep(begin + index / REQUESTS_PER_S - loop.time())
            self._number += 1
            is_stream = phase.key == EMPTY or index % 3 < STREAMS_IN_THREE
            message = make_request(self._number, phase.key, is_stream)
            tasks.append(asyncio.ensure_future(self._send_one(message)))
        statuses = await asyncio.gather(*tasks)
        return len(statuses), sum(status != phase.status for status in statuses)

    async def _send_one(self, message: bytes) -> int:
        if self._idle:
            reader, writer = self._idle.popleft()
        else:
            reader, writer = await asyncio.open_connection(*self._address)
        try:
            writer.write(message)
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            if b"transfer-encoding: chunked" in head:
                body = await reader.readuntil(LAST_CHUNK)
                self.chunks += count_chunks(body)
                self.streams += 1
            else:
                length = head.partition(b"content-length:")[2].split(b"\r\n")[0]
                await reader.readexactly(int(length))
        except (OSError, EOFError, asyncio.IncompleteReadError):
            writer.close()
            return 0
        self._idle.append((reader, writer))
        return int(head.split()[1])


def count_chunks(body: bytes) -> int:
    """Return the number of chunks of a body, without the last one."""
    count = at = 0
    while size := int(body[at : body.index(b"\r\n", at)], 16):
        at = body.index(b"\r\n", at) + 2 + size + 2
        count += 1
    return count


def read_processor_ms(pid: int) -> float:
    """Return the processor time that a process has used, in ms."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK") * 1000


async def measure_phase(
    phase: Phase, callers: Callers, pid: int, seconds: float
) -> PhaseCost:
    """Run one phase and return its cost."""
    before = read_processor_ms(pid)
    if not phase.key:
        await asyncio.sleep(seconds)
        used = read_processor_ms(pid) - before
        return PhaseCost(phase.name, used / seconds, 0, 0, 0.0)
    requests, failed = await callers.send(phase, seconds)
    used = read_processor_ms(pid) - before
    chunks = callers.chunks / max(callers.streams, 1)
    return PhaseCost(phase.name, used / requests, requests, failed, chunks)


async def wait_ready(ip: str, port: int) -> None:
    """Wait until the process is ready; raises ``TimeoutError``."""
    async with asyncio.timeout(START_S):
        while True:
            with contextlib.suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection(ip, port)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return
            await asyncio.sleep(0.05)


async def with_node(
    folder: Path, profile: str, use: Callable[[Callers, int], Awaitable[None]]
) -> None:
    """Start the platform and the node, await ``use``, and stop both."""
    store, peer, callers, ready, directory = find_ports(5)
    own = os.getpid()  # metrics have a fixed port, so that each run has an address
    ip = f"127.{own >> 8 & 127 | 64}.{own & 255}.9"
    fleet = PlatformFleet(FleetShape(), random.Random(1))
    await fleet.start(store)
    path = folder / "node.toml"
    path.write_text(
        SETTINGS.format(
            ip=ip,
            peer=peer,
            callers=callers,
            ready=ready,
            directory=directory,
            store=store,
            partitions=PARTITIONS,
        )
    )
    arguments = ["-c", PROFILED, profile] if profile else ["-m", NODE_MODULE]
    with (folder / "node.log").open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            env=os.environ | {SETTINGS_VARIABLE: str(path)},
            stdout=log,
            stderr=log,
        )
    try:
        await wait_ready(ip, ready)
        await use(Callers(ip, callers), process.pid)
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGTERM)
        await process.wait()
        await fleet.stop()


async def measure(seconds: float, rounds: int, profile: str = "") -> list[PhaseCost]:
    """Return the cost of each phase in its cheapest round."""
    costs: dict[str, list[PhaseCost]] = {phase.name: [] for phase in PHASES}

    async def use(callers: Callers, pid: int) -> None:
        await callers.send(PHASES[1], WARM_UP_S)
        for _ in range(rounds):
            for phase in PHASES:
                cost = await measure_phase(phase, callers, pid, seconds)
                costs[phase.name].append(cost)

    with tempfile.TemporaryDirectory() as folder:
        await with_node(Path(folder), profile, use)
    return [summarize(measured) for measured in costs.values()]


def summarize(measured: list[PhaseCost]) -> PhaseCost:
    """Return the cheapest of the rounds, with the number of requests of all.

    Rounds with more failed requests than others are left out, as these cost less.
    """
    cheapest = min(measured, key=lambda cost: (cost.failed, cost.cpu_ms))
    return cheapest._replace(
        cpu_ms=round(cheapest.cpu_ms, 2),
        chunks=round(cheapest.chunks, 1),
        requests=sum(cost.requests for cost in measured),
        failed=sum(cost.failed for cost in measured),
    )


@cappa.command(name="node_costs")
@dataclass
class NodeCosts:
    """Measure the processor time of a node for each request and refusal."""

    seconds: Annotated[
        float, cappa.Arg(long=True, help="Length of a phase in seconds.")
    ] = 10.0
    rounds: Annotated[int, cappa.Arg(long=True, help="Number of rounds.")] = 3
    profile: Annotated[
        str, cappa.Arg(long=True, help="File for a profile by cProfile.")
    ] = ""
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def __call__(self) -> None:
        """Measure and print the costs."""
        costs = asyncio.run(measure(self.seconds, self.rounds, self.profile))
        print_rows("Processor time of the node, ms", costs, self.json)


if __name__ == "__main__":
    cappa.invoke(NodeCosts)
