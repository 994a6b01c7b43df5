import asyncio
from datetime import timedelta
from types import SimpleNamespace

import pytest
from tornado.httputil import HTTPHeaders

from lavendershift.clocks import SystemClock
from lavendershift.connections import ConnectError, ConnectionPool, ServerRequest
from lavendershift.tests.virtualloop import VirtualLoop
from lavendershift_standins.platformserver import PlatformServer

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


class ScriptedPool(ConnectionPool):
    """Opens connections after scripted times; ``None`` is a path that loses packets."""

    def __init__(self, loop, *delays_s, error=None):
        super().__init__(loop)
        self.delays_s = list(delays_s)
        self.error = error
        self.attempts = []
        self.made = []

    async def connect(self, address, timeout):
        self.attempts.append(asyncio.get_running_loop().time())
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                delay_s = self.delays_s.pop(0)
                if delay_s is None:
                    await asyncio.Event().wait()
                await asyncio.sleep(delay_s)
        except TimeoutError:
            raise ConnectError(address) from None
        if self.error is not None:
            raise self.error
        connection = SimpleNamespace(closed=False)
        connection.close = lambda: setattr(connection, "closed", True)
        self.made.append(connection)
        return connection


def connect_staggered(*delays_s, error=None):
    """Return the pool, the connection or error, and the seconds that it took."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        pool = ScriptedPool(loop, *delays_s, error=error)

        async def work():
            try:
                found = await pool.connect_staggered(
                    "store:1", timedelta(seconds=2.4), timedelta(seconds=0.6)
                )
            except ConnectError as raised:
                found = raised
            took = loop.time()
            await asyncio.sleep(10)
            return pool, found, took

        return runner.run(work())


@pytest.mark.parametrize("delay_s", [0.1, 0.7, 0.95, 2.3])
def test_a_connection_over_a_congested_path_is_not_given_up(delay_s):
    """Each attempt was given up after 600 ms, and the next began from nothing."""
    pool, found, took = connect_staggered(*[delay_s] * 4)
    assert found is pool.made[0]
    assert took == pytest.approx(delay_s)
    assert [c.closed for c in pool.made] == [False] + [True] * (len(pool.made) - 1)


def test_a_lost_packet_delays_its_own_attempt_alone():
    pool, found, took = connect_staggered(None, 0.01)
    assert found is pool.made[0]
    assert took == pytest.approx(0.61)


def test_attempts_on_a_dead_path_are_spaced_and_end():
    pool, found, took = connect_staggered(*[None] * 4)
    assert isinstance(found, ConnectError)
    assert pool.attempts == pytest.approx([0.0, 0.6, 1.2, 1.8])
    assert took == pytest.approx(2.4)


def test_a_refused_connection_is_not_attempted_again():
    refused = ConnectError("refused", was_refused=True)
    pool, found, took = connect_staggered(0.01, error=refused)
    assert found is refused
    assert (len(pool.attempts), took) == (1, pytest.approx(0.01))
