"""A store behind a VM's link, simulated in virtual time.

The link has a rate, a round trip whose time may change, and outages in which packets
are lost. A connection that loses a packet stays silent for good.
"""

import asyncio
import base64
import json
from datetime import timedelta
from urllib.parse import parse_qs, urlsplit

from tornado.httputil import HTTPHeaders

from lavendershift.connections import ConnectError, ConnectionPool, Exchange
from lavendershift.platform.storerecords import (
    READ_HEADER,
    decode_batch,
    encode_record,
)

# Times of a SYN and of its retransmissions by the kernel, in seconds.
SYN_TIMES = (0.0, 1.0, 3.0, 7.0)
WINDOW_BYTES = 65_536  # bytes of one connection that may be queued on the link
CHUNK_BYTES = 16_384
HEAD_BYTES = 200


class Link:
    """The link of a VM; ``round_trip`` returns its time in seconds at a time.

    A connection with a send window gets one window of bytes in each round trip.
    """

    def __init__(self, loop, mbps, round_trip, outages=(), has_window=False):
        self.loop = loop
        self.has_window = has_window
        self.bytes_per_s = mbps * 1e6 / 8
        self.round_trip = round_trip
        self.outages = outages
        self.free_at = 0.0
        self.received = 0

    def is_down(self):
        now = self.loop.time()
        return any(begin <= now < end for begin, end in self.outages)

    async def carry(self):
        """Carry a small packet in one direction, or lose it."""
        if self.is_down():
            await asyncio.Event().wait()
        await asyncio.sleep(self.round_trip(self.loop.time()) / 2)

    def reserve(self, size):
        """Return the time at which ``size`` further bytes have crossed the link."""
        self.free_at = max(self.free_at, self.loop.time()) + size / self.bytes_per_s
        self.received += size
        return self.free_at


class LinkedStore:
    """Keyed topics; records are pairs of key and value.

    While ``has_lost_wakeups``, a call that waits for a record is answered at the end
    of its wait only.
    """

    def __init__(self, link):
        self.link = link
        self.has_lost_wakeups = False
        self.topics = {}
        self.changed = asyncio.Event()
        self.calls = []  # paths and times of the calls that arrived

    def append(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, target, body):
        """Return the body of the response to a call."""
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        records = self.topics.setdefault(query["topic"], [])
        self.calls.append((url.path, query["topic"], self.link.loop.time()))
        if url.path == "/log-append":
            (record,) = decode_batch(READ_HEADER.pack(0, 0) + body, 0).records
            self.append(query["topic"], record.key, record.value)
            return json.dumps({"end": len(records)}).encode()
        if url.path == "/log-newest":
            return self._render_newest(records)
        offset = int(query["from"])
        wait_until = self.link.loop.time() + int(query.get("wait_ms", 0)) / 1000
        while len(records) <= offset and self.link.loop.time() < wait_until:
            if self.has_lost_wakeups:
                await asyncio.sleep(wait_until - self.link.loop.time())
                break
            try:
                async with asyncio.timeout_at(wait_until):
                    await self.changed.wait()
            except TimeoutError:
                break
        body = READ_HEADER.pack(len(records), 0)
        most = 1024 * int(query.get("max_kb", 1024))
        for key, value in records[offset:]:
            record = encode_record(key, value)
            if len(body) > READ_HEADER.size and len(body) + len(record) > most:
                break
            body += record
        return body

    def _render_newest(self, records):
        newest = {key: (n, value) for n, (key, value) in enumerate(records)}
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in newest.items()
        ]
        return json.dumps({"items": items, "end": len(records)}).encode()


class LinkedConnection:
    """A connection to the store over a link."""

    def __init__(self, store, link, address):
        self.store = store
        self.link = link
        self.address = address
        self.is_closed = False
        self.is_silent = False
        self.idle_since = timedelta()

    async def exchange(self, request, reader):
        await self._carry()
        body = await self.store.answer(request.target, request.body)
        await self._carry()
        reader.start(200, HTTPHeaders())
        for begin in range(0, len(body), WINDOW_BYTES):
            window = body[begin : begin + WINDOW_BYTES]
            if begin and self.link.has_window:
                await self._carry()
                await self._carry()
            for position in range(0, len(window), CHUNK_BYTES):
                chunk = window[position : position + CHUNK_BYTES]
                await self._sleep_until(self.link.reserve(len(chunk)))
                reader.add(chunk)
        return Exchange(True, True)

    async def _carry(self):
        if self.is_silent or self.link.is_down():
            self.is_silent = True
            await asyncio.Event().wait()
        await self.link.carry()

    async def _sleep_until(self, moment):
        await asyncio.sleep(max(moment - self.link.loop.time(), 0.0))
        if self.link.is_down():
            self.is_silent = True
            await asyncio.Event().wait()

    def may_carry(self, request_id):
        return True

    def is_reusable(self, now):
        return not self.is_closed

    def close(self):
        self.is_closed = True


class LinkedPool(ConnectionPool):
    """Opens connections to a store over its link."""

    def __init__(self, loop, store, link=None):
        super().__init__(loop)
        self.store = store
        self.link = link or store.link
        self.attempts = 0

    async def connect(self, address, timeout):
        self.attempts += 1
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._shake_hands()
        except TimeoutError:
            raise ConnectError(f"{address}: TimeoutError") from None
        self.opened += 1
        return LinkedConnection(self.store, self.link, address)

    async def _shake_hands(self):
        began = self.link.loop.time()
        for at in SYN_TIMES:
            await asyncio.sleep(max(began + at - self.link.loop.time(), 0.0))
            if not self.link.is_down():
                await asyncio.sleep(self.link.round_trip(self.link.loop.time()))
                return
        await asyncio.Event().wait()
