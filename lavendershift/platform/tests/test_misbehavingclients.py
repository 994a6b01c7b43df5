"""Groups of misbehaving clients at real router processes.

Guards against a process that is ended by clients which exhaust its memory or its
descriptors. One test runs at a time, also among the workers of a parallel run.
"""

import fcntl
import http.client
import socket
import threading

import pytest

from lavendershift.platform.tests.live_nodes import Platform, send, wait_for
from lavendershift.platform.tests.misbehavingclients import (
    BODY_BYTES,
    Clients,
    ask_without_reading,
    count_descriptors,
    read_peak_bytes,
    send_chunks,
    send_part_of_head,
    send_pieces,
    send_pipelined,
    send_short_fields,
    send_whole,
)
from lavendershift_standins.platformserver import make_head as make_answer_head

MEMORY_MB = 160
MAX_FDS = 1000
MAX_PEAK_BYTES = MEMORY_MB * 1024 * 1024
ROUTED, UNROUTED = "/record/x", "/nowhere/"
METRICS_PORT = 9464

# Number of clients and the parts that each sends, by group.
GROUPS = {
    "whole bodies": (60, lambda path: send_whole(path)),
    "bodies in pieces": (60, lambda path: send_pieces(path)),
    "chunked bodies": (60, lambda path: send_chunks(path)),
    "too long bodies": (20, lambda path: send_chunks(path, 4 * BODY_BYTES)),
    "short fields": (400, send_short_fields),
    "pipelined requests": (100, send_pipelined),
    "parts of heads": (1200, send_part_of_head),
    "halves of bodies": (120, lambda path: send_whole(path)[:1] + [b"x" * 2_000_000]),
}


@pytest.fixture
def alone(tmp_path_factory):
    """Hold a lock that all workers of a run share."""
    base = tmp_path_factory.getbasetemp()
    folder = base.parent if base.name.startswith("popen-") else base
    with (folder / "misbehaving-clients.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@pytest.fixture
def platform(alone, tmp_path):
    platform = Platform(tmp_path)
    (node,) = platform.nodes
    limits = f"[limits]\nmemory_mb = {MEMORY_MB}\nmax_fds = {MAX_FDS}\n"
    node.settings.write_text(node.settings.read_text() + limits)
    platform.start()
    yield platform
    platform.stop()


def is_served(node, request_id, body=b"question"):
    fields = {
        "Host": "books.example",
        "X-Lavendershift-Attempt-Id": request_id,
        "X-Lavendershift-Deadline-Ms": "10000",
        "Authorization": "Bearer key-1",
    }
    try:
        reply = send(node.ip, node.callers, "POST", "/read/x", fields, body)
    except OSError:
        return False
    return reply.status == 200


def check_group(node, port, messages):
    """Run a group of clients against a port, and check the process."""
    clients = Clients(node.ip, port, messages)
    try:
        clients.run()
        assert node.process.poll() is None
        assert read_peak_bytes(node.process.pid) < MAX_PEAK_BYTES
        assert count_descriptors(node.process.pid) < MAX_FDS
        wait_for(lambda: is_served(node, "r1"), "an ordinary response")
        assert node.get(node.ready, "/readyz").status == 200
        assert count_descriptors(node.process.pid) < MAX_FDS
    finally:
        clients.close()
    wait_for(lambda: is_served(node, "r2", b"x" * BODY_BYTES), "the largest request")
    assert node.process.poll() is None
    assert read_peak_bytes(node.process.pid) < MAX_PEAK_BYTES


@pytest.mark.parametrize("path", [ROUTED, UNROUTED])
@pytest.mark.parametrize("group", GROUPS)
def test_a_group_at_the_port_of_callers(platform, group, path):
    (node,) = platform.nodes
    count, make_message = GROUPS[group]
    check_group(node, node.callers, [make_message(path)] * count)


@pytest.mark.parametrize("group", ["whole bodies", "short fields", "parts of heads"])
@pytest.mark.parametrize("port", ["ready", "directory", "metrics"])
def test_a_group_at_another_port(platform, group, port):
    (node,) = platform.nodes
    number = METRICS_PORT if port == "metrics" else getattr(node, port)
    count, make_message = GROUPS[group]
    check_group(node, number, [make_message("/")] * count)


def test_callers_that_do_not_read_long_responses(platform):
    (node,) = platform.nodes

    async def answer_long(received, writer):
        size = BODY_BYTES if received.method == "PUT" else 4
        writer.write(make_answer_head(received, 200, {"Content-Length": str(size)}))
        writer.write(b"x" * size)
        await writer.drain()

    for server in platform.servers["ledger"]:
        server.default = answer_long
    (part,) = ask_without_reading("/read/x")
    check_group(node, node.callers, [[part.replace(b"POST", b"PUT", 1)]] * 60)


@pytest.mark.parametrize("reads", [False, True])
def test_the_longest_response_fits_into_the_smallest_vm(platform, reads):
    """A response of 60 MiB was held three times, and sent from a further copy."""
    (node,) = platform.nodes
    size = 60 * 1024 * 1024
    sent = threading.Event()

    async def answer_long(received, writer):
        length = size if received.method == "PUT" else 4
        writer.write(make_answer_head(received, 200, {"Content-Length": str(length)}))
        for at in range(0, length, 1024 * 1024):
            writer.write(b"x" * min(1024 * 1024, length - at))
            await writer.drain()
        if received.method == "PUT":
            sent.set()

    for server in platform.servers["ledger"]:
        server.default = answer_long
    (part,) = ask_without_reading("/record/x")
    part = part.replace(b"POST", b"PUT", 1)
    with socket.create_connection((node.ip, node.callers), timeout=10) as caller:
        for _ in range(3 if reads else 1):
            caller.sendall(part)
            wait_for(sent.is_set, "the response of the server")
            if reads:
                response = http.client.HTTPResponse(caller)
                response.begin()
                assert len(response.read()) == size
        wait_for(lambda: is_served(node, "r0"), "an ordinary response")
        check_group(node, node.callers, [])
