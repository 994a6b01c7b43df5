import asyncio
import gc
from datetime import timedelta
from types import SimpleNamespace

import pytest

from lavendershift.connections import ConnectError, ConnectionPool
from lavendershift.connectors import Connector
from lavendershift.tests.virtualloop import VirtualLoop

INTERVAL = timedelta(seconds=0.6)
LIFETIME = timedelta(seconds=2.4)


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


def play(work, *delays_s, error=None):
    """Run ``work`` with a pool, a connector and the loop; return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        pool = ScriptedPool(loop, *delays_s, error=error)

        async def run():
            connector = Connector(pool, "store:1", INTERVAL, LIFETIME)
            result = await work(pool, connector, loop)
            await asyncio.sleep(10)
            return result

        return runner.run(run())


def connect(*delays_s, error=None, timeout=LIFETIME):
    """Return the pool, the connection or error, and the seconds that it took."""

    async def work(pool, connector, loop):
        try:
            found = await connector.connect(timeout)
        except ConnectError as raised:
            found = raised
        return pool, found, loop.time()

    return play(work, *delays_s, error=error)


@pytest.mark.parametrize("delay_s", [0.1, 0.7, 0.95, 2.3])
def test_a_connection_over_a_congested_path_is_not_given_up(delay_s):
    """Each attempt was given up after 600 ms, and the next began from nothing."""
    pool, found, took = connect(*[delay_s] * 4)
    assert found is pool.made[0]
    assert took == pytest.approx(delay_s)
    assert [c.closed for c in pool.made] == [False] + [True] * (len(pool.made) - 1)


def test_a_lost_packet_delays_its_own_attempt_alone():
    pool, found, took = connect(None, 0.01)
    assert found is pool.made[0]
    assert took == pytest.approx(0.61)


def test_attempts_on_a_dead_path_are_spaced_and_end():
    pool, found, took = connect(*[None] * 4)
    assert isinstance(found, ConnectError)
    assert pool.attempts == pytest.approx([0.0, 0.6, 1.2, 1.8])
    assert took == pytest.approx(2.4)


def test_a_refused_connection_is_not_attempted_again():
    refused = ConnectError("refused", was_refused=True)
    pool, found, took = connect(0.01, error=refused)
    assert found is refused
    assert (len(pool.attempts), took) == (1, pytest.approx(0.01))


def test_an_attempt_in_flight_serves_the_next_caller():
    """Attempts that were made late in a caller's time were in vain."""

    async def work(pool, connector, loop):
        with pytest.raises(ConnectError):
            await connector.connect(timedelta(seconds=1.2))
        await asyncio.sleep(0.25)
        found = await connector.connect(timedelta(seconds=1.2))
        return pool, found, loop.time()

    pool, found, took = play(work, None, 0.95, 0.95, 0.95)
    assert found is pool.made[0]
    assert took == pytest.approx(0.6 + 0.95)


def test_callers_that_wait_share_the_attempts_on_a_dead_path():
    async def work(pool, connector, loop):
        waits = [connector.connect(LIFETIME) for _ in range(3)]
        failures = await asyncio.gather(*waits, return_exceptions=True)
        return pool, failures

    pool, failures = play(work, *[None] * 9)
    assert all(isinstance(failure, ConnectError) for failure in failures)
    assert len(pool.attempts) == 3 + 3


def test_refused_attempts_beside_a_lost_packet_are_not_repeated_without_a_pause():
    """Attempts began as fast as they were refused until the lost one's time ended."""
    refused = ConnectError("refused", was_refused=True)

    async def work(pool, connector, loop):
        waits = [connector.connect(LIFETIME) for _ in range(3)]
        failures = await asyncio.gather(*waits, return_exceptions=True)
        return pool, failures

    pool, failures = play(work, None, *[0.001] * 20, error=refused)
    assert all(isinstance(failure, ConnectError) for failure in failures)
    assert pool.attempts == pytest.approx([0.0] * 3 + [0.6, 1.2, 1.8], abs=0.01)


def test_each_caller_gets_a_connection_of_its_own_at_once():
    async def work(pool, connector, loop):
        found = await asyncio.gather(*[connector.connect(LIFETIME) for _ in range(5)])
        return found, loop.time()

    found, took = play(work, *[0.01] * 5)
    assert len({id(connection) for connection in found}) == 5
    assert not any(connection.closed for connection in found)
    assert took == pytest.approx(0.01)


def fail_late(reported):
    """End a loop just after an attempt failed that no caller waited for."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        loop.set_exception_handler(lambda loop, context: reported.append(context))
        connector = Connector(ScriptedPool(loop, None), "store:1", INTERVAL, LIFETIME)

        async def work():
            with pytest.raises(ConnectError):
                await connector.connect(timedelta(seconds=0.3))
            await asyncio.sleep(2.15)

        runner.run(work())


def test_a_failed_attempt_is_not_reported_as_lost_at_the_end_of_a_process():
    reported = []
    fail_late(reported)
    gc.collect()
    assert reported == []
