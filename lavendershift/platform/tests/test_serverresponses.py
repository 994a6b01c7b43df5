"""Tests of streams that break at any byte and are resumed at other servers.

The caller gets only complete events, in order, and a response that ends as complete
only if it has all of them.
"""

import asyncio
import contextlib

import pytest

from lavendershift.attempts import AttemptEnd
from lavendershift.errors import RequestError
from lavendershift.platform.tests.conftest import SECOND, RecordedResponse
from lavendershift.routes import Repeat
from lavendershift_standins.platformserver import (
    ATTEMPT_ID_HEADER,
    answer_complete,
    answer_error,
    answer_misdirected,
    answer_not_run,
    keep_silent,
    make_event,
    make_head,
    reset,
    stream,
    write_chunk,
)

COUNT = 8
EVENTS = [make_event(number) for number in range(1, COUNT + 1)]
FULL_STREAM = b"".join(EVENTS)
PREFIXES = [b"".join(EVENTS[:number]) for number in range(COUNT + 1)]
EVENT_STREAM = "text/event-stream"
READ_DELAY_S = 0.03  # time to read a response's bytes, as a reset drops unread ones


def send(body, end, status=200, media_type=EVENT_STREAM, is_framed=True):
    """Send ``body``, then end the response with the behaviour ``end``."""

    async def write_response(received, writer):
        headers = {"Content-Type": media_type}
        if is_framed:
            headers["Transfer-Encoding"] = "chunked"
        writer.write(make_head(received, status, headers))
        if body and is_framed:
            write_chunk(writer, body)
        elif body:
            writer.write(body)
        await writer.drain()
        await asyncio.sleep(READ_DELAY_S)
        await end(received, writer)

    return write_response


async def end_cleanly(received, writer):
    writer.write(b"0\r\n\r\n")


async def close(received, writer):
    raise ConnectionError


async def send_bad_chunk(received, writer):
    writer.write(b"zz\r\nbad\r\n")


async def resume(received, writer):
    await stream(COUNT)(received, writer)


async def send_half_a_chunk_head(received, writer):
    writer.write(b"1")
    await keep_silent(received, writer)


async def resume_after_another_response(received, writer):
    other = received._replace(headers={ATTEMPT_ID_HEADER: "other"})
    await send(FULL_STREAM[: CUT_POSITIONS["half the data"]], end_cleanly)(
        other, writer
    )
    await resume(received, writer)


FAILURES = {
    "silent": (keep_silent, AttemptEnd.SILENT),
    "half a chunk head": (send_half_a_chunk_head, AttemptEnd.SILENT),
    "reset": (reset, AttemptEnd.BROKEN),
    "closed": (close, AttemptEnd.BROKEN),
    "bad chunk": (send_bad_chunk, AttemptEnd.BROKEN),
}
CUT_POSITIONS = {
    "nothing": 0,
    "complete events": len(PREFIXES[3]),
    "one byte more": len(PREFIXES[3]) + 1,
    "the id": len(PREFIXES[3]) + len(b"id: 4"),
    "the id line": len(PREFIXES[3]) + len(b"id: 4\n"),
    "half the data": len(PREFIXES[3]) + len(b"id: 4\ndata: pi"),
    "all but the end": len(PREFIXES[4]) - 1,
}
OTHER_RESPONSES = {
    "plain": send(b"done", end_cleanly, media_type="text/plain"),
    "json": send(b'{"done": 1}', end_cleanly, media_type="application/json"),
    "no media type": answer_complete,
    "events of another type": send(
        b"".join(EVENTS[3:]), end_cleanly, media_type="text/plain"
    ),
    "partial content": send(b"".join(EVENTS[3:]), end_cleanly, status=206),
    "from the start": send(FULL_STREAM, end_cleanly),
    "from the last event": send(b"".join(EVENTS[2:]), end_cleanly),
    "one event left out": send(b"".join(EVENTS[4:]), end_cleanly),
    "no ids": send(b"data: piece-4\n\n", end_cleanly),
    "other ids": send(b"id: x4\ndata: piece-4\n\n", end_cleanly),
}


async def deliver_with_responses(scene, behaviours, resumed_after=0, **options):
    """Deliver a request whose attempts get ``behaviours`` in this order.

    They don't depend on the servers selected. The caller already has the events up to
    ``resumed_after``.
    """
    turns = iter(behaviours)

    async def take_turn(received, writer):
        # Clients of other test processes may still call an earlier user of the port.
        if received.headers["x-lavendershift-expect-instance"] not in names:
            await answer_misdirected(received, writer)
            return
        await next(turns)(received, writer)

    names = {f"i-{number}" for number in range(len(behaviours))}
    for _ in behaviours:
        server = await scene.add_server()
        server.default = take_turn
    response = RecordedResponse()
    options = {"repeat": Repeat.RESUME, "attempts": len(behaviours)} | options
    request = scene.make_request(deadline=9 * SECOND)
    if resumed_after:
        request.headers["Last-Event-Id"] = str(resumed_after)
        request = request._replace(resumed_after=str(resumed_after))
    delivery = scene.make_delivery(
        response,
        request=request,
        is_stream=True,
        timeout=9 * SECOND,
        **options,
    )
    with contextlib.suppress(RequestError):
        await delivery.run()
    body = PREFIXES[resumed_after] + response.body
    assert body in PREFIXES, (
        "the caller got something other than complete events in order"
    )
    assert not response.is_done or body == FULL_STREAM, (
        "the response ends as complete but is not"
    )
    return response


@pytest.mark.parametrize("length", CUT_POSITIONS)
@pytest.mark.parametrize("end", FAILURES)
def test_bytes_of_a_failed_attempt_are_not_joined_to_the_next(play, end, length):
    """Guards against joined events in resumed streams.

    See docs/incidents/joined-streams.md.
    """

    async def work(scene):
        write_response, expected = FAILURES[end]
        first = send(FULL_STREAM[: CUT_POSITIONS[length]], write_response)
        response = await deliver_with_responses(scene, [first, resume])
        assert response.body == FULL_STREAM and response.is_done
        assert scene.ends == [expected, AttemptEnd.ANSWERED]
        resumed_after = [note.stream.resumed_after for note in scene.notes]
        read = max(n for n in range(COUNT) if len(PREFIXES[n]) <= CUT_POSITIONS[length])
        assert resumed_after == ["", str(read) if read else ""]

    play(work)


def test_bytes_of_two_unresponsive_servers_are_not_joined(play):
    async def work(scene):
        cuts = [len(PREFIXES[3]) + 8, len(EVENTS[0]) + 11]
        first = send(FULL_STREAM[: cuts[0]], keep_silent)
        second = send(b"".join(EVENTS[3:])[: cuts[1]], keep_silent)
        response = await deliver_with_responses(scene, [first, second, resume])
        assert response.body == FULL_STREAM and response.is_done
        assert scene.ends == [AttemptEnd.SILENT, AttemptEnd.SILENT, AttemptEnd.ANSWERED]

    play(work)


@pytest.mark.parametrize("is_framed", [True, False])
@pytest.mark.parametrize("length", list(CUT_POSITIONS)[2:])
def test_response_that_ends_within_an_event_is_incomplete(play, length, is_framed):
    end = end_cleanly if is_framed else close

    async def work(scene):
        first = send(FULL_STREAM[: CUT_POSITIONS[length]], end, is_framed=is_framed)
        response = await deliver_with_responses(scene, [first, resume])
        assert response.body == FULL_STREAM and response.is_done
        assert scene.ends[-1] is AttemptEnd.ANSWERED and len(scene.ends) == 2

    play(work)


@pytest.mark.parametrize("length", list(CUT_POSITIONS)[2:])
def test_response_that_ends_within_an_event_is_truncated_if_not_resumable(play, length):
    async def work(scene):
        first = send(FULL_STREAM[: CUT_POSITIONS[length]], end_cleanly)
        response = await deliver_with_responses(
            scene, [first, resume], repeat=Repeat.NEVER
        )
        assert response.body == PREFIXES[3] and not response.is_done
        assert scene.runs == 1

    play(work)


@pytest.mark.parametrize("other", OTHER_RESPONSES)
def test_response_that_does_not_continue_the_stream_is_not_joined(play, other):
    async def work(scene):
        first = send(FULL_STREAM[: CUT_POSITIONS["half the data"]], reset)
        response = await deliver_with_responses(scene, [first, OTHER_RESPONSES[other]])
        assert response.body == PREFIXES[3] and not response.is_done

    play(work)


@pytest.mark.parametrize("other", OTHER_RESPONSES)
def test_stream_resumes_after_a_response_that_does_not_continue_it(play, other):
    async def work(scene):
        first = send(FULL_STREAM[: CUT_POSITIONS["half the data"]], reset)
        response = await deliver_with_responses(
            scene, [first, OTHER_RESPONSES[other], resume]
        )
        assert response.body == FULL_STREAM and response.is_done

    play(work)


@pytest.mark.parametrize("other", ["from the start", "from the last event", "no ids"])
def test_events_not_following_the_callers_last_one_are_not_forwarded(play, other):
    async def work(scene):
        behaviours = [OTHER_RESPONSES[other], resume]
        response = await deliver_with_responses(scene, behaviours, resumed_after=3)
        assert response.body == b"".join(EVENTS[3:]) and response.is_done
        assert scene.ends == [AttemptEnd.OUT_OF_PLACE, AttemptEnd.ANSWERED]

    play(work)


def test_stream_resumed_by_the_caller_is_resumed_after_a_failure(play):
    async def work(scene):
        first = send(b"".join(EVENTS[3:6]) + b"id", reset)
        response = await deliver_with_responses(scene, [first, resume], resumed_after=3)
        assert response.body == b"".join(EVENTS[3:]) and response.is_done
        resumed_after = [note.stream.resumed_after for note in scene.notes]
        assert resumed_after == ["3", "6"]

    play(work)


def test_stream_after_an_id_that_is_no_number_is_forwarded_unchanged(play):
    async def work(scene):
        server = await scene.add_server()
        server.default = send(FULL_STREAM, end_cleanly)
        request = scene.make_request()._replace(resumed_after="page-3")
        response = await scene.deliver(
            request=request, repeat=Repeat.RESUME, is_stream=True
        )
        assert response.body == FULL_STREAM and response.is_done

    play(work)


def test_stream_resumes_after_a_truncated_response_to_another_request(play):
    async def work(scene):
        first = send(FULL_STREAM[: CUT_POSITIONS["half the data"]], reset)
        response = await deliver_with_responses(
            scene, [first, resume_after_another_response]
        )
        assert response.body == FULL_STREAM and response.is_done
        assert scene.ends == [AttemptEnd.BROKEN, AttemptEnd.ANSWERED]

    play(work)


@pytest.mark.parametrize("failure", [answer_error, answer_not_run])
def test_stream_resumes_after_a_failure_of_its_second_server(play, failure):
    async def work(scene):
        first = send(FULL_STREAM[: CUT_POSITIONS["half the data"]], reset)
        response = await deliver_with_responses(scene, [first, failure, resume])
        assert response.body == FULL_STREAM and response.is_done
        assert scene.ends[1] in (AttemptEnd.SERVER_ERROR, AttemptEnd.NOT_RUN)

    play(work)


@pytest.mark.parametrize("other", ["plain", "json", "no media type"])
def test_response_of_another_type_is_forwarded_before_any_event(play, other):
    async def work(scene):
        server = await scene.add_server()
        server.default = OTHER_RESPONSES[other]
        response = await scene.deliver(repeat=Repeat.RESUME, is_stream=True)
        assert response.is_done and response.body in (
            b"done",
            b'{"done": 1}',
            b"done r1",
        )

    play(work)


def test_stream_without_ids_is_not_resumed(play):
    async def work(scene):
        first = send(b"data: a\n\ndata: b\n\n", reset)
        server = await scene.add_server()
        server.default = first
        second = await scene.add_server()
        second.default = first
        response = RecordedResponse()
        delivery = scene.make_delivery(response, repeat=Repeat.RESUME, is_stream=True)
        with pytest.raises(RequestError):
            await delivery.run()
        assert response.body == b"data: a\n\ndata: b\n\n" and not response.is_done
        assert scene.runs == 1

    play(work)


def test_stream_is_not_resumed_after_an_event_without_an_id(play):
    """The next server would repeat the event, as it continues after the last id."""
    body = FULL_STREAM[: len(PREFIXES[3])] + b"data: more\n\n"

    async def work(scene):
        for _ in range(2):
            server = await scene.add_server()
            server.default = send(body, reset)
        response = RecordedResponse()
        delivery = scene.make_delivery(response, repeat=Repeat.RESUME, is_stream=True)
        with pytest.raises(RequestError):
            await delivery.run()
        assert response.body == body
        assert scene.runs == 1

    play(work)


def test_stream_with_gaps_between_ids_is_resumed(play):
    """Ids increase, but need not be consecutive."""
    events = [b"id: %d\ndata: x\n\n" % number for number in (5, 10, 12, 20)]

    async def work(scene):
        turns = iter(
            [send(b"".join(events[:2]), reset), send(b"".join(events[2:]), end_cleanly)]
        )

        async def take_turn(received, writer):
            await next(turns)(received, writer)

        for _ in range(2):
            server = await scene.add_server()
            server.default = take_turn
        response = await scene.deliver(repeat=Repeat.RESUME, is_stream=True)
        assert response.body == b"".join(events) and response.is_done

    play(work)


@pytest.mark.parametrize("body", [b"overloaded\n\n", b'{"error": 1}\n\n', b"id: 1\n\n"])
def test_blocks_without_data_are_not_accepted_as_continuation(play, body):
    async def work(scene):
        first = send(FULL_STREAM[: CUT_POSITIONS["half the data"]], reset)
        response = await deliver_with_responses(scene, [first, send(body, end_cleanly)])
        assert response.body == PREFIXES[3] and not response.is_done

    play(work)


def test_stream_is_not_appended_to_a_block_that_is_no_event(play):
    async def work(scene):
        turns = iter([send(b"overloaded\n\n", reset), resume])

        async def take_turn(received, writer):
            await next(turns)(received, writer)

        for _ in range(2):
            server = await scene.add_server()
            server.default = take_turn
        response = RecordedResponse()
        delivery = scene.make_delivery(response, repeat=Repeat.RESUME, is_stream=True)
        with contextlib.suppress(RequestError):
            await delivery.run()
        assert response.body in (b"", b"overloaded\n\n", FULL_STREAM)

    play(work)


@pytest.mark.parametrize("broken_by", [reset, end_cleanly, keep_silent])
@pytest.mark.parametrize("is_framed", [True, False])
def test_stream_is_incomplete_without_the_event_that_had_begun(
    play, is_framed, broken_by
):
    end = end_cleanly if is_framed else close

    async def work(scene):
        first = send(FULL_STREAM[: CUT_POSITIONS["half the data"]], broken_by)
        nothing = send(b"", end, is_framed=is_framed)
        await deliver_with_responses(scene, [first, nothing])
        assert scene.runs == 2

    play(work)


def test_callers_unknown_last_event_is_no_failure_of_the_servers(play):
    async def work(scene):
        failed = []
        scene.servers.note_failure = failed.append
        from_the_start = OTHER_RESPONSES["from the start"]
        await deliver_with_responses(scene, [from_the_start] * 2, resumed_after=COUNT)
        assert not failed

    play(work)


def test_slow_plain_response_is_not_timed_out(play):
    async def trickle(received, writer):
        headers = {"Content-Type": "text/plain", "Transfer-Encoding": "chunked"}
        writer.write(make_head(received, 200, headers))
        for _ in range(14):
            write_chunk(writer, b"part")
            await asyncio.sleep(0.1)
        writer.write(b"0\r\n\r\n")

    async def work(scene):
        for _ in range(2):
            server = await scene.add_server()
            server.default = trickle
        request = scene.make_request(deadline=9 * SECOND)
        options = {"repeat": Repeat.RESUME, "is_stream": True, "timeout": 9 * SECOND}
        response = await scene.deliver(request=request, **options)
        assert response.body == b"part" * 14
        assert scene.ends == [AttemptEnd.ANSWERED]

    play(work)


class SlowCaller(RecordedResponse):
    """A caller that reads each chunk slowly."""

    async def write(self, chunk):
        await super().write(chunk)
        await asyncio.sleep(1.2)


def test_server_is_not_timed_out_while_its_caller_is_slow(play):
    async def work(scene):
        for _ in range(2):
            server = await scene.add_server()
            server.default = resume
        response = SlowCaller()
        delivery = scene.make_delivery(
            response,
            request=scene.make_request(deadline=9 * SECOND),
            repeat=Repeat.RESUME,
            is_stream=True,
            timeout=9 * SECOND,
        )
        await delivery.run()
        assert response.body == FULL_STREAM and response.is_done
        assert scene.ends == [AttemptEnd.ANSWERED]

    play(work)


BROKEN_STREAM = send(FULL_STREAM[: CUT_POSITIONS["half the data"]], reset)
REFUSED_RESPONSES = {
    "inside an event": ([send(FULL_STREAM[:70], end_cleanly)], AttemptEnd.INSIDE_EVENT),
    "other kind": ([BROKEN_STREAM, OTHER_RESPONSES["plain"]], AttemptEnd.OTHER_KIND),
    "out of place": (
        [BROKEN_STREAM, OTHER_RESPONSES["from the start"]],
        AttemptEnd.OUT_OF_PLACE,
    ),
}


@pytest.mark.parametrize("refused", REFUSED_RESPONSES)
def test_refused_response_is_a_failure_and_closes_the_connection(play, refused):
    behaviours, end = REFUSED_RESPONSES[refused]

    async def work(scene):
        failed = []
        scene.servers.note_failure = failed.append
        await deliver_with_responses(scene, [*behaviours, resume])
        assert scene.ends[-2:] == [end, AttemptEnd.ANSWERED]
        assert len(failed) == len(behaviours)
        addresses = [server.entry.address for server in failed]
        assert not any(scene.connections.take(address) for address in addresses)

    play(work)


@pytest.mark.parametrize(
    ("other", "end"),
    [
        (send(FULL_STREAM, keep_silent), AttemptEnd.OUT_OF_PLACE),
        (send(b"done", keep_silent, media_type="text/plain"), AttemptEnd.OTHER_KIND),
    ],
)
def test_refused_response_is_abandoned_at_once(play, other, end):
    async def work(scene):
        response = await deliver_with_responses(scene, [BROKEN_STREAM, other, resume])
        assert response.body == FULL_STREAM and response.is_done
        assert scene.ends == [AttemptEnd.BROKEN, end, AttemptEnd.ANSWERED]

    play(work)


def test_stream_that_may_not_be_resumed_is_forwarded_unchanged(play):
    async def work(scene):
        server = await scene.add_server()
        server.default = send(FULL_STREAM, end_cleanly)
        request = scene.make_request()._replace(resumed_after="3")
        response = await scene.deliver(request=request, is_stream=True)
        assert response.body == FULL_STREAM and response.is_done

    play(work)


def test_events_received_by_the_caller_before_are_not_billed(play):
    async def work(scene):
        server = await scene.add_server()
        server.default = resume
        request = scene.make_request()
        request.headers["Last-Event-Id"] = "3"
        request = request._replace(resumed_after="3")
        delivery = scene.make_delivery(
            RecordedResponse(), request=request, repeat=Repeat.RESUME, is_stream=True
        )
        await delivery.run()
        assert delivery.delivered_tokens == (COUNT - 3) * 5

    play(work)


def test_later_events_of_a_refused_response_are_ignored(play):
    async def from_the_start(received, writer):
        headers = {"Content-Type": EVENT_STREAM, "Transfer-Encoding": "chunked"}
        writer.write(make_head(received, 200, headers))
        for event in EVENTS:
            write_chunk(writer, event)
        await keep_silent(received, writer)

    async def work(scene):
        response = await deliver_with_responses(
            scene, [BROKEN_STREAM, from_the_start, resume]
        )
        assert response.body == FULL_STREAM and response.is_done
        assert scene.ends == [
            AttemptEnd.BROKEN,
            AttemptEnd.OUT_OF_PLACE,
            AttemptEnd.ANSWERED,
        ]
        assert [note.stream.events for note in scene.notes] == [3, 0, COUNT - 3]

    play(work)


@pytest.mark.parametrize(
    "media_type", [f"{EVENT_STREAM}; charset=utf-8", "Text/Event-Stream"]
)
def test_event_stream_media_type_ignores_case_and_parameters(play, media_type):
    async def work(scene):
        continuation = send(b"".join(EVENTS[3:]), end_cleanly, media_type=media_type)
        response = await deliver_with_responses(scene, [BROKEN_STREAM, continuation])
        assert response.body == FULL_STREAM and response.is_done

    play(work)
