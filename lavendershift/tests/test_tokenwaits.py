"""How requests wait for tokens, and the causes that their refusals name."""

import asyncio
import socket
import threading
import time
from datetime import timedelta

import pytest

from lavendershift.clocks import ManualClock, SystemClock
from lavendershift.leases import LeaseBook
from lavendershift.pendingtokens import TokenRequest
from lavendershift.prepaid import find_urgent_reserve
from lavendershift.quotalogs import QuotaRecord
from lavendershift.storehistories import History
from lavendershift.tests.test_tokendraws import (
    TOTAL,
    FailingLeaseLog,
    MemoryQuotaLog,
    make_draws,
)
from lavendershift.tests.test_tokenloans import borrow_from, run_nodes
from lavendershift.tokenloans import LoanFailure
from lavendershift.tokenwaits import WaitResult

SHORT, LONG = timedelta(milliseconds=50), timedelta(seconds=1)


def wait_with(change, tokens=90_000, longest=timedelta(), is_urgent=True):
    """Return the result of a wait after ``change`` of the draws of a VM."""

    async def work():
        quota_log = MemoryQuotaLog()
        draws = make_draws(quota_log, SystemClock())
        await draws.run_round()
        change(draws, quota_log)
        request = TokenRequest("plume", tokens, is_urgent)
        return await draws.wait_for(request, SHORT, longest)

    return asyncio.run(work())


def lose_races(draws, quota_log):
    async def lose(end, records):
        await asyncio.sleep(0.001)
        quota_log.records.append(QuotaRecord("other", 1, "other/1"))
        return await swap(end, records)

    swap, quota_log.swap = quota_log.swap, lose


def slow_down(draws, quota_log):
    quota_log.delay_s = 0.15


def give_urgent_precedence(draws, quota_log):
    draws.account = draws.find_account("plume")
    draws.account.credit(90_000 - draws.account.free)
    draws.pending.add(TokenRequest("plume", 10_000))
    draws.is_store_reachable = False


def exhaust(draws, quota_log):
    quota_log.records.append(QuotaRecord("plume", TOTAL["plume"], "other/1"))


def restore(draws, quota_log):
    async def read_newest():
        quota_log.history, quota_log.is_restored = History(0, 5), False
        return [], 0

    quota_log.read_newest, quota_log.records = read_newest, []
    quota_log.newest_history, quota_log.is_restored = History(0, 5), True


def cut(failure=None):
    def change(draws, quota_log):
        draws.is_store_reachable = False
        draws.waits.find_loan_failure = lambda customer: failure

    return change


@pytest.mark.parametrize(
    ("change", "result"),
    [
        (lose_races, WaitResult.CONFLICT),
        (slow_down, WaitResult.IN_FLIGHT),
        (exhaust, WaitResult.EXHAUSTED),
        (restore, WaitResult.UNCONFIRMED),
        (cut(), WaitResult.STORE_UNREACHABLE),
        (cut(LoanFailure.NO_REPLY), WaitResult.LENDER_UNREACHABLE),
        (cut(LoanFailure.EMPTY), WaitResult.LENDER_EMPTY),
    ],
)
def test_a_refusal_names_its_cause(change, result):
    """Logs of refusals didn't tell lost races, slow calls and outages apart."""
    assert wait_with(change) is result


def test_a_request_behind_urgent_ones_says_so():
    result = wait_with(give_urgent_precedence, tokens=85_000, is_urgent=False)
    assert result is WaitResult.QUEUED


def test_a_draw_in_flight_is_worth_waiting_for():
    """A refused caller returned to the same VM, whose draw ended just later."""
    assert wait_with(slow_down, longest=LONG) is WaitResult.GRANTED


def test_a_request_that_joins_a_draw_in_flight_gets_one_of_its_own():
    async def work():
        quota_log = MemoryQuotaLog()
        draws = make_draws(quota_log, SystemClock())
        await draws.run_round()
        quota_log.delay_s = 0.1
        first = asyncio.ensure_future(
            draws.wait_for(TokenRequest("plume", 50_000), SHORT, LONG)
        )
        await asyncio.sleep(0.03)
        second = await draws.wait_for(TokenRequest("plume", 40_000), SHORT, LONG)
        return await first, second

    assert asyncio.run(work()) == (WaitResult.GRANTED, WaitResult.GRANTED)


def test_a_response_that_arrived_in_a_pause_is_processed_before_a_wait_ends():
    """Pauses of 100 to 300 ms ended waits beside the responses they were for."""

    async def work():
        loop = asyncio.get_running_loop()
        near, far = socket.socketpair()
        near.setblocking(False)
        quota_log = MemoryQuotaLog()
        draws = make_draws(quota_log, SystemClock())
        await draws.run_round()
        swap = quota_log.swap

        async def respond_in_pause(end, records):
            threading.Timer(0.02, far.send, [b"x"]).start()
            loop.call_later(0.005, time.sleep, 0.15)
            await loop.sock_recv(near, 1)
            return await swap(end, records)

        quota_log.swap = respond_in_pause
        result = await draws.wait_for(TokenRequest("plume", 90_000), SHORT)
        near.close()
        far.close()
        return result

    assert asyncio.run(work()) is WaitResult.GRANTED


def test_tokens_bound_by_lease_terms_are_spent_after_a_snapshot():
    """Requests were refused while their tokens were free on the VM."""

    async def work():
        quota_log, clock = MemoryQuotaLog(), ManualClock()
        book = LeaseBook(clock, FailingLeaseLog(), "vm/1", "boot")
        draws = make_draws(quota_log, clock, book)
        await draws.run_round()
        free = draws.find_account("plume").free
        exhaust(draws, quota_log)
        draws.pending.add(TokenRequest("plume", TOTAL["plume"]))
        request = TokenRequest("plume", free * 9 // 10)
        return await asyncio.wait_for(draws.wait_for(request, SHORT), 1)

    assert asyncio.run(work()) is WaitResult.GRANTED


def test_concurrent_requests_share_a_loan_in_flight():
    async def work():
        draws = make_draws(MemoryQuotaLog(), SystemClock())
        asked = []

        async def borrow(request, most):
            asked.append(most)
            await asyncio.sleep(0.01)
            draws.add_loan("plume", most)
            return most

        draws.use_loans(borrow, lambda customer: True)
        requests = [TokenRequest("plume", 500)] * 20
        results = await asyncio.gather(*(draws.wait_for(r, LONG) for r in requests))
        return set(results), len(asked)

    results, loans = asyncio.run(work())
    assert results == {WaitResult.GRANTED}
    assert loans <= 2


def test_an_urgent_request_does_not_rely_on_a_loan_that_is_not_urgent():
    """It was refused with that loan, although lenders could draw the urgent reserve."""

    async def work():
        draws = make_draws(MemoryQuotaLog(), SystemClock())
        draws.is_store_reachable = False

        async def borrow(request, most):
            await asyncio.sleep(0.01)
            if not request.is_urgent:
                return 0
            draws.add_loan("plume", request.tokens)
            return request.tokens

        draws.use_loans(borrow, lambda customer: True)
        requests = [
            TokenRequest("plume", 500, is_urgent) for is_urgent in (False, True)
        ]
        return await asyncio.gather(*(draws.wait_for(r, SHORT) for r in requests))

    refused, granted = asyncio.run(work())
    assert refused is not WaitResult.GRANTED
    assert granted is WaitResult.GRANTED


def test_a_loan_takes_no_more_of_the_urgent_reserve_than_an_urgent_request_needs():
    """The reserve was spent on later demand that is not urgent."""

    async def work(lender, borrower, quota_log):
        reserve = find_urgent_reserve(TOTAL["plume"])
        granted = TOTAL["plume"] - reserve
        quota_log.records.append(QuotaRecord("plume", granted, "other/1"))
        await asyncio.sleep(0.15)
        lender.account.reserve(lender.account.free, timedelta())
        lent = await lender.draws.lend(TokenRequest("plume", 800, True), 50_000)
        return lent, quota_log.records[-1].granted - granted, reserve

    lent, drawn, reserve = run_nodes(work)
    assert lent == drawn == 800 < reserve


def test_a_lender_gives_what_is_free_up_to_what_is_useful():
    async def work(lender, borrower, quota_log):
        lender.draws.is_store_reachable = False
        lender.account.credit(5000)
        useful = await lender.draws.lend(TokenRequest("plume", 800), 50_000)
        lender.account.credit(300)
        too_few = await lender.draws.lend(TokenRequest("plume", 800), 800)
        return useful, too_few, lender.account.free

    assert run_nodes(work) == (5000, 300, 0)


def test_free_tokens_are_replenished_before_they_are_spent():
    async def work():
        quota_log, clock = MemoryQuotaLog(), ManualClock()
        draws = make_draws(quota_log, clock)
        await draws.run_round()
        account, count = draws.find_account("plume"), len(quota_log.records)
        account.reserve(account.free - 1000, timedelta())
        for _ in range(5):
            account.note_demand(5000, clock.elapsed())
        result = await draws.wait_for(TokenRequest("plume", 500), LONG)
        await asyncio.sleep(0.02)
        return result, len(quota_log.records) - count, account.free

    result, draws, free = asyncio.run(work())
    assert (result, draws) == (WaitResult.GRANTED, 1)
    assert free > 1000


def test_standby_vms_are_asked_only_if_no_other_vm_lends():
    stocks = {"a": 0, "b": 5000, "c": 5000, "d": 5000}
    announced = {"a": 0}
    borrowed, asked = borrow_from(stocks, announced, 900, standby="bcd")
    assert (borrowed, asked) == (900, [("b", 900)])
    assert borrow_from(stocks, {"a": 0}, 900, standby="cd")[1] == [("b", 900)]


def test_the_duration_of_draws_is_measured():
    async def work():
        quota_log = MemoryQuotaLog()
        draws = make_draws(quota_log, SystemClock())
        await draws.run_round()
        quota_log.delay_s = 0.1
        await draws.wait_for(TokenRequest("plume", 90_000), LONG)
        return draws.draw_time

    assert SHORT < asyncio.run(work()) < LONG
