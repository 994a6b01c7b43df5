"""Tests that draining and paused servers get no request."""

import asyncio

import pytest

from lavendershift.attempts import AttemptEnd
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.routes import Repeat
from lavendershift_standins.platformserver import (
    RetryLater,
    announce_leaving,
    answer_complete,
    answer_error,
    answer_misdirected,
    answer_not_run,
    answer_other_request_first,
    stream,
)


@pytest.mark.parametrize(
    "behaviour",
    [
        answer_complete,
        answer_error,
        answer_not_run,
        answer_other_request_first,
        stream(3),
    ],
)
def test_server_whose_response_announces_a_drain_gets_no_new_request(play, behaviour):
    """The entry doesn't state the drain: the store is unreachable or read late."""

    async def work(scene):
        leaving = await scene.add_server(announce_leaving(behaviour))
        await scene.deliver_sequentially(1, is_stream=True)
        other = await scene.add_server()
        scene.list_server(leaving, sequence=9)
        assert await scene.deliver_sequentially() == []
        assert len(leaving.received) == 1
        assert len(other.received) >= 6

    play(work)


def test_drain_signal_applies_at_the_head_of_a_stream(play):
    """The signal takes effect with the response's head, not at its end."""

    async def work(scene):
        leaving = await scene.add_server(announce_leaving(stream(5, pause_s=0.2)))
        running = asyncio.ensure_future(scene.deliver(is_stream=True))
        while not leaving.received:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        await scene.add_server()
        await scene.deliver_sequentially()
        assert (await running).is_done
        assert len(leaving.received) == 1

    play(work)


def test_drain_signal_of_another_server_at_the_address_is_ignored(play):
    async def work(scene):
        server = await scene.add_server(announce_leaving(answer_misdirected))
        with pytest.raises(RequestError):
            await scene.deliver()
        response = await scene.deliver(request=scene.make_request(2))
        assert response.body == b"done r2"
        assert len(server.received) == 2

    play(work)


def test_restarted_server_is_used_after_its_drain(play):
    async def work(scene):
        server = await scene.add_server(announce_leaving(answer_complete))
        await scene.deliver()
        scene.list_server(server, born=5)
        assert await scene.deliver_sequentially(2) == []
        assert len(server.received) == 3

    play(work)


def test_drained_server_is_not_used_when_its_entry_reappears(play):
    async def work(scene):
        server = await scene.add_server(announce_leaving(answer_complete))
        await scene.deliver()
        scene.servers.remove(server.name)
        scene.list_server(server, sequence=9)
        (error,) = await scene.deliver_sequentially(1)
        assert error.kind is ErrorKind.NO_SERVER

    play(work)


def test_idle_connections_to_a_draining_server_are_closed(play):
    async def work(scene):
        server = await scene.add_server()
        server.default = announce_leaving(answer_complete)
        await scene.deliver()
        assert scene.connections.take(server.address) is None

    play(work)


def test_server_that_drains_during_a_connect_gets_no_request(play):
    """Guards against a selection that is not checked again before sending."""

    async def work(scene):
        server = await scene.add_server()
        connect = scene.connections.connect

        async def connect_slowly(address, timeout):
            connection = await connect(address, timeout)
            scene.list_server(server, is_leaving=True, sequence=2)
            return connection

        scene.connections.connect = connect_slowly
        with pytest.raises(RequestError) as caught:
            await scene.deliver()
        assert caught.value.kind is ErrorKind.NO_SERVER
        assert server.received == []
        assert scene.ends == [AttemptEnd.NOT_SENT]

    play(work)


@pytest.mark.parametrize("repeat", [Repeat.NEVER, Repeat.ALWAYS])
def test_paused_server_gets_no_request(play, repeat):
    async def work(scene):
        busy = await scene.add_server(RetryLater("30"))
        await scene.add_server()
        assert await scene.deliver_sequentially(12, repeat=repeat) == []
        assert len(busy.received) <= 1

    play(work)


def test_server_gets_requests_again_after_its_pause(play):
    async def work(scene):
        busy = await scene.add_server(RetryLater("0.3"))
        with pytest.raises(RequestError):
            await scene.deliver()
        with pytest.raises(RequestError):
            await scene.deliver(request=scene.make_request(2))
        await asyncio.sleep(0.35)
        response = await scene.deliver(request=scene.make_request(3))
        assert response.body == b"done r3"
        assert len(busy.received) == 2

    play(work)


def test_longer_pause_is_not_shortened_by_a_later_signal(play):
    async def answer_later(received, writer):
        await asyncio.sleep(0.1)
        await RetryLater("0.05")(received, writer)

    async def work(scene):
        server = await scene.add_server(RetryLater("30"), answer_later)
        requests = [scene.make_request(number) for number in (1, 2)]
        await asyncio.gather(
            *[scene.deliver(request=request) for request in requests],
            return_exceptions=True,
        )
        await asyncio.sleep(0.1)
        assert len(await scene.deliver_sequentially(1)) == 1
        assert len(server.received) == 2

    play(work)


def test_retry_delay_is_the_time_until_the_first_pause_ends(play):
    """Callers are refused immediately and retry when they can be served."""

    async def work(scene):
        await scene.add_server(RetryLater("20"))
        await scene.add_server(RetryLater("3"))
        errors = await scene.deliver_sequentially(2)
        for error in errors:
            assert error.kind in (ErrorKind.SERVER_REFUSED, ErrorKind.NO_SERVER)
            assert error.answer.ran.value == "no"
            assert 2.5 < error.answer.retry_after.total_seconds() < 5
        assert scene.runs == 2

    play(work)


def test_pause_of_one_server_of_several_sets_no_retry_delay(play):
    """The other server rejected this one request only."""

    async def work(scene):
        await scene.add_server(RetryLater("300"))
        await scene.add_server(answer_not_run)
        (error,) = await scene.deliver_sequentially(1)
        assert error.kind is ErrorKind.SERVER_REFUSED
        assert error.answer.retry_after.total_seconds() < 10

    play(work)


@pytest.mark.parametrize("value", ["", "soon", "-1", "nan", "inf", "1e400", "1, 2"])
def test_invalid_retry_after_is_ignored(play, value):
    async def work(scene):
        server = await scene.add_server(RetryLater(value))
        with pytest.raises(RequestError):
            await scene.deliver()
        await scene.deliver_sequentially(1)
        assert len(server.received) == 2

    play(work)


def test_retry_after_of_a_successful_response_is_ignored(play):
    async def work(scene):
        server = await scene.add_server(RetryLater("30", status=200))
        await scene.deliver()
        await scene.deliver(request=scene.make_request(2))
        assert len(server.received) == 2

    play(work)
