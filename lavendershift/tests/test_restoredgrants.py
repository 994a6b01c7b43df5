import asyncio
from datetime import timedelta

import pytest

from lavendershift.clocks import ManualClock
from lavendershift.errors import LogUnavailableError
from lavendershift.prepaid import PrepaidAccount
from lavendershift.quotalogs import QuotaRecord, SwapResult
from lavendershift.quotarecords import QuotaRecords
from lavendershift.restoredgrants import ANSWER_TIME, CONFIRMATION_TIME, KnownGrants
from lavendershift.storehistories import History, StoreRestoredError
from lavendershift.storewatch import StoreWatch
from lavendershift.tokenreturns import ReleasedTokens, SnapshotHistory


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def grants(clock):
    """The grants of a VM that has read a record of 5000 in era 4."""
    grants = KnownGrants(clock)
    grants.begin(History(0, 4))
    grants.note("plume", 5000, 4, True)
    return grants


def test_grants_that_the_copy_lacks_are_written_before_any_draw(grants, clock):
    """A draw from the copy's record grants tokens that are spent already."""
    grants.begin(History(0, 5))
    grants.note("plume", 3000, 4, True)
    clock.advance(CONFIRMATION_TIME)
    assert grants.granted == grants.lost == {"plume": 5000}
    assert not grants.is_settled("plume")
    grants.note("plume", 5000, 5, False)
    assert not grants.lost
    assert grants.is_settled("plume")


def test_a_draw_of_another_vm_that_was_not_read_is_not_lost(grants):
    """The VM that drew may have ended before any other read its record."""
    grants.note_told("plume", 7000, 4)
    grants.begin(History(0, 5))
    grants.note("plume", 3000, 4, True)
    assert grants.lost == {"plume": 7000}


def test_a_notice_that_arrives_after_the_restore_counts(grants):
    grants.begin(History(0, 5))
    grants.note("plume", 5000, 4, True)
    grants.note_told("plume", 7000, 4)
    assert grants.lost == {"plume": 7000}


def test_a_notice_from_before_the_first_reading_counts(clock):
    """A process that had not read the partition yet dropped notices at a restore.

    Nobody wrote these grants again if the VM that drew them had ended.
    """
    grants = KnownGrants(clock)
    grants.note_told("plume", 7000, 4)
    assert grants.has_told_before(History(0, 5))
    assert not grants.has_told_before(History(0, 4))
    grants.begin(History(0, 5))
    grants.note("plume", 3000, 4, True)
    assert grants.granted == grants.lost == {"plume": 7000}


def test_a_notice_of_the_era_that_is_read_first_outlives_the_reading_in_flight(
    grants, clock
):
    """The grant may come after the records that were read, and be lost next."""
    started = clock.elapsed()
    clock.advance(timedelta(milliseconds=4))
    grants.note_told("plume", 7000, 5)
    grants.begin(History(0, 5))
    grants.note("plume", 5000, 5, False)
    grants.note_reading(started)
    grants.begin(History(0, 6))
    grants.note("plume", 5000, 5, False)
    assert grants.lost == {"plume": 7000}


def test_a_notice_from_before_a_reading_is_forgotten(grants, clock):
    """Tokens returned since then would stay granted after a restore."""
    grants.note_told("plume", 7000, 4)
    clock.advance(timedelta(seconds=1))
    grants.note_reading(clock.elapsed())
    grants.begin(History(0, 5))
    grants.note("plume", 5000, 4, True)
    assert not grants.lost


def test_nothing_is_drawn_until_other_vms_had_time_to_write(grants, clock):
    """Another VM may know of more grants than this one."""
    grants.begin(History(0, 5))
    grants.note("plume", 5000, 4, True)
    assert not grants.is_settled("plume")
    grants.note("plume", 6000, 5, False)
    assert not grants.is_settled("plume")
    grants.note("plume", 6100, 5, True)
    assert grants.is_settled("plume")
    assert not grants.is_settled("encre")
    clock.advance(CONFIRMATION_TIME)
    assert grants.is_settled("encre")


@pytest.mark.parametrize(
    ("era", "record_era", "waits"),
    [(0, 0, False), (1, 1, False), (1, 0, True), (2, 1, True), (2, 2, False)],
)
def test_a_process_that_starts_after_a_restore_waits(clock, era, record_era, waits):
    grants = KnownGrants(clock)
    grants.begin(History(0, era))
    grants.note("plume", 5000, record_era, True)
    assert grants.is_settled("plume") is not waits


def test_a_record_of_an_era_that_was_damaged_confirms_nothing(clock):
    """A process that started after a restore drew at once below lost grants."""
    grants = KnownGrants(clock)
    grants.begin(History(0, 5))
    grants.note("plume", 5000, 10**12, True)
    assert not grants.is_settled("plume")


def test_an_append_of_an_older_era_that_is_executed_late_is_undone(grants, clock):
    grants.begin(History(0, 5))
    grants.note("plume", 8000, 5, True)
    grants.note("plume", 4000, 4, True)
    assert grants.granted == grants.lost == {"plume": 8000}
    assert not grants.is_settled("plume")


def test_restores_in_a_row_keep_what_was_not_written_yet(grants):
    for era in (5, 6, 7):
        grants.begin(History(0, era))
        grants.note("plume", 1000, 3, True)
    assert grants.lost == {"plume": 5000}


def test_a_move_to_a_copy_of_the_store_is_waited_for(grants, clock):
    """Records that were confirmed at the old address say nothing at the new one.

    A VM that had drawn at the old address wrote its grants again too late.
    """
    grants.begin(History(1, 4))
    grants.note("plume", 5000, 4, True)
    assert not grants.is_settled("plume")
    clock.advance(CONFIRMATION_TIME)
    assert grants.is_settled("plume")


def test_a_malformed_record_is_not_replaced_after_a_restore(grants):
    """Only an operator may repair it, as the number known before is a guess."""
    grants.begin(History(0, 5))
    grants.forget("plume")
    assert not grants.lost


class RestoredLog:
    """Quota records in a store that was restored; the next reading fails."""

    def __init__(self):
        self.history = self.newest_history = History(0, 4)
        self.failures = 0
        self.appended = []

    @property
    def is_restored(self):
        return self.history != self.newest_history

    async def read_newest(self):
        if self.failures:
            self.failures -= 1
            raise LogUnavailableError("status 429")
        self.history = self.newest_history
        granted = {"plume": 5000, "encre": 500}
        return [QuotaRecord(c, n, "a/1", era=4) for c, n in granted.items()], 2

    async def read_records(self, offset):
        return self.appended[offset - 2 :]

    async def swap(self, end, records):
        self.appended += records
        return SwapResult.DONE


def test_grants_may_be_lost_until_a_restored_store_was_read(clock):
    """After one refused reading, a standby VM never read the partition again."""
    log = RestoredLog()
    records = QuotaRecords(clock, log, "a", PrepaidAccount, lambda *args: None)
    asyncio.run(records.sync())
    assert not records.has_lost_grants
    log.newest_history, log.failures = History(0, 5), 1
    with pytest.raises(LogUnavailableError):
        asyncio.run(records.sync())
    assert records.has_lost_grants


def test_a_partition_that_was_never_read_is_read_for_notices_of_lost_grants(clock):
    """A standby VM reads no partitions, and nobody else may know the grants."""
    log = RestoredLog()
    records = QuotaRecords(clock, log, "a", PrepaidAccount, lambda *args: None)
    records.note_told("plume", 7000, 4)
    assert not records.has_lost_grants
    log.newest_history = History(0, 5)
    assert records.has_lost_grants
    asyncio.run(records.sync())
    assert log.appended == [QuotaRecord("plume", 7000, "a/1", era=5, is_settled=False)]
    assert not records.has_lost_grants


class Draw:
    """A VM that draws and returns while a late notice of a lost grant arrives."""

    def __init__(self, clock, log):
        self.accounts = {c: PrepaidAccount(c) for c in ("plume", "encre")}
        self.told = []
        self.records = QuotaRecords(
            clock, log, "a", self.accounts.get, lambda *draw: self.told.append(draw)
        )
        asyncio.run(self.records.sync())
        self.accounts["encre"].credit(500)

    def receive_notice(self):
        self.records.note_told("plume", 7000, 3)

    def change(self, deltas, on_release=lambda: None):
        async def release(tokens):
            await asyncio.sleep(0)
            on_release()
            for customer, count in tokens.items():
                self.accounts[customer].credit(-count)
            history = SnapshotHistory()
            return ReleasedTokens(history, history.debit(tokens))

        return asyncio.run(self.records.change(deltas, release))


@pytest.fixture
def draw(clock):
    draw = Draw(clock, RestoredLog())
    clock.advance(CONFIRMATION_TIME)
    return draw


def test_a_draw_is_planned_again_if_grants_become_known_during_a_release(draw):
    """A draw of what seemed left of a total was added to the number in the notice."""
    log = draw.records._log
    is_done = draw.change({"plume": 4000, "encre": -500}, draw.receive_notice)
    assert not is_done
    assert log.appended == []
    assert draw.accounts["plume"].free == 0
    assert draw.accounts["encre"].free == 500


def test_a_draw_beside_a_restore_during_a_release_is_planned_again(draw):
    log = draw.records._log

    def restore():
        log.newest_history = History(0, 5)

    assert not draw.change({"plume": 4000, "encre": -500}, restore)
    assert log.appended == []
    assert draw.accounts["encre"].free == 500


def test_a_draw_below_grants_that_become_known_during_its_append_is_not_spent(draw):
    """Its tokens are among those that the notice says were granted before."""
    log = draw.records._log
    swap = log.swap

    async def swap_late(end, records):
        draw.receive_notice()
        return await swap(end, records)

    log.swap = swap_late
    draw.change({"plume": 4000})
    assert draw.accounts["plume"].free == 0
    assert draw.told == []
    assert draw.records.granted["plume"] == 9000


@pytest.mark.parametrize("call", ["sync", "change"])
def test_a_store_that_responds_with_a_new_era_is_reachable(draw, call):
    """Requests were refused as in an outage until the next round, 400 ms later."""
    log, clock = draw.records._log, draw.records._clock
    watch = StoreWatch(clock, lambda: draw.records.read_at, lambda *change: None)
    watch.is_reachable = True

    async def swap(end, records):
        log.newest_history = History(0, log.newest_history.era + 1)
        return SwapResult.UNKNOWN

    log.swap = swap
    draw.receive_notice()
    if call == "change":
        draw.records._grants.lost.clear()
    clock.advance(timedelta(seconds=1))
    with pytest.raises(StoreRestoredError), watch.watch_calls():
        if call == "change":
            draw.change({"plume": 4000})
        else:
            asyncio.run(draw.records.sync())
    assert watch.is_reachable


def test_the_time_until_tokens_are_drawn_again_is_known(grants, clock):
    """Refusals stated the delay of a lost race instead."""
    assert grants.find_wait("plume") == timedelta()
    grants.begin(History(0, 5))
    grants.note("plume", 5000, 4, True)
    assert grants.find_wait("plume") == CONFIRMATION_TIME
    clock.advance(CONFIRMATION_TIME - ANSWER_TIME / 2)
    assert grants.find_wait("plume") == ANSWER_TIME
    grants.begin_inquiry(["plume"])
    clock.advance(ANSWER_TIME)
    assert grants.is_settled("plume")
    assert grants.is_answered("plume")
    assert grants.find_wait("plume") == timedelta()
