import pytest

from lavendershift.errors import ErrorKind
from lavendershift.tools.routing_experiment import ROUTING_POLICIES
from lavendershift.tools.routing_fleet import QUEUE_INTERVAL_S
from lavendershift.tools.routing_runs import Fleet, Scenario, summarize

CAPACITY = 23.0  # requests/s that the six simulated engines complete
BASE = Scenario("affinity", 0.8, capacity=CAPACITY, duration=35.0)


def run(**changes):
    fleet = Fleet(BASE._replace(**changes))
    fleet.run()
    return fleet


@pytest.mark.parametrize("policy", sorted(ROUTING_POLICIES))
def test_leaving_server_gets_no_new_requests_after_two_seconds(policy):
    fleet = run(policy=policy, fault="leaving")
    assert summarize(fleet).late_starts == 0
    before = [o for o in fleet.outcomes if o.arrival.time < 20]
    assert any(o.server == "e0" for o in before)
    assert all(not o.refusal for o in fleet.outcomes)


@pytest.mark.parametrize("policy", sorted(ROUTING_POLICIES))
def test_fast_failing_server_causes_few_retries(policy):
    summary = summarize(run(policy=policy, fault="failing"))
    assert 0 < summary.retries <= 0.1
    assert not summary.refusals


def test_overload_is_refused_at_once_without_loss_of_goodput():
    fleet = run(load=2.0, duration=90.0)
    assert summarize(fleet).goodput >= 0.9
    overloaded = ErrorKind.OVERLOADED.value
    refused = [o for o in fleet.outcomes if o.refusal == overloaded]
    assert refused
    assert all(o.ended - o.arrival.time <= QUEUE_INTERVAL_S for o in refused)


def test_runs_with_the_same_seed_are_equal():
    assert summarize(run()) == summarize(run())
