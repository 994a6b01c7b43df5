"""What VMs tell each other of grants that a restored store has lost."""

import asyncio
import contextlib
import random
from datetime import timedelta

import pytest

from lavendershift.clocks import ManualClock
from lavendershift.errors import LogUnavailableError
from lavendershift.grantnotices import GrantInquiry, GrantNotice, GrantNotices
from lavendershift.pendingtokens import TokenRequest
from lavendershift.quotalogs import SwapResult
from lavendershift.restoredgrants import (
    ANSWER_TIME,
    CONFIRMATION_TIME,
    INQUIRIES,
    INQUIRY_TIME,
    MAX_ASKED,
    KnownGrants,
)
from lavendershift.storehistories import History, StoreRestoredError
from lavendershift.tokendraws import TokenDraws
from lavendershift.tokenwaits import WaitResult

TOTAL = {"plume": 100_000}
NO_WAIT = timedelta(milliseconds=1)


class ReadClock(ManualClock):
    """A clock of which each reading takes some time, so that waits end."""

    def elapsed(self):
        self.advance(timedelta(microseconds=200))
        return super().elapsed()


class Store:
    """The quota records at one address."""

    def __init__(self, address, era):
        self.address, self.era = address, era
        self.records = []
        self.calls = 0

    def restore(self, records):
        self.records, self.era = list(records), self.era + 1


class VmLog:
    """A VM's connection to the store, which may reject its calls."""

    def __init__(self, store):
        self.store, self.moves = store, 0
        self.history = History()
        self.seen = History()
        self.is_rejected = False

    def follow(self, store):
        self.store, self.moves = store, self.moves + 1
        self.seen = History(self.moves)

    @property
    def newest_history(self):
        return self.seen

    @property
    def is_restored(self):
        return self.seen != self.history

    def _call(self):
        self.store.calls += 1
        if self.is_rejected:
            raise LogUnavailableError("rejected")
        self.seen = History(self.moves, self.store.era)

    async def read_newest(self):
        self._call()
        self.history = self.seen
        newest = {record.customer: record for record in self.store.records}
        return list(newest.values()), len(self.store.records)

    async def read_records(self, offset):
        self._call()
        if self.is_restored:
            raise StoreRestoredError("restored")
        return self.store.records[offset:]

    async def swap(self, end, records):
        if self.is_restored:
            return SwapResult.MOVED
        self._call()
        if self.is_restored or end != len(self.store.records):
            return SwapResult.MOVED
        self.store.records += records
        return SwapResult.DONE


class FakeDatagrams:
    """Delivers datagrams at once, unless the sender or receiver is cut off."""

    def __init__(self, vms, name):
        self._vms, self._name = vms, name
        self.handlers = {}
        self.sent = []
        self.is_cut = False

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, message, peers):
        for peer in peers:
            self.sent.append(message)
            receiver = self._vms[peer].datagrams
            if not (self.is_cut or receiver.is_cut):
                receiver.handlers[type(message)](message, self._name)


class Vm:
    def __init__(self, fleet, name):
        self.log = VmLog(fleet.store)
        self.datagrams = FakeDatagrams(fleet.vms, name)
        self.draws = TokenDraws(
            fleet.clock,
            [self.log],
            f"{name}/1",
            lambda: TOTAL,
            lambda: 2,
            on_draw=self.note_draw,
        )
        self.notices = GrantNotices(
            random.Random(1),
            self.datagrams,
            lambda: [peer for peer in fleet.vms if peer != name],
            self.draws.grants,
            lambda: self.log.store.address,
        )
        self.draws.grants.listen(self.notices.inquire)
        fleet.vms[name] = self

    def note_draw(self, customer, tokens, granted):
        if tokens > 0:
            era = self.draws.grants.find_era(customer)
            self.notices.tell(customer, granted, era)

    async def reserve(self, tokens):
        request = TokenRequest("plume", tokens)
        return await self.draws.wait_for(request, NO_WAIT)


class Fleet:
    def __init__(self, era=4):
        self.clock = ReadClock()
        self.store = Store("store-1", era)
        self.vms = {}

    async def reserve_after_waits(self, vm, tokens):
        """Let a request retry until well after the wait that follows a restore."""
        result = None
        for _ in range(30):
            with contextlib.suppress(LogUnavailableError):
                await vm.draws.run_round()
            result = await vm.reserve(tokens)
            if result is WaitResult.GRANTED:
                break
            self.clock.advance(timedelta(milliseconds=200))
        return result

    async def start_with_lost_grants(self):
        """Return a VM whose reservation is lost in the store's copy."""
        first = Vm(self, "first")
        assert await self.reserve_after_waits(first, 90_000) is WaitResult.GRANTED
        return first


@pytest.mark.parametrize("knows_of_restore", [False, True])
def test_a_process_without_history_asks_vms_that_the_store_rejects(knows_of_restore):
    """It drew a total again that a VM had drawn, but couldn't write again."""

    async def work():
        fleet = Fleet()
        first = await fleet.start_with_lost_grants()
        fleet.store.restore([])
        first.log.is_rejected = True
        if knows_of_restore:
            first.log.seen = History(0, 5)
        second = Vm(fleet, "second")
        assert await fleet.reserve_after_waits(second, 90_000) is not WaitResult.GRANTED
        assert fleet.store.records[-1].granted >= 90_000

    asyncio.run(work())


def test_a_vm_that_follows_another_address_asks_those_that_do_not_yet():
    """The store there is a copy of the same era, and lacks the newest grants."""

    async def work():
        fleet = Fleet()
        second = Vm(fleet, "second")
        await second.draws.run_round()
        second.datagrams.is_cut = True
        await fleet.start_with_lost_grants()
        second.datagrams.is_cut = False
        second.log.follow(Store("store-2", 4))
        second.draws.find_account("plume").reserve(
            second.draws.find_account("plume").free, timedelta()
        )
        assert await fleet.reserve_after_waits(second, 90_000) is not WaitResult.GRANTED

    asyncio.run(work())


def test_a_process_draws_the_rest_of_a_total_after_the_replies():
    async def work():
        fleet = Fleet()
        first = await fleet.start_with_lost_grants()
        fleet.store.restore([])
        first.log.is_rejected = True
        second = Vm(fleet, "second")
        started = fleet.clock.elapsed()
        left = TOTAL["plume"] - first.draws.plans.find_records("plume").granted["plume"]
        assert left > 0
        assert await fleet.reserve_after_waits(second, left) is WaitResult.GRANTED
        assert fleet.clock.elapsed() - started <= CONFIRMATION_TIME + ANSWER_TIME

    asyncio.run(work())


def test_nobody_is_asked_where_the_store_was_never_restored():
    """Inquiries go to all active VMs, and would cost each start a wait."""

    async def work():
        fleet = Fleet(era=1)
        await fleet.start_with_lost_grants()
        second = Vm(fleet, "second")
        await second.draws.run_round()
        assert await second.reserve(500) is WaitResult.GRANTED
        assert all(isinstance(m, GrantNotice) for m in second.datagrams.sent)

    asyncio.run(work())


def test_a_vm_that_has_recorded_its_grants_does_not_reply():
    """The sender reads them before its next draw; each VM would reply to each."""

    async def work():
        fleet = Fleet()
        first = await fleet.start_with_lost_grants()
        fleet.store.restore([])
        first.log.seen = History(0, 5)
        await first.draws.run_round()
        second = Vm(fleet, "second")
        count = len(first.datagrams.sent)
        second.notices.inquire({"plume": 0}, 5)
        assert len(first.datagrams.sent) == count
        assert second.datagrams.sent == [GrantInquiry("store-1", 5, {"plume": 0})]

    asyncio.run(work())


def test_inquiries_are_few_and_small():
    clock = ManualClock()
    grants = KnownGrants(clock)
    grants.begin(History(0, 5))
    customers = [f"customer-{n}" for n in range(MAX_ASKED + 10)]
    assert len(grants.begin_inquiry(customers)) == MAX_ASKED
    assert len(grants.begin_inquiry(customers)) == 10
    assert not grants.is_answered(customers[0])
    sent = 0
    while clock.elapsed() < INQUIRY_TIME:
        clock.advance(ANSWER_TIME)
        sent += len(grants.begin_inquiry(customers))
    assert sent == (INQUIRIES - 1) * len(customers)
    assert grants.is_answered(customers[0])
    assert grants.is_answered("customer-without-inquiry")
