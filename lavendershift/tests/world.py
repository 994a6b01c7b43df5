"""Simulated fleet under a schedule of faults.

Each step of a schedule, and each choice within a step, takes the next byte of
``choices``.
"""

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
    """Routers, log, network, callers and operators of one schedule."""

    def __init__(self, choices: bytes, policy: str = "adaptive"):
        self.choices, self.position, self.policy = choices, 0, policy
        self.time_ms = self.ids = 0
        self.log = FakeLog()
        self.top_ups: list[tuple[str, int]] = []
        self.deposits, self.executions, self.replies = [], [], []
        self.replied: set[str] = set()
        self.budgets = ("acme", "plume")
        self.packets: list[Packet] = []
        self.vms_without_log: set[int] = set()
        self.fenced: set[str] = set()
        self.calls: list[Call] = []
        self.operator = Ledger(STREAM, self.prepaid)
        self.operator_outbox: list[Any] = []
        for budget in self.budgets:
            self.top_up(budget, 150)
        self.cores = [self.start(vm) for vm in range(VMS)]
        for core in self.cores:
            for budget in self.budgets:
                core.log(core.book.request_grant(budget, 45, core.config_offset))
        self.sync_all()

    # Choices
    @property
    def has_choices(self):
        return self.position < len(self.choices)

    def take(self, count):
        value = self.choices[self.position] if self.has_choices else 0
        self.position += 1
        return value % count

    def pick(self, items):
        return items[self.take(len(items))]

    def new_id(self, prefix):
        self.ids += 1
        return f"{prefix}{self.ids}"

    def prepaid(self, budget, offset):
        return sum(tokens for name, tokens in self.top_ups[:offset] if name == budget)

    def run(self):
        while self.has_choices:
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

    def list_cores(self, *statuses):
        return [
            core for core in self.cores if core.status in (statuses or ("running",))
        ]

    def start(self, vm):
        core = Core(self, vm, self.new_id(f"r{vm}."), self.policy)
        core.config_offset = len(self.top_ups)
        return core

    def send(self, packet):
        self.packets.append(packet)

    def reply(self, call, kind, body=""):
        if call.id not in self.replied:
            self.replied.add(call.id)
            self.replies.append(Reply(self.time_ms, call.id, call.request, kind, body))

    def find_core(self, name):
        return next((core for core in self.cores if core.name == name), None)

    # Callers
    @step(20)
    def call(self):
        tokens = 5 + self.take(40)
        repeatable = self.take(2) == 0
        key = self.new_id("k")
        self.submit(Call(key, f"c/{key}", self.pick(self.budgets), tokens, repeatable))

    @step(6)
    def retry(self):
        if self.calls:
            call = self.pick(self.calls)
            if call.id in self.replied:
                self.submit(call._replace(id=self.new_id("again")))

    def submit(self, call):
        self.calls.append(call)
        cores = self.list_cores()
        if cores:
            self.pick(cores).handle(call)
        else:
            self.reply(call, "refused")

    @step(1)
    def time_out(self):
        """End a call by the caller's own timeout, so that its outcome is unknown."""
        open_calls = [call for call in self.calls if call.id not in self.replied]
        if open_calls:
            self.reply(self.pick(open_calls), "unknown")

    # Access to the log, grants, loans and top-ups
    @step(6)
    def sync_all(self):
        """Let every router that reaches the log append and read."""
        cores = [
            core for core in self.list_cores() if core.vm not in self.vms_without_log
        ]
        for core in cores:
            core.flush(True, True)
        for core in cores:
            core.read(100)

    @step(10)
    def flush(self):
        cores = [
            core for core in self.list_cores() if core.vm not in self.vms_without_log
        ]
        if cores:
            case = self.take(8)
            self.pick(cores).flush(taken=case != 0, answered=case > 1)

    @step(10)
    def read(self):
        cores = [
            core for core in self.list_cores() if core.vm not in self.vms_without_log
        ]
        if cores:
            self.pick(cores).read(1 + self.take(12))

    @step(8)
    def run_policy(self):
        if cores := self.list_cores():
            self.pick(cores).tick()

    @step(6)
    def request_grant(self):
        """Request a grant beyond what any policy would request."""
        if cores := self.list_cores():
            core, budget = self.pick(cores), self.pick(self.budgets)
            tokens = 1 + self.take(60)
            core.log(core.book.request_grant(budget, tokens, core.config_offset))

    @step(5)
    def borrow(self):
        """Request a loan that the borrower may not need."""
        if len(cores := self.list_cores()) > 1:
            borrower, lender = self.pick(cores), self.pick(cores)
            amount = 1 + self.take(40)
            request = borrower.book.make_loan_request(self.pick(self.budgets), amount)
            if lender is not borrower:
                self.send(Packet("borrow", lender.name, request))

    @step(2)
    def return_tokens(self):
        if cores := self.list_cores():
            core, budget = self.pick(cores), self.pick(self.budgets)
            core.log(core.book.return_tokens(budget, 1 + self.take(60)))

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
        for core in self.list_cores() if hasattr(self, "cores") else []:
            if core.vm not in self.vms_without_log:
                core.config_offset = len(self.top_ups)

    @step(3)
    def change_log_access(self):
        case = self.take(4)
        if case == 0:
            self.vms_without_log = set(range(VMS))
        elif case == 1:
            self.vms_without_log = {0, 2}
        else:
            self.vms_without_log = set()

    # Lifecycle of routers
    @step(1)
    def crash(self):
        if cores := self.list_cores():
            self.kill(self.pick(cores))

    def kill(self, core):
        core.status = "dead"
        open_attempts = [*core.running.values(), *core.claims.values()]
        for attempt in open_attempts:
            self.reply(attempt.call, "unknown")

    @step(1)
    def freeze(self):
        if cores := self.list_cores():
            self.pick(cores).status = "frozen"

    @step(2)
    def resume(self):
        if cores := self.list_cores("frozen"):
            self.pick(cores).status = "running"

    @step(3)
    def replace(self):
        running = {core.vm for core in self.list_cores()}
        if missing := [vm for vm in range(VMS) if vm not in running]:
            self.cores.append(self.start(self.pick(missing)))

    @step(1)
    def restart_all(self):
        if self.take(8) == 0:
            for core in self.list_cores("running", "frozen"):
                self.kill(core)
            self.cores += [self.start(vm) for vm in range(VMS)]

    @step(1)
    def close(self):
        if self.take(3):
            return
        if cores := [core for core in self.list_cores() if not core.running]:
            self.pick(cores).retire()

    # End of a schedule
    def drain(self):
        self.vms_without_log = set()
        for core in self.list_cores("frozen"):
            core.status = "running"
        self.settle()
        self.fenced.update(core.name for core in self.cores)
        self.settle()
        for core in self.list_cores():
            for attempt in list(core.running.values()):
                core.lose(attempt)
        for _ in range(4):
            self.close_all()

    def close_all(self):
        self.settle()
        for core in self.list_cores():
            core.retire()
        self.settle()
        self.replay_log()
        for core in self.cores:
            self.publish(Evict(self.new_id("op"), core.name, "op"))
        self.flush_operator()
        for core in self.cores:
            self.release_evicted(core)

    def settle(self):
        """Deliver every packet and append every record that is still queued."""
        for packet in list(self.packets):
            self.packets.remove(packet)
            core = self.find_core(packet.to)
            if packet.to == "server":
                self.execute(packet.body)
            elif core.status == "running":
                core.receive(packet)
        self.inquire()
        for core in self.list_cores():
            while core.batch or core.outbox:
                core.flush(True, True)
        for core in self.list_cores():
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
