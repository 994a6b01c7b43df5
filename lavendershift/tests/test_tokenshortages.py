"""Load patterns with token shortages, simulated against the retry decisions."""

import heapq
import random
from datetime import timedelta

from lavendershift.prepaid import PrepaidAccount
from lavendershift.tokenshortages import (
    OTHER_VM_DELAY,
    OUTAGE_DELAY,
    SETTLEMENT_DELAY,
    TokenShortage,
    choose_retry_delay,
    find_longest_wait,
    find_wait,
)

VMS = 8
MAX_RETRY_DELAY = timedelta(seconds=5)  # longest retry delay that callers accept


def replay(accounts, requests, reached, events=(), held_elsewhere=None):
    """Simulate requests that are retried once, at another VM; return those unserved.

    ``requests`` are times in seconds and tokens; ``events`` are times with functions
    that add tokens. ``held_elsewhere`` is the largest stock known of another VM.
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
        shortage = TokenShortage(
            tokens, accounts[vm].free, 0, reached[vm], held_elsewhere
        )
        delay = min(choose_retry_delay(shortage, rng), MAX_RETRY_DELAY)
        heapq.heappush(queue, (now + delay.total_seconds(), number, tokens, None))
    return unserved


def make_accounts(tokens):
    accounts = [PrepaidAccount("plume") for _ in range(VMS)]
    for account in accounts:
        account.credit(tokens)
    return accounts


def test_callers_of_a_cut_off_vm_are_served_by_another_at_once():
    accounts, reached = make_accounts(50_000), [True] * VMS
    accounts[3].credit(-50_000)
    reached[3] = False
    requests = [(n * 0.05, 1000) for n in range(160)]
    assert replay(accounts, requests, reached) == 0
    shortage = TokenShortage(1000, 0, 50_000, is_store_reachable=False)
    assert choose_retry_delay(shortage, random.Random(1)) == OTHER_VM_DELAY


def test_callers_retry_after_an_outage_of_all_vms():
    """Callers that retried at once were refused by another VM and gave up."""

    def restore(accounts):
        for account in accounts:
            account.credit(100_000)

    requests = [(n * 0.05, 1000) for n in range(100)]
    accounts = make_accounts(0)
    with_reports = replay(
        accounts,
        requests,
        [False] * VMS,
        [(6.0, lambda: restore(accounts))],
        held_elsewhere=0,
    )
    accounts = make_accounts(0)
    without_reports = replay(
        accounts, requests, [False] * VMS, [(6.0, lambda: restore(accounts))]
    )
    assert without_reports == 100
    assert with_reports <= 25


def test_callers_retry_at_once_if_another_vm_reported_enough_tokens():
    rng = random.Random(1)
    enough = TokenShortage(1000, 0, 0, is_store_reachable=False, held_elsewhere=1000)
    too_little = TokenShortage(1000, 0, 0, is_store_reachable=False, held_elsewhere=999)
    assert choose_retry_delay(enough, rng) == OTHER_VM_DELAY
    assert choose_retry_delay(too_little, rng) >= OUTAGE_DELAY


def test_callers_of_a_granted_total_retry_when_streams_have_settled():
    """Running requests reserve most of the total and use only a part of it."""
    accounts = make_accounts(0)

    def settle():
        for account in accounts:
            account.credit(4000)

    requests = [(n * 0.01, 400) for n in range(60)]
    unserved = replay(accounts, requests, [True] * VMS, [(1.5, settle)])
    assert unserved <= 6


def test_retries_of_many_callers_are_spread():
    shortage = TokenShortage(1000, 0, 0, is_store_reachable=True)
    rng = random.Random(5)
    times = sorted(choose_retry_delay(shortage, rng) for _ in range(500))
    busiest = max(
        sum(at <= other < at + SETTLEMENT_DELAY / 15 for other in times) for at in times
    )
    assert busiest < 500 / 4


def test_a_request_waits_a_fraction_of_its_target_latency():
    """Another VM can then still meet the target for a refused request."""
    target = timedelta(milliseconds=400)
    assert find_wait(target) <= target / 8
    assert timedelta() < find_wait(timedelta()) < timedelta(seconds=1)


def test_a_wait_for_a_draw_in_flight_shrinks_with_the_excess_of_load():
    """With longer waits, an overloaded VM served more requests late."""
    target = timedelta(milliseconds=800)
    waits = [find_longest_wait(target, excess) for excess in (0.0, 0.25, 0.5, 0.9)]
    assert waits == sorted(waits, reverse=True)
    assert waits[0] == find_longest_wait(target) == target / 2
    assert waits[2] == target / 4
    assert waits[3] == find_wait(target)


def test_a_retry_comes_when_the_next_draw_or_return_is_expected():
    """On a slow VM, draws took longer than the delay told to refused callers."""
    rng = random.Random(1)
    conflict = TokenShortage(1000, 0, 50_000, is_store_reachable=True)
    for draw_ms, least_ms, most_ms in [
        (8, 50, 80),
        (300, 600, 960),
        (9000, 3000, 4800),
    ]:
        draw_time = timedelta(milliseconds=draw_ms)
        delay = choose_retry_delay(conflict._replace(draw_time=draw_time), rng)
        assert timedelta(milliseconds=least_ms) <= delay
        assert delay <= timedelta(milliseconds=most_ms)
    granted = TokenShortage(1000, 0, 0, is_store_reachable=True)
    late = granted._replace(return_time=timedelta(seconds=2.5))
    assert choose_retry_delay(late, rng) >= timedelta(seconds=2.5)
    assert choose_retry_delay(late, rng) <= MAX_RETRY_DELAY


def test_callers_return_once_lost_grants_are_recorded_after_a_restore():
    """They were told to return within the wait, and were refused again."""
    wait = timedelta(milliseconds=1800)
    shortage = TokenShortage(900, 0, 50_000, True, confirmation_time=wait)
    delays = [choose_retry_delay(shortage, random.Random(n)) for n in range(20)]
    assert all(wait <= delay <= 2 * wait for delay in delays)
