"""Tests of faulty servers that send bytes without end and no valid response.

An attempt at such a server ends within the timeout for an unresponsive one, takes
bounded memory, closes its connection, and counts as a failure of the server. A request
that may be sent again is served by another server.
"""

import asyncio
import time
import tracemalloc

import pytest
from tornado.httputil import HTTPHeaders

from lavendershift.attempts import AttemptEnd, ResponseKind
from lavendershift.errors import ErrorKind, Ran, RequestError
from lavendershift.eventstreams import EventPosition
from lavendershift.platform.tests.conftest import SECOND, RecordedResponse
from lavendershift.routes import Repeat
from lavendershift.serverresponses import AttemptReader
from lavendershift_standins.platformserver import (
    ATTEMPT_ID_HEADER,
    answer_complete,
    make_event,
    make_head,
    stream,
    write_chunk,
)

COUNT = 8
FULL_STREAM = b"".join(make_event(number) for number in range(1, COUNT + 1))
PIECE_BYTES = 16_384  # bytes that a fast server writes at a time
SLOW_S = 0.05  # interval between the writes of a slow server
# Sum of 0.3 s to the first byte, an event gap of 0.9 s and a margin.
SILENT_TIMEOUT_S = 1.5
# Bytes of a body without a length extend the timeout up to 2.4 s after its head.
UNSIZED_TIMEOUT_S = 3.5
MAX_EXTRA_MEMORY = 1_048_576  # bytes an attempt may take beyond a valid response


async def write_endlessly(writer, unit, is_fast, wrap=lambda data: data):
    """Write ``unit`` repeatedly without end, in large pieces or one at a time."""
    piece = unit * max(PIECE_BYTES // len(unit), 1) if is_fast else unit
    while True:
        writer.write(wrap(piece))
        await writer.drain()
        await asyncio.sleep(0 if is_fast else SLOW_S)


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def endless_response(start, unit, is_chunked=False):
    """Send ``start``, a full or partial head, and then ``unit`` without end."""

    def make_behaviour(is_fast):
        async def behave(received, writer):
            writer.write(start(received) if callable(start) else start)
            wrap = chunk if is_chunked else bytes
            await write_endlessly(writer, unit, is_fast, wrap)

        return behave

    return make_behaviour


def head(media_type, **headers):
    fields = {"Content-Type": media_type}
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    return lambda received: make_head(received, 200, fields)


EVENTS = head("text/event-stream", Transfer_Encoding="chunked")
UNFRAMED_EVENTS = head("text/event-stream")
PLAIN = head("text/plain", Transfer_Encoding="chunked")
UNFRAMED = head("text/plain")
IN_HEADS = {
    "status line": endless_response(b"HTTP/1.1 200 ", b"x"),
    "no status line": endless_response(b"", b"x"),
    "header": endless_response(b"HTTP/1.1 200 OK\r\nX-Long: ", b"x"),
    "headers": endless_response(b"HTTP/1.1 200 OK\r\n", b"X-Many: x\r\n"),
    "interim responses": endless_response(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
}
IN_FRAMES = {
    "chunk size": endless_response(PLAIN, b"0"),
    "chunk extension": endless_response(lambda r: PLAIN(r) + b"5;", b"x"),
    "trailer": endless_response(lambda r: PLAIN(r) + b"0\r\n", b"X-Trailer: x\r\n"),
}
IN_PLAIN_BODIES = {
    "chunked body": endless_response(PLAIN, b"x", is_chunked=True),
    "body without a length": endless_response(UNFRAMED, b"x"),
}
IN_EVENTS = {
    "event line": endless_response(
        lambda r: EVENTS(r) + chunk(b"id: 1\ndata: "), b"x", is_chunked=True
    ),
    "event lines": endless_response(
        lambda r: EVENTS(r) + chunk(b"id: 1\n"), b"data: x\n", is_chunked=True
    ),
    "comments": endless_response(EVENTS, b": alive\n", is_chunked=True),
    "empty blocks": endless_response(EVENTS, b": alive\n\n", is_chunked=True),
    "unframed event": endless_response(lambda r: UNFRAMED_EVENTS(r) + b"data: ", b"x"),
}
ALL = IN_HEADS | IN_FRAMES | IN_PLAIN_BODIES | IN_EVENTS


async def deliver_after(scene, behaviour, valid_response, **options):
    """Deliver with a first server that is faulty and a second one that is not."""
    servers = [await scene.add_server() for _ in range(2)]
    servers[0].script.append(behaviour)
    servers[1].default = valid_response
    listed = [scene.servers.find(server.name) for server in servers]

    def choose(service, prompt, excluded, urgency):
        left = [each for each in listed if each.entry.id not in set(excluded)]
        return left[0] if left else None

    scene.servers.choose = choose
    failed = []
    scene.servers.note_failure = failed.append
    response = RecordedResponse()
    delivery = scene.make_delivery(
        response,
        request=scene.make_request(deadline=9 * SECOND),
        **{"timeout": 9 * SECOND} | options,
    )
    started = time.monotonic()
    error = None
    try:
        await delivery.run()
    except RequestError as raised:
        error = raised
    took = time.monotonic() - started
    return response, error, took, servers, failed


@pytest.mark.parametrize("is_fast", [True, False], ids=["fast", "slow"])
@pytest.mark.parametrize("where", ALL)
def test_resumable_stream_is_served_by_another_server(play, where, is_fast):
    async def work(scene):
        response, error, took, servers, failed = await deliver_after(
            scene,
            ALL[where](is_fast),
            stream(COUNT),
            repeat=Repeat.RESUME,
            is_stream=True,
        )
        assert error is None
        assert response.body.replace(b": alive\n\n", b"") == FULL_STREAM
        assert response.is_done
        assert took < (
            UNSIZED_TIMEOUT_S if where in IN_PLAIN_BODIES else SILENT_TIMEOUT_S
        )
        assert [server.entry.id for server in failed] == [servers[0].name]
        await asyncio.sleep(0.2)
        assert servers[0].closed == 1

    play(work)


PLAIN_CASES = IN_HEADS | IN_FRAMES | IN_PLAIN_BODIES


@pytest.mark.parametrize("is_fast", [True, False], ids=["fast", "slow"])
@pytest.mark.parametrize("where", PLAIN_CASES)
def test_repeatable_plain_request_is_served_by_another_server(play, where, is_fast):
    async def work(scene):
        response, error, took, servers, failed = await deliver_after(
            scene, PLAIN_CASES[where](is_fast), answer_complete, repeat=Repeat.ALWAYS
        )
        assert error is None
        assert response.body == b"done r1"
        assert took < (
            UNSIZED_TIMEOUT_S if where in IN_PLAIN_BODIES else SILENT_TIMEOUT_S
        )
        assert [server.entry.id for server in failed] == [servers[0].name]
        await asyncio.sleep(0.2)
        assert servers[0].closed == 1

    play(work)


@pytest.mark.parametrize("where", ALL)
def test_request_that_may_not_be_repeated_takes_bounded_memory(play, where):
    async def work(scene):
        tracemalloc.start()
        try:
            response, error, took, servers, failed = await deliver_after(
                scene,
                ALL[where](True),
                answer_complete,
                repeat=Repeat.NEVER,
                is_stream=where in IN_EVENTS,
            )
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert error is not None
        assert not response.is_done or response.status >= 500
        # The peak includes the buffers of the scripted server.
        assert peak < 3 * MAX_EXTRA_MEMORY
        assert len(servers[1].received) == 0
        await asyncio.sleep(0.2)
        assert servers[0].closed == 1

    play(work)


async def refuse_others_endlessly(received, writer):
    other = received._replace(headers={ATTEMPT_ID_HEADER: "other"})
    headers = {"Content-Length": "0", "X-Lavendershift-Not-Executed": "1"}
    await write_endlessly(writer, make_head(other, 503, headers), is_fast=True)


@pytest.mark.parametrize("repeat", [Repeat.NEVER, Repeat.ALWAYS])
def test_endless_responses_to_other_requests_end_the_attempt(play, repeat):
    """Guards against a server that occupies the event loop until the deadline."""

    async def work(scene):
        response, error, took, servers, failed = await deliver_after(
            scene, refuse_others_endlessly, answer_complete, repeat=repeat
        )
        assert took < SILENT_TIMEOUT_S
        assert [server.entry.id for server in failed] == [servers[0].name]
        if repeat is Repeat.NEVER:
            assert error is not None and error.kind is ErrorKind.OUTCOME_UNKNOWN
            assert len(servers[1].received) == 0
        else:
            assert error is None and response.body == b"done r1"

    play(work)


@pytest.mark.parametrize("where", ALL)
def test_request_that_may_not_be_repeated_ends_at_its_timeout(play, where):
    """A byte now and then is no progress beyond the route's timeout."""

    async def work(scene):
        _, error, took, servers, _ = await deliver_after(
            scene,
            ALL[where](False),
            answer_complete,
            repeat=Repeat.NEVER,
            is_stream=where in IN_EVENTS,
            timeout=0.4 * SECOND,
        )
        assert error is not None and error.answer.ran is not Ran.NO
        assert took < 0.6
        assert len(servers[1].received) == 0
        await asyncio.sleep(0.1)
        assert servers[0].closed == 1

    play(work)


class Receiver:
    first_status = 0
    position = EventPosition()

    def classify(self, status, headers, is_fresh):
        return ResponseKind.OWN


def test_body_in_small_pieces_takes_little_more_memory_than_its_bytes():
    """Guards against an object for each of the pieces of a slow body."""
    size = 600_000
    reader = AttemptReader(Receiver(), False, True, lambda: None)
    reader.start(200, HTTPHeaders({"Content-Length": str(size)}))
    tracemalloc.start()
    try:
        for number in range(size // 2):
            reader.add(number.to_bytes(4)[2:])
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < size + MAX_EXTRA_MEMORY
    assert len(reader.collect().body) == size


@pytest.mark.parametrize("split", [1, 2, 3, 7, 50])
def test_valid_stream_in_small_chunks_takes_one_attempt(play, split):
    """Each event arrives slowly in pieces, within the event gap timeout."""

    async def dribble(received, writer):
        writer.write(EVENTS(received))
        for start in range(0, len(FULL_STREAM), split):
            write_chunk(writer, FULL_STREAM[start : start + split])
            await writer.drain()
            await asyncio.sleep(0.002 * split)
        writer.write(b"0\r\n\r\n")

    async def work(scene):
        response, error, _, _, failed = await deliver_after(
            scene, dribble, stream(COUNT), repeat=Repeat.RESUME, is_stream=True
        )
        assert error is None
        assert response.body == FULL_STREAM
        assert scene.ends == [AttemptEnd.ANSWERED]
        assert failed == []

    play(work)
