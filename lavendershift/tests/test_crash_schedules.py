"""Deadly prompts in fleets of several sizes, under random schedules of faults.

The bound is that of the users' pages: after five crashes and three seconds, three more
requests with a deadly part may reach servers. Requests of VMs that are stopped,
restarted or cut off are left out of it.
"""

import random

import pytest

from lavendershift.quarantine import FIRST_TRIAL_DELAY
from lavendershift.tests.crashsimulation import CrashFleet

START_S = 5.0
SIZES = [8, 66, 195, 330]
MAX_CRASHES = 5
STABLE_WINDOW_S = 3.0
MAX_LATE = 3


def count_late(fleet):
    """Return how many deadly requests reached servers after the bound."""
    if len(fleet.crashes) < MAX_CRASHES:
        return 0
    since = fleet.crashes[MAX_CRASHES - 1] + STABLE_WINDOW_S
    return sum(at > since and not vm.is_excused(at) for at, vm in fleet.deadly_arrivals)


def list_sound(fleet, deadly=("dead",)):
    """Return the quarantines without a deadly part."""
    return [parts for parts in fleet.quarantined if not set(deadly) & set(parts)]


def schedule_deadly(fleet, rate, until_s, part="dead", start_s=START_S):
    count = int((until_s - start_s) * rate)
    return [(start_s + n / rate, fleet.send_deadly, part) for n in range(count)]


@pytest.mark.parametrize("vms", SIZES)
@pytest.mark.parametrize("rate", [0.5, 4.0])
def test_deadly_prompts_are_stopped_in_fleets_of_all_sizes(vms, rate):
    fleet = CrashFleet(1, vms, demand=max(40.0, vms / 2))
    fleet.run(25, schedule_deadly(fleet, rate, 25))
    assert 2 <= len(fleet.crashes) <= MAX_CRASHES
    assert count_late(fleet) == 0
    assert list_sound(fleet) == []
    assert fleet.blocked["sound"] == 0
    assert fleet.blocked["deadly"] > 0


@pytest.mark.parametrize("vms", [8, 195])
def test_one_trial_a_time_is_made_by_all_vms_together(vms):
    delay_s = FIRST_TRIAL_DELAY.total_seconds()
    until_s = START_S + 3 * delay_s + 10  # the time of two trials
    fleet = CrashFleet(3, vms, demand=20.0)
    fleet.run(until_s, schedule_deadly(fleet, 2.0, until_s))
    trials = [at for at in fleet.crashes if at > START_S + delay_s]
    assert len(trials) == 2
    assert count_late(fleet) == 0


@pytest.mark.parametrize("vms", [8, 195])
def test_a_sound_part_is_freed_by_the_trial(vms):
    """The servers get new weights while the part is in quarantine."""
    fleet = CrashFleet(4, vms, demand=20.0)
    delay_s = FIRST_TRIAL_DELAY.total_seconds()
    until_s = START_S + delay_s + 15
    schedule = schedule_deadly(fleet, 2.0, until_s)
    fleet.run(until_s, [*schedule, (20.0, fleet.deadly.clear)])
    assert len(fleet.crashes) <= 3
    active = [vm for vm in fleet.vms if vm.quarantine.list_active()]
    assert active == []


def test_two_deadly_parts_are_stopped(vms=66):
    fleet = CrashFleet(5, vms, servers=12)
    fleet.deadly.add("second")
    schedule = schedule_deadly(fleet, 1.0, 25)
    fleet.run(25, [*schedule, *schedule_deadly(fleet, 1.3, 25, "second", 5.3)])
    assert len(fleet.crashes) <= 2 * MAX_CRASHES
    assert list_sound(fleet, ("dead", "second")) == []


@pytest.mark.parametrize("vms", [8, 66])
@pytest.mark.parametrize("gap_s", [0.05, 1.0])
def test_crashes_without_a_deadly_part_condemn_no_part(vms, gap_s):
    fleet = CrashFleet(6, vms, servers=12, demand=60.0)
    crashes = [
        (START_S + number * gap_s, fleet.crash, server)
        for number, server in enumerate(fleet.backends)
    ]
    again = [(at + 10.0, function, server) for at, function, server in crashes]
    fleet.run(35, [*crashes, *again])
    assert len(fleet.crashes) == 24
    assert fleet.quarantined == {}


@pytest.mark.parametrize("seed", range(24))
def test_deadly_prompts_are_stopped_under_faults(seed):
    rng = random.Random(seed)
    vms = rng.choice([8, 8, 66])
    fleet = CrashFleet(seed, vms, servers=rng.choice([3, 6, 24]), loss=rng.random() / 4)
    schedule = schedule_deadly(fleet, rng.uniform(0.3, 3.0), 30)
    for _ in range(6):
        vm = rng.choice(fleet.vms)
        for_s = rng.uniform(0.2, 6.0)
        fault = rng.choice(
            [
                (fleet.stop_vm, vm, for_s, True),
                (fleet.stop_vm, vm, for_s, False),
                (fleet.cut_vm, vm, for_s),
                (fleet.crash, rng.choice(fleet.backends)),
                (setattr, fleet, "is_store_down", rng.random() < 0.5),
            ]
        )
        schedule.append((rng.uniform(1.0, 25.0), *fault))
    fleet.run(30, schedule)
    assert count_late(fleet) <= MAX_LATE
    assert list_sound(fleet) == []


def test_a_vm_that_restarts_learns_the_quarantine():
    fleet = CrashFleet(7, 8)
    vm = fleet.vms[3]
    fleet.run(
        22, [*schedule_deadly(fleet, 2.0, 15), (16.0, fleet.stop_vm, vm, 1.0, True)]
    )
    assert vm.starts == 2
    assert vm.quarantine.list_active()
