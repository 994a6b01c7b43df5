"""Simulation of VMs that draw prepaid tokens from a store with faults.

The real accounts, draws and leases run in virtual time. ``consumed`` counts, apart
from all of them, the tokens that backend servers were asked to process.
"""

import asyncio
import random
from collections import Counter
from datetime import UTC, datetime, timedelta
from enum import Enum

import msgspec

from lavendershift.errors import LogUnavailableError, RecordsExpiredError
from lavendershift.leases import LeaseBook, SnapshotResult
from lavendershift.pendingtokens import TokenRequest
from lavendershift.platform.grants import decode_record, encode_value
from lavendershift.platform.leases import EPOCH, decode_snapshot
from lavendershift.platform.storerecords import Record
from lavendershift.prepaid import LARGE_FLEET
from lavendershift.quotalogs import QuotaRecord, SwapResult
from lavendershift.storehistories import History, StoreRestoredError
from lavendershift.tests.virtualloop import VirtualLoop
from lavendershift.tokendraws import TokenDraws
from lavendershift.tokenloans import Lender, TokenLoans
from lavendershift_standins.platformstore import (
    EndMismatchError,
    ExpiredError,
    StoreState,
)

CUSTOMERS = ("plume", "encre", "sable")
PARTITIONS = 2  # number of partitions, of which plume and encre share one
VMS_PER_LEASE_PARTITION = 8  # VMs whose lease snapshots share a partition
MAX_SPENDERS = 16  # VMs that spend the remainder at the end
# Rounds of each VM in the time that passes before tokens are drawn after a restore.
NOTICING_ROUNDS = 5
GRANTS, LEASES = "grants", "leases"
# Time that each clock reading takes, so that deadlines expire during calls.
CLOCK_READ_TIME = timedelta(microseconds=200)


class Fault(Enum):
    """What happens to an append."""

    NONE = "none"
    LATE = "late"  # append without an answer that is executed later, if at all
    LOST = "lost"  # append that is executed, but whose answer is lost
    REFUSED = "refused"
    RACE = "race"  # append after that of another VM


class SimulatedClock:
    """The simulated time as seen by a VM; each reading of it takes some time."""

    def __init__(self, simulation):
        self._simulation = simulation
        self.booted = simulation.now - timedelta(
            seconds=simulation.rng.choice([0, 1, 30])
        )

    def now(self):
        return datetime(2026, 1, 1, tzinfo=UTC) + self._simulation.now

    def elapsed(self):
        self._simulation.now += CLOCK_READ_TIME
        return self._simulation.now

    def since_boot(self):
        return self._simulation.now - self.booted


class StoreConnection:
    """A VM's connection to the store, which may be cut and may lose responses."""

    _refused = "refused"  # outcome of a call that did not reach the store

    def __init__(self, simulation, vm):
        self._simulation = simulation
        self._vm = vm

    def _check(self):
        if self._vm.is_cut or self._simulation.is_unavailable:
            raise LogUnavailableError("unavailable")

    def _append(self, topic, partition, records, end):
        """Return the outcome of an append: done, moved, refused or unknown."""
        simulation = self._simulation
        if self._vm.is_cut or simulation.is_unavailable:
            return self._refused
        fault = simulation.choose_fault(topic)
        if fault is Fault.REFUSED:
            return self._refused
        if fault is Fault.LATE:
            simulation.late_appends.append((topic, partition, records, end))
            return "unknown"
        if fault is Fault.RACE:
            simulation.append_of_another(topic, partition)
        try:
            simulation.state.append(topic, partition, records, end)
        except EndMismatchError:
            return "moved"
        return "unknown" if fault is Fault.LOST else "done"


class FaultyQuotaLog(StoreConnection):
    def __init__(self, simulation, vm, partition):
        super().__init__(simulation, vm)
        self._partition = partition
        self.history = History()

    @property
    def newest_history(self):
        return self._vm.find_history()

    @property
    def is_restored(self):
        """Whether this VM has seen another era since it last read the newest records.

        A VM that reaches the store learns the era from any response.
        """
        return self._vm.find_history() != self.history

    async def read_newest(self):
        self._check()
        state = self._simulation.state
        self.history = self._vm.find_history()
        quota_records = [
            decode_record(Record(at, key, value))
            for key, value, at in state.list_newest(GRANTS, self._partition)
        ]
        return quota_records, state.end(GRANTS, self._partition)

    async def read_records(self, offset):
        self._check()
        await asyncio.sleep(0)
        if self.is_restored:
            raise StoreRestoredError("restored")
        try:
            records = self._simulation.state.read(GRANTS, self._partition, offset)
        except ExpiredError:
            raise RecordsExpiredError(GRANTS, offset) from None
        return [decode_record(Record(0, key, value)) for key, value in records]

    async def swap(self, end, quota_records):
        records = [encode_quota_record(quota_record) for quota_record in quota_records]
        era = self.history.era
        if self.is_restored:
            return SwapResult.MOVED
        await asyncio.sleep(0)
        result = SwapResult(self._append(GRANTS, self._partition, records, end))
        return SwapResult.UNKNOWN if era != self._simulation.state.era else result


class FaultyLeaseLog(StoreConnection):
    era = None
    restored_end = None

    async def read(self):
        self._check()
        self.era, self.restored_end = self._simulation.state.era, None
        state = self._simulation.state
        partition = self._vm.lease_partition
        newest = state.list_newest(LEASES, partition)
        own = [value for key, value, _ in newest if key == self._vm.key]
        era = self.era
        return (decode_snapshot(own[0], era) if own else None), state.end(
            LEASES, partition
        )

    async def write(self, end, snapshot):
        if self.era != self._vm.find_history().era:
            _, self.restored_end = await self.read()
            raise StoreRestoredError("restored")
        if self.restored_end is not None:
            end, self.restored_end = self.restored_end, None
        await asyncio.sleep(0)
        records = [(self._vm.key, encode_snapshot(snapshot, self.era))]
        partition = self._vm.lease_partition
        result = SnapshotResult(self._append(LEASES, partition, records, end))
        if self.era != self._simulation.state.era:
            return SnapshotResult.UNKNOWN, end
        return result, self._simulation.state.end(LEASES, partition)


class FaultyDatagrams:
    """Datagrams of one process, which may be lost, duplicated or late."""

    def __init__(self, simulation, vm):
        self._simulation = simulation
        self._vm = vm
        self.handlers = {}

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, message, peers):
        simulation = self._simulation
        for peer in peers:
            datagram = (message, self._vm.name, peer)
            if simulation.rng.random() < simulation.lost_share:
                continue
            if simulation.rng.random() < simulation.late_share:
                simulation.late_datagrams.append(datagram)
            if simulation.rng.random() < simulation.late_share:
                simulation.late_datagrams.append(datagram)
            else:
                asyncio.get_running_loop().call_soon(simulation.deliver, *datagram)


def encode_quota_record(quota_record: QuotaRecord):
    return quota_record.customer.encode(), encode_value(
        quota_record, quota_record.granted
    )


def encode_snapshot(snapshot, era):
    return msgspec.json.encode(
        {
            "incarnation": snapshot.incarnation,
            "boot": snapshot.boot,
            "at_us": snapshot.since_boot // timedelta(microseconds=1),
            "written_us": (snapshot.written_at - EPOCH) // timedelta(microseconds=1),
            "entries": {c: tuple(e) for c, e in snapshot.entries.items()},
            "opens_us": snapshot.unlock_delay // timedelta(microseconds=1),
            "opening_us": snapshot.unlock_period // timedelta(microseconds=1),
            "era": era,
        }
    )


class Vm:
    """A VM, its process and the requests it runs."""

    def __init__(self, simulation, name, lease_partition):
        self.simulation = simulation
        self.lease_partition = lease_partition
        self.key = name.encode()
        self.name = name
        self.is_cut = False
        self.history = History()
        self.boots = 0
        self.starts = 0
        self.clock = SimulatedClock(simulation)
        self.running = []
        self.start()

    def start(self):
        self.starts += 1
        self.waiting = {}
        name = f"{self.name}/{self.starts}"
        lease_book = LeaseBook(
            self.clock,
            FaultyLeaseLog(self.simulation, self),
            name,
            f"boot-{self.boots}",
        )
        self.draws = TokenDraws(
            self.clock,
            [
                FaultyQuotaLog(self.simulation, self, partition)
                for partition in range(PARTITIONS)
            ],
            name,
            lambda: self.simulation.prepaid,
            lambda: self.simulation.fleet,
            lease_book=lease_book,
            on_draw=self.tell,
        )
        self.datagrams = FaultyDatagrams(self.simulation, self)
        self.loans = TokenLoans(
            name,
            self.draws,
            self.datagrams,
            self.find_lenders,
            reply_timeout=timedelta(milliseconds=1),
        )
        lenders = {c: f"vm-{n}" for n, c in enumerate(CUSTOMERS)}
        self.draws.use_loans(
            self.loans.borrow, lambda customer: lenders[customer] == self.name
        )

    @property
    def is_witness(self):
        """Whether the process has read all quota records since the last restore."""
        return self.has_witnessed and not any(
            records.has_lost_grants for records in self.draws._records
        )

    @property
    def has_witnessed(self):
        """Whether the process has read all quota records."""
        return all(records.read_at is not None for records in self.draws._records)

    def tell(self, customer, tokens, granted):
        """Tell the other VMs of a draw, as a process does by datagrams."""
        if tokens > 0:
            era = self.draws.grants.find_era(customer)
            for vm in self.simulation.vms:
                if vm is not self:
                    vm.draws.grants.note_told(customer, granted, era)

    def find_history(self):
        """Return the newest history of the store that this VM has seen."""
        if not (self.is_cut or self.simulation.is_unavailable):
            self.history = History(0, self.simulation.state.era)
        return self.history

    def find_lenders(self, customer):
        names = [vm.name for vm in self.simulation.vms if vm is not self]
        rng = self.simulation.rng
        stocks = [None, None, 0, 300, 3000]
        return [
            Lender(name, rng.choice(stocks))
            for name in rng.sample(names, min(3, len(names)))
        ]

    def end_process(self, loses_power):
        """End the process; tokens its requests may still use count as consumed."""
        for customer, tokens, counted in self.running:
            self.simulation.consumed[customer] += tokens - counted
        self.running.clear()
        for task in [*self.loans._tasks, *self.draws._rebalancing.values()]:
            task.cancel()  # the tasks end with the process
        if loses_power:
            before = self.clock.since_boot()
            self.clock = SimulatedClock(self.simulation)
            if self.simulation.seed % 2:
                self.boots += 1
            else:
                # A boot id may outlive a power loss; the time since boot does not.
                back = timedelta(seconds=self.simulation.rng.uniform(0, 4))
                self.clock.booted = self.simulation.now - before + back
        self.start()

    def wait_for(self, customer, tokens, is_urgent=True):
        """Replace a customer's waiting requests by one for ``tokens``, none for 0."""
        if customer in self.waiting:
            self.draws.pending.remove(self.waiting.pop(customer))
        if tokens:
            request = self.waiting[customer] = TokenRequest(customer, tokens, is_urgent)
            self.draws.pending.add(request)

    async def run_round(self):
        try:
            await self.draws.run_round()
        except LogUnavailableError:
            return

    def start_request(self, customer, tokens):
        account = self.draws.find_account(customer)
        account.note_demand(tokens, self.simulation.now)
        if account.reserve(tokens, self.clock.since_boot()):
            self.running.append((customer, tokens, 0))
            return True
        return False

    def finish_request(self, rng, used=None):
        if not self.running:
            return
        customer, tokens, _ = self.running.pop(rng.randrange(len(self.running)))
        used = rng.randint(0, tokens) if used is None else min(used, tokens)
        self.simulation.consumed[customer] += used
        self.draws.find_account(customer).settle(tokens, used)


class PrepaidSimulation:
    """Some VMs and a store, driven by random steps."""

    def __init__(self, seed, vms=4, customers=CUSTOMERS, is_restored=False):
        self.is_restored = is_restored
        self.seed = seed
        self.rng = random.Random(seed)
        self.now = timedelta(seconds=1)
        self.state = StoreState()
        self.late_appends = []
        self.late_datagrams = []
        self.borrowed = 0
        self.late_share = self.lost_share = (0.05, 0.15, 0.3)[seed // 3 % 3]
        self.refused_share = self.race_share = 0.05
        self.faults = {GRANTS: [], LEASES: []}  # faults of the next appends
        self.is_unavailable = False
        self.copies = []  # copies of the store, of which the next restore takes one
        self.restores = 0
        self.customers = customers
        self.prepaid = {customer: 15_000 * max(vms, 4) for customer in customers}
        self.consumed = Counter()
        self.granted = Counter()  # of the records read so far in each partition
        self.records_read = Counter()
        self.served = 0
        # Half of the simulations report a large fleet, so that lenders draw.
        self.fleet = max(LARGE_FLEET, vms) if seed % 2 else vms
        self.vms = []
        for number in range(vms):
            partition = number // VMS_PER_LEASE_PARTITION
            self.vms.append(Vm(self, f"vm-{number}", partition))

    def run(self, steps):
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            runner.run(self._run(steps))

    async def _run(self, steps):
        restores = [self.step_copy] * 4 + [self.step_restore_store] * 2
        actions = [self.step_round] * 30 + [self.step_request] * 60
        actions += [self.step_finish] * 40 + [self.step_time] * 30
        actions += [self.step_late_append] * 6 + [self.step_kill] * 4
        actions += [self.step_cut] * 2 + [self.step_restore] * 4 + [self.step_outage]
        actions += [self.step_top_up, self.step_expire, self.step_return]
        actions += [self.step_rounds] * 10 + [self.step_spend_and_kill] * 4
        actions += [self.step_borrow] * 8 + [self.step_late_datagram] * 8
        actions += [self.step_busy_round] * 10 + [self.step_lost_races] * 3
        actions += [self.step_return_and_kill] * 6 + [self.step_kill_in_round] * 6
        actions += restores * self.is_restored
        actions += [self.step_idle] * 3 + [self.step_power] * (self.seed % 3 == 0)
        for _ in range(steps):
            vm = self.rng.choice(self.vms)
            result = self.rng.choice(actions)(vm)
            if result is not None:
                await result
            self.check()
        await self.exhaust()

    async def exhaust(self):
        """Spend all tokens, so that duplicated ones exceed the total."""
        self.late_share = self.lost_share = 0.0
        self.refused_share = self.race_share = 0.0
        self.faults = {GRANTS: [], LEASES: []}
        while self.late_datagrams:
            self.deliver(*self.late_datagrams.pop())
        self.step_restore(self.vms[0])
        self.now += timedelta(seconds=5)
        spenders = self.rng.sample(self.vms, min(len(self.vms), MAX_SPENDERS))
        for _ in range(3):
            for vm in spenders:
                for customer in self.customers:
                    await self.exhaust_account(vm, customer)

    async def exhaust_account(self, vm, customer):
        tokens = 8000
        while tokens >= 1:
            vm.wait_for(customer, tokens)
            await vm.run_round()
            if not vm.start_request(customer, tokens):
                tokens //= 4
            vm.finish_request(self.rng, used=10**9)
            vm.wait_for(customer, 0)
            self.check()

    def check(self):
        for customer, prepaid in self.prepaid.items():
            running = sum(
                tokens
                for vm in self.vms
                for c, tokens, _ in vm.running
                if c == customer
            )
            assert self.consumed[customer] + running <= prepaid, customer
            if self.is_restored:
                continue  # late appends lower records, until VMs write them again
            # Lost tokens can hide duplicates from the total, but not from the grants.
            free = [vm.draws.find_account(customer).free for vm in self.vms]
            assert min(free) >= 0, customer
            held = self.consumed[customer] + running + sum(free)
            assert held <= self.find_granted(customer), customer

    def choose_fault(self, topic):
        if self.faults[topic]:
            return self.faults[topic].pop(0)
        kind = self.rng.random()
        if kind < self.late_share:
            return Fault.LATE
        if kind < self.late_share + self.lost_share:
            return Fault.LOST
        kind -= self.late_share + self.lost_share
        if kind < self.refused_share:
            return Fault.REFUSED
        if kind < self.refused_share + self.race_share:
            return Fault.RACE
        return Fault.NONE

    def append_of_another(self, topic, partition):
        """Append a record of a VM or a customer that is not part of the simulation."""
        value = b'{"granted": 0, "change": "other/1"}' if topic == GRANTS else b""
        self.state.append(topic, partition, [(b"other", value)])

    def deliver(self, message, sender, receiver):
        """Deliver a datagram to the process that now has the receiver's address."""
        vm = next(vm for vm in self.vms if vm.name == receiver)
        if not vm.is_cut:
            vm.datagrams.handlers[type(message)](message, sender)

    async def step_borrow(self, vm):
        customer, least = self.rng.choice(self.customers), self.rng.randint(1, 3000)
        request = TokenRequest(customer, least, self.rng.random() < 0.3)
        self.borrowed += await vm.loans.borrow(request, least * 2)

    def step_late_datagram(self, vm):
        if self.late_datagrams:
            index = self.rng.randrange(len(self.late_datagrams))
            self.deliver(*self.late_datagrams.pop(index))

    def step_round(self, vm):
        return vm.run_round()

    async def step_busy_round(self, vm):
        """Start requests while a round waits for responses."""

        async def spend():
            for _ in range(self.rng.randint(1, 12)):
                await asyncio.sleep(self.rng.choice([0, 0, 0.0005]))
                self.step_request(vm)

        self.now += timedelta(seconds=self.rng.choice([0, 0, 4, 9]))
        if self.rng.random() < 0.3:
            vm.draws.return_all()
        await asyncio.gather(vm.run_round(), spend())
        vm.draws.resume_holding()

    async def step_rounds(self, vm):
        """Let all VMs change the quota records concurrently."""
        await asyncio.gather(*(each.run_round() for each in self.vms))

    async def step_spend_and_kill(self, vm):
        """Spend far above the demand measured at a snapshot, then end the process."""
        self.now += timedelta(seconds=self.rng.choice([0, 8, 30]))
        await vm.run_round()
        if self.rng.random() < 0.3:
            await self.step_return(vm)
        for _ in range(self.rng.randint(0, 30)):
            self.step_request(vm)
            if self.rng.random() < 0.2:
                await vm.run_round()
            if self.rng.random() < 0.5:
                vm.finish_request(self.rng, used=10**9)
        self.now += timedelta(milliseconds=self.rng.choice([1, 500, 2000]))
        vm.end_process(loses_power=self.seed % 3 == 0 and self.rng.random() < 0.3)
        await vm.run_round()

    def find_granted(self, customer):
        """Return the granted tokens in a customer's newest quota record."""
        for partition in range(PARTITIONS):
            records = self.state.logs.get((GRANTS, partition), [])
            for key, value in records[self.records_read[partition] :]:
                self.granted[key.decode()] = msgspec.json.decode(value)["granted"]
            self.records_read[partition] = len(records)
        return self.granted[customer]

    def step_request(self, vm):
        customer, tokens = self.rng.choice(self.customers), self.rng.randint(1, 1200)
        if vm.start_request(customer, tokens):
            self.served += 1
        else:
            vm.wait_for(customer, tokens, self.rng.random() < 0.3)

    def step_finish(self, vm):
        vm.finish_request(self.rng)

    def step_time(self, vm):
        self.now += timedelta(milliseconds=self.rng.choice([1, 10, 100, 700]))

    def step_late_append(self, vm):
        if self.late_appends:
            append = self.late_appends.pop(self.rng.randrange(len(self.late_appends)))
            topic, partition, records, end = append
            if self.state.end(topic, partition) == end:
                self.state.append(topic, partition, records)

    def step_kill(self, vm):
        vm.end_process(loses_power=False)

    async def step_lost_races(self, vm):
        """Let a VM lose races for its lease snapshots, and end its process after it."""
        await vm.run_round()
        self.faults[LEASES] = [Fault.RACE] * self.rng.choice([5, 10, 15, 40])
        await self.step_return_and_kill(vm)

    async def step_return_and_kill(self, vm):
        """Return all tokens, then end the process."""
        if self.rng.random() < 0.5:
            # Snapshots of waiting requests, and of tokens that are held ahead.
            self.now += timedelta(seconds=self.rng.choice([0, 3]))
            self.step_request(vm)
            await vm.run_round()
        await self.step_return(vm)
        vm.end_process(loses_power=False)
        self.faults[LEASES].clear()
        await vm.run_round()

    async def step_kill_in_round(self, vm):
        """End the process while a round waits for responses."""
        if self.rng.random() < 0.5:
            vm.draws.return_all()
        task = asyncio.ensure_future(vm.run_round())
        for _ in range(self.rng.randint(0, 25)):
            await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait({task})
        vm.end_process(loses_power=False)

    def step_power(self, vm):
        for each in self.vms if self.rng.random() < 0.3 else [vm]:
            each.end_process(loses_power=True)

    def step_cut(self, vm):
        vm.is_cut = True

    def step_restore(self, vm):
        self.is_unavailable = False
        for each in self.vms:
            each.is_cut = False

    def step_copy(self, vm):
        self.copies = [*self.copies, self.state.copy()][-4:]

    async def step_restore_store(self, vm):
        """Restore one of the last copies; VMs in service notice it in time.

        One of them must have read the records before, as no process knows what the
        copy lacks if all have ended since (see docs/design/store-restores.md).
        """
        if not self.copies or not any(each.is_witness for each in self.vms):
            return
        self.step_restore(vm)
        self.state.restore(self.rng.choice(self.copies))
        self.restores += 1
        others = [each for each in self.vms if each is not vm]
        if self.rng.random() < 0.3 and any(o.has_witnessed for o in others):
            # Another process starts, and doesn't know what the copy lacks.
            vm.end_process(loses_power=self.rng.random() < 0.5)
        for _ in range(NOTICING_ROUNDS):
            await self.step_rounds(vm)
            self.check()

    def step_outage(self, vm):
        self.is_unavailable = True

    def step_top_up(self, vm):
        customer = self.rng.choice(self.customers)
        self.prepaid = self.prepaid | {customer: self.prepaid[customer] + 5000}

    def step_idle(self, vm):
        self.now += timedelta(seconds=8)

    def step_expire(self, vm):
        self.state.expire(GRANTS, self.rng.randrange(PARTITIONS))

    async def step_return(self, vm):
        vm.draws.return_all()
        await vm.run_round()
        vm.draws.resume_holding()
