"""Loads in which tokens run short, replayed on the decisions."""

import heapq
import random
from datetime import timedelta

from lavendershift.prepaid import PrepaidAccount
from lavendershift.shortages import (
    ELSEWHERE,
    OUTAGE_RETURN,
    SETTLED_RETURN,
    TokenShortage,
    choose_retry_delay,
    find_wait,
)

VMS = 8
PATIENCE = timedelta(seconds=5)  # for which callers are willing to stay away


def replay(accounts, requests, reached, events=(), elsewhere=None):
    """Play requests that come back once, at another VM; returns those unserved.

    ``requests`` are times in seconds and tokens; ``events`` are times with
    functions that return tokens. ``elsewhere`` is what VMs know of the others.
    """
    rng = random.Random(7)
    queue = [(at, number, tokens, None) for number, (at, tokens) in enumerate(requests)]
    queue += [(at, -1 - n, 0, event) for n, (at, event) in enumerate(events)]
    heapq.heapify(queue)
    tried, unserved = {}, 0
    while queue:
        now, number, tokens, event = heapq.heappop(queue)
        if event is not None:
            event()
            continue
        vm = rng.choice([v for v in range(VMS) if v != tried.get(number)])
        if accounts[vm].reserve(tokens, timedelta(seconds=now)):
            continue
        if number in tried:
            unserved += 1
            continue
        tried[number] = vm
        shortage = TokenShortage(tokens, accounts[vm].free, 0, reached[vm], elsewhere)
        after = min(choose_retry_delay(shortage, rng), PATIENCE)
        heapq.heappush(queue, (now + after.total_seconds(), number, tokens, None))
    return unserved


def make_accounts(tokens):
    accounts = [PrepaidAccount("plume") for _ in range(VMS)]
    for account in accounts:
        account.credit(tokens)
    return accounts


def test_callers_of_a_cut_vm_are_served_elsewhere_at_once():
    accounts, reached = make_accounts(50_000), [True] * VMS
    accounts[3].credit(-50_000)
    reached[3] = False
    requests = [(n * 0.05, 1000) for n in range(160)]
    assert replay(accounts, requests, reached) == 0
    lost = TokenShortage(1000, 0, 50_000, is_store_reachable=False)
    assert choose_retry_delay(lost, random.Random(1)) == ELSEWHERE


def test_callers_come_back_after_a_cut_of_all_vms():
    """They came back at once, were refused by another VM and gave up."""

    def heal(accounts):
        for account in accounts:
            account.credit(100_000)

    requests = [(n * 0.05, 1000) for n in range(100)]
    accounts = make_accounts(0)
    knowing = replay(
        accounts, requests, [False] * VMS, [(6.0, lambda: heal(accounts))], elsewhere=0
    )
    accounts = make_accounts(0)
    unknowing = replay(
        accounts, requests, [False] * VMS, [(6.0, lambda: heal(accounts))]
    )
    assert unknowing == 100
    assert knowing <= 25


def test_callers_go_to_a_vm_that_told_of_enough_tokens():
    rng = random.Random(1)
    enough = TokenShortage(1000, 0, 0, is_store_reachable=False, elsewhere=1000)
    too_little = TokenShortage(1000, 0, 0, is_store_reachable=False, elsewhere=999)
    assert choose_retry_delay(enough, rng) == ELSEWHERE
    assert choose_retry_delay(too_little, rng) >= OUTAGE_RETURN


def test_callers_of_a_drawn_total_come_back_when_streams_have_settled():
    """Running requests set most of the total aside and use a part of it."""
    accounts = make_accounts(0)

    def settle():
        for account in accounts:
            account.credit(4000)

    requests = [(n * 0.01, 400) for n in range(60)]
    settled = replay(accounts, requests, [True] * VMS, [(1.5, settle)])
    assert settled <= 6


def test_a_crowd_does_not_come_back_at_one_moment():
    shortage = TokenShortage(1000, 0, 0, is_store_reachable=True)
    rng = random.Random(5)
    times = sorted(choose_retry_delay(shortage, rng) for _ in range(500))
    busiest = max(
        sum(at <= other < at + SETTLED_RETURN / 15 for other in times) for at in times
    )
    assert busiest < 500 / 4


def test_a_request_waits_so_briefly_that_another_vm_can_keep_its_target():
    target = timedelta(milliseconds=400)
    assert find_wait(target) <= target / 8
    assert timedelta() < find_wait(timedelta()) < timedelta(seconds=1)
