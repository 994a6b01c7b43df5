import asyncio
from collections import Counter
from datetime import timedelta

import pytest

from lavendershift.clocks import ManualClock, SystemClock
from lavendershift.drawplans import STARTUP_DELAY
from lavendershift.errors import LogUnavailableError, RecordsExpiredError
from lavendershift.leases import LeaseBook, SnapshotResult
from lavendershift.partitions import find_partition
from lavendershift.pendingtokens import URGENT_MEMORY, PendingTokens, TokenRequest
from lavendershift.prepaid import URGENT_RESERVE_FRACTION
from lavendershift.quotalogs import QuotaRecord, SwapResult
from lavendershift.roundintervals import ROUND_INTERVAL, find_round_interval
from lavendershift.storehistories import History
from lavendershift.storewatch import UNRESPONSIVE_AFTER
from lavendershift.tokendraws import MAX_AGE_TO_PLAN, TokenDraws
from lavendershift.tokenwaits import WaitResult

TOTAL = {"plume": 100_000}


class MemoryQuotaLog:
    """The quota records of one partition; ``results`` are those of the next changes."""

    history = newest_history = History()
    is_restored = False

    def __init__(self):
        self.records = []
        self.first = 0
        self.results = []
        self.is_unavailable = False
        self.delay_s = 0.0

    async def read_newest(self):
        self._check()
        newest = {record.customer: record for record in self.records}
        return list(newest.values()), len(self.records)

    async def read_records(self, offset):
        self._check()
        if offset < self.first:
            raise RecordsExpiredError("records", offset)
        return self.records[offset:]

    async def swap(self, end, records):
        await asyncio.sleep(self.delay_s)
        self._check()
        result = self.results.pop(0) if self.results else SwapResult.DONE
        if result is SwapResult.DONE:
            if end != len(self.records):
                return SwapResult.MOVED
            self.records += records
        return result

    def _check(self):
        if self.is_unavailable:
            raise LogUnavailableError("unavailable")


class FailingLeaseLog:
    """Fails to write snapshots while ``is_unavailable``."""

    def __init__(self):
        self.is_unavailable = False
        self.snapshots = []

    async def read(self):
        return None, 0

    async def write(self, end, snapshot):
        if self.is_unavailable:
            raise LogUnavailableError("unavailable")
        unspent = {name: e.unspent for name, e in snapshot.entries.items()}
        self.snapshots.append(unspent)
        return SnapshotResult.DONE, end + 1


def make_draws(quota_log, clock=None, lease_book=None, name="vm/1"):
    clock = clock or ManualClock()
    draws = TokenDraws(
        clock, [quota_log], name, lambda: TOTAL, lambda: 2, lease_book=lease_book
    )
    if isinstance(clock, ManualClock):
        clock.advance(STARTUP_DELAY)
    return draws


def run_round(draws):
    asyncio.run(draws.run_round())


def test_tokens_are_credited_once_the_change_is_acknowledged():
    quota_log = MemoryQuotaLog()
    draws = make_draws(quota_log)
    run_round(draws)
    assert draws.find_account("plume").free == quota_log.records[-1].granted > 0


def test_a_lost_race_is_retried_from_the_newest_record():
    quota_log = MemoryQuotaLog()
    draws = make_draws(quota_log)
    quota_log.records.append(QuotaRecord("plume", 90_000, "other/1"))
    run_round(draws)
    account = draws.find_account("plume")
    assert quota_log.records[-1].granted == 90_000 + account.free <= 100_000


def test_a_change_without_a_response_is_credited_if_it_is_in_the_log():
    quota_log = MemoryQuotaLog()
    draws = make_draws(quota_log)
    quota_log.results = [SwapResult.UNKNOWN]
    with pytest.raises(LogUnavailableError):
        run_round(draws)
    assert draws.find_account("plume").free == 0
    quota_log.records.append(QuotaRecord("plume", 7000, "vm/1/1"))
    quota_log.is_unavailable = False
    asyncio.run(draws.run_round())
    assert draws.find_account("plume").free > 0


def test_a_change_without_a_response_is_not_credited_if_another_replaced_it():
    quota_log = MemoryQuotaLog()
    draws = make_draws(quota_log)
    quota_log.results = [SwapResult.UNKNOWN]
    with pytest.raises(LogUnavailableError):
        run_round(draws)
    quota_log.records.append(QuotaRecord("plume", 100_000, "other/1"))
    run_round(draws)
    assert draws.find_account("plume").free == 0


def test_a_change_in_doubt_is_not_credited_if_its_record_expired():
    quota_log = MemoryQuotaLog()
    draws = make_draws(quota_log)
    quota_log.results = [SwapResult.UNKNOWN]
    with pytest.raises(LogUnavailableError):
        run_round(draws)
    quota_log.records += [
        QuotaRecord("plume", 20_000, "vm/1/1"),
        QuotaRecord("x", 1, "other/1"),
    ]
    quota_log.first = 2
    with pytest.raises(LogUnavailableError):
        run_round(draws)
    run_round(draws)
    assert draws.find_account("plume").free + 20_000 <= quota_log.records[-1].granted


def test_tokens_are_returned_only_after_a_snapshot_without_them():
    quota_log, lease_log, clock = MemoryQuotaLog(), FailingLeaseLog(), ManualClock()
    lease_book = LeaseBook(clock, lease_log, "vm/1", "boot")
    draws = make_draws(quota_log, clock, lease_book)
    run_round(draws)
    assert lease_log.snapshots[-1]["plume"] == draws.find_account("plume").free
    held, count = draws.find_account("plume").free, len(quota_log.records)
    draws.return_all()
    lease_log.is_unavailable = True
    with pytest.raises(LogUnavailableError):
        run_round(draws)
    assert len(quota_log.records) == count
    assert draws.find_account("plume").free == held
    lease_log.is_unavailable = False
    swap, stored = quota_log.swap, []

    async def note_snapshot(end, records):
        stored.append(lease_log.snapshots[-1]["plume"])
        return await swap(end, records)

    quota_log.swap = note_snapshot
    run_round(draws)
    assert quota_log.records[-1].granted == 0
    assert stored == [0]


def test_a_request_is_refused_at_once_while_the_store_is_unreachable():
    async def work():
        quota_log = MemoryQuotaLog()
        draws = make_draws(quota_log)
        draws.is_store_reachable = False
        return await draws.wait_for(TokenRequest("plume", 50), timedelta(seconds=30))

    result = asyncio.run(asyncio.wait_for(work(), 2))
    assert result is WaitResult.STORE_UNREACHABLE


def test_a_request_beyond_the_total_is_refused_at_once():
    async def work():
        draws = make_draws(MemoryQuotaLog())
        draws.is_store_reachable = True
        return await draws.wait_for(
            TokenRequest("plume", 100_001), timedelta(seconds=30)
        )

    result = asyncio.run(asyncio.wait_for(work(), 2))
    assert result is WaitResult.EXCEEDS_TOTAL


def test_tokens_are_available_only_after_a_complete_round():
    async def work():
        quota_log = MemoryQuotaLog()
        draws = make_draws(quota_log)
        quota_log.results = [SwapResult.UNKNOWN]
        draws.mark_totals_known()
        running = asyncio.ensure_future(draws.run())
        await asyncio.sleep(0.05)
        # The records were read, but the first draw got no response.
        before = (
            draws.has_synced,
            await draws.wait_for(TokenRequest("plume", 50), timedelta()),
        )
        await asyncio.sleep(0.6)
        after = draws.has_synced, draws.find_account("plume").free > 0
        running.cancel()
        return before, after

    assert asyncio.run(work()) == (
        (False, WaitResult.STORE_UNREACHABLE),
        (True, True),
    )


def test_a_partition_without_responses_does_not_delay_others():
    """Responses to some calls may get lost while the store serves the others."""

    async def work():
        logs = [MemoryQuotaLog(), MemoryQuotaLog()]
        totals = {"plume": 100_000, "sable": 100_000}  # one in each partition
        assert [find_partition(name, 2) for name in totals] == [0, 1]
        draws = TokenDraws(SystemClock(), logs, "vm/1", lambda: totals, lambda: 2)
        await draws.run_round()
        logs[0].is_unavailable, logs[0].delay_s = True, 0.2
        plume, sable = await asyncio.gather(
            draws.wait_for(TokenRequest("plume", 90_000), timedelta(milliseconds=50)),
            draws.wait_for(TokenRequest("sable", 90_000), timedelta(seconds=5)),
        )
        await asyncio.sleep(0.3)
        return plume, sable, draws.is_store_reachable

    assert asyncio.run(work()) == (
        WaitResult.IN_FLIGHT,
        WaitResult.GRANTED,
        True,
    )


def test_a_store_that_responds_to_no_call_is_unreachable():
    async def work():
        logs = [MemoryQuotaLog(), MemoryQuotaLog()]
        totals = {"plume": 100_000, "sable": 100_000}
        draws = TokenDraws(SystemClock(), logs, "vm/1", lambda: totals, lambda: 2)
        await draws.run_round()
        reached = draws.is_store_reachable
        logs[0].is_unavailable = logs[1].is_unavailable = True
        await draws.wait_for(TokenRequest("plume", 90_000), timedelta(milliseconds=50))
        return reached, draws.is_store_reachable

    assert asyncio.run(work()) == (True, False)


def test_a_leaving_vm_still_draws_for_waiting_requests():
    async def work():
        draws = make_draws(MemoryQuotaLog())
        await draws.run_round()
        draws.return_all()
        await draws.run_round()
        held = draws.find_account("plume").free
        return held, await draws.wait_for(
            TokenRequest("plume", 500), timedelta(seconds=5)
        )

    assert asyncio.run(work()) == (0, WaitResult.GRANTED)


def test_rounds_are_less_frequent_in_large_fleets():
    assert find_round_interval(8) == ROUND_INTERVAL
    assert find_round_interval(66) > 3 * ROUND_INTERVAL


def test_a_refused_draw_is_not_retried_at_once():
    """A store above its rate limit refuses calls; more of them would not help."""
    quota_log = MemoryQuotaLog()
    draws = make_draws(quota_log)
    quota_log.results = [SwapResult.REFUSED, SwapResult.DONE]
    with pytest.raises(LogUnavailableError):
        run_round(draws)
    assert quota_log.results == [SwapResult.DONE]
    run_round(draws)
    assert draws.find_account("plume").free == quota_log.records[-1].granted > 0


def test_tokens_of_a_refused_return_stay_usable():
    quota_log = MemoryQuotaLog()
    draws = make_draws(quota_log)
    run_round(draws)
    held = draws.find_account("plume").free
    draws.return_all()
    quota_log.results = [SwapResult.REFUSED]
    with pytest.raises(LogUnavailableError):
        run_round(draws)
    assert draws.find_account("plume").free == held


def test_large_requests_leave_the_urgent_reserve_to_urgent_ones():
    """After a power loss destroyed tokens, large requests drew all that remained."""

    async def work():
        quota_log = MemoryQuotaLog()
        vms = [make_draws(quota_log, name=f"vm-{n}/1") for n in range(3)]
        for vm in vms:
            await vm.run_round()
        served = Counter()
        for number in range(400):
            vm, is_urgent = vms[number % 3], number % 4 == 0
            request = TokenRequest("plume", 100 if is_urgent else 2000, is_urgent)
            result = await vm.wait_for(request, timedelta(seconds=1))
            if result is WaitResult.GRANTED:
                vm.find_account("plume").settle(request.tokens, request.tokens)
                served[is_urgent] += 1
        return served, quota_log.records[-1].granted

    served, granted = asyncio.run(work())
    assert granted <= TOTAL["plume"]
    assert served[True] * 100 >= TOTAL["plume"] * URGENT_RESERVE_FRACTION
    assert served[False] * 2000 >= TOTAL["plume"] * 0.8
    assert served[True] >= 60


def test_tokens_that_urgent_requests_wait_for_are_withheld_from_others():
    pending = PendingTokens()
    pending.add(TokenRequest("plume", 900))
    assert not pending.can_take(TokenRequest("plume", 50, is_urgent=False), 900)
    assert pending.can_take(TokenRequest("plume", 50, is_urgent=False), 950)
    assert pending.can_take(TokenRequest("plume", 50), 900)
    pending.remove(TokenRequest("plume", 900))
    assert pending.can_take(TokenRequest("plume", 900, is_urgent=False), 900)


def test_a_customer_without_urgent_requests_can_use_its_entire_total():
    async def work():
        clock, quota_log = ManualClock(), MemoryQuotaLog()
        draws = make_draws(quota_log, clock)
        await draws.run_round()
        used = 0

        async def spend(tokens):
            request = TokenRequest("plume", tokens, is_urgent=False)
            result = await draws.wait_for(request, timedelta(milliseconds=50))
            if result is not WaitResult.GRANTED:
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


def test_a_vm_on_standby_draws_for_each_request_and_returns_the_remainder():
    async def work():
        quota_log, clock = MemoryQuotaLog(), ManualClock()
        draws = TokenDraws(
            clock,
            [quota_log],
            "vm/1",
            lambda: TOTAL,
            lambda: 2,
            draws_ahead=lambda: False,
        )
        await draws.run_round()
        clock.advance(STARTUP_DELAY)
        await draws.run_round()
        drawn_ahead = bool(quota_log.records)
        is_reserved = await draws.wait_for(
            TokenRequest("plume", 800), timedelta(seconds=1)
        )
        granted = quota_log.records[-1].granted
        draws.find_account("plume").settle(800, used=300)
        await draws.run_round()
        return drawn_ahead, is_reserved, granted, quota_log.records[-1].granted

    assert asyncio.run(work()) == (
        False,
        WaitResult.GRANTED,
        800,
        300,
    )


def test_a_vm_on_standby_makes_no_calls_while_it_holds_no_tokens():
    class CountingQuotaLog(MemoryQuotaLog):
        calls = 0

        def _check(self):
            self.calls += 1
            super()._check()

    async def work():
        quota_log, clock = CountingQuotaLog(), ManualClock()
        draws = TokenDraws(
            clock,
            [quota_log],
            "vm/1",
            lambda: TOTAL,
            lambda: 2,
            draws_ahead=lambda: False,
        )
        await draws.run_round()
        reached, before = draws.has_synced, quota_log.calls
        for _ in range(20):
            clock.advance(timedelta(seconds=1))
            await draws.run_round()
        return reached, quota_log.calls - before

    assert asyncio.run(work()) == (True, 0)


def test_a_store_is_unresponsive_before_its_calls_time_out():
    """In the first second of an outage, callers got the delay for conflicting draws."""

    async def work():
        quota_log, clock = MemoryQuotaLog(), ManualClock()
        draws = make_draws(quota_log, clock)
        await draws.run_round()
        before = draws.is_store_responsive
        quota_log.delay_s = 0.2
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


def test_an_odd_quota_record_stops_only_the_draws_of_its_customer(monkeypatch):
    monkeypatch.setitem(TOTAL, "other", 100_000)
    quota_log, clock = MemoryQuotaLog(), ManualClock()
    draws = make_draws(quota_log, clock)
    run_round(draws)
    held = draws.find_account("other").free
    quota_log.records.append(QuotaRecord("other", None, "", "no number"))
    draws.return_all()
    run_round(draws)
    run_round(draws)
    assert draws.find_account("plume").free == 0
    assert draws.find_account("other").free == held
    assert draws.count_left("other") == 0
    assert draws.count_left("plume") == 100_000
    assert draws.has_synced
    assert draws.is_store_reachable
    # An operator writes the number of grants.
    quota_log.records.append(QuotaRecord("other", held, "operator"))
    clock.advance(2 * MAX_AGE_TO_PLAN)
    run_round(draws)
    assert draws.find_account("other").free == 0
    assert quota_log.records[-1].granted == 0


def test_nothing_is_drawn_by_a_vm_that_starts_beside_an_odd_quota_record(monkeypatch):
    monkeypatch.setitem(TOTAL, "other", 100_000)
    quota_log = MemoryQuotaLog()
    quota_log.records.append(QuotaRecord("other", None, "", "no number"))
    draws = make_draws(quota_log)
    run_round(draws)
    assert draws.find_account("plume").free > 0
    assert draws.find_account("other").free == 0
    assert [r.customer for r in quota_log.records] == ["other", "plume"]
    assert draws.has_synced


def test_a_wake_in_the_turn_of_the_cancellation_does_not_keep_the_loop_running():
    """A process didn't end, as its loop of draws went on after its cancellation."""

    async def work():
        draws = make_draws(MemoryQuotaLog(), SystemClock())
        draws.mark_totals_known()
        running = asyncio.ensure_future(draws.run())
        await asyncio.sleep(0.1)
        draws.return_all()
        running.cancel()
        done, _ = await asyncio.wait([running], timeout=1)
        assert done

    asyncio.run(work())
