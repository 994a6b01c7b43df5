"""How an attempt at a stream ends, against what was read of it before.

The caller gets whole events only, in order, and an answer that ends as complete
only if it has all of them.
"""

import asyncio
import contextlib

import pytest

from lavendershift.attempts import AttemptEnd
from lavendershift.errors import RequestError
from lavendershift.platform.tests.conftest import SECOND, Answer
from lavendershift.routes import Repeat
from lavendershift_standins.platformserver import (
    REQUEST_ID,
    answer_error,
    answer_not_run,
    answer_whole,
    keep_silent,
    make_event,
    make_head,
    reset,
    stream,
    write_chunk,
)

COUNT = 8
EVENTS = [make_event(number) for number in range(1, COUNT + 1)]
WHOLE = b"".join(EVENTS)
PREFIXES = [b"".join(EVENTS[:number]) for number in range(COUNT + 1)]
EVENT_STREAM = "text/event-stream"
READ_S = 0.03  # in which an answer's bytes are read, as a reset drops unread ones


def send(body, end, status=200, media_type=EVENT_STREAM, is_framed=True):
    """Answer with ``body``, ended by the behaviour ``end``."""

    async def behave(received, writer):
        headers = {"Content-Type": media_type}
        if is_framed:
            headers["Transfer-Encoding"] = "chunked"
        writer.write(make_head(received, status, headers))
        if body and is_framed:
            write_chunk(writer, body)
        elif body:
            writer.write(body)
        await writer.drain()
        await asyncio.sleep(READ_S)
        await end(received, writer)

    return behave


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


async def resume_after_another_answer(received, writer):
    other = received._replace(headers={REQUEST_ID: "other"})
    await send(WHOLE[: LENGTHS["half the data"]], end_cleanly)(other, writer)
    await resume(received, writer)


ENDS = {
    "silent": (keep_silent, AttemptEnd.SILENT),
    "half a chunk head": (send_half_a_chunk_head, AttemptEnd.SILENT),
    "reset": (reset, AttemptEnd.BROKEN),
    "closed": (close, AttemptEnd.BROKEN),
    "bad chunk": (send_bad_chunk, AttemptEnd.BROKEN),
}
LENGTHS = {
    "nothing": 0,
    "whole events": len(PREFIXES[3]),
    "one byte more": len(PREFIXES[3]) + 1,
    "the id": len(PREFIXES[3]) + len(b"id: 4"),
    "the id line": len(PREFIXES[3]) + len(b"id: 4\n"),
    "half the data": len(PREFIXES[3]) + len(b"id: 4\ndata: pi"),
    "all but the end": len(PREFIXES[4]) - 1,
}
OTHERS = {
    "plain": send(b"done", end_cleanly, media_type="text/plain"),
    "json": send(b'{"done": 1}', end_cleanly, media_type="application/json"),
    "no media type": answer_whole,
    "events of another type": send(
        b"".join(EVENTS[3:]), end_cleanly, media_type="text/plain"
    ),
    "partial content": send(b"".join(EVENTS[3:]), end_cleanly, status=206),
    "from the start": send(WHOLE, end_cleanly),
    "from the last event": send(b"".join(EVENTS[2:]), end_cleanly),
    "one event left out": send(b"".join(EVENTS[4:]), end_cleanly),
    "no ids": send(b"data: piece-4\n\n", end_cleanly),
    "other ids": send(b"id: x4\ndata: piece-4\n\n", end_cleanly),
}


async def deliver_in_turn(scene, behaviours, resumed_after=0, **options):
    """Deliver a request that meets ``behaviours`` in turn, wherever it goes.

    Its caller has the events up to ``resumed_after``.
    """
    turns = iter(behaviours)

    async def take_turn(received, writer):
        await next(turns)(received, writer)

    for _ in behaviours:
        server = await scene.add_server()
        server.default = take_turn
    answer = Answer()
    options = {"repeat": Repeat.RESUME, "attempts": len(behaviours)} | options
    request = scene.make_request(deadline=9 * SECOND)
    if resumed_after:
        request.headers["Last-Event-Id"] = str(resumed_after)
        request = request._replace(resumed_after=str(resumed_after))
    delivery = scene.make_delivery(
        answer,
        request=request,
        is_stream=True,
        timeout=9 * SECOND,
        **options,
    )
    with contextlib.suppress(RequestError):
        await delivery.run()
    body = PREFIXES[resumed_after] + answer.body
    assert body in PREFIXES, "the caller got more than whole events in order"
    assert not answer.is_done or body == WHOLE, "looks complete and is not"
    return answer


@pytest.mark.parametrize("length", LENGTHS)
@pytest.mark.parametrize("end", ENDS)
def test_bytes_of_an_ended_attempt_are_not_joined_to_the_next(play, end, length):
    """Joined events in resumed streams (docs/incidents/joined-streams.md)."""

    async def work(scene):
        behave, expected = ENDS[end]
        first = send(WHOLE[: LENGTHS[length]], behave)
        answer = await deliver_in_turn(scene, [first, resume])
        assert answer.body == WHOLE and answer.is_done
        assert scene.ends == [expected, AttemptEnd.ANSWERED]
        resumed_after = [note.stream.resumed_after for note in scene.notes]
        read = max(n for n in range(COUNT) if len(PREFIXES[n]) <= LENGTHS[length])
        assert resumed_after == ["", str(read) if read else ""]

    play(work)


def test_bytes_of_two_silent_servers_are_not_joined(play):
    async def work(scene):
        cuts = [len(PREFIXES[3]) + 8, len(EVENTS[0]) + 11]
        first = send(WHOLE[: cuts[0]], keep_silent)
        second = send(b"".join(EVENTS[3:])[: cuts[1]], keep_silent)
        answer = await deliver_in_turn(scene, [first, second, resume])
        assert answer.body == WHOLE and answer.is_done
        assert scene.ends == [AttemptEnd.SILENT, AttemptEnd.SILENT, AttemptEnd.ANSWERED]

    play(work)


@pytest.mark.parametrize("is_framed", [True, False])
@pytest.mark.parametrize("length", list(LENGTHS)[2:])
def test_an_answer_that_ends_inside_an_event_is_not_complete(play, length, is_framed):
    end = end_cleanly if is_framed else close

    async def work(scene):
        first = send(WHOLE[: LENGTHS[length]], end, is_framed=is_framed)
        answer = await deliver_in_turn(scene, [first, resume])
        assert answer.body == WHOLE and answer.is_done
        assert scene.ends[-1] is AttemptEnd.ANSWERED and len(scene.ends) == 2

    play(work)


@pytest.mark.parametrize("length", list(LENGTHS)[2:])
def test_an_answer_that_ends_inside_an_event_is_cut_where_it_may_not_be_resumed(
    play, length
):
    async def work(scene):
        first = send(WHOLE[: LENGTHS[length]], end_cleanly)
        answer = await deliver_in_turn(scene, [first, resume], repeat=Repeat.NEVER)
        assert answer.body == PREFIXES[3] and not answer.is_done
        assert scene.runs == 1

    play(work)


@pytest.mark.parametrize("other", OTHERS)
def test_an_answer_that_does_not_follow_is_not_joined(play, other):
    async def work(scene):
        first = send(WHOLE[: LENGTHS["half the data"]], reset)
        answer = await deliver_in_turn(scene, [first, OTHERS[other]])
        assert answer.body == PREFIXES[3] and not answer.is_done

    play(work)


@pytest.mark.parametrize("other", OTHERS)
def test_a_stream_goes_on_after_an_answer_that_does_not_follow(play, other):
    async def work(scene):
        first = send(WHOLE[: LENGTHS["half the data"]], reset)
        answer = await deliver_in_turn(scene, [first, OTHERS[other], resume])
        assert answer.body == WHOLE and answer.is_done

    play(work)


@pytest.mark.parametrize("other", ["from the start", "from the last event", "no ids"])
def test_what_does_not_follow_the_callers_last_event_is_not_handed_on(play, other):
    async def work(scene):
        behaviours = [OTHERS[other], resume]
        answer = await deliver_in_turn(scene, behaviours, resumed_after=3)
        assert answer.body == b"".join(EVENTS[3:]) and answer.is_done
        assert scene.ends == [AttemptEnd.OUT_OF_PLACE, AttemptEnd.ANSWERED]

    play(work)


def test_a_caller_resumes_and_the_server_breaks_off(play):
    async def work(scene):
        first = send(b"".join(EVENTS[3:6]) + b"id", reset)
        answer = await deliver_in_turn(scene, [first, resume], resumed_after=3)
        assert answer.body == b"".join(EVENTS[3:]) and answer.is_done
        resumed_after = [note.stream.resumed_after for note in scene.notes]
        assert resumed_after == ["3", "6"]

    play(work)


def test_what_follows_an_id_that_is_no_number_comes_unchanged(play):
    async def work(scene):
        server = await scene.add_server()
        server.default = send(WHOLE, end_cleanly)
        request = scene.make_request()._replace(resumed_after="page-3")
        answer = await scene.deliver(
            request=request, repeat=Repeat.RESUME, is_stream=True
        )
        assert answer.body == WHOLE and answer.is_done

    play(work)


def test_a_stream_goes_on_after_a_cut_answer_to_another_request(play):
    async def work(scene):
        first = send(WHOLE[: LENGTHS["half the data"]], reset)
        answer = await deliver_in_turn(scene, [first, resume_after_another_answer])
        assert answer.body == WHOLE and answer.is_done
        assert scene.ends == [AttemptEnd.BROKEN, AttemptEnd.ANSWERED]

    play(work)


@pytest.mark.parametrize("failure", [answer_error, answer_not_run])
def test_a_stream_goes_on_after_a_failure_of_its_second_server(play, failure):
    async def work(scene):
        first = send(WHOLE[: LENGTHS["half the data"]], reset)
        answer = await deliver_in_turn(scene, [first, failure, resume])
        assert answer.body == WHOLE and answer.is_done
        assert scene.ends[1] in (AttemptEnd.SERVER_ERROR, AttemptEnd.NOT_RUN)

    play(work)


@pytest.mark.parametrize("other", ["plain", "json", "no media type"])
def test_another_kind_of_answer_comes_unchanged_before_any_event(play, other):
    async def work(scene):
        server = await scene.add_server()
        server.default = OTHERS[other]
        answer = await scene.deliver(repeat=Repeat.RESUME, is_stream=True)
        assert answer.is_done and answer.body in (b"done", b'{"done": 1}', b"done r1")

    play(work)


def test_events_without_ids_are_not_resumed(play):
    async def work(scene):
        first = send(b"data: a\n\ndata: b\n\n", reset)
        server = await scene.add_server()
        server.default = first
        second = await scene.add_server()
        second.default = first
        answer = Answer()
        delivery = scene.make_delivery(answer, repeat=Repeat.RESUME, is_stream=True)
        with pytest.raises(RequestError):
            await delivery.run()
        assert answer.body == b"data: a\n\ndata: b\n\n" and not answer.is_done
        assert scene.runs == 1

    play(work)


def test_an_event_without_an_id_ends_what_can_be_resumed(play):
    """It would come twice: the next server goes on after the last id."""
    body = WHOLE[: len(PREFIXES[3])] + b"data: more\n\n"

    async def work(scene):
        for _ in range(2):
            server = await scene.add_server()
            server.default = send(body, reset)
        answer = Answer()
        delivery = scene.make_delivery(answer, repeat=Repeat.RESUME, is_stream=True)
        with pytest.raises(RequestError):
            await delivery.run()
        assert answer.body == body
        assert scene.runs == 1

    play(work)


def test_ids_with_steps_are_resumed(play):
    """Ids rise, but need not count the events."""
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
        answer = await scene.deliver(repeat=Repeat.RESUME, is_stream=True)
        assert answer.body == b"".join(events) and answer.is_done

    play(work)


@pytest.mark.parametrize("body", [b"overloaded\n\n", b'{"error": 1}\n\n', b"id: 1\n\n"])
def test_blocks_without_data_are_not_taken_as_the_rest(play, body):
    async def work(scene):
        first = send(WHOLE[: LENGTHS["half the data"]], reset)
        answer = await deliver_in_turn(scene, [first, send(body, end_cleanly)])
        assert answer.body == PREFIXES[3] and not answer.is_done

    play(work)


def test_a_stream_does_not_begin_behind_what_is_no_event(play):
    async def work(scene):
        turns = iter([send(b"overloaded\n\n", reset), resume])

        async def take_turn(received, writer):
            await next(turns)(received, writer)

        for _ in range(2):
            server = await scene.add_server()
            server.default = take_turn
        answer = Answer()
        delivery = scene.make_delivery(answer, repeat=Repeat.RESUME, is_stream=True)
        with contextlib.suppress(RequestError):
            await delivery.run()
        assert answer.body in (b"", b"overloaded\n\n", WHOLE)

    play(work)


@pytest.mark.parametrize("broken_by", [reset, end_cleanly, keep_silent])
@pytest.mark.parametrize("is_framed", [True, False])
def test_a_stream_is_not_complete_without_the_event_that_had_begun(
    play, is_framed, broken_by
):
    end = end_cleanly if is_framed else close

    async def work(scene):
        first = send(WHOLE[: LENGTHS["half the data"]], broken_by)
        nothing = send(b"", end, is_framed=is_framed)
        await deliver_in_turn(scene, [first, nothing])
        assert scene.runs == 2

    play(work)


def test_a_callers_unknown_last_event_is_no_failure_of_the_servers(play):
    async def work(scene):
        failed = []
        scene.servers.note_failure = failed.append
        from_the_start = OTHERS["from the start"]
        await deliver_in_turn(scene, [from_the_start] * 2, resumed_after=COUNT)
        assert not failed

    play(work)


def test_a_plain_answer_that_comes_slowly_is_not_silent(play):
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
        answer = await scene.deliver(request=request, **options)
        assert answer.body == b"part" * 14
        assert scene.ends == [AttemptEnd.ANSWERED]

    play(work)


class SlowAnswer(Answer):
    """A caller that takes each part late."""

    async def write(self, chunk):
        await super().write(chunk)
        await asyncio.sleep(1.2)


def test_a_server_is_not_silent_while_its_caller_is_slow(play):
    async def work(scene):
        for _ in range(2):
            server = await scene.add_server()
            server.default = resume
        answer = SlowAnswer()
        delivery = scene.make_delivery(
            answer,
            request=scene.make_request(deadline=9 * SECOND),
            repeat=Repeat.RESUME,
            is_stream=True,
            timeout=9 * SECOND,
        )
        await delivery.run()
        assert answer.body == WHOLE and answer.is_done
        assert scene.ends == [AttemptEnd.ANSWERED]

    play(work)


FIRST = send(WHOLE[: LENGTHS["half the data"]], reset)
REFUSED = {
    "inside an event": ([send(WHOLE[:70], end_cleanly)], AttemptEnd.INSIDE_EVENT),
    "other kind": ([FIRST, OTHERS["plain"]], AttemptEnd.OTHER_KIND),
    "out of place": ([FIRST, OTHERS["from the start"]], AttemptEnd.OUT_OF_PLACE),
}


@pytest.mark.parametrize("refused", REFUSED)
def test_a_server_whose_answer_is_not_taken_fails_and_its_connection_ends(
    play, refused
):
    behaviours, end = REFUSED[refused]

    async def work(scene):
        failed = []
        scene.servers.note_failure = failed.append
        await deliver_in_turn(scene, [*behaviours, resume])
        assert scene.ends[-2:] == [end, AttemptEnd.ANSWERED]
        assert len(failed) == len(behaviours)
        addresses = [server.entry.address for server in failed]
        assert not any(scene.connections.take(address) for address in addresses)

    play(work)


@pytest.mark.parametrize(
    ("other", "end"),
    [
        (send(WHOLE, keep_silent), AttemptEnd.OUT_OF_PLACE),
        (send(b"done", keep_silent, media_type="text/plain"), AttemptEnd.OTHER_KIND),
    ],
)
def test_an_answer_that_is_not_taken_is_left_at_once(play, other, end):
    async def work(scene):
        answer = await deliver_in_turn(scene, [FIRST, other, resume])
        assert answer.body == WHOLE and answer.is_done
        assert scene.ends == [AttemptEnd.BROKEN, end, AttemptEnd.ANSWERED]

    play(work)


def test_a_stream_that_may_not_be_resumed_comes_as_it_is(play):
    async def work(scene):
        server = await scene.add_server()
        server.default = send(WHOLE, end_cleanly)
        request = scene.make_request()._replace(resumed_after="3")
        answer = await scene.deliver(request=request, is_stream=True)
        assert answer.body == WHOLE and answer.is_done

    play(work)


def test_the_events_that_the_caller_had_before_are_not_billed(play):
    async def work(scene):
        server = await scene.add_server()
        server.default = resume
        request = scene.make_request()
        request.headers["Last-Event-Id"] = "3"
        request = request._replace(resumed_after="3")
        delivery = scene.make_delivery(
            Answer(), request=request, repeat=Repeat.RESUME, is_stream=True
        )
        await delivery.run()
        assert delivery.delivered_tokens == (COUNT - 3) * 5

    play(work)


def test_nothing_is_taken_of_the_rest_of_an_answer_out_of_place(play):
    async def from_the_start(received, writer):
        headers = {"Content-Type": EVENT_STREAM, "Transfer-Encoding": "chunked"}
        writer.write(make_head(received, 200, headers))
        for event in EVENTS:
            write_chunk(writer, event)
        await keep_silent(received, writer)

    async def work(scene):
        answer = await deliver_in_turn(scene, [FIRST, from_the_start, resume])
        assert answer.body == WHOLE and answer.is_done
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
def test_events_are_known_by_their_media_type_however_it_is_written(play, media_type):
    async def work(scene):
        rest = send(b"".join(EVENTS[3:]), end_cleanly, media_type=media_type)
        answer = await deliver_in_turn(scene, [FIRST, rest])
        assert answer.body == WHOLE and answer.is_done

    play(work)
