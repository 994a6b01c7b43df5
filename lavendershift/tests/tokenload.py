"""Load of one customer on one VM of a fleet, in virtual time.

The real draws, waits and loans run against a store whose calls take time and are
counted. The other VMs get no request of the customer, as on the days whose traces
``docs/design/hard-load.md`` reports.
"""

import asyncio
import random
from collections import Counter
from datetime import timedelta

from lavendershift.errors import LogUnavailableError
from lavendershift.pendingtokens import TokenRequest
from lavendershift.prepaid import LARGE_FLEET
from lavendershift.quotalogs import SwapResult
from lavendershift.storehistories import History
from lavendershift.tests.virtualloop import VirtualLoop
from lavendershift.tokendraws import TokenDraws
from lavendershift.tokenloans import Lender, TokenLoans
from lavendershift.tokenwaits import WaitResult

CALL_S = 0.004  # duration of a call to the store
OUTAGE_CALL_S = 0.1  # time until a call fails during an outage
DATAGRAM_S = 0.001
STREAM_S = 2.0  # duration of a stream
USED_FRACTION = 0.6  # of the reserved tokens
TARGET = timedelta(milliseconds=419)


class LoopClock:
    """The event loop's time."""

    def __init__(self, loop):
        self._loop = loop

    def elapsed(self):
        return self._loop.elapsed()

    def since_boot(self):
        return self._loop.elapsed()


class VmQuotaLog:
    """A VM's view of the shared quota records; its calls take ``call_s``."""

    history = newest_history = History()
    is_restored = False

    def __init__(self, fleet, call_s):
        self._fleet = fleet
        self._call_s = call_s

    async def _call(self):
        self._fleet.calls += 1
        await asyncio.sleep(OUTAGE_CALL_S if self._fleet.is_cut else self._call_s)
        if self._fleet.is_cut:
            raise LogUnavailableError("unavailable")

    async def read_newest(self):
        await self._call()
        records = self._fleet.records
        return list({r.customer: r for r in records}.values()), len(records)

    async def read_records(self, offset):
        await self._call()
        return self._fleet.records[offset:]

    async def swap(self, end, records):
        await self._call()
        if end != len(self._fleet.records):
            self._fleet.lost_races += 1
            return SwapResult.MOVED
        self._fleet.records += records
        return SwapResult.DONE


class VmDatagrams:
    def __init__(self, fleet, number):
        self._fleet = fleet
        self._number = number
        self.handlers = {}

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, message, peers):
        for peer in peers:
            self._fleet.datagrams[type(message).__name__] += 1
            if peer in self._fleet.unreachable:
                continue
            handler = self._fleet.vms[peer].datagrams.handlers[type(message)]
            asyncio.get_running_loop().call_later(
                DATAGRAM_S, handler, message, self._number
            )


class LoadedVm:
    def __init__(self, fleet, number, call_s):
        self._fleet = fleet
        self.number = number
        self.datagrams = VmDatagrams(fleet, number)
        self.draws = TokenDraws(
            LoopClock(fleet.loop),
            [VmQuotaLog(fleet, call_s)],
            f"vm-{number}/1",
            lambda: {"plume": fleet.total},
            lambda: len(fleet.vms),
            self._find_others_rate,
            find_rank=lambda customer: number,
        )
        loans = TokenLoans(
            f"vm-{number}/1", self.draws, self.datagrams, self._find_lenders
        )
        self.draws.use_loans(
            loans.borrow, lambda customer: number == 1, loans.find_failure
        )
        self.account = self.draws.find_account("plume")

    def _find_others_rate(self, customer):
        now = self._fleet.loop.elapsed()
        vms = self._fleet.vms
        return sum(vm.account.find_rate(now) for vm in vms if vm is not self)

    def _find_lenders(self, customer):
        others = [vm for vm in self._fleet.vms if vm is not self]
        if len(self._fleet.vms) < LARGE_FLEET:
            others.sort(key=lambda vm: -vm.account.free)
        else:
            others.sort(key=lambda vm: vm.number != 1)  # the one that draws for all
        return [
            Lender(
                vm.number,
                None if vm.draws.is_store_reachable else vm.account.free,
            )
            for vm in others
        ]


class LoadedFleet:
    """VMs of which the first has all demand of a customer with ``total`` tokens."""

    def __init__(self, loop, vms=8, total=6_000_000, busy_call_s=CALL_S):
        self.loop = loop
        self.total = total
        self.records = []
        self.calls = self.lost_races = self.spent = 0
        self.datagrams = Counter()
        self.is_cut = False
        self.unreachable = set()
        self.results = Counter()
        self.vms = []
        for number in range(vms):
            self.vms.append(LoadedVm(self, number, CALL_S if number else busy_call_s))
        self._tasks = []

    def start(self):
        for vm in self.vms:
            vm.draws.mark_totals_known()
            self._tasks.append(asyncio.ensure_future(vm.draws.run()))

    async def stop(self):
        await asyncio.gather(*self._tasks[len(self.vms) :])
        for task in self._tasks[: len(self.vms)]:
            task.cancel()
        granted = self.records[-1].granted
        held = sum(vm.account.free + vm.account.reserved for vm in self.vms)
        assert self.spent + held <= granted <= self.total

    async def send(self, seconds, rate=100, sizes=(400, 3000), seed=1):
        """Send ``rate`` requests/s to the first VM; callers repeat none."""
        rng = random.Random(seed)
        for _ in range(int(seconds * rate)):
            self._tasks.append(asyncio.ensure_future(self._ask(rng.randint(*sizes))))
            await asyncio.sleep(rng.expovariate(rate))

    async def _ask(self, tokens):
        draws, account = self.vms[0].draws, self.vms[0].account
        account.note_demand(tokens, self.loop.elapsed())
        result = await draws.wait_for(
            TokenRequest("plume", tokens), TARGET / 8, TARGET / 2
        )
        self.results[result] += 1
        if result is WaitResult.GRANTED:
            await asyncio.sleep(STREAM_S)
            used = int(tokens * USED_FRACTION)
            account.settle(tokens, used)
            self.spent += used

    @property
    def refused(self):
        return sum(self.results.values()) - self.results[WaitResult.GRANTED]

    @property
    def held_by_others(self):
        return sum(vm.account.free for vm in self.vms[1:])


def run_load(work, **options):
    """Run ``work`` with a fleet; return the fleet and the result."""

    async def run():
        fleet = LoadedFleet(asyncio.get_running_loop(), **options)
        fleet.start()
        result = await work(fleet)
        await fleet.stop()
        return fleet, result

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(run())
