"""Servers that leave, or that want nothing for a while, get no request."""

import asyncio

import pytest

from lavendershift.attempts import AttemptEnd
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.routes import Repeat
from lavendershift_standins.platformserver import (
    TurnAway,
    announce,
    answer_error,
    answer_foreign_first,
    answer_misdirected,
    answer_not_run,
    answer_whole,
    stream,
)


async def deliver_some(scene, count=6, **options):
    """Deliver requests one after the other; returns their errors."""
    errors = []
    for number in range(100, 100 + count):
        request = scene.make_request(number)
        try:
            await scene.deliver(request=request, **options)
        except RequestError as error:
            errors.append(error)
    return errors


@pytest.mark.parametrize(
    "behaviour",
    [answer_whole, answer_error, answer_not_run, answer_foreign_first, stream(3)],
)
def test_a_server_whose_answer_says_that_it_leaves_gets_nothing_new(play, behaviour):
    """No entry said so, as the store was away or the reading late."""

    async def work(scene):
        leaving = await scene.add_server(announce(behaviour))
        await deliver_some(scene, 1, is_stream=True)
        other = await scene.add_server()
        scene.list_server(leaving, sequence=9)
        assert await deliver_some(scene) == []
        assert len(leaving.received) == 1
        assert len(other.received) >= 6

    play(work)


def test_a_stream_that_begins_says_that_its_server_leaves(play):
    """The answer's head binds at once, not its end."""

    async def work(scene):
        leaving = await scene.add_server(announce(stream(5, pause_s=0.2)))
        running = asyncio.ensure_future(scene.deliver(is_stream=True))
        while not leaving.received:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        await scene.add_server()
        await deliver_some(scene)
        assert (await running).is_done
        assert len(leaving.received) == 1

    play(work)


def test_the_answer_of_another_server_at_the_address_says_nothing_of_this_one(play):
    async def work(scene):
        server = await scene.add_server(announce(answer_misdirected))
        with pytest.raises(RequestError):
            await scene.deliver()
        answer = await scene.deliver(request=scene.make_request(2))
        assert answer.body == b"done r2"
        assert len(server.received) == 2

    play(work)


def test_a_server_that_was_started_again_is_used_though_it_had_left(play):
    async def work(scene):
        server = await scene.add_server(announce(answer_whole))
        await scene.deliver()
        scene.list_server(server, born=5)
        assert await deliver_some(scene, 2) == []
        assert len(server.received) == 3

    play(work)


def test_a_server_that_left_stays_out_when_its_entry_lapses_and_is_back(play):
    async def work(scene):
        server = await scene.add_server(announce(answer_whole))
        await scene.deliver()
        scene.servers.remove(server.name)
        scene.list_server(server, sequence=9)
        (error,) = await deliver_some(scene, 1)
        assert error.kind is ErrorKind.NO_SERVER

    play(work)


def test_no_idle_connection_to_a_server_that_left_is_kept(play):
    async def work(scene):
        server = await scene.add_server()
        server.default = announce(answer_whole)
        await scene.deliver()
        assert scene.connections.take(server.address) is None

    play(work)


def test_a_server_that_left_while_a_connection_was_made_gets_nothing(play):
    """It was chosen before, and nobody looked again."""

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
def test_a_server_that_wants_nothing_for_a_while_gets_nothing(play, repeat):
    async def work(scene):
        busy = await scene.add_server(TurnAway("30"))
        await scene.add_server()
        assert await deliver_some(scene, 12, repeat=repeat) == []
        assert len(busy.received) <= 1

    play(work)


def test_a_server_gets_requests_again_after_the_time_it_asked_for(play):
    async def work(scene):
        busy = await scene.add_server(TurnAway("0.3"))
        with pytest.raises(RequestError):
            await scene.deliver()
        with pytest.raises(RequestError):
            await scene.deliver(request=scene.make_request(2))
        await asyncio.sleep(0.35)
        answer = await scene.deliver(request=scene.make_request(3))
        assert answer.body == b"done r3"
        assert len(busy.received) == 2

    play(work)


def test_a_longer_time_that_a_server_asked_for_is_not_shortened_by_another(play):
    async def answer_later(received, writer):
        await asyncio.sleep(0.1)
        await TurnAway("0.05")(received, writer)

    async def work(scene):
        server = await scene.add_server(TurnAway("30"), answer_later)
        requests = [scene.make_request(number) for number in (1, 2)]
        await asyncio.gather(
            *[scene.deliver(request=request) for request in requests],
            return_exceptions=True,
        )
        await asyncio.sleep(0.1)
        assert len(await deliver_some(scene, 1)) == 1
        assert len(server.received) == 2

    play(work)


def test_callers_are_told_when_the_first_server_wants_requests_again(play):
    """They are refused at once, and come back when they can be served."""

    async def work(scene):
        await scene.add_server(TurnAway("20"))
        await scene.add_server(TurnAway("3"))
        errors = await deliver_some(scene, 2)
        for error in errors:
            assert error.kind in (ErrorKind.SERVER_REFUSED, ErrorKind.NO_SERVER)
            assert error.answer.ran.value == "no"
            assert 2.5 < error.answer.retry_after.total_seconds() < 5
        assert scene.runs == 2

    play(work)


def test_one_server_that_asked_for_a_pause_keeps_no_caller_away(play):
    """The other one turned the request away for this time only."""

    async def work(scene):
        await scene.add_server(TurnAway("300"))
        await scene.add_server(answer_not_run)
        (error,) = await deliver_some(scene, 1)
        assert error.kind is ErrorKind.SERVER_REFUSED
        assert error.answer.retry_after.total_seconds() < 10

    play(work)


@pytest.mark.parametrize("value", ["", "soon", "-1", "nan", "inf", "1e400", "1, 2"])
def test_a_time_that_can_not_be_read_asks_for_nothing(play, value):
    async def work(scene):
        server = await scene.add_server(TurnAway(value))
        with pytest.raises(RequestError):
            await scene.deliver()
        await deliver_some(scene, 1)
        assert len(server.received) == 2

    play(work)


def test_only_a_server_that_turns_a_request_away_asks_for_a_pause(play):
    async def work(scene):
        server = await scene.add_server(TurnAway("30", status=200))
        await scene.deliver()
        await scene.deliver(request=scene.make_request(2))
        assert len(server.received) == 2

    play(work)
