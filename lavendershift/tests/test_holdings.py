from datetime import timedelta

import pytest

from lavendershift.errors import ErrorKind
from lavendershift.holdings import (
    HOLDING_POLICIES,
    AskGrant,
    AskRecall,
    Borrow,
    HandBack,
    HoldingView,
    Peer,
)
from lavendershift.ledgerrules import Verdict
from lavendershift.rates import RateEstimator
from lavendershift.recalls import RecallBoard
from lavendershift.records import Grant, Recall
from lavendershift.waiting import Refuse, Wait, decide_wait

adaptive = HOLDING_POLICIES["adaptive"]
VIEW = HoldingView(
    budget="b",
    prepaid=10**8,
    available=10**8,
    free=0,
    lendable=0,
    reserved=0,
    asked=0,
    wanted=0,
    least_wanted=0,
    recalled=0,
    own_rate=10.0,
    fleet_rate=80.0,
    live_routers=8,
    log_reachable=True,
    hold_ahead=timedelta(hours=1),
    hold_share=0.005,
    peers=(Peer("j", False, True, 900), Peer("k", True, True, 500)),
)


def test_the_registry_holds_the_four_policies():
    assert set(HOLDING_POLICIES) == {"per_request", "equal_split", "fixed", "adaptive"}


def test_a_router_holds_an_outage_ahead_up_to_its_share():
    [ask] = adaptive(VIEW)
    assert 36_000 <= ask.tokens <= 100_000
    [ask] = adaptive(VIEW._replace(available=10**6))
    assert ask.tokens == int(0.005 * (10**6 + 1400))
    assert adaptive(VIEW._replace(free=60_000)) == []
    [back] = adaptive(VIEW._replace(free=200_000, lendable=200_000))
    assert isinstance(back, HandBack)


def test_a_waiting_request_asks_the_log_then_peers():
    short = VIEW._replace(available=0, wanted=300, least_wanted=100, free=40)
    assert adaptive(short) == [AskRecall(60)]
    [ask] = adaptive(short._replace(available=50))
    assert isinstance(ask, AskGrant)
    assert 260 <= ask.tokens <= 270
    [borrow] = adaptive(short._replace(log_reachable=False))
    assert isinstance(borrow, Borrow)
    assert borrow.peer == "k", "its own failure domain comes first"


def test_idle_tokens_go_to_those_ahead():
    held = VIEW._replace(free=500, lendable=500, recalled=80)
    assert adaptive(held) == [HandBack(80)]


def test_the_smallest_plea_is_served_first_until_met_or_expired():
    board = RecallBoard()
    board.apply(Recall("i/1", "b", "i", 300), Verdict(True), 0)
    board.apply(Recall("j/1", "b", "j", 100), Verdict(True), 1)
    assert board.wanted_ahead("b", "j", 2) == 0
    assert board.wanted_ahead("b", "i", 2) == 100
    assert board.wanted_ahead("b", "k", 2) == 400
    board.apply(Grant("j/2", "b", "j", 100, 0), Verdict(True, 100), 3)
    assert board.wanted_ahead("b", "i", 3) == 0
    assert board.wanted_ahead("b", "k", 3) == 300
    assert board.wanted_ahead("b", "k", 10_000) == 0


def test_a_request_waits_only_for_tokens_that_can_come():
    view = VIEW._replace(available=100, free=10, reserved=20)
    ask = (timedelta(), timedelta(seconds=60))
    assert isinstance(decide_wait(view, 1530, *ask), Wait)
    assert decide_wait(view, 1531, *ask).kind is ErrorKind.BUDGET_EXHAUSTED
    away = view._replace(log_reachable=False, peers=(Peer("j", True, False, 900),))
    assert isinstance(decide_wait(away, 31, *ask), Refuse)
    late = decide_wait(view, 100, timedelta(seconds=10), timedelta(seconds=50))
    assert late.kind is ErrorKind.BUDGET_PENDING


def test_the_rate_is_usable_early_and_forgets():
    rates = RateEstimator(timedelta(minutes=10))
    for second in range(60):
        rates.add(100, timedelta(seconds=second))
    assert rates.estimate(timedelta(seconds=60)) == pytest.approx(100, rel=0.1)
    assert rates.estimate(timedelta(hours=2)) < 1
