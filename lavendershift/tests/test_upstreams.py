import asyncio
from datetime import timedelta

import pytest

from lavendershift.completions import MAX_EVENT_BYTES, AnswerStream
from lavendershift.upstreams import Delivery, Transfer, UpstreamCall, UpstreamClient

SECOND = timedelta(seconds=1)
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
)


@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 100 Continue\r\n\r\n"])
def test_an_answer_in_one_segment_is_handed_over_after_its_status(interim):
    async def scenario():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(interim + HEAD + b"data: 1\n\n")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = UpstreamClient()
        seen = []

        def take_status(status, headers):
            seen.append((status, headers["Content-Type"]))
            return True

        call = UpstreamCall(
            "GET", f"http://127.0.0.1:{port}/", {}, None, SECOND, 5 * SECOND
        )
        result = await client.run_call(call, Transfer(), take_status, seen.append)
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
    ],
    ids=["too long an event", "an error"],
)
def test_nothing_is_forwarded_of_a_stream_that_failed(chunks):
    stream = AnswerStream(wants_usage=False)
    assert [stream.feed(chunk) for chunk in chunks] == [b"", b""]
    assert stream.failed
