from datetime import timedelta

import pytest

from lavendershift.clocks import ManualClock
from lavendershift.vmlist import ROW_EXPIRY, VmList, VmRow, find_listing_expiry


def make_row(name, renewal=1, domain="rennes", is_leaving=False):
    address = f"{name}:80"
    return VmRow(name, address, domain, "a", renewal, is_leaving)


def make_list(clock, *names):
    vms = VmList(clock, make_row("own"))
    for name in names:
        vms.update(make_row(name))
    return vms


def list_serving(vms):
    return sorted(row.name for row in vms.list_serving())


def renew(vms, clock, names, step=timedelta(seconds=1)):
    clock.advance(step)
    for name in names:
        vms.update(make_row(name, renewal=9))
    vms.expire()


def test_addresses_are_listed_in_the_order_of_the_names():
    vms = make_list(ManualClock(), "a", "b")
    assert vms.list_addresses(["b", "nobody", "own"]) == ["b:80", "own:80"]


def test_a_leaving_vm_is_not_listed():
    vms = make_list(ManualClock(), "a")
    assert vms.update(make_row("a", renewal=2, is_leaving=True))
    assert list_serving(vms) == ["own"]


def test_a_vm_that_announces_its_shutdown_is_unlisted_immediately():
    """Its row with ``is_leaving`` may be read a second later, after an older row."""
    vms = make_list(ManualClock(), "a")
    vms.note_leaving("a", "a")
    assert list_serving(vms) == ["own"]
    vms.update(make_row("a", renewal=2))
    assert list_serving(vms) == ["own"]
    vms.update(make_row("a")._replace(incarnation="b"))
    assert list_serving(vms) == ["a", "own"]


def test_a_vm_that_no_longer_renews_is_dropped():
    clock = ManualClock()
    vms = make_list(clock, "a", "b")
    for _ in range(6):
        renew(vms, clock, ["b"])
    assert list_serving(vms) == ["b", "own"]


def test_no_vm_is_dropped_while_the_store_is_unreachable():
    clock = ManualClock()
    vms = make_list(clock, "a")
    clock.advance(timedelta(minutes=1))
    assert vms.expire() == []
    assert "a" in list_serving(vms)


def test_a_starting_vm_does_not_list_vms_that_stopped_long_ago():
    """The store keeps the newest row of each VM forever.

    A starting VM listed a stopped one for 4.5 s, until its row expired.
    """
    clock = ManualClock()
    vms = VmList(clock, make_row("own"))
    for name in ("gone", "a"):
        vms.update(make_row(name), is_new=False)
    # All VMs may have restarted together.
    assert list_serving(vms) == ["a", "gone", "own"]
    clock.advance(timedelta(seconds=1))
    vms.update(make_row("a", renewal=2))
    assert list_serving(vms) == ["a", "own"]


def test_rows_of_a_snapshot_leave_the_renewal_state_of_vms_unchanged():
    """Once the store has deleted old records, the newest rows are read again."""
    vms = make_list(ManualClock(), "a", "b")
    vms.update(make_row("a", renewal=2), is_new=False)
    vms.update(make_row("c", renewal=2), is_new=False)
    assert list_serving(vms) == ["a", "b", "own"]


def test_a_row_that_is_read_again_renews_nothing():
    """A VM that had stopped in an outage was listed for 4.5 s after its end."""
    clock = ManualClock()
    vms = make_list(clock, "a", "b")
    expired = []
    while clock.elapsed() <= ROW_EXPIRY:
        clock.advance(ROW_EXPIRY / 9)
        vms.update(make_row("a"), is_new=False)
        vms.update(make_row("b", renewal=2), is_new=False)
        expired += vms.expire()
    assert expired == ["a"]
    vms.update(make_row("a"), is_new=False)
    assert list_serving(vms) == ["b", "own"]


def test_a_silent_vm_is_unlisted_before_its_row_expires():
    clock = ManualClock()
    vms = make_list(clock, "a", "b", "c")
    vms.set_silence_lookup(lambda name: ROW_EXPIRY if name == "a" else timedelta())
    for _ in range(3):
        renew(vms, clock, ["b", "c"])
    assert "a" not in list_serving(vms)
    assert vms.count() == 4


def test_a_vm_that_was_silent_for_over_a_second_stays_listed():
    """Its datagrams come twice in a second, and its rows every 1.2 s."""
    clock = ManualClock()
    vms = make_list(clock, "a", "b", "c")
    silence = timedelta(seconds=0.5 + 1.5)
    vms.set_silence_lookup(lambda name: silence if name == "a" else timedelta())
    clock.advance(timedelta(seconds=1.2 + 1.5))
    for name in ("b", "c"):
        vms.update(make_row(name, renewal=2))
    assert vms.expire() == []
    assert "a" in list_serving(vms)


def test_a_vm_without_contact_to_any_other_keeps_the_list():
    clock = ManualClock()
    vms = make_list(clock, "a", "b", "c")
    vms.set_silence_lookup(lambda name: ROW_EXPIRY)
    clock.advance(timedelta(seconds=3))
    assert len(list_serving(vms)) == 4


def test_a_standby_vm_stays_listed_without_datagrams():
    clock = ManualClock()
    vms = make_list(clock, "a", "b", "c")
    vms.update(make_row("a", renewal=2)._replace(is_active=False))
    vms.set_silence_lookup(lambda name: ROW_EXPIRY if name == "a" else timedelta())
    clock.advance(timedelta(seconds=3))
    assert "a" in list_serving(vms)


def test_standby_vms_do_not_hide_that_this_one_is_partitioned():
    """Silent VMs are compared with the active ones, as standby VMs send nothing."""
    clock = ManualClock()
    vms = make_list(clock, "a", "b")
    for name in "cdefgh":
        vms.update(make_row(name)._replace(is_active=False))
    vms.set_silence_lookup(lambda name: ROW_EXPIRY if name in "ab" else None)
    clock.advance(timedelta(seconds=3))
    assert {"a", "b"} <= set(list_serving(vms))


def test_demand_is_summed_over_the_others():
    vms = make_list(ManualClock())
    vms.update(make_row("a")._replace(demand={"plume": 10.0}))
    vms.update(make_row("b")._replace(demand={"plume": 5.0, "encre": 1.0}))
    assert vms.sum_demand("plume") == 15.0
    assert vms.sum_demand("nobody") == 0.0


def test_vms_without_a_datagram_address_are_no_peers():
    vms = make_list(ManualClock(), "a")
    vms.update(make_row("b")._replace(peer_address="10.0.0.2:7340"))
    assert vms.list_peers(["a", "b", "own"]) == [("10.0.0.2", 7340)]


def test_lenders_are_active_vms_that_sent_a_datagram_recently():
    vms = make_list(ManualClock())
    for name in "abc":
        vms.update(make_row(name)._replace(peer_address=f"10.0.0.2:{ord(name)}"))
    vms.set_silence_lookup(lambda name: timedelta() if name in "ab" else None)
    ranked = vms.rank_lenders("plume", ["b", "c"])
    assert {row.name for row in ranked} == {"b", "own"}


def test_vms_are_ranked_by_a_customers_demand():
    vms = make_list(ManualClock(), "c")
    vms.update(make_row("a")._replace(demand={"plume": 100.0}))
    vms.update(make_row("b")._replace(demand={"plume": 3000.0}))
    names = ["a", "b", "c", "own"]
    assert vms.rank_by_demand("plume", names, 500.0)[:3] == ["b", "own", "a"]
    before = vms.rank_by_demand("plume", names, 520.0)
    vms.update(make_row("a", renewal=2)._replace(demand={"plume": 110.0}))
    assert vms.rank_by_demand("plume", names, 1000.0) == before


def test_domain_peers_are_the_other_vms_of_the_failure_domain():
    vms = make_list(ManualClock(), "a")
    vms.update(make_row("b", domain="brest"))
    assert vms.list_domain_peers() == ["a"]


@pytest.mark.parametrize("seconds", [0, 1, 10])
def test_a_delayed_row_written_before_a_vm_left_does_not_relist_it(seconds):
    clock = ManualClock()
    vms = make_list(clock, "a")
    vms.update(make_row("a", renewal=3, is_leaving=True))
    for _ in range(seconds):
        renew(vms, clock, [])
    assert not vms.update(make_row("a", renewal=2))
    assert list_serving(vms) == ["own"]
    assert vms.update(make_row("a", renewal=1)._replace(incarnation="b"))
    assert list_serving(vms) == ["a", "own"]


def follow(vms, clock, renewing, duration, interval):
    """Read rows every ``interval``; VMs of ``renewing`` renew theirs each time."""
    for renewal in range(2, 2 + duration // interval):
        clock.advance(interval)
        for name in renewing:
            vms.update(make_row(name, renewal=renewal))
        vms.expire()


def test_killed_vms_are_unlisted_in_time_by_a_standby_vm():
    """Most VMs were killed at once, so that their silence says nothing by itself.

    The last rows are read 1.2 s after they were written, and the working set is 0.4 s
    old: 4.4 s are left of the stable window and 3 s.
    """
    clock = ManualClock()
    expiry = find_listing_expiry(timedelta(seconds=3))
    vms = VmList(clock, make_row("own"), expiry)
    for name in "abcd":
        vms.update(make_row(name))
    vms.set_silence_lookup(lambda name: None if name == "d" else clock.elapsed())
    follow(vms, clock, "d", timedelta(seconds=4.2), timedelta(seconds=1.2))
    clock.advance(timedelta(seconds=0.6))
    assert list_serving(vms) == ["d", "own"]


def test_a_vm_that_is_heard_stays_listed_without_renewals():
    """The store rejected a VM for 9 s, and its callers were sent elsewhere."""
    clock = ManualClock()
    vms = make_list(clock, "a", "b")
    vms.set_silence_lookup(lambda name: timedelta(seconds=0.5) if name == "a" else None)
    follow(vms, clock, "b", timedelta(seconds=9), timedelta(seconds=0.6))
    assert list_serving(vms) == ["a", "b", "own"]


def test_a_vm_that_starts_alone_soon_drops_vms_of_before():
    clock = ManualClock()
    vms = VmList(clock, make_row("own"))
    vms.update(make_row("gone"), is_new=False)
    follow(vms, clock, "", timedelta(seconds=3), timedelta(seconds=0.6))
    assert list_serving(vms) == ["own"]


def test_a_vm_without_readings_lists_vms_whose_rows_got_old():
    clock = ManualClock()
    vms = make_list(clock, "a")
    follow(vms, clock, "a", timedelta(seconds=3), timedelta(seconds=0.6))
    clock.advance(timedelta(seconds=8))
    assert list_serving(vms) == ["a", "own"]
    vms.expire()
    assert list_serving(vms) == ["a", "own"]


def test_standby_vms_that_may_lend_are_not_active_and_not_leaving():
    """In an outage of its own, a VM asked only active VMs, which had nothing left."""
    vms = make_list(ManualClock(), "a", "b", "c")
    for name in "abc":
        vms.update(
            make_row(name, 2, is_leaving=name == "c")._replace(peer_address=f"{name}:9")
        )
    assert [row.name for row in vms.rank_standby("plume", ["a"])] == ["b"]


def test_hosts_of_other_vms_are_known_until_they_are_dropped():
    """Connections from VMs may be forwarded ones, and are not forwarded again."""
    clock = ManualClock()
    vms = make_list(clock, "a")
    assert not vms.is_vm("10.0.0.2")
    vms.update(make_row("b")._replace(peer_address="10.0.0.2:90"))
    assert vms.is_vm("10.0.0.2") and not vms.is_vm("10.0.0.3")
    vms.update(make_row("b", renewal=2)._replace(peer_address="10.0.0.3:90"))
    assert vms.is_vm("10.0.0.3") and not vms.is_vm("10.0.0.2")
    for _ in range(6):
        renew(vms, clock, ["a"])
    assert not vms.is_vm("10.0.0.3")
