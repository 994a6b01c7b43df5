"""Tests that requests to servers with limits need permits."""

import asyncio
import time

import pytest

from lavendershift.attempts import AttemptEnd
from lavendershift.errors import ErrorKind, Ran, RequestError
from lavendershift.routes import Repeat
from lavendershift_standins.platformserver import (
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
        announce_leaving(answer_complete),
        stream(3),
    ],
)
@pytest.mark.parametrize("repeat", list(Repeat))
def test_a_limit_in_any_response_binds_the_next_request(play, behaviour, repeat):
    async def work(scene):
        limited = await scene.add_server()
        limited.default, limited.limit = behaviour, "0.3"
        await scene.deliver_sequentially(1, is_stream=True, repeat=repeat)
        other = await scene.add_server()
        assert await scene.deliver_sequentially(repeat=repeat) == []
        assert len(limited.received) == 1
        assert len(other.received) >= 6

    play(work)


def test_a_limit_binds_from_the_head_of_a_stream_on(play):
    async def work(scene):
        limited = await scene.add_server(stream(5, pause_s=0.2))
        limited.limit = "0.3"
        running = asyncio.ensure_future(scene.deliver(is_stream=True))
        while not limited.received:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        await scene.add_server()
        await scene.deliver_sequentially()
        assert (await running).is_done
        assert len(limited.received) == 1

    play(work)


def test_a_limit_that_becomes_known_during_a_connect_binds_the_request(play):
    async def work(scene):
        server = await scene.add_server()
        connect = scene.connections.connect

        async def connect_slowly(address, timeout):
            connection = await connect(address, timeout)
            listed = scene.servers.find(server.name)
            scene.servers.limits.note_response(listed.incarnation, 0.3, None)
            return connection

        scene.connections.connect = connect_slowly
        with pytest.raises(RequestError) as caught:
            await scene.deliver()
        assert caught.value.kind is ErrorKind.OVERLOADED
        assert server.received == []
        assert scene.ends == [AttemptEnd.NO_PERMIT]

    play(work)


def test_the_resumption_of_a_stream_needs_a_permit(play):
    async def work(scene):
        cut = stream(8, cut_after=3)
        await scene.add_server(cut)
        limited = await scene.add_server()
        listed = scene.servers.find(limited.name)
        scene.servers.limits.note_response(listed.incarnation, 0.3, None)
        first = scene.servers.find("i-0")
        scene.servers.choose = lambda service, prompt, excluded, urgency: (
            listed
            if "i-0" in excluded and "i-1" not in excluded
            else None
            if excluded
            else first
        )
        with pytest.raises(RequestError) as caught:
            await scene.deliver(is_stream=True, repeat=Repeat.RESUME)
        assert caught.value.kind is ErrorKind.ANSWER_TRUNCATED
        assert limited.received == []

    play(work)


def test_callers_are_refused_at_once_and_return_one_by_one(play):
    """Load: all servers have limits, and callers send more than these allow."""

    async def work(scene):
        for _ in range(2):
            server = await scene.add_server()
            server.limit = "2"
        assert len(await scene.deliver_sequentially(2)) == 0
        started = time.monotonic()
        errors = await scene.deliver_sequentially(8)
        assert time.monotonic() - started < 0.5
        assert {error.kind for error in errors} == {ErrorKind.OVERLOADED}
        assert {error.answer.ran for error in errors} == {Ran.NO}
        delays = [error.answer.retry_after.total_seconds() for error in errors]
        pauses = [b - a for a, b in zip(delays, delays[1:], strict=False)]
        assert min(delays) > 0
        assert all(0.15 < pause < 0.3 for pause in pauses)
        assert scene.runs == 2

    play(work)


def test_the_limit_of_a_server_is_used(play):
    async def work(scene):
        server = await scene.add_server()
        server.limit = "20"
        started = time.monotonic()
        while time.monotonic() - started < 2:
            await scene.deliver_sequentially(1)
            await asyncio.sleep(0.01)
        assert 0.7 * 40 <= len(server.received) <= 1 + 40

    play(work)


def test_a_server_gets_all_requests_after_its_limit_ended(play):
    async def work(scene):
        server = await scene.add_server()
        server.limit = "4"
        assert len(await scene.deliver_sequentially(5)) == 4
        server.limit = ""
        await asyncio.sleep(0.6)
        assert await scene.deliver_sequentially(20) == []

    play(work)


def test_a_restarted_server_has_no_limit(play):
    async def work(scene):
        server = await scene.add_server()
        server.limit = "0.3"
        await scene.deliver_sequentially(2)
        server.limit = ""
        scene.list_server(server, born=5)
        assert await scene.deliver_sequentially(5) == []
        assert len(server.received) == 6

    play(work)


def test_the_limit_of_another_server_at_the_address_is_ignored(play):
    async def work(scene):
        server = await scene.add_server(answer_misdirected)
        server.limit = "0"
        with pytest.raises(RequestError):
            await scene.deliver()
        server.limit = ""
        assert await scene.deliver_sequentially(3) == []
        assert len(server.received) == 4

    play(work)


@pytest.mark.parametrize("value", ["soon", "-1", "nan", "inf", "1e400", "1, 2", "0x1"])
def test_a_limit_that_cannot_be_read_changes_nothing(play, value):
    async def work(scene):
        reported = []
        scene.servers.on_invalid_limit = reported.append
        server = await scene.add_server()
        server.limit = value
        assert await scene.deliver_sequentially(3) == []
        listed = scene.servers.find(server.name)
        scene.servers.limits.note_response(listed.incarnation, 50.0, None)
        while len(server.received) < 4:
            await scene.deliver_sequentially(1)
            await asyncio.sleep(0.01)
        assert scene.servers.limits.find(listed.incarnation) == 50.0
        assert [entry.id for entry in reported] == [server.name] * 4

    play(work)


@pytest.mark.parametrize("value", ["0", "0.0", "1e-9"])
def test_a_server_that_takes_no_requests_gets_next_to_none(play, value):
    async def work(scene):
        server = await scene.add_server()
        server.limit = value
        errors = await scene.deliver_sequentially(30)
        assert len(errors) == 29
        assert len(server.received) == 1
        assert errors[0].answer.retry_after.total_seconds() <= 5

    play(work)


def test_a_refused_permit_opens_no_connection(play):
    async def work(scene):
        server = await scene.add_server()
        server.limit = "0.3"
        await scene.deliver_sequentially(1)
        scene.connections.drop(server.address)
        await scene.deliver_sequentially(3)
        await asyncio.sleep(0.1)
        assert server.connections == 1

    play(work)


def test_a_caller_that_leaves_while_a_permit_is_requested_leaks_nothing(play):
    async def work(scene):
        server = await scene.add_server()
        asked = asyncio.Event()

        async def take(incarnation, urgency):
            if scene.connections.opened:
                asked.set()
                await asyncio.sleep(10)
            return True

        scene.permits.take = take
        delivery = asyncio.ensure_future(scene.deliver())
        await asked.wait()
        delivery.cancel()
        await asyncio.gather(delivery, return_exceptions=True)
        await asyncio.sleep(0.1)
        assert server.closed == 1
        assert server.received == []

    play(work)
