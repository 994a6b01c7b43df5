"""Tests with real processes that cold servers get few requests."""

import itertools
import threading
import time

import msgspec
import pytest

from lavendershift.platform import names
from lavendershift.platform.tests.live_nodes import Platform, wait_for
from lavendershift_standins.platformserver import work_first

# Time of plain work. Without it, differences of milliseconds count as differences of
# speed, and routers prefer the other server, whatever permits are due.
WORK_S = 0.045
COLD_PER_S, OVERAGE, SLACK = 3.0, 1.5, 5.0
BOUND = COLD_PER_S * OVERAGE + SLACK
BOUNDS = f"[bounds]\ncold_overage = {OVERAGE}\ncold_slack = {SLACK}\n"
LEDGER = {"name": "ledger", "cold_per_s": COLD_PER_S, "cold_start_s": 4.0}
POOL = {"name": "pool", "engine": {"slots": 8, "stride": 5}}


@pytest.fixture
def platform(tmp_path):
    platform = Platform(tmp_path, nodes=2, numbers={"ledger": 2, "pool": 1})
    platform.configure(version=8, services=[POOL, LEDGER])
    for node in platform.nodes:
        text = node.settings.read_text()
        node.settings.write_text(text.replace("[bounds]\n", BOUNDS))
    for server in platform.servers["ledger"]:
        server.default = work_first(server.default, WORK_S)
    platform.start()
    yield platform
    platform.stop()


def write_entry(platform, server, **changes):
    platform.sequence += 1
    entry = {
        "service": "ledger",
        "address": server.address,
        "zone": "rennes",
        "version": "v1",
        "slots": 8,
        "cold_remaining_ms": 0,
        "state": "ready",
        "sequence": platform.sequence,
        "born": 1,
    } | changes
    record = (server.name.encode(), msgspec.json.encode(entry))
    platform.append(names.SERVERS_TOPIC, [record])


def send_load(platform, duration_s, rate=30.0):
    """Send requests to both nodes; return the times at which servers got them."""
    arrivals = {server.name: [] for server in platform.servers["ledger"]}
    seen = dict.fromkeys(arrivals, 0)
    numbers = itertools.count()
    deadline = time.monotonic() + duration_s
    prefix = f"{platform.sequence}"

    def call(node):
        while time.monotonic() < deadline:
            node.ask(f"{prefix}-{next(numbers)}", path="/read/x", tokens=None)
            time.sleep(2 / rate)

    for server in platform.servers["ledger"]:
        seen[server.name] = len(server.received)
    callers = [
        threading.Thread(target=call, args=(node,))
        for node in platform.nodes
        for _ in range(2)
    ]
    for caller in callers:
        caller.start()
    while time.monotonic() < deadline:
        for server in platform.servers["ledger"]:
            new = len(server.received) - seen[server.name]
            arrivals[server.name] += [time.monotonic()] * new
            seen[server.name] += new
        time.sleep(0.02)
    for caller in callers:
        caller.join()
    return arrivals


def find_most(times):
    """Return the most arrivals within a second."""
    return max(
        (sum(at <= other < at + 1 for other in times) for at in times), default=0
    )


def is_cold(node):
    return "lavendershift_servers_cold 1.0" in node.get(9464, "/metrics").body.decode()


@pytest.mark.parametrize("changes", [{"cold_remaining_ms": 9000}, {"born": 5}])
def test_a_cold_server_gets_no_more_than_its_bound_from_all_nodes(platform, changes):
    cold, warm = platform.servers["ledger"]
    assert find_most(send_load(platform, 2.0)[cold.name]) > BOUND
    write_entry(platform, cold, **changes)
    for node in platform.nodes:
        wait_for(lambda node=node: is_cold(node), "the cold server")
    arrivals = send_load(platform, 3.0)
    assert 3 <= find_most(arrivals[cold.name]) <= BOUND
    assert len(arrivals[warm.name]) > 3 * len(arrivals[cold.name])


def test_an_entry_without_coldness_ends_the_limit(platform):
    cold = platform.servers["ledger"][0]
    write_entry(platform, cold, cold_remaining_ms=9000)
    write_entry(platform, cold)
    time.sleep(1.0)
    assert find_most(send_load(platform, 2.0)[cold.name]) > BOUND


def test_servers_may_be_cold_after_an_evacuation(platform):
    """A server restarted during the evacuation, and its entry is older."""
    key = b"evacuate/rennes"
    platform.append(names.OPERATOR_TOPIC, [(key, b"{}")])
    time.sleep(1.0)
    platform.append(names.OPERATOR_TOPIC, [(key, b"")])
    wait_for(
        lambda: all(
            node.find_log_lines("domain_evacuated", result="ended")
            for node in platform.nodes
        ),
        "the end of the evacuation",
    )
    arrivals = send_load(platform, 2.0, rate=60.0)
    assert max(map(find_most, arrivals.values())) <= BOUND
