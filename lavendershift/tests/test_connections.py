import asyncio
import errno
import os
import socket
from datetime import timedelta

import pytest
from tornado.httputil import HTTPHeaders
from tornado.ioloop import IOLoop

from lavendershift.clocks import SystemClock
from lavendershift.connections import (
    MAX_UNANSWERED,
    READ_BYTES,
    ConnectError,
    ConnectionPool,
    ServerRequest,
)
from lavendershift_standins.platformserver import PlatformServer, stream

SECOND = timedelta(seconds=1)
HEAD = b"HTTP/1.1 200 -\r\nContent-Length: 12\r\n\r\n"


class Reader:
    """Records a response; processing each chunk takes ``pause_s``."""

    def __init__(self, pause_s=0.0):
        self.pause_s = pause_s
        self.needs_body = True
        self.parts = []

    def start(self, status, headers):
        self.parts.append(status)

    async def add(self, chunk):
        self.parts.append(chunk)
        await asyncio.sleep(self.pause_s)


def make_request(method="POST", body=b""):
    headers = HTTPHeaders({"Host": "a", "Content-Length": str(len(body))})
    return ServerRequest(method, "/", headers, body)


@pytest.fixture
def play():
    """Return a function that runs a coroutine against a scripted server."""

    def run(work, *script):
        async def run_with_server():
            server = PlatformServer("i-1")
            server.script.extend(script)
            await server.start()
            connections = ConnectionPool(SystemClock())
            try:
                async with asyncio.timeout(5):
                    await work(connections, server)
            finally:
                connections.close()
                await server.stop()

        asyncio.run(run_with_server())

    return run


def send(*parts, pause_s=0.05):
    async def write_response(received, writer):
        for part in parts:
            writer.write(part)
            await asyncio.sleep(pause_s)

    return write_response


@pytest.mark.parametrize("pause_s", [0.0, 0.3])
def test_reader_gets_nothing_after_its_exchange_was_cancelled(play, pause_s):
    async def work(connections, server):
        connection = await connections.connect(server.address, SECOND)
        reader = Reader(pause_s)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.12):
                await connection.exchange(make_request(), reader)
        connection.close()
        before = list(reader.parts)
        assert before[0] == 200
        await asyncio.sleep(0.4)
        assert reader.parts == before

    play(work, send(HEAD, b"one ", b"two ", b"four"))


def test_connection_of_a_cancelled_exchange_is_not_reused(play):
    async def work(connections, server):
        connection = await connections.connect(server.address, SECOND)
        await connection.exchange(make_request(), Reader())
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await connection.exchange(make_request(), Reader())
        connections.give_back(connection)
        assert connections.take(server.address) is None

    play(work, send(HEAD + b"one two four"), send(HEAD))


async def open_used_connections(connections, server, count):
    """Return connections to ``server`` that have carried a request each."""
    used = [await connections.connect(server.address, SECOND) for _ in range(count)]
    for connection in used:
        await connection.exchange(make_request(), Reader())
    return used


def test_connection_carries_no_request_again_that_got_no_answer_there(play):
    """Guards against a copied refusal taken for that of a later send (TWICE)."""

    async def work(connections, server):
        first, second = await open_used_connections(connections, server, 2)
        second.note_unanswered("r1")
        connections.give_back(first)
        connections.give_back(second)
        assert connections.take(server.address, "r1") is first
        assert connections.take(server.address, "r2") is second

    play(work, *[send(HEAD + b"one two four")] * 2)


def test_connection_makes_room_for_another_one_with_the_same_request(play):
    """Guards against a server at its limit of connections that resets one more."""

    async def work(connections, server):
        (connection,) = await open_used_connections(connections, server, 1)
        connection.note_unanswered("r1")
        connections.give_back(connection)
        assert connections.take(server.address, "r1") is None
        assert connections.open_count == 0

    play(work, send(HEAD + b"one two four"))


def test_connection_is_replaced_after_many_requests_without_an_answer(play):
    """Guards against memory that grows with each refusal of a server."""

    async def work(connections, server):
        (connection,) = await open_used_connections(connections, server, 1)
        for number in range(MAX_UNANSWERED - 1):
            connection.note_unanswered(f"r{number}")
        connections.give_back(connection)
        assert connections.take(server.address, "r") is connection
        connection.note_unanswered("r")
        connections.give_back(connection)
        assert connections.take(server.address, "other") is None

    play(work, send(HEAD + b"one two four"))


def test_connection_is_not_reused_while_its_request_is_being_written():
    async def work():
        async def answer_early(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"one two four")
            await asyncio.sleep(5)

        server = await asyncio.start_server(answer_early, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connections = ConnectionPool(SystemClock())
        connection = await connections.connect(f"127.0.0.1:{port}", SECOND)
        request = make_request(body=b"x" * 30_000_000)
        exchange = await connection.exchange(request, Reader())
        connections.give_back(connection)
        assert exchange.is_complete
        assert connections.take(f"127.0.0.1:{port}") is None
        server.close()

    asyncio.run(work())


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 -\r\n\r\none",
        b"HTTP/1.1 200 -\r\nConnection: close\r\nContent-Length: 3\r\n\r\none",
        b"HTTP/1.1 200 -\r\nConnection: foo, Close\r\nContent-Length: 3\r\n\r\none",
        b"HTTP/1.0 200 -\r\nContent-Length: 3\r\n\r\none",
        b"HTTP/1.1 304 -\r\nContent-Length: 3\r\n\r\none",
        b"HTTP/1.1 204 -\r\n\r\none",
    ],
)
def test_connection_is_not_reused_after_close_or_with_unread_bytes(play, response):
    async def work(connections, server):
        async def write_response(received, writer):
            writer.write(response)
            await asyncio.sleep(0.05)
            if b"Length" not in response:
                raise ConnectionError

        server.script.append(write_response)
        connection = await connections.connect(server.address, SECOND)
        exchange = await connection.exchange(make_request(), Reader())
        assert exchange.is_complete
        connections.give_back(connection)
        assert connections.take(server.address) is None

    play(work)


def test_events_of_a_stream_dont_stop_the_watch_of_its_socket(play, monkeypatch):
    # Guards against two system calls to watch the socket for each event.
    changes = []

    async def work(connections, server):
        connection = await connections.connect(server.address, SECOND)
        loop = IOLoop.current()
        update_handler = loop.update_handler
        monkeypatch.setattr(
            loop,
            "update_handler",
            lambda fd, events: (changes.append(events), update_handler(fd, events)),
        )
        reader = Reader()
        exchange = await connection.exchange(make_request(), reader)
        assert exchange.is_complete
        assert len(reader.parts) == 1 + 30

    play(work, stream(30, pause_s=0.005))
    assert len(changes) <= 4


def test_a_stream_that_nobody_reads_is_not_read_further(play):
    # Guards against a socket that is watched in vain, and against unbounded buffers.
    async def work(connections, server):
        connection = await connections.connect(server.address, SECOND)
        handled = []
        handle = connection._stream._handle_events
        connection._stream._handle_events = lambda fd, events: (
            handled.append(events),
            handle(fd, events),
        )
        exchange = asyncio.ensure_future(
            connection.exchange(make_request(), Reader(pause_s=0.5))
        )
        await asyncio.sleep(0.4)
        assert len(handled) <= 6
        assert connection._stream._read_buffer_size <= 4 * READ_BYTES
        exchange.cancel()
        connection.close()

    async def send_much(received, writer):
        head = b"HTTP/1.1 200 -\r\nContent-Length: 9000000\r\n\r\n"
        for _ in range(60):
            writer.write(head + b"x" * 50_000)
            head = b""
            await asyncio.sleep(0.004)

    play(work, send_much)


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE])
def test_a_lack_of_descriptors_is_a_connect_error(play, monkeypatch, number):
    """It was an ``OSError``, which ended the request as an internal error."""

    async def work(connections, server):
        def fail(*_):
            raise OSError(number, os.strerror(number))

        with monkeypatch.context() as patch:
            patch.setattr(socket, "socket", fail)
            with pytest.raises(ConnectError) as raised:
                await connections.connect(server.address, SECOND)
        assert raised.value.is_local
        assert not raised.value.was_refused

    play(work)


def test_a_refused_connection_is_no_lack_of_this_process(play):
    async def work(connections, server):
        await server.stop()
        with pytest.raises(ConnectError) as raised:
            await connections.connect(server.address, SECOND)
        assert raised.value.was_refused
        assert not raised.value.is_local
        assert connections.open_count == 0

    play(work)


def test_connections_beyond_the_limit_are_not_opened(play):
    """Connections to servers could take descriptors of callers and of the store."""

    async def work(connections, server):
        connections.find_limit = lambda: 2
        first = await connections.connect(server.address, SECOND)
        await connections.connect(server.address, SECOND)
        with pytest.raises(ConnectError) as raised:
            await connections.connect(server.address, SECOND)
        assert raised.value.is_local
        first.close()
        first.close()
        await connections.connect(server.address, SECOND)
        assert connections.open_count == 2

    play(work)


def test_the_connection_idle_for_longest_makes_room_for_another(play):
    async def work(connections, server):
        connections.find_limit = lambda: 2
        used = [await connections.connect(server.address, SECOND) for _ in range(2)]
        for connection in used:
            await connection.exchange(make_request(), Reader())
            connections.give_back(connection)
            await asyncio.sleep(0.01)
        await connections.connect("127.0.0.1:" + server.address.split(":")[1], SECOND)
        assert used[0]._stream.closed()
        assert connections.take(server.address) is used[1]

    play(work)


def test_connections_that_servers_close_are_not_counted(play):
    async def work(connections, server):
        connection = await connections.connect(server.address, SECOND)
        await connection.exchange(make_request(), Reader())
        connections.give_back(connection)
        server.crash()
        await asyncio.sleep(0.1)
        connections.drop_stale()
        assert connections.open_count == 0

    play(work)


def test_idle_connections_are_closed_for_callers_that_connect(play):
    """Idle connections to servers and new callers together exceeded the descriptors."""

    async def work(connections, server):
        used = [await connections.connect(server.address, SECOND) for _ in range(4)]
        for connection in used[:3]:
            await connection.exchange(make_request(), Reader())
            connections.give_back(connection)
            await asyncio.sleep(0.01)
        limit = 3
        connections.find_limit = lambda: limit
        assert connections.trim()
        assert [c._stream.closed() for c in used] == [True, False, False, False]
        limit = 0
        assert not connections.trim()
        assert [c._stream.closed() for c in used] == [True, True, True, False]

    play(work)
