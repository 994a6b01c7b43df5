import random

from hypothesis import given, settings
from hypothesis import strategies as st

from lavendershift.discovery import (
    AFFINITY_ROUTERS,
    find_affinity_routers,
    find_limit_share,
    list_routers,
)
from lavendershift.membership import Vm, VmState

DOMAINS = ["rennes", "quimper", "brest"]


def make_vm(number, state=VmState.LIVE, ready=True):
    return Vm(f"r{number}", f"r{number}.1", DOMAINS[number % 3], state, ready)


def answer(vms, customer="plume", domain="rennes", seed=1):
    addresses = {vm.name: f"127.0.0.1:71{vm.name[1:]:0>2}" for vm in vms}
    rng = random.Random(seed)
    return list_routers(customer, domain, vms, addresses, rng).routers


def test_homes_of_the_own_domain_come_first_and_change_places():
    vms = [make_vm(number) for number in range(12)]
    homes = find_affinity_routers("plume", vms)
    firsts = set()
    for seed in range(20):
        routers = answer(vms, seed=seed)
        assert len(routers) == 12
        assert [r.failure_domain for r in routers[:4]] == ["rennes"] * 4
        assert {r.vm for r in routers[:AFFINITY_ROUTERS]} <= homes
        firsts.add(routers[0].vm)
    assert len(firsts) == AFFINITY_ROUTERS


def test_leaving_gone_and_unready_vms_vanish_and_suspects_come_last():
    vms = [
        make_vm(0, VmState.LEAVING),
        make_vm(3, VmState.GONE),
        make_vm(6, ready=False),
        make_vm(9, VmState.SUSPECT),
        make_vm(1),
    ]
    assert [r.vm for r in answer(vms)] == ["r1", "r9"]


@settings(derandomize=True, database=None)
@given(st.sets(st.integers(0, 20), min_size=1), st.text(max_size=5))
def test_shares_of_a_limit_add_up_to_one_over_the_homes_and_two_at_most(numbers, name):
    vms = [make_vm(number) for number in sorted(numbers)]
    homes = find_affinity_routers(name, vms)
    shares = {vm.name: find_limit_share(name, vm.name, vms) for vm in vms}
    assert abs(sum(shares[home] for home in homes) - 1) < 1e-9
    assert sum(shares.values()) < 2


@settings(derandomize=True, database=None)
@given(st.sets(st.integers(0, 20), min_size=2), st.text(max_size=5))
def test_losing_a_vm_moves_no_other_customers_home(numbers, customer):
    vms = [make_vm(number) for number in sorted(numbers)]
    before = find_affinity_routers(customer, vms)
    after = find_affinity_routers(customer, vms[1:])
    assert before - {vms[0].name} <= after
    assert len(after - before) <= 1
