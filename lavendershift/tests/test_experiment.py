from datetime import timedelta

import pytest

from lavendershift.holdingpolicies import HOLDING_POLICIES
from lavendershift.tools.budget_fleet import Fleet
from lavendershift.tools.budget_router import HoldingSettings
from lavendershift.tools.experiment import run_one, summarize
from lavendershift.tools.traces import SCENARIOS, Scenario, deposit_hours, draw_trace

HOLDING = HoldingSettings(timedelta(hours=1), 0.005)
MAX_PARTITION_REFUSALS = 1.0  # maximum number of false refusals per 1,000 requests
MAX_UNSPENDABLE = 0.001  # maximum fraction of the prepaid tokens that can't be spent
MAX_STRANDED = 0.005  # maximum fraction of the remainder stranded by one failed VM


def test_no_request_is_refused_that_unreserved_tokens_can_pay_for():
    figures = run_one("adaptive", "exhaustion", 1, HOLDING)
    assert figures["overspend"] == 0
    assert figures["refused"] > 0
    assert figures["false_refusals"] == 0
    assert figures["unspendable"] <= MAX_UNSPENDABLE


def test_partitioned_domain_serves_for_an_hour():
    figures = run_one("adaptive", "domain_cut", 1, HOLDING)
    assert figures["overspend"] == 0
    assert figures["false_refusals"] <= MAX_PARTITION_REFUSALS


def test_vm_failure_strands_few_tokens():
    figures = run_one("adaptive", "deaths", 1, HOLDING)
    assert figures["overspend"] == 0
    assert 0 < figures["stranded_by_death"] <= MAX_STRANDED


@pytest.mark.parametrize("policy", HOLDING_POLICIES)
def test_no_policy_overspends(policy):
    scenario = Scenario("short", 0.3, deposit_hours(0.2))
    trace = draw_trace(scenario, 1)
    figures = Fleet(policy, HOLDING, scenario).run(trace, 1)
    assert figures["overspend"] == 0
    assert figures["refused"] > 0
    [row] = summarize([figures])
    assert row["policy"] == policy


def test_trace_depends_only_on_scenario_and_seed():
    scenario = SCENARIOS["busy_customer"]()
    assert draw_trace(scenario, 3) == draw_trace(scenario, 3)
