from datetime import timedelta

import pytest
from returns.result import Success

from lavendershift.clocks import ManualClock
from lavendershift.demands import DemandTracker
from lavendershift.limits import BURST_TIME, Limit, RateLimiter

CUSTOMER = "desks/rennes/plume"
RATE = 20.0
HEARTBEAT_STEPS = 10
STEP = timedelta(milliseconds=100)


class Fleet:
    """Routers that report their customers' demand to each other every second."""

    def __init__(self, routers):
        self.clock = ManualClock()
        self.demands = [DemandTracker(self.clock) for _ in range(routers)]
        self.limiters = [RateLimiter(self.clock) for _ in range(routers)]
        self.steps = 0

    def step(self):
        self.clock.advance(STEP)
        self.steps += 1
        if self.steps % HEARTBEAT_STEPS == 0:
            for sender, demands in enumerate(self.demands):
                for receiver in self.demands:
                    if receiver is not demands:
                        receiver.record_peer_report(
                            f"r{sender}", demands.list_demands()
                        )

    def offer(self, router):
        demands = self.demands[router]
        demands.record_request(CUSTOMER)
        share = demands.find_demand_share(CUSTOMER, 0.5 / len(self.demands))
        limiter = self.limiters[router]
        result = limiter.admit([Limit(CUSTOMER, RATE)], share)
        if not isinstance(result, Success):
            return 0
        limiter.release(result.unwrap())
        return 1


def test_customer_that_uses_one_router_gets_its_full_rate():
    fleet = Fleet(6)
    admitted = 0
    for _ in range(600):
        fleet.step()
        admitted += fleet.offer(0)
    assert admitted == 600  # 10 requests per second are below the limit of 20


@pytest.mark.parametrize("weights", [[1] * 6, [5, 1, 1, 1, 1, 1], [1, 1, 0, 0, 0, 0]])
def test_fleet_enforces_the_rate_however_the_load_is_spread(weights):
    fleet = Fleet(6)
    admitted = 0
    for _ in range(600):
        fleet.step()
        for router, weight in enumerate(weights):
            admitted += sum(fleet.offer(router) for _ in range(2 * weight))
    burst = len(weights) * BURST_TIME.total_seconds() * RATE
    assert admitted <= 60 * RATE * 1.5 + burst
    assert admitted >= 60 * RATE * 0.9


def test_customer_that_changes_routers_gets_its_full_rate_within_seconds():
    fleet = Fleet(2)
    for _ in range(100):
        fleet.step()
        fleet.offer(0)
    for _ in range(100):
        fleet.step()
        fleet.offer(1)
    admitted = 0
    for _ in range(100):
        fleet.step()
        admitted += fleet.offer(1)
    assert admitted == 100
