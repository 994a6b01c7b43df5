import random
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lavendershift.clocks import ManualClock
from lavendershift.errors import ANSWERS, ErrorKind, Ran
from lavendershift.retries import (
    BURST,
    SUCCESS_SHARE,
    AttemptOutcome,
    GiveUp,
    Retries,
    Retry,
    RetryBudget,
    RetryReason,
)

REFUSED = AttemptOutcome(RetryReason.REFUSED, Ran.NO, repeatable=False, attempts=1)


def make_retries():
    return Retries(ManualClock(), random.Random(3))


@settings(derandomize=True, database=None)
@given(st.lists(st.integers(0, 9), max_size=400))
def test_retries_never_exceed_the_budget(draws):
    retries = make_retries()
    retried = successes = 0
    for draw in draws:
        if draw == 0:
            retries.record_success()
            successes += 1
        else:
            retried += isinstance(retries.decide(REFUSED), Retry)
        assert retried <= BURST + SUCCESS_SHARE * successes + 1e-6


outcomes = st.builds(
    AttemptOutcome,
    reason=st.sampled_from(RetryReason),
    ran=st.sampled_from(Ran),
    repeatable=st.booleans(),
    attempts=st.integers(1, 3),
    earlier_ran=st.sampled_from(Ran),
    answer_started=st.booleans(),
    servers_left=st.booleans(),
    deadline=st.sampled_from([None, timedelta(0), timedelta(minutes=1)]),
)


@settings(derandomize=True, database=None, max_examples=400)
@given(outcomes)
def test_retries_are_safe_and_error_kinds_match_what_ran(outcome):
    decision = make_retries().decide(outcome)
    not_run = outcome.ran is Ran.NO and outcome.earlier_ran is Ran.NO
    if isinstance(decision, Retry):
        assert outcome.repeatable or not_run
        assert not outcome.answer_started
        assert outcome.servers_left
        assert outcome.deadline is None or decision.delay < outcome.deadline
    elif ANSWERS[decision.kind].ran is Ran.NO:
        assert not_run and not outcome.answer_started


@pytest.mark.parametrize(
    ("change", "kind"),
    [
        ({"servers_left": False}, ErrorKind.SERVER_REFUSED),
        ({"earlier_ran": Ran.UNKNOWN}, ErrorKind.OUTCOME_UNKNOWN),
        ({"answer_started": True, "ran": Ran.YES}, ErrorKind.ANSWER_TRUNCATED),
        ({"deadline": timedelta()}, ErrorKind.DEADLINE_UNREACHABLE),
        ({"deadline": timedelta(), "ran": Ran.UNKNOWN}, ErrorKind.OUTCOME_UNKNOWN),
        (
            {"deadline": timedelta(), "ran": Ran.UNKNOWN, "repeatable": True},
            ErrorKind.DEADLINE_EXCEEDED,
        ),
    ],
)
def test_each_cause_of_giving_up_has_its_error_kind(change, kind):
    assert make_retries().decide(REFUSED._replace(**change)) == GiveUp(kind)


def test_a_larger_burst_can_be_used_at_once():
    """Otherwise a VM that becomes active has only the few tokens of a standby."""
    budget = RetryBudget(share=0.1, burst=2)
    budget.set_burst(12)
    assert [budget.spend() for _ in range(13)] == [True] * 12 + [False]


def test_repeated_changes_of_the_burst_create_no_tokens():
    budget = RetryBudget(share=0.1, burst=12)
    for _ in range(6):
        budget.spend()
    for _ in range(5):
        budget.set_burst(2)
        budget.set_burst(12)
    assert sum(budget.spend() for _ in range(12)) == 6


@pytest.mark.parametrize("vms", [8, 66, 195, 330])
def test_retries_of_a_fleet_keep_to_its_slack_and_use_it(vms):
    """A VM's part of the slack is less than one token in a large fleet.

    Each VM uses 0.8 of its part of what the fleet may use.
    """
    ratio, slack, requests = 0.2, 56, 20
    counts = []
    for seed in range(20):
        rng = random.Random(seed)
        burst = 0.8 * slack / vms
        budgets = [RetryBudget(0.8 * ratio, burst, rng) for _ in range(vms)]
        counts.append(sum(b.spend() for b in budgets for _ in range(8)))
        for budget in budgets:
            for _ in range(requests):
                budget.record_success()
                counts[-1] += budget.spend()
        assert counts[-1] <= slack + ratio * requests * vms
    part = 0.8 * (slack + ratio * requests * vms)
    assert 0.85 * part < sum(counts) / len(counts) <= 1.02 * part


def test_less_than_a_token_is_spent_as_a_whole_for_a_chance_at_one():
    budget = RetryBudget(share=0.0, burst=0.5, rng=random.Random(1))
    assert sum(budget.spend() for _ in range(100)) <= 1
    retries = 0
    for seed in range(1000):
        retries += RetryBudget(0.0, 0.3, random.Random(seed)).spend()
    assert 250 < retries < 350
