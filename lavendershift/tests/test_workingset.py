from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import ManualClock
from lavendershift.workingset import (
    TARGET_UTILIZATION,
    Activity,
    WorkingSet,
    apply_hysteresis,
    choose_active,
    estimate_capacity,
)

DOMAINS = ("rennes", "quimper", "brest", "lorient", "vannes")
SECOND = timedelta(seconds=1)


class Member(NamedTuple):
    name: str
    failure_domain: str
    capacity: float
    arrivals: float


def make_fleet(small=36, large=3, domains=DOMAINS, arrivals=0.0):
    """Return the members of a fleet like that of a large site."""
    return [
        Member(
            f"{domain}-{number}", domain, 215.0 if number < large else 51.6, arrivals
        )
        for domain in domains
        for number in range(small + large)
    ]


class Fleet:
    """A working set whose members a test can change."""

    def __init__(self, members):
        self.clock = ManualClock()
        self.members = members
        self.working_set = WorkingSet(self.clock, lambda: self.members)

    def list_for(self, domain="rennes"):
        self.clock.advance(SECOND)
        return self.working_set.list_for(domain)

    def serve(self, requests):
        """Spread ``requests``/s in each domain over its active VMs."""
        active = self.working_set.find_active()
        self.members = [
            member._replace(
                arrivals=requests / len(active[member.failure_domain])
                if member.name in active[member.failure_domain]
                else 0.0
            )
            for member in self.members
        ]
        self.clock.advance(SECOND)


def test_large_fleet_activates_few_vms():
    """195 VMs would split each budget into shares smaller than one request."""
    fleet = Fleet(make_fleet())
    for _ in range(5):
        fleet.serve(55)
    names = fleet.working_set.list_names()
    assert len(fleet.members) == 195
    assert 5 <= len(names) <= 20
    assert all(int(name.partition("-")[2]) < 3 for name in names)


def test_number_of_active_vms_follows_the_load():
    fleet = Fleet(make_fleet())
    for requests in (10, 100, 400):
        for _ in range(5):
            fleet.serve(requests)
        carried = sum(
            member.capacity * TARGET_UTILIZATION
            for member in fleet.members
            if fleet.working_set.includes(member.name)
        )
        assert requests * len(DOMAINS) <= carried <= requests * len(DOMAINS) * 2 + 215


def test_load_fluctuations_do_not_change_the_set():
    fleet = Fleet(make_fleet())
    for _ in range(5):
        fleet.serve(120)
    before = fleet.working_set.list_names()
    for requests in (100, 135, 90, 120, 80, 140):
        fleet.serve(requests)
        assert fleet.working_set.list_names() == before


def test_provided_loads_fall_only_when_the_load_has_halved():
    loads = apply_hysteresis({}, {"rennes": 100.0})
    assert apply_hysteresis(loads, {"rennes": 60.0}) == loads
    assert apply_hysteresis(loads, {"rennes": 30.0})["rennes"] < 50


def test_failed_vm_is_replaced_without_other_changes():
    members = make_fleet()
    loads = dict.fromkeys(DOMAINS, 150.0)
    before = choose_active(members, loads)
    failed = before["brest"][0]
    after = choose_active([m for m in members if m.name != failed], loads)
    assert after["rennes"] == before["rennes"]
    assert set(before["brest"]) - {failed} <= set(after["brest"])


def test_sets_computed_from_different_loads_are_nested():
    members = make_fleet()
    for lower, higher in ((0, 30), (50, 60), (100, 300)):
        small = choose_active(members, dict.fromkeys(DOMAINS, lower))
        large = choose_active(members, dict.fromkeys(DOMAINS, higher))
        for domain in DOMAINS:
            assert large[domain][: len(small[domain])] == small[domain]


def test_domain_keeps_its_number_of_active_vms_after_a_failure():
    """The load of a failed VM is missing until its callers have found others."""
    fleet = Fleet(make_fleet())
    for _ in range(5):
        fleet.serve(120)
    before = fleet.working_set.find_active()["rennes"]
    failed = before[0]
    fleet.members = [member for member in fleet.members if member.name != failed]
    fleet.clock.advance(SECOND)
    after = fleet.working_set.find_active()["rennes"]
    assert len(after) >= len(before)
    assert failed not in after


def test_load_of_an_unlisted_vm_activates_no_others():
    """Guards against 14 VMs activated by 130 requests/s that stayed at a small VM."""
    fleet = Fleet(make_fleet())
    for _ in range(5):
        fleet.serve(20)
    before = fleet.working_set.list_names()
    loaded = next(m for m in fleet.members if m.name not in before)
    fleet.members = [
        m._replace(arrivals=130.0) if m is loaded else m for m in fleet.members
    ]
    fleet.clock.advance(SECOND)
    assert fleet.working_set.list_names() == before


def test_callers_get_the_vms_of_their_domain_and_a_second_one():
    fleet = Fleet(make_fleet(small=2, large=0, domains=DOMAINS[:3]))
    listed = {domain: fleet.list_for(domain) for domain in DOMAINS[:3]}
    for domain, names in listed.items():
        assert len(names) == 2
        assert names[0].startswith(domain)
    assert len({name for names in listed.values() for name in names}) == 3


def test_callers_of_a_domain_without_vms_get_those_of_others():
    fleet = Fleet(make_fleet(domains=DOMAINS[:2]))
    assert len(fleet.list_for("vannes")) == 2
    assert Fleet([]).list_for("vannes") == []


def test_vm_removed_from_the_set_stays_active_while_it_has_callers():
    fleet = Fleet(make_fleet(small=2, large=0))
    name = fleet.working_set.list_names()[0]
    activity = Activity(fleet.clock, fleet.working_set, name)
    for _ in range(50):
        activity.note_arrival()
    fleet.members = [member for member in fleet.members if member.name != name]
    fleet.clock.advance(SECOND)
    assert not fleet.working_set.includes(name)
    assert activity.is_active()
    fleet.clock.advance(60 * SECOND)
    assert not activity.is_active()


def test_started_vm_is_active_only_if_it_is_in_the_set_of_the_fleet():
    """Guards against large shares reserved by each VM while it knows of no other."""
    fleet = Fleet(make_fleet(small=1, large=0, domains=DOMAINS[:1]))
    activity = Activity(fleet.clock, fleet.working_set, "rennes-0")
    assert activity.is_active()
    fleet.members = make_fleet(small=8, large=1, domains=DOMAINS[:1])[1:]
    fleet.clock.advance(SECOND)
    assert activity.is_active() == fleet.working_set.includes("rennes-0")


def test_standby_vm_with_callers_becomes_active():
    """Other VMs may have computed another set and direct callers here."""
    fleet = Fleet(make_fleet(small=2, large=0))
    name = next(m.name for m in fleet.members if not fleet.working_set.includes(m.name))
    activity = Activity(fleet.clock, fleet.working_set, name)
    assert not activity.is_active()
    for _ in range(30):
        activity.note_arrival()
        fleet.clock.advance(SECOND / 5)
    assert activity.is_active()
    assert activity.measure_arrivals() > 2


def test_occasional_probe_requests_activate_no_vm():
    """Guards against reservations at 66 VMs for configuration checks sent to all."""
    fleet = Fleet(make_fleet(small=2, large=0))
    name = next(m.name for m in fleet.members if not fleet.working_set.includes(m.name))
    activity = Activity(fleet.clock, fleet.working_set, name)
    for _ in range(60):
        activity.note_arrival()
        fleet.clock.advance(SECOND)
        assert not activity.is_active()
    assert activity.measure_arrivals() == 0


def test_network_link_may_limit_the_capacity_of_a_vm():
    assert estimate_capacity(1.0, 1000) == 100
    assert estimate_capacity(2.15, 5) < 30
