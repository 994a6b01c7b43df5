"""What operators do in a fault schedule: evict, recover, release."""

from lavendershift.records import Evict, EvictAck, Recover, Release, encode_record
from lavendershift.tests.steps import step


class Operators:
    """Steps of a ``World`` that write operators' records."""

    def replay_log(self):
        for entry in self.log.read(self.operator.next_offset, 10**6):
            self.operator.fold(entry)

    def publish(self, record):
        self.operator_outbox.append(encode_record(record))

    @step(2)
    def operate(self):
        if self.operator_outbox:
            self.log.append(self.time_ms, self.operator_outbox)
            if self.take(3):
                self.operator_outbox = []

    @step(1)
    def evict(self):
        core = self.pick(self.alive("dead", "frozen") or self.cores)
        self.publish(Evict(self.new_id("op"), core.name, "op"))

    @step(1)
    def fence(self):
        self.fenced.add(self.pick(self.alive("dead", "frozen") or self.cores).name)

    @step(3)
    def release(self):
        self.replay_log()
        core = self.pick(self.alive("dead", "frozen") or self.cores)
        state = self.operator.find_incarnation(core.name)
        if state is not None and state.evicted and self.is_silent(core):
            self.recover(core)
            self.acknowledge(core)
            self.free(core)

    @step(3)
    def bury(self):
        """Evict and free one that is gone as fast as the rules allow."""
        gone = self.alive("dead", "frozen")
        if gone:
            core = self.pick(gone)
            self.fenced.add(core.name)
            self.publish(Evict(self.new_id("op"), core.name, "op"))
            self.flush_operator()
            self.release_evicted(core)

    def release_evicted(self, core):
        state = self.operator.find_incarnation(core.name)
        if state is not None and state.evicted:
            for treat in (self.recover, self.acknowledge, self.free):
                treat(core)
                self.flush_operator()

    def is_silent(self, core):
        """Nothing of it can run any more, and that can be known."""
        if core.name in self.fenced:
            return True
        sent = [p.body.incarnation for p in self.net if p.kind == "dispatch"]
        return core.status == "dead" and core.name not in sent

    def find_unlogged(self, core):
        requests = self.operator.requests
        return [
            execution
            for execution in self.executions
            if execution.attempt.startswith(f"{core.name}-a")
            and not requests.is_charged(execution.request, execution.attempt)
        ]

    def recover(self, core):
        """Charge what it ran to what it held, or to a dead lender of it."""
        held = {
            (budget, name): tokens
            for budget in self.budgets
            for name, tokens in self.operator.find_budget(budget).held.items()
        }
        lenders = [
            other.name
            for other in self.cores
            if other is not core and self.is_dead(other)
        ]
        for ran in self.find_unlogged(core):
            for name in [core.name, *lenders]:
                if held.get((ran.budget, name), 0) >= ran.tokens:
                    held[ran.budget, name] -= ran.tokens
                    self.publish_recovery(ran, name)
                    break

    def publish_recovery(self, ran, incarnation):
        self.publish(
            Recover(
                self.new_id("op"),
                ran.budget,
                incarnation,
                ran.request,
                ran.tokens,
                ran.attempt,
                "op",
            )
        )

    def acknowledge(self, core):
        """Answer for the dead that can no longer log what they borrowed."""
        for name in self.operator.incarnations.find_missing_acks(core.name):
            other = self.find_core(name)
            if self.is_dead(other) and not self.find_unlogged(other):
                self.publish(EvictAck(self.new_id("op"), core.name, name))

    def is_dead(self, core):
        state = self.operator.find_incarnation(core.name)
        evicted = state is not None and state.evicted
        return core.status == "dead" and evicted and self.is_silent(core)

    def free(self, core):
        unlogged = self.find_unlogged(core)
        for budget in self.budgets:
            used = sum(ran.tokens for ran in unlogged if ran.budget == budget)
            tokens = self.operator.rights(budget, core.name) - used
            if self.more and self.take(2):
                tokens //= 2
            if tokens > 0:
                self.publish(
                    Release(
                        self.new_id("op"), budget, core.name, tokens, "silent", "op"
                    )
                )

    def flush_operator(self):
        self.log.append(self.time_ms, self.operator_outbox)
        self.operator_outbox = []
        self.replay_log()
