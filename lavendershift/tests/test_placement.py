import asyncio
from datetime import timedelta
from types import SimpleNamespace

from lavendershift.placement import Placement
from lavendershift.queues import URGENT_MARGIN
from lavendershift.routing import RouteRequest
from lavendershift.tests.test_routing import make_policy
from lavendershift.tests.test_servers import make_pool


def make_context(priority, deadline):
    caller = SimpleNamespace(customer="plume", weight=1.0)
    return SimpleNamespace(caller=caller, priority=priority, deadline=deadline)


def make_placement():
    clock, pool = make_pool(1)
    for number in range(6):
        pool.start("e0", f"busy{number}", 10)
    return clock, Placement(clock, pool, make_policy("affinity"))


def test_a_batch_request_waits_behind_interactive_ones_until_it_is_urgent():
    async def run():
        clock, placement = make_placement()
        deadline = timedelta(minutes=5)
        batch = RouteRequest("plume", priority="batch")
        waiting = asyncio.create_task(
            placement.place(make_context("batch", deadline), batch, "b")
        )
        await asyncio.sleep(0)
        placement.dispatch_queued()
        await asyncio.sleep(0)
        assert not waiting.done()
        interactive = RouteRequest("plume")
        context = make_context("interactive", deadline)
        assignment = await asyncio.wait_for(
            placement.place(context, interactive, "i"), 5
        )
        assert assignment.server == "e0"
        clock.advance(deadline - URGENT_MARGIN)
        placement.dispatch_queued()
        return await asyncio.wait_for(waiting, 5)

    assert asyncio.run(run()).attempt == "b"
