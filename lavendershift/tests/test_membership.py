from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from lavendershift.clocks import ManualClock
from lavendershift.hashing import rank_by_hash
from lavendershift.membership import (
    EVICT_AFTER,
    PROPOSER_STEP,
    Member,
    Membership,
    VmState,
)
from lavendershift.messages import Heartbeat


def make_member(name, state="live"):
    return Member(name, f"127.0.0.1:710{name[1:]}", "router", "rennes", state)


def make_beat(name, config_offset=0, start=1):
    return Heartbeat(name, f"{name}.{start}", "rennes", True, config_offset, 0)


def make_membership(vm="r0"):
    clock = ManualClock()
    membership = Membership(clock, vm, f"{vm}.1")
    membership.update_list([make_member(f"r{i}") for i in range(4)])
    for name in ("r0", "r1", "r2", "r3"):
        membership.record_heartbeat(make_beat(name))
    return clock, membership


def list_states(membership):
    return {vm.name: vm.state for vm in membership.list_vms()}


def run(clock, membership, names, beating, duration):
    """Let time pass with a list of ``names`` and heartbeats of ``beating``."""
    proposals = []
    for _ in range(int(duration / timedelta(seconds=1))):
        clock.advance(timedelta(seconds=1))
        membership.update_list([make_member(name) for name in names])
        for name in beating:
            membership.record_heartbeat(make_beat(name))
        proposals += [e.incarnation for e in membership.propose_evictions()]
    return proposals


def test_a_silent_vm_is_suspected_but_counts_as_live():
    clock, membership = make_membership()
    names = ["r0", "r1", "r2", "r3"]
    proposals = run(clock, membership, names, ["r1"], 4 * EVICT_AFTER)
    assert proposals == []
    assert list_states(membership) == {
        "r1": VmState.LIVE,
        "r2": VmState.SUSPECT,
        "r3": VmState.SUSPECT,
    }
    assert membership.count_live() == 4


def test_a_vm_that_beats_is_never_evicted_though_it_is_not_listed():
    clock, membership = make_membership()
    beating = ["r1", "r2", "r3"]
    proposals = run(clock, membership, ["r0", "r1", "r2"], beating, 4 * EVICT_AFTER)
    assert proposals == []
    assert list_states(membership)["r3"] is VmState.SUSPECT


def test_absent_and_silent_is_evicted_by_one_proposer_then_the_next():
    first_times = {}
    for vm in ("r0", "r1", "r2"):
        clock, membership = make_membership(vm)
        listed = ["r0", "r1", "r2"]
        for second in range(60):
            if run(clock, membership, listed, listed, timedelta(seconds=1)):
                first_times[vm] = timedelta(seconds=second + 1)
                break
    ranked = rank_by_hash(["r0", "r1", "r2"], "r3.1")
    times = [first_times[vm] for vm in ranked]
    assert times[0] >= EVICT_AFTER
    assert times == [times[0], times[0] + PROPOSER_STEP, times[0] + 2 * PROPOSER_STEP]


def test_a_stale_list_proves_nothing():
    clock, membership = make_membership()
    membership.update_list([make_member("r0")])
    clock.advance(4 * EVICT_AFTER)
    assert membership.propose_evictions() == []


def test_the_predecessor_of_a_restarted_router_is_evicted():
    clock, membership = make_membership()
    membership.add_incarnation("r0.0", "r0")
    membership.record_heartbeat(make_beat("r1", start=2))
    proposals = run(
        clock, membership, ["r0", "r1"], [], EVICT_AFTER + 4 * PROPOSER_STEP
    )
    assert {"r0.0", "r1.1"} <= set(proposals)
    assert "r1.2" not in proposals and "r0.1" not in proposals
    membership.forget_incarnation("r0.0")
    assert "r0.0" not in {e.incarnation for e in membership.propose_evictions()}


def test_a_leaving_vm_says_so_at_once():
    _, membership = make_membership()
    membership.update_list([make_member("r0", "leaving"), make_member("r1", "leaving")])
    assert membership.is_leaving()
    assert list_states(membership)["r1"] is VmState.LEAVING


@settings(derandomize=True, database=None)
@given(st.lists(st.integers(0, 1000)))
def test_the_required_offset_only_rises(offsets):
    _, membership = make_membership()
    for count, offset in enumerate(offsets, 1):
        membership.record_heartbeat(make_beat("r1", offset))
        assert membership.required_config_offset == max(offsets[:count])
