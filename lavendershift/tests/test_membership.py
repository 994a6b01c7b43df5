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


def make_heartbeat(name, config_offset=0, start=1):
    return Heartbeat(name, f"{name}.{start}", "rennes", True, config_offset, 0)


def make_membership(vm="r0"):
    clock = ManualClock()
    membership = Membership(clock, vm, f"{vm}.1")
    membership.update_list([make_member(f"r{i}") for i in range(4)])
    for name in ("r0", "r1", "r2", "r3"):
        membership.record_heartbeat(make_heartbeat(name))
    return clock, membership


def list_states(membership):
    return {vm.name: vm.state for vm in membership.list_vms()}


def run(clock, membership, names, alive, duration):
    """Advance time, with ``names`` listed and heartbeats from ``alive``.

    Return the incarnations proposed for eviction in that time.
    """
    proposals = []
    for _ in range(int(duration / timedelta(seconds=1))):
        clock.advance(timedelta(seconds=1))
        membership.update_list([make_member(name) for name in names])
        for name in alive:
            membership.record_heartbeat(make_heartbeat(name))
        proposals += [e.incarnation for e in membership.propose_evictions()]
    return proposals


def test_silent_listed_vm_is_suspect_and_counts_as_live():
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


def test_unlisted_vm_with_heartbeats_is_not_evicted():
    clock, membership = make_membership()
    alive = ["r1", "r2", "r3"]
    proposals = run(clock, membership, ["r0", "r1", "r2"], alive, 4 * EVICT_AFTER)
    assert proposals == []
    assert list_states(membership)["r3"] is VmState.SUSPECT


def test_absent_silent_vm_is_proposed_by_one_router_after_another():
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


def test_stale_list_leads_to_no_eviction():
    clock, membership = make_membership()
    membership.update_list([make_member("r0")])
    clock.advance(4 * EVICT_AFTER)
    assert membership.propose_evictions() == []


def test_previous_incarnation_of_a_restarted_router_is_evicted():
    clock, membership = make_membership()
    membership.add_incarnation("r0.0", "r0")
    membership.record_heartbeat(make_heartbeat("r1", start=2))
    proposals = run(
        clock, membership, ["r0", "r1"], [], EVICT_AFTER + 4 * PROPOSER_STEP
    )
    assert {"r0.0", "r1.1"} <= set(proposals)
    assert "r1.2" not in proposals and "r0.1" not in proposals
    membership.forget_incarnation("r0.0")
    assert "r0.0" not in {e.incarnation for e in membership.propose_evictions()}


def test_vm_listed_as_leaving_is_leaving_immediately():
    _, membership = make_membership()
    membership.update_list([make_member("r0", "leaving"), make_member("r1", "leaving")])
    assert membership.is_leaving()
    assert list_states(membership)["r1"] is VmState.LEAVING


@settings(derandomize=True, database=None)
@given(st.lists(st.integers(0, 1000)))
def test_the_required_offset_only_rises(offsets):
    _, membership = make_membership()
    for count, offset in enumerate(offsets, 1):
        membership.record_heartbeat(make_heartbeat("r1", offset))
        assert membership.required_config_offset == max(offsets[:count])
