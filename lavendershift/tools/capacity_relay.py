"""Capacity probes of the relay: appends, its cache, and reads from the cache."""

import asyncio
from datetime import timedelta
from typing import Any

import msgspec

from lavendershift.messages import (
    AppendRequest,
    ReadRequest,
    decode_message,
    encode_message,
)
from lavendershift.records import Charge
from lavendershift.relay import Relay, StreamCache
from lavendershift.tools.capacity_ledger import CASES, make_raw_entries
from lavendershift.tools.capacity_probes import (
    Role,
    Slope,
    measure_memory,
    register_probe,
    time_work,
)
from lavendershift.tools.memory_log import MemoryLog

ENTRIES = 5_000
ROUTERS = 22  # routers that share a relay: those of one failure domain
READ_LIMIT = 1_000
WAITING_READS = 500  # concurrent reads of one relay: about half of its handlers


def make_entries() -> list[tuple[int, int, Any]]:
    """Return ``ENTRIES`` entries with charge records."""
    entries = make_raw_entries(CASES[Charge]().measured, 0)
    return [(offset, time_ms, record) for offset, time_ms, record in entries[:ENTRIES]]


@register_probe("append batched", Role.RELAY, "record")
def measure_append() -> Slope:
    """Measure appends of single records, which the relay combines into batches."""
    records = [entry[2] for entry in make_entries()]
    requests = [encode_message(AppendRequest("ledger-0", [r])) for r in records]

    async def run() -> None:
        relay = Relay(MemoryLog(), ENTRIES, timedelta())

        async def serve(data: bytes) -> bytes:
            return encode_message(await relay.handle_message(decode_message(data)))

        for start in range(0, ENTRIES, ROUTERS):
            await asyncio.gather(*map(serve, requests[start : start + ROUTERS]))
        await relay.stop()

    sent = sum(map(len, requests)) / ENTRIES
    return Slope(us=time_work(lambda: asyncio.run(run()), ENTRIES), sent=sent)


def fill_cache() -> StreamCache:
    """Return a cache that holds all of ``make_entries``."""
    cache = StreamCache(ENTRIES)
    cache.skip_to(0)
    cache.add_entries(make_entries())
    return cache


@register_probe("entry cached", Role.RELAY, "entry")
def measure_cache() -> Slope:
    """Measure an entry that is read from the log and added to the cache."""
    entries = make_entries()
    body = msgspec.json.encode(entries)

    def run() -> None:
        cache = StreamCache(ENTRIES)
        cache.skip_to(0)
        cache.add_entries(msgspec.json.decode(body, type=list[tuple[int, int, Any]]))

    return Slope(us=time_work(run, ENTRIES), held=measure_memory(fill_cache, ENTRIES))


@register_probe("entry read from the cache", Role.RELAY, "entry")
def measure_read() -> Slope:
    """Measure reads of 1,000 cached entries each, as a starting router makes."""

    async def run() -> int:
        log = MemoryLog()
        await log.append_raw("ledger-0", [entry[2] for entry in make_entries()])
        relay = Relay(log, ENTRIES, timedelta())
        await relay.handle_message(ReadRequest("ledger-0", ENTRIES, 1, 50))

        async def read() -> int:
            size = 0
            for offset in range(0, ENTRIES, READ_LIMIT):
                request = ReadRequest("ledger-0", offset, READ_LIMIT, 0)
                size += len(encode_message(await relay.handle_message(request)))
            return size

        sizes.append(await read())
        us.append(time_work(lambda: run_to_completion(read()), ENTRIES))
        await relay.stop()
        return 0

    sizes: list[int] = []
    us: list[float] = []
    asyncio.run(run())
    return Slope(us=us[0], sent=sizes[0] / ENTRIES)


@register_probe("read that waits at the end", Role.RELAY, "read")
def measure_wait() -> Slope:
    """Measure reads that wait at the end of the stream until they time out.

    Sockets are not included.
    """
    request = encode_message(ReadRequest("ledger-0", ENTRIES, READ_LIMIT, 50))
    sizes: list[int] = []

    async def run() -> None:
        log = MemoryLog()
        await log.append_raw("ledger-0", [entry[2] for entry in make_entries()])
        relay = Relay(log, ENTRIES, timedelta())

        async def serve() -> int:
            reply = await relay.handle_message(decode_message(request))
            return len(encode_message(reply))

        sizes.extend(await asyncio.gather(*(serve() for _ in range(WAITING_READS))))
        await relay.stop()

    us = time_work(lambda: asyncio.run(run()), WAITING_READS)
    return Slope(us=us, sent=len(request) + sizes[-1])


def run_to_completion(coroutine: Any) -> None:
    """Run a coroutine that never suspends, without an event loop.

    Raises ``RuntimeError`` if it does suspend.
    """
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise RuntimeError("the coroutine suspended")
