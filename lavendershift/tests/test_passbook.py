import asyncio
from datetime import timedelta

import pytest

from lavendershift.clocks import ManualClock
from lavendershift.draws import SETTLE_TIME, TokenDraws
from lavendershift.errors import LogUnavailableError
from lavendershift.passbook import (
    Entry,
    LeaseBook,
    Page,
    PageResult,
    find_adoptable,
    read_boot_id,
)
from lavendershift.prepaid import PrepaidAccount
from lavendershift.tests.test_draws import MemoryRows

AT = timedelta(seconds=100)
START = ManualClock().now()


class MemoryPages:
    """One VM's page; ``results`` are those of the next writes."""

    def __init__(self, page=None):
        self.page = page
        self.end = 0
        self.results = []
        self.writes = 0

    async def read(self):
        return self.page, self.end

    async def write(self, end, page):
        self.writes += 1
        result = self.results.pop(0) if self.results else PageResult.DONE
        if result is PageResult.DONE:
            self.page, self.end = page, end + 1
        return result, self.end


def make_page(boot="boot-1", at=AT, unspent=10_000, unlock_delay=timedelta(seconds=4)):
    return Page(
        "old",
        boot,
        at,
        START + at,
        {"plume": Entry(unspent, 500.0, 100.0)},
        unlock_delay,
    )


def make_passbook(pages, clock, name="new", boot="boot-1"):
    return LeaseBook(clock, pages, name, boot)


def make_account(free):
    account = PrepaidAccount("plume")
    account.credit(free)
    return account


def adopt(page, boot, at, set_by=timedelta()):
    """Return what is adopted ``at`` a time since boot, by day ``set_by`` more."""
    return find_adoptable(page, boot, at, START + at + set_by)


def make_clock(since_boot):
    clock = ManualClock()
    clock.advance(since_boot)
    return clock


def test_what_the_promise_left_is_adoptable():
    adoptable = adopt(make_page(), "boot-1", AT + timedelta(seconds=3))
    assert adoptable == {"plume": 10_000 - 500 - 300 - 1}


def test_a_process_without_a_new_page_may_have_spent_more_and_more():
    """One that was cut off from the store serves with all that it holds."""
    page = make_page(unlock_delay=timedelta(seconds=2))
    left = [
        adopt(page, "boot-1", AT + timedelta(seconds=s)).get("plume", 0)
        for s in (1, 2, 3, 5, 7)
    ]
    assert left[0] == 10_000 - 500 - 100 - 1
    assert left == sorted(left, reverse=True)
    assert left[-1] == 0


def test_only_the_time_until_the_new_process_began_counts():
    """The store may be away for long after the start."""
    pages = MemoryPages(make_page())
    account = make_account(0)
    clock = make_clock(AT + timedelta(seconds=1))
    passbook = make_passbook(pages, clock)
    clock.advance(timedelta(seconds=8))
    asyncio.run(passbook.adopt(lambda name: account))
    assert account.free == 10_000 - 500 - 100 - 1


def test_nothing_is_adopted_from_another_boot():
    later = AT + timedelta(seconds=1)
    assert adopt(make_page(), "boot-2", later) == {}
    assert adopt(make_page(boot=""), "", later) == {}


@pytest.mark.parametrize("lived", [timedelta(seconds=-1), timedelta(seconds=61)])
def test_nothing_is_adopted_after_an_impossible_time(lived):
    assert adopt(make_page(), "boot-1", AT + lived) == {}


def test_the_adopting_page_is_written_before_the_tokens_count():
    pages = MemoryPages(make_page())
    account = make_account(0)
    passbook = make_passbook(pages, make_clock(AT + timedelta(seconds=1)))
    pages.results = [PageResult.UNKNOWN]
    with pytest.raises(LogUnavailableError):
        asyncio.run(passbook.adopt(lambda name: account))
    assert account.free == 0
    asyncio.run(passbook.adopt(lambda name: account))
    assert account.free == 10_000 - 500 - 100 - 1
    assert pages.page.incarnation == "new"
    assert pages.page.entries["plume"].unspent == account.free


def test_a_second_successor_finds_the_first_ones_page():
    pages = MemoryPages(make_page())
    clock = make_clock(AT + timedelta(seconds=1))
    first, second = make_account(0), make_account(0)
    asyncio.run(make_passbook(pages, clock, "b").adopt(lambda name: first))
    asyncio.run(make_passbook(pages, clock, "c").adopt(lambda name: second))
    # The first wrote a page without a promise and spent nothing since.
    assert second.free <= first.free


def test_an_adoption_without_an_answer_is_recognized():
    pages = MemoryPages(make_page())
    account = make_account(0)
    passbook = make_passbook(pages, make_clock(AT))
    taken = {"plume": Entry(4000, 0.0, 0.0)}
    pages.page = Page("new", "boot-1", AT, START + AT, taken)
    asyncio.run(passbook.adopt(lambda name: account))
    assert account.free == 4000


def start_recording(pages, clock, account, wanted=0):
    passbook = make_passbook(pages, clock)
    accounts = {"plume": account}
    asyncio.run(passbook.adopt(accounts.get))
    asyncio.run(passbook.record(accounts, {"plume": wanted}))
    return passbook, accounts


def test_commitments_keep_to_the_promise():
    clock, account = make_clock(AT), make_account(10_000)
    account.note_demand(1000, clock.elapsed())
    start_recording(MemoryPages(), clock, account)
    committed = 0
    while account.reserve(100, clock.since_boot()):
        committed += 100
    assert 0 < committed < 10_000
    clock.advance(timedelta(seconds=5))
    assert account.reserve(100, clock.since_boot())


def test_waiting_requests_are_paid_ahead_by_the_page():
    clock, account, pages = make_clock(AT), make_account(10_000), MemoryPages()
    start_recording(pages, clock, account, wanted=6000)
    assert pages.page.entries["plume"].unspent == 4000
    assert account.reserve(6000, clock.since_boot())
    assert not account.reserve(4000, clock.since_boot())


def test_a_customer_never_seen_here_can_spend_what_is_held_for_it():
    clock, account = make_clock(AT), make_account(10_000)
    start_recording(MemoryPages(), clock, account)
    assert account.reserve(1000, clock.since_boot())
    clock.advance(timedelta(seconds=11))
    assert account.reserve(9000, clock.since_boot())


def test_a_page_in_doubt_binds_like_the_one_before():
    clock, account, pages = make_clock(AT), make_account(10_000), MemoryPages()
    passbook, accounts = start_recording(pages, clock, account, wanted=6000)
    pages.results = [PageResult.UNKNOWN]
    with pytest.raises(LogUnavailableError):
        asyncio.run(passbook.record(accounts, {}))
    assert len(account.limits) == 2
    assert not account.reserve(6000, clock.since_boot())


def test_an_acknowledged_page_replaces_those_in_doubt():
    clock, account, pages = make_clock(AT), make_account(10_000), MemoryPages()
    passbook, accounts = start_recording(pages, clock, account)
    pages.results = [PageResult.UNKNOWN]
    with pytest.raises(LogUnavailableError):
        asyncio.run(passbook.record(accounts, {}))
    asyncio.run(passbook.record(accounts, {"plume": 6000}))
    assert len(account.limits) == 1
    assert account.reserve(6000, clock.since_boot())


def test_a_page_that_was_never_written_binds_nobody():
    clock, account, pages = make_clock(AT), make_account(10_000), MemoryPages()
    passbook, accounts = start_recording(pages, clock, account, wanted=6000)
    pages.results = [PageResult.MOVED] * 5
    asyncio.run(passbook.record(accounts, {}))
    assert len(account.limits) == 1
    assert account.reserve(6000, clock.since_boot())


def make_busy_account(clock, held=100_000):
    """A customer's account whose requests are small, but for one."""
    account = make_account(held)
    account.note_demand(60_000, clock.elapsed())
    clock.advance(timedelta(seconds=16))
    for _ in range(16):
        account.note_demand(2000, clock.elapsed())
        clock.advance(timedelta(milliseconds=500))
    return account


def test_a_successor_adopts_most_of_what_a_killed_process_held():
    """Half of the processes are killed a few times a day, after large requests."""
    clock, pages = make_clock(AT), MemoryPages()
    start_recording(pages, clock, make_busy_account(clock))
    clock.advance(timedelta(seconds=1.2))
    successor = make_account(0)
    asyncio.run(make_passbook(pages, clock, "next").adopt(lambda name: successor))
    assert successor.free > 100_000 / 2


def test_a_cut_vm_pays_the_usual_demand_until_all_it_holds_opens():
    clock = make_clock(AT)
    account = make_busy_account(clock)
    start_recording(MemoryPages(), clock, account)
    for _ in range(20):
        assert account.reserve(2000, clock.since_boot())
        clock.advance(timedelta(milliseconds=500))


def test_unused_tokens_of_a_reservation_may_be_committed_again():
    clock, account, pages = make_clock(AT), make_account(10_000), MemoryPages()
    start_recording(pages, clock, account, wanted=6000)
    assert account.reserve(6000, clock.since_boot())
    account.settle(6000, used=1000)
    assert account.reserve(5000, clock.since_boot())
    assert not account.reserve(3000, clock.since_boot())


def test_a_vm_without_a_boot_id_has_an_empty_one(tmp_path):
    assert read_boot_id(tmp_path / "missing") == ""


def test_nothing_adopted_is_spent_before_a_page_says_so():
    """A process killed between adoption and its first page leaves it whole."""
    pages = MemoryPages(make_page())
    clock = make_clock(AT + timedelta(seconds=1))
    account = make_account(0)
    passbook = make_passbook(pages, clock)
    asyncio.run(passbook.adopt(lambda customer: account))
    assert account.free > 0
    clock.advance(timedelta(seconds=5))
    assert not account.reserve(1, clock.since_boot())
    asyncio.run(passbook.record({"plume": account}, {}))
    assert account.reserve(1, clock.since_boot())


def test_tokens_drawn_after_a_page_can_be_spent_at_once():
    pages = MemoryPages()
    clock = make_clock(AT)
    account = make_account(1000)
    passbook = make_passbook(pages, clock)
    asyncio.run(passbook.adopt(lambda customer: account))
    asyncio.run(passbook.record({"plume": account}, {}))
    promised = pages.page.entries["plume"]
    account.credit_drawn(50_000)
    assert account.reserve(50_000, clock.since_boot())
    # What the page counts is held to its promise as before.
    assert not account.reserve(int(promised.burst) + 1, clock.since_boot())


def test_tokens_are_lent_within_the_promise_of_the_page():
    clock, account = make_clock(AT), make_account(10_000)
    start_recording(MemoryPages(), clock, account)
    assert not account.lend(9000, clock.since_boot())
    assert account.lend(1000, clock.since_boot())
    assert account.free == 9000


def test_a_return_that_did_not_happen_leaves_the_promise_as_it_was():
    """The older page still counts the tokens that were to be returned."""
    clock, rows, pages = make_clock(AT), MemoryRows(), MemoryPages()
    draws = TokenDraws(
        clock,
        [rows],
        "new",
        lambda: {"plume": 100_000},
        lambda: 2,
        passbook=make_passbook(pages, clock),
    )
    clock.advance(SETTLE_TIME)
    asyncio.run(draws.run_round())
    account = draws.find_account("plume")
    held = account.free
    draws.return_all()
    pages.results = [PageResult.UNKNOWN]
    with pytest.raises(LogUnavailableError):
        asyncio.run(draws.run_round())
    assert account.free == held > 0
    assert not account.reserve(held, clock.since_boot())


@pytest.mark.parametrize("set_by_s", [-30.0, -1.5, 1.5, 30.0])
def test_nothing_is_adopted_where_the_clocks_disagree(set_by_s):
    """A boot id may outlive a loss of power, the time since boot does not."""
    later = AT + timedelta(seconds=3)
    assert adopt(make_page(), "boot-1", later)
    assert adopt(make_page(), "boot-1", later, timedelta(seconds=set_by_s)) == {}


def test_the_longer_of_two_lives_counts():
    later = AT + timedelta(seconds=3)
    usual = adopt(make_page(), "boot-1", later)["plume"]
    more = adopt(make_page(), "boot-1", later, timedelta(seconds=0.5))["plume"]
    less = adopt(make_page(), "boot-1", later, timedelta(seconds=-0.5))["plume"]
    assert more == usual - 50
    assert less == usual


def test_a_refused_page_binds_nobody_and_is_not_repeated_at_once():
    """A store that could not be reached was tried five times, 0.6 s each."""
    clock, account, pages = make_clock(AT), make_account(10_000), MemoryPages()
    passbook, accounts = start_recording(pages, clock, account)
    clock.advance(timedelta(seconds=60))
    pages.results = [PageResult.REFUSED] * 2
    before = pages.writes
    with pytest.raises(LogUnavailableError):
        asyncio.run(passbook.record(accounts, {}))
    assert pages.writes == before + 1
    assert account.reserve(10_000, clock.since_boot())


def test_a_page_says_in_which_time_its_tokens_open():
    """A successor of another release may open its own tokens faster or slower."""
    page = make_page(unlock_delay=timedelta(seconds=2))._replace(
        unlock_period=timedelta(seconds=10)
    )
    (left,) = adopt(page, "boot-1", AT + timedelta(seconds=4)).values()
    assert left == 10_000 - 500 - 400 - 2000 - 1


def test_nothing_held_is_written_once():
    """195 VMs wrote empty pages, and lost races for the partitions to each other."""
    clock, account, pages = make_clock(AT), make_account(0), MemoryPages()
    passbook, accounts = start_recording(pages, clock, account)
    before = pages.writes
    for _ in range(5):
        clock.advance(timedelta(seconds=1))
        asyncio.run(passbook.record(accounts, {}))
    assert pages.writes == before
    account.credit_drawn(500)
    asyncio.run(passbook.record(accounts, {}))
    assert pages.writes == before + 1
    assert pages.page.entries["plume"].unspent == 500
