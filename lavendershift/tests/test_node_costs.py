import asyncio

from lavendershift.tools.node_costs import PHASES, measure


def test_the_cost_of_served_and_refused_requests_is_measured():
    # Guards against figures of requests that weren't served or refused as intended.
    costs = asyncio.run(measure(seconds=1.0, rounds=1))
    assert [cost.phase for cost in costs] == [phase.name for phase in PHASES]
    assert [cost.requests for cost in costs] == [0, 60, 60]
    assert [cost.failed for cost in costs] == [0, 0, 0]
    assert 1 <= costs[1].chunks <= 32
    assert all(cost.cpu_ms > 0 for cost in costs)
