"""Open-loop load on a running fleet.

Arrivals follow a seeded Poisson process and do not wait for answers, so that a
slow fleet is not spared. Each caller asks a router for addresses, keeps the
answer for its time to live, and goes on to the next address when one fails it,
with the same idempotency key::

    report = asyncio.run(run_load(shape, callers))
"""

import asyncio
import random
import time
from collections import Counter
from typing import Any, NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram
from tornado.httpclient import HTTPRequest, HTTPResponse

from lavendershift.httpclients import HttpClient

MAX_CLIENTS = 2000
LONGEST_US = 600_000_000  # of a time that the histograms can hold
SIGNIFICANT_DIGITS = 3
DISCOVERY_TIMEOUT_S = 2.0
MAX_TRIES = 4
TRY_PAUSE_S = 0.1
RETRIABLE_CODES = ("starting", "stopping")


class LoadShape(NamedTuple):
    """What is sent: ``rate`` requests per second for ``seconds``."""

    routers: list[str]
    rate: float
    seconds: float
    tokens: int
    model: str
    seed: int
    deadline_s: float


class Caller(NamedTuple):
    """A customer's caller with its API key."""

    customer: str
    key: str


class LoadReport(NamedTuple):
    """What the callers saw. Times in ms."""

    sent: int
    whole: int
    truncated: int
    refused: dict[str, int]
    unreachable: int
    repeated: int
    first_token_p50_ms: float
    first_token_p95_ms: float
    first_token_p99_ms: float
    between_tokens_p95_ms: float
    goodput_per_s: float


class Tally:
    """Counts and histograms of one run."""

    def __init__(self) -> None:
        self.first = HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
        self.between = HdrHistogram(1, LONGEST_US, SIGNIFICANT_DIGITS)
        self.counts: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()

    def make_report(self, shape: LoadShape) -> LoadReport:
        """Return the run's figures."""
        return LoadReport(
            sent=self.counts["sent"],
            whole=self.counts["whole"],
            truncated=self.counts["truncated"],
            refused=dict(self.refused),
            unreachable=self.counts["unreachable"],
            repeated=self.counts["repeated"],
            first_token_p50_ms=self.first.get_value_at_percentile(50) / 1000,
            first_token_p95_ms=self.first.get_value_at_percentile(95) / 1000,
            first_token_p99_ms=self.first.get_value_at_percentile(99) / 1000,
            between_tokens_p95_ms=self.between.get_value_at_percentile(95) / 1000,
            goodput_per_s=self.counts["in_time"] / shape.seconds,
        )


class Directory:
    """Router addresses as discovery gives them, kept for their time to live."""

    def __init__(self, client: HttpClient, routers: list[str]) -> None:
        self._client = client
        self._routers = routers
        self._known: dict[str, tuple[float, list[str]]] = {}

    async def list_addresses(self, customer: str) -> list[str]:
        """Return addresses for ``customer``, best first."""
        until, addresses = self._known.get(customer, (0.0, []))
        if time.monotonic() < until:
            return addresses
        for router in self._routers:
            answer = await self._ask(router, customer)
            if answer is not None:
                addresses = [row["address"] for row in answer["routers"]]
                until = time.monotonic() + answer["ttl_s"]
                self._known[customer] = (until, addresses)
                return addresses
        return addresses or self._routers

    def forget(self, customer: str) -> None:
        """Ask again next time, as an address failed."""
        self._known.pop(customer, None)

    async def _ask(self, router: str, customer: str) -> dict[str, Any] | None:
        request = HTTPRequest(
            f"http://{router}/v1/routers?customer={customer}",
            request_timeout=DISCOVERY_TIMEOUT_S,
        )
        response = await self._client.fetch(request)
        if response.code != 200:
            return None
        answer: dict[str, Any] = msgspec.json.decode(response.body)
        return answer if answer["routers"] else None


class LoadRun:
    """One run of a load shape."""

    def __init__(self, shape: LoadShape, callers: list[Caller]) -> None:
        self._shape = shape
        self._callers = callers
        self._rng = random.Random(shape.seed)
        self._client = HttpClient(MAX_CLIENTS)
        self._directory = Directory(self._client, shape.routers)
        self._tally = Tally()

    async def run(self) -> LoadReport:
        """Send all requests and return what came of them."""
        started = time.monotonic()
        at = 0.0
        tasks = []
        number = 0
        while True:
            at += self._rng.expovariate(self._shape.rate)
            if at > self._shape.seconds:
                break
            await asyncio.sleep(max(0.0, started + at - time.monotonic()))
            number += 1
            caller = self._rng.choice(self._callers)
            key = f"load-{self._shape.seed}-{number}"
            tasks.append(asyncio.ensure_future(self._request(caller, key)))
        await asyncio.gather(*tasks)
        self._client.close()
        return self._tally.make_report(self._shape)

    async def _request(self, caller: Caller, key: str) -> None:
        """Send one request, at other routers too where one cannot serve it."""
        counts = self._tally.counts
        counts["sent"] += 1
        started = time.perf_counter()
        for number in range(MAX_TRIES):
            addresses = await self._directory.list_addresses(caller.customer)
            address = addresses[number % len(addresses)]
            if number:
                counts["repeated"] += 1
                await asyncio.sleep(TRY_PAUSE_S * number)
            if await self._try(caller, key, address, started):
                return
            self._directory.forget(caller.customer)
        counts["unreachable"] += 1

    async def _try(
        self, caller: Caller, key: str, address: str, started: float
    ) -> bool:
        """Send a request to one router; whether that settled it."""
        received: list[bytes] = []
        last = started

        def note_chunk(chunk: bytes) -> None:
            nonlocal last
            now = time.perf_counter()
            tally = self._tally
            if chunk.startswith(b"data:"):
                histogram = tally.between if received else tally.first
                histogram.record_value(max(int((now - last) * 1e6), 1))
            last = now
            received.append(chunk)

        response = await self._client.fetch(
            self._make_request(caller, key, address, note_chunk)
        )
        return self._settle(response, b"".join(received), started)

    def _make_request(
        self, caller: Caller, key: str, address: str, note_chunk: Any
    ) -> HTTPRequest:
        body = {
            "model": self._shape.model,
            "prompt": f"{caller.customer} {key}",
            "max_tokens": self._shape.tokens,
            "stream": True,
        }
        return HTTPRequest(
            f"http://{address}/v1/completions",
            method="POST",
            body=msgspec.json.encode(body),
            headers={
                "Authorization": f"Bearer {caller.key}",
                "Idempotency-Key": key,
                "Deadline-Ms": str(int(self._shape.deadline_s * 1000)),
            },
            streaming_callback=note_chunk,
            request_timeout=self._shape.deadline_s + 5,
        )

    def _settle(self, response: HTTPResponse, answer: bytes, started: float) -> bool:
        counts = self._tally.counts
        if answer.rstrip().endswith(b"data: [DONE]"):
            counts["whole"] += 1
            if time.perf_counter() - started <= self._shape.deadline_s:
                counts["in_time"] += 1
            return True
        if response.code == 200 or answer.startswith(b"data:"):
            counts["truncated"] += 1
            return True
        if response.code == 599:
            return False
        code = read_code(answer)
        if code in RETRIABLE_CODES:
            return False
        self._tally.refused[code] += 1
        return True


def read_code(answer: bytes) -> str:
    """Return the error code of an answer."""
    try:
        return str(msgspec.json.decode(answer)["error"]["code"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return "unreadable"


async def run_load(shape: LoadShape, callers: list[Caller]) -> LoadReport:
    """Run ``shape`` with requests of ``callers``, chosen at random."""
    return await LoadRun(shape, callers).run()
