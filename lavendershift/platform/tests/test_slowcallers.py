"""Callers that stop sending a body or reading a response, and more than are accepted.

Guards against connections that are held for ever, and against a bound in time that
meets callers which go on.
"""

import asyncio
import contextlib
import socket
import threading
import time
from datetime import timedelta

import pytest
from tornado.httputil import HTTPHeaders

from lavendershift.connectionreports import EndCause, Stage
from lavendershift.memory.limits import MemoryLimits
from lavendershift.platform import callerstreams
from lavendershift.platform.tests.listeners import play
from lavendershift.platform.tests.test_callerconnections import start_request
from lavendershift.platform.tests.test_callers import make_request


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch):
    timeout = timedelta(seconds=0.5)
    monkeypatch.setattr(callerstreams, "BODY_TIMEOUT", timeout)
    monkeypatch.setattr(callerstreams, "UNREAD_TIMEOUT", timeout)


def test_a_body_without_progress_is_refused_as_not_run():
    async def work(listener):
        caller = listener.connect()
        await caller.send_all(start_request("r1", 9))
        received, was_reset = await caller.read_all(3)
        return received, was_reset, await listener.wait_end(), listener.gateway.served

    received, was_reset, end, served = play(work)
    assert received.startswith(b"HTTP/1.1 408")
    assert not was_reset
    assert (end.cause, end.stage) == (EndCause.BODY_TIMER, Stage.BODY)
    assert served == []


def test_a_body_that_arrives_slowly_is_served():
    async def work(listener):
        caller = listener.connect()
        await caller.send_all(start_request("r1", 9))
        for _ in range(9):
            await asyncio.sleep(0.2)
            await caller.send_all(b"x")
        await caller.read_until(b"done r1")

    play(work)


def test_a_response_that_nobody_reads_is_reset():
    async def work(listener):
        async def respond(request, writer):
            writer.start(200, HTTPHeaders())
            while True:
                await writer.write(b"x" * 1_000_000)

        listener.gateway._respond = respond
        caller = listener.connect()
        caller.send(make_request("r1"))
        end = await listener.wait_end()
        caller.close()
        return end

    end = play(work)
    assert (end.cause, end.stage) == (EndCause.UNREAD, Stage.IN_FLIGHT)


def test_a_connection_beyond_the_limit_takes_the_place_of_a_slow_one():
    async def work(listener):
        listener.server._limits = MemoryLimits(10**8, 2, 2)
        slow, idle = listener.connect(), listener.connect()
        await slow.send_all(start_request("r1", 9))
        await asyncio.sleep(0.1)
        refused = listener.connect()
        received, _ = await refused.read_all(0.5)
        assert received.startswith(b"HTTP/1.1 503")
        await asyncio.sleep(0.9)
        caller = listener.connect()
        await caller.send_all(make_request("r2"))
        await caller.read_until(b"done r2")
        idle.close()
        return received

    assert b"Retry-After" in play(work)


@pytest.mark.parametrize("path", ["/whole", "/nowhere"])
def test_heads_of_short_fields_without_room_are_not_parsed(monkeypatch, path):
    """Each of 400 such heads took 15 ms to parse, while ordinary requests waited."""
    fields = b"".join(b"%x:\r\n" % number for number in range(1000))
    parsed = []
    parse = HTTPHeaders.parse.__func__

    def count(cls, text, **options):
        parsed.append(len(text))
        return parse(cls, text, **options)

    async def work(listener):
        listener.change(header_bytes=16_384, header_timeout=5)
        listener.server.budget.total = 4_000_000  # room for two from one address
        heads = [
            make_request(f"r{n}", path, body=b"x")[:-3] + fields + b"\r\n"
            for n in range(10)
        ]
        monkeypatch.setattr(HTTPHeaders, "parse", classmethod(count))
        callers = []
        for head in heads:
            callers.append(listener.connect())
            await callers[-1].send_all(head)
            await asyncio.sleep(0.02)
        received = [(await caller.read_all(0.2))[0] for caller in callers]
        caller = listener.connect()
        await caller.send_all(make_request("ordinary"))
        await caller.read_until(b"done ordinary")
        await callers[0].send_all(b"x")
        await callers[0].read_until(b"done r0")
        return received

    received = play(work)
    assert sum(size > len(fields) for size in parsed) == 2
    assert received[:2] == [b"", b""]
    for response in received[2:]:
        assert response.startswith(b"HTTP/1.1 503")
        assert b"Retry-After" in response


def test_the_refusal_of_a_connection_does_not_wait_for_its_caller():
    """Accepted sockets block, so that one write could stop the event loop."""

    async def work(listener):
        endpoint, peer = socket.socketpair()
        endpoint.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while True:
                endpoint.send(b"x" * 65_536)
        endpoint.setblocking(True)
        released = threading.Timer(2, peer.close)
        released.start()
        started = time.monotonic()
        listener.server.refuse_connection(endpoint)
        took = time.monotonic() - started
        released.cancel()
        peer.close()
        return took

    assert play(work) < 1.5


def test_descriptors_of_callers_are_counted_also_while_they_linger():
    """Connections to servers have to leave descriptors for them."""

    async def work(listener):
        counts = []
        listener.server.on_connection = lambda: counts.append(
            listener.server.count_descriptors()
        )
        open_one, closing = listener.connect(), listener.connect()
        await closing.send_all(make_request("r1", Connection="close"))
        await closing.read_until(b"done r1")
        await asyncio.sleep(0.1)
        assert listener.server.count_descriptors() == 2
        closing.close()
        open_one.close()
        await asyncio.sleep(0.1)
        assert listener.server.count_descriptors() == 0
        return counts

    assert play(work) == [1, 2]
