import asyncio
from collections import Counter
from datetime import timedelta

import pytest

from lavendershift.clocks import ManualClock, SystemClock
from lavendershift.draws import (
    ROUND_INTERVAL,
    STARTUP_DELAY,
    UNRESPONSIVE_AFTER,
    TokenDraws,
    find_round_interval,
)
from lavendershift.errors import LogUnavailableError, RecordsExpiredError
from lavendershift.grantrows import QuotaRecord, SwapResult
from lavendershift.needs import URGENT_MEMORY, PendingTokens, TokenRequest
from lavendershift.partitions import find_partition
from lavendershift.prepaid import URGENT_RESERVE_FRACTION

TOTAL = {"plume": 100_000}


class MemoryQuotaLog:
    """The rows of one partition; ``results`` are those of the next changes."""

    def __init__(self):
        self.rows = []
        self.first = 0
        self.results = []
        self.is_away = False
        self.delay_s = 0.0

    async def read_newest(self):
        self._check()
        newest = {row.customer: row for row in self.rows}
        return list(newest.values()), len(self.rows)

    async def read_records(self, offset):
        self._check()
        if offset < self.first:
            raise RecordsExpiredError("rows", offset)
        return self.rows[offset:]

    async def swap(self, end, rows):
        await asyncio.sleep(self.delay_s)
        self._check()
        result = self.results.pop(0) if self.results else SwapResult.DONE
        if result is SwapResult.DONE:
            if end != len(self.rows):
                return SwapResult.MOVED
            self.rows += rows
        return result

    def _check(self):
        if self.is_away:
            raise LogUnavailableError("away")


class StubbornPassbook:
    """Writes no page while ``is_away``."""

    def __init__(self):
        self.is_away = False
        self.pages = []

    async def adopt(self, find_account):
        return

    async def record(self, accounts, wanted):
        if self.is_away:
            raise LogUnavailableError("away")
        self.pages.append({name: a.free for name, a in accounts.items()})


def make_draws(rows, clock=None, lease_book=None, name="vm/1"):
    clock = clock or ManualClock()
    draws = TokenDraws(
        clock, [rows], name, lambda: TOTAL, lambda: 2, lease_book=lease_book
    )
    if isinstance(clock, ManualClock):
        clock.advance(STARTUP_DELAY)
    return draws


def run_round(draws):
    asyncio.run(draws.run_round())


def test_tokens_count_once_the_change_was_acknowledged():
    rows = MemoryQuotaLog()
    draws = make_draws(rows)
    run_round(draws)
    assert draws.find_account("plume").free == rows.rows[-1].granted > 0


def test_a_lost_race_is_run_again_from_the_newest_row():
    rows = MemoryQuotaLog()
    draws = make_draws(rows)
    rows.rows.append(QuotaRecord("plume", 90_000, "other/1"))
    run_round(draws)
    account = draws.find_account("plume")
    assert rows.rows[-1].granted == 90_000 + account.free <= 100_000


def test_an_unanswered_change_is_credited_if_it_is_in_the_log():
    rows = MemoryQuotaLog()
    draws = make_draws(rows)
    rows.results = [SwapResult.UNKNOWN]
    with pytest.raises(LogUnavailableError):
        run_round(draws)
    assert draws.find_account("plume").free == 0
    rows.rows.append(QuotaRecord("plume", 7000, "vm/1/1"))
    rows.is_away = False
    asyncio.run(draws.run_round())
    assert draws.find_account("plume").free > 0


def test_an_unanswered_change_that_another_replaced_is_not_credited():
    rows = MemoryQuotaLog()
    draws = make_draws(rows)
    rows.results = [SwapResult.UNKNOWN]
    with pytest.raises(LogUnavailableError):
        run_round(draws)
    rows.rows.append(QuotaRecord("plume", 100_000, "other/1"))
    run_round(draws)
    assert draws.find_account("plume").free == 0


def test_rows_that_expired_unread_cost_what_was_in_doubt():
    rows = MemoryQuotaLog()
    draws = make_draws(rows)
    rows.results = [SwapResult.UNKNOWN]
    with pytest.raises(LogUnavailableError):
        run_round(draws)
    rows.rows += [
        QuotaRecord("plume", 20_000, "vm/1/1"),
        QuotaRecord("x", 1, "other/1"),
    ]
    rows.first = 2
    with pytest.raises(LogUnavailableError):
        run_round(draws)
    run_round(draws)
    assert draws.find_account("plume").free + 20_000 <= rows.rows[-1].granted


def test_nothing_is_returned_before_a_page_without_it():
    rows, lease_book = MemoryQuotaLog(), StubbornPassbook()
    draws = make_draws(rows, lease_book=lease_book)
    run_round(draws)
    held, count = draws.find_account("plume").free, len(rows.rows)
    draws.return_all()
    lease_book.is_away = True
    with pytest.raises(LogUnavailableError):
        run_round(draws)
    assert len(rows.rows) == count
    assert draws.find_account("plume").free == held
    lease_book.is_away = False
    run_round(draws)
    assert rows.rows[-1].granted == 0
    assert lease_book.pages[-2]["plume"] == 0


def test_a_request_is_refused_at_once_while_the_store_is_known_to_be_away():
    async def work():
        rows = MemoryQuotaLog()
        draws = make_draws(rows)
        draws.is_store_reachable = False
        return await draws.wait_for(TokenRequest("plume", 50), timedelta(seconds=30))

    assert asyncio.run(asyncio.wait_for(work(), 2)) is False


def test_a_request_beyond_the_total_is_refused_at_once():
    async def work():
        draws = make_draws(MemoryQuotaLog())
        draws.is_store_reachable = True
        return await draws.wait_for(
            TokenRequest("plume", 100_001), timedelta(seconds=30)
        )

    assert asyncio.run(asyncio.wait_for(work(), 2)) is False


def test_tokens_can_be_had_only_after_a_whole_round():
    async def work():
        rows = MemoryQuotaLog()
        draws = make_draws(rows)
        rows.results = [SwapResult.UNKNOWN]
        draws.mark_totals_known()
        running = asyncio.ensure_future(draws.run())
        await asyncio.sleep(0.05)
        # The rows were read, but the first draw has no answer.
        before = (
            draws.has_synced,
            await draws.wait_for(TokenRequest("plume", 50), timedelta()),
        )
        await asyncio.sleep(0.6)
        after = draws.has_synced, draws.find_account("plume").free > 0
        running.cancel()
        return before, after

    assert asyncio.run(work()) == ((False, False), (True, True))


def test_a_partition_without_answers_holds_up_no_other_one():
    """Answers get lost on some calls while the store serves the others."""

    async def work():
        rows = [MemoryQuotaLog(), MemoryQuotaLog()]
        totals = {"plume": 100_000, "sable": 100_000}  # one in each partition
        assert [find_partition(name, 2) for name in totals] == [0, 1]
        draws = TokenDraws(SystemClock(), rows, "vm/1", lambda: totals, lambda: 2)
        await draws.run_round()
        rows[0].is_away, rows[0].delay_s = True, 0.2
        lost, found = await asyncio.gather(
            draws.wait_for(TokenRequest("plume", 90_000), timedelta(milliseconds=50)),
            draws.wait_for(TokenRequest("sable", 90_000), timedelta(seconds=5)),
        )
        await asyncio.sleep(0.3)
        return lost, found, draws.is_store_reachable

    assert asyncio.run(work()) == (False, True, True)


def test_a_store_that_answers_nothing_is_away():
    async def work():
        rows = [MemoryQuotaLog(), MemoryQuotaLog()]
        totals = {"plume": 100_000, "sable": 100_000}
        draws = TokenDraws(SystemClock(), rows, "vm/1", lambda: totals, lambda: 2)
        await draws.run_round()
        reached = draws.is_store_reachable
        rows[0].is_away = rows[1].is_away = True
        await draws.wait_for(TokenRequest("plume", 90_000), timedelta(milliseconds=50))
        return reached, draws.is_store_reachable

    assert asyncio.run(work()) == (True, False)


def test_a_vm_that_leaves_still_draws_for_requests_that_wait():
    async def work():
        draws = make_draws(MemoryQuotaLog())
        await draws.run_round()
        draws.return_all()
        await draws.run_round()
        held = draws.find_account("plume").free
        return held, await draws.wait_for(
            TokenRequest("plume", 500), timedelta(seconds=5)
        )

    assert asyncio.run(work()) == (0, True)


def test_rounds_are_rarer_in_large_fleets():
    assert find_round_interval(8) == ROUND_INTERVAL
    assert find_round_interval(66) > 3 * ROUND_INTERVAL


def test_a_refused_draw_is_not_repeated_at_once():
    """A store beyond its rate refuses calls, and more of them would not help."""
    rows = MemoryQuotaLog()
    draws = make_draws(rows)
    rows.results = [SwapResult.REFUSED, SwapResult.DONE]
    with pytest.raises(LogUnavailableError):
        run_round(draws)
    assert rows.results == [SwapResult.DONE]
    run_round(draws)
    assert draws.find_account("plume").free == rows.rows[-1].granted > 0


def test_a_refused_return_leaves_the_tokens_in_use():
    rows = MemoryQuotaLog()
    draws = make_draws(rows)
    run_round(draws)
    held = draws.find_account("plume").free
    draws.return_all()
    rows.results = [SwapResult.REFUSED]
    with pytest.raises(LogUnavailableError):
        run_round(draws)
    assert draws.find_account("plume").free == held


def test_large_requests_leave_the_last_part_of_a_total_to_urgent_ones():
    """A fleet lost tokens with its power; large requests drew all the rest."""

    async def work():
        rows = MemoryQuotaLog()
        vms = [make_draws(rows, name=f"vm-{n}/1") for n in range(3)]
        for vm in vms:
            await vm.run_round()
        served = Counter()
        for number in range(400):
            vm, is_urgent = vms[number % 3], number % 4 == 0
            request = TokenRequest("plume", 100 if is_urgent else 2000, is_urgent)
            if await vm.wait_for(request, timedelta(seconds=1)):
                vm.find_account("plume").settle(request.tokens, request.tokens)
                served[is_urgent] += 1
        return served, rows.rows[-1].granted

    served, granted = asyncio.run(work())
    assert granted <= TOTAL["plume"]
    assert served[True] * 100 >= TOTAL["plume"] * URGENT_RESERVE_FRACTION
    assert served[False] * 2000 >= TOTAL["plume"] * 0.8
    assert served[True] >= 60


def test_tokens_drawn_for_an_urgent_request_are_not_taken_by_another():
    pending = PendingTokens()
    pending.add(TokenRequest("plume", 900))
    assert not pending.can_take(TokenRequest("plume", 50, is_urgent=False), 900)
    assert pending.can_take(TokenRequest("plume", 50, is_urgent=False), 950)
    assert pending.can_take(TokenRequest("plume", 50), 900)
    pending.remove(TokenRequest("plume", 900))
    assert pending.can_take(TokenRequest("plume", 900, is_urgent=False), 900)


def test_a_customer_without_urgent_requests_can_use_its_whole_total():
    async def work():
        clock, rows = ManualClock(), MemoryQuotaLog()
        draws = make_draws(rows, clock)
        await draws.run_round()
        used = 0

        async def spend(tokens):
            request = TokenRequest("plume", tokens, is_urgent=False)
            if not await draws.wait_for(request, timedelta(milliseconds=50)):
                return False
            draws.find_account("plume").settle(tokens, tokens)
            return True

        while await spend(500):
            used += 500
        assert used < TOTAL["plume"] * (1 - URGENT_RESERVE_FRACTION) + 500
        clock.advance(URGENT_MEMORY)
        await draws.run_round()
        while await spend(500):
            used += 500
        return used

    assert asyncio.run(work()) == TOTAL["plume"]


def test_a_vm_that_stands_by_draws_what_is_needed_and_returns_the_rest():
    async def work():
        rows, clock = MemoryQuotaLog(), ManualClock()
        draws = TokenDraws(
            clock, [rows], "vm/1", lambda: TOTAL, lambda: 2, draws_ahead=lambda: False
        )
        await draws.run_round()
        clock.advance(STARTUP_DELAY)
        await draws.run_round()
        drawn_ahead = bool(rows.rows)
        paid = await draws.wait_for(TokenRequest("plume", 800), timedelta(seconds=1))
        granted = rows.rows[-1].granted
        draws.find_account("plume").settle(800, used=300)
        await draws.run_round()
        return drawn_ahead, paid, granted, rows.rows[-1].granted

    assert asyncio.run(work()) == (False, True, 800, 300)


def test_a_vm_that_stands_by_makes_no_calls_while_it_holds_nothing():
    class CountingRows(MemoryQuotaLog):
        calls = 0

        def _check(self):
            self.calls += 1
            super()._check()

    async def work():
        rows, clock = CountingRows(), ManualClock()
        draws = TokenDraws(
            clock, [rows], "vm/1", lambda: TOTAL, lambda: 2, draws_ahead=lambda: False
        )
        await draws.run_round()
        reached, before = draws.has_synced, rows.calls
        for _ in range(20):
            clock.advance(timedelta(seconds=1))
            await draws.run_round()
        return reached, rows.calls - before

    assert asyncio.run(work()) == (True, 0)


def test_a_store_that_lets_calls_wait_is_doubted_before_they_time_out():
    """In the first second of a cut callers were told to come back for a draw."""

    async def work():
        rows, clock = MemoryQuotaLog(), ManualClock()
        draws = make_draws(rows, clock)
        await draws.run_round()
        before = draws.is_store_responsive
        rows.delay_s = 0.2
        drawing = asyncio.ensure_future(
            draws.wait_for(TokenRequest("plume", 90_000), timedelta(seconds=1))
        )
        await asyncio.sleep(0.05)
        soon = draws.is_store_responsive
        clock.advance(UNRESPONSIVE_AFTER)
        later = draws.is_store_reachable, draws.is_store_responsive
        await drawing
        return before, soon, later, draws.is_store_responsive

    assert asyncio.run(work()) == (True, True, (True, False), True)
