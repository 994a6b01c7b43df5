"""Capacity probes of streamed responses: a whole router, an engine and callers.

The router, a minimal engine and the callers share a process, so the figures
include the costs of all three and are upper bounds for the router.
"""

import asyncio
import gc
import hashlib
import os
import random
import ssl
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple, TypeVar

from lavendershift.clocks import SystemClock
from lavendershift.records import CONFIG_STREAM, Change, Record, Setting, TopUp
from lavendershift.router import RouterApplication
from lavendershift.settings import parse_settings
from lavendershift.settings_sections import RouterSettings
from lavendershift.settings_table import Program
from lavendershift.streams import LOG_CLIENTS
from lavendershift.tools.capacity_probes import Role, Slope, register_probe
from lavendershift.tools.memory_log import MemoryLog
from lavendershift.tools.ports import find_ports
from lavendershift.upstreams import UpstreamClient
from lavendershift.watchers import CALL_TIMEOUT

Result = TypeVar("Result")

STREAMS = 200
CHUNKS = 100
REQUESTS = 200
KEY = "capacity"
SETTINGS = """
[vm]
name = "r0"
failure_domain = "rennes"
[listen]
address = "127.0.0.1:{caller_port}"
peer_address = "tcp://127.0.0.1:{peer_port}"
{listen}
[log]
client = "memory"
[members]
url = "http://127.0.0.1:{engine_port}"
[logging]
level = "error"
{extra_settings}
"""
BODY = b'{"model":"m","prompt":"Loire","max_tokens":1000,"stream":true}'
REQUEST = (
    b"POST /v1/completions HTTP/1.1\r\nHost: r0\r\nAuthorization: Bearer "
    + KEY.encode()
    + b"\r\nContent-Length: %d\r\n\r\n" % len(BODY)
    + BODY
)
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
)
CHUNK = b'data: {"id":"c","choices":[{"index":0,"text":" Loire"}]}\n\n'
LAST_CHUNKS = (
    b'data: {"id":"c","choices":[],"usage":{"prompt_tokens":2,'
    b'"completion_tokens":9,"total_tokens":11}}\n\ndata: [DONE]\n\n'
)
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class Engine:
    """A server that sends the first chunk of each completion immediately.

    ``finish`` sends the remainder. With ``finish_at_once`` it follows immediately;
    otherwise the open connections are in ``writers``.
    """

    def __init__(self) -> None:
        self.writers: list[asyncio.StreamWriter] = []
        self.finish_at_once = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection; paths other than completions get a 404."""
        head = await reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"POST /v1/completions"):
            writer.write(NOT_FOUND)
            writer.close()
            return
        await reader.readexactly(parse_content_length(head))
        writer.write(HEAD + CHUNK)
        if self.finish_at_once:
            self.finish(writer)
        else:
            self.writers.append(writer)

    def finish(self, writer: asyncio.StreamWriter) -> None:
        """Send the last chunks of a stream and close the connection."""
        writer.write(LAST_CHUNKS)
        writer.close()


def parse_content_length(head: bytes) -> int:
    """Return the length of the request body from the header section ``head``."""
    _, _, rest = head.lower().partition(b"content-length:")
    return int(rest.split(b"\r\n", 1)[0])


class Bench(NamedTuple):
    """A running router that listens for callers on ``port``, and its engine."""

    router: RouterApplication
    engine: Engine
    port: int


async def publish_tree(log: MemoryLog, engine_port: int) -> None:
    """Append a configuration with one customer, one engine and a top-up."""
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    customer, server = "desks/rennes/plume", "servers/e0"
    settings = [
        Setting(customer, "api_key_hashes", [digest]),
        Setting(customer, "budget", "plume"),
        Setting(customer, "requests_per_s", 10_000.0),
        Setting(customer, "concurrent_requests", 10_000),
        Setting(server, "kind", "engine"),
        Setting(server, "address", f"127.0.0.1:{engine_port}"),
        Setting(server, "failure_domain", "rennes"),
        Setting(server, "models", ["m"]),
        Setting(server, "capacity", 10_000),
    ]
    records: list[Record] = [
        Change("c", 0, "operator", settings),
        TopUp("t", "plume", 10**9, "operator"),
    ]
    await log.append_records(CONFIG_STREAM, records)


async def run_bench(
    work: Callable[[Bench], Awaitable[Result]],
    extra_settings: str = "",
    listen: str = "",
    engine_tls: ssl.SSLContext | None = None,
    engine: Engine | None = None,
) -> Result:
    """Start a router and an engine and return the result of ``work``.

    ``extra_settings`` is appended to the router's settings file, ``listen`` to its
    section ``listen``. ``engine_tls`` makes the engine use TLS, and ``engine``
    replaces the default engine.
    """
    caller_port, peer_port, engine_port = find_ports(3)
    log = MemoryLog()
    await publish_tree(log, engine_port)
    LOG_CLIENTS["memory"] = lambda *arguments: log
    text = SETTINGS.format(
        caller_port=caller_port,
        peer_port=peer_port,
        engine_port=engine_port,
        listen=listen,
        extra_settings=extra_settings,
    )
    settings = parse_settings(text, Program.ROUTER).unwrap()
    assert isinstance(settings, RouterSettings)
    router = RouterApplication(settings, SystemClock(), random.Random(1))
    engine = engine or Engine()
    server = await asyncio.start_server(
        engine.serve, "127.0.0.1", engine_port, ssl=engine_tls
    )
    await router.start()
    try:
        while router.find_fault() is not None:
            await asyncio.sleep(0.01)
        return await work(Bench(router, engine, caller_port))
    finally:
        await router.stop()
        server.close()


async def open_stream(
    bench: Bench,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a completion and return once its first chunk has arrived."""
    reader, writer = await asyncio.open_connection("127.0.0.1", bench.port)
    writer.write(REQUEST)
    data = await reader.readuntil(b"\r\n\r\n")
    assert b" 200 " in data.split(b"\r\n", 1)[0], data
    await reader.readuntil(b"Loire")
    return reader, writer


async def read_rest(stream: tuple[asyncio.StreamReader, asyncio.StreamWriter]) -> None:
    """Read a stream to its end."""
    reader, writer = stream
    await reader.readuntil(b"[DONE]")
    writer.close()


def read_resident_bytes() -> int:
    """Return the resident memory of this process, in bytes."""
    gc.collect()
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


async def measure_stream_memory(bench: Bench) -> Slope:
    """Return the resident memory of an open stream.

    The first 20 streams are not counted: they warm up the process.
    """
    warm_up = [await open_stream(bench) for _ in range(20)]
    before = read_resident_bytes()
    streams = [await open_stream(bench) for _ in range(STREAMS)]
    held = (read_resident_bytes() - before) / STREAMS
    for writer in bench.engine.writers:
        bench.engine.finish(writer)
    await asyncio.gather(*map(read_rest, [*warm_up, *streams]))
    return Slope(held=held)


async def time_chunks(bench: Bench) -> Slope:
    """Return the CPU time of a forwarded chunk, without the start of its stream."""
    streams = [await open_stream(bench) for _ in range(20)]
    start = time.process_time()
    for _ in range(CHUNKS):
        for writer in bench.engine.writers:
            writer.write(CHUNK)
        await asyncio.sleep(0.02)
    for writer in bench.engine.writers:
        bench.engine.finish(writer)
    await asyncio.gather(*map(read_rest, streams))
    spent = time.process_time() - start
    return Slope(us=spent / CHUNKS / len(streams) * 1e6, sent=2.0 * len(CHUNK))


async def time_requests(bench: Bench) -> Slope:
    """Return the CPU time of a request whose response has one content chunk."""
    bench.engine.finish_at_once = True
    start = time.process_time()
    for _ in range(REQUESTS):
        await read_rest(await open_stream(bench))
    return Slope(us=(time.process_time() - start) / REQUESTS * 1e6)


@register_probe("stream open", Role.ROUTER, "stream")
def measure_open_stream() -> Slope:
    """Measure the memory of streams whose response has begun."""
    return asyncio.run(run_bench(measure_stream_memory))


@register_probe("chunk forwarded", Role.ROUTER, "chunk")
def measure_chunk() -> Slope:
    """Measure the forwarding of chunks that arrive one at a time."""
    return asyncio.run(run_bench(time_chunks))


@register_probe("request served, one chunk", Role.ROUTER, "request")
def measure_request() -> Slope:
    """Measure complete requests, sent one after the other."""
    return asyncio.run(run_bench(time_requests))


async def time_load_calls(bench: Bench) -> Slope:
    """Return the CPU time of one control call to a server."""
    url = f"http://{bench.router.configuration.servers()['e0'].address}/control/load"
    client = UpstreamClient()
    start = time.process_time()
    for _ in range(REQUESTS):
        await client.fetch("GET", url, CALL_TIMEOUT)
    spent = time.process_time() - start
    client.close()
    return Slope(us=spent / REQUESTS * 1e6)


@register_probe("load asked of a server", Role.ROUTER, "call")
def measure_load_call() -> Slope:
    """Measure control calls; a router sends two a second to each server."""
    return asyncio.run(run_bench(time_load_calls))
