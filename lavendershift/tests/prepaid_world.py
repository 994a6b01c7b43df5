"""VMs that draw prepaid tokens over a store with faults, and what was consumed.

The real accounts, draws and passbooks run in virtual time. ``consumed`` counts
what backend servers were asked to do, apart from all of them.
"""

import asyncio
import random
from collections import Counter
from datetime import UTC, datetime, timedelta

import msgspec

from lavendershift.draws import TokenDraws
from lavendershift.errors import LogUnavailableError, RecordsExpiredError
from lavendershift.grantrows import QuotaRecord, SwapResult
from lavendershift.needs import TokenRequest
from lavendershift.partitions import find_partition
from lavendershift.passbook import LeaseBook, SnapshotResult
from lavendershift.platform.grants import decode_record
from lavendershift.platform.passbooks import EPOCH, decode_snapshot
from lavendershift.platform.store import Record
from lavendershift.prepaid import LARGE_FLEET
from lavendershift.tokenloans import Lender, TokenLoans
from lavendershift_standins.platformstore import ExpiredError, MovedError, StoreState

CUSTOMERS = ("plume", "encre", "sable")
PARTITIONS = 2  # plume and encre share one
GRANTS, PAGES = "grants", "pages"
LOOK_TIME = timedelta(microseconds=200)  # so that deadlines pass while a call waits


class WorldClock:
    """The world's time as a VM sees it since its boot; each look takes some."""

    def __init__(self, world):
        self._world = world
        self.booted = world.now - timedelta(seconds=world.rng.choice([0, 1, 30]))

    def now(self):
        return datetime(2026, 1, 1, tzinfo=UTC) + self._world.now

    def elapsed(self):
        self._world.now += LOOK_TIME
        return self._world.now

    def since_boot(self):
        return self._world.now - self.booted


class Link:
    """One incarnation's way to the store: it may be cut, and lose answers."""

    _refused = "refused"  # what a call is told that was not made

    def __init__(self, world, vm):
        self._world = world
        self._vm = vm

    def _check(self):
        if self._vm.is_cut or self._world.is_away:
            raise LogUnavailableError("away")

    def _append(self, topic, part, records, end):
        """Return whether the append was done, refused, or is in doubt."""
        world = self._world
        if self._vm.is_cut or world.is_away:
            return self._refused
        kind = world.rng.random()
        if kind < world.late_share:
            world.late.append((topic, part, records, end))
            return "unknown"
        try:
            world.state.append(topic, part, records, end)
        except MovedError:
            return "moved"
        return "unknown" if kind < world.late_share + world.lost_share else "done"


class FaultyGrants(Link):
    def __init__(self, world, vm, part):
        super().__init__(world, vm)
        self._part = part

    async def read_newest(self):
        self._check()
        state = self._world.state
        rows = [
            decode_record(Record(at, key, value))
            for key, value, at in state.newest(GRANTS, self._part)
        ]
        return rows, state.end(GRANTS, self._part)

    async def read_records(self, offset):
        self._check()
        await asyncio.sleep(0)
        try:
            records = self._world.state.read(GRANTS, self._part, offset)
        except ExpiredError:
            raise RecordsExpiredError(GRANTS, offset) from None
        return [decode_record(Record(0, key, value)) for key, value in records]

    async def swap(self, end, rows):
        records = [encode_row(row) for row in rows]
        await asyncio.sleep(0)
        return SwapResult(self._append(GRANTS, self._part, records, end))


class FaultyPages(Link):
    async def read(self):
        self._check()
        state = self._world.state
        own = [v for k, v, _ in state.newest(PAGES, 0) if k == self._vm.key]
        return (decode_snapshot(own[0]) if own else None), state.end(PAGES, 0)

    async def write(self, end, snapshot):
        await asyncio.sleep(0)
        records = [(self._vm.key, encode_page(snapshot))]
        result = SnapshotResult(self._append(PAGES, 0, records, end))
        return result, self._world.state.end(PAGES, 0)


class FaultyDatagrams:
    """Datagrams of one process that get lost, doubled and late."""

    def __init__(self, world, vm):
        self._world = world
        self._vm = vm
        self.handlers = {}

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, message, peers):
        world = self._world
        for peer in peers:
            datagram = (message, self._vm.name, peer)
            if world.rng.random() < world.lost_share:
                continue
            if world.rng.random() < world.late_share:
                world.late_datagrams.append(datagram)
            if world.rng.random() < world.late_share:
                world.late_datagrams.append(datagram)
            else:
                asyncio.get_running_loop().call_soon(world.deliver, *datagram)


def encode_row(row: QuotaRecord):
    value = {"granted": row.granted, "change": row.change_id}
    return row.customer.encode(), msgspec.json.encode(value)


def encode_page(snapshot):
    return msgspec.json.encode(
        {
            "incarnation": snapshot.incarnation,
            "boot": snapshot.boot,
            "at_us": snapshot.since_boot // timedelta(microseconds=1),
            "written_us": (snapshot.written_at - EPOCH) // timedelta(microseconds=1),
            "entries": {c: tuple(e) for c, e in snapshot.entries.items()},
            "opens_us": snapshot.unlock_delay // timedelta(microseconds=1),
            "opening_us": snapshot.unlock_period // timedelta(microseconds=1),
        }
    )


class Vm:
    """A VM, its process and the requests that run on it."""

    def __init__(self, world, name):
        self.world = world
        self.key = name.encode()
        self.name = name
        self.is_cut = False
        self.boots = 0
        self.starts = 0
        self.clock = WorldClock(world)
        self.running = []
        self.start()

    def start(self):
        self.starts += 1
        self.waiting = {}
        name = f"{self.name}/{self.starts}"
        lease_book = LeaseBook(
            self.clock, FaultyPages(self.world, self), name, f"boot-{self.boots}"
        )
        self.draws = TokenDraws(
            self.clock,
            [FaultyGrants(self.world, self, part) for part in range(PARTITIONS)],
            name,
            lambda: self.world.prepaid,
            lambda: self.world.fleet,
            lease_book=lease_book,
        )
        self.datagrams = FaultyDatagrams(self.world, self)
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

    def find_lenders(self, customer):
        names = [vm.name for vm in self.world.vms if vm is not self]
        rng = self.world.rng
        stocks = [None, None, 0, 300, 3000]
        return [Lender(name, rng.choice(stocks)) for name in rng.sample(names, 3)]

    def die(self, with_power):
        """End the process; what its requests may use counts as consumed."""
        for customer, tokens, counted in self.running:
            self.world.consumed[customer] += tokens - counted
        self.running.clear()
        for task in [*self.loans._tasks, *self.draws._rebalancing.values()]:
            task.cancel()  # a dead process goes on with nothing
        if with_power:
            before = self.clock.since_boot()
            self.clock = WorldClock(self.world)
            if self.world.seed % 2:
                self.boots += 1
            else:
                # A boot id may outlive a loss of power, the time since does not.
                back = timedelta(seconds=self.world.rng.uniform(0, 4))
                self.clock.booted = self.world.now - before + back
        self.start()

    def wait_for(self, customer, tokens, is_urgent=True):
        """Let requests wait for ``tokens``, in place of those before."""
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

    def begin(self, customer, tokens):
        account = self.draws.find_account(customer)
        account.note_demand(tokens, self.world.now)
        if account.reserve(tokens, self.clock.since_boot()):
            self.running.append((customer, tokens, 0))
            return True
        return False

    def finish(self, rng, used=None):
        if not self.running:
            return
        customer, tokens, _ = self.running.pop(rng.randrange(len(self.running)))
        used = rng.randint(0, tokens) if used is None else min(used, tokens)
        self.world.consumed[customer] += used
        self.draws.find_account(customer).settle(tokens, used)


class PrepaidWorld:
    """Some VMs, the store, and random steps."""

    def __init__(self, seed, vms=4):
        self.seed = seed
        self.rng = random.Random(seed)
        self.now = timedelta(seconds=1)
        self.state = StoreState()
        self.late = []
        self.late_datagrams = []
        self.borrowed = 0
        self.late_share = self.lost_share = (0.05, 0.15, 0.3)[seed // 3 % 3]
        self.is_away = False
        self.prepaid = {customer: 60_000 for customer in CUSTOMERS}
        self.consumed = Counter()
        self.served = 0
        # Half of the worlds believe themselves large, so that lenders draw.
        self.fleet = LARGE_FLEET if seed % 2 else vms
        self.vms = []
        for number in range(vms):
            self.vms.append(Vm(self, f"vm-{number}"))

    def run(self, steps):
        asyncio.run(self._run(steps))

    async def _run(self, steps):
        actions = [self.step_round] * 30 + [self.step_request] * 60
        actions += [self.step_finish] * 40 + [self.step_time] * 30
        actions += [self.step_late] * 6 + [self.step_kill] * 4
        actions += [self.step_cut] * 2 + [self.step_heal] * 4 + [self.step_away]
        actions += [self.step_raise, self.step_expire, self.step_return]
        actions += [self.step_rounds] * 10 + [self.step_spree] * 4
        actions += [self.step_borrow] * 8 + [self.step_datagram] * 8
        actions += [self.step_busy_round] * 10
        actions += [self.step_idle] * 3 + [self.step_power] * (self.seed % 3 == 0)
        for _ in range(steps):
            vm = self.rng.choice(self.vms)
            result = self.rng.choice(actions)(vm)
            if result is not None:
                await result
            self.check()
        await self.exhaust()

    async def exhaust(self):
        """Spend all there is, so that a token that exists twice shows."""
        self.late_share = self.lost_share = 0.0
        while self.late_datagrams:
            self.deliver(*self.late_datagrams.pop())
        self.step_heal(self.vms[0])
        self.now += timedelta(seconds=5)
        for _ in range(3):
            for vm in self.vms:
                for customer in CUSTOMERS:
                    await self.exhaust_account(vm, customer)

    async def exhaust_account(self, vm, customer):
        tokens = 8000
        while tokens >= 1:
            vm.wait_for(customer, tokens)
            await vm.run_round()
            if not vm.begin(customer, tokens):
                tokens //= 4
            vm.finish(self.rng, used=10**9)
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
            # Losses hide tokens that exist twice from the total, not from here.
            free = [vm.draws.find_account(customer).free for vm in self.vms]
            assert min(free) >= 0, customer
            held = self.consumed[customer] + running + sum(free)
            assert held <= self.find_granted(customer), customer

    def deliver(self, message, sender, receiver):
        """Hand a datagram to the process that has the receiver's address now."""
        vm = next(vm for vm in self.vms if vm.name == receiver)
        if not vm.is_cut:
            vm.datagrams.handlers[type(message)](message, sender)

    async def step_borrow(self, vm):
        customer, least = self.rng.choice(CUSTOMERS), self.rng.randint(1, 3000)
        request = TokenRequest(customer, least, self.rng.random() < 0.3)
        self.borrowed += await vm.loans.borrow(request, least * 2)

    def step_datagram(self, vm):
        if self.late_datagrams:
            place = self.rng.randrange(len(self.late_datagrams))
            self.deliver(*self.late_datagrams.pop(place))

    def step_round(self, vm):
        return vm.run_round()

    async def step_busy_round(self, vm):
        """Let requests come in while a round waits for its answers."""

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
        """Let all VMs change the rows at once."""
        await asyncio.gather(*(each.run_round() for each in self.vms))

    async def step_spree(self, vm):
        """Spend far above the measured demand after a page, and be killed."""
        self.now += timedelta(seconds=self.rng.choice([0, 8, 30]))
        await vm.run_round()
        if self.rng.random() < 0.3:
            await self.step_return(vm)
        for _ in range(self.rng.randint(0, 30)):
            self.step_request(vm)
            if self.rng.random() < 0.2:
                await vm.run_round()
            if self.rng.random() < 0.5:
                vm.finish(self.rng, used=10**9)
        self.now += timedelta(milliseconds=self.rng.choice([1, 500, 2000]))
        vm.die(with_power=self.seed % 3 == 0 and self.rng.random() < 0.3)
        await vm.run_round()

    def find_granted(self, customer):
        """Return the newest row of a customer."""
        part = find_partition(customer, PARTITIONS)
        for key, value, _ in self.state.newest(GRANTS, part):
            if key == customer.encode():
                return msgspec.json.decode(value)["granted"]
        return 0

    def step_request(self, vm):
        customer, tokens = self.rng.choice(CUSTOMERS), self.rng.randint(1, 1200)
        if vm.begin(customer, tokens):
            self.served += 1
        else:
            vm.wait_for(customer, tokens, self.rng.random() < 0.3)

    def step_finish(self, vm):
        vm.finish(self.rng)

    def step_time(self, vm):
        self.now += timedelta(milliseconds=self.rng.choice([1, 10, 100, 700]))

    def step_late(self, vm):
        if self.late:
            late = self.late.pop(self.rng.randrange(len(self.late)))
            topic, part, records, end = late
            if self.state.end(topic, part) == end:
                self.state.append(topic, part, records)

    def step_kill(self, vm):
        vm.die(with_power=False)

    def step_power(self, vm):
        for each in self.vms if self.rng.random() < 0.3 else [vm]:
            each.die(with_power=True)

    def step_cut(self, vm):
        vm.is_cut = True

    def step_heal(self, vm):
        self.is_away = False
        for each in self.vms:
            each.is_cut = False

    def step_away(self, vm):
        self.is_away = True

    def step_raise(self, vm):
        customer = self.rng.choice(CUSTOMERS)
        self.prepaid = self.prepaid | {customer: self.prepaid[customer] + 5000}

    def step_idle(self, vm):
        self.now += timedelta(seconds=8)

    def step_expire(self, vm):
        self.state.expire(GRANTS, self.rng.randrange(PARTITIONS))

    async def step_return(self, vm):
        vm.draws.return_all()
        await vm.run_round()
        vm.draws.resume_holding()
