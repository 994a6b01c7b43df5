"""Servers that fall silent for a time send the same bytes, later."""

import asyncio

import pytest

from lavendershift_standins.platformserver import (
    HandledRequest,
    PlatformServer,
    answer_complete,
    answer_unframed,
    stream,
)
from lavendershift_standins.silences import (
    after_events,
    after_head,
    before_end,
    before_head,
    fall_silent,
    within_body,
    within_event,
)

REQUEST = b"POST /a HTTP/1.1\r\nX-Lavendershift-Attempt-Id: %s\r\n\r\n"
SILENCE_S = 0.3
FIRST_EVENT = b"id: 1\ndata: piece-1\n\n"


async def receive_timed(server, is_closing=False):
    """Return the bytes before and after the longest silence, and its length in s."""
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(REQUEST % b"r-1")
    loop = asyncio.get_running_loop()
    last = loop.time()
    pieces = []
    try:
        while True:
            data = await asyncio.wait_for(reader.read(65536), 2 * SILENCE_S)
            pieces.append((loop.time() - last, data))
            last = loop.time()
            if not data:
                break
    except TimeoutError:
        assert not is_closing
    writer.close()
    longest = max(range(len(pieces)), key=lambda n: pieces[n][0])
    data = [piece for _, piece in pieces]
    before, after = b"".join(data[:longest]), b"".join(data[longest:])
    return before, after, pieces[longest][0]


async def serve(behaviour, is_closing=False):
    server = PlatformServer("i-1")
    server.default = behaviour
    await server.start()
    try:
        return await receive_timed(server, is_closing)
    finally:
        await server.stop()


EVENTS = stream(3)
PLAIN_EVENTS = stream(3, is_chunked=False)
CASES = {
    "before head": (before_head, answer_complete, b""),
    "before the head of a stream": (before_head, EVENTS, b""),
    "after head": (after_head, answer_complete, b"\r\n\r\n"),
    "after the head of a stream": (after_head, EVENTS, b"\r\n\r\n"),
    "after one event": (after_events(1), EVENTS, FIRST_EVENT),
    "after one event without chunks": (after_events(1), PLAIN_EVENTS, FIRST_EVENT),
    "within the first event": (within_event(0), EVENTS, b"id: 1\nd"),
    "within the second event": (within_event(1), PLAIN_EVENTS, b"id: 2\nd"),
    "within a body": (within_body(3), answer_complete, b"\r\n\r\ndon"),
    "before the last byte": (before_end, answer_complete, b"\r\n\r\ndone r-"),
    "before the last chunk": (before_end, EVENTS, b"piece-3\n\n\r\n"),
    "before a close": (before_end, PLAIN_EVENTS, b"piece-3\n\n"),
    "before the close of a body": (before_end, answer_unframed(True), b"all of it"),
}


@pytest.mark.parametrize(("point", "behaviour", "end"), CASES.values(), ids=CASES)
def test_a_response_falls_silent_at_its_point_and_is_complete(point, behaviour, end):
    whole = b"".join(asyncio.run(serve(behaviour))[:2])
    before, after, silence_s = asyncio.run(
        serve(fall_silent(SILENCE_S, point, behaviour))
    )
    assert before + after == whole
    assert before.endswith(end) and bool(before) == bool(end)
    assert SILENCE_S - 0.01 < silence_s < SILENCE_S + 0.2


def test_all_connections_of_a_silent_server_go_on_where_they_were():
    async def run():
        server = PlatformServer("i-1")
        server.default = stream(40, pause_s=0.005)
        await server.start()
        old = [asyncio.ensure_future(receive_timed(server)) for _ in range(2)]
        await asyncio.sleep(0.1)
        server.fall_silent(SILENCE_S)
        new = asyncio.ensure_future(receive_timed(server))
        results = await asyncio.gather(*old, new)
        await server.stop()
        return results, server

    results, server = asyncio.run(run())
    assert server.connections == 3 and len(server.received) == 3
    for before, after, silence_s in results:
        assert (before + after).endswith(b"piece-40\n\n\r\n0\r\n\r\n")
        assert silence_s > SILENCE_S - 0.05
    assert [bool(before) for before, _, _ in results] == [True, True, False]
    (start, end) = server.silences[0]
    assert SILENCE_S - 0.01 < end - start < SILENCE_S + 0.2


def test_a_server_records_when_a_response_begins_and_that_it_was_left():
    async def run():
        server = PlatformServer("i-1")
        server.default = fall_silent(SILENCE_S, after_events(1), stream(3))
        await server.start()
        server.fall_silent(SILENCE_S)
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(REQUEST % b"r-1")
        await reader.readuntil(FIRST_EVENT)
        writer.close()
        await asyncio.sleep(0.1)
        await receive_timed(server)
        await server.stop()
        return server

    server = asyncio.run(run())
    left, whole = server.handled
    start, end = server.silences[0]
    assert left.received.at < end <= left.sent_at < left.ended_at < end + SILENCE_S
    assert left.was_left and not whole.was_left
    assert whole.ended_at - whole.sent_at > SILENCE_S - 0.01


def test_a_stream_is_delivered_by_its_end_or_its_first_event_but_not_by_its_head():
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
    for data, is_delivered in [
        (b"", False),
        (b"5\r\nid: 9", False),
        (b"0\r\n\r\n", True),
        (b"9\r\ndata: a\n\n\r\n", True),
    ]:
        handled = HandledRequest(None, None)
        handled.note_written(head)
        handled.note_written(data)
        assert (handled.delivered_at is not None) == is_delivered


def test_a_silence_without_end_lasts_until_it_is_ended():
    async def run():
        server = PlatformServer("i-1")
        await server.start()
        server.fall_silent()
        task = asyncio.ensure_future(receive_timed(server))
        await asyncio.sleep(SILENCE_S)
        server.go_on()
        result = await task
        await server.stop()
        return result

    before, after, silence_s = asyncio.run(run())
    assert not before and after.endswith(b"done r-1")
    assert silence_s > SILENCE_S - 0.05


def test_a_silent_server_closes_no_connection_before_it_goes_on():
    async def run():
        server = PlatformServer("i-1")
        server.default = answer_unframed(True)
        await server.start()
        server.fall_silent(SILENCE_S)
        result = await receive_timed(server, is_closing=True)
        await server.stop()
        return result

    before, after, silence_s = asyncio.run(run())
    assert not before and after.endswith(b"all of it")
    assert silence_s > SILENCE_S - 0.05
