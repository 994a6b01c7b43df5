"""Open-loop load on a running fleet.

Arrivals follow a seeded Poisson process and do not wait for responses, so a slow
fleet gets as many requests as a fast one. Each caller fetches router addresses
by discovery, caches them for their time to live, and retries a failed request at
the next address with the same idempotency key::

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
MAX_TIME_US = 600_000_000  # longest time that the histograms can hold, in µs
SIGNIFICANT_DIGITS = 3
DISCOVERY_TIMEOUT_S = 2.0
MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 0.1
RETRIABLE_CODES = ("starting", "stopping")


class LoadShape(NamedTuple):
    """The load to send: ``rate`` requests per second for ``seconds``."""

    routers: list[str]
    rate: float
    seconds: float
    tokens: int
    model: str
    seed: int
    deadline_s: float


class Caller(NamedTuple):
    """A caller: its customer's path and its API key."""

    customer: str
    key: str


class LoadReport(NamedTuple):
    """Results of a run as the callers observed them; times in ms.

    ``whole`` counts complete responses, ``repeated`` retries, ``unreachable``
    requests whose attempts all failed, and ``refused`` error responses by code.
    ``goodput_per_s`` counts the complete responses within their deadline.
    """

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


class RunStatistics:
    """Counts and histograms of one run; times in µs."""

    def __init__(self) -> None:
        self.first = HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
        self.between = HdrHistogram(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
        self.counts: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()

    def make_report(self, shape: LoadShape) -> LoadReport:
        """Return the report of the run."""
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


class AddressCache:
    """Router addresses from discovery, cached for their time to live."""

    def __init__(self, client: HttpClient, routers: list[str]) -> None:
        self._client = client
        self._routers = routers
        self._cached: dict[str, tuple[float, list[str]]] = {}

    async def list_addresses(self, customer: str) -> list[str]:
        """Return addresses for ``customer``, best first.

        If no router responds, these are the expired ones or else all ``routers``.
        """
        expires_at, addresses = self._cached.get(customer, (0.0, []))
        if time.monotonic() < expires_at:
            return addresses
        for router in self._routers:
            decoded = await self._fetch_addresses(router, customer)
            if decoded is not None:
                addresses = [row["address"] for row in decoded["routers"]]
                expires_at = time.monotonic() + decoded["ttl_s"]
                self._cached[customer] = (expires_at, addresses)
                return addresses
        return addresses or self._routers

    def discard(self, customer: str) -> None:
        """Drop the addresses for ``customer``, as one of them failed."""
        self._cached.pop(customer, None)

    async def _fetch_addresses(
        self, router: str, customer: str
    ) -> dict[str, Any] | None:
        request = HTTPRequest(
            f"http://{router}/v1/routers?customer={customer}",
            request_timeout=DISCOVERY_TIMEOUT_S,
        )
        response = await self._client.fetch(request)
        if response.code != 200:
            return None
        decoded: dict[str, Any] = msgspec.json.decode(response.body)
        return decoded if decoded["routers"] else None


class LoadRun:
    """One run: sends the requests and collects their results."""

    def __init__(self, shape: LoadShape, callers: list[Caller]) -> None:
        self._shape = shape
        self._callers = callers
        self._rng = random.Random(shape.seed)
        self._client = HttpClient(MAX_CLIENTS)
        self._addresses = AddressCache(self._client, shape.routers)
        self._statistics = RunStatistics()

    async def run(self) -> LoadReport:
        """Send all requests and return the report once all have ended."""
        started = time.monotonic()
        arrival_s = 0.0
        tasks = []
        number = 0
        while True:
            arrival_s += self._rng.expovariate(self._shape.rate)
            if arrival_s > self._shape.seconds:
                break
            await asyncio.sleep(max(0.0, started + arrival_s - time.monotonic()))
            number += 1
            caller = self._rng.choice(self._callers)
            key = f"load-{self._shape.seed}-{number}"
            tasks.append(asyncio.ensure_future(self._send_request(caller, key)))
        await asyncio.gather(*tasks)
        self._client.close()
        return self._statistics.make_report(self._shape)

    async def _send_request(self, caller: Caller, key: str) -> None:
        """Send one request; retry at other routers if a router cannot serve it."""
        counts = self._statistics.counts
        counts["sent"] += 1
        started = time.perf_counter()
        for number in range(MAX_ATTEMPTS):
            addresses = await self._addresses.list_addresses(caller.customer)
            address = addresses[number % len(addresses)]
            if number:
                counts["repeated"] += 1
                await asyncio.sleep(RETRY_PAUSE_S * number)
            if await self._attempt(caller, key, address, started):
                return
            self._addresses.discard(caller.customer)
        counts["unreachable"] += 1

    async def _attempt(
        self, caller: Caller, key: str, address: str, started: float
    ) -> bool:
        """Send a request to one router; return false if it should be retried."""
        received: list[bytes] = []
        last_time = started

        def record_chunk(chunk: bytes) -> None:
            nonlocal last_time
            now = time.perf_counter()
            statistics = self._statistics
            if chunk.startswith(b"data:"):
                histogram = statistics.between if received else statistics.first
                histogram.record_value(max(int((now - last_time) * 1e6), 1))
            last_time = now
            received.append(chunk)

        response = await self._client.fetch(
            self._make_request(caller, key, address, record_chunk)
        )
        return self._classify_response(response, b"".join(received), started)

    def _make_request(
        self, caller: Caller, key: str, address: str, record_chunk: Any
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
            streaming_callback=record_chunk,
            request_timeout=self._shape.deadline_s + 5,
        )

    def _classify_response(
        self, response: HTTPResponse, body: bytes, started: float
    ) -> bool:
        counts = self._statistics.counts
        if body.rstrip().endswith(b"data: [DONE]"):
            counts["whole"] += 1
            if time.perf_counter() - started <= self._shape.deadline_s:
                counts["in_time"] += 1
            return True
        if response.code == 200 or body.startswith(b"data:"):
            counts["truncated"] += 1
            return True
        if response.code == 599:
            return False
        code = parse_error_code(body)
        if code in RETRIABLE_CODES:
            return False
        self._statistics.refused[code] += 1
        return True


def parse_error_code(body: bytes) -> str:
    """Return the error code of a response body, or ``unreadable``."""
    try:
        return str(msgspec.json.decode(body)["error"]["code"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return "unreadable"


async def run_load(shape: LoadShape, callers: list[Caller]) -> LoadReport:
    """Send the load ``shape``; each request is from a random one of ``callers``."""
    return await LoadRun(shape, callers).run()
