"""Tests that requests stay in the regions of their routes and customers."""

import json
import time

import msgspec
import pytest

from lavendershift.platform import names
from lavendershift.platform.tests.conftest import make_configuration
from lavendershift.platform.tests.live_nodes import Platform, wait_for

ZONES = '[zones]\nrennes = "bretagne"\nbrest = "bretagne"\nlille = "nord"\n'
OWN = {"name": "plume", "api_keys": ["key-1"], "prepaid": 100_000}
OTHER = {"name": "encre", "api_keys": ["key-2"], "prepaid": 100_000}


def write_entry(platform, number, state):
    """Write a server's entry; the first is in ``bretagne``, the other in ``nord``."""
    server = platform.servers["ledger"][number]
    platform.sequence += 1
    entry = {
        "service": "ledger",
        "address": server.address,
        "zone": ("brest", "lille")[number],
        "version": "v1",
        "slots": 8,
        "cold_remaining_ms": 0,
        "state": state,
        "sequence": platform.sequence,
        "born": 1,
    }
    record = (server.name.encode(), msgspec.json.encode(entry))
    platform.append(names.SERVERS_TOPIC, [record])


@pytest.fixture
def platform(tmp_path):
    """Servers in both regions, and a VM in each; a customer and a route at home."""
    platform = Platform(tmp_path, nodes=2, is_configured=False)
    config = json.loads(make_configuration())
    read = config["routes"][2] | {"allowed_regions": ["nord"]}
    routes = [*config["routes"][:2], read]
    tenants = [OWN, OTHER | {"allowed_regions": ["bretagne"]}]
    platform.configure(routes=routes, tenants=tenants)
    for number in range(2):
        write_entry(platform, number, "ready")
    for node, zone in zip(platform.nodes, ("rennes", "lille"), strict=True):
        text = node.settings.read_text().replace('zone = "rennes"', f'zone = "{zone}"')
        region = "nord" if zone == "lille" else "bretagne"
        text = text.replace('region = "bretagne"', f'region = "{region}"')
        node.settings.write_text(text + ZONES)
    platform.start()
    yield platform
    platform.stop()


def ask(node, key, path, count=8):
    return [
        node.ask(f"{key}{path[1]}{n}", path, None, Authorization=f"Bearer {key}")
        for n in range(count)
    ]


def count_received(platform):
    return [len(server.received) for server in platform.servers["ledger"]]


def test_requests_reach_no_server_of_another_region(platform):
    node = platform.nodes[0]
    assert {reply.status for reply in ask(node, "key-1", "/read/x")} == {200}
    assert count_received(platform) == [0, 8]
    assert {reply.status for reply in ask(node, "key-2", "/record/x")} == {200}
    assert count_received(platform) == [8, 8]
    replies = ask(node, "key-2", "/read/x")
    assert {reply.status for reply in replies} == {503}
    assert all(float(reply.headers["Retry-After"]) > 0 for reply in replies)
    assert count_received(platform) == [8, 8]
    # A request without homes is served in either region.
    for number, received in ((0, [8, 16]), (1, [16, 16])):
        write_entry(platform, number, "draining")
        time.sleep(1.0)
        replies = ask(node, "key-1", "/record/x")
        assert {reply.status for reply in replies} == {200}
        assert count_received(platform) == received
        write_entry(platform, number, "ready")
        time.sleep(1.0)


def resolve(node, zone, region, name="books.example"):
    path = f"/resolve?name={name}&region={region}&zone={zone}"
    return json.loads(node.get(node.directory, path).body).get("addresses", [])


def test_the_directory_names_vms_of_the_callers_region(platform):
    first, second = platform.nodes
    addresses = [f"{node.ip}:{node.callers}" for node in platform.nodes]
    platform.configure(version=8)
    wait_for(
        lambda: sorted(resolve(first, "rennes", "bretagne")) == sorted(addresses),
        "both VMs for a host without homes",
    )
    config = json.loads(make_configuration())
    routes = [
        *config["routes"][:2],
        config["routes"][2] | {"allowed_regions": ["nord"]},
    ]
    platform.configure(version=9, routes=routes)
    wait_for(
        lambda: resolve(first, "brest", "bretagne") == addresses[:1],
        "only the VM of the caller's region",
    )
    assert resolve(first, "lille", "nord") == addresses[1:]
    assert resolve(first, "nice", "sud") == addresses[1:]
    assert len(resolve(first, "rennes", "bretagne", "other.example")) == 2
