import asyncio
from datetime import timedelta

import pytest

from lavendershift.clocks import ManualClock
from lavendershift.drawplans import STARTUP_DELAY
from lavendershift.errors import LogUnavailableError
from lavendershift.leases import (
    LeaseBook,
    LeaseEntry,
    LeaseSnapshot,
    SnapshotResult,
    find_adoptable,
    read_boot_id,
)
from lavendershift.prepaid import PrepaidAccount
from lavendershift.tests.test_tokendraws import MemoryQuotaLog
from lavendershift.tokendraws import TokenDraws

AT = timedelta(seconds=100)
START = ManualClock().now()


class MemoryLeaseLog:
    """Holds one VM's snapshot; ``results`` are those of the next writes."""

    def __init__(self, snapshot=None):
        self.snapshot = snapshot
        self.end = 0
        self.results = []
        self.writes = 0

    async def read(self):
        return self.snapshot, self.end

    async def write(self, end, snapshot):
        self.writes += 1
        result = self.results.pop(0) if self.results else SnapshotResult.DONE
        if result is SnapshotResult.DONE:
            self.snapshot, self.end = snapshot, end + 1
        return result, self.end


def make_snapshot(
    boot="boot-1", at=AT, unspent=10_000, unlock_delay=timedelta(seconds=4)
):
    return LeaseSnapshot(
        "old",
        boot,
        at,
        START + at,
        {"plume": LeaseEntry(unspent, 500.0, 100.0)},
        unlock_delay,
    )


def make_lease_book(log, clock, name="new", boot="boot-1"):
    return LeaseBook(clock, log, name, boot)


def make_account(free):
    account = PrepaidAccount("plume")
    account.credit(free)
    return account


def adopt(snapshot, boot, at, clock_offset=timedelta()):
    """Return the tokens adopted ``at`` a time since boot.

    The wall clock is ``clock_offset`` ahead of the clock since boot.
    """
    return find_adoptable(snapshot, boot, at, START + at + clock_offset)


def make_clock(since_boot):
    clock = ManualClock()
    clock.advance(since_boot)
    return clock


def test_tokens_beyond_the_lease_terms_are_adoptable():
    adoptable = adopt(make_snapshot(), "boot-1", AT + timedelta(seconds=3))
    assert adoptable == {"plume": 10_000 - 500 - 300 - 1}


def test_adoptable_tokens_shrink_with_the_age_of_the_snapshot():
    """A process that is cut off from the store spends all that it holds."""
    snapshot = make_snapshot(unlock_delay=timedelta(seconds=2))
    left = [
        adopt(snapshot, "boot-1", AT + timedelta(seconds=s)).get("plume", 0)
        for s in (1, 2, 3, 5, 7)
    ]
    assert left[0] == 10_000 - 500 - 100 - 1
    assert left == sorted(left, reverse=True)
    assert left[-1] == 0


def test_only_the_time_until_the_new_process_started_counts():
    """The store may be unreachable for long after the start."""
    log = MemoryLeaseLog(make_snapshot())
    account = make_account(0)
    clock = make_clock(AT + timedelta(seconds=1))
    lease_book = make_lease_book(log, clock)
    clock.advance(timedelta(seconds=8))
    asyncio.run(lease_book.adopt(lambda name: account))
    assert account.free == 10_000 - 500 - 100 - 1


def test_nothing_is_adopted_from_another_boot():
    later = AT + timedelta(seconds=1)
    assert adopt(make_snapshot(), "boot-2", later) == {}
    assert adopt(make_snapshot(boot=""), "", later) == {}


@pytest.mark.parametrize("age", [timedelta(seconds=-1), timedelta(seconds=61)])
def test_nothing_is_adopted_from_a_snapshot_of_an_impossible_age(age):
    assert adopt(make_snapshot(), "boot-1", AT + age) == {}


def test_the_adopting_snapshot_is_written_before_tokens_are_credited():
    log = MemoryLeaseLog(make_snapshot())
    account = make_account(0)
    lease_book = make_lease_book(log, make_clock(AT + timedelta(seconds=1)))
    log.results = [SnapshotResult.UNKNOWN]
    with pytest.raises(LogUnavailableError):
        asyncio.run(lease_book.adopt(lambda name: account))
    assert account.free == 0
    asyncio.run(lease_book.adopt(lambda name: account))
    assert account.free == 10_000 - 500 - 100 - 1
    assert log.snapshot.incarnation == "new"
    assert log.snapshot.entries["plume"].unspent == account.free


def test_a_second_adopter_finds_the_snapshot_of_the_first():
    log = MemoryLeaseLog(make_snapshot())
    clock = make_clock(AT + timedelta(seconds=1))
    first, second = make_account(0), make_account(0)
    asyncio.run(make_lease_book(log, clock, "b").adopt(lambda name: first))
    asyncio.run(make_lease_book(log, clock, "c").adopt(lambda name: second))
    # The first wrote a snapshot that allows no spending, and has spent nothing.
    assert second.free <= first.free


def test_an_adoption_without_a_response_is_recognized():
    log = MemoryLeaseLog(make_snapshot())
    account = make_account(0)
    lease_book = make_lease_book(log, make_clock(AT))
    taken = {"plume": LeaseEntry(4000, 0.0, 0.0)}
    log.snapshot = LeaseSnapshot("new", "boot-1", AT, START + AT, taken)
    asyncio.run(lease_book.adopt(lambda name: account))
    assert account.free == 4000


def start_recording(log, clock, account, wanted=0):
    lease_book = make_lease_book(log, clock)
    accounts = {"plume": account}
    asyncio.run(lease_book.adopt(accounts.get))
    asyncio.run(lease_book.record(accounts, {"plume": wanted}))
    return lease_book, accounts


def test_reservations_stay_within_the_lease_terms():
    clock, account = make_clock(AT), make_account(10_000)
    account.note_demand(1000, clock.elapsed())
    start_recording(MemoryLeaseLog(), clock, account)
    committed = 0
    while account.reserve(100, clock.since_boot()):
        committed += 100
    assert 0 < committed < 10_000
    clock.advance(timedelta(seconds=5))
    assert account.reserve(100, clock.since_boot())


def test_a_snapshot_counts_waiting_requests_as_spent():
    clock, account, log = make_clock(AT), make_account(10_000), MemoryLeaseLog()
    start_recording(log, clock, account, wanted=6000)
    assert log.snapshot.entries["plume"].unspent == 4000
    assert account.reserve(6000, clock.since_boot())
    assert not account.reserve(4000, clock.since_boot())


def test_tokens_of_a_customer_without_demand_can_be_spent():
    clock, account = make_clock(AT), make_account(10_000)
    start_recording(MemoryLeaseLog(), clock, account)
    assert account.reserve(1000, clock.since_boot())
    clock.advance(timedelta(seconds=11))
    assert account.reserve(9000, clock.since_boot())


def test_limits_of_a_snapshot_in_doubt_and_of_the_previous_one_both_apply():
    clock, account, log = make_clock(AT), make_account(10_000), MemoryLeaseLog()
    lease_book, accounts = start_recording(log, clock, account, wanted=6000)
    log.results = [SnapshotResult.UNKNOWN]
    with pytest.raises(LogUnavailableError):
        asyncio.run(lease_book.record(accounts, {}))
    assert len(account.limits) == 2
    assert not account.reserve(6000, clock.since_boot())


def test_limits_of_an_acknowledged_snapshot_replace_those_in_doubt():
    clock, account, log = make_clock(AT), make_account(10_000), MemoryLeaseLog()
    lease_book, accounts = start_recording(log, clock, account)
    log.results = [SnapshotResult.UNKNOWN]
    with pytest.raises(LogUnavailableError):
        asyncio.run(lease_book.record(accounts, {}))
    asyncio.run(lease_book.record(accounts, {"plume": 6000}))
    assert len(account.limits) == 1
    assert account.reserve(6000, clock.since_boot())


def test_limits_of_a_snapshot_that_was_not_appended_do_not_apply():
    clock, account, log = make_clock(AT), make_account(10_000), MemoryLeaseLog()
    lease_book, accounts = start_recording(log, clock, account, wanted=6000)
    log.results = [SnapshotResult.MOVED] * 5
    asyncio.run(lease_book.record(accounts, {}))
    assert len(account.limits) == 1
    assert account.reserve(6000, clock.since_boot())


def make_busy_account(clock, tokens=100_000):
    """Return an account with demand of small requests after one large request."""
    account = make_account(tokens)
    account.note_demand(60_000, clock.elapsed())
    clock.advance(timedelta(seconds=16))
    for _ in range(16):
        account.note_demand(2000, clock.elapsed())
        clock.advance(timedelta(milliseconds=500))
    return account


def test_most_tokens_of_a_killed_process_are_adopted():
    """Half of the processes are killed a few times a day, after large requests."""
    clock, log = make_clock(AT), MemoryLeaseLog()
    start_recording(log, clock, make_busy_account(clock))
    clock.advance(timedelta(seconds=1.2))
    next_account = make_account(0)
    asyncio.run(make_lease_book(log, clock, "next").adopt(lambda name: next_account))
    assert next_account.free > 100_000 / 2


def test_a_cut_off_vm_serves_its_usual_demand_until_its_tokens_unlock():
    clock = make_clock(AT)
    account = make_busy_account(clock)
    start_recording(MemoryLeaseLog(), clock, account)
    for _ in range(20):
        assert account.reserve(2000, clock.since_boot())
        clock.advance(timedelta(milliseconds=500))


def test_unused_tokens_of_a_reservation_can_be_committed_again():
    clock, account, log = make_clock(AT), make_account(10_000), MemoryLeaseLog()
    start_recording(log, clock, account, wanted=6000)
    assert account.reserve(6000, clock.since_boot())
    account.settle(6000, used=1000)
    assert account.reserve(5000, clock.since_boot())
    assert not account.reserve(3000, clock.since_boot())


def test_the_boot_id_is_empty_if_there_is_none(tmp_path):
    assert read_boot_id(tmp_path / "missing") == ""


def test_adopted_tokens_are_not_spent_before_the_next_snapshot():
    """All of them stay adoptable if the process is killed before that snapshot."""
    log = MemoryLeaseLog(make_snapshot())
    clock = make_clock(AT + timedelta(seconds=1))
    account = make_account(0)
    lease_book = make_lease_book(log, clock)
    asyncio.run(lease_book.adopt(lambda customer: account))
    assert account.free > 0
    clock.advance(timedelta(seconds=5))
    assert not account.reserve(1, clock.since_boot())
    asyncio.run(lease_book.record({"plume": account}, {}))
    assert account.reserve(1, clock.since_boot())


def test_tokens_drawn_after_a_snapshot_can_be_spent_at_once():
    log = MemoryLeaseLog()
    clock = make_clock(AT)
    account = make_account(1000)
    lease_book = make_lease_book(log, clock)
    asyncio.run(lease_book.adopt(lambda customer: account))
    asyncio.run(lease_book.record({"plume": account}, {}))
    entry = log.snapshot.entries["plume"]
    account.credit_drawn(50_000)
    assert account.reserve(50_000, clock.since_boot())
    # The tokens in the snapshot are still bound by its terms.
    assert not account.reserve(int(entry.burst) + 1, clock.since_boot())


def test_loans_stay_within_the_lease_terms():
    clock, account = make_clock(AT), make_account(10_000)
    start_recording(MemoryLeaseLog(), clock, account)
    assert not account.lend(9000, clock.since_boot())
    assert account.lend(1000, clock.since_boot())
    assert account.free == 9000


def test_a_failed_return_leaves_the_lease_terms_unchanged():
    """The older snapshot still covers the tokens that were to be returned."""
    clock, quota_log, log = make_clock(AT), MemoryQuotaLog(), MemoryLeaseLog()
    draws = TokenDraws(
        clock,
        [quota_log],
        "new",
        lambda: {"plume": 100_000},
        lambda: 2,
        lease_book=make_lease_book(log, clock),
    )
    clock.advance(STARTUP_DELAY)
    asyncio.run(draws.run_round())
    account = draws.find_account("plume")
    tokens = account.free
    draws.return_all()
    log.results = [SnapshotResult.UNKNOWN]
    with pytest.raises(LogUnavailableError):
        asyncio.run(draws.run_round())
    assert account.free == tokens > 0
    assert not account.reserve(tokens, clock.since_boot())


@pytest.mark.parametrize("clock_offset_s", [-30.0, -1.5, 1.5, 30.0])
def test_nothing_is_adopted_if_the_clocks_disagree(clock_offset_s):
    """A boot id may outlive a power loss; the time since boot does not."""
    later = AT + timedelta(seconds=3)
    assert adopt(make_snapshot(), "boot-1", later)
    assert (
        adopt(make_snapshot(), "boot-1", later, timedelta(seconds=clock_offset_s)) == {}
    )


def test_the_longer_of_two_lifetimes_counts():
    later = AT + timedelta(seconds=3)
    usual = adopt(make_snapshot(), "boot-1", later)["plume"]
    more = adopt(make_snapshot(), "boot-1", later, timedelta(seconds=0.5))["plume"]
    less = adopt(make_snapshot(), "boot-1", later, timedelta(seconds=-0.5))["plume"]
    assert more == usual - 50
    assert less == usual


def test_a_refused_snapshot_sets_no_limits_and_is_not_retried_at_once():
    """Each of five attempts at an unreachable store took 0.6 s."""
    clock, account, log = make_clock(AT), make_account(10_000), MemoryLeaseLog()
    lease_book, accounts = start_recording(log, clock, account)
    clock.advance(timedelta(seconds=60))
    log.results = [SnapshotResult.REFUSED] * 2
    before = log.writes
    with pytest.raises(LogUnavailableError):
        asyncio.run(lease_book.record(accounts, {}))
    assert log.writes == before + 1
    assert account.reserve(10_000, clock.since_boot())


def test_a_snapshot_states_its_unlock_period():
    """The next process may be of another release, with another unlock period."""
    snapshot = make_snapshot(unlock_delay=timedelta(seconds=2))._replace(
        unlock_period=timedelta(seconds=10)
    )
    (left,) = adopt(snapshot, "boot-1", AT + timedelta(seconds=4)).values()
    assert left == 10_000 - 500 - 400 - 2000 - 1


def test_an_empty_snapshot_is_written_once():
    """195 VMs wrote empty snapshots and lost races for the partitions to each other."""
    clock, account, log = make_clock(AT), make_account(0), MemoryLeaseLog()
    lease_book, accounts = start_recording(log, clock, account)
    before = log.writes
    for _ in range(5):
        clock.advance(timedelta(seconds=1))
        asyncio.run(lease_book.record(accounts, {}))
    assert log.writes == before
    account.credit_drawn(500)
    asyncio.run(lease_book.record(accounts, {}))
    assert log.writes == before + 1
    assert log.snapshot.entries["plume"].unspent == 500
