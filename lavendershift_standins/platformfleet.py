"""A stand-in for the platform around one router process, for measurements.

A store with a configuration, the entries of servers and the rows of other VMs that are
renewed as real ones do, and the servers themselves. The other VMs send no datagrams::

    fleet = PlatformFleet(FleetShape(), random.Random(1))
    await fleet.start(store_port=7000)
"""

import asyncio
import json
import random
import socket
from typing import NamedTuple

from lavendershift_standins.platformserver import (
    PlatformServer,
    answer_complete,
    stream,
)
from lavendershift_standins.platformstore import StoreServer

SETTINGS_VARIABLE = "LAVENDERSHIFT_SETTINGS"
HOST = "costs.example"
STREAM_SERVICE, PLAIN_SERVICE = "engines", "ledger"
PAYING, EMPTY = "key-paying", "key-empty"  # API keys, with a total and without tokens
OTHER_CUSTOMERS = 22
PARTITIONS = 4
DOMAINS = ("north", "south", "west")
RENEWAL_S = 1.2  # interval in which each VM renews its row
WRITES_PER_RENEWAL = 12  # parts into which the rows of an interval are spread
EVENT_PAUSE_S = 0.02  # pause between the events of a stream, so that each is read alone
PROMPT_FAMILIES = 12  # numbers of different first parts of prompts
BODY_BYTES = (830, 2_400, 12_288)
SETTINGS = """
node = "edge-0"
role = "gateway"
ip = "{ip}"
zone = "north"
region = "bretagne"
internal_ports = [{peer}, {peer}]
[listen]
front = "{ip}:{callers}"
ready = "{ip}:{ready}"
directory = "{ip}:{directory}"
[bounds]
grace_s = 8
drain_ms = 2000
retry_budget_ratio = 0.2
retry_budget_slack = 196
budget_window_s = 10
ttl_max_s = 5
[platform]
address = "127.0.0.1:{store}"
parts = {partitions}
"""


class FleetShape(NamedTuple):
    """Numbers of servers of each service, of other VMs and of events in a stream."""

    engines: int = 56
    plain_servers: int = 4
    vms: int = 80
    events: int = 32


class PlatformFleet:
    """The store, the servers and the rows of the other VMs."""

    def __init__(self, shape: FleetShape, rng: random.Random) -> None:
        self._shape = shape
        self._rng = rng
        self.store = StoreServer(rng)
        self._servers: dict[str, list[PlatformServer]] = {}
        self._renewals = 0
        self._sockets: list[socket.socket] = []
        self._task: asyncio.Task[None] | None = None

    async def start(self, store_port: int) -> None:
        """Start everything; the rows are renewed from now on."""
        self.store.listen(store_port)
        shape = self._shape
        counts = {STREAM_SERVICE: shape.engines, PLAIN_SERVICE: shape.plain_servers}
        for service, count in counts.items():
            self._servers[service] = []
            for number in range(count):
                server = PlatformServer(f"i-{service}-{number}")
                server.default = answer_complete
                if service == STREAM_SERVICE:
                    server.default = stream(shape.events, EVENT_PAUSE_S)
                await server.start()
                self._servers[service].append(server)
        self._append("keyed.op", {"config": make_configuration()})
        self._append("keyed.servers", self._make_entries())
        for number in range(shape.vms):
            # A socket that nobody reads takes the router's datagrams.
            sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sink.bind((f"127.0.0.{number + 2}", 0))
            self._sockets.append(sink)
        self._task = asyncio.ensure_future(self._renew_rows())

    async def stop(self) -> None:
        """Stop everything."""
        if self._task is not None:
            self._task.cancel()
        for servers in self._servers.values():
            for server in servers:
                await server.stop()
        for sink in self._sockets:
            sink.close()
        self.store.stop()

    def _append(self, topic: str, values: dict[str, object]) -> None:
        records = [(k.encode(), json.dumps(v).encode()) for k, v in values.items()]
        self.store.state.append(topic, 0, records)

    def _make_entries(self) -> dict[str, object]:
        return {
            server.name: {
                "service": service,
                "address": server.address,
                "zone": DOMAINS[number % len(DOMAINS)],
                "version": "v1",
                "slots": 64,
                "cold_remaining_ms": 0,
                "state": "ready",
                "sequence": 1,
                "born": 1,
            }
            for service, servers in self._servers.items()
            for number, server in enumerate(servers)
        }

    async def _renew_rows(self) -> None:
        while True:
            self._renewals += 1
            for part in range(WRITES_PER_RENEWAL):
                numbers = range(part, self._shape.vms, WRITES_PER_RENEWAL)
                rows: dict[str, object] = {
                    f"edge-{n + 1}": self._make_row(n) for n in numbers
                }
                self._append("keyed.vms", rows)
                await asyncio.sleep(RENEWAL_S / WRITES_PER_RENEWAL)

    def _make_row(self, number: int) -> dict[str, object]:
        host, port = self._sockets[number].getsockname()
        customers = self._rng.sample(range(OTHER_CUSTOMERS), 5)
        return {
            "address": f"{host}:80",
            "domain": DOMAINS[number % len(DOMAINS)],
            "incarnation": f"a{number}",
            "renewal": self._renewals,
            "leaving": False,
            "demand": {f"customer-{c}": self._rng.random() * 900 for c in customers},
            "peer": f"{host}:{port}",
            "capacity": 50.0 + number % 7,
            "arrivals": round(self._rng.uniform(2, 4), 2),
            "active": number < 12,
        }


def make_configuration() -> dict[str, object]:
    """Return a configuration with a streamed route, a plain one and 24 customers."""
    customers = [
        {"name": "paying", "api_keys": [PAYING], "prepaid": 2_000_000_000},
        {"name": "empty", "api_keys": [EMPTY], "prepaid": 0},
    ]
    customers += [
        {"name": f"customer-{n}", "api_keys": [f"key-{n}"], "prepaid": 100_000_000}
        for n in range(OTHER_CUSTOMERS)
    ]
    shared = {"host": HOST, "timeout_ms": 5000, "target_latency_ms": 400}
    return {
        "version": 1,
        "routes": [
            shared
            | {
                "name": "stream",
                "path_prefix": "/stream/",
                "kind": "streaming",
                "priority": 1,
                "service": STREAM_SERVICE,
                "max_attempts": 2,
                "resumable": True,
            },
            shared
            | {
                "name": "plain",
                "path_prefix": "/plain/",
                "kind": "safe",
                "service": PLAIN_SERVICE,
                "max_attempts": 2,
            },
        ],
        "services": [
            {"name": STREAM_SERVICE, "engine": {"slots": 64, "stride": 5}},
            {"name": PLAIN_SERVICE},
        ],
        "tenants": customers,
    }


def make_request(number: int, key: str, is_stream: bool) -> bytes:
    """Return request ``number``; a streamed one has a prompt of three parts."""
    body = b"q" * BODY_BYTES[number % len(BODY_BYTES)]
    path = "/stream/answer" if is_stream else "/plain/read"
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Lavendershift-Attempt-Id: request-{number}",
        "X-Lavendershift-Deadline-Ms: 4000",
        f"Authorization: Bearer {key}",
        "Content-Type: application/json",
        "Accept: text/event-stream",
        f"Content-Length: {len(body)}",
    ]
    if is_stream:
        family = number % PROMPT_FAMILIES
        parts = (
            f"system-{family}:900,document-{family}-{number % 7}:400,own-{number}:60"
        )
        lines.append(f"X-Lavendershift-Prompt-Prefix: {parts}")
        lines.append("X-Lavendershift-Token-Usage: 1360,160")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
