"""Router processes that are paused and stopped while pipelined requests wait.

A request that runs once at most may be in the socket's buffer, read, or at a server.
"""

import itertools
import random
import signal
import socket
import threading
import time
from collections import Counter
from contextlib import suppress

import pytest

from lavendershift.platform.tests.live_nodes import Platform
from lavendershift.platform.tests.test_staleresponses import PROMISES
from lavendershift.platform.tests.test_stops import make_bytes
from lavendershift_standins.platformserver import answer_complete, work_first

CALLERS = 6
BATCH = 4  # requests that are sent at once on a connection
PAUSES_S = (0.05, 0.4, 2.5)  # one is longer than the timeout of the route
TIMEOUT_S = 8


class Caller:
    """Sends batches of requests; ``statuses`` are those of complete responses."""

    def __init__(self, node, number, stopping):
        self.statuses = {}
        self._node, self._number, self._stopping = node, number, stopping
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self):
        for batch in itertools.count():
            if self._stopping.is_set():
                return
            ids = [f"p{self._number}-{batch}-{each}" for each in range(BATCH)]
            with suppress(OSError):
                self._send(ids)
            time.sleep(0.01)

    def _send(self, ids):
        address = (self._node.ip, self._node.callers)
        with socket.create_connection(address, TIMEOUT_S) as connection:
            requests = [make_bytes(each, "/record/a", 8) for each in ids]
            connection.sendall(b"".join(requests))
            with connection.makefile("rb") as responses:
                for request_id in ids:
                    self.statuses[request_id] = read_status(responses)

    def join(self):
        self._thread.join()


def read_status(responses):
    """Read one response and return its status."""
    line = responses.readline()
    if not line:
        raise ConnectionError("closed without a response")
    status = int(line.split()[1])
    length = 0
    while (line := responses.readline().strip()) != b"":
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    responses.read(length)
    return status


@pytest.fixture
def platform(tmp_path):
    platform = Platform(tmp_path, numbers={"pool": 1, "ledger": 3})
    for server in platform.servers["ledger"]:
        server.default = work_first(answer_complete, 0.05)
    platform.start()
    yield platform
    platform.stop()


def pause(node, seconds):
    node.signal(signal.SIGSTOP)
    time.sleep(seconds)
    node.signal(signal.SIGCONT)
    time.sleep(0.3)


def test_pipelined_requests_run_once_beside_pauses_and_stops(platform):
    """Guards against requests that a process sends again when it goes on (TWICE)."""
    node, rng = platform.nodes[0], random.Random(57)
    stopping = threading.Event()
    callers = [Caller(node, number, stopping) for number in range(CALLERS)]
    for seconds in PAUSES_S:
        pause(node, seconds)
        server = rng.choice(platform.servers["ledger"])
        platform.thread.call(server.crash)
        pause(node, rng.uniform(0, 0.2))
        server.crashed_at = None
        platform.thread.run(server.start(server.port))
    for _ in range(2):
        node.signal(signal.SIGTERM)
        pause(node, rng.uniform(0, 0.5))
        node.wait_end()
        node.start()
        time.sleep(0.3)
    stopping.set()
    for caller in callers:
        caller.join()
    runs = Counter(run for server in platform.servers["ledger"] for run in server.runs)
    statuses = {
        request: status
        for caller in callers
        for request, status in caller.statuses.items()
    }
    assert {request: count for request, count in runs.items() if count > 1} == {}
    denied = [each for each, status in statuses.items() if status in PROMISES]
    assert [request for request in denied if runs[request]] == []
    assert list(statuses.values()).count(200) > CALLERS * BATCH
