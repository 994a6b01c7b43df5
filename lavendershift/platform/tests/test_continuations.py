"""Tests of broken streams whose next server answers with an error or no stream.

The caller's stream has only events of its own, in order, whatever the next server
sends, and ends as complete only after its last event.
"""

import asyncio
import gzip
import itertools

import pytest

from lavendershift.platform.tests.conftest import Scenario
from lavendershift.platform.tests.test_serverresponses import (
    CUT_POSITIONS,
    EVENT_STREAM,
    EVENTS,
    FULL_STREAM,
    PREFIXES,
    deliver_with_responses,
    resume,
    send,
)
from lavendershift_standins.platformserver import (
    close,
    make_head,
    reset,
    write_chunk,
)

STATUSES = (200, 202, 204, 206, 301, 304, 400, 404, 408, 416, 421, 429, 500, 503)
BODIES = {
    "plain": ("text/plain", b"upstream overloaded"),
    "json": ("application/json", b'{"error": {"code": "overloaded"}}'),
    "text as events": (EVENT_STREAM, b"upstream overloaded\n\n"),
    "event": (EVENT_STREAM, b'data: {"error": "overloaded"}\n\n'),
    "named event": (EVENT_STREAM, b"event: error\ndata: overloaded\n\n"),
    "event with the next id": (EVENT_STREAM, b"id: 9\nevent: error\ndata: x\n\n"),
    "end mark": (EVENT_STREAM, b"data: [DONE]\n\n"),
    "head": (EVENT_STREAM, b"HTTP/1.1 503 Busy\r\nRetry-After: 1\r\n\r\n"),
    "compressed": (EVENT_STREAM, gzip.compress(b"".join(EVENTS[3:]))),
    "nothing": (EVENT_STREAM, b""),
}
MAX_PARALLEL = 4  # deliveries at a time, so that none waits until its timeout
CUTS = (PREFIXES[3], FULL_STREAM[: CUT_POSITIONS["half the data"]])


def frame_with_length(writer, head, body):
    writer.write(head({"Content-Length": str(len(body))}) + body)


def frame_in_chunks(writer, head, body):
    writer.write(head({"Transfer-Encoding": "chunked"}))
    if body:
        write_chunk(writer, body)
    writer.write(b"0\r\n\r\n")


def frame_without_length(writer, head, body):
    writer.write(head({}) + body)


def frame_after_interim(writer, head, body):
    writer.write(b"HTTP/1.1 103 Early Hints\r\nContent-Type: text/event-stream\r\n\r\n")
    frame_with_length(writer, head, body)


FRAMINGS = {
    "length": (frame_with_length, None),
    "chunked": (frame_in_chunks, None),
    "informational response first": (frame_after_interim, None),
    "closed": (frame_without_length, close),
    "reset": (frame_without_length, reset),
}


def answer(status, body, framing):
    """Answer with ``status`` and one of ``BODIES`` and ``FRAMINGS``."""
    media_type, data = BODIES[body]
    frame, end = FRAMINGS[framing]
    fields = {"Content-Type": media_type}
    if body == "compressed":
        fields["Content-Encoding"] = "gzip"

    async def behave(received, writer):
        frame(writer, lambda more: make_head(received, status, fields | more), data)
        await writer.drain()
        await asyncio.sleep(0.01)
        if end is not None:
            await end(received, writer)

    return behave


async def deliver_all(cases, *behaviours):
    """Deliver a stream that breaks off for each of ``cases`` and a next server.

    A case has the bytes before the break, and the response of the next server;
    ``behaviours`` are those of further servers. Returns the responses; the checks of
    ``deliver_with_responses`` hold for each.
    """

    slots = asyncio.Semaphore(MAX_PARALLEL)

    async def deliver(sent, error):
        async with slots:
            return await deliver_one(sent, error)

    async def deliver_one(sent, error):
        scene = Scenario()
        try:
            first = send(sent, close)  # a reset could drop the events before it
            return await deliver_with_responses(scene, [first, error, *behaviours])
        finally:
            await scene.close()

    return await asyncio.gather(*[deliver(*case) for case in cases])


def make_cases(status, framing):
    """Return the cases of a status, after whole events and within one.

    A complete stream without events, of the same status, says that the caller has all
    of them, unless one had begun.
    """
    for sent, body in itertools.product(CUTS, BODIES):
        is_end = status == 200 and body == "nothing" and end_is_marked(framing)
        if not (is_end and sent == PREFIXES[3]):
            yield sent, answer(status, body, framing)


def end_is_marked(framing):
    return FRAMINGS[framing][1] is None


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", STATUSES)
def test_error_of_the_next_server_is_not_joined_to_the_stream(status, framing):
    """Guards against an error's text, or a whole head, within a stream."""
    responses = asyncio.run(deliver_all(make_cases(status, framing)))
    assert len(responses) >= 2 * len(BODIES) - 1
    for response in responses:
        assert response.body == PREFIXES[3]
        assert not response.is_done
        assert response.status == 200


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("status", STATUSES)
def test_stream_goes_on_at_a_third_server_after_an_error(status, framing):
    responses = asyncio.run(deliver_all(make_cases(status, framing), resume))
    for response in responses:
        assert response.body == FULL_STREAM
        assert response.is_done
