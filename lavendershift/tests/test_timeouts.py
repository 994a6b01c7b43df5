import asyncio
from datetime import timedelta

import pytest

from lavendershift.clocks import SystemClock
from lavendershift.connections import ConnectError, ConnectionPool
from lavendershift.datagrams import Replies
from lavendershift.tests.virtualloop import VirtualLoop
from lavendershift.timeouts import LATE_WAIT, MAX_LATE_WAIT, Timeout


def play(work):
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work(runner.get_loop()))


def stand_still(loop, at, length):
    """Let the loop stand still from ``at`` on."""

    def pause():
        loop.selector.now = max(loop.selector.now, at) + length

    loop.call_at(at, pause)


async def read_steps(loop, arrives_at, steps):
    """Wait for bytes that arrive, and go through the steps in which they are read."""
    arrived = loop.create_future()
    loop.call_at(arrives_at, arrived.set_result, None)
    await arrived
    for _ in range(steps):
        await asyncio.sleep(0)


@pytest.mark.parametrize("pause_s", [0.0, 0.5, 2.0])
def test_a_wait_ends_at_its_deadline(pause_s):
    async def work(loop):
        stand_still(loop, 0.9, pause_s)
        with pytest.raises(TimeoutError):
            async with Timeout(1.0):
                await asyncio.Event().wait()
        return loop.time()

    latest = max(1.0, 0.9 + pause_s + LATE_WAIT)
    assert 1.0 <= play(work) <= latest + 1e-6


@pytest.mark.parametrize("pause_s", [0.5, 2.0])
@pytest.mark.parametrize("steps", [0, 1, 3])
def test_bytes_that_arrived_in_a_pause_of_the_loop_are_not_too_late(pause_s, steps):
    """A timer that ended in the pause ran before the bytes were read."""

    async def work(loop):
        stand_still(loop, 0.9, pause_s)
        async with Timeout(1.0):
            await read_steps(loop, 0.95, steps)

    play(work)


def test_a_loop_that_is_always_late_ends_a_wait_all_the_same():
    async def work(loop):
        for step in range(200):
            stand_still(loop, 0.9 + step / 10, 0.1)
        with pytest.raises(TimeoutError):
            async with Timeout(1.0):
                await asyncio.Event().wait()
        return loop.time()

    assert play(work) < 1.0 + MAX_LATE_WAIT + 2 * 0.1


def test_a_wait_can_be_extended_but_not_shortened():
    async def work(loop):
        with pytest.raises(TimeoutError):
            async with Timeout(1.0) as timeout:
                timeout.extend(0.5)
                await asyncio.sleep(0.8)
                timeout.extend(3.0)
                await asyncio.Event().wait()
        return loop.time()

    assert play(work) == pytest.approx(3.0)


def test_a_cancelled_wait_is_no_timeout():
    async def work(loop):
        async def wait():
            async with Timeout(1.0):
                await asyncio.Event().wait()

        task = asyncio.ensure_future(wait())
        await asyncio.sleep(0.5)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    play(work)


def test_a_reply_that_arrived_in_a_pause_of_the_loop_is_not_too_late():
    async def work(loop):
        replies = Replies()
        stand_still(loop, 0.05, 0.5)

        def send(number):
            loop.call_at(0.06, replies.resolve, number, "permit")

        return await replies.wait(send, timedelta(seconds=0.1))

    assert play(work) == "permit"


def test_a_connection_made_in_a_pause_of_the_loop_is_not_too_late():
    async def work(loop):
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        pool = ConnectionPool(SystemClock())
        stand_still(loop, 0.0, 0.5)
        connection = await pool.connect(address, timedelta(seconds=0.3))
        connection.close()
        server.close()

    try:
        play(work)
    except ConnectError as error:
        pytest.fail(str(error))
