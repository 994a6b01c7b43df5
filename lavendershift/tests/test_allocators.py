import asyncio
from datetime import timedelta

from lavendershift.allocators import FORGET_AFTER, IDLE_AFTER, IDLE_STEP
from lavendershift.clocks import ManualClock
from lavendershift.tools.capacity_budgets import Scene


def run(scenario):
    async def main():
        scene = Scene(12, ManualClock())
        await scene.join()
        try:
            return await scenario(scene)
        finally:
            await scene.session.stop()

    return asyncio.run(main())


def count_looks(scene):
    """Count the budgets looked at in each second from now on."""
    looks = []
    policy = scene.allocator._policy

    def look(view):
        looks.append(view.budget)
        return policy(view)

    scene.allocator._policy = look
    return looks


async def pass_time(scene, duration):
    for _ in range(int(duration / timedelta(seconds=1))):
        scene.clock.advance(timedelta(seconds=1))
        scene.session.follower.record_response()  # the log answers all the time
        scene.allocator.run_policies()
        await asyncio.sleep(0.001)


def test_the_view_names_the_live_routers_that_hold_tokens():
    async def scenario(scene):
        await scene.use("busy")
        peers = scene.allocator.make_view("busy").peers
        assert [p.incarnation.partition(".")[0] for p in peers] == [
            f"r{n}" for n in range(1, 11)
        ]
        assert all(p.reachable and p.held for p in peers)

    run(scenario)


def test_idle_budgets_cost_a_look_in_ten_seconds_and_are_forgotten():
    async def scenario(scene):
        await asyncio.gather(*(scene.use(f"b{n}") for n in range(20)))
        await pass_time(scene, 2 * IDLE_AFTER)
        looks = count_looks(scene)
        await pass_time(scene, IDLE_STEP)
        assert 0 < len(looks) <= 2 * 20
        await pass_time(scene, 3 * FORGET_AFTER)
        held = [scene.session.ledger.find_held(f"b{n}", scene.name) for n in range(20)]
        assert held == [0] * 20
        looks.clear()
        await pass_time(scene, 2 * IDLE_STEP)
        assert looks == []

    run(scenario)
