"""Capacity probes of the allocator: deciding what to hold of a budget."""

import asyncio
from collections.abc import Callable, Mapping
from datetime import timedelta

from lavendershift.allocators import BudgetAllocator, ReservationRequest
from lavendershift.clocks import Clock, SystemClock
from lavendershift.ledgersessions import LedgerSession, SessionSettings
from lavendershift.messages import BorrowRequest, Heartbeat, LoanGrant
from lavendershift.records import Entry, Record
from lavendershift.tools.capacity_fleet import make_heartbeat
from lavendershift.tools.capacity_ledger import STREAM, RecordScript, find_prepaid
from lavendershift.tools.capacity_probes import (
    Role,
    Slope,
    measure_memory,
    register_probe,
    time_work,
)
from lavendershift.tools.memory_log import MemoryLog

ROUTERS = (10, 330)
HOLDERS = 10  # routers that hold tokens of one budget
IDLE_BUDGETS = 1_000
HOLD_AHEAD = timedelta(minutes=10)


async def refuse_loan(peer: str, request: BorrowRequest) -> LoanGrant | None:
    """Lend nothing."""
    return None


def do_nothing() -> None:
    """Take no notice."""


async def wait_for_nothing(offset: int) -> None:
    """Return at once."""


class AllocatorHarness:
    """A session that has joined a ledger among ``routers``."""

    def __init__(self, routers: int, clock: Clock) -> None:
        self.clock = clock
        settings = SessionSettings("r0", "rennes-0", 1, 10**9, timedelta(hours=48))
        self.session = LedgerSession(
            STREAM,
            MemoryLog(),
            settings,
            clock,
            make_heartbeat(0, 0).incarnation,
            find_prepaid,
            wait_for_nothing,
            lambda: 0,
            do_nothing,
        )
        self._beats = {f"r{n}": make_heartbeat(n, 0) for n in range(1, routers)}
        self.allocator = BudgetAllocator(
            self.session, "adaptive", clock, self._list_peers, refuse_loan
        )
        self._fold_peers(routers)

    @property
    def name(self) -> str:
        """The incarnation of the session."""
        return self.session.participant.incarnation

    def _list_peers(self) -> Mapping[str, Heartbeat]:
        return dict(self._beats)

    def _fold_peers(self, routers: int) -> None:
        script = RecordScript()
        for number in range(1, routers):
            name = script.join(number)
            if number <= HOLDERS:
                script.grant(name, "busy")
        for record in script.records:
            self.fold(record)

    def fold(self, record: Record) -> None:
        """Fold a record into the session's ledger."""
        ledger = self.session.ledger
        ledger.apply(Entry(ledger.next_offset, ledger.next_offset, record))

    async def join(self) -> None:
        """Follow the log until the session has joined."""
        ledger = self.session.ledger
        stream = self.session._log.find_stream(STREAM)  # type: ignore[attr-defined]
        stream.entries = [(n, n, None) for n in range(ledger.next_offset)]
        await self.session.start()
        while not self.session.joined:
            await asyncio.sleep(0.01)

    async def reserve_and_settle(self, budget: str) -> None:
        """Reserve tokens of ``budget`` and settle, as a request does."""
        demand = ReservationRequest(budget, 500, "c/k", f"a-{budget}", HOLD_AHEAD, 0.1)
        deadline = self.clock.elapsed() + timedelta(seconds=10)
        held = (await self.allocator.acquire(demand, deadline)).unwrap()
        charge = held.participant.book.settle(held.reservation, 275)
        held.participant.writer.submit_record(charge)
        self.allocator.record_usage(budget, 275)


def run_scene(routers: int, work: Callable[[AllocatorHarness], float]) -> float:
    """Return what ``work`` measures in a joined scene."""

    async def run() -> float:
        scene = AllocatorHarness(routers, SystemClock())
        await scene.join()
        try:
            await scene.reserve_and_settle("busy")
            return work(scene)
        finally:
            await scene.session.stop()

    return asyncio.run(run())


def _register_decision(routers: int) -> None:
    @register_probe(f"holding decision, {routers} routers", Role.ROUTER, "decision")
    def measure() -> Slope:
        def decide(scene: AllocatorHarness) -> float:
            return time_work(lambda: scene.allocator.make_view("busy"), 1)

        return Slope(us=run_scene(routers, decide))


for _routers in ROUTERS:
    _register_decision(_routers)


async def use_budgets(scene: AllocatorHarness, budgets: int) -> None:
    """Use many budgets once each."""
    for start in range(0, budgets, 100):
        numbers = range(start, min(start + 100, budgets))
        await asyncio.gather(
            *(scene.reserve_and_settle(f"budget-{n:05d}") for n in numbers)
        )


@register_probe("policies of 1,000 budgets used, 330 routers", Role.ROUTER, "second")
def measure_policies() -> Slope:
    """Measure the look at budgets that were all used a moment ago."""

    async def run() -> float:
        scene = AllocatorHarness(330, SystemClock())
        await scene.join()
        await use_budgets(scene, IDLE_BUDGETS)
        try:
            return time_work(scene.allocator.run_policies, 1)
        finally:
            await scene.session.stop()

    return Slope(us=asyncio.run(run()))


@register_probe("budget held in the allocator", Role.ROUTER, "budget")
def measure_allocator() -> Slope:
    """Measure book, fold and allocator of a budget used once."""

    def build(budgets: int) -> AllocatorHarness:
        async def run() -> AllocatorHarness:
            scene = AllocatorHarness(10, SystemClock())
            await scene.join()
            await use_budgets(scene, budgets)
            await scene.session.stop()
            return scene

        return asyncio.run(run())

    held = measure_memory(lambda: build(IDLE_BUDGETS), 1) - measure_memory(
        lambda: build(1), 1
    )
    return Slope(held=held / IDLE_BUDGETS)
