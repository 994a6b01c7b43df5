"""Responses whose head stops in the middle and whose connection then ends."""

import asyncio

import pytest

from lavendershift.errors import Ran, RequestError
from lavendershift.platform.tests.conftest import RecordedResponse
from lavendershift.routes import Repeat
from lavendershift_standins.platformserver import (
    answer_complete,
    close,
    make_event,
    make_head,
    reset,
    stream,
)

COUNT = 4
BODIES = {
    "length": {"Content-Length": "4"},
    "chunks": {"Transfer-Encoding": "chunked"},
    "none": {},
    "stream": {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"},
}
# Bytes from the end of the head, and from its start where positive.
CUTS = [1, 9, 12, 15, 17, 40, 60, 90, -30, -20, -12, -6, -4, -3, -2, -1]
READ_DELAY_S = 0.01  # time to read the head, as a reset drops unread bytes


def send_head(headers, size, end):
    """Send the first ``size`` bytes of a head, then end with the behaviour ``end``."""

    async def behave(received, writer):
        writer.write(make_head(received, 200, headers)[:size])
        await writer.drain()
        await asyncio.sleep(READ_DELAY_S)
        await end(received, writer)

    return behave


@pytest.mark.parametrize("end", [close, reset])
@pytest.mark.parametrize("body", BODIES)
def test_head_that_stops_in_the_middle_is_no_success(play, body, end):
    async def work(scene):
        server = await scene.add_server()
        for number, size in enumerate(CUTS):
            server.script.append(send_head(BODIES[body], size, end))
            request = scene.make_request(number)
            response = RecordedResponse()
            with pytest.raises(RequestError) as caught:
                await scene.make_delivery(
                    response, request=request, is_stream=body == "stream"
                ).run()
            assert caught.value.answer.ran is not Ran.NO, size
            assert not response.has_started

    play(work)


@pytest.mark.parametrize("end", [close, reset])
@pytest.mark.parametrize("body", BODIES)
def test_request_is_served_after_a_head_that_stops_in_the_middle(play, body, end):
    is_stream = body == "stream"

    async def work(scene):
        scene.retries = len(CUTS)
        broken, sound = [await scene.add_server() for _ in range(2)]
        sound.default = stream(COUNT) if is_stream else answer_complete
        scene.servers.choose = lambda service, prompt, tried, urgency: (
            scene.servers.find(f"i-{len(tried)}")
        )
        for number, size in enumerate(CUTS):
            broken.script.append(send_head(BODIES[body], size, end))
            response = await scene.deliver(
                request=scene.make_request(number),
                repeat=Repeat.RESUME if is_stream else Repeat.ALWAYS,
                is_stream=is_stream,
            )
            assert response.is_done, size
            whole = b"".join(make_event(event + 1) for event in range(COUNT))
            assert response.body == (whole if is_stream else f"done r{number}".encode())
        assert len(sound.received) == len(CUTS)

    play(work)
