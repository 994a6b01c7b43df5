r"""The program ``lavendershift-bench``: load and cost of a router.

``proxy`` sends the same completions to several targets, for instance an
engine directly, a bare pass-through and a router, and compares the time to
the first token, the time between tokens, and each target's processor time::

    lavendershift-bench proxy --requests 200 --tokens 50 \
        --target direct=127.0.0.1:7140 \
        --target router=127.0.0.1:7110,4711 --key demo-plume
"""

import asyncio
import os
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, NamedTuple

import cappa
import msgspec
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table
from tornado.httpclient import HTTPRequest

from lavendershift.httpclients import HttpClient
from lavendershift.tools import load

LONGEST_US = 60_000_000  # of a time that the histograms can hold
SIGNIFICANT_DIGITS = 3
REQUEST_TIMEOUT_S = 60.0
MAX_CLIENTS = 512
TABLE_WIDTH = 140  # characters


class Target(NamedTuple):
    """What is measured; ``pid`` is 0 where the processor time is unknown."""

    name: str
    address: str
    pid: int


class TargetResult(NamedTuple):
    """What was measured of one target. Times in ms."""

    name: str
    requests: int
    failures: int
    first_token_p50_ms: float
    first_token_p95_ms: float
    between_tokens_p95_ms: float
    requests_per_s: float
    cpu_ms_per_request: float | None


class LoadShape(NamedTuple):
    """How requests are sent: their number, size and how many at a time."""

    requests: int
    tokens: int
    concurrency: int
    model: str
    prompt: str
    key: str


class Recorder:
    """Histograms of one run, in microseconds."""

    def __init__(self) -> None:
        self.first = HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
        self.between = HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
        self.failures = 0
        self.last_failure = ""


def parse_target(text: str) -> Target:
    """Return the target in ``NAME=IP:PORT`` or ``NAME=IP:PORT,PID``."""
    name, _, rest = text.partition("=")
    address, _, pid = rest.partition(",")
    if not name or ":" not in address:
        raise ValueError(f"{text!r}: expected NAME=IP:PORT or NAME=IP:PORT,PID")
    return Target(name, address, int(pid or 0))


def read_cpu_s(pid: int) -> float | None:
    """Return the processor time of a process so far, in seconds."""
    if not pid:
        return None
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


async def send_request(
    client: HttpClient, target: Target, shape: LoadShape, recorder: Recorder
) -> None:
    """Send one streamed completion and record its times."""
    last = time.perf_counter()
    received: list[bytes] = []

    def note_chunk(chunk: bytes) -> None:
        nonlocal last
        now = time.perf_counter()
        histogram = recorder.between if received else recorder.first
        histogram.record_value(max(int((now - last) * 1e6), 1))
        last = now
        received.append(chunk)

    body = {
        "model": shape.model,
        "prompt": shape.prompt,
        "max_tokens": shape.tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    request = HTTPRequest(
        f"http://{target.address}/v1/completions",
        method="POST",
        body=msgspec.json.encode(body),
        headers={
            "Authorization": f"Bearer {shape.key}",
            "Content-Type": "application/json",
        },
        streaming_callback=note_chunk,
        request_timeout=REQUEST_TIMEOUT_S,
    )
    response = await client.fetch(request)
    whole = b"".join(received).rstrip().endswith(b"data: [DONE]")
    if response.code != 200 or not whole:
        recorder.failures += 1
        recorder.last_failure = f"{response.code} {b''.join(received)[:200]!r}"


async def run_load(target: Target, shape: LoadShape) -> TargetResult:
    """Send ``shape.requests`` requests in a closed loop and measure them."""
    client = HttpClient(MAX_CLIENTS)
    recorder = Recorder()
    left = iter(range(shape.requests))

    async def work() -> None:
        for _ in left:
            await send_request(client, target, shape, recorder)

    cpu_before = read_cpu_s(target.pid)
    started = time.perf_counter()
    await asyncio.gather(*(work() for _ in range(shape.concurrency)))
    elapsed_s = time.perf_counter() - started
    cpu_after = read_cpu_s(target.pid)
    client.close()
    if recorder.failures:
        print(f"{target.name}: {recorder.last_failure}", file=sys.stderr)
    cpu_ms = None
    if cpu_before is not None and cpu_after is not None:
        cpu_ms = (cpu_after - cpu_before) * 1000 / shape.requests
    return TargetResult(
        target.name,
        shape.requests,
        recorder.failures,
        recorder.first.get_value_at_percentile(50) / 1000,
        recorder.first.get_value_at_percentile(95) / 1000,
        recorder.between.get_value_at_percentile(95) / 1000,
        shape.requests / elapsed_s,
        cpu_ms,
    )


def print_results(title: str, results: list[TargetResult]) -> None:
    """Print a table of results."""
    table = Table(title=title)
    for heading in TargetResult._fields:
        table.add_column(heading, justify="right")
    for result in results:
        cells = ["-" if v is None else v for v in result]
        table.add_row(*(f"{c:.2f}" if isinstance(c, float) else str(c) for c in cells))
    Console(width=TABLE_WIDTH).print(table)


@cappa.command(help="Compare the cost of ways to an engine.")
@dataclass
class Proxy:
    """Arguments of ``lavendershift-bench proxy``."""

    target: Annotated[
        list[str],
        cappa.Arg(long=True, help="NAME=IP:PORT or NAME=IP:PORT,PID; may be repeated"),
    ] = field(default_factory=list)
    requests: Annotated[int, cappa.Arg(long=True)] = 200
    tokens: Annotated[int, cappa.Arg(long=True, help="output tokens of each")] = 50
    concurrency: Annotated[int, cappa.Arg(long=True, help="at a time")] = 1
    rounds: Annotated[int, cappa.Arg(long=True, help="turns each target has")] = 3
    model: Annotated[str, cappa.Arg(long=True)] = "index"
    key: Annotated[str, cappa.Arg(long=True, help="API key of the caller")] = ""
    json: Annotated[bool, cappa.Arg(long=True, help="print JSON")] = False

    def __call__(self) -> None:
        """Run the comparison."""
        try:
            targets = [parse_target(text) for text in self.target]
        except ValueError as error:
            print(error, file=sys.stderr)
            raise cappa.Exit(code=2) from None
        results = asyncio.run(self._run(targets))
        if self.json:
            print(msgspec.json.encode([r._asdict() for r in results]).decode())
        else:
            title = f"{self.tokens} tokens, {self.concurrency} at a time"
            print_results(title, results)

    async def _run(self, targets: list[Target]) -> list[TargetResult]:
        """Measure the targets in turns, so that each meets the same machine."""
        results = []
        for number in range(self.rounds):
            for target in targets:
                prompt = f"Round {number}: list the rivers of Brittany."
                shape = LoadShape(
                    self.requests,
                    self.tokens,
                    self.concurrency,
                    self.model,
                    prompt,
                    self.key,
                )
                results.append(await run_load(target, shape))
        return results


@cappa.command(help="Send open-loop load to a running fleet.")
@dataclass
class Load:
    """Arguments of ``lavendershift-bench load``."""

    router: Annotated[
        list[str], cappa.Arg(long=True, help="IP:PORT; may be repeated")
    ] = field(default_factory=list)
    caller: Annotated[
        list[str], cappa.Arg(long=True, help="CUSTOMER=KEY; may be repeated")
    ] = field(default_factory=list)
    rate: Annotated[float, cappa.Arg(long=True, help="requests per second")] = 10.0
    seconds: Annotated[float, cappa.Arg(long=True)] = 10.0
    tokens: Annotated[int, cappa.Arg(long=True, help="output tokens of each")] = 50
    model: Annotated[str, cappa.Arg(long=True)] = "index"
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    deadline: Annotated[float, cappa.Arg(long=True, help="seconds")] = 30.0
    json: Annotated[bool, cappa.Arg(long=True, help="print JSON")] = False

    def __call__(self) -> None:
        """Run the load; exits with 1 if an answer was truncated or lost."""
        callers = [load.Caller(*text.split("=", 1)) for text in self.caller]
        if not callers or not self.router:
            print("at least one --router and one --caller", file=sys.stderr)
            raise cappa.Exit(code=2)
        shape = load.LoadShape(
            self.router,
            self.rate,
            self.seconds,
            self.tokens,
            self.model,
            self.seed,
            self.deadline,
        )
        report = asyncio.run(load.run_load(shape, callers))
        if self.json:
            print(msgspec.json.encode(report._asdict()).decode())
        else:
            table = Table("measure", "value")
            for name, value in report._asdict().items():
                table.add_row(name, str(value))
            Console(width=TABLE_WIDTH).print(table)
        if report.truncated or report.unreachable:
            raise cappa.Exit(code=1)


@cappa.command(name="lavendershift-bench", help="Load and cost of routers.")
@dataclass
class Bench:
    """The program's subcommands."""

    command: cappa.Subcommands[Proxy | Load]


def main() -> None:
    """Run the command line."""
    cappa.invoke(Bench)
