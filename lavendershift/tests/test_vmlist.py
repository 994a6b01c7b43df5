from datetime import timedelta

import pytest

from lavendershift.clocks import ManualClock
from lavendershift.vmlist import EXPIRY, VmList, VmRow


def make_row(name, renewal=1, domain="rennes", is_leaving=False):
    address = f"{name}:80"
    return VmRow(name, address, domain, "a", renewal, is_leaving)


def make_list(clock, *names):
    vms = VmList(clock, make_row("own"))
    for name in names:
        vms.update(make_row(name))
    return vms


def renew(vms, clock, names, step=timedelta(seconds=1)):
    clock.advance(step)
    for name in names:
        vms.update(make_row(name, renewal=9))
    vms.expire()


def test_addresses_of_the_callers_domain_come_first():
    vms = make_list(ManualClock(), "a")
    vms.update(make_row("b", domain="brest"))
    assert vms.list_addresses("brest")[0] == "b:80"


def test_a_leaving_vm_is_not_listed():
    vms = make_list(ManualClock(), "a")
    assert vms.update(make_row("a", renewal=2, is_leaving=True))
    assert vms.list_addresses() == ["own:80"]


def test_a_vm_that_no_longer_renews_is_dropped():
    clock = ManualClock()
    vms = make_list(clock, "a", "b")
    for _ in range(6):
        renew(vms, clock, ["b"])
    assert vms.list_addresses() == ["b:80", "own:80"]


def test_a_vm_without_the_store_drops_nobody():
    clock = ManualClock()
    vms = make_list(clock, "a")
    clock.advance(timedelta(minutes=1))
    assert vms.expire() == []
    assert "a:80" in vms.list_addresses()


def test_a_silent_vm_is_unlisted_before_its_row_expires():
    clock = ManualClock()
    vms = make_list(clock, "a", "b", "c")
    vms.hear_directly(lambda name: EXPIRY if name == "a" else timedelta())
    for _ in range(3):
        renew(vms, clock, ["b", "c"])
    assert "a:80" not in vms.list_addresses()
    assert vms.count() == 4


def test_a_vm_that_hears_nobody_keeps_the_list():
    clock = ManualClock()
    vms = make_list(clock, "a", "b", "c")
    vms.hear_directly(lambda name: EXPIRY)
    clock.advance(timedelta(seconds=3))
    assert len(vms.list_addresses()) == 4


def test_demand_is_summed_over_the_others():
    vms = make_list(ManualClock())
    vms.update(make_row("a")._replace(demand={"plume": 10.0}))
    vms.update(make_row("b")._replace(demand={"plume": 5.0, "encre": 1.0}))
    assert vms.sum_demand("plume") == 15.0
    assert vms.sum_demand("nobody") == 0.0


def test_peers_need_an_address():
    vms = make_list(ManualClock(), "a")
    vms.update(make_row("b")._replace(peer_address="10.0.0.2:7340"))
    assert vms.list_peers() == [("10.0.0.2", 7340)]


@pytest.mark.parametrize("seconds", [0, 1, 10])
def test_a_late_row_from_before_a_vm_left_does_not_list_it_again(seconds):
    clock = ManualClock()
    vms = make_list(clock, "a")
    vms.update(make_row("a", renewal=3, is_leaving=True))
    for _ in range(seconds):
        renew(vms, clock, [])
    assert not vms.update(make_row("a", renewal=2))
    assert vms.list_addresses() == ["own:80"]
    assert vms.update(make_row("a", renewal=1)._replace(incarnation="b"))
    assert vms.list_addresses() == ["a:80", "own:80"]
