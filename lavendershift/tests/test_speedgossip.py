"""Tests of the speeds of servers that VMs send each other."""

import asyncio
import random
from datetime import timedelta

import msgspec

from lavendershift.capacity.servercapacity import Size
from lavendershift.clocks import ManualClock
from lavendershift.datagrams import Datagrams
from lavendershift.decoding import Count
from lavendershift.gossip import MAX_DATAGRAM_BYTES, Gossip, LoadUpdate
from lavendershift.serverlist import ServerList
from lavendershift.serverstates import NO_PROMPT, ServerEntry
from lavendershift.speedrecords import SpeedRecord


class OldUpdate(msgspec.Struct, array_like=True, tag="news"):
    """A ``LoadUpdate`` of the version before it had speeds."""

    vm: str
    incarnation: str
    number: Count
    changes: list[tuple[str, int, int, list[str]]]


def encode(update):
    return msgspec.msgpack.encode(update)


class Vm:
    """The server list and the gossip of one VM; ``sent`` holds its datagrams."""

    def __init__(self, name, clock, servers=3):
        self.name, self.clock, self.sent = name, clock, []
        self.servers = ServerList(clock, random.Random(1))
        for n in range(servers):
            self.servers.update(
                ServerEntry(f"s{n}", "index", f"a{n}", "", 6, False, 100 + n, 1)
            )
        datagrams = Datagrams()
        datagrams.send = lambda message, peers: self.sent.append((message, list(peers)))
        self.gossip = Gossip(
            clock,
            name,
            f"{name}/1",
            self.servers,
            lambda: [("10.0.0.9", 1)],
            lambda: [("10.0.0.9", 1), ("10.0.0.8", 1)],
            datagrams,
        )

    def work(self, server, seconds):
        assignment = self.servers.start(self.servers.find(server), NO_PROMPT)
        self.clock.advance(timedelta(seconds=seconds))
        self.servers.record_latency(assignment)
        self.servers.finish(assignment)

    def summarize(self):
        """Send a summary; return the datagrams as they are received."""
        self.sent.clear()
        self.gossip._send_summary([("10.0.0.9", 1)])
        return [
            (msgspec.msgpack.decode(encode(m), type=LoadUpdate), peers)
            for m, peers in self.sent
        ]

    def receive(self, updates):
        for update in updates:
            self.gossip._apply_update(update, ("10.0.0.1", 1))

    def find_factor(self, server):
        self.clock.advance(timedelta(milliseconds=300))
        self.servers.choose("index", NO_PROMPT, ())
        return self.servers.find(server).capacity.factors[Size.PLAIN]


def make_measured_vm(clock, listener=None):
    """Return a VM that found "s2" to be slow, and sends a summary each 500 ms."""
    vm = Vm("vm-1", clock)
    for _ in range(8):
        for server, seconds in (("s0", 0.06), ("s1", 0.06), ("s2", 0.15)):
            vm.work(server, seconds)
        clock.advance(timedelta(milliseconds=230))
        updates = vm.summarize()
        if listener is not None:
            listener.receive([m for m, peers in updates if ("10.0.0.8", 1) in peers])
    return vm


def test_versions_with_and_without_speeds_read_each_other():
    """VMs are restarted one after the other with a new version."""
    speed = SpeedRecord("s1", 5, 2, -2.5, 3, 0.4)
    new = LoadUpdate("vm-1", "vm-1/1", 4, [], [speed], [speed])
    old = OldUpdate("vm-1", "vm-1/1", 4, [("s1", 1, 2, ["a"])])
    read_by_old = msgspec.msgpack.decode(encode(new), type=OldUpdate)
    assert (read_by_old.vm, read_by_old.number) == ("vm-1", 4)
    read_by_new = msgspec.msgpack.decode(encode(old), type=LoadUpdate)
    assert read_by_new.changes[0].in_flight == 1
    assert read_by_new.speeds == read_by_new.estimates == []


def test_a_vm_learns_speeds_from_the_measurements_of_another():
    """It may be on standby, and gets heartbeats only."""
    clock = ManualClock()
    other = Vm("vm-2", clock)
    make_measured_vm(clock, other)
    assert other.find_factor("s2") > 2
    assert other.find_factor("s0") == 1.0


def test_a_vm_that_has_just_started_takes_over_estimates():
    clock = ManualClock()
    one, started = make_measured_vm(clock), Vm("vm-3", clock)
    one.sent.clear()
    one.receive([started.summarize()[0][0]])
    started.receive([message for message, _ in one.sent])
    assert started.find_factor("s2") > 1.6
    one.sent.clear()
    one.receive([started.summarize()[0][0]])
    assert not one.sent


def test_measurements_of_another_incarnation_and_unknown_sizes_are_ignored():
    clock = ManualClock()
    vm = Vm("vm-1", clock)
    records = [
        SpeedRecord("s2", 99, 2, 3.0, 9, 0.0),
        SpeedRecord("s2", 102, 77, 3.0, 9, 0.0),
        SpeedRecord("gone", 102, 2, 3.0, 9, 0.0),
        SpeedRecord("s2", 102, 2, 1e9, 2**60, -5.0),
    ]
    vm.receive([LoadUpdate("vm-2", "vm-2/1", 1, [], records, records)])
    found = (
        vm.servers.find("s2").capacity.windows[Size.PLAIN].find_median(clock.elapsed())
    )
    assert found.value == 10.0


def test_datagrams_with_many_measurements_are_not_fragmented():
    async def work():
        clock = ManualClock()
        vm = Vm("vm-with-a-long-name", clock, servers=300)
        for n in range(300):
            vm.work(f"s{n}", 0.06)
        vm.summarize()
        assert len(vm.sent) > 4
        assert max(len(encode(m)) for m, _ in vm.sent) <= MAX_DATAGRAM_BYTES

    asyncio.run(work())
