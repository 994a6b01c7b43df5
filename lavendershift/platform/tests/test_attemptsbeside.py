"""Tests of attempts that are prepared or sent beside a silent one."""

import asyncio
import contextlib
import socket
import time

import pytest

from lavendershift.attempts import AttemptEnd
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.platform.tests.conftest import SECOND, RecordedResponse
from lavendershift.routes import Repeat
from lavendershift.serverlimits import LimitState
from lavendershift.serverstates import PromptPart, PromptShape
from lavendershift_standins.platformserver import (
    answer_complete,
    answer_not_run,
    keep_silent,
    make_head,
    reset,
)

BODY = b"x" * 400
PROMPT = PromptShape((PromptPart("p1", 100), PromptPart("p2", 50)), 150, 10)


def make_delivery(scene, response, repeat=Repeat.ALWAYS, deadline=4, prompt=None):
    request = scene.make_request(deadline=deadline * SECOND)._replace(prompt=prompt)
    if prompt is not None:
        entries = [f"{part.id}:{part.tokens}" for part in prompt.parts]
        request.headers["X-Lavendershift-Prompt-Prefix"] = ",".join(entries)
    return scene.make_delivery(
        response, request=request, repeat=repeat, attempts=3, timeout=deadline * SECOND
    )


def break_after(delay_s):
    async def behave(received, writer):
        await asyncio.sleep(delay_s)
        await reset(received, writer)

    return behave


def delay_permits(scene, delay_s):
    """Let the permit of each attempt beside another one take ``delay_s``."""
    take = scene.permits.take
    taken = []

    async def take_late(incarnation, urgency):
        taken.append(incarnation[0])
        if incarnation[0] != taken[0]:
            await asyncio.sleep(delay_s)
        return await take(incarnation, urgency)

    scene.permits.take = take_late


def test_retry_after_a_break_takes_a_token_if_the_attempt_beside_it_is_not_sent(play):
    async def work(scene):
        scene.retries = 1
        first = await scene.add_server()
        first.default = break_after(0.45)
        second = await scene.add_server()
        await second.stop()
        third = await scene.add_server()
        turns = iter([first, second, third, third, third])
        scene.servers.choose = lambda *arguments: scene.servers.find(next(turns).name)
        delay_permits(scene, 0.3)
        response = RecordedResponse()
        await make_delivery(scene, response).run()
        assert response.is_done
        assert scene.ends == [
            AttemptEnd.BROKEN,
            AttemptEnd.NOT_SENT,
            AttemptEnd.ANSWERED,
        ]
        assert scene.retries == 0

    play(work)


def test_response_that_ends_with_a_refusal_beside_it_is_delivered(play):
    async def work(scene):
        writers = []

        async def wait_for_other(received, writer):
            head = make_head(received, 200, {"Content-Length": str(len(BODY))})
            writers.append((writer, head + BODY))
            await asyncio.sleep(5)

        async def refuse_as_other_ends(received, writer):
            other, response = writers[0]
            await answer_not_run(received, writer)
            other.write(response)

        for _ in range(20):
            writers.clear()
            scene.retries = 1
            first = await scene.add_server(wait_for_other)
            second = await scene.add_server(refuse_as_other_ends)
            turns = iter([first, second])
            scene.servers.choose = lambda *arguments, turns=turns: next(
                (scene.servers.find(server.name) for server in turns), None
            )
            response = RecordedResponse()
            await make_delivery(scene, response).run()
            assert response.body == BODY

    play(work)


def test_prompt_that_crashed_a_server_is_not_sent_by_the_attempt_beside_it(play):
    async def work(scene):
        scene.quarantine.is_suspicious = lambda parts: True

        async def crash_late(received, writer):
            writer.write(make_head(received, 200, {"Content-Length": "400"}))
            await asyncio.sleep(1.1)
            first.crash()

        first = await scene.add_server(crash_late)
        second = await scene.add_server()
        turns = iter([first, second, second])
        scene.servers.choose = lambda *arguments: scene.servers.find(next(turns).name)
        delay_permits(scene, 0.4)
        with pytest.raises(RequestError):
            await make_delivery(scene, RecordedResponse(), prompt=PROMPT).run()
        assert not second.received

    play(work)


def test_trial_of_a_quarantined_prompt_is_sent_to_one_server_while_that_is_silent(play):
    async def work(scene):
        servers = [await scene.add_server() for _ in range(2)]
        for server in servers:
            server.crash_parts, server.read_s = {"p1"}, 0.8
        delivery = make_delivery(scene, RecordedResponse(), prompt=PROMPT)
        delivery.guard.trial = ("p1",)
        with pytest.raises(RequestError):
            await delivery.run()
        assert scene.runs == 1

    play(work)


def test_silent_request_without_a_retry_budget_looks_for_no_server(play):
    async def work(scene):
        scene.retries = 0
        permits = []
        scene.permits.on_taken = permits.append
        choose, chosen = scene.servers.choose, []

        def count_choices(*arguments):
            chosen.append(arguments)
            return choose(*arguments)

        scene.servers.choose = count_choices
        first = await scene.add_server()
        first.default = keep_silent
        task = asyncio.ensure_future(
            make_delivery(scene, RecordedResponse(), deadline=3).run()
        )
        await asyncio.sleep(0.1)
        second = await scene.add_server()
        limit = LimitState(100.0, 1)
        scene.servers.limits.merge(scene.servers.find(second.name).incarnation, limit)
        with pytest.raises(RequestError):
            await task
        assert (second.connections, permits, len(scene.notes)) == (0, [], 1)
        assert len(chosen) == 1

    play(work)


def test_server_that_was_silent_once_gets_requests_that_may_run_once_again(
    play, monkeypatch
):
    monkeypatch.setattr("lavendershift.silences.MAX_PRESUMPTION", 1.5 * SECOND)

    async def work(scene):
        first = await scene.add_server(keep_silent)
        with pytest.raises(RequestError):
            await make_delivery(
                scene, RecordedResponse(), repeat=Repeat.NEVER, deadline=0.8
            ).run()
        await scene.add_server()
        deadline = time.monotonic() + 4
        while time.monotonic() < deadline and len(first.received) == 1:
            await scene.deliver(request=scene.make_request(2))
            await asyncio.sleep(0.02)
        assert len(first.received) > 1

    play(work)


def test_first_answer_after_the_break_of_a_silent_attempt_is_delivered(play):
    async def work(scene):
        first = await scene.add_server(break_after(0.45))
        second = await scene.add_server()
        turns = iter([first, second, second])
        scene.servers.choose = lambda *arguments: scene.servers.find(next(turns).name)
        second.default = answer_complete
        delay_permits(scene, 0.3)
        response = RecordedResponse()
        await make_delivery(scene, response).run()
        assert response.is_done and scene.retries == 9

    play(work)


@pytest.mark.parametrize("servers", [1, 2])
def test_attempt_that_waited_for_something_cancelled_ends_alone(play, servers):
    async def work(scene):
        for _ in range(servers):
            server = await scene.add_server()
            server.default = answer_complete
        take = scene.permits.take

        async def cancel(incarnation, urgency):
            scene.permits.take = take
            raise asyncio.CancelledError

        scene.permits.take = cancel
        response = RecordedResponse()
        delivery = make_delivery(scene, response, deadline=1)
        async with asyncio.timeout(0.5):
            if servers == 1:
                with pytest.raises(RequestError) as caught:
                    await delivery.run()
                assert caught.value.kind is ErrorKind.NO_SERVER
            else:
                await delivery.run()
        assert response.is_done == (servers == 2)
        assert scene.ends[0] is AttemptEnd.INTERNAL_ERROR
        assert [type(error) for error in scene.errors] == [asyncio.CancelledError]
        scene.errors.clear()

    play(work)


def test_server_is_not_silent_because_a_request_has_little_time_left(play):
    async def answer_late(received, writer):
        await asyncio.sleep(0.22)
        await answer_complete(received, writer)

    async def work(scene):
        server = await scene.add_server()
        server.default = answer_late
        with pytest.raises(RequestError):
            await make_delivery(scene, RecordedResponse(), deadline=0.2).run()
        assert not scene.servers.find(server.name).silence.is_open

    play(work)


@contextlib.contextmanager
def listen_without_accepting():
    """Yield an address whose new connections get no reply."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(
            socket.create_server(("127.0.0.1", 0), backlog=0)
        )
        address = listener.getsockname()
        with contextlib.suppress(TimeoutError):
            for _ in range(8):  # the backlog holds one or two
                stack.enter_context(socket.create_connection(address, 0.1))
        yield "{}:{}".format(*address)


def test_silent_server_gets_one_request_at_a_time_while_a_connection_is_opened(play):
    async def work(scene):
        with listen_without_accepting() as address:
            first, _ = [await scene.add_server() for _ in range(2)]
            scene.list_server(first, address)
            now = scene.clock.elapsed()
            silence = scene.servers.find(first.name).silence
            silence.note_silence(now - 10 * SECOND, now - 10 * SECOND)
            requests = []
            for number in range(20):
                request = scene.make_request(number)
                requests.append(
                    asyncio.ensure_future(
                        scene.deliver(request=request, repeat=Repeat.ALWAYS)
                    )
                )
                await asyncio.sleep(0.01)
            await asyncio.gather(*requests)
            assert scene.ends.count(AttemptEnd.NOT_SENT) == 1

    play(work)
