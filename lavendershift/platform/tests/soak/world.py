"""Nodes behind faulty links, and the planned and unplanned events of a seed."""

import heapq
import random
import signal
import threading
import time
from collections import defaultdict

import msgspec

from lavendershift.platform import names
from lavendershift.platform.tests.live_nodes import Platform
from lavendershift.platform.tests.soak.callers import Caller
from lavendershift.platform.tests.soak.faults import FAULTS, PLANNED
from lavendershift.platform.tests.soak.links import FaultyLink
from lavendershift_standins.platformserver import (
    RetryLater,
    announce_leaving,
    answer_complete,
    stream,
)

BEAT_S = 1.0
SMALL, LARGE = 60_000, 50_000_000
CALLERS = 8
GRACE_S = 8.0
STOP_SLACK_S = 2.0
FIRST_LINE_S = 5.0  # in which a program reaches its first line on a busy machine


class SoakWorld(Platform):
    """A platform whose links, processes and servers can be harmed."""

    def __init__(self, folder, seed, nodes=3):
        self.seed = seed
        self.rng = random.Random(seed)
        self.violations = []
        self.drained = {}
        self.drains = []
        self.born = {}
        self.leaving = {}
        self.leavings = []
        self.pauses = []
        self.disturbed = defaultdict(list)
        self.server_links = {}
        self.store_links = []
        self.prepaid = {"plume": SMALL, "encre": LARGE, "sable": LARGE}
        self.version = 7
        self.is_withdrawn = False
        self.lock = threading.RLock()
        super().__init__(folder, nodes=nodes, servers=3)
        for node in self.nodes:
            link = self._start_link(self.store_port)
            self.store_links.append(link)
            text = node.settings.read_text()
            node.settings.write_text(
                text.replace(f":{self.store_port}", f":{link.port}")
            )
            node.is_running, node.ending, node.launched_at = False, None, 0.0
        for server in self.servers["pool"]:
            server.default = stream(8, pause_s=0.01)
        self.callers = [
            Caller(n, random.Random(f"{seed}/{n}"), self.nodes) for n in range(CALLERS)
        ]
        self._beating = threading.Thread(target=self._beat_on, daemon=True)
        self._is_over = threading.Event()

    def call(self, function, *args):
        """Run ``function`` in the loop of the stand-ins."""
        return self.thread.call(function, *args)

    def _start_link(self, port):
        async def start():
            link = FaultyLink(port, random.Random(f"{self.seed}/link"))
            await link.start()
            return link

        return self.thread.run(start())

    def configure(self, **changes):
        keys = {"plume": "key-1", "encre": "key-2", "sable": "key-3"}
        tenants = [
            {"name": name, "api_keys": [keys[name]], "prepaid": prepaid}
            for name, prepaid in self.prepaid.items()
            if not (self.is_withdrawn and name == "sable")
        ]
        super().configure(version=self.version, tenants=tenants, **changes)

    def change(self, rng):
        """Publish a configuration with a raise, or with a key withdrawn."""
        self.version += rng.randint(1, 5)
        if rng.random() < 0.3:
            self.is_withdrawn = True
        else:
            self.prepaid = self.prepaid | {"plume": self.prepaid["plume"] + 2000}
        self.configure()

    def write_server_entries(self, **states):
        """Write the entries of all servers, at the addresses of their links."""
        self.sequence += 1
        records = []
        for service, servers in self.servers.items():
            for server in servers:
                if server.name not in self.server_links:
                    self.server_links[server.name] = self._start_link(server.port)
                link = self.server_links[server.name]
                state = "draining" if server.name in self.drained else "ready"
                entry = {
                    "service": service,
                    "address": f"127.0.0.1:{link.port}",
                    "zone": "rennes",
                    "version": "v1",
                    "slots": 8,
                    "cold_remaining_ms": 0,
                    "state": state,
                    "sequence": self.sequence,
                    "born": self.born.get(server.name, 1),
                }
                records.append((server.name.encode(), msgspec.json.encode(entry)))
        self.append(names.SERVERS_TOPIC, records)

    def _beat_on(self):
        while not self._is_over.wait(BEAT_S):
            with self.lock:
                self.write_server_entries()

    def drain(self, server):
        with self.lock:
            self.drained[server.name] = time.monotonic()
            self.write_server_entries()

    def undrain(self, server):
        with self.lock:
            began = self.drained.pop(server.name, None)
            if began is not None:
                self.drains.append((server, began, time.monotonic()))
            self.write_server_entries()

    def leave(self, server):
        """Let ``server`` say in its answers that it leaves, and nowhere else."""
        server.default = announce_leaving(server.default)
        self.leaving[server.name] = time.monotonic()

    def renew(self, server):
        """Start the server's process again, under its id."""
        with self.lock:
            self.leavings.append(
                (server, self.leaving.pop(server.name), time.monotonic())
            )
            is_pool = server in self.servers["pool"]
            server.default = stream(8, pause_s=0.01) if is_pool else answer_complete
            self.born[server.name] = self.born.get(server.name, 1) + 1
            self.write_server_entries()

    def turn_away(self, server, seconds):
        """Let ``server`` turn its next request away, with a time to come back."""
        behaviour = RetryLater(f"{seconds:.3f}")
        self.pauses.append((server, behaviour, seconds))
        server.script.append(behaviour)

    def disturb(self, node):
        """Note that a node is stopped, paused or started, which excuses it."""
        self.disturbed[node.name].append(time.monotonic())

    def list_running(self):
        return [node for node in self.nodes if node.is_running]

    def find_running(self, rng):
        running = self.list_running()
        return rng.choice(running) if running else None

    def signal_if_running(self, node, number):
        if node.is_running and node.process.poll() is None:
            node.signal(number)

    def launch(self, node):
        if node.is_running or self._is_over.is_set():
            return
        if node.ending is not None:
            node.ending.join()
        self.disturb(node)
        node.launch()
        node.is_running = True
        node.launched_at = time.monotonic()

    def kill(self, node):
        self._note_own_end(node)
        node.is_running = False
        node.kill()

    def terminate(self, node):
        """Stop a node gracefully; its end is waited for beside other events."""
        self._note_own_end(node)
        node.is_running = False
        if node.process.poll() is not None:
            return
        # Before its first line a program can't handle the signal.
        is_handled = node.handles(signal.SIGTERM)
        node.signal(signal.SIGTERM)
        node.signal(signal.SIGCONT)  # the grace time is for a process that runs
        node.ending = threading.Thread(
            target=self._await_end, args=(node, node.process, is_handled), daemon=True
        )
        node.ending.start()

    def _await_end(self, node, process, is_handled):
        started_s = time.monotonic() - node.launched_at
        try:
            code = process.wait(GRACE_S + STOP_SLACK_S)
        except Exception:
            process.kill()
            code = "none in time"
        if code == -signal.SIGTERM and not is_handled and started_s < FIRST_LINE_S:
            return
        if code != 0:
            self.violations.append(f"{node.name} ended with {code} after SIGTERM")

    def _note_own_end(self, node):
        code = node.process.poll()
        if code is not None:
            self.violations.append(f"{node.name} ended by itself with {code}")

    def play(self, calm_s, chaos_s):
        """Play one seed; returns the times at which its parts began."""
        self._beating.start()
        for node in self.nodes:
            self.launch(node)
        for node in self.nodes:
            node.wait_ready()
        for caller in self.callers:
            caller.start()
        starts = [time.monotonic()]
        time.sleep(0.5)
        self._play_part(PLANNED, calm_s, gap_s=(0.3, 1.2))
        time.sleep(0.5)
        starts.append(time.monotonic())
        self._play_part(FAULTS, chaos_s, gap_s=(0.05, 0.6))
        starts.append(time.monotonic())
        self._recover()
        for caller in self.callers:
            caller.stop()
        for caller in self.callers:
            caller.join(10)
        self._is_over.set()
        return starts

    def _play_part(self, kinds, length_s, gap_s):
        ends = []
        over = time.monotonic() + length_s
        number = 0
        while time.monotonic() < over:
            self._undo_until(ends, time.monotonic())
            name = self.rng.choices(list(kinds), [k.weight for k in kinds.values()])[0]
            kind = kinds[name]
            undo = kind.inject(self, self.rng)
            if undo is not None:
                number += 1
                lasts = self.rng.uniform(0.1, 1.0) * kind.longest_s
                heapq.heappush(ends, (time.monotonic() + lasts, number, undo))
            time.sleep(self.rng.uniform(*gap_s))
        self._undo_until(ends, float("inf"))

    def _undo_until(self, ends, now):
        while ends and ends[0][0] <= now:
            heapq.heappop(ends)[2]()

    def _recover(self):
        """Wait until all nodes are well, and check that they serve."""
        for node in self.nodes:
            self.launch(node)
        for servers in self.servers.values():
            for server in servers:
                self.call(server.script.clear)
        for node in self.nodes:
            try:
                node.wait_ready()
            except AssertionError:
                self.violations.append(f"{node.name} is not ready again")
        time.sleep(3.0)
        for node in self.nodes:
            self._note_own_end(node)
            if node.process.poll() is None:
                self._check_node(node)

    def _check_node(self, node):
        for kind, tokens in (("index", (100, 40)), ("record", None)):
            reply = node.ask(
                f"last-{node.name}-{kind}",
                path=f"/{kind}/a",
                tokens=tokens,
                Authorization="Bearer key-2",
            )
            if reply.status != 200:
                self.violations.append(
                    f"{node.name} answers {kind} with {reply.status} in the end"
                )
        withdrawn = node.ask("last-key", "/read/a", None, Authorization="Bearer key-3")
        if withdrawn.status != (401 if self.is_withdrawn else 200):
            self.violations.append(f"{node.name} has an old configuration")

    def stop(self):
        self._is_over.set()
        for link in [*self.store_links, *self.server_links.values()]:
            self.call(link.stop)
        super().stop()
