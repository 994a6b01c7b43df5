"""Limits of servers in fleets of several sizes, under random schedules of faults.

The bound is that of the users' pages, whatever happens to datagrams, VMs and the store.
Only the requests of VMs that are stopped, restarted or cut off are left out of it.
"""

import random

import pytest

from lavendershift.tests.limitbounds import find_excess
from lavendershift.tests.limitsimulation import LimitFleet

START_S = 3.0
SIZES = [8, 66, 195, 330]


def find_violations(fleet):
    """Return the windows in which a server got more than it allows."""
    violations = []
    for server in fleet.servers:
        arrivals = [(at, vm) for at, vm in server.arrivals if not vm.is_excused(at)]
        named = [(vm, at) for vm, at in server.forwarded if not vm.is_excused(at)]
        violations += [
            f"{server.name} at {each}"
            for each in find_excess(server.find_highest, arrivals, named)
        ]
    return violations


def measure_rate(server, since, until):
    """Return the requests/s that reached a server."""
    return sum(since < at <= until for at, _ in server.arrivals) / (until - since)


@pytest.mark.parametrize("vms", SIZES)
@pytest.mark.parametrize("limit", [1.2, 20.0])
def test_a_limit_is_kept_and_used_by_fleets_of_all_sizes(vms, limit):
    fleet = LimitFleet(1, vms, demand=max(100.0, vms / 2))
    server = fleet.servers[0]
    fleet.run(25, [(START_S, server.set_limit, START_S, limit)])
    assert find_violations(fleet) == []
    assert 0.7 * limit <= measure_rate(server, 10, 25) <= limit + 0.3
    # The other servers have no limit, so that nothing has to be refused.
    assert fleet.refused == 0


@pytest.mark.parametrize("vms", [8, 195])
def test_limits_of_all_servers_are_kept_and_used(vms):
    fleet = LimitFleet(2, vms, demand=60.0)
    limits = [1.2, 4.0, 20.0]
    fleet.run(
        25,
        [
            (START_S, server.set_limit, START_S, limit)
            for server, limit in zip(fleet.servers, limits, strict=True)
        ],
    )
    assert find_violations(fleet) == []
    for server, limit in zip(fleet.servers, limits, strict=True):
        assert 0.7 * limit <= measure_rate(server, 10, 25) <= limit + 0.3
    assert fleet.refused > 0


@pytest.mark.parametrize("vms", [8, 195])
def test_lost_datagrams_lower_the_rate_only(vms):
    fleet = LimitFleet(3, vms, demand=100.0, loss=0.3)
    server = fleet.servers[0]
    fleet.run(25, [(START_S, server.set_limit, START_S, 4.0)])
    assert find_violations(fleet) == []
    assert measure_rate(server, 10, 25) >= 1.0


@pytest.mark.parametrize("limit", [1.2, 20.0])
def test_a_limit_is_kept_and_used_by_vms_whose_event_loops_pause(limit):
    """On a busy machine, replies for permits come late."""
    fleet = LimitFleet(6, 8, demand=100.0, pause_s=0.6)
    server = fleet.servers[0]
    fleet.run(25, [(START_S, server.set_limit, START_S, limit)])
    assert find_violations(fleet) == []
    assert 0.7 * limit <= measure_rate(server, 10, 25) <= limit + 0.3


@pytest.mark.parametrize("vms", [8, 195])
def test_the_end_of_a_limit_reaches_all_vms(vms):
    fleet = LimitFleet(4, vms, demand=100.0)
    server = fleet.servers[0]
    fleet.run(
        20,
        [
            (START_S, server.set_limit, START_S, 1.2),
            (10, server.set_limit, 10, None),
        ],
    )
    assert measure_rate(server, 13, 20) > 20
    active = [vm for vm in fleet.vms if vm.is_active]
    known = {vm.servers.limits.find((server.name, server.born)) for vm in active}
    assert known == {None}


def test_the_loss_of_the_keeper_stops_permits_for_seconds_only():
    fleet = LimitFleet(5, 66, demand=100.0)
    server = fleet.servers[0]
    keepers = []

    def kill_keeper():
        (keeper,) = [v for v in fleet.vms if v._find_keeper(server.name) is None]
        keepers.append(keeper)
        fleet.stop_vm(keeper, 60, is_restarted=False)

    fleet.run(20, [(START_S, server.set_limit, START_S, 4.0), (10, kill_keeper)])
    assert find_violations(fleet) == []
    assert 0.6 * 4.0 <= measure_rate(server, 14, 20) <= 4.5
    assert keepers[0] not in [vm for at, vm in server.arrivals if at > 10.1]


class RandomFaults:
    """Injects faults at random times until ``end``."""

    def __init__(self, fleet, seed, end):
        self.fleet, self.end = fleet, end
        self.rng = random.Random(f"faults/{seed}")

    def inject(self):
        fleet, rng = self.fleet, self.rng
        now = fleet.loop.time()
        server = rng.choice(fleet.servers)
        vm = rng.choice(fleet.vms)
        kinds = [
            lambda: server.set_limit(now, rng.choice([0.0, 0.4, 1.2, 4.0, 11.5])),
            lambda: server.set_limit(now, rng.choice([1.0, 1.3, 20.0])),
            lambda: server.set_limit(now, None),
            lambda: fleet.restart_server(server),
            lambda: fleet.stop_vm(vm, rng.uniform(0.3, 5), is_restarted=False),
            lambda: fleet.stop_vm(vm, rng.uniform(0.3, 3), is_restarted=True),
            lambda: fleet.cut_vm(vm, rng.uniform(0.5, 8)),
            self.cut_half,
            self.stop_leaders,
            self.stop_store,
        ]
        if not vm.is_down:
            rng.choice(kinds)()
        if now < self.end:
            fleet.loop.call_later(rng.uniform(0.2, 3), self.inject)

    def cut_half(self):
        for vm in self.rng.sample(self.fleet.vms, len(self.fleet.vms) // 2):
            self.fleet.cut_vm(vm, 6)

    def stop_leaders(self):
        """Stop the keepers of all servers at once."""
        for server in self.fleet.servers:
            for vm in self.fleet.vms:
                if not vm.is_down and vm._find_keeper(server.name) is None:
                    self.fleet.stop_vm(vm, 4, is_restarted=True)

    def stop_store(self):
        self.fleet.is_store_down = True
        length_s = self.rng.uniform(1, 8)
        self.fleet.loop.call_later(length_s, self._start_store)

    def _start_store(self):
        self.fleet.is_store_down = False


def run_schedule(seed, vms=8, pause_s=0.0):
    fleet = LimitFleet(seed, vms, demand=60.0, loss=0.03, pause_s=pause_s)
    schedule = [
        (START_S, server.set_limit, START_S, limit)
        for server, limit in zip(fleet.servers, (1.2, 4.0, None), strict=True)
    ]
    faults = RandomFaults(fleet, seed, end=32)
    fleet.run(36, [*schedule, (4, faults.inject)])
    return find_violations(fleet)


@pytest.mark.parametrize("first", range(0, 32, 8))
def test_no_schedule_of_faults_exceeds_a_limit(first):
    for seed in range(first, first + 8):
        assert run_schedule(seed) == [], f"seed {seed}"


@pytest.mark.parametrize("first", [0, 8])
def test_no_schedule_of_faults_exceeds_a_limit_while_event_loops_pause(first):
    """A permit in a late reply is used later than it was granted."""
    for seed in range(first, first + 8):
        assert run_schedule(seed, pause_s=0.8) == [], f"seed {seed}"


@pytest.mark.parametrize("vms", SIZES[1:])
def test_no_schedule_of_faults_exceeds_a_limit_in_large_fleets(vms):
    assert run_schedule(100 + vms, vms) == []
