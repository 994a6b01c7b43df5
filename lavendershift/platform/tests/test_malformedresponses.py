"""Responses that must not be taken for complete ones.

Guards against a part of a response that passes as the whole, where a server answers a
long upload early and resets the connection, and against statuses that are none.
"""

import asyncio

import pytest

from lavendershift.attempts import AttemptEnd
from lavendershift.errors import RequestError
from lavendershift.platform.tests.conftest import RecordedResponse
from lavendershift.platform.tests.earlyservers import (
    EarlyServer,
    close,
    end_sending,
    reset,
)
from lavendershift.routes import Repeat
from lavendershift.tests.test_upstreams import SECOND
from lavendershift.upstreams import Delivery, Transfer, UpstreamCall, UpstreamClient
from lavendershift_standins.platformserver import make_event, stream

UPLOAD = b"x" * 16_000_000  # more than the sockets' buffers take
ENDS = {"reset": reset, "close": close, "half": end_sending}
PLAIN = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain"
EVENTS = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream"
STATUSES = ["000", "099", "600", "999", "20", "0200", "2000", "100", "101", "199"]


def make_status_head(status):
    return f"HTTP/1.1 {status} OK\r\nContent-Length: 4".encode()


async def deliver(scenario, server, body=UPLOAD, **options):
    """Deliver a request; return its response and the error kind, if any."""
    await server.start()
    scenario.list_server(server)
    request = scenario.make_request()._replace(body=body)
    answer = RecordedResponse()
    try:
        await scenario.make_delivery(answer, request=request, **options).run()
    except RequestError as error:
        answer.error = error
    await server.stop()
    return answer


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("served", [0, 1])
def test_a_part_of_a_response_to_an_upload_is_not_complete(play, end, served):
    async def work(scenario):
        server = EarlyServer(PLAIN, b"a part", ENDS[end], served)
        if served:
            await server.start()
            scenario.list_server(server)
            first = await scenario.deliver(request=scenario.make_request(9))
            assert first.body == b"done"
        return await deliver(scenario, server)

    answer = play(work)
    assert not answer.is_done
    assert answer.error is not None


@pytest.mark.parametrize("end", ENDS)
def test_a_part_of_a_stream_during_an_upload_is_not_complete(play, end):
    async def work(scenario):
        server = EarlyServer(EVENTS, make_event(1), ENDS[end])
        return await deliver(scenario, server, is_stream=True)

    assert not play(work).is_done


@pytest.mark.parametrize("end", ENDS)
def test_a_resumed_stream_that_breaks_during_an_upload_is_not_complete(play, end):
    async def work(scenario):
        server = EarlyServer(EVENTS, make_event(1), ENDS[end])
        second = EarlyServer(EVENTS, make_event(2), ENDS[end], name="i-1")
        await second.start()
        scenario.list_server(second)
        answer = await deliver(
            scenario, server, is_stream=True, repeat=Repeat.RESUME, attempts=2
        )
        await second.stop()
        return answer

    assert not play(work).is_done


def test_a_stream_that_breaks_during_an_upload_is_resumed(play):
    async def work(scenario):
        server = EarlyServer(EVENTS, make_event(1), end_sending, name="i-9")
        sound = await scenario.add_server()
        sound.default = stream(4)
        scenario.list_server(sound, is_leaving=True)
        scenario.on_report = lambda: scenario.list_server(sound, is_leaving=False)
        return await deliver(
            scenario, server, is_stream=True, repeat=Repeat.RESUME, attempts=2
        )

    answer = play(work)
    assert answer.is_done
    assert answer.body == b"".join(make_event(number) for number in range(1, 5))


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("served", [0, 1])
@pytest.mark.parametrize("is_stream", [False, True])
def test_a_status_that_is_none_is_no_response(play, status, served, is_stream):
    async def work(scenario):
        server = EarlyServer(make_status_head(status), b"done", close, served)
        if served:
            await server.start()
            scenario.list_server(server)
            await scenario.deliver(request=scenario.make_request(9))
        scenario.notes.clear()
        answer = await deliver(scenario, server, b"question", is_stream=is_stream)
        return answer, scenario.ends

    answer, ends = play(work)
    assert not answer.is_done
    assert answer.error is not None
    assert ends == [AttemptEnd.BROKEN]


def run_call(head, body, end, upload, on_status=None):
    async def work():
        server = EarlyServer(head, body, end)
        await server.start()
        client = UpstreamClient()
        url = f"http://{server.address}/"
        call = UpstreamCall("POST", url, {}, upload, SECOND, 5 * SECOND)
        chunks = []
        result = await client.run_call(call, Transfer(), on_status, chunks.append)
        client.close()
        await server.stop()
        return result

    return asyncio.run(work())


@pytest.mark.parametrize("is_streamed", [False, True])
@pytest.mark.parametrize("end", ENDS)
def test_curl_takes_no_part_of_a_response_to_an_upload_for_complete(end, is_streamed):
    result = run_call(
        PLAIN, b"a part", ENDS[end], UPLOAD, lambda status, headers: is_streamed
    )
    assert result.delivery is Delivery.UNKNOWN


@pytest.mark.parametrize("status", STATUSES)
def test_curl_takes_a_status_that_is_none_for_no_response(status):
    result = run_call(make_status_head(status), b"done", close, b"question")
    assert result.delivery is Delivery.UNKNOWN
