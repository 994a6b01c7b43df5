"""Input that nests deeply or has huge numbers doesn't stop a router of the fleet."""

import json

import msgspec
import pynng
import pytest

from lavendershift.messages import MESSAGE_KINDS
from lavendershift.tests.callers import wait_for
from lavendershift.tests.live_fleet import Fleet
from lavendershift.tests.live_tree import CUSTOMER
from lavendershift.tests.test_bad_input import check_serving

NESTED = json.loads("[" * 900 + "]" * 900)
DIGITS = "9" * 5000
ODD_RECORDS = {
    "nested": ["change", "odd", 0, "test", NESTED],
    "large": ["top_up", "odd", "acme", 2**70, "test"],
    "large_offset": ["change", "odd", 2**70, "test", []],
    "large_setting": ["change", "odd", 0, "test", [["", "max_output_tokens", 2**70]]],
    "long_id": ["join", f"r9/{DIGITS}", "r9", "r9", "rennes", 0],
    "unicode_id": ["join", "r9/²", "r9", "r9", "rennes", 0],
    "large_part": ["checkpoint", "odd", "config", 2**70, 0, 2**70, "[]"],
}


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path, relays=1) as fleet:
        yield fleet


@pytest.mark.parametrize("stream", ["config", "ledger-0"])
@pytest.mark.parametrize("kind", ODD_RECORDS)
def test_odd_records_in_streams_do_not_stop_routers(fleet, stream, kind):
    record = ODD_RECORDS[kind]
    fleet.append(stream, record)
    fleet.append(f"{stream}-checkpoints", record)
    setting = [CUSTOMER, "max_output_tokens", 3]
    offset = fleet.status("r1")["config_offset"]
    fleet.append("config", ["change", "after", offset, "test", [setting]])
    for name in fleet.names:
        wait_for(
            lambda name=name: (
                fleet.complete(name, "x").json["usage"]["completion_tokens"] == 3
            ),
            message="the change after the odd record",
        )
    check_serving(fleet, "after")
    # A restarted router has to replay the odd record.
    fleet.kill("r2")
    fleet.start_router("r2")
    check_serving(fleet, "restarted")


def test_odd_messages_on_peer_sockets_get_a_reply(fleet):
    messages = [
        b"\x91" * 60_000,
        b"\x92\xa9heartbeat" + b"\x91" * 60_000,
        msgspec.msgpack.encode(["heartbeat", "r9", "r9/1", "d", True, 2**64 - 1, 0]),
        msgspec.msgpack.encode(["read", "config", 2**64 - 1, 2**63, 2**63]),
    ]
    for name in ("r1", "relay1"):
        address = f"tcp://127.0.0.1:{fleet.peer_ports[name]}"
        with pynng.Req0(dial=address, recv_timeout=3_000, resend_time=-1) as peer:
            for message in messages[:2]:
                peer.send(message)
                kind, fault, *_ = msgspec.msgpack.decode(peer.recv())
                assert kind in MESSAGE_KINDS
                assert fault == "undecodable"
    check_serving(fleet, "after")


def test_a_request_that_nests_deeply_is_refused(fleet):
    body = b'{"model":"index-large","prompt":"x","more":' + b"[" * 5000 + b"]" * 5000
    reply = fleet.caller.call(fleet.ports["r1"], "POST", "/v1/completions", body + b"}")
    assert reply.status == 400
    check_serving(fleet, "after")
