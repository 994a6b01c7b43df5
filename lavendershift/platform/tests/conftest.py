import asyncio
import json
import random
from datetime import timedelta

import pytest
from tornado.httputil import HTTPHeaders

from lavendershift.attempts import CallerRequest
from lavendershift.clocks import SystemClock
from lavendershift.connections import ConnectionPool
from lavendershift.crashes import CrashDetector
from lavendershift.datagrams import Datagrams
from lavendershift.delivery import Delivery
from lavendershift.errors import RequestError
from lavendershift.permits import Permits
from lavendershift.platform.configuration import decode_configuration
from lavendershift.platform.serverwire import PlatformServerWire
from lavendershift.preparations import Backends
from lavendershift.quarantine import Quarantine
from lavendershift.routes import Repeat, Route, Service, ServiceShare
from lavendershift.serverlist import ServerList
from lavendershift.serverstates import ServerEntry
from lavendershift_standins.platformserver import PlatformServer

SECOND = timedelta(seconds=1)


class RecordedResponse:
    """Records the response that is sent to a caller."""

    def __init__(self):
        self.has_started = False
        self.is_done = False
        self.was_aborted = False
        self.status = 0
        self.headers = HTTPHeaders()
        self.body = b""
        self.error = None

    def send(self, status, headers, body):
        self.has_started = self.is_done = True
        self.status, self.headers, self.body = status, headers, body

    def send_pieces(self, status, headers, pieces):
        self.send(status, headers, b"".join(pieces))

    def start(self, status, headers):
        self.has_started = True
        self.status, self.headers = status, headers

    async def write(self, chunk):
        self.body += chunk

    def finish(self):
        self.is_done = True

    def abort(self):
        self.was_aborted = True

    def refuse(self, error):
        self.error = error


class Scenario:
    """Servers with scripted behaviour, and deliveries of requests to them.

    ``notes`` collects the attempts of all deliveries, ``ends`` how they ended,
    ``errors`` their unexpected exceptions, and ``runs`` counts the requests that
    servers received. ``retries`` is the remaining retry budget.
    """

    def __init__(self):
        self.clock = SystemClock()
        self.servers = ServerList(self.clock, random.Random(1))
        self.connections = ConnectionPool(self.clock)
        self.permits = Permits(
            self.clock, self.servers.limits, Datagrams(), lambda server: None
        )
        self.crashes = CrashDetector(self.connections.is_refused)
        self.quarantine = Quarantine(self.clock, random.Random(2))
        self.crashes.on_crash = lambda incarnation, suspects: (
            self.quarantine.note_crash(incarnation, suspects, is_own=True)
        )
        self.backends = []
        self.notes = []
        self.errors = []
        self.retries = 10
        self.on_report = lambda: None

    async def add_server(self, *script):
        server = PlatformServer(f"i-{len(self.backends)}")
        server.script.extend(script)
        await server.start()
        self.backends.append(server)
        self.list_server(server)
        return server

    def list_server(self, server, address=None, **changes):
        address = address or server.address
        entry = ServerEntry(server.name, "index", address, "", 8, False)
        self.servers.update(entry._replace(**changes))

    def make_request(self, number=1, deadline=2 * SECOND):
        now = self.clock.elapsed()
        request_id = f"r{number}"
        headers = HTTPHeaders({"X-Lavendershift-Attempt-Id": request_id})
        return CallerRequest(
            id=request_id,
            method="POST",
            target="/a/b?c=d",
            host="books.example",
            headers=headers,
            body=b"question",
            key="",
            received=now,
            deadline=now + deadline,
        )

    def make_delivery(
        self,
        answer,
        request=None,
        repeat=Repeat.NEVER,
        attempts=2,
        is_stream=False,
        timeout=2 * SECOND,
    ):
        route = Route(
            "r",
            "books.example",
            "/a/",
            (ServiceShare("index", 1.0),),
            repeat,
            is_stream,
            timeout,
            timedelta(milliseconds=200),
            max_attempts=attempts,
        )

        def spend(end):
            self.retries -= 1
            return self.retries >= 0

        return Delivery(
            self.clock,
            request or self.make_request(),
            route,
            Service("index", tokens_per_event=5),
            Backends(
                self.servers,
                self.connections,
                self.permits,
                self.crashes,
                self.quarantine,
                PlatformServerWire(),
            ),
            answer,
            spend,
            self.note_attempt,
            self.errors.append,
        )

    def note_attempt(self, report):
        self.notes.append(report)
        self.on_report()

    async def deliver(self, **options):
        answer = RecordedResponse()
        delivery = self.make_delivery(answer, **options)
        await delivery.run()
        return answer

    async def deliver_sequentially(self, count=6, **options):
        """Deliver requests one after the other and return their errors."""
        errors = []
        for number in range(100, 100 + count):
            request = self.make_request(number)
            try:
                await self.deliver(request=request, **options)
            except RequestError as error:
                errors.append(error)
        return errors

    @property
    def ends(self):
        return [note.end for note in self.notes]

    @property
    def runs(self):
        return sum(len(backend.received) for backend in self.backends)

    async def close(self):
        self.connections.close()
        for backend in self.backends:
            await backend.stop()


@pytest.fixture
def play():
    """Return a function that runs a coroutine function, passing it a scenario."""

    def run(work):
        async def run_all():
            scenario = Scenario()
            try:
                async with asyncio.timeout(20):
                    result = await work(scenario)
                assert scenario.errors == []
                return result
            finally:
                await scenario.close()

        return asyncio.run(run_all())

    return run


def make_configuration(**changes):
    """Return an encoded configuration with a route of each kind."""
    config = {
        "version": 7,
        "routes": [
            {
                "name": "index",
                "host": "books.example",
                "path_prefix": "/index/",
                "kind": "streaming",
                "timeout_ms": 5000,
                "target_latency_ms": 400,
                "priority": 1,
                "service": "pool",
                "max_attempts": 2,
                "resumable": True,
            },
            {
                "name": "record",
                "host": "books.example",
                "path_prefix": "/record/",
                "kind": "unsafe",
                "timeout_ms": 2000,
                "target_latency_ms": 300,
                "service": "ledger",
            },
            {
                "name": "read",
                "host": "books.example",
                "path_prefix": "/read/",
                "kind": "safe",
                "timeout_ms": 2000,
                "target_latency_ms": 300,
                "service": "ledger",
                "max_attempts": 2,
            },
        ],
        "services": [
            {"name": "pool", "engine": {"slots": 8, "stride": 5}},
            {"name": "ledger"},
        ],
        "tenants": [{"name": "plume", "api_keys": ["key-1"], "prepaid": 100_000}],
    } | changes
    return json.dumps(config).encode()


@pytest.fixture
def table():
    return decode_configuration(make_configuration()).table
