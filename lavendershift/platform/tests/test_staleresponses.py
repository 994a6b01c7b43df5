"""Tests of servers that repeat an earlier response on a kept connection.

Such bytes belong to no request. A request gets only its own response, and is reported
as not run, or sent to another server, only if its own response says so.
"""

import asyncio
import itertools

import pytest

from lavendershift.attempts import AttemptEnd
from lavendershift.errors import Ran, RequestError
from lavendershift.platform.callerresponses import choose_status
from lavendershift.platform.tests.conftest import SECOND, RecordedResponse
from lavendershift.routes import Repeat
from lavendershift_standins.platformserver import (
    answer_complete,
    make_event,
    make_head,
    stream,
    write_chunk,
)

COUNT = 4
FULL_STREAM = b"".join(make_event(number) for number in range(1, COUNT + 1))
REFUSAL_STATUSES = (503, 429, 421, 408, 400)
PROMISES = (408, 421, 429, 503)  # statuses that tell a caller that nothing was run
NOT_RUN = b"X-Lavendershift-Not-Executed: 1\r\n"
OTHER_ID = b"X-Lavendershift-Attempt-Id: r1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
EMPTY = b"Content-Length: 0\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\n" + NOT_RUN + b"\r\n"
KINDS = {
    "once": {"repeat": Repeat.NEVER},
    "repeatable": {"repeat": Repeat.ALWAYS},
    "stream": {"repeat": Repeat.RESUME, "is_stream": True},
    "stream once": {"repeat": Repeat.NEVER, "is_stream": True},
}


def make_refusal(status, *lines):
    return b"HTTP/1.1 %d Refused\r\n" % status + b"".join(lines) + b"\r\n"


def write_before(*parts, pause_s=0.01, answer=None):
    """Write ``parts`` while the request runs, then its own response."""

    async def behave(received, writer):
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(pause_s)
        await (answer or answer_own)(received, writer)

    return behave


async def answer_own(received, writer):
    if received.target.startswith("/a/stream"):
        await stream(COUNT)(received, writer)
    else:
        await answer_complete(received, writer)


async def deliver_after_a_response(scene, behaviour, kind, before=None, **options):
    """Deliver ``r2`` on a kept connection whose server has ``behaviour`` for it.

    ``before`` is called after the first response with the server. Returns the
    response, the error and both servers; the second one is idle.
    """
    options = KINDS[kind] | options
    server = await scene.add_server(answer_complete, behaviour)
    await scene.deliver()
    other = await scene.add_server()
    other.default = answer_own
    server.default = answer_own
    scene.servers.choose = lambda service, prompt, excluded, urgency: next(
        (
            listed
            for listed in map(scene.servers.find, ("i-0", "i-1"))
            if listed.entry.id not in set(excluded)
        ),
        None,
    )
    if before is not None:
        await before(scene, server)
    is_stream = options.get("is_stream", False)
    request = scene.make_request(2)._replace(
        target="/a/stream" if is_stream else "/a/plain"
    )
    response = RecordedResponse()
    error = None
    try:
        await scene.make_delivery(response, request=request, **options).run()
    except RequestError as raised:
        error = raised
    return response, error, server, other


def get_expected(kind):
    return FULL_STREAM if KINDS[kind].get("is_stream") else b"done r2"


def check_own(scene, result, kind):
    response, error, server, other = result
    assert error is None
    assert response.body == get_expected(kind) and response.is_done
    assert scene.ends == [AttemptEnd.ANSWERED] * 2
    assert (len(server.received), len(other.received)) == (2, 0)


STALE_REFUSALS = {
    f"{status} {ids} {promise}": make_refusal(status, *lines, EMPTY)
    for status, (ids, id_line), (promise, promise_line) in itertools.product(
        REFUSAL_STATUSES,
        {"no id": b"", "other id": OTHER_ID}.items(),
        {"not run": NOT_RUN, "run": b""}.items(),
    )
    for lines in [(id_line, promise_line)]
}


@pytest.mark.parametrize("stale", STALE_REFUSALS)
@pytest.mark.parametrize("kind", KINDS)
def test_refusal_of_an_earlier_request_is_not_taken_for_its_own(play, kind, stale):
    """Guards against "not run" for a request that runs, and against a second run."""

    async def work(scene):
        behaviour = write_before(STALE_REFUSALS[stale], pause_s=0.002)
        result = await deliver_after_a_response(scene, behaviour, kind)
        check_own(scene, result, kind)

    play(work)


REFUSAL = make_refusal(503, NOT_RUN, EMPTY)
REFUSAL_OTHER = make_refusal(503, OTHER_ID, NOT_RUN, EMPTY)
WITH_BODY = make_refusal(503, NOT_RUN, b"Content-Length: 4\r\n") + b"full"
SHAPES = {
    "two pieces": (REFUSAL[:30], REFUSAL[30:]),
    "two pieces, other id": (REFUSAL_OTHER[:70], REFUSAL_OTHER[70:]),
    "many pieces": tuple(REFUSAL[i : i + 9] for i in range(0, len(REFUSAL), 9)),
    "two refusals at once": (REFUSAL + REFUSAL_OTHER,),
    "two refusals apart": (REFUSAL, REFUSAL_OTHER),
    "after an informational response": (INTERIM + REFUSAL,),
    "before an informational response": (REFUSAL + INTERIM,),
    "informational response only": (INTERIM,),
    "with a body": (WITH_BODY,),
    "with a late body": (WITH_BODY[:-4], b"full"),
    "chunked": (make_refusal(503, NOT_RUN, CHUNKED) + b"4\r\nfull\r\n0\r\n\r\n",),
    "no content": (make_refusal(204, NOT_RUN),),
}


@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.parametrize("kind", KINDS)
def test_refusal_of_an_earlier_request_is_skipped_in_any_shape(play, kind, shape):
    async def work(scene):
        behaviour = write_before(*SHAPES[shape], pause_s=0.005)
        result = await deliver_after_a_response(scene, behaviour, kind)
        check_own(scene, result, kind)

    play(work)


UNREADABLE = {
    "without a length": (make_refusal(503, NOT_RUN),),
    "without a length, other id": (make_refusal(503, OTHER_ID, NOT_RUN),),
    "cut in its status line": (b"HTTP/1.1 503 ",),
    "cut in its reason": (b"HTTP/1.1 503 Ser",),
    "cut after a header": (b"HTTP/1.1 503 Refused\r\n" + NOT_RUN,),
    "cut in a header name": (b"HTTP/1.1 503 Refused\r\n" + NOT_RUN + b"Retry-Af",),
    "cut in a header": (b"HTTP/1.1 503 Refused\r\n" + NOT_RUN + b"Retry-After: 0.",),
    "cut in a header, not found": (b"HTTP/1.1 421 Misdirected\r\nDate: Mon, 1 Jan",),
    "cut in its id": (b"HTTP/1.1 503 -\r\n" + NOT_RUN + OTHER_ID[:-3],),
    "cut in its body": (
        make_refusal(503, NOT_RUN, b"Content-Length: 300\r\n") + b"x" * 200,
    ),
}


@pytest.mark.parametrize("shape", UNREADABLE)
@pytest.mark.parametrize("kind", KINDS)
def test_broken_refusal_of_an_earlier_request_is_no_proof(play, kind, shape):
    async def work(scene):
        behaviour = write_before(*UNREADABLE[shape], pause_s=0.005)
        timeout = 0.7 * SECOND
        response, error, server, other = await deliver_after_a_response(
            scene, behaviour, kind, timeout=timeout
        )
        if KINDS[kind]["repeat"] is Repeat.NEVER:
            assert len(other.received) == 0
            assert not response.has_started or response.body == get_expected(kind)
            assert response.status not in PROMISES
            assert response.is_done or choose_status(error.answer) in (502, 504)
        else:
            assert response.body == get_expected(kind) and response.is_done

    play(work)


@pytest.mark.parametrize("stale", [REFUSAL, REFUSAL_OTHER], ids=["no id", "other id"])
def test_refusal_broken_off_at_any_byte_is_no_proof(play, stale):
    """Guards against the status of a refusal joined to the id of the next response."""

    async def work(scene):
        for cut in range(1, len(stale)):
            server = await scene.add_server(answer_complete, write_before(stale[:cut]))
            listed = scene.servers.find(server.name)
            scene.servers.choose = lambda *args, only=listed: (
                None if only.entry.id in args[2] else only
            )
            await scene.deliver()
            response = RecordedResponse()
            request = scene.make_request(2)
            delivery = scene.make_delivery(response, request=request)
            with pytest.raises(RequestError) as caught:
                await delivery.run()
            assert choose_status(caught.value.answer) in (502, 504), stale[:cut]
            assert not response.has_started

    play(work)


async def write_to_kept_connections(server, data):
    for writer in list(server._writers):
        writer.write(data)
    await asyncio.sleep(0.02)


STALE_ANSWERS = {
    "refusal": REFUSAL,
    "refusal with its id": REFUSAL_OTHER,
    "answer": make_refusal(200, OTHER_ID, EMPTY),
    "answer without an id": make_refusal(200, b"Content-Length: 3\r\n") + b"old",
    "part of a head": REFUSAL[:40],
}


@pytest.mark.parametrize("stale", STALE_ANSWERS)
@pytest.mark.parametrize("kind", KINDS)
def test_connection_with_a_second_copy_of_an_answer_is_not_reused(play, kind, stale):
    async def write_stale(scene, server):
        await write_to_kept_connections(server, STALE_ANSWERS[stale])

    async def work(scene):
        result = await deliver_after_a_response(
            scene, answer_own, kind, before=write_stale
        )
        check_own(scene, result, kind)
        assert result[2].connections == 2

    play(work)


@pytest.mark.parametrize("stale", STALE_ANSWERS)
@pytest.mark.parametrize("kind", KINDS)
def test_second_copy_between_the_check_and_the_write_is_not_its_own(play, kind, stale):
    """A permit is taken after the connection, which is in the meantime unread."""

    async def delay_permits(scene, server):
        take = scene.permits.take

        async def take_slowly(*args):
            await write_to_kept_connections(server, STALE_ANSWERS[stale])
            return await take(*args)

        open_connection = scene.connections.take

        def take_connection(*args):
            scene.permits.take = take_slowly
            return open_connection(*args)

        scene.connections.take = take_connection

    async def work(scene):
        response, error, server, other = await deliver_after_a_response(
            scene, answer_own, kind, before=delay_permits
        )
        is_once = KINDS[kind]["repeat"] is Repeat.NEVER
        if is_once and stale == "part of a head":
            assert error is not None
            assert choose_status(error.answer) in (502, 504)
            assert len(other.received) == 0
        else:
            assert error is None
            assert response.body == get_expected(kind) and response.is_done

    play(work)


@pytest.mark.parametrize("stale", STALE_ANSWERS)
def test_second_copy_in_the_middle_of_a_stream_is_not_forwarded(play, stale):
    """The chunks of the stream end at the copy, and the stream is resumed."""

    async def answer(received, writer):
        headers = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(make_head(received, 200, headers))
        write_chunk(writer, make_event(1))
        await writer.drain()
        await asyncio.sleep(0.01)
        writer.write(STALE_ANSWERS[stale])
        for number in range(2, COUNT + 1):
            write_chunk(writer, make_event(number))
        writer.write(b"0\r\n\r\n")
        await asyncio.sleep(0.01)

    async def work(scene):
        response, error, _, other = await deliver_after_a_response(
            scene, answer, "stream"
        )
        assert error is None
        assert response.body == FULL_STREAM and response.is_done
        assert len(other.received) == 1

    play(work)


SLOW_REFUSALS = {
    "no body": b"Content-Length: 9\r\n",
    "no last chunk": CHUNKED,
    "no length": b"",
}


@pytest.mark.parametrize("framing", SLOW_REFUSALS)
@pytest.mark.parametrize("status", [503, 421])
@pytest.mark.parametrize("kind", KINDS)
def test_refusal_whose_body_does_not_end_is_believed(play, kind, status, framing):
    """Guards against a refused request that is kept until its deadline."""

    async def refuse(received, writer):
        own_id = f"X-Lavendershift-Attempt-Id: {received.id}\r\n".encode()
        writer.write(make_refusal(status, own_id, NOT_RUN, SLOW_REFUSALS[framing]))
        await asyncio.sleep(60)

    async def work(scene):
        started = scene.clock.elapsed()
        response, error, _, other = await deliver_after_a_response(scene, refuse, kind)
        assert error is None
        assert response.body == get_expected(kind) and response.is_done
        assert scene.clock.elapsed() - started < 0.5 * SECOND
        assert len(other.received) == 1
        assert scene.ends[1].did_not_run

    play(work)


def test_only_a_new_connection_may_carry_a_refusal_without_an_id(play):
    async def refuse(received, writer):
        writer.write(make_refusal(400, NOT_RUN, EMPTY))

    async def work(scene):
        for _ in range(2):
            await scene.add_server(refuse)
        with pytest.raises(RequestError) as caught:
            await scene.deliver(repeat=Repeat.NEVER)
        assert caught.value.answer.ran is Ran.NO
        assert set(scene.ends) == {AttemptEnd.NOT_RUN}

    play(work)


@pytest.mark.parametrize("kind", KINDS)
def test_success_without_an_id_is_nobodys_on_a_new_connection_too(play, kind):
    """Guards against a success that the server didn't sign."""

    async def answer_anyhow(received, writer):
        media_type = b"Content-Type: text/event-stream\r\n"
        length = b"Content-Length: %d\r\n" % len(FULL_STREAM)
        writer.write(make_refusal(200, media_type, length) + FULL_STREAM)
        await writer.drain()
        await answer_own(received, writer)

    async def work(scene):
        await scene.add_server(answer_anyhow)
        is_stream = KINDS[kind].get("is_stream", False)
        target = "/a/stream" if is_stream else "/a/plain"
        request = scene.make_request(2)._replace(target=target)
        response = await scene.deliver(request=request, **KINDS[kind])
        assert response.body == get_expected(kind) and response.is_done
        assert response.headers["X-Lavendershift-Response-Signature"] == "sign-r2"

    play(work)


def test_response_to_a_request_without_an_id_may_lack_one(play):
    async def answer_without_id(received, writer):
        writer.write(make_refusal(200, b"Content-Length: 4\r\n") + b"done")

    async def work(scene):
        await scene.add_server(answer_without_id)
        request = scene.make_request()._replace(id="")
        request.headers.clear()
        response = await scene.deliver(request=request)
        assert (response.status, response.body) == (200, b"done")

    play(work)
