"""Steps of the network and the backend servers in a fault schedule."""

from lavendershift.tests.checker import Execution
from lavendershift.tests.fleet import Packet
from lavendershift.tests.steps import step


class Network:
    """Steps of a ``World`` that move packets and execute calls.

    Packets are delivered in any order, duplicated and lost. ``STEPS`` holds the
    steps in the order of their definition.
    """

    @step(36)
    def deliver(self):
        if self.packets:
            packet = self.packets[self.take(len(self.packets))]
            core = self.find_core(packet.to)
            if core is not None and core.status == "frozen":
                return
            self.packets.remove(packet)
            if packet.to == "server":
                self.execute(packet.body)
            elif core is not None and core.status == "running":
                core.receive(packet)

    @step(2)
    def repeat(self):
        """Duplicate a loan request or its response."""
        packets = [p for p in self.packets if p.kind in ("borrow", "lent")]
        if packets:
            self.packets.append(self.pick(packets))

    @step(3)
    def lose(self):
        """Break a connection; its packet may still arrive later."""
        if not self.packets:
            return
        packet = self.pick(self.packets)
        if self.take(2):
            self.packets.remove(packet)
        if packet.kind == "dispatch":
            attempt = packet.body
        elif packet.kind in ("response", "refusal"):
            attempt = packet.body[0]
        else:
            return
        core = self.find_core(attempt.incarnation)
        if core.status == "running":
            core.lose(attempt)

    def execute(self, attempt):
        call = attempt.call
        if attempt.incarnation in self.fenced or self.take(8) == 0:
            body = (attempt, 0, "")
            return self.send(Packet("refusal", attempt.incarnation, body))
        tokens = call.tokens if self.take(4) else 1 + self.take(call.tokens)
        response = f"{call.request} by {attempt.id}"
        self.executions.append(
            Execution(
                self.time_ms,
                call.id,
                call.request,
                attempt.id,
                call.budget,
                tokens,
                call.repeatable,
                response,
            )
        )
        body = (attempt, tokens, response)
        return self.send(Packet("response", attempt.incarnation, body))

    @step(2)
    def inquire(self):
        """Report the usage of attempts in doubt, as an inquiry at their server does."""
        for core in self.list_cores():
            for attempt in list(core.in_doubt.values()):
                execution = next(
                    (e for e in self.executions if e.attempt == attempt.id), None
                )
                if execution is not None:
                    body = (attempt, execution.tokens, execution.answer)
                    core.finish(Packet("response", core.name, body))
