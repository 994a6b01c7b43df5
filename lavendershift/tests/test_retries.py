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
