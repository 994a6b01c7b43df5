"""Tests of requests in flight at servers that are no longer listed."""

import asyncio
from datetime import timedelta

import pytest

from lavendershift.platform.tests.conftest import RecordedResponse
from lavendershift.routes import Repeat
from lavendershift_standins.platformserver import make_event, stream


@pytest.mark.parametrize("repeat", [Repeat.NEVER, Repeat.RESUME])
def test_a_stream_of_a_server_that_renews_its_entry_late_goes_on_there(play, repeat):
    """The entry expires, and is written again while the stream goes on."""

    async def work(scene):
        server = await scene.add_server(stream(5, pause_s=0.2))
        response = RecordedResponse()
        delivery = scene.make_delivery(response, repeat=repeat, is_stream=True)
        running = asyncio.ensure_future(delivery.run())
        await asyncio.sleep(0.3)
        scene.servers.remove(server.name)
        other = await scene.add_server(stream(5))
        await asyncio.sleep(0.3)
        scene.list_server(server, sequence=5)
        await asyncio.wait_for(running, timedelta(seconds=5).total_seconds())
        assert response.body == b"".join(make_event(n) for n in range(1, 6))
        assert (len(server.received), len(other.received)) == (1, 0)

    play(work)
