"""Invalid input on every interface is rejected and the process keeps running."""

import json
import random
import socket

import msgspec
import pynng
import pytest

from lavendershift.messages import MESSAGE_KINDS
from lavendershift.records import RECORD_KINDS
from lavendershift.tests.callers import wait_for
from lavendershift.tests.live_fleet import Fleet
from lavendershift.tests.live_tree import CUSTOMER
from lavendershift.tests.observations import Observer

VALUES = [None, True, -1, 0, 2**63, 1.5, "", "x", "r1/x", "/", "é\0", [], [[]], {}]


@pytest.fixture
def fleet(tmp_path):
    with Fleet(tmp_path, relays=1) as fleet:
        yield fleet


def check_serving(fleet, key):
    observer = Observer(fleet)
    for name in fleet.names:
        reply = observer.complete(name, f"{key}-{name}")
        assert (reply.status, reply.is_complete_stream) == (200, False)
        assert observer.approve(name, f"{key}-a-{name}").status == 200
        check_output(fleet.read_output(name))
    assert all(process.alive for process in fleet.processes.values())


def check_output(text):
    """Check that a process wrote only log lines and no internal error."""
    for line in text.splitlines():
        assert json.loads(line)["event"] != "internal_error"


def make_malformed(rng, kinds):
    """Return arrays that are similar to valid ones of ``kinds``.

    Their lengths are correct or off by one, and their values are of random types.
    """
    for kind, fields in kinds.items():
        for _ in range(8):
            length = max(0, len(fields._fields) + rng.choice([-1, 0, 0, 0, 1]))
            yield [kind, *(rng.choice(VALUES) for _ in range(length))]


def test_invalid_messages_on_peer_sockets_get_a_reply(fleet):
    rng = random.Random(3)
    messages = [msgspec.msgpack.encode(m) for m in make_malformed(rng, MESSAGE_KINDS)]
    messages += [b"", b"\xc1", b"\x00" * 1000, rng.randbytes(5000)]
    messages.append(
        msgspec.msgpack.encode(["append", "x", [msgspec.msgpack.Ext(5, b"")]])
    )
    messages.append(msgspec.msgpack.encode(["read", "a b\r\nc", 0, 1, 0]))
    for name in ("r1", "relay1"):
        port = fleet.peer_ports[name]
        address = f"tcp://127.0.0.1:{port}"
        with pynng.Req0(dial=address, recv_timeout=3_000, resend_time=-1) as peer:
            for message in messages:
                peer.send(message)
                reply = msgspec.msgpack.decode(peer.recv())
                assert reply[0] in MESSAGE_KINDS
        for data in (b"GET / HTTP/1.1\r\n\r\n", rng.randbytes(10_000)):
            with socket.create_connection(("127.0.0.1", port)) as raw:
                raw.sendall(data)
    check_serving(fleet, "after-sockets")


@pytest.mark.parametrize("stream", ["config", "ledger-0"])
def test_invalid_records_in_streams_do_not_stop_routers(fleet, stream):
    check_serving(fleet, "before")
    rng = random.Random(4)
    records = [*make_malformed(rng, RECORD_KINDS), None, {}, 7, "x", [], [[]], [None]]
    records += [[kind] for kind in RECORD_KINDS]
    fleet.append(stream, *records)
    fleet.append(f"{stream}-checkpoints", *records)
    setting = [CUSTOMER, "max_output_tokens", 3]
    offset = fleet.status("r1")["config_offset"]
    fleet.append("config", ["change", "after", offset, "test", [setting]])
    for name in fleet.names:
        wait_for(
            lambda name=name: (
                fleet.complete(name, "x").json["usage"]["completion_tokens"] == 3
            ),
            message="the change after the invalid records",
        )
    check_serving(fleet, "after")
    # A restarted router has to replay all invalid records.
    fleet.kill("r2")
    fleet.start_router("r2")
    check_serving(fleet, "restarted")


def test_malformed_and_oversized_requests_are_refused(fleet):
    call = fleet.caller.call
    port = fleet.ports["r1"]
    path = "/v1/completions"
    big = 9 * 1024 * 1024
    cases = [
        (400, call(port, "POST", path, b"{")),
        (400, call(port, "POST", path, b"[]")),
        (400, call(port, "POST", path, {"model": 5, "prompt": "x"})),
        (400, call(port, "POST", path, {"model": "index-large", "prompt": 5})),
        (400, fleet.complete("r1", "x", "key with spaces")),
        (400, fleet.complete("r1", "x", "k" * 129)),
        (400, fleet.complete("r1", "x", headers={"Deadline-Ms": "soon"})),
        (400, fleet.complete("r1", "x", headers={"Priority": "first"})),
        (404, fleet.complete("r1", "x", model="no-such-model")),
        (404, call(port, "GET", "/services/none/x")),
        (400, call(port, "GET", "/services/catalogue/a/%0d%0aX:y")),
        (400, call(port, "POST", "/services/approvals/x/../proofs/9", b"{}")),
    ]
    for status, reply in cases:
        assert reply.status == status, (status, reply.status, reply.body)
        assert reply.headers["Ran"] == "no"
        assert reply.error["message"]
    # Escaping a character doesn't make a non-repeatable call repeatable.
    escaped = "/services/approvals/pr%6Fofs/9"
    assert call(port, "POST", escaped, b"{}").error["code"] == "key_required"
    assert call(port, "POST", escaped, b"{}", "escaped").status == 200
    assert call(port, "POST", escaped, b"{}", "escaped").status == 200
    typed = {"Content-Type": "caf\xe9"}
    reply = call(port, "POST", "/services/catalogue/x", b"{}", headers=typed)
    assert reply.status == 400
    assert [c["path"] for c in fleet.list_calls()] == ["/pr%6Fofs/9"]
    # A router may close the connection of an oversized message without a response.
    headers = {"X-Long": "x" * 100_000}
    assert call(port, "GET", "/healthz", headers=headers).status in (0, 400, 431)
    assert call(port, "POST", path, b"x" * big).status in (0, 400, 413)
    with socket.create_connection(("127.0.0.1", port)) as raw:
        raw.sendall(b"\0\xff\r\n\r\n" * 100)
    for name in ("catalogue", "approvals"):
        assert fleet.status("r1")["servers"][name]
    check_serving(fleet, "after-requests")
