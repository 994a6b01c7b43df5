import asyncio
from datetime import timedelta

from lavendershift.allocators import DROP_AFTER, IDLE_AFTER, IDLE_POLICY_INTERVAL
from lavendershift.clocks import ManualClock
from lavendershift.tools.capacity_budgets import AllocatorHarness


def run(scenario):
    async def main():
        scene = AllocatorHarness(12, ManualClock())
        await scene.join()
        try:
            return await scenario(scene)
        finally:
            await scene.session.stop()

    return asyncio.run(main())


def record_policy_runs(scene):
    """Return a list that each later run of the policy adds its budget to."""
    runs = []
    policy = scene.allocator._policy

    def run_policy(view):
        runs.append(view.budget)
        return policy(view)

    scene.allocator._policy = run_policy
    return runs


async def advance(scene, duration):
    for _ in range(int(duration / timedelta(seconds=1))):
        scene.clock.advance(timedelta(seconds=1))
        scene.session.follower.record_response()  # the log stays reachable
        scene.allocator.run_policies()
        await asyncio.sleep(0.001)


def test_view_lists_live_routers_that_hold_tokens():
    async def scenario(scene):
        await scene.reserve_and_settle("busy")
        peers = scene.allocator.make_view("busy").peers
        assert [p.incarnation.partition(".")[0] for p in peers] == [
            f"r{n}" for n in range(1, 11)
        ]
        assert all(p.reachable and p.held for p in peers)

    run(scenario)


def test_idle_budgets_run_the_policy_every_ten_seconds_and_are_dropped():
    async def scenario(scene):
        await asyncio.gather(*(scene.reserve_and_settle(f"b{n}") for n in range(20)))
        await advance(scene, 2 * IDLE_AFTER)
        runs = record_policy_runs(scene)
        await advance(scene, IDLE_POLICY_INTERVAL)
        assert 0 < len(runs) <= 2 * 20
        await advance(scene, 3 * DROP_AFTER)
        held = [scene.session.ledger.find_held(f"b{n}", scene.name) for n in range(20)]
        assert held == [0] * 20
        runs.clear()
        await advance(scene, 2 * IDLE_POLICY_INTERVAL)
        assert runs == []

    run(scenario)
