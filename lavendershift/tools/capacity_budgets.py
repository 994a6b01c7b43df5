"""Capacity probes of the budget allocator.

They measure the decision of how many tokens of a budget a router holds, and the
memory of a budget.
"""

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
HOLDERS = 10  # routers that hold tokens of the same budget
IDLE_BUDGETS = 1_000
HOLD_AHEAD = timedelta(minutes=10)


async def refuse_loan(peer: str, request: BorrowRequest) -> LoanGrant | None:
    """Refuse all loan requests."""
    return None


def ignore_eviction() -> None:
    """Ignore the eviction of the incarnation."""


async def skip_config_wait(offset: int) -> None:
    """Return at once: the probes apply no configuration records."""


class AllocatorHarness:
    """An allocator and its ledger session in a fleet of ``routers``.

    The other routers exist only as records of the ledger and as heartbeats.
    """

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
            skip_config_wait,
            lambda: 0,
            ignore_eviction,
        )
        self._heartbeats = {f"r{n}": make_heartbeat(n, 0) for n in range(1, routers)}
        self.allocator = BudgetAllocator(
            self.session, "adaptive", clock, self._list_peers, refuse_loan
        )
        self._apply_peer_records(routers)

    @property
    def name(self) -> str:
        """Incarnation id of the session."""
        return self.session.participant.incarnation

    def _list_peers(self) -> Mapping[str, Heartbeat]:
        return dict(self._heartbeats)

    def _apply_peer_records(self, routers: int) -> None:
        script = RecordScript()
        for number in range(1, routers):
            name = script.join(number)
            if number <= HOLDERS:
                script.grant(name, "busy")
        for record in script.records:
            self.apply(record)

    def apply(self, record: Record) -> None:
        """Apply a record to the session's ledger."""
        ledger = self.session.ledger
        ledger.apply(Entry(ledger.next_offset, ledger.next_offset, record))

    async def join(self) -> None:
        """Start the session and wait until it has joined the ledger.

        The log gets placeholders for the records that the ledger has applied, so
        that the offsets of both agree.
        """
        ledger = self.session.ledger
        stream = self.session._log.find_stream(STREAM)  # type: ignore[attr-defined]
        stream.entries = [(n, n, None) for n in range(ledger.next_offset)]
        await self.session.start()
        while not self.session.joined:
            await asyncio.sleep(0.01)

    async def reserve_and_settle(self, budget: str) -> None:
        """Reserve tokens of ``budget`` and settle the charge, as a request does."""
        request = ReservationRequest(budget, 500, "c/k", f"a-{budget}", HOLD_AHEAD, 0.1)
        deadline = self.clock.elapsed() + timedelta(seconds=10)
        held = (await self.allocator.acquire(request, deadline)).unwrap()
        charge = held.participant.book.settle(held.reservation, 275)
        held.participant.writer.submit_record(charge)
        self.allocator.record_usage(budget, 275)


def run_with_harness(routers: int, work: Callable[[AllocatorHarness], float]) -> float:
    """Return what ``work`` measures with a joined session that uses one budget."""

    async def run() -> float:
        harness = AllocatorHarness(routers, SystemClock())
        await harness.join()
        try:
            await harness.reserve_and_settle("busy")
            return work(harness)
        finally:
            await harness.session.stop()

    return asyncio.run(run())


def _register_decision(routers: int) -> None:
    @register_probe(f"holding decision, {routers} routers", Role.ROUTER, "decision")
    def measure() -> Slope:
        def decide(harness: AllocatorHarness) -> float:
            return time_work(lambda: harness.allocator.make_view("busy"), 1)

        return Slope(us=run_with_harness(routers, decide))


for _routers in ROUTERS:
    _register_decision(_routers)


async def use_budgets(harness: AllocatorHarness, budgets: int) -> None:
    """Reserve and settle once from each of many budgets, 100 at a time."""
    for start in range(0, budgets, 100):
        numbers = range(start, min(start + 100, budgets))
        await asyncio.gather(
            *(harness.reserve_and_settle(f"budget-{n:05d}") for n in numbers)
        )


@register_probe("policies of 1,000 budgets used, 330 routers", Role.ROUTER, "second")
def measure_policies() -> Slope:
    """Measure one run of the holding policies on recently used budgets."""

    async def run() -> float:
        harness = AllocatorHarness(330, SystemClock())
        await harness.join()
        await use_budgets(harness, IDLE_BUDGETS)
        try:
            return time_work(harness.allocator.run_policies, 1)
        finally:
            await harness.session.stop()

    return Slope(us=asyncio.run(run()))


@register_probe("budget held in the allocator", Role.ROUTER, "budget")
def measure_allocator() -> Slope:
    """Measure the memory of a budget used once.

    It includes the allowance book, the ledger and the allocator.
    """

    def build(budgets: int) -> AllocatorHarness:
        async def run() -> AllocatorHarness:
            harness = AllocatorHarness(10, SystemClock())
            await harness.join()
            await use_budgets(harness, budgets)
            await harness.session.stop()
            return harness

        return asyncio.run(run())

    held = measure_memory(lambda: build(IDLE_BUDGETS), 1) - measure_memory(
        lambda: build(1), 1
    )
    return Slope(held=held / IDLE_BUDGETS)
