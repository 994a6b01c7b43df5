"""Schedules of faults over a fleet: each byte chooses the next step."""

from typing import Any

from lavendershift.ledger import Ledger
from lavendershift.records import Evict
from lavendershift.tests.checker import Deposit, Reply, Run
from lavendershift.tests.fleet import STREAM, Call, Core, FakeLog, Packet
from lavendershift.tests.network import Network
from lavendershift.tests.operators import Operators
from lavendershift.tests.steps import STEPS, step

VMS = 4


class World(Network, Operators):
    def __init__(self, choices: bytes, policy: str = "adaptive"):
        self.choices, self.at, self.policy = choices, 0, policy
        self.time_ms = self.ids = 0
        self.log = FakeLog()
        self.top_ups: list[tuple[str, int]] = []
        self.deposits, self.executions, self.replies = [], [], []
        self.replied: set[str] = set()
        self.budgets = ("acme", "plume")
        self.net: list[Packet] = []
        self.cut: set[int] = set()
        self.fenced: set[str] = set()
        self.calls: list[Call] = []
        self.operator = Ledger(STREAM, self.prepaid)
        self.operator_outbox: list[Any] = []
        for budget in self.budgets:
            self.top_up(budget, 150)
        self.cores = [self.start(vm) for vm in range(VMS)]
        for core in self.cores:
            for budget in self.budgets:
                core.log(core.book.ask_grant(budget, 45, core.config_offset))
        self.round()

    # choices
    @property
    def more(self):
        return self.at < len(self.choices)

    def take(self, count):
        value = self.choices[self.at] if self.more else 0
        self.at += 1
        return value % count

    def pick(self, items):
        return items[self.take(len(items))]

    def new_id(self, prefix):
        self.ids += 1
        return f"{prefix}{self.ids}"

    def prepaid(self, budget, offset):
        return sum(tokens for name, tokens in self.top_ups[:offset] if name == budget)

    def run(self):
        while self.more:
            self.time_ms += 100
            getattr(self, self.pick(STEPS))()
            self.check_books()
        self.drain()

    def check_books(self):
        for core in self.cores:
            for budget in core.book.budgets():
                account = core.book.account(budget)
                assert account.committed <= account.received
                assert min(vars(account).values()) >= 0, vars(account)

    def alive(self, *statuses):
        return [
            core for core in self.cores if core.status in (statuses or ("running",))
        ]

    def start(self, vm):
        core = Core(self, vm, self.new_id(f"r{vm}."), self.policy)
        core.config_offset = len(self.top_ups)
        return core

    def send(self, packet):
        self.net.append(packet)

    def reply(self, call, kind, body=""):
        if call.id not in self.replied:
            self.replied.add(call.id)
            self.replies.append(Reply(self.time_ms, call.id, call.request, kind, body))

    def find_core(self, name):
        return next((core for core in self.cores if core.name == name), None)

    # callers
    @step(20)
    def call(self):
        tokens = 5 + self.take(40)
        repeatable = self.take(2) == 0
        key = self.new_id("k")
        self.place(Call(key, f"c/{key}", self.pick(self.budgets), tokens, repeatable))

    @step(6)
    def retry(self):
        if self.calls:
            call = self.pick(self.calls)
            if call.id in self.replied:
                self.place(call._replace(id=self.new_id("again")))

    def place(self, call):
        self.calls.append(call)
        cores = self.alive()
        if cores:
            self.pick(cores).handle(call)
        else:
            self.reply(call, "refused")

    @step(1)
    def give_up(self):
        """A caller's own timeout."""
        open_calls = [call for call in self.calls if call.id not in self.replied]
        if open_calls:
            self.reply(self.pick(open_calls), "unknown")

    # log
    @step(6)
    def round(self):
        """Every router that reaches the log writes and reads."""
        cores = [core for core in self.alive() if core.vm not in self.cut]
        for core in cores:
            core.flush(True, True)
        for core in cores:
            core.read(100)

    @step(10)
    def flush(self):
        cores = [core for core in self.alive() if core.vm not in self.cut]
        if cores:
            how = self.take(8)
            self.pick(cores).flush(taken=how != 0, answered=how > 1)

    @step(10)
    def read(self):
        cores = [core for core in self.alive() if core.vm not in self.cut]
        if cores:
            self.pick(cores).read(1 + self.take(12))

    @step(8)
    def tick(self):
        if cores := self.alive():
            self.pick(cores).tick()

    @step(6)
    def ask(self):
        """A router asks for more than any policy would."""
        if cores := self.alive():
            core, budget = self.pick(cores), self.pick(self.budgets)
            tokens = 1 + self.take(60)
            core.log(core.book.ask_grant(budget, tokens, core.config_offset))

    @step(5)
    def borrow(self):
        """A router borrows though it could do without."""
        if len(cores := self.alive()) > 1:
            borrower, lender = self.pick(cores), self.pick(cores)
            amount = 1 + self.take(40)
            request = borrower.book.make_borrow(self.pick(self.budgets), amount)
            if lender is not borrower:
                self.send(Packet("borrow", lender.name, request))

    @step(2)
    def hand_back(self):
        if cores := self.alive():
            core, budget = self.pick(cores), self.pick(self.budgets)
            core.log(core.book.take_return(budget, 1 + self.take(60)))

    @step(1)
    def checkpoint(self):
        self.replay_log()
        parts = self.operator.make_checkpoint(self.new_id("cp"))
        if self.take(2):
            self.log.checkpoint = parts
            self.log.first = self.operator.next_offset

    @step(2)
    def buy(self):
        self.top_up(self.pick(self.budgets), 1 + self.take(60))

    def top_up(self, budget, tokens):
        self.top_ups.append((budget, tokens))
        self.deposits.append(Deposit(self.time_ms, budget, tokens))
        for core in self.alive() if hasattr(self, "cores") else []:
            if core.vm not in self.cut:
                core.config_offset = len(self.top_ups)

    @step(3)
    def cut_or_heal(self):
        how = self.take(4)
        if how == 0:
            self.cut = set(range(VMS))
        elif how == 1:
            self.cut = {0, 2}
        else:
            self.cut = set()

    # routers
    @step(1)
    def crash(self):
        if cores := self.alive():
            self.kill(self.pick(cores))

    def kill(self, core):
        core.status = "dead"
        open_attempts = [*core.running.values(), *core.claims.values()]
        for attempt in open_attempts:
            self.reply(attempt.call, "unknown")

    @step(1)
    def freeze(self):
        if cores := self.alive():
            self.pick(cores).status = "frozen"

    @step(2)
    def wake(self):
        if cores := self.alive("frozen"):
            self.pick(cores).status = "running"

    @step(3)
    def replace(self):
        running = {core.vm for core in self.alive()}
        if missing := [vm for vm in range(VMS) if vm not in running]:
            self.cores.append(self.start(self.pick(missing)))

    @step(1)
    def restart_all(self):
        if self.take(8) == 0:
            for core in self.alive("running", "frozen"):
                self.kill(core)
            self.cores += [self.start(vm) for vm in range(VMS)]

    @step(1)
    def close(self):
        if self.take(3):
            return
        if cores := [core for core in self.alive() if not core.running]:
            self.pick(cores).retire()

    # the end
    def drain(self):
        self.cut = set()
        for core in self.alive("frozen"):
            core.status = "running"
        self.settle()
        self.fenced.update(core.name for core in self.cores)
        self.settle()
        for core in self.alive():
            for attempt in list(core.running.values()):
                core.lose(attempt)
        for _ in range(4):
            self.end_all()

    def end_all(self):
        self.settle()
        for core in self.alive():
            core.retire()
        self.settle()
        self.replay_log()
        for core in self.cores:
            self.publish(Evict(self.new_id("op"), core.name, "op"))
        self.flush_operator()
        for core in self.cores:
            self.release_evicted(core)

    def settle(self):
        """Let every message and record that is on its way arrive."""
        for packet in list(self.net):
            self.net.remove(packet)
            core = self.find_core(packet.to)
            if packet.to == "server":
                self.execute(packet.body)
            elif core.status == "running":
                core.receive(packet)
        self.inquire()
        for core in self.alive():
            while core.batch or core.outbox:
                core.flush(True, True)
        for core in self.alive():
            core.read(10**6)

    def report(self):
        self.replay_log()
        states = self.operator.requests.states
        bills = {k: s.billed for k, s in states.items() if s.billed is not None}
        overdrawn = {b: self.operator.find_budget(b).overdrawn for b in self.budgets}
        return Run(
            self.deposits,
            self.executions,
            self.replies,
            self.log.entries,
            bills,
            overdrawn,
        )
