r"""The program ``lavendershift-bench``: load generation and cost of a router.

``proxy`` sends the same completions to several targets, for instance an
engine directly, a plain forwarding proxy and a router, and compares the time
to the first token, the time between tokens, and each target's processor time::

    lavendershift-bench proxy --requests 200 --tokens 50 \
        --target direct=127.0.0.1:7140 \
        --target router=127.0.0.1:7110,4711 --key demo-plume

``load`` sends open-loop load to a running fleet; see ``lavendershift.tools.load``.
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

MAX_TIME_US = 60_000_000  # longest time that the histograms can hold, in µs
SIGNIFICANT_DIGITS = 3
REQUEST_TIMEOUT_S = 60.0
MAX_CLIENTS = 512
TABLE_WIDTH = 140  # width of a table in characters


class Target(NamedTuple):
    """A measured process; ``pid`` is 0 if its processor time is not measured."""

    name: str
    address: str
    pid: int


class TargetResult(NamedTuple):
    """The measurements of one target; times in ms."""

    name: str
    requests: int
    failures: int
    first_token_p50_ms: float
    first_token_p95_ms: float
    between_tokens_p95_ms: float
    requests_per_s: float
    cpu_ms_per_request: float | None


class LoadShape(NamedTuple):
    """The requests of one run: their number, size and concurrency."""

    requests: int
    tokens: int
    concurrency: int
    model: str
    prompt: str
    key: str


class Recorder:
    """Histograms of the token times of one run, in microseconds, and failures."""

    def __init__(self) -> None:
        self.first = HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
        self.between = HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
        self.failures = 0
        self.last_failure = ""


def parse_target(text: str) -> Target:
    """Parse a target from ``NAME=IP:PORT`` or ``NAME=IP:PORT,PID``.

    Raises ``ValueError`` if the name or port is missing or the PID is not a number.
    """
    name, _, rest = text.partition("=")
    address, _, pid = rest.partition(",")
    if not name or ":" not in address:
        raise ValueError(f"{text!r}: expected NAME=IP:PORT or NAME=IP:PORT,PID")
    return Target(name, address, int(pid or 0))


def read_cpu_s(pid: int) -> float | None:
    """Return the processor time that a process has used, in seconds."""
    if not pid:
        return None
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


async def send_request(
    client: HttpClient, target: Target, shape: LoadShape, recorder: Recorder
) -> None:
    """Send one streamed completion and record the times of its chunks.

    A response that isn't a 200 or lacks the final ``[DONE]`` counts as a failure.
    """
    last_time = time.perf_counter()
    received: list[bytes] = []

    def record_chunk(chunk: bytes) -> None:
        nonlocal last_time
        now = time.perf_counter()
        histogram = recorder.between if received else recorder.first
        histogram.record_value(max(int((now - last_time) * 1e6), 1))
        last_time = now
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
        streaming_callback=record_chunk,
        request_timeout=REQUEST_TIMEOUT_S,
    )
    response = await client.fetch(request)
    is_complete = b"".join(received).rstrip().endswith(b"data: [DONE]")
    if response.code != 200 or not is_complete:
        recorder.failures += 1
        recorder.last_failure = f"{response.code} {b''.join(received)[:200]!r}"


async def run_load(target: Target, shape: LoadShape) -> TargetResult:
    """Send ``shape.requests`` requests in a closed loop and measure them.

    Each of ``shape.concurrency`` workers sends its next request when it has the
    response to the one before.
    """
    client = HttpClient(MAX_CLIENTS)
    recorder = Recorder()
    remaining = iter(range(shape.requests))

    async def send_remaining() -> None:
        for _ in remaining:
            await send_request(client, target, shape, recorder)

    cpu_before = read_cpu_s(target.pid)
    started = time.perf_counter()
    await asyncio.gather(*(send_remaining() for _ in range(shape.concurrency)))
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
    """Print the results as a table."""
    table = Table(title=title)
    for heading in TargetResult._fields:
        table.add_column(heading, justify="right")
    for result in results:
        cells = ["-" if v is None else v for v in result]
        table.add_row(*(f"{c:.2f}" if isinstance(c, float) else str(c) for c in cells))
    Console(width=TABLE_WIDTH).print(table)


@cappa.command(help="Compare latency and CPU time of targets.")
@dataclass
class Proxy:
    """Arguments of ``lavendershift-bench proxy``."""

    target: Annotated[
        list[str],
        cappa.Arg(long=True, help="NAME=IP:PORT or NAME=IP:PORT,PID; may be repeated"),
    ] = field(default_factory=list)
    requests: Annotated[int, cappa.Arg(long=True)] = 200
    tokens: Annotated[int, cappa.Arg(long=True, help="output tokens per request")] = 50
    concurrency: Annotated[int, cappa.Arg(long=True, help="concurrent requests")] = 1
    rounds: Annotated[int, cappa.Arg(long=True, help="runs per target")] = 3
    model: Annotated[str, cappa.Arg(long=True)] = "index"
    key: Annotated[str, cappa.Arg(long=True, help="API key of the caller")] = ""
    json: Annotated[bool, cappa.Arg(long=True, help="print JSON")] = False

    def __call__(self) -> None:
        """Measure the targets and print the results."""
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
        """Measure the targets alternately.

        A change in the load of the machine then affects all of them alike.
        """
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
    tokens: Annotated[int, cappa.Arg(long=True, help="output tokens per request")] = 50
    model: Annotated[str, cappa.Arg(long=True)] = "index"
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    deadline: Annotated[float, cappa.Arg(long=True, help="seconds")] = 30.0
    json: Annotated[bool, cappa.Arg(long=True, help="print JSON")] = False

    def __call__(self) -> None:
        """Send the load and print the report.

        Exits with 1 if a response was truncated or a request reached no router.
        """
        callers = [load.Caller(*text.split("=", 1)) for text in self.caller]
        if not callers or not self.router:
            print(
                "at least one --router and one --caller are required", file=sys.stderr
            )
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


@cappa.command(name="lavendershift-bench", help="Measure the load and cost of routers.")
@dataclass
class Bench:
    """The command line of ``lavendershift-bench``."""

    command: cappa.Subcommands[Proxy | Load]


def main() -> None:
    """Run the command line."""
    cappa.invoke(Bench)
