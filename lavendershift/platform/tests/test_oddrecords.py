"""Real processes keep running and serving beside records that can't be decoded."""

import json
import socket
import time

import msgspec
import pytest

from lavendershift.platform import names
from lavendershift.platform.tests.conftest import make_configuration
from lavendershift.platform.tests.live_nodes import PARTITIONS, Platform, wait_for

NESTED = b"[" * 5000 + b"]" * 5000
DIGITS = "9" * 5000
ENTRY = {
    "service": "pool",
    "address": "127.0.0.1:9",
    "zone": "rennes",
    "version": "v1",
    "slots": 8,
    "cold_remaining_ms": 0,
    "state": "ready",
    "sequence": 1,
    "born": 1,
}
ROW = {
    "address": "",
    "domain": "rennes",
    "incarnation": "edge-9/1",
    "renewal": 1,
    "peer": "127.0.0.1:9",
}


def encode(record, **changes):
    return json.dumps(record | changes).encode()


def add_nested(record):
    return json.dumps(record).encode()[:-1] + b', "more": ' + NESTED + b"}"


def set_number(record, field, digits):
    return encode(record, **{field: 0}).replace(
        f'"{field}": 0'.encode(), f'"{field}": {digits}'.encode()
    )


ODD_ENTRIES = {
    "nested": add_nested(ENTRY),
    "long_port": encode(ENTRY, address=f"127.0.0.1:{DIGITS}"),
    "long_octet": encode(ENTRY, address=f"{DIGITS}.0.0.1:80"),
    "large_slots": set_number(ENTRY, "slots", "9" * 400),
    "large_sequence": set_number(ENTRY, "sequence", "9" * 400),
    "large_born": set_number(ENTRY, "born", "9" * 400),
    "port_out_of_range": encode(ENTRY, address="127.0.0.1:65536"),
}
ODD_ROWS = {
    "nested": add_nested(ROW),
    "large_renewal": set_number(ROW, "renewal", DIGITS),
    "unicode_port": encode(ROW, peer="127.0.0.1:²"),
    "long_port": encode(ROW, peer=f"127.0.0.1:{DIGITS}"),
    "port_out_of_range": encode(ROW, peer="127.0.0.1:65536"),
    "no_address": encode(ROW, peer="no address:80"),
    "large_number": encode(ROW, demand={"plume": 1e300}, arrivals=1e300, capacity=-5),
}


@pytest.fixture
def platform(tmp_path):
    platform = Platform(tmp_path, servers=1)
    yield platform
    platform.stop()


def check_follows_servers(platform, node):
    """Check that requests are served, and that a new server gets its part of them."""
    number = platform.sequence
    for service, path, tokens in (
        ("pool", "/index/a", (100, 40)),
        ("ledger", "/record/x", None),
    ):
        reply = node.ask(f"{service}-{number}", path=path, tokens=tokens)
        assert reply.status == 200, reply.body
    (server,) = platform.servers["pool"]
    successor = platform.replace_server(server, f"i-pool-n{number}")
    wait_for(
        lambda: node.find_log_lines("server_changed", server=server.name),
        "the departure of a server",
    )

    def reaches_successor():
        node.ask(f"later-{time.monotonic()}")
        return bool(successor.received)

    wait_for(reaches_successor, "a request to the new server")
    assert node.process.poll() is None
    assert node.find_log_lines("internal_error") == []


def check_after_restart(platform, node):
    """Check that a process that starts with the same records serves as well."""
    node.kill()
    node.start()
    check_follows_servers(platform, node)


@pytest.mark.parametrize("kind", ODD_ENTRIES)
def test_an_odd_entry_among_the_servers_does_not_end_processes(platform, kind):
    platform.start()
    (node,) = platform.nodes
    platform.append(names.SERVERS_TOPIC, [(b"i-odd", ODD_ENTRIES[kind])])
    wait_for(
        lambda: node.find_log_lines("entry_skipped", server="i-odd"), "a skipped entry"
    )
    check_follows_servers(platform, node)
    check_after_restart(platform, node)


@pytest.mark.parametrize("kind", ODD_ROWS)
def test_an_odd_row_among_the_vms_does_not_end_processes(platform, kind):
    platform.start()
    (node,) = platform.nodes
    platform.append(names.VMS_TOPIC, [(b"edge-9", ODD_ROWS[kind])])
    wait_for(lambda: node.find_log_lines("entry_skipped", name="vm"), "a skipped row")
    check_follows_servers(platform, node)
    check_replies(node)
    check_after_restart(platform, node)


@pytest.mark.parametrize(
    "value",
    [
        make_configuration(version=8)[:-1] + b',"more":' + NESTED + b"}",
        make_configuration(version=8).replace(b'"version": 8', b'"version": 9e999'),
        make_configuration(version=int("9" * 400)),
        b"\xff\xfe",
    ],
    ids=["nested", "infinite_version", "large_version", "invalid_utf8"],
)
def test_an_odd_configuration_does_not_end_processes(platform, value):
    platform.start()
    (node,) = platform.nodes
    platform.append(names.OPERATOR_TOPIC, [(names.CONFIGURATION_KEY, value)])
    wait_for(
        lambda: node.find_log_lines("entry_skipped", name="configuration"),
        "a skipped configuration",
    )
    platform.configure(version=10)
    wait_for(
        lambda: node.find_log_lines("configuration_changed", version=10),
        "the next configuration",
    )
    check_follows_servers(platform, node)
    check_after_restart(platform, node)


def test_an_odd_route_takes_no_other_route_away(platform):
    platform.start()
    (node,) = platform.nodes
    routes = msgspec.json.decode(make_configuration())["routes"]
    odd = {"name": "odd", "host": "h", "path_prefix": "/", "kind": "safe", "more": 7777}
    value = make_configuration(version=8, routes=[odd, *routes])
    value = value.replace(b"7777", NESTED)
    platform.append(names.OPERATOR_TOPIC, [(names.CONFIGURATION_KEY, value)])
    wait_for(
        lambda: node.find_log_lines("configuration_changed", version=8),
        "the configuration",
    )
    assert node.find_log_lines("entry_skipped", name="configuration")
    check_follows_servers(platform, node)


def test_odd_datagrams_of_peers_do_not_end_processes(platform):
    platform.start()
    (node,) = platform.nodes
    nan = float("nan")
    odd = [
        b"\x95\xa4news\xa1v\xa1i\x01\x91" + b"\x91" * 50_000,
        b"\x96\xa7leaving\xa1v\xa1i" + b"\x91" * 50_000,
        *(
            msgspec.msgpack.encode(message)
            for message in (
                ["permit", 1, "i-none", 1, None, 1, nan],
                ["permit", 1, "i-none", 1, nan, 2**63, 1e300],
                ["permit_request", 1, "i-none", 1, 1e300, 1, -(2**63), ["x", 1e9]],
                ["permit_request", 1, "i-none", 1, 5.0, 1, 0, ["x y", 2**40]],
                ["trial_request", 1, [["p"], True, 1, 1, 1e300], ["", -1]],
                ["quarantines", [[["p"], True, 2**62, 2**62, nan]]],
                ["answered_parts", ["p"], [1e300]],
                ["news", "v", "i", 2, [["i-none", -(2**63), 2**63]]],
            )
        ),
    ]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        for data in odd:
            peer.sendto(data, (node.ip, node.peer))
    wait_for(
        lambda: node.find_log_lines("entry_skipped", name="datagram"),
        "a skipped datagram",
    )
    check_follows_servers(platform, node)
    check_replies(node)


def check_replies(node):
    """Check that the process still receives and sends datagrams."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        peer.settimeout(5)
        request = ["permit_request", 9, "i-none", 7, None, 0, 0]
        peer.sendto(msgspec.msgpack.encode(request), (node.ip, node.peer))
        kind, number, *_ = msgspec.msgpack.decode(peer.recv(2000))
        assert (kind, number) == ("permit", 9)


QUOTA = {"granted": 1000, "change": "edge-9/1/1"}
ODD_QUOTAS = {
    "nested": add_nested(QUOTA),
    "array": NESTED,
    "large": set_number(QUOTA, "granted", "9" * 400),
    "negative": encode(QUOTA, granted=-1),
}


@pytest.mark.parametrize("kind", ODD_QUOTAS)
def test_an_odd_quota_record_stops_only_the_draws_of_its_customer(platform, kind):
    tenants = [
        {"name": "plume", "api_keys": ["key-1"], "prepaid": 100_000},
        {"name": "other", "api_keys": ["key-2"], "prepaid": 100_000},
    ]
    platform.configure(version=8, tenants=tenants)
    (node,) = platform.nodes
    for part in range(PARTITIONS):
        platform.thread.call(
            platform.store.state.append,
            names.GRANTS_TOPIC,
            part,
            [(b"other", ODD_QUOTAS[kind])],
        )
    node.start()
    check_follows_servers(platform, node)
    assert node.find_log_lines("entry_skipped", name="quota", customer="other")
    reply = node.ask("other-1", Authorization="Bearer key-2")
    assert reply.status == 429
    # An operator repairs the record.
    for part in range(PARTITIONS):
        platform.thread.call(
            platform.store.state.append,
            names.GRANTS_TOPIC,
            part,
            [(b"other", encode(QUOTA))],
        )
    wait_for(
        lambda: (
            node.ask(f"other-{time.monotonic()}", Authorization="Bearer key-2").status
            == 200
        ),
        "a request after the repair",
    )


SNAPSHOT = {"incarnation": "a", "boot": "b", "at_us": 1, "written_us": 1, "entries": {}}
ODD_SNAPSHOTS = {
    "nested": add_nested(SNAPSHOT),
    "array": NESTED,
    "late": set_number(SNAPSHOT, "written_us", "9" * 18),
    "large": set_number(SNAPSHOT, "at_us", "9" * 400),
}


@pytest.mark.parametrize("kind", ODD_SNAPSHOTS)
def test_an_odd_lease_snapshot_does_not_end_processes(platform, kind):
    (node,) = platform.nodes
    for part in range(PARTITIONS):
        platform.thread.call(
            platform.store.state.append,
            names.LEASES_TOPIC,
            part,
            [(node.name.encode(), ODD_SNAPSHOTS[kind])],
        )
    node.start()
    assert node.find_log_lines("entry_skipped", name="lease snapshot")
    check_follows_servers(platform, node)
