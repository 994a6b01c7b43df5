"""Real routers stop the requests whose prompts crash one server after the other."""

import itertools
import threading
import time

import pytest

from lavendershift.platform.tests.live_nodes import Platform, Reply
from lavendershift_standins.platformserver import CrashOutput, stream

NODES = 8
SERVERS = 6
LENGTH_S = 14.0
CRASHING_FROM_S = 3.0  # time from which requests with the crashing part are sent
CRASHING_PAUSE_S = 0.6
SOUND_PER_S = 3.0  # sound requests of each node's caller
RESTART_S = 2.0  # time until the successor of a crashed server runs
MAX_CRASHES = 5  # crashes after which requests with the part have to stop
STABLE_WINDOW_S = 3.0  # time that the routers have to stop them
MAX_LATE = 3  # requests that may still reach servers after that


class CrashingFleet:
    """Routers and servers that crash on one part, and callers of both kinds."""

    def __init__(self, folder, output):
        self.platform = Platform(folder, nodes=NODES, servers=SERVERS)
        # Without a budget, so that no request waits for tokens.
        tenants = [{"name": "plume", "api_keys": ["key-1"]}]
        self.platform.configure(version=8, tenants=tenants)
        self.pool = self.platform.servers["pool"]
        for server in self.pool:
            server.default = stream(8, pause_s=0.05)
            server.crash_parts.add("dead")
            server.crash_output = output
            server.read_s = 0.1
        self.all_servers = list(self.pool)
        self.replies = {"sound": [], "crashing": []}
        self._is_finished = threading.Event()
        self._threads = []

    def run(self):
        self.platform.start()
        self.started_at = time.monotonic()
        threads = [threading.Thread(target=self._restart_servers, daemon=True)]
        threads.append(threading.Thread(target=self._send_crashing, daemon=True))
        for node in self.platform.nodes:
            threads.append(
                threading.Thread(target=self._send_sound, args=(node,), daemon=True)
            )
        for thread in threads:
            thread.start()
        time.sleep(LENGTH_S)
        self._is_finished.set()
        for thread in [*threads, *self._threads]:
            thread.join()

    def _restart_servers(self):
        numbers = itertools.count(1)
        while not self._is_finished.wait(0.02):
            for server in list(self.pool):
                crashed_at = server.crashed_at
                if crashed_at and time.monotonic() - crashed_at > RESTART_S:
                    name = f"i-next-{next(numbers)}"
                    self.all_servers.append(self.platform.replace_server(server, name))

    def _send_crashing(self):
        time.sleep(CRASHING_FROM_S)
        for number in itertools.count():
            node = self.platform.nodes[number % NODES]
            parts = f"common{number % 3}:30,dead:50,crashing-{number}:20"
            self._send("crashing", node, number, parts)
            if self._is_finished.wait(CRASHING_PAUSE_S):
                return

    def _send_sound(self, node):
        for number in itertools.count():
            parts = (
                f"common{number % 3}:30,book-{number % 40}:50,{node.name}-{number}:9"
            )
            self._send("sound", node, f"{node.name}-{number}", parts)
            if self._is_finished.wait(1 / SOUND_PER_S):
                return

    def _send(self, kind, node, number, parts):
        def send():
            try:
                reply = node.ask(
                    f"{kind}-{number}", X_Lavendershift_Prompt_Prefix=parts
                )
            except ConnectionError:  # the response was aborted
                reply = Reply(200, {}, b"", is_whole=False)
            self.replies[kind].append((sent_at, reply))

        sent_at = time.monotonic()
        thread = threading.Thread(target=send, daemon=True)
        thread.start()
        self._threads.append(thread)

    def list_crashes(self):
        return sorted(s.crashed_at for s in self.all_servers if s.crashed_at)

    def list_arrivals(self, kind):
        """Return the times at which requests of a kind reached servers."""
        return sorted(
            received.at
            for server in self.all_servers
            for received in server.received
            if received.id.startswith(kind)
        )

    def measure_served(self, since, until):
        """Return the share of the sound requests of a time that were served."""
        replies = [r for at, r in self.replies["sound"] if since <= at < until]
        served = [reply for reply in replies if reply.status == 200 and reply.is_whole]
        return len(served) / len(replies)


@pytest.fixture(params=list(CrashOutput), ids=lambda output: output.value)
def fleet(tmp_path, request):
    fleet = CrashingFleet(tmp_path, request.param)
    yield fleet
    fleet.platform.stop()


def test_requests_that_crash_servers_stop_and_sound_ones_go_on(fleet):
    fleet.run()
    crashes = fleet.list_crashes()
    assert crashes, "no server crashed"
    last = crashes[:MAX_CRASHES][-1]
    late = [at for at in fleet.list_arrivals("crashing") if at > last + STABLE_WINDOW_S]
    if len(crashes) >= MAX_CRASHES:
        assert len(late) <= MAX_LATE, f"{len(crashes)} servers crashed"
    before = fleet.measure_served(fleet.started_at, fleet.started_at + CRASHING_FROM_S)
    after = fleet.measure_served(
        last + 2 * STABLE_WINDOW_S, fleet.started_at + LENGTH_S - 1
    )
    assert before > 0.9
    assert after >= 0.5 * before
    statuses = {reply.status for _, reply in fleet.replies["crashing"]}
    assert statuses <= {429, 502, 503}
