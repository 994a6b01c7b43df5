import asyncio
import time

from lavendershift.datagrams import Datagrams
from lavendershift.tests.processes import find_port
from lavendershift.tokenstocks import StockReport

HOST = "127.0.0.1"
REPORT = StockReport("edge-1", "i-1", True, {})


class Wire:
    """A listener; ``received`` has the turns of the loop in which messages came."""

    def __init__(self):
        self.datagrams = Datagrams()
        self.datagrams.handle(StockReport, self._receive)
        self.turn, self.received = 0, []
        self.peer = (HOST, find_port())

    def _receive(self, report, sender):
        self.received.append(self.turn)

    async def listen(self):
        await self.datagrams.listen(*self.peer)

    async def keep_busy(self, turns, turn_s=0.01):
        for _ in range(turns):
            self.turn += 1
            time.sleep(turn_s)
            await asyncio.sleep(0)


def play(work):
    async def run():
        wires = Wire(), Wire()
        for wire in wires:
            await wire.listen()
        try:
            return await work(*wires)
        finally:
            for wire in wires:
                wire.datagrams.close()

    return asyncio.run(run())


def test_datagrams_are_received_soon_by_a_busy_loop():
    """One datagram was read in each turn of the loop, and versions came 5 s late."""

    async def work(sender, receiver):
        for _ in range(100):
            sender.datagrams.send(REPORT, [receiver.peer])
        await receiver.keep_busy(20)
        return receiver.received

    received = play(work)
    assert len(received) == 100
    assert max(received) <= 5


def test_many_datagrams_do_not_keep_the_loop_from_other_work():
    async def work(sender, receiver):
        turns = []
        for _ in range(1000):
            sender.datagrams.send(REPORT, [receiver.peer])
        for _ in range(20):
            await asyncio.sleep(0)
            turns.append(len(receiver.received))
        return turns

    turns = play(work)
    assert len(set(turns)) >= 4


def test_a_peer_without_a_listener_ends_nothing():
    async def work(sender, receiver):
        closed = (HOST, find_port())
        for _ in range(3):
            sender.datagrams.send(REPORT, [closed, receiver.peer])
            await asyncio.sleep(0.01)
        return receiver.received

    assert len(play(work)) == 3


def test_nothing_is_sent_or_received_after_the_end():
    async def work(sender, receiver):
        receiver.datagrams.close()
        sender.datagrams.send(REPORT, [receiver.peer])
        receiver.datagrams.send(REPORT, [sender.peer])
        await asyncio.sleep(0.05)
        return sender.received + receiver.received

    assert play(work) == []
