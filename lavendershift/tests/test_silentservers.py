"""Servers, services and logs that are silent for a second or so and then go on."""

import asyncio
import contextlib
import socket
import threading
from collections import Counter
from types import SimpleNamespace

import pytest

from lavendershift.tests.links import Link
from lavendershift.tests.live_fleet import Fleet
from lavendershift.tests.live_tree import DOMAINS
from lavendershift.tests.processes import find_port
from lavendershift.tools.capacity_streams import (
    CHUNK,
    HEAD,
    NOT_FOUND,
    REQUEST,
    Engine,
    parse_content_length,
    run_bench,
)
from lavendershift.watchers import LoadWatcher

SILENCE_S = 1.3


class DeafServer:
    """A server whose port drops the packets of new connections until it listens."""

    def __init__(self):
        self.calls = 0
        self.socket = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        self.waiting = []
        with contextlib.suppress(TimeoutError):
            for _ in range(8):  # the backlog holds one or two
                host, port = self.socket.getsockname()
                self.waiting.append(socket.create_connection((host, port), 0.1))

    async def listen(self):
        await asyncio.sleep(SILENCE_S)
        self.server = await asyncio.start_server(self.serve, sock=self.socket)

    async def serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.calls += 1
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        writer.close()

    def close(self):
        for connection in self.waiting:
            connection.close()
        self.socket.close()


class SilentFleet(Fleet):
    """A router and servers behind links; ``catalogue`` is served by several."""

    def __init__(self, path, catalogues=1, **options):
        super().__init__(path, 1, engines=1, in_process=True, **options)
        self.catalogues = catalogues
        self.silences = []
        self.deaf = options.get("deaf", {})

    def publish_tree(self):
        engine = self.engines["engine-1"]
        self.nodes["servers/engine-1"] = {
            "kind": "engine",
            "address": self.add_server_link("engine-1", engine.port),
            "failure_domain": DOMAINS[0],
            "models": ["index-large"],
            "capacity": 16,
        }
        for service in ("approvals", "catalogue"):
            self.add_service(service, service)
        for number in range(2, self.catalogues + 1):
            self.add_service(f"catalogue-{number}", "catalogue")
        for service, server in self.deaf.items():
            self.nodes[f"servers/{service}"]["address"] = server.address
        super().publish_tree()

    def add_service(self, name, service):
        self.nodes[f"servers/{name}"] = {
            "kind": "service",
            "address": self.add_server_link(name, self.service.port),
            "failure_domain": DOMAINS[0],
            "service": service,
            "capacity": 16,
        }

    def add_server_link(self, name, target_port):
        self.links[name] = Link(find_port(), target_port)
        self.thread.run(self.links[name].start())
        return f"127.0.0.1:{self.links[name].port}"

    def silence(self, link, seconds=SILENCE_S):
        """Let a link fall silent, and go on after some seconds."""
        self.set_link(link, "silent")

        async def speak():
            await asyncio.sleep(seconds)
            await self.links[link].set_state("open")

        self.silences.append(self.thread.call(asyncio.ensure_future, speak()))

    def let_listen(self):
        for server in self.deaf.values():
            self.silences.append(
                self.thread.call(asyncio.ensure_future, server.listen())
            )

    def stop(self):
        if self.silences:
            self.thread.run(asyncio.wait(self.silences))
        for server in self.deaf.values():
            self.thread.call(server.close)
        super().stop()

    def list_ejections(self):
        counters = self.applications["r1"].metrics.snapshot().counters
        return {n: c for n, c in counters.items() if n.startswith("ejected.") and c}

    def browse(self, headers=None):
        path = "/services/catalogue/items"
        return self.caller.call(self.ports["r1"], "GET", path, headers=headers)


@pytest.fixture
def make_fleet(tmp_path):
    fleets = []

    def make(**options):
        fleet = SilentFleet(tmp_path, **options)
        fleets.append(fleet)
        fleet.start()
        return fleet

    yield make
    for fleet in fleets:
        fleet.stop()


def test_a_silent_engine_costs_no_response(make_fleet):
    fleet = make_fleet()
    assert fleet.complete("r1", "warm").status == 200
    fleet.silence("engine-1")
    assert fleet.complete("r1", "before the head").status == 200
    stream = fleet.open_stream("r1", "within the stream", max_tokens=400).begin()
    stream.read_some()
    fleet.silence("engine-1")
    assert stream.finish().is_complete_stream
    [runs] = fleet.list_executions().values()
    assert len(runs) == 3


def test_a_silent_engine_does_not_delay_the_load_reports_of_others():
    class SilentClient:
        def __init__(self):
            self.polled = []

        def make_url(self, address, path):
            return address + path

        async def fetch(self, method, url, timeout):
            self.polled.append(url)
            if url.startswith("e1"):
                await asyncio.sleep(SILENCE_S)
            return SimpleNamespace(code=599)

    async def work():
        client = SilentClient()
        servers = [
            SimpleNamespace(name=name, address=name, kind="engine")
            for name in ("e1", "e2")
        ]
        watcher = LoadWatcher(client, None, lambda: servers, lambda: 0)
        async with asyncio.timeout(SILENCE_S):
            for _ in range(3):
                await watcher.poll()
        await watcher.stop()
        return Counter(client.polled)

    assert asyncio.run(work()) == {"e1/control/load": 1, "e2/control/load": 3}


@pytest.mark.parametrize("link", ["servers", "r1-log", "relay1-peer", "relay1-log"])
def test_a_silent_service_or_log_costs_no_call(make_fleet, link):
    fleet = make_fleet(relays=1 if link.startswith("relay") else 0)
    assert fleet.approve("r1", "warm").status == 200
    fleet.silence("approvals" if link == "servers" else link)
    assert fleet.approve("r1", "silent").status == 200
    if link == "servers":
        fleet.silence("catalogue")
    assert fleet.browse().status == 200
    assert fleet.count_calls("silent") == 1


def test_requests_that_expire_in_one_silence_do_not_eject_a_service(make_fleet):
    fleet = make_fleet(catalogues=4)
    for _ in range(60):
        assert fleet.browse().status == 200
    links = ["catalogue", "catalogue-2", "catalogue-3", "catalogue-4"]
    for link in links:
        fleet.silence(link)
    threads = [
        threading.Thread(target=fleet.browse, args=[{"Deadline-Ms": "700"}])
        for _ in range(16)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert fleet.list_ejections() == {}


def refuse(server):
    server.close()


def stay_deaf(server):
    pass


@pytest.mark.parametrize("fail", [refuse, stay_deaf])
def test_a_call_without_a_connection_certainly_did_not_run(make_fleet, fail):
    server = DeafServer()
    fleet = make_fleet(deaf={"approvals": server})
    fail(server)
    reply = fleet.approve("r1", "dead", {"Deadline-Ms": "1500"})
    assert (reply.status, reply.headers["Ran"]) == (503, "no")
    assert server.calls == 0


@pytest.mark.parametrize("service", ["approvals", "catalogue"])
def test_the_only_server_of_a_service_may_be_silent_when_it_is_connected(
    make_fleet, service
):
    server = DeafServer()
    fleet = make_fleet(deaf={service: server})
    fleet.let_listen()
    reply = fleet.approve("r1", "deaf") if service == "approvals" else fleet.browse()
    assert reply.status == 200
    assert server.calls == 1


class TricklingEngine(Engine):
    """Sends the start of a response, and then a byte now and then without end."""

    def __init__(self, start, data=b"x", pause_s=0.05):
        super().__init__()
        self.start, self.data, self.pause_s = start, data, pause_s

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"POST /v1/completions"):
            writer.write(NOT_FOUND)
            writer.close()
            return
        await reader.readexactly(parse_content_length(head))
        writer.write(self.start)
        with contextlib.suppress(OSError):
            while not writer.is_closing():
                writer.write(self.data)
                await writer.drain()
                await asyncio.sleep(self.pause_s)


def request(engine, deadline_ms):
    """Return the bytes of the response to a stream."""

    async def work(bench):
        reader, writer = await asyncio.open_connection("127.0.0.1", bench.port)
        headers = f"Host: r0\r\nConnection: close\r\nDeadline-Ms: {deadline_ms}"
        writer.write(REQUEST.replace(b"Host: r0", headers.encode()))
        async with asyncio.timeout(4):
            data = await reader.read()
        writer.close()
        return data

    return asyncio.run(run_bench(work, engine=engine))


@pytest.mark.parametrize(
    "start",
    [
        b"HTTP/1.1 200 OK\r\nX-Note: ",
        HEAD,
        HEAD + CHUNK + b"data: ",
        b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n",
    ],
    ids=["head", "first event", "later event", "body"],
)
def test_a_response_of_a_byte_now_and_then_ends_at_the_deadline(start):
    response = request(TricklingEngine(start), deadline_ms=1500)
    assert b"deadline_exceeded" in response
    assert b"xx" not in response


@pytest.mark.parametrize(
    "start, code",
    [
        (b"HTTP/1.1 200 OK\r\nX-Note: ", b"server_failed"),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"server_failed"),
        (HEAD, b"server_failed"),
        (HEAD + CHUNK, b"answer_truncated"),
    ],
    ids=["head", "body", "first event", "later event"],
)
def test_a_response_without_end_is_left_long_before_the_deadline(start, code):
    engine = TricklingEngine(start, b"x" * 65_536, 0.0)
    assert code in request(engine, deadline_ms=30_000)
