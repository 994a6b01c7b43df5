"""Tests of sound servers that fall silent for a second and go on.

An attempt in hand is given up only for one that goes on in its place.
"""

import asyncio

import pytest

from lavendershift.attempts import AttemptEnd
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.platform.tests.conftest import SECOND, RecordedResponse
from lavendershift.routes import Repeat
from lavendershift_standins.platformserver import (
    answer_complete,
    answer_error,
    answer_not_run,
    keep_silent,
    make_event,
    make_head,
    reset,
    stream,
    write_chunk,
)

COUNT = 8
SILENCE_S = 1.3
EVENTS = [make_event(number) for number in range(1, COUNT + 1)]
FULL_STREAM = b"".join(EVENTS)
BODY = b"x" * 400
STREAM_HEADERS = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}


def pause_stream(events, partial=0, silence_s=SILENCE_S, has_head=True):
    """Send ``events`` and ``partial`` bytes more, fall silent, and send the rest."""

    async def behave(received, writer):
        first = int(received.headers.get("last-event-id", "0"))
        data = b"".join(EVENTS[first:])
        sent = len(b"".join(EVENTS[first : first + events])) + partial
        if has_head:
            writer.write(make_head(received, 200, STREAM_HEADERS))
            if sent:
                write_chunk(writer, data[:sent])
            await writer.drain()
        await asyncio.sleep(silence_s)
        if not has_head:
            writer.write(make_head(received, 200, STREAM_HEADERS))
        if data[sent:]:
            write_chunk(writer, data[sent:])
        writer.write(b"0\r\n\r\n")

    return behave


def pause_body(sent, has_head=True, silence_s=SILENCE_S):
    """Send a part of a plain body, fall silent, and send the rest."""

    async def behave(received, writer):
        head = make_head(received, 200, {"Content-Length": str(len(BODY))})
        if has_head:
            writer.write(head + BODY[:sent])
            await writer.drain()
        await asyncio.sleep(silence_s)
        writer.write(BODY[sent:] if has_head else head + BODY)

    return behave


STREAMS = {
    "before the head": pause_stream(0, has_head=False),
    "after the head": pause_stream(0),
    "after some events": pause_stream(3),
    "within an event": pause_stream(3, partial=9),
    "before the end": pause_stream(COUNT),
}
BODIES = {
    "before the head": pause_body(0, has_head=False),
    "after the head": pause_body(0),
    "in the body": pause_body(200),
    "before the last byte": pause_body(len(BODY) - 1),
}
OTHER_SERVERS = {
    "refuses": answer_not_run,
    "fails": answer_error,
    "resets": reset,
    "is silent for good": keep_silent,
}


class Caller(RecordedResponse):
    """Records when each chunk arrives."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.get_running_loop()
        self.arrivals = []

    async def write(self, chunk):
        self.arrivals.append(self.loop.time())
        await super().write(chunk)


def make_delivery(scene, caller, is_stream, repeat=None, attempts=2, deadline=6):
    return scene.make_delivery(
        caller,
        request=scene.make_request(deadline=deadline * SECOND),
        repeat=repeat or (Repeat.RESUME if is_stream else Repeat.ALWAYS),
        attempts=attempts,
        is_stream=is_stream,
        timeout=deadline * SECOND,
    )


async def deliver(scene, is_stream, **options):
    caller = Caller()
    await make_delivery(scene, caller, is_stream, **options).run()
    assert caller.is_done
    assert caller.body == (FULL_STREAM if is_stream else BODY)
    return caller


async def add_servers(scene, *behaviours):
    """Add servers, of which the attempts get ``behaviours`` in this order."""
    turns = iter(behaviours)

    async def take_turn(received, writer):
        await next(turns)(received, writer)

    for _ in behaviours:
        server = await scene.add_server()
        server.default = take_turn


@pytest.mark.parametrize("moment", STREAMS)
def test_stream_of_the_only_server_survives_its_silence(play, moment):
    async def work(scene):
        await add_servers(scene, STREAMS[moment])
        await deliver(scene, is_stream=True)
        assert scene.runs == 1

    play(work)


@pytest.mark.parametrize("moment", BODIES)
def test_response_of_the_only_server_survives_its_silence(play, moment):
    async def work(scene):
        await add_servers(scene, BODIES[moment])
        await deliver(scene, is_stream=False)
        assert scene.runs == 1

    play(work)


@pytest.mark.parametrize("is_stream", [True, False])
def test_silent_attempt_goes_on_without_a_retry_budget(play, is_stream):
    async def work(scene):
        scene.retries = 0
        first = STREAMS["after some events"] if is_stream else BODIES["in the body"]
        await add_servers(scene, first, answer_complete)
        await deliver(scene, is_stream)
        assert scene.runs == 1

    play(work)


@pytest.mark.parametrize("other", OTHER_SERVERS)
@pytest.mark.parametrize("is_stream", [True, False])
def test_silent_attempt_goes_on_if_the_other_server_does_not(play, is_stream, other):
    async def work(scene):
        first = STREAMS["after some events"] if is_stream else BODIES["in the body"]
        await add_servers(scene, first, OTHER_SERVERS[other])
        await deliver(scene, is_stream, attempts=3)

    play(work)


@pytest.mark.parametrize("is_stream", [True, False])
def test_silent_attempt_goes_on_if_no_other_server_can_be_reached(play, is_stream):
    async def work(scene):
        first = STREAMS["after some events"] if is_stream else BODIES["in the body"]
        server = await scene.add_server()
        server.default = first
        request_sent = asyncio.ensure_future(deliver(scene, is_stream))
        await asyncio.sleep(0.1)
        gone = await scene.add_server()
        await gone.stop()
        await request_sent

    play(work)


def test_silent_request_is_sent_to_a_server_that_can_be_reached_later(play):
    async def work(scene):
        first = await scene.add_server()
        first.default = keep_silent
        task = asyncio.ensure_future(deliver(scene, is_stream=True))
        await asyncio.sleep(0.1)
        second = await scene.add_server()
        second.default = stream(COUNT)
        await second.stop()
        await asyncio.sleep(0.6)
        assert AttemptEnd.NOT_SENT in scene.ends
        await second.start(second.port)
        await task
        assert scene.ends[-1] is AttemptEnd.ANSWERED

    play(work)


@pytest.mark.parametrize("moment", STREAMS)
def test_streams_of_two_servers_silent_at_once_are_not_joined(play, moment):
    async def work(scene):
        await add_servers(scene, STREAMS[moment], STREAMS[moment])
        await deliver(scene, is_stream=True)

    play(work)


def test_silent_attempt_is_cancelled_once_the_next_one_goes_on(play):
    async def work(scene):
        first = await scene.add_server()
        first.default = pause_stream(3, silence_s=3.0)
        task = asyncio.ensure_future(deliver(scene, is_stream=True))
        await asyncio.sleep(0.1)
        second = await scene.add_server()
        second.default = stream(COUNT, pause_s=0.2)
        caller = await task
        assert scene.ends == [AttemptEnd.SILENT, AttemptEnd.ANSWERED]
        assert caller.arrivals[1] - caller.arrivals[0] < 1.5
        assert first.closed == 1
        assert [r.headers.get("last-event-id") for r in second.received] == ["3"]

    play(work)


@pytest.mark.parametrize("events_s", [0.2, 0.6, 1.0])
def test_stream_that_goes_on_elsewhere_is_not_worked_on_twice(play, events_s):
    async def work(scene):
        goes_on = asyncio.Event()

        async def send_head_first(received, writer):
            writer.write(make_head(received, 200, STREAM_HEADERS))
            await asyncio.sleep(events_s)
            first = int(received.headers.get("last-event-id", "0"))
            goes_on.set()
            write_chunk(writer, EVENTS[first])
            await asyncio.sleep(0.6)
            write_chunk(writer, b"".join(EVENTS[first + 1 :]))
            writer.write(b"0\r\n\r\n")

        first = await scene.add_server()
        first.default = pause_stream(3, silence_s=4.0)
        task = asyncio.ensure_future(deliver(scene, is_stream=True))
        await asyncio.sleep(0.1)
        second = await scene.add_server()
        second.default = send_head_first
        await goes_on.wait()
        assert first.closed == 0
        await asyncio.sleep(0.2)
        assert first.closed == 1
        await task

    play(work)


def send_head(then):
    """Send the head of a stream at once, and go on as ``then``."""

    async def behave(received, writer):
        writer.write(make_head(received, 200, STREAM_HEADERS))
        await writer.drain()
        await then(received, writer)

    return behave


async def queue(received, writer):
    await asyncio.sleep(2.0)
    first = int(received.headers.get("last-event-id", "0"))
    write_chunk(writer, b"".join(EVENTS[first:]))
    writer.write(b"0\r\n\r\n")


async def break_off(received, writer):
    await asyncio.sleep(0.6)
    await reset(received, writer)


@pytest.mark.parametrize("then", [queue, keep_silent, break_off])
@pytest.mark.parametrize("moment", STREAMS)
def test_silent_stream_is_not_given_up_for_the_head_of_another(play, moment, then):
    async def work(scene):
        await add_servers(scene, STREAMS[moment], send_head(then))
        started = scene.clock.elapsed()
        await deliver(scene, is_stream=True, attempts=2)
        assert scene.runs == 2
        assert scene.clock.elapsed() - started < 2 * SECOND

    play(work)


def test_silent_stream_is_kept_while_the_next_server_has_not_begun(play):
    async def work(scene):
        first = await scene.add_server()
        first.default = pause_stream(3, silence_s=2.0)
        task = asyncio.ensure_future(deliver(scene, is_stream=True))
        await asyncio.sleep(0.1)
        second = await scene.add_server()
        second.default = keep_silent
        await task
        await asyncio.sleep(0.05)
        assert first.closed == 0 and second.closed == 1

    play(work)


def test_next_attempt_is_cancelled_once_the_silent_one_goes_on(play):
    async def work(scene):
        first = await scene.add_server()
        first.default = pause_stream(3, silence_s=1.0)
        task = asyncio.ensure_future(deliver(scene, is_stream=True))
        await asyncio.sleep(0.1)
        second = await scene.add_server()
        second.default = keep_silent
        await task
        await asyncio.sleep(0.05)
        assert scene.ends == [AttemptEnd.REPLACED, AttemptEnd.ANSWERED]
        assert second.closed == 1

    play(work)


def test_stream_resumed_beside_a_partial_event_does_not_end_without_it(play):
    async def end_at_once(received, writer):
        writer.write(make_head(received, 200, STREAM_HEADERS) + b"0\r\n\r\n")

    async def send_part_late(received, writer):
        writer.write(make_head(received, 200, STREAM_HEADERS))
        write_chunk(writer, b"".join(EVENTS[:3]))
        await asyncio.sleep(1.0)
        write_chunk(writer, EVENTS[3][:9])
        await keep_silent(received, writer)

    async def end_later(received, writer):
        await asyncio.sleep(0.4)
        await end_at_once(received, writer)

    async def work(scene):
        await add_servers(scene, send_part_late, end_later)
        caller = Caller()
        with pytest.raises(RequestError):
            await make_delivery(scene, caller, is_stream=True, deadline=2).run()
        assert caller.body == b"".join(EVENTS[:3]) and not caller.is_done

    play(work)


@pytest.mark.parametrize("is_stream", [True, False])
def test_request_that_may_run_once_is_not_sent_beside_a_silent_attempt(play, is_stream):
    async def work(scene):
        first = STREAMS["after some events"] if is_stream else BODIES["in the body"]
        await add_servers(scene, first, answer_complete)
        await deliver(scene, is_stream, repeat=Repeat.NEVER, attempts=3)
        assert scene.runs == 1

    play(work)


def test_break_at_the_moment_of_a_silence_sends_no_second_request(play):
    async def work(scene):
        await add_servers(scene, reset, answer_complete)
        delivery = make_delivery(scene, Caller(), False, repeat=Repeat.NEVER)
        scene.on_report = lambda: delivery.note_silence(None)
        with pytest.raises(RequestError) as caught:
            await delivery.run()
        assert caught.value.kind is ErrorKind.OUTCOME_UNKNOWN
        assert scene.runs == 1

    play(work)


def test_attempts_beside_each_other_keep_to_the_route_s_number(play):
    async def work(scene):
        await add_servers(scene, *[keep_silent] * 4)
        delivery = make_delivery(
            scene, Caller(), is_stream=True, attempts=2, deadline=4
        )
        with pytest.raises(RequestError) as caught:
            await delivery.run()
        assert caught.value.kind is ErrorKind.DEADLINE_EXCEEDED
        assert scene.runs == 2

    play(work)


def test_stream_with_a_byte_now_and_then_ends_at_its_deadline(play):
    async def trickle(received, writer):
        writer.write(make_head(received, 200, STREAM_HEADERS))
        write_chunk(writer, EVENTS[0])
        while True:
            write_chunk(writer, b":")
            await asyncio.sleep(0.2)

    async def work(scene):
        await add_servers(scene, trickle)
        with pytest.raises(RequestError):
            await make_delivery(scene, Caller(), is_stream=True, deadline=2).run()

    play(work)


def test_server_that_was_silent_once_keeps_its_connections_and_requests(play):
    async def work(scene):
        failed, slow = [], []
        scene.servers.note_failure = failed.append
        scene.servers.record_latency = slow.append
        server = await scene.add_server()
        server.script += [answer_complete, pause_body(0, has_head=False)]
        for number in (1, 2, 3):
            response = RecordedResponse()
            await scene.make_delivery(
                response,
                request=scene.make_request(number, deadline=4 * SECOND),
                repeat=Repeat.ALWAYS,
                timeout=4 * SECOND,
            ).run()
            assert response.is_done
        assert server.connections == 1
        assert not failed and len(slow) == 2
        assert scene.ends == [AttemptEnd.ANSWERED] * 3

    play(work)


def test_server_is_silent_while_a_response_is_and_then_heard_again(play):
    async def work(scene):
        changes = []
        scene.servers.on_silence = lambda entry, is_silent: changes.append(is_silent)
        await add_servers(scene, STREAMS["after some events"])
        await deliver(scene, is_stream=True)
        assert changes == [True, False]

    play(work)


def test_connections_from_before_a_silence_are_not_used_if_only_new_ones_go_on(play):
    async def work(scene):
        server = await scene.add_server()
        both = [scene.deliver(request=scene.make_request(n)) for n in (1, 2)]
        await asyncio.gather(*both)
        assert server.connections == 2
        server.script += [keep_silent, keep_silent]
        task = asyncio.ensure_future(
            scene.deliver(request=scene.make_request(3), repeat=Repeat.ALWAYS)
        )
        await asyncio.sleep(0.5)
        task.cancel()
        server.script.clear()
        await scene.deliver(request=scene.make_request(4))
        await asyncio.sleep(0.05)
        assert server.connections == 3 and server.closed == 2

    play(work)


def test_server_that_stays_silent_is_left_by_the_next_requests(play):
    async def work(scene):
        first = await scene.add_server()
        first.default = keep_silent
        await add_servers(scene, *[stream(COUNT)] * 20)
        for number in range(1, 16):
            caller = Caller()
            request = scene.make_request(number, deadline=4 * SECOND)
            delivery = scene.make_delivery(
                caller,
                request=request,
                repeat=Repeat.RESUME,
                is_stream=True,
                timeout=4 * SECOND,
            )
            await delivery.run()
            assert caller.body == FULL_STREAM
        assert len(first.received) <= 2

    play(work)
