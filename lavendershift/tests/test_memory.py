"""Tests of the memory budget.

Guards against callers that fill the memory with parts of requests, and against limits
that an ordinary or a single large request would meet.
"""

from datetime import timedelta

import pytest

from lavendershift.memory.budgets import MemoryBudget, Phase
from lavendershift.memory.limits import count_server_connections, derive_limits

KILOBYTE, MEGABYTE = 1024, 1024 * 1024
LARGEST = 8 * MEGABYTE  # what the largest body within the default limits takes
SECOND = timedelta(seconds=1)


class ManualClock:
    def __init__(self):
        self.now = timedelta(seconds=100)

    def elapsed(self):
        return self.now


class World:
    """A budget, and callers whose evictions close their holdings."""

    def __init__(self, total=64 * MEGABYTE):
        self.clock = ManualClock()
        self.budget = MemoryBudget(self.clock, total)
        self.evicted = []

    def open(self, name, size=0, owner=None, phase=Phase.READING):
        def evict():
            self.evicted.append(name)
            holding.close()

        holding = self.budget.open((owner or name,), evict)
        holding.resize(size)
        holding.begin(phase)
        return holding

    def has_room(self, name, size, owner=None):
        return self.budget.has_room(self.open(name, owner=owner), size)


@pytest.mark.parametrize("memory_mb, max_fds", [(160, 1638), (552, 10250), (60, 100)])
def test_the_limits_leave_room_for_the_process(memory_mb, max_fds):
    limits = derive_limits(memory_mb, max_fds)
    assert (
        0 < limits.held_bytes < memory_mb * MEGABYTE - min(50, memory_mb / 2) * MEGABYTE
    )
    if max_fds > 200:
        connections = limits.caller_connections + limits.directory_connections
        assert connections < (max_fds - 200) * 0.7


@pytest.mark.parametrize("max_fds", [1000, 1638, 10250])
def test_connections_to_servers_leave_the_reserved_descriptors(max_fds):
    """They were not limited, so that the store or a listener could find none."""
    limits = derive_limits(160, max_fds)
    most_of_callers = int(limits.caller_connections * 1.25)  # open and lingering
    status = limits.directory_connections + 32 + 16
    for callers in (0, limits.caller_connections, most_of_callers):
        to_servers = count_server_connections(limits, callers)
        assert 0 < to_servers <= max_fds - 200 - status - callers
    assert count_server_connections(limits, 10**6) > 0


def test_the_largest_request_fits_on_the_smallest_vm():
    world = World(derive_limits(160, 1638).held_bytes)
    assert world.has_room("a", LARGEST)


def test_a_single_request_fits_though_it_exceeds_the_budget():
    world = World()
    world.open("small", 100 * KILOBYTE)
    assert world.has_room("a", 100 * MEGABYTE)
    world.open("large", 200 * KILOBYTE)
    assert not world.has_room("b", 100 * MEGABYTE)


def test_large_bodies_leave_room_for_small_requests():
    world = World()
    count = 0
    while world.has_room(f"test-{count}", LARGEST):
        world.open(str(count), LARGEST)
        count += 1
    assert count == 6  # three quarters of the budget
    assert world.has_room("small", 100 * KILOBYTE)


@pytest.mark.parametrize("is_customer", [False, True])
def test_an_owner_gets_half_of_the_budget(is_customer):
    world = World()
    for number in range(4):
        holding = world.open(str(number), LARGEST, None if is_customer else "one")
        if is_customer:
            world.budget.add_owner(holding, "one")
    assert not world.has_room("more", LARGEST, "one")
    assert world.has_room("other", LARGEST, "two")
    world.budget.drop_owners(holding, holding.owners[:1])
    assert world.has_room("more", LARGEST, "one") is is_customer


def test_slow_holdings_are_ended_the_oldest_and_largest_first():
    world = World()
    world.open("running", 20 * MEGABYTE, phase=Phase.RUNNING)
    world.open("waiting", 10 * MEGABYTE, phase=Phase.WAITING)
    world.open("small", 200 * KILOBYTE)
    world.open("large", 9 * MEGABYTE)
    world.clock.now += 3 * SECOND
    world.open("new", 9 * MEGABYTE)
    world.clock.now += 2 * SECOND
    asking = world.open("asking")
    assert world.budget.evict_slow(asking, LARGEST) == 1
    assert world.evicted == ["large"]
    assert world.budget.has_room(asking, LARGEST)


def test_a_caller_that_sends_fast_enough_is_not_slow():
    world = World()
    holding = world.open("a", LARGEST)
    for _ in range(8):
        world.clock.now += SECOND
        holding.note_progress()
        assert world.budget.find_slow() == []
    world.clock.now += 1.5 * SECOND
    holding.note_progress()
    assert world.budget.find_slow() == [holding]


def test_closed_holdings_return_everything():
    world = World()
    holdings = [world.open(str(n), LARGEST, "one") for n in range(3)]
    for holding in holdings:
        world.budget.add_owner(holding, "customer")
        holding.close()
        holding.resize(LARGEST)  # a late change
    assert world.budget.used == 0
    assert world.has_room("a", 100 * MEGABYTE, "one")


def test_the_connection_that_is_idle_for_longest_is_found():
    world = World()
    world.open("reading", KILOBYTE)
    first = world.open("a", KILOBYTE, phase=Phase.IDLE)
    assert world.budget.find_longest_idle() is None
    world.clock.now += 2 * SECOND
    world.open("b", KILOBYTE, phase=Phase.IDLE)
    assert world.budget.find_longest_idle() is first


def test_a_customer_over_its_share_ends_no_one_elses_slow_callers():
    """One customer's fifth large body ended all callers that paused for a second."""
    world = World(100 * MEGABYTE)
    for number in range(3):
        world.open(f"paused-{number}", MEGABYTE, phase=Phase.SENDING)
    world.open("large", 45 * MEGABYTE, owner="big", phase=Phase.RUNNING)
    new = world.open("new", owner="big")
    world.clock.now += 2 * SECOND
    assert not world.budget.has_room(new, 10 * MEGABYTE)
    assert world.budget.evict_slow(new, 10 * MEGABYTE) == 0
    assert not world.evicted


def test_small_requests_fit_beside_a_large_one_that_exceeds_the_budget():
    """All of them were refused until a response of 100 MB had been read."""
    world = World()  # 64 MB
    holding = world.open("large", 200 * MEGABYTE, phase=Phase.SENDING)
    for number in range(160):  # 16 MB are kept for them
        assert world.has_room(f"test-{number}", 100 * KILOBYTE)
        world.open(str(number), 100 * KILOBYTE)
    while world.has_room("test", 100 * KILOBYTE):
        number += 1
        world.open(str(number), 100 * KILOBYTE)
        assert number < 200
    assert not world.has_room("b", MEGABYTE)
    holding.close()
    assert world.has_room("small", 100 * KILOBYTE)


def test_a_holding_that_becomes_small_or_large_is_counted_where_it_belongs():
    world = World(16 * MEGABYTE)
    world.open("large", 200 * MEGABYTE)
    grown = [world.open(str(n), 100 * KILOBYTE) for n in range(40)]
    assert not world.has_room("test", 100 * KILOBYTE)
    grown[0].resize(MEGABYTE)
    assert world.has_room("test", 100 * KILOBYTE)
    grown[0].resize(100 * KILOBYTE)
    assert not world.has_room("test", 100 * KILOBYTE)
    grown[0].close()
    assert world.has_room("test", 100 * KILOBYTE)
