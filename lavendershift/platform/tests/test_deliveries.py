"""Tests of deliveries over real connections to scripted servers."""

import asyncio
import errno
import socket
import time
from datetime import timedelta

import pytest

from lavendershift.attempts import AttemptEnd, StreamReport
from lavendershift.errors import ErrorKind, Ran, RequestError
from lavendershift.platform.tests.conftest import SECOND, RecordedResponse
from lavendershift.routes import Repeat
from lavendershift.serverstates import PromptPart, PromptShape, ServerLoad
from lavendershift_standins.platformserver import (
    ATTEMPT_ID_HEADER,
    answer_complete,
    answer_error,
    answer_misdirected,
    answer_not_run,
    answer_other_request_first,
    answer_unframed,
    answer_with_extra,
    keep_silent,
    make_event,
    make_head,
    reset,
    send_invalid_http,
    stream,
)

EVENTS = b"".join(make_event(number) for number in range(1, 9))


def expect_error(work, kind):
    async def run_and_check(scene):
        with pytest.raises(RequestError) as caught:
            await work(scene)
        assert caught.value.kind is kind
        return scene

    return run_and_check


def test_response_is_forwarded_unchanged(play):
    async def work(scene):
        server = await scene.add_server()
        response = await scene.deliver()
        assert (response.status, response.body) == (200, b"done r1")
        assert response.headers["X-Lavendershift-Response-Signature"] == "sign-r1"
        received = server.received[0]
        assert (received.target, received.body) == ("/a/b?c=d", b"question")
        assert received.headers["x-lavendershift-expect-instance"] == "i-0"
        assert int(received.headers["x-lavendershift-deadline-ms"]) <= 2000

    play(work)


def test_connections_are_reused(play):
    async def work(scene):
        server = await scene.add_server()
        for number in range(4):
            await scene.deliver(request=scene.make_request(number))
        assert server.connections == 1

    play(work)


@pytest.mark.parametrize("refuse", [answer_not_run, answer_misdirected])
def test_request_that_did_not_run_goes_to_another_server(play, refuse):
    async def work(scene):
        await scene.add_server(refuse)
        await scene.add_server(refuse)
        await scene.add_server()
        response = await scene.deliver(attempts=1)
        assert response.body == b"done r1"

    play(work)


def test_refusals_by_all_servers_are_reported_as_not_run(play):
    async def work(scene):
        for _ in range(3):
            await scene.add_server(answer_not_run)
        await scene.deliver()

    play(expect_error(work, ErrorKind.SERVER_REFUSED))


@pytest.mark.parametrize("fail", [reset, send_invalid_http])
def test_request_that_may_have_run_is_not_sent_again(play, fail):
    async def work(scene):
        await scene.add_server(fail)
        await scene.add_server(fail)
        await scene.deliver()

    scene = play(expect_error(work, ErrorKind.OUTCOME_UNKNOWN))
    assert scene.runs == 1


@pytest.mark.parametrize("fail", [reset, send_invalid_http, answer_error])
def test_repeatable_request_is_sent_again(play, fail):
    async def work(scene):
        for server in [await scene.add_server(fail), await scene.add_server(fail)]:
            server.default = answer_complete
        scene.backends[1].script.clear()
        scene.backends[0].script[:] = [fail]
        await scene.add_server()
        response = await scene.deliver(repeat=Repeat.ALWAYS)
        assert response.body == b"done r1"

    play(work)


def test_attempts_are_bounded_by_the_route(play):
    async def work(scene):
        for _ in range(4):
            await scene.add_server(answer_error)
        response = await scene.deliver(repeat=Repeat.ALWAYS, attempts=2)
        assert (response.status, response.body) == (500, b"error")
        assert scene.runs == 2

    play(work)


def test_no_retry_without_a_token_of_the_retry_budget(play):
    async def work(scene):
        scene.retries = 0
        await scene.add_server(answer_error)
        await scene.add_server(answer_error)
        response = await scene.deliver(repeat=Repeat.ALWAYS)
        assert response.status == 500
        assert scene.runs == 1

    play(work)


def test_unreachable_server_costs_no_attempt(play):
    async def work(scene):
        gone = await scene.add_server()
        await gone.stop()
        await scene.add_server()
        response = await scene.deliver(attempts=1)
        assert response.body == b"done r1"

    play(work)


def test_request_without_any_server_did_not_run(play):
    async def work(scene):
        await scene.deliver()

    play(expect_error(work, ErrorKind.NO_SERVER))


def test_response_to_another_request_is_skipped(play):
    async def work(scene):
        await scene.add_server(answer_other_request_first)
        response = await scene.deliver()
        assert response.body == b"done r1"

    play(work)


async def refuse_late_without_an_id(received, writer):
    """Send a late refusal of an earlier request, then the response."""
    head = b"HTTP/1.1 503 -\r\nX-Lavendershift-Not-Executed: 1\r\n"
    writer.write(head + b"Content-Length: 0\r\n\r\n")
    await answer_complete(received, writer)


def test_late_refusal_without_a_request_id_is_ignored(play):
    """Guards against a second execution while the first server runs the request."""

    async def work(scene):
        await scene.add_server(answer_complete, refuse_late_without_an_id)
        await scene.deliver()
        await scene.add_server()
        scene.servers.choose = lambda service, prompt, excluded, urgency: (
            None if excluded else scene.servers.find("i-0")
        )
        response = await scene.deliver(request=scene.make_request(2))
        assert response.body == b"done r2"
        assert scene.runs == 2
        assert scene.ends == [AttemptEnd.ANSWERED, AttemptEnd.ANSWERED]

    play(work)


async def answer_head_after_another(received, writer):
    """Send a late response head of an earlier request, then the actual one."""
    for request_id in ("other", received.id):
        headers = received.headers | {ATTEMPT_ID_HEADER: request_id}
        sent = received._replace(headers=headers)
        writer.write(make_head(sent, 200, {"Content-Length": "800"}))


def test_response_to_head_is_read_after_one_to_another_request(play):
    """Guards against waiting for a body after the head until the timeout."""

    async def work(scene):
        await scene.add_server(answer_head_after_another)
        request = scene.make_request()._replace(method="HEAD", body=b"")
        response = await scene.deliver(request=request)
        assert response.status == 200
        assert scene.ends == [AttemptEnd.ANSWERED]

    play(work)


@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("pause_s", [0.2, 0.6])
def test_response_before_a_pause_of_the_loop_is_not_too_late(play, is_stream, pause_s):
    """The timer of the request's time ran before the response was read."""

    async def answer_before_pause(received, writer):
        await asyncio.sleep(0.4)
        headers = {"Transfer-Encoding": "chunked"}
        if is_stream:
            headers["Content-Type"] = "text/event-stream"
        chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(EVENTS), EVENTS)
        writer.write(make_head(received, 200, headers) + chunks)
        time.sleep(pause_s)

    async def work(scene):
        await scene.add_server(answer_before_pause)
        request = scene.make_request(deadline=SECOND / 2)
        response = await scene.deliver(
            request=request,
            is_stream=is_stream,
            repeat=Repeat.RESUME if is_stream else Repeat.ALWAYS,
        )
        assert (response.is_done, response.body) == (True, EVENTS)

    play(work)


def test_server_busy_with_queued_prompts_is_not_timed_out(play):
    """Guards against retries of every prompt under load, which add to the load."""

    async def answer_late(received, writer):
        await asyncio.sleep(0.9)
        await stream(3)(received, writer)

    async def work(scene):
        for _ in range(2):
            server = await scene.add_server()
            server.default = answer_late
            load = ServerLoad(40, 50_000)
            scene.servers.record_peer_load("vm-2", server.name, load, ())
        prompt = PromptShape((PromptPart("a", 500),), 500, 20)
        request = scene.make_request(deadline=9 * SECOND)._replace(prompt=prompt)
        response = await scene.deliver(
            request=request,
            repeat=Repeat.RESUME,
            is_stream=True,
            timeout=9 * SECOND,
        )
        assert response.is_done
        assert scene.ends == [AttemptEnd.ANSWERED]

    play(work)


def test_connection_with_bytes_after_a_response_is_not_reused(play):
    async def work(scene):
        server = await scene.add_server(answer_with_extra)
        first = await scene.deliver()
        await asyncio.sleep(0.05)
        second = await scene.deliver(request=scene.make_request(2))
        assert (first.body, second.body) == (b"done r1", b"done r2")
        assert server.connections == 2

    play(work)


def test_response_without_a_length_ends_with_its_connection(play):
    async def work(scene):
        await scene.add_server(answer_unframed(is_clean=True))
        response = await scene.deliver()
        assert response.body == b"all of it"

    play(work)


def test_reset_response_without_a_length_is_incomplete(play):
    async def work(scene):
        await scene.add_server(answer_unframed(is_clean=False))
        await scene.deliver()

    play(expect_error(work, ErrorKind.OUTCOME_UNKNOWN))


def test_unresponsive_server_delays_no_request_past_its_timeout(play):
    async def work(scene):
        await scene.add_server(keep_silent)
        started = scene.clock.elapsed()
        try:
            await scene.deliver(timeout=timedelta(milliseconds=400))
        finally:
            took = scene.clock.elapsed() - started
            assert timedelta(milliseconds=300) < took < timedelta(milliseconds=800)

    play(expect_error(work, ErrorKind.DEADLINE_EXCEEDED))


def test_repeatable_request_leaves_an_unresponsive_server_early(play):
    async def work(scene):
        await scene.add_server(keep_silent)
        server = await scene.add_server(keep_silent)
        server.script.clear()
        await scene.deliver(repeat=Repeat.ALWAYS)
        assert scene.ends[-1] is AttemptEnd.ANSWERED

    play(work)


def test_cancelled_delivery_closes_its_connection_at_once(play):
    async def work(scene):
        server = await scene.add_server(keep_silent)
        task = asyncio.ensure_future(scene.deliver())
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.sleep(0.1)
        assert server.closed == 1
        assert scene.ends == [AttemptEnd.GIVEN_UP]

    play(work)


def test_stream_is_forwarded_completely(play):
    async def work(scene):
        await scene.add_server(stream(8))
        response = RecordedResponse()
        delivery = scene.make_delivery(response, is_stream=True)
        await delivery.run()
        assert (response.body, response.is_done) == (EVENTS, True)
        assert delivery.delivered_tokens == 40

    play(work)


@pytest.mark.parametrize("partial", [True, False])
def test_broken_stream_is_resumed_at_another_server(play, partial):
    async def resumed(scene):
        await scene.add_server(stream(8, cut_after=3, partial=partial))
        response = RecordedResponse()
        delivery = scene.make_delivery(
            response, repeat=Repeat.RESUME, is_stream=True, attempts=3
        )
        task = asyncio.ensure_future(delivery.run())
        await asyncio.sleep(0.02)
        await scene.add_server(stream(8))
        await task
        assert (response.body, response.is_done) == (EVENTS, True)
        last = scene.backends[-1].received[0].headers["last-event-id"]
        assert last == "3"

    play(resumed)


def test_stream_that_may_not_be_resumed_is_truncated(play):
    async def work(scene):
        await scene.add_server(stream(8, cut_after=3))
        await scene.add_server(stream(8))
        response = RecordedResponse()
        # Either server may be selected first, so both break the stream.
        scene.backends[1].script[:] = [stream(8, cut_after=3)]
        with pytest.raises(RequestError) as caught:
            await scene.make_delivery(response, is_stream=True).run()
        assert caught.value.kind is ErrorKind.ANSWER_TRUNCATED
        assert not response.is_done
        assert response.body == EVENTS[: len(response.body)]
        assert scene.runs == 1

    play(work)


def test_stalled_stream_is_resumed(play):
    async def work(scene):
        await scene.add_server(stream(3, pause_s=2.0))
        response = RecordedResponse()
        delivery = scene.make_delivery(
            response,
            request=scene.make_request(deadline=9 * SECOND),
            repeat=Repeat.RESUME,
            is_stream=True,
            timeout=9 * SECOND,
        )
        task = asyncio.ensure_future(delivery.run())
        await asyncio.sleep(0.3)
        await scene.add_server(stream(3))
        await task
        assert response.body == b"".join(make_event(n) for n in (1, 2, 3))
        assert scene.ends == [AttemptEnd.SILENT, AttemptEnd.ANSWERED]

    play(work)


def test_attempt_reports_what_was_read_of_a_stream(play):
    async def work(scene):
        await scene.add_server(stream(8, cut_after=3))
        response = RecordedResponse()
        delivery = scene.make_delivery(response, repeat=Repeat.RESUME, is_stream=True)
        task = asyncio.ensure_future(delivery.run())
        await asyncio.sleep(0.02)
        await scene.add_server(stream(8))
        await task
        broken, resumed = scene.notes
        assert broken.stream == StreamReport("", 3, 7, "text/event-stream")
        assert resumed.stream == StreamReport("3", 5, 0, "text/event-stream")

    play(work)


def test_unsent_attempt_reports_no_expected_time(play):
    async def work(scene):
        servers = [await scene.add_server() for _ in range(2)]

        async def fail(received, writer):
            for server in servers:
                await server.stop()
            await reset(received, writer)

        for server in servers:
            server.default = fail
        prompt = PromptShape((PromptPart("a1", 5000),), 5000, 10)
        request = scene.make_request()._replace(prompt=prompt)
        with pytest.raises(RequestError):
            await scene.deliver(request=request, repeat=Repeat.ALWAYS)
        assert scene.ends == [AttemptEnd.BROKEN, AttemptEnd.NOT_SENT]
        assert scene.notes[0].expected and not scene.notes[1].expected

    play(work)


def test_burst_of_requests_without_idle_connections_is_served(play):
    """All connections of a VM were reset, so that each request opens a new one."""

    async def work(scene):
        server = await scene.add_server()
        requests = [scene.make_request(number) for number in range(100)]
        responses = await asyncio.gather(*[scene.deliver(request=r) for r in requests])
        assert [response.status for response in responses] == [200] * 100
        assert len(server.received) == 100

    play(work)


def test_a_request_goes_to_the_server_of_its_place_unless_that_leaves(play):
    """The VM that grants places may not know yet that a server drains."""

    async def work(scene):
        servers = [await scene.add_server() for _ in range(3)]
        for number in range(12):
            request = scene.make_request(number)
            delivery = scene.make_delivery(RecordedResponse(), request)
            delivery.selection.placed = "i-2"
            await delivery.run()
        assert [len(server.received) for server in servers] == [0, 0, 12]
        scene.list_server(servers[2], is_leaving=True, sequence=9)
        delivery = scene.make_delivery(RecordedResponse(), scene.make_request(50))
        delivery.selection.placed = "i-2"
        await delivery.run()
        assert len(servers[2].received) == 12

    play(work)


def test_request_is_refused_as_not_run_while_no_descriptor_is_free(play, monkeypatch):
    """``EMFILE`` ended it as an internal error, and kept others from the servers."""

    async def work(scene):
        await scene.add_server()
        await scene.add_server()

        def fail(*_):
            raise OSError(errno.EMFILE, "Too many open files")

        with monkeypatch.context() as patch:
            patch.setattr(socket, "socket", fail)
            with pytest.raises(RequestError) as raised:
                await scene.deliver()
        assert raised.value.answer.ran is Ran.NO
        assert raised.value.answer.status == 503
        assert scene.runs == 0
        assert set(scene.ends) == {AttemptEnd.NOT_SENT}
        # The lack says nothing about the servers.
        now = scene.clock.elapsed()
        for backend in scene.backends:
            assert scene.servers.find(backend.name).avoided_until <= now
        answer = await scene.deliver()
        assert answer.status == 200

    play(work)
