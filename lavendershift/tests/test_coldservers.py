"""Tests of the limits of cold servers."""

import asyncio
import random
from datetime import timedelta

import pytest

from lavendershift.clocks import ManualClock
from lavendershift.datagrams import Datagrams
from lavendershift.evacuation.coldgossip import ColdGossip, ServerCold
from lavendershift.evacuation.coldservers import (
    MIN_PRESUMPTION,
    SAVED_PERMITS,
    ColdBounds,
    ColdService,
    find_cold_rate,
)
from lavendershift.permits import PermitBuckets, Permits
from lavendershift.serverlimits import ServerLimits
from lavendershift.serverlist import ServerList
from lavendershift.serverstates import NO_PROMPT, ServerEntry

SECOND = timedelta(seconds=1)
BOUNDS = ColdBounds(1.5, 5.0)
ENTRY = ServerEntry("i-0", "index", "10.0.0.1:80", "rennes", 64, False, 1000, 1)


@pytest.fixture
def clock():
    return ManualClock()


def make_servers(clock, count=1):
    servers = ServerList(clock, random.Random(1))
    servers.cold.bounds = BOUNDS
    servers.cold.services = {"index": ColdService(3.0, 9 * SECOND)}
    for number in range(count):
        servers.update(ENTRY._replace(id=f"i-{number}"))
    servers.note_reading()
    return servers


def find_rate(servers):
    return servers.find_limit(servers.find("i-0"))


@pytest.mark.parametrize("rate", [0.1, 3.0, 9.3, 100.0])
@pytest.mark.parametrize("bounds", [BOUNDS, ColdBounds(1.0, 0.0), ColdBounds(1.5, 20)])
def test_permits_of_a_second_keep_a_margin_to_the_bound(rate, bounds):
    permits = find_cold_rate(rate, bounds)
    assert permits <= rate
    bound = rate * bounds.overage + bounds.slack
    assert permits == 0 or permits + SAVED_PERMITS <= bound * 0.8 + 1e-9


def test_nothing_is_limited_without_bounds_or_a_rate(clock):
    servers = make_servers(clock)
    servers.cold.services = {"index": ColdService(0.0, 9 * SECOND)}
    servers.update(ENTRY._replace(sequence=2, cold_remaining=SECOND))
    servers.note_unreachable(servers.find("i-0"))
    assert find_rate(servers) is None
    servers = make_servers(clock)
    servers.cold.bounds = None
    servers.update(ENTRY._replace(sequence=2, cold_remaining=SECOND))
    servers.note_unreachable(servers.find("i-0"))
    assert find_rate(servers) is None


def test_a_stated_coldness_ends_by_itself(clock):
    servers = make_servers(clock)
    servers.update(ENTRY._replace(sequence=2, cold_remaining=SECOND))
    assert find_rate(servers) == 3.0
    clock.advance(SECOND)
    assert find_rate(servers) is None


def test_a_start_limits_a_server_until_its_second_entry(clock):
    servers = make_servers(clock)
    servers.update(ENTRY._replace(born=2000, sequence=0))
    servers.update(ENTRY._replace(born=2000, sequence=0))
    assert find_rate(servers) == 3.0
    servers.update(ENTRY._replace(born=2000, sequence=1))
    assert find_rate(servers) is None


def test_servers_of_the_first_reading_have_not_just_started(clock):
    assert find_rate(make_servers(clock)) is None


def test_an_entry_from_before_an_event_does_not_end_a_presumption(clock):
    """The entry that is read next may have been written before the restart."""
    servers = make_servers(clock)
    servers.note_unreachable(servers.find("i-0"))
    servers.update(ENTRY._replace(sequence=2))
    assert find_rate(servers) == 3.0
    servers.update(ENTRY._replace(sequence=3))
    assert find_rate(servers) is None


def test_a_presumption_ends_without_entries(clock):
    servers = make_servers(clock)
    servers.note_unreachable(servers.find("i-0"))
    clock.advance(8 * SECOND)
    assert find_rate(servers) == 3.0
    clock.advance(MIN_PRESUMPTION)
    assert find_rate(servers) is None


def test_the_lower_of_two_limits_applies(clock):
    servers = make_servers(clock)
    servers.update(ENTRY._replace(sequence=2, cold_remaining=SECOND))
    incarnation = ("i-0", 1000)
    servers.limits.note_response(incarnation, 1.2, None)
    assert find_rate(servers) == 1.2
    servers.limits.note_response(incarnation, 20.0, clock.elapsed())
    assert find_rate(servers) == 3.0


def test_a_refused_request_goes_to_a_warm_server_next(clock):
    """A whole domain came back cold, and a request asked one keeper after another."""
    servers = make_servers(clock, 8)
    for number in range(7):
        servers.update(
            ENTRY._replace(id=f"i-{number}", sequence=2, cold_remaining=9 * SECOND)
        )
    servers.limits.note_refusal(("i-0", 1000), 0, SECOND)
    chosen = {servers.choose("index", NO_PROMPT, ["i-0"]).entry.id for _ in range(20)}
    assert chosen == {"i-7"}


def test_a_keeper_that_does_not_know_the_coldness_uses_that_of_the_request(clock):
    buckets = PermitBuckets(clock, ServerLimits(clock))
    waits = [buckets.take(("i-0", 1000), 0, 3.0) for _ in range(10)]
    assert all(waits)
    clock.advance(SECOND)
    taken = [not buckets.take(("i-0", 1000), 0, 3.0) for _ in range(10)]
    assert sum(taken) == 3


def test_a_request_for_a_permit_holds_the_coldness(clock):
    class Sent(Datagrams):
        def send(self, message, peers):
            messages.append(message)

    messages = []
    servers = make_servers(clock)
    servers.update(ENTRY._replace(sequence=2, cold_remaining=SECOND))
    permits = Permits(clock, servers.limits, Sent(), lambda key: ("10.0.0.9", 1))
    assert not asyncio.run(permits.take(("i-0", 1000), 0))
    assert [message.cold_rate for message in messages] == [3.0]


def test_vms_tell_each_other_of_servers_that_refused_connections(clock):
    """A VM that was cut off from all servers must not limit them for all VMs."""

    class Sent(Datagrams):
        def send(self, message, peers):
            messages.append(message)

    messages = []
    servers, others = make_servers(clock, 2), make_servers(clock, 2)
    ColdGossip(servers, Sent(), lambda: [("10.0.0.9", 1)])
    servers.note_unreachable(servers.find("i-1"))
    for _ in range(2):
        servers.note_unreachable(servers.find("i-0"), is_refused=True)
    assert messages == [ServerCold("i-0", 1000)]
    gossip = ColdGossip(others, Sent(), lambda: [("10.0.0.9", 1)])
    gossip._apply(messages[0], ("10.0.0.8", 1))
    assert find_rate(others) == 3.0
    assert len(messages) == 1


def test_permits_of_servers_in_other_regions_promise_nothing(clock):
    """A caller was told to return to servers that its request may not use."""
    servers = make_servers(clock)
    servers.limits.note_response(("i-0", 1000), 1.0, None)
    servers.limits.note_refusal(("i-0", 1000), 0, SECOND)
    assert servers.find_permit_delay("index", 0) is not None
    assert servers.find_permit_delay("index", 0, ["i-0"]) is None
