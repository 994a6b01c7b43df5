"""Connections that an overloaded VM forwards, between sockets on loopback addresses."""

import asyncio
import contextlib
import socket
from datetime import timedelta

import pytest

from lavendershift import forwardedconnections
from lavendershift.forwardedconnections import MAX_BUFFERED_BYTES, ForwardedConnections
from lavendershift.platform.tests.listeners import Listener
from lavendershift.platform.tests.test_callers import make_request

OWN, OTHER = "127.0.0.1", "127.0.0.2"
TIMEOUT_S = 10


class Scene:
    """A caller, the VM that forwards its connections, and the other VM."""

    def __init__(self, handle):
        self.handle = handle
        self.peers = []
        self.failures = self.served = 0
        self.forwarded = ForwardedConnections(OWN, most=2)

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._accept, OTHER, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.target = f"{OTHER}:{port}"
        self.listener = socket.create_server((OWN, 0))
        self.listener.setblocking(False)
        return self

    async def __aexit__(self, *_):
        self.forwarded.reset_all()
        self.server.close()
        self.listener.close()

    async def _accept(self, reader, writer):
        self.peers.append(writer.get_extra_info("peername")[0])
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self.handle(reader, writer)
        writer.close()

    async def connect(self):
        """Return a caller's reader and writer of a connection that is forwarded."""
        opening = asyncio.open_connection(*self.listener.getsockname())
        accepting = asyncio.get_running_loop().sock_accept(self.listener)
        (endpoint, _), ends = await asyncio.gather(accepting, opening)
        self.endpoint = endpoint
        self.forwarded.start(endpoint, self.target, self._serve)
        return ends

    def _serve(self, has_failed):
        self.failures += has_failed
        self.served += 1

    async def wait_gone(self):
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.forwarded):
                await asyncio.sleep(0.01)


def play(handle, work):
    async def run():
        async with asyncio.timeout(TIMEOUT_S), Scene(handle) as scene:
            await work(scene)

    asyncio.run(run())


async def answer(reader, writer):
    writer.write(b"answer to " + await reader.readexactly(8))
    writer.close()


def test_a_response_is_whole_and_ends_the_connection():
    async def work(scene):
        reader, writer = await scene.connect()
        writer.write(b"question")
        assert await reader.read() == b"answer to question"
        writer.close()
        await scene.wait_gone()
        assert scene.peers == [OWN]

    play(answer, work)


def test_a_caller_that_ends_its_side_gets_the_whole_response():
    async def work(scene):
        reader, writer = await scene.connect()
        writer.write(b"question")
        writer.write_eof()
        assert await reader.read() == b"answer to question"
        writer.close()
        await scene.wait_gone()

    play(answer, work)


def test_a_reset_of_the_other_vm_reaches_the_caller():
    """A response without a length that is cut off must not look complete."""

    async def cut(reader, writer):
        await reader.readexactly(8)
        writer.write(b"a part")
        await writer.drain()
        await asyncio.sleep(0.05)
        endpoint = writer.get_extra_info("socket")
        linger = b"\1\0\0\0\0\0\0\0"
        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()

    async def work(scene):
        reader, writer = await scene.connect()
        writer.write(b"question")
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()
        await scene.wait_gone()

    play(cut, work)


def test_a_caller_that_leaves_ends_its_request():
    left = asyncio.Event()

    async def wait(reader, writer):
        await reader.readexactly(8)
        with contextlib.suppress(ConnectionError):
            await reader.read()
        left.set()

    async def work(scene):
        _, writer = await scene.connect()
        writer.write(b"question")
        await asyncio.sleep(0.05)
        writer.transport.abort()
        await left.wait()

    play(wait, work)


def test_a_connection_that_is_not_accepted_is_left_to_this_vm():
    async def work(scene):
        scene.server.close()
        await scene.server.wait_closed()
        _, writer = await scene.connect()
        await scene.wait_gone()
        assert scene.failures == 1
        # It is still open, and nothing of it was read.
        writer.write(b"question")
        await writer.drain()
        data = await asyncio.get_running_loop().sock_recv(scene.endpoint, 100)
        assert data == b"question"
        scene.endpoint.close()
        writer.close()

    play(answer, work)


@pytest.mark.parametrize("delay_s", [0.0, 0.05])
def test_a_connection_that_the_other_vm_closes_at_once_ends(delay_s):
    """It stayed open for ever if that came before the caller's side was set up."""

    async def close(reader, writer):
        await asyncio.sleep(delay_s)

    async def work(scene):
        reader, writer = await scene.connect()
        await scene.wait_gone()
        assert await reader.read() == b""
        writer.close()

    play(close, work)


def test_a_response_that_comes_before_any_request_is_forwarded():
    """A refusal for lack of descriptors is sent directly after a connection."""
    refusal = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\r\n"

    async def refuse(reader, writer):
        writer.write(refusal)

    async def work(scene):
        reader, writer = await scene.connect()
        assert await reader.read() == refusal
        writer.close()
        await scene.wait_gone()

    play(refuse, work)


def test_a_caller_that_does_not_read_is_reset_after_a_while(monkeypatch):
    """Its pair of connections stayed open until it left."""
    monkeypatch.setattr(forwardedconnections, "STALL_TIMEOUT", timedelta(seconds=0.3))

    async def flood(reader, writer):
        await reader.readexactly(8)
        while True:
            writer.write(b"x" * 65_536)
            await writer.drain()

    async def work(scene):
        reader, writer = await scene.connect()
        reader._transport.pause_reading()
        writer.write(b"question")
        await asyncio.sleep(0.2)
        assert len(scene.forwarded) == 1
        await scene.wait_gone()
        writer.transport.abort()

    play(flood, work)


def test_a_response_that_is_not_read_to_its_end_is_reset_at_the_end():
    """A part without a length would look complete after a normal close."""
    size = 8 * 1024 * 1024

    async def answer_long(reader, writer):
        await reader.readexactly(8)
        writer.write(b"x" * size)
        await writer.drain()

    async def work(scene):
        reader, writer = await scene.connect()
        writer.write(b"question")
        assert await reader.read(1)
        reader._transport.pause_reading()
        await asyncio.sleep(0.2)
        scene.forwarded.reset_all()
        reader._transport.resume_reading()
        with pytest.raises(ConnectionResetError):
            while await reader.read(65_536):
                pass
        await scene.wait_gone()

    play(answer_long, work)


def test_a_request_that_waits_to_be_read_is_not_unused():
    async def work(scene):
        reader, writer = await scene.connect()
        await asyncio.sleep(0.1)
        # Without a turn of the loop, the bytes are only in the socket.
        writer.get_extra_info("socket")._sock.send(b"question")
        scene.forwarded.close_unused()
        assert await reader.read() == b"answer to question"
        writer.close()

    play(answer, work)


def test_a_connection_whose_forwarding_a_stop_overtakes_is_served_here():
    async def work(scene):
        connecting = asyncio.ensure_future(scene.connect())
        async with asyncio.timeout(TIMEOUT_S):
            while not len(scene.forwarded):
                await asyncio.sleep(0)
        scene.forwarded.close_unused()
        _, writer = await connecting
        await scene.wait_gone()
        assert not scene.failures and scene.served == 1
        scene.endpoint.close()
        writer.close()

    play(answer, work)


def test_little_is_held_for_a_caller_that_does_not_read():
    """The bytes count against no budget, so that they have to be few."""
    sent = 0

    async def flood(reader, writer):
        nonlocal sent
        await reader.readexactly(8)
        while True:
            writer.write(b"x" * 65_536)
            await writer.drain()
            sent += 65_536

    async def work(scene):
        reader, writer = await scene.connect()
        reader._transport.pause_reading()
        writer.write(b"question")
        await asyncio.sleep(0.5)
        (caller,) = scene.forwarded._callers
        held = caller.transport.get_write_buffer_size()
        assert sent and held < MAX_BUFFERED_BYTES + 262_144

    play(flood, work)


def test_unused_connections_end_at_a_stop_and_others_go_on():
    async def work(scene):
        unused, first = await scene.connect()
        used, second = await scene.connect()
        await asyncio.sleep(0.1)
        assert not scene.forwarded.has_room
        second.write(b"ques")
        await asyncio.sleep(0.1)
        scene.forwarded.close_unused()
        assert await unused.read() == b""
        second.write(b"tion")
        assert await used.read() == b"answer to question"
        first.close()
        second.close()
        await scene.wait_gone()

    play(answer, work)


class FixedForwarding:
    """Forwards all connections to one VM while ``is_on``."""

    def __init__(self, address):
        self.address = address
        self.is_on = True
        self.failures = []

    def choose(self):
        return self.address if self.is_on else None

    def may_shift(self):
        return self.is_on

    def note_failure(self, address):
        self.failures.append(address)


def play_two(work):
    """Run ``work`` with a VM that forwards its connections, and the other VM."""

    async def run():
        other = Listener(ip=OTHER)
        other.server.is_vm = lambda host: host == OWN
        own = Listener(FixedForwarding(other.address), OWN)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await work(own, other)
        finally:
            own.server.stop_listening()
            other.server.stop_listening()

    asyncio.run(run())


def test_a_forwarded_request_is_served_once_and_its_connection_ends():
    async def work(own, other):
        caller = own.connect()
        await caller.send_all(make_request("r1") + make_request("r2"))
        received, was_reset = await caller.read_all()
        assert received.count(b"HTTP/1.1 200") == 1 and not was_reset
        assert b"connection: close" in received.lower()
        assert (own.gateway.served, other.gateway.served) == ([], ["r1"])

    play_two(work)


def test_a_vm_that_cannot_forward_serves_the_connection():
    async def work(own, other):
        other.server.stop_listening()
        caller = own.connect()
        await caller.send_all(make_request("r1"))
        assert b"done r1" in await caller.read_until(b"done r1")
        assert own.gateway.served == ["r1"]

    play_two(work)


def test_callers_of_an_overloaded_vm_are_asked_to_connect_anew():
    async def work(own, other):
        forwarding = own.server._forwarding
        forwarding.is_on = False
        caller = own.connect()
        await caller.send_all(make_request("r1"))
        assert b"close" not in (await caller.read_until(b"done r1")).lower()
        forwarding.is_on = True
        await caller.send_all(make_request("r2"))
        received, _ = await caller.read_all()
        assert b"done r2" in received and b"connection: close" in received.lower()

    play_two(work)


@pytest.mark.parametrize("path", ["/slow", "/stream"])
def test_a_stop_waits_for_forwarded_requests(path):
    """The VM that stops can't see requests in the bytes, and must not cut them off."""

    async def work(own, other):
        caller = own.connect()
        await caller.send_all(make_request("r1", path))
        async with asyncio.timeout(5):
            while not other.gateway.served:
                await asyncio.sleep(0.01)
        own.server.announce_leaving()
        own.server.stop_listening()
        reading = asyncio.ensure_future(caller.read_until(b"done r1"))
        await own.end_connections(timedelta(seconds=3))
        assert b"done r1" in await reading

    play_two(work)
