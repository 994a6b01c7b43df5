import asyncio
import contextlib
import json
import re
import socket
import struct
from datetime import timedelta

import pytest

from lavendershift.completions import (
    END_OF_STREAM,
    MAX_EVENT_BYTES,
    CompletionStream,
    Usage,
)
from lavendershift.errors import LogUnavailableError
from lavendershift.plugins.http_log import HttpLogClient
from lavendershift.tools.capacity_streams import (
    BODY,
    NOT_FOUND,
    REQUEST,
    Engine,
    parse_content_length,
    run_bench,
)
from lavendershift.upstreams import Delivery, Transfer, UpstreamCall, UpstreamClient
from lavendershift.usages import UsageReader

SECOND = timedelta(seconds=1)
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
)


@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 100 Continue\r\n\r\n"])
def test_a_response_in_one_segment_is_streamed_after_its_status(interim):
    async def scenario():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(interim + HEAD + b"data: 1\n\n")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = UpstreamClient()
        seen = []

        def record_status(status, headers):
            seen.append((status, headers["Content-Type"]))
            return True

        call = UpstreamCall(
            "GET", f"http://127.0.0.1:{port}/", {}, None, SECOND, 5 * SECOND
        )
        result = await client.run_call(call, Transfer(), record_status, seen.append)
        assert seen == [(200, "text/event-stream"), b"data: 1\n\n"]
        assert (result.delivery, result.status) == (Delivery.ANSWERED, 200)
        client.close()
        server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "chunks",
    [
        [b"data: " + b"x" * MAX_EVENT_BYTES, b"rest of it\n\n"],
        [b'data: {"error":{"message":"out of memory"}}\n\n', b"data: 1\n\n"],
        [b"out of memory\n\n", b"data: 1\n\n"],
        [b"data: 1\nout of memory\n\n", b"data: 1\n\n"],
    ],
    ids=["event too long", "error event", "no event", "event with another line"],
)
def test_a_failed_stream_forwards_nothing(chunks):
    stream = CompletionStream(wants_usage=False)
    assert [stream.feed(chunk) for chunk in chunks] == [b"", b""]
    assert stream.failed


USAGE = {"prompt_tokens": 2, "completion_tokens": 9, "total_tokens": 11}
USAGE_BODY = BODY[:-1] + b',"stream_options":{"include_usage":true}}'
USAGE_REQUEST = REQUEST.replace(
    b"%d\r\n\r\n%s" % (len(BODY), BODY),
    b"%d\r\n\r\n%s" % (len(USAGE_BODY), USAGE_BODY),
)


def make_events(created):
    """Return the events of a response of six tokens, with usage and end mark."""
    choices = [[{"index": 0, "text": f"{n} "}] for n in range(6)]
    data = [{"created": created, "choices": c} for c in choices]
    data.append({"created": created, "choices": [], "usage": USAGE})
    lines = [*map(json.dumps, data), "[DONE]"]
    return [f"data: {line}\n\n".encode() for line in lines]


FIRST, REPEATED = make_events(1), make_events(2)


class End:
    """How a response ends: complete in HTTP, connection closed, or stalled."""

    COMPLETE, BROKEN, STALLED = range(3)


def make_response(data, end, status=200, kind="text/event-stream"):
    """Return the bytes of a chunked response and how it ends."""
    head = f"HTTP/1.1 {status} S\r\nContent-Type: {kind}\r\nConnection: close\r\n"
    chunk = b"%x\r\n%s\r\n" % (len(data), data) if data else b""
    tail = b"0\r\n\r\n" if end is End.COMPLETE else b""
    body = b"Transfer-Encoding: chunked\r\n\r\n" + chunk + tail
    return head.encode() + body, end


class ScriptedEngine(Engine):
    """Sends scripted responses to a completion and to requests to resume it.

    Each function of ``resume`` returns the response for the requested event.
    """

    def __init__(self, first, *resume):
        super().__init__()
        self.first, self.resume = first, list(resume)
        self.requested = []
        self.stalled = []

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        resumed = re.match(rb"GET /control/requests/[^/]+/stream\?from=(\d+) ", head)
        if resumed and self.resume:
            self.requested.append(int(resumed[1]))
            data, end = self.resume.pop(0)(int(resumed[1]))
        elif head.startswith(b"POST /v1/completions"):
            await reader.readexactly(parse_content_length(head))
            data, end = self.first
        else:
            data, end = NOT_FOUND, End.COMPLETE
        writer.write(data)
        if end is End.STALLED:
            self.stalled.append(writer)
        else:
            writer.close()


def run(work, engine):
    async def bounded():
        async with asyncio.timeout(20):
            return await run_bench(work, engine=engine)

    return asyncio.run(bounded())


def complete(engine, request=REQUEST):
    """Send a completion; return status, body and whether the body is complete."""

    async def work(bench):
        reader, writer = await asyncio.open_connection("127.0.0.1", bench.port)
        writer.write(request.replace(b"Host: r0", b"Host: r0\r\nConnection: close"))
        data = await reader.read()
        writer.close()
        return data

    head, _, body = run(work, engine).partition(b"\r\n\r\n")
    if b"chunked" not in head:
        return int(head.split()[1]), body, True
    parts = []
    while body:
        size, _, body = body.partition(b"\r\n")
        parts.append(body[: int(size, 16)])
        body = body[int(size, 16) + 2 :]
    return int(head.split()[1]), b"".join(parts), parts[-1:] == [b""]


def parse_texts(body):
    """Return the texts of a stream, and the code of the error that ends it."""
    assert body.endswith(b"\n\n")
    texts, error = [], ""
    for event in body[:-2].split(b"\n\n"):
        if event == b"data: [DONE]":
            texts.append("[DONE]")
            continue
        data = json.loads(event.removeprefix(b"data: "))
        error = data.get("error", {}).get("code", "")
        texts += [choice["text"] for choice in data.get("choices", [])]
        texts += ["usage"] if data.get("usage") else []
    return texts, error


TEXTS = [f"{n} " for n in range(6)]
RECEIVED = {
    "nothing": b"",
    "part of the first event": FIRST[0][:20],
    "whole events": b"".join(FIRST[:5]),
    "part of an event": b"".join(FIRST[:5]) + FIRST[5][:20],
    "all texts": b"".join(FIRST[:6]),
    "usage": b"".join(FIRST[:7]),
}
RESUMED = {
    "missing": (lambda n: (NOT_FOUND, End.COMPLETE), False),
    "in place": (lambda n: make_response(b"".join(REPEATED[n:]), End.COMPLETE), True),
    "in place, counting only texts": (
        lambda n: make_response(b"".join(REPEATED[min(n, 6) :]), End.COMPLETE),
        True,
    ),
    "of another content type": (
        lambda n: make_response(
            b"".join(REPEATED[n:]), End.COMPLETE, kind="application/json"
        ),
        False,
    ),
    "of another status": (
        lambda n: make_response(b"".join(REPEATED[n:]), End.COMPLETE, status=206),
        False,
    ),
    "of a failure's status": (
        lambda n: make_response(b"".join(REPEATED[n:]), End.COMPLETE, status=503),
        False,
    ),
    "with an error's text": (
        lambda n: make_response(b"out of memory\n\n", End.COMPLETE),
        False,
    ),
    "with a response head": (
        lambda n: make_response(HEAD + b"".join(REPEATED[n:]), End.COMPLETE),
        False,
    ),
    "without events": (lambda n: make_response(b"", End.COMPLETE), False),
    "from the start": (
        lambda n: make_response(b"".join(REPEATED), End.COMPLETE),
        False,
    ),
    "an event late": (
        lambda n: make_response(b"".join(REPEATED[n + 1 :]), End.COMPLETE),
        False,
    ),
    "an event early": (
        lambda n: make_response(b"".join(REPEATED[max(n - 1, 0) :]), End.COMPLETE),
        False,
    ),
    "without an end mark": (
        lambda n: make_response(b"".join(REPEATED[n:7]), End.COMPLETE),
        False,
    ),
    "ending in an event": (
        lambda n: make_response(
            b"".join(REPEATED[n:6]) + REPEATED[6][:9], End.COMPLETE
        ),
        False,
    ),
}


WITH_EVENTS = [read for read in RECEIVED if b"\n\n" in RECEIVED[read]]
# Streams that continue in place if no event was received.
FROM_START = ("from the start", "an event early")


@pytest.mark.parametrize("resumed", RESUMED)
@pytest.mark.parametrize("read", WITH_EVENTS)
def test_a_resumed_stream_continues_in_place_or_ends_with_an_error(read, resumed):
    resume, is_in_place = RESUMED[resumed]
    engine = ScriptedEngine(make_response(RECEIVED[read], End.BROKEN), resume)
    status, body, ended = complete(engine, USAGE_REQUEST)
    texts, error = parse_texts(body)
    expected = [*TEXTS, "usage", "[DONE]"]
    assert (status, ended) == (200, True)
    assert texts == expected[: len(texts)]
    assert (texts == expected) is is_in_place
    assert error == ("" if is_in_place else "answer_truncated")


@pytest.mark.parametrize("resumed", [r for r in RESUMED if r != "an event late"])
@pytest.mark.parametrize("read", [read for read in RECEIVED if read not in WITH_EVENTS])
def test_a_stream_broken_before_its_first_event_is_resumed_in_order_or_fails(
    read, resumed
):
    resume, is_in_place = RESUMED[resumed]
    engine = ScriptedEngine(make_response(RECEIVED[read], End.BROKEN), resume)
    status, body, ended = complete(engine, USAGE_REQUEST)
    assert ended
    if status != 200:
        assert not is_in_place
        assert json.loads(body)["error"]["code"] == "server_failed"
        return
    texts, error = parse_texts(body)
    expected = [*TEXTS, "usage", "[DONE]"]
    assert texts == expected[: len(texts)]
    assert (texts == expected) is (is_in_place or resumed in FROM_START)
    assert error == ("" if texts == expected else "answer_truncated")


@pytest.mark.parametrize("read", RECEIVED)
def test_a_stream_without_its_end_mark_is_not_complete(read):
    engine = ScriptedEngine(make_response(RECEIVED[read], End.COMPLETE))
    status, body, ended = complete(engine, USAGE_REQUEST)
    assert ended
    if read not in WITH_EVENTS:
        assert status != 200
        return
    texts, error = parse_texts(body)
    assert "[DONE]" not in texts
    assert error == "answer_truncated"


def test_chunks_after_the_deadline_are_not_forwarded():
    read = b"".join(FIRST[:2]) + FIRST[2][:20]
    rest = FIRST[2][20:] + b"".join(FIRST[3:])
    engine = ScriptedEngine(make_response(read, End.STALLED))

    async def work(bench):
        reader, writer = await asyncio.open_connection("127.0.0.1", bench.port)
        writer.write(
            REQUEST.replace(b"Host: r0", b"Host: r0\r\nDeadline-Ms: 700")
            + b"GET /healthz HTTP/1.1\r\nHost: r0\r\n\r\n"
        )
        body = await reader.readuntil(b"0\r\n\r\n")
        for engine_writer in engine.stalled:
            engine_writer.write(b"%x\r\n%s\r\n" % (len(rest), rest))
        return body, await reader.readuntil(b'{"status":"ok"}')

    body, after = run(work, engine)
    assert body.count(b'"text"') == 2
    assert b"deadline_exceeded" in body
    assert FIRST[2][:20] not in body.replace(b"".join(FIRST[:2]), b"")
    assert after.startswith(b"HTTP/1.1 200 OK")


@pytest.mark.parametrize("step", [1, 7, 1000])
def test_a_stream_resumed_at_a_wrong_event_forwards_nothing(step):
    for place in (0, 1, 3):
        stream = CompletionStream(wants_usage=True)
        assert stream.feed(b"".join(FIRST[:6])) == b"".join(FIRST[:6])
        assert stream.restart() == 2
        rest = b"".join(REPEATED[place:])
        chunks = [rest[i : i + step] for i in range(0, len(rest), step)]
        assert not any(map(stream.feed, chunks))
        assert stream.failed


def test_usage_reported_before_the_end_is_not_the_final_usage():
    middle = (
        b'data: {"choices":[{"index":0,"text":"a"}],'
        b'"usage":{"prompt_tokens":2,"completion_tokens":1}}\n\n'
    )
    stream = CompletionStream(wants_usage=True)
    assert stream.feed(middle) == middle
    assert stream.usage is None
    stream.feed(END_OF_STREAM)
    assert (stream.complete, stream.usage) == (True, Usage(2, 1))


READ_BODY = b'{"entries":[],"next_offset":0,"end_offset":0}'
STATUS = b"HTTP/1.1 200 OK\r\n"
CHUNKED = STATUS + b"Transfer-Encoding: chunked\r\n\r\n"
TRUNCATED = {
    "before its length": STATUS + b"Content-Length: 99\r\n\r\n" + READ_BODY,
    "before its last chunk": CHUNKED + b"%x\r\n%s\r\n" % (len(READ_BODY), READ_BODY),
    "in a chunk": CHUNKED + b"63\r\n" + READ_BODY,
    "after its status": STATUS,
    "after a header": STATUS + b"Content-Length: 2\r\n",
    "in a header": STATUS + b"Content-Len",
    "after an interim answer": b"HTTP/1.1 100 Continue\r\n\r\n",
    "by a reset": STATUS + b"\r\n" + READ_BODY,
}


@pytest.mark.parametrize("truncation", TRUNCATED)
def test_a_truncated_response_is_not_taken_for_a_complete_one(truncation):
    async def scenario():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(TRUNCATED[truncation])
            await writer.drain()
            await asyncio.sleep(0.05)
            if truncation == "by a reset":
                reset_stream(writer)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client, log = UpstreamClient(), HttpLogClient(url, 5 * SECOND)
        call = UpstreamCall("GET", url, {}, None, SECOND, 5 * SECOND)
        result = await client.run_call(call, Transfer())
        assert result.delivery is Delivery.UNKNOWN
        with pytest.raises(LogUnavailableError):
            await log.read_entries("ledger-0", 0, 10, timedelta())
        client.close()
        await log.close()
        server.close()

    asyncio.run(scenario())


def reset_stream(writer):
    """Make the connection reset when it is closed."""
    linger = struct.pack("ii", 1, 0)
    endpoint = writer.get_extra_info("socket")
    endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def make_usage_answer(tokens):
    usage = b'"usage":{"prompt_tokens":0,"completion_tokens":%d}' % tokens
    body = b'{"state":"done",%s}' % usage
    return STATUS + b"Content-Length: %d\r\n\r\n" % len(body) + body


def test_a_copied_usage_is_not_taken_for_that_of_the_next_attempt():
    """A reused connection carried the copy, and nothing in it names its attempt."""
    tokens = {b"a1": 500, b"a2": 7}

    async def serve(reader, writer):
        copy = b""
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            attempt = head.split(b" ", 2)[1].rpartition(b"/")[2]
            answer = make_usage_answer(tokens[attempt])
            writer.write(copy + answer)
            copy = answer
        writer.close()

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        client = UpstreamClient()
        usages = UsageReader(client)
        read = [await usages.read_usage(address, attempt) for attempt in ("a1", "a2")]
        client.close()
        server.close()
        return read

    assert asyncio.run(scenario()) == [Usage(0, 500), Usage(0, 7)]


def test_a_copied_response_of_the_log_is_not_taken_for_that_of_the_next_call():
    """The second append was refused, and its records counted as written."""
    done = STATUS + b'Content-Length: 18\r\n\r\n{"first_offset":0}'
    refused = b"HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"
    answers = [done, refused]

    async def serve(reader, writer):
        copy = b""
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(2)
                answer = answers.pop(0)
                writer.write(copy + answer)
                copy = answer
        writer.close()

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        log = HttpLogClient(url, 5 * SECOND)
        assert await log.append_raw("ledger-0", []) == 0
        with pytest.raises(LogUnavailableError):
            await log.append_raw("ledger-0", [])
        await log.close()
        server.close()

    asyncio.run(scenario())
