"""Connections that an overloaded VM forwards, between sockets on loopback addresses."""

import asyncio
import contextlib
import socket

import pytest

from lavendershift.forwardedconnections import MAX_BUFFERED_BYTES, ForwardedConnections

OWN, OTHER = "127.0.0.1", "127.0.0.2"
TIMEOUT_S = 10


class Scene:
    """A caller, the VM that forwards its connections, and the other VM."""

    def __init__(self, handle):
        self.handle = handle
        self.peers = []
        self.failures = 0
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
        self.forwarded.start(endpoint, self.target, self._fail)
        return ends

    def _fail(self):
        self.failures += 1

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
