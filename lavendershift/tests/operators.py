"""Operators' steps of a fault schedule: evict, fence, recover, release."""

from lavendershift.records import Evict, EvictAck, Recover, Release, encode_record
from lavendershift.tests.steps import step


class Operators:
    """Mixin of ``World`` with the steps that write operators' records.

    ``operator`` is the operators' own replay of the ledger.
    """

    def replay_log(self):
        """Apply the log's new entries to the operators' ledger."""
        for entry in self.log.read(self.operator.next_offset, 10**6):
            self.operator.apply(entry)

    def publish(self, record):
        """Add a record to the operators' outbox, to be appended later."""
        self.operator_outbox.append(encode_record(record))

    @step(2)
    def append_outbox(self):
        """Append the operators' records, sometimes keeping them to append again."""
        if self.operator_outbox:
            self.log.append(self.time_ms, self.operator_outbox)
            if self.take(3):
                self.operator_outbox = []

    @step(1)
    def evict(self):
        core = self.pick(self.list_cores("dead", "frozen") or self.cores)
        self.publish(Evict(self.new_id("op"), core.name, "op"))

    @step(1)
    def fence(self):
        """Make the servers refuse every later request of one router."""
        self.fenced.add(self.pick(self.list_cores("dead", "frozen") or self.cores).name)

    @step(3)
    def release(self):
        """Release the tokens of an evicted router that can't spend any more."""
        self.replay_log()
        core = self.pick(self.list_cores("dead", "frozen") or self.cores)
        state = self.operator.find_incarnation(core.name)
        if state is not None and state.evicted and self.has_stopped(core):
            self.recover(core)
            self.acknowledge(core)
            self.release_unspent(core)

    @step(3)
    def evict_and_release(self):
        """Fence and evict a router and release its tokens without delay."""
        candidates = self.list_cores("dead", "frozen")
        if candidates:
            core = self.pick(candidates)
            self.fenced.add(core.name)
            self.publish(Evict(self.new_id("op"), core.name, "op"))
            self.flush_operator()
            self.release_evicted(core)

    def release_evicted(self, core):
        """Write the records that release an evicted router's tokens, in order."""
        state = self.operator.find_incarnation(core.name)
        if state is not None and state.evicted:
            for action in (self.recover, self.acknowledge, self.release_unspent):
                action(core)
                self.flush_operator()

    def has_stopped(self, core):
        """Return whether the router is fenced, or dead with no dispatch in flight.

        Then no server can start another request of it.
        """
        if core.name in self.fenced:
            return True
        sent = [p.body.incarnation for p in self.packets if p.kind == "dispatch"]
        return core.status == "dead" and core.name not in sent

    def find_unlogged(self, core):
        """Return the executions of the router that the ledger has no charge for."""
        requests = self.operator.requests
        return [
            execution
            for execution in self.executions
            if execution.attempt.startswith(f"{core.name}-a")
            and not requests.is_charged(execution.request, execution.attempt)
        ]

    def recover(self, core):
        """Charge unlogged executions to the router's tokens, or to a dead lender's.

        A loan that was never logged leaves its tokens with the lender in the ledger,
        and any other dead router may have been the lender.
        """
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
        for execution in self.find_unlogged(core):
            for name in [core.name, *lenders]:
                if held.get((execution.budget, name), 0) >= execution.tokens:
                    held[execution.budget, name] -= execution.tokens
                    self.publish_recovery(execution, name)
                    break

    def publish_recovery(self, execution, incarnation):
        self.publish(
            Recover(
                self.new_id("op"),
                execution.budget,
                incarnation,
                execution.request,
                execution.tokens,
                execution.attempt,
                "op",
            )
        )

    def acknowledge(self, core):
        """Acknowledge the eviction for dead routers, which can't log loans any more.

        A router with unlogged executions is left out until they are recovered.
        """
        for name in self.operator.incarnations.find_missing_acks(core.name):
            other = self.find_core(name)
            if self.is_dead(other) and not self.find_unlogged(other):
                self.publish(EvictAck(self.new_id("op"), core.name, name))

    def is_dead(self, core):
        """Return whether the router is dead, evicted and has stopped."""
        state = self.operator.find_incarnation(core.name)
        evicted = state is not None and state.evicted
        return core.status == "dead" and evicted and self.has_stopped(core)

    def release_unspent(self, core):
        """Release what the router holds, less its unlogged executions."""
        unlogged = self.find_unlogged(core)
        for budget in self.budgets:
            used = sum(
                execution.tokens for execution in unlogged if execution.budget == budget
            )
            tokens = self.operator.find_held(budget, core.name) - used
            if self.has_choices and self.take(2):
                tokens //= 2
            if tokens > 0:
                self.publish(
                    Release(
                        self.new_id("op"), budget, core.name, tokens, "silent", "op"
                    )
                )

    def flush_operator(self):
        """Append the operators' records and replay the log."""
        self.log.append(self.time_ms, self.operator_outbox)
        self.operator_outbox = []
        self.replay_log()
