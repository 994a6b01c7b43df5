"""Tests of trials of quarantined parts, and of the messages about crashes."""

import asyncio
import random
from datetime import timedelta

import msgspec
import pytest

from lavendershift.clocks import ManualClock
from lavendershift.crashes import Suspect
from lavendershift.datagrams import Datagrams
from lavendershift.quarantine import FIRST_TRIAL_DELAY, Quarantine, QuarantineState
from lavendershift.quarantinegossip import CrashGossip, CrashReport, QuarantineFacts
from lavendershift.trials import TRIAL_TIMEOUT, TrialReply, Trials

PARTS = ("dead",)
SECOND = timedelta(seconds=1)
MAX_PACKET_BYTES = 1400


class Network:
    """Datagrams between VMs, named by their port; ``sent`` holds all of them."""

    def __init__(self):
        self.vms = {}
        self.sent = []
        self.lost = set()

    def add(self, port):
        datagrams = Datagrams()
        datagrams.send = lambda message, peers: self.deliver(port, message, peers)
        self.vms[port] = datagrams
        return datagrams

    def deliver(self, sender, message, peers):
        data = msgspec.msgpack.encode(message)
        for _, port in peers:
            self.sent.append((sender, port, message, len(data)))
            if port in self.vms and port not in self.lost:
                copy = msgspec.msgpack.decode(data, type=type(message))
                self.vms[port]._handlers[type(message)](copy, ("", sender))


class Vm:
    """A VM with a quarantine; ``keeper`` is the port of the one it asks."""

    def __init__(self, network, clock, port, keeper):
        self.quarantine = Quarantine(clock, random.Random(port))
        self.facts = QuarantineFacts(clock, self.quarantine)
        self.keeper = keeper
        datagrams = network.add(port)
        self.trials = Trials(
            clock,
            self.quarantine,
            self.facts,
            datagrams,
            lambda key: None if self.keeper == port else ("", self.keeper),
            lambda: [("", other) for other in network.vms if other != port],
        )
        self.gossip = CrashGossip(
            self.quarantine,
            datagrams,
            lambda: [("", other) for other in network.vms if other != port],
            random.Random(port),
        )


@pytest.fixture
def fleet():
    network, clock = Network(), ManualClock()
    vms = [Vm(network, clock, port, keeper=1) for port in (1, 2, 3)]
    state = QuarantineState(True, 1, 0, clock.elapsed() + FIRST_TRIAL_DELAY)
    for vm in vms:
        vm.quarantine.merge(PARTS, state)
    return network, clock, vms


def take(*vms):
    async def take_all():
        return [await vm.trials.take(PARTS) for vm in vms]

    return asyncio.run(take_all())


def test_one_trial_is_granted_once_it_is_due(fleet):
    _, clock, (keeper, second, third) = fleet
    assert take(second) == [False]
    clock.advance(FIRST_TRIAL_DELAY)
    assert take(third, second, keeper) == [True, False, False]
    clock.advance(TRIAL_TIMEOUT)
    assert take(keeper, second) == [True, False]


def test_a_vm_that_replaces_a_silent_keeper_grants_no_second_trial(fleet):
    network, clock, vms = fleet
    clock.advance(FIRST_TRIAL_DELAY)
    assert take(vms[2]) == [True]
    network.lost.add(1)
    for vm in vms:
        vm.keeper = 2
    assert take(vms[2], vms[1]) == [False, False]
    clock.advance(TRIAL_TIMEOUT)
    assert take(vms[2], vms[1]) == [True, False]


def test_a_trial_of_the_process_before_a_restart_is_not_taken(fleet):
    """Its late reply was taken as the reply to the question with the same number."""
    network, clock, (_, second, _) = fleet
    clock.advance(FIRST_TRIAL_DELAY)
    network.lost.add(2)
    assert take(second) == [False]
    (late,) = [m for _, port, m, _ in network.sent if isinstance(m, TrialReply)]
    restarted = Vm(network, clock, 2, keeper=1)
    state = QuarantineState(True, 1, 0, clock.elapsed())
    restarted.quarantine.merge(("other",), state)

    async def ask():
        asking = asyncio.ensure_future(restarted.trials.take(("other",)))
        await asyncio.sleep(0)
        network.vms[2]._handlers[TrialReply](late, ("", 1))
        return await asking

    network.lost.add(1)
    assert not asyncio.run(ask())


def test_no_trial_is_made_without_a_reply(fleet):
    network, clock, (_, second, _) = fleet
    clock.advance(FIRST_TRIAL_DELAY)
    network.lost.add(1)
    assert take(second) == [False]


def test_a_request_for_a_trial_is_forwarded_to_the_keeper(fleet):
    _, clock, (_, second, third) = fleet
    clock.advance(FIRST_TRIAL_DELAY)
    third.keeper = 2
    assert take(third, second) == [True, False]


def test_a_keeper_without_the_quarantine_learns_it_from_the_request(fleet):
    network, clock, (_, second, _) = fleet
    keeper = Vm(network, clock, 1, keeper=1)
    clock.advance(FIRST_TRIAL_DELAY)
    assert take(second) == [True]
    assert keeper.quarantine.list_active()


def test_a_vm_that_missed_the_end_of_a_quarantine_learns_it(fleet):
    _, clock, (keeper, second, _) = fleet
    clock.advance(FIRST_TRIAL_DELAY)
    keeper.quarantine.note_answer(("dead", "x"))
    assert take(second) == [False]
    assert second.quarantine.find(("dead", "y")) is None


def test_all_vms_judge_by_the_crashes_that_one_saw(fleet):
    _, clock, vms = fleet
    for number in range(2):
        clock.advance(SECOND)
        suspects = [Suspect((f"a{number}", "bad", f"own{number}"), True)]
        vms[number].gossip.report_crash((f"i-{number}", 1), suspects)
    blocks = [vm.quarantine.find(("x", "bad", "y")) for vm in vms]
    assert [block.parts for block in blocks] == [("bad",)] * 3


def test_a_vm_tells_of_a_response_that_the_reporter_does_not_know(fleet):
    _, clock, (first, second, third) = fleet
    second.quarantine.note_answer(("rare", "x"))

    async def work():
        for number in range(3):
            clock.advance(SECOND)
            suspects = [Suspect(("rare", f"own{number}"), True)]
            first.gossip.report_crash((f"i-{number}", 1), suspects)
            await asyncio.sleep(0.15)

    asyncio.run(work())
    assert third.quarantine.find(("rare", "z")) is None


def test_reports_of_large_crashes_fit_into_packets(fleet):
    network, _, (first, _, _) = fleet
    suspects = [
        Suspect(tuple(f"{number:06d}-{part}" * 2 for part in range(6)), False)
        for number in range(500)
    ]
    first.quarantine.note_answer(suspects[0].parts)
    network.sent.clear()
    first.gossip.report_crash(("i-1", 1), suspects)
    sizes = [size for _, _, m, size in network.sent if isinstance(m, CrashReport)]
    assert sizes
    assert max(sizes) <= MAX_PACKET_BYTES
