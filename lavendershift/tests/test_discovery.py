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


def list_addresses(vms, customer="plume", domain="rennes", seed=1):
    addresses = {vm.name: f"127.0.0.1:71{vm.name[1:]:0>2}" for vm in vms}
    rng = random.Random(seed)
    return list_routers(customer, domain, vms, addresses, rng).routers


def test_affinity_routers_of_the_own_domain_come_first_in_random_order():
    vms = [make_vm(number) for number in range(12)]
    preferred = find_affinity_routers("plume", vms)
    first_vms = set()
    for seed in range(20):
        routers = list_addresses(vms, seed=seed)
        assert len(routers) == 12
        assert [r.failure_domain for r in routers[:4]] == ["rennes"] * 4
        assert {r.vm for r in routers[:AFFINITY_ROUTERS]} <= preferred
        first_vms.add(routers[0].vm)
    assert len(first_vms) == AFFINITY_ROUTERS


def test_leaving_gone_and_unready_vms_are_omitted_and_suspects_come_last():
    vms = [
        make_vm(0, VmState.LEAVING),
        make_vm(3, VmState.GONE),
        make_vm(6, ready=False),
        make_vm(9, VmState.SUSPECT),
        make_vm(1),
    ]
    assert [r.vm for r in list_addresses(vms)] == ["r1", "r9"]


@settings(derandomize=True, database=None)
@given(st.sets(st.integers(0, 20), min_size=1), st.text(max_size=5))
def test_limit_shares_add_up_to_one_for_affinity_routers_and_below_two(numbers, name):
    vms = [make_vm(number) for number in sorted(numbers)]
    preferred = find_affinity_routers(name, vms)
    shares = {vm.name: find_limit_share(name, vm.name, vms) for vm in vms}
    assert abs(sum(shares[vm] for vm in preferred) - 1) < 1e-9
    assert sum(shares.values()) < 2


@settings(derandomize=True, database=None)
@given(st.sets(st.integers(0, 20), min_size=2), st.text(max_size=5))
def test_loss_of_a_vm_keeps_other_affinity_routers(numbers, customer):
    vms = [make_vm(number) for number in sorted(numbers)]
    before = find_affinity_routers(customer, vms)
    after = find_affinity_routers(customer, vms[1:])
    assert before - {vms[0].name} <= after
    assert len(after - before) <= 1
