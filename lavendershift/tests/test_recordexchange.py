import random
from collections import deque

import msgspec
import pytest

from lavendershift.clocks import ManualClock
from lavendershift.recordexchange import (
    INQUIRY_TIME,
    MAX_INQUIRIES,
    MAX_PART_BYTES,
    MAX_PARTS,
    MAX_VERSIONS,
    TOLD_VMS,
    Place,
    RecordExchange,
    Version,
    VersionInquiry,
)
from lavendershift.recordpatches import compute_digest


class Network:
    """Delivers datagrams in the order in which they were sent."""

    def __init__(self):
        self.vms = {}
        self.clock = ManualClock()
        self.sent = []
        self.drops = lambda message, peer: False
        self._queue = deque()
        self._is_delivering = False
        self._scheduled = []

    def send(self, message, sender, peers):
        for peer in peers:
            self.sent.append((message, peer))
            if not self.drops(message, peer):
                self._queue.append((message, sender, peer))
        if self._is_delivering:
            return
        self._is_delivering = True
        while self._queue:
            message, sender, peer = self._queue.popleft()
            data = msgspec.msgpack.encode(message)
            decoded = msgspec.msgpack.decode(data, type=type(message))
            self.vms[peer].handlers[type(message)](decoded, sender)
        self._is_delivering = False

    def schedule(self, delay, function):
        self._scheduled.append((self.clock.elapsed() + delay, function))

    def advance(self, duration):
        self.clock.advance(duration)
        now = self.clock.elapsed()
        due = [function for at, function in self._scheduled if at <= now]
        self._scheduled = [entry for entry in self._scheduled if entry[0] > now]
        for function in due:
            function()

    def add(self, number):
        vm = Vm(self, ("edge", number))
        self.vms[vm.address] = vm
        return vm

    def list_others(self, address):
        return [other for other in self.vms if other != address]


class Vm:
    """A VM with an exchange; ``accepted`` has the versions that it got."""

    def __init__(self, network, address):
        self.network, self.address = network, address
        self.handlers = {}
        self.accepted, self.outcomes = [], []
        self.rejects = False
        self.exchange = RecordExchange(
            network.clock,
            random.Random(address[1]),
            self,
            lambda: network.list_others(address),
            self._accept,
        )
        self.exchange.on_notice = self.outcomes.append
        self.exchange.schedule = network.schedule

    def _accept(self, version):
        self.accepted.append(version)
        return not self.rejects

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, message, peers):
        self.network.send(message, self.address, peers)


def make_version(number, era=0, store="10.0.0.9:8223", rows=3000):
    value = b",".join(b"%d:%d" % (n, n * n) for n in range(rows)) + b";%d" % number
    return Version(number, Place(store, era, number, 0), value)


@pytest.fixture
def network():
    return Network()


@pytest.mark.parametrize("count", [2, 8, 78, 330])
def test_all_vms_get_a_version_that_one_of_them_has_read(network, count):
    vms = [network.add(number) for number in range(count)]
    for vm in vms:
        vm.exchange.note(make_version(1))
    assert not network.sent
    for number in range(2, 12):
        vms[number % count].exchange.note(make_version(number))
    reached = sum(
        make_version(11) in vm.accepted for vm in vms if vm is not vms[11 % count]
    )
    assert reached >= 0.97 * (count - 1)
    assert len(network.sent) <= 10 * count * (TOLD_VMS + 2)


def test_a_version_that_is_known_is_not_told_again(network):
    first, second = network.add(1), network.add(2)
    for vm in (first, second):
        vm.exchange.note(make_version(1))
    first.exchange.note(make_version(2))
    second.exchange.note(make_version(2))
    assert len(network.sent) == 1
    assert second.accepted == [make_version(2)]


def test_a_vm_that_missed_a_version_asks_for_a_patch_to_its_own(network):
    first, second = network.add(1), network.add(2)
    for vm in (first, second):
        vm.exchange.note(make_version(1))
    network.drops = lambda message, peer: True
    first.exchange.note(make_version(2))
    network.drops = lambda message, peer: False
    first.exchange.note(make_version(3))
    assert second.accepted == [make_version(3)]
    assert second.outcomes == ["inquired", "accepted"]


def test_an_inquiry_with_the_newest_version_gets_no_reply(network):
    first, second = network.add(1), network.add(2)
    second.send(VersionInquiry(7), [first.address])  # it has none itself
    first.exchange.note(make_version(1))
    second.exchange.note(make_version(1))
    newest = compute_digest(make_version(1).value)
    second.send(VersionInquiry(newest), [first.address])
    assert len(network.sent) == 2


def test_vms_that_have_read_different_versions_tell_each_other(network):
    """A VM got no reply if the other one had skipped its version."""
    first, second = network.add(1), network.add(2)
    first.exchange.note(make_version(1))
    second.exchange.note(make_version(2))
    first.exchange.note(make_version(3))
    assert (second.outcomes[0], second.outcomes[-1]) == ("inquired", "accepted")
    assert second.accepted == [make_version(3)]


def make_large(number, parts):
    """Return a version whose patch takes about ``parts`` datagrams."""
    noise = random.Random(number).randbytes(int((parts - 0.5) * MAX_PART_BYTES))
    version = make_version(number)
    return version._replace(value=version.value + noise)


@pytest.mark.parametrize("parts", [2, 10, MAX_PARTS])
@pytest.mark.parametrize("count", [2, 30])
def test_a_large_change_is_sent_in_parts_to_those_that_ask(network, parts, count):
    vms = [network.add(number) for number in range(count)]
    for vm in vms:
        vm.exchange.note(make_version(1))
    vms[0].exchange.note(make_large(2, parts))
    reached = [vm for vm in vms[1:] if vm.accepted == [make_large(2, parts)]]
    assert len(reached) >= 0.9 * (count - 1)
    assert len(network.sent) <= count * (TOLD_VMS + 1 + parts)


def test_a_change_of_more_parts_is_left_to_the_store(network):
    first, second = network.add(1), network.add(2)
    for vm in (first, second):
        vm.exchange.note(make_version(1))
    first.exchange.note(make_large(2, MAX_PARTS + 1))
    assert second.accepted == []
    assert len(network.sent) == 2


def test_a_lost_part_is_asked_for_again(network):
    first, second = network.add(1), network.add(2)
    for vm in (first, second):
        vm.exchange.note(make_version(1))
    network.drops = lambda message, peer: getattr(message, "part", 0) in (3, 5)
    first.exchange.note(make_large(2, 6))
    assert second.accepted == []
    network.drops = lambda message, peer: False
    network.sent.clear()
    network.advance(INQUIRY_TIME)
    assert second.accepted == [make_large(2, 6)]
    sent = [message.part for message, _ in network.sent if hasattr(message, "part")]
    assert sent == [3, 5]


def test_parts_that_never_come_are_asked_for_a_few_times(network):
    first, second = network.add(1), network.add(2)
    for vm in (first, second):
        vm.exchange.note(make_version(1))
    network.drops = lambda message, peer: getattr(message, "part", 0) == 3
    first.exchange.note(make_large(2, 6))
    for _ in range(50):
        network.advance(INQUIRY_TIME)
    inquiries = [m for m, _ in network.sent if isinstance(m, VersionInquiry)]
    assert len(inquiries) == MAX_INQUIRIES
    network.drops = lambda message, peer: False
    first.exchange.note(make_version(3))
    assert second.accepted == [make_version(3)]


def test_a_version_that_is_told_while_parts_arrive_is_asked_for(network):
    first, second = network.add(1), network.add(2)
    for vm in (first, second):
        vm.exchange.note(make_version(1))
    kept = []
    network.drops = lambda message, peer: (
        getattr(message, "parts", 0) > 1 and kept.append(message) is None
    )
    first.exchange.note(make_large(2, 4))
    network.drops = lambda message, peer: False
    first.exchange.note(make_large(3, 5))
    for message in kept:
        first.send(message, [second.address])
    assert second.accepted == [make_large(2, 4), make_large(3, 5)]


@pytest.mark.parametrize(
    "other",
    [make_version(2, era=1), make_version(2, store="10.0.0.8:8223")],
    ids=["restored", "another address"],
)
def test_a_version_says_in_which_store_it_lies(network, other):
    """VMs that reach the store at different addresses told each other nothing."""
    first, second = network.add(1), network.add(2)
    for vm in (first, second):
        vm.exchange.note(make_version(1))
    first.exchange.note(other)
    assert second.accepted == [other]


def test_an_older_version_of_a_restored_store_is_told_to_nobody(network):
    first, second = network.add(1), network.add(2)
    for vm in (first, second):
        vm.exchange.note(make_version(5))
    first.exchange.note(make_version(4, era=1))
    assert network.sent == []


def test_a_version_that_is_rejected_is_not_passed_on(network):
    vms = [network.add(number) for number in range(3)]
    for vm in vms:
        vm.exchange.note(make_version(1))
        vm.rejects = True
    vms[0].exchange.note(make_version(2))
    assert vms[1].outcomes == vms[2].outcomes == ["rejected"]


def test_a_damaged_patch_is_not_accepted(network):
    first, second = network.add(1), network.add(2)
    for vm in (first, second):
        vm.exchange.note(make_version(1))
    network.drops = lambda message, peer: True
    first.exchange.note(make_version(2))
    network.drops = lambda message, peer: False
    ((notice, _),) = network.sent
    for damaged in (
        msgspec.structs.replace(notice, patch=notice.patch[:-2]),
        msgspec.structs.replace(notice, digest=notice.digest ^ 1),
    ):
        first.send(damaged, [second.address])
    assert second.outcomes == ["damaged", "damaged"]
    assert second.accepted == []


def test_a_vm_that_has_read_nothing_accepts_nothing(network):
    first, second = network.add(1), network.add(2)
    first.exchange.note(make_version(1))
    first.exchange.note(make_version(2))
    assert second.outcomes == ["early"]


def test_few_versions_are_kept(network):
    vm = network.add(1)
    for number in range(50):
        vm.exchange.note(make_version(number))
    assert len(vm.exchange._values) == MAX_VERSIONS
