from datetime import timedelta

import pytest

from lavendershift.errors import ErrorKind
from lavendershift.holdingpolicies import (
    HOLDING_POLICIES,
    BorrowTokens,
    HoldingView,
    Peer,
    RequestGrant,
    RequestRecall,
    ReturnTokens,
)
from lavendershift.ledgerrules import Verdict
from lavendershift.rates import RateEstimator
from lavendershift.recalls import RecallQueue
from lavendershift.records import Grant, Recall
from lavendershift.waitpolicies import Refuse, Wait, decide_wait

adaptive = HOLDING_POLICIES["adaptive"]
VIEW = HoldingView(
    budget="b",
    prepaid=10**8,
    available=10**8,
    free=0,
    lendable=0,
    reserved=0,
    requested=0,
    wanted=0,
    smallest_wanted=0,
    recalled_ahead=0,
    own_rate=10.0,
    fleet_rate=80.0,
    live_routers=8,
    log_reachable=True,
    hold_ahead=timedelta(hours=1),
    hold_share=0.005,
    peers=(Peer("j", False, True, 900), Peer("k", True, True, 500)),
)


def test_registry_holds_the_four_policies():
    assert set(HOLDING_POLICIES) == {"per_request", "equal_split", "fixed", "adaptive"}


def test_adaptive_policy_holds_an_outage_of_usage_up_to_its_share():
    [grant] = adaptive(VIEW)
    assert 36_000 <= grant.tokens <= 100_000
    [grant] = adaptive(VIEW._replace(available=10**6))
    assert grant.tokens == int(0.005 * (10**6 + 1400))
    assert adaptive(VIEW._replace(free=60_000)) == []
    [back] = adaptive(VIEW._replace(free=200_000, lendable=200_000))
    assert isinstance(back, ReturnTokens)


def test_waiting_request_gets_tokens_from_the_log_then_from_peers():
    short = VIEW._replace(available=0, wanted=300, smallest_wanted=100, free=40)
    assert adaptive(short) == [RequestRecall(60)]
    [grant] = adaptive(short._replace(available=50))
    assert isinstance(grant, RequestGrant)
    assert 260 <= grant.tokens <= 270
    [borrow] = adaptive(short._replace(log_reachable=False))
    assert isinstance(borrow, BorrowTokens)
    assert borrow.peer == "k", "a peer in the same failure domain is preferred"


def test_idle_tokens_are_returned_for_recall_requests_ahead():
    held = VIEW._replace(free=500, lendable=500, recalled_ahead=80)
    assert adaptive(held) == [ReturnTokens(80)]


def test_smallest_recall_request_is_served_first_until_granted_or_expired():
    queue = RecallQueue()
    queue.apply(Recall("i/1", "b", "i", 300), Verdict(True), 0)
    queue.apply(Recall("j/1", "b", "j", 100), Verdict(True), 1)
    assert queue.sum_ahead("b", "j", 2) == 0
    assert queue.sum_ahead("b", "i", 2) == 100
    assert queue.sum_ahead("b", "k", 2) == 400
    queue.apply(Grant("j/2", "b", "j", 100, 0), Verdict(True, 100), 3)
    assert queue.sum_ahead("b", "i", 3) == 0
    assert queue.sum_ahead("b", "k", 3) == 300
    assert queue.sum_ahead("b", "k", 10_000) == 0


def test_request_waits_only_for_tokens_that_can_become_free():
    view = VIEW._replace(available=100, free=10, reserved=20)
    times = (timedelta(), timedelta(seconds=60))
    assert isinstance(decide_wait(view, 1530, *times), Wait)
    assert decide_wait(view, 1531, *times).kind is ErrorKind.BUDGET_EXHAUSTED
    unreachable = view._replace(
        log_reachable=False, peers=(Peer("j", True, False, 900),)
    )
    assert isinstance(decide_wait(unreachable, 31, *times), Refuse)
    late = decide_wait(view, 100, timedelta(seconds=10), timedelta(seconds=50))
    assert late.kind is ErrorKind.BUDGET_PENDING


def test_rate_is_usable_early_and_decays():
    rates = RateEstimator(timedelta(minutes=10))
    for second in range(60):
        rates.add(100, timedelta(seconds=second))
    assert rates.estimate(timedelta(seconds=60)) == pytest.approx(100, rel=0.1)
    assert rates.estimate(timedelta(hours=2)) < 1
