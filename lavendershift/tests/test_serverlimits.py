from datetime import timedelta

import pytest

from lavendershift.clocks import ManualClock
from lavendershift.serverlimits import (
    MAX_REFUSAL,
    MAX_RETURN_DELAY,
    LimitState,
    ServerLimits,
    is_lower,
)
from lavendershift.serversignals import MAX_INCARNATIONS

SERVER = ("i-1", 1000)
MS = timedelta(milliseconds=1)


class Vm:
    """The limits that one VM knows, on a clock of its own."""

    def __init__(self):
        self.clock = ManualClock()
        self.limits = ServerLimits(self.clock)
        self.changes = []
        self.limits.on_change = lambda *change: self.changes.append(change)

    def read(self, rate, sent_ms_ago=0):
        """Read a response to a request that was sent some time ago."""
        self.clock.advance(MS)
        sent_at = self.clock.elapsed() - sent_ms_ago * MS
        self.limits.note_response(SERVER, rate, sent_at)

    @property
    def rate(self):
        return self.limits.find(SERVER)


@pytest.fixture
def vm():
    return Vm()


def test_a_response_names_changes_and_ends_a_limit(vm):
    rates = []
    for rate in (None, 1.2, 1.2, 0.8, 4.0, None):
        vm.read(rate)
        rates.append(vm.rate)
    assert rates == [None, 1.2, 1.2, 0.8, 4.0, None]
    assert [state.version for _, state, _ in vm.changes] == [1, 2, 3, 4]


@pytest.mark.parametrize("rate", [4.0, None])
def test_a_response_to_an_earlier_request_does_not_raise_a_limit(vm, rate):
    """A response that is older than the limit may arrive after it."""
    vm.read(1.2)
    vm.read(rate, sent_ms_ago=50)
    assert vm.rate == 1.2
    vm.read(rate)
    assert vm.rate == rate


def test_a_response_to_an_earlier_request_lowers_a_limit(vm):
    vm.read(1.2)
    vm.read(0.5, sent_ms_ago=50)
    assert vm.rate == 0.5


def test_a_response_to_another_request_does_not_raise_a_limit(vm):
    """When its request was sent isn't known."""
    vm.read(1.2)
    vm.limits.note_response(SERVER, None, None)
    assert vm.rate == 1.2
    vm.limits.note_response(SERVER, 0.5, None)
    assert vm.rate == 0.5


def test_a_new_incarnation_has_no_limit(vm):
    vm.read(1.2)
    assert vm.limits.find(("i-1", 2000)) is None
    assert vm.limits.find(("i-2", 1000)) is None


def test_a_message_that_arrives_after_a_newer_one_is_ignored():
    one, other = Vm(), Vm()
    one.read(1.2)
    old = one.limits.find_state(SERVER)
    one.read(None)
    newest = one.limits.find_state(SERVER)
    for state in (old, newest, old):
        other.limits.merge(SERVER, state)
    assert other.rate is None
    assert [is_own for _, _, is_own in other.changes] == [False, False]


def test_vms_agree_whatever_the_order_of_messages():
    """Both change the same limit at once: the lower one applies to both."""
    one, other = Vm(), Vm()
    one.read(2.0)
    other.limits.merge(SERVER, one.limits.find_state(SERVER))
    one.read(1.2)
    other.read(None)
    states = one.limits.find_state(SERVER), other.limits.find_state(SERVER)
    one.limits.merge(SERVER, states[1])
    other.limits.merge(SERVER, states[0])
    assert one.rate == other.rate == 1.2


def test_a_limit_learned_from_a_vm_is_ended_only_by_a_later_request():
    one, other = Vm(), Vm()
    one.read(1.2)
    other.clock.advance(100 * MS)
    other.limits.merge(SERVER, one.limits.find_state(SERVER))
    other.read(None, sent_ms_ago=50)
    assert other.rate == 1.2
    other.read(None)
    one.limits.merge(SERVER, other.limits.find_state(SERVER))
    assert one.rate is None


def test_a_refused_permit_waits_at_its_rank_and_higher_ones(vm):
    vm.read(1.2)
    vm.limits.note_refusal(SERVER, 2, 300 * MS)
    assert not vm.limits.find_wait(SERVER, 1)
    assert vm.limits.find_wait(SERVER, 2) == vm.limits.find_wait(SERVER, 3) == 300 * MS
    vm.clock.advance(400 * MS)
    assert not vm.limits.find_wait(SERVER, 3)


def test_another_limit_ends_the_wait_for_a_permit(vm):
    vm.read(0.5)
    vm.limits.note_refusal(SERVER, 0, 2000 * MS)
    vm.read(None)
    assert not vm.limits.find_wait(SERVER, 0)


def test_a_refusal_that_arrives_after_the_end_of_a_limit_is_ignored(vm):
    vm.read(0.0)
    vm.read(None)
    vm.limits.note_refusal(SERVER, 0, 9000 * MS)
    assert not vm.limits.find_wait(SERVER, 0)


def test_a_permit_is_requested_again_before_a_long_wait_has_passed(vm):
    """The limit may have risen meanwhile, and the message of it been lost."""
    vm.read(0.0)
    vm.limits.note_refusal(SERVER, 0, 9000 * MS)
    assert vm.limits.find_wait(SERVER, 0) == MAX_REFUSAL


def test_refused_callers_return_one_by_one(vm):
    delays = [vm.limits.schedule_return("pool", 100 * MS, 4.0) for _ in range(4)]
    assert delays == [100 * MS, 350 * MS, 600 * MS, 850 * MS]


def test_the_delay_of_a_return_has_an_upper_bound(vm):
    delays = [vm.limits.schedule_return("pool", 100 * MS, 0.1) for _ in range(9)]
    assert max(delays) == MAX_RETURN_DELAY


def test_states_of_old_incarnations_are_dropped(vm):
    for number in range(MAX_INCARNATIONS + 10):
        vm.limits.note_response(("i-1", number), 1.0, None)
        vm.limits.note_refusal(("i-1", number), 0, MS)
    assert len(vm.limits.list_limited()) == MAX_INCARNATIONS


@pytest.mark.parametrize(
    ("rate", "other", "expected"),
    [(1, 2, True), (2, 1, False), (1, 1, False), (1, None, True), (None, 1, False)],
)
def test_no_limit_is_the_highest_limit(rate, other, expected):
    assert is_lower(rate, other) is expected
    assert LimitState(rate, 3).supersedes(LimitState(other, 3)) is expected
