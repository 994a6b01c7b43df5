"""Router processes behind faulty links, and the schedule of faults of a seed."""

import random
import signal
import threading
import time
from collections import Counter, defaultdict
from functools import partial

import msgspec

from lavendershift.platform import names
from lavendershift.platform.tests.conftest import make_configuration
from lavendershift.platform.tests.live_nodes import Platform
from lavendershift.platform.tests.soak.evacuations import DOMAIN, is_evacuable
from lavendershift.platform.tests.soak.faults import WHOLE_STREAM
from lavendershift.platform.tests.soak.links import FaultyLink
from lavendershift_standins.platformserver import (
    RetryLater,
    announce_leaving,
    answer_complete,
)

HEARTBEAT_S = 1.0
SMALL_VM = "[limits]\nmemory_mb = 160\nmax_fds = 1638\n"
SMALL_BUDGET, LARGE_BUDGET = 60_000, 50_000_000  # sizes of the budgets in tokens
DEFAULT_ROUTES = msgspec.json.decode(make_configuration())["routes"]
GRACE_S = 8.0
STOP_SLACK_S = 2.0  # tolerance beyond the grace period of a stopping process
STARTUP_S = 5.0  # time until a started process runs its own code on a busy machine


class SoakWorld(Platform):
    """Platform with fault injection for its links, processes and servers.

    It records the times of drains, departures, requested pauses, limits, cut links,
    process starts, SIGSTOPs and SIGKILLs, which the checks of the run read.
    """

    first_version = 7
    grace_s = GRACE_S

    def __init__(self, folder, seed, profile):
        self.seed = seed
        self.rng = random.Random(seed)
        self.rng_beside = random.Random(f"{seed}/beside")
        self.rng_domains = random.Random(f"{seed}/domains")
        self.evacuations, self.evacuated_since = [], None
        self.violations = []
        self.drained = {}
        self.drains = []
        self.server_incarnations = {}
        self.leaving = {}
        self.departures = []
        self.pauses = []
        self.limiting = {}
        self.limits = []
        self.sound = {WHOLE_STREAM, answer_complete}  # behaviours of sound servers
        self.fails_resumed = set()  # those of them that fail resumed streams
        self.deadly_parts = []
        self.sent_part = ""
        self.crashes = []
        self.replaced = set()  # servers that are down until they get another id
        self.restarts = []  # servers that got another id, crash times and old ids
        self.old_ids = {}  # ids of such servers, and until when they are listed
        self.kills = []  # nodes, when they got SIGKILL and when they had ended
        self.stops = []
        self.launches = []
        self.operations = []
        self.endings = Counter()
        self.clock_offset = time.time() - time.monotonic()
        self.cuts = []
        self.scripted_silences = defaultdict(list)
        self.odd = set()  # servers under whose ids another writer has written
        self.disturbed = defaultdict(list)
        self.server_links = {}
        self.store_links = []
        self.prepaid = {
            "plume": SMALL_BUDGET,
            "encre": LARGE_BUDGET,
            "sable": LARGE_BUDGET,
        }
        self.version = self.first_version
        # Changes of the configuration by the profile and by planned operations.
        self.changes = {"routes": DEFAULT_ROUTES + profile.routes}
        self.acknowledged = {}  # times at which the store had versions
        self.store_cuts = []  # nodes, and from when to when they didn't reach the store
        self.checks = []  # of the profile, beside those of all runs
        self.timeouts = {}  # timeouts in seconds by version and kind of request
        self.is_key_revoked = False
        self.lock = threading.RLock()
        super().__init__(folder, nodes=profile.nodes, numbers=profile.servers)
        for node in self.nodes:
            link = self._start_link(self.store_port)
            self.store_links.append(link)
            text = node.settings.read_text()
            text = text.replace(f":{self.store_port}", f":{link.port}")
            node.settings.write_text(text + SMALL_VM)
            node.is_running, node.stopping, node.launched_at = False, None, 0.0
            node.launching = threading.Lock()
        for server in self.servers["pool"]:
            server.default = WHOLE_STREAM
            server.read_s = 0.05
            server.on_crash = partial(self._note_crash, server)
        self.callers = [
            profile.caller(n, random.Random(f"{seed}/{n}"), self)
            for n in range(profile.callers)
        ]
        self._heartbeats = threading.Thread(target=self._send_heartbeats, daemon=True)
        self._is_finished = threading.Event()

    def call(self, function, *args):
        """Call ``function`` in the event loop of the stand-ins."""
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
            if not (self.is_key_revoked and name == "sable")
        ]
        changes = self.changes | changes
        self.timeouts[self.version] = {
            route["name"]: route["timeout_ms"] / 1000 for route in changes["routes"]
        }
        super().configure(version=self.version, tenants=tenants, **changes)
        self.acknowledged[self.version] = time.monotonic()

    def change_configuration(self, rng):
        """Publish a configuration with a larger budget or a revoked API key."""
        self.version += rng.randint(1, 5)
        if rng.random() < 0.3:
            self.is_key_revoked = True
        else:
            self.prepaid = self.prepaid | {"plume": self.prepaid["plume"] + 2000}
        self.configure()

    def write_server_entries(self, **states):
        """Write the entries of all servers but those that another writer spoiled."""
        self.sequence += 1
        records = [
            (server.name.encode(), msgspec.json.encode(self.make_entry(server)))
            for servers in self.servers.values()
            for server in servers
            if server.name not in self.odd
        ]
        now = time.monotonic()
        records += [(n.encode(), b"") for n, end in self.old_ids.items() if end < now]
        self.append(names.SERVERS_TOPIC, records)

    def make_entry(self, server):
        """Return the entry of a server, with the address of its link."""
        if server.name not in self.server_links:
            self.server_links[server.name] = self._start_link(server.port)
        return {
            "service": "pool" if server in self.servers["pool"] else "ledger",
            "address": f"127.0.0.1:{self.server_links[server.name].port}",
            "zone": DOMAIN if is_evacuable(self, server) else "rennes",
            "version": "v1",
            "slots": 8,
            "cold_remaining_ms": 0,
            "state": "draining" if server.name in self.drained else "ready",
            "sequence": self.sequence,
            "born": self.server_incarnations.get(server.name, 1),
        }

    def _send_heartbeats(self):
        while not self._is_finished.wait(HEARTBEAT_S):
            with self.lock:
                self._restart_crashed_servers()
                self.write_server_entries()

    def _note_crash(self, server):
        """Let the server's link refuse connections, in the loop of the stand-ins."""
        if server in self.replaced:
            return
        self.crashes.append((server, server.crashed_at))
        self.server_links[server.name].stop()

    def _restart_crashed_servers(self):
        for server in self.servers["pool"]:
            if server.crashed_at is None or time.monotonic() < server.crashed_at + 1.0:
                continue
            if server in self.replaced:
                continue
            self.thread.run(server.restart())
            # At another address, so that no node takes it for the one that crashed.
            self.server_links[server.name] = self._start_link(server.port)
            self.end_limit(server)
            if server.name in self.leaving:
                self.restart_server(server)
                continue
            self.server_incarnations[server.name] = (
                self.server_incarnations.get(server.name, 1) + 1
            )

    def rename_server(self, server, name, listed_s):
        """Give a server that is down another id; the old one stays listed for a time.

        Its drain, departure and limit end. The checks find its cuts and silences by
        the new id.
        """
        with self.lock:
            self.undrain(server)
            self.restart_server(server)
            self.end_limit(server)
            self.odd.discard(server.name)
            self.restarts.append((server, server.crashed_at, server.name))
            self.old_ids[server.name] = time.monotonic() + listed_s
            self.server_links[name] = self.server_links.pop(server.name)
            self.scripted_silences[name] += self.scripted_silences.pop(server.name, [])
            for cut in self.cuts:
                if cut[0] == server.name:
                    cut[0] = name
            server.name = name

    def list_crashes(self, server):
        """Return the times at which a server crashed, also those under other ids."""
        crashes = [*self.crashes, *((each, at) for each, at, _ in self.restarts)]
        return [at for each, at in crashes if each is server]

    def send_deadly_part(self, output):
        """Let callers send a new part with which the servers of the pool crash."""
        self.sent_part = f"deadly-{len(self.deadly_parts)}"
        self.deadly_parts.append(self.sent_part)
        for server in self.servers["pool"]:
            server.crash_output = output
            server.crash_parts.add(self.sent_part)

    def drain(self, server):
        with self.lock:
            self.drained[server.name] = time.monotonic()
            self.odd.discard(server.name)
            self.write_server_entries()

    def undrain(self, server):
        with self.lock:
            start = self.drained.pop(server.name, None)
            if start is not None:
                self.drains.append((server, start, time.monotonic()))
            self.write_server_entries()

    def announce_leaving(self, server):
        """Announce the departure of ``server`` in its responses only."""
        whole, server.default = server.default, announce_leaving(server.default)
        if whole in self.sound:
            self.sound.add(server.default)
        self.leaving[server.name] = time.monotonic()

    def restart_server(self, server):
        """Replace a leaving server by a new incarnation under the same id."""
        with self.lock:
            if server.name not in self.leaving:
                return  # it crashed and was replaced
            self.end_limit(server)
            self.departures.append(
                (server, self.leaving.pop(server.name), time.monotonic())
            )
            is_pool = server in self.servers["pool"]
            server.default = WHOLE_STREAM if is_pool else answer_complete
            self.server_incarnations[server.name] = (
                self.server_incarnations.get(server.name, 1) + 1
            )
            self.write_server_entries()

    def request_pause(self, server, seconds):
        """Let ``server`` reject its next request with a Retry-After of ``seconds``."""
        behaviour = RetryLater(f"{seconds:.3f}")
        self.pauses.append((server, behaviour, seconds))
        server.script.append(behaviour)

    def name_limit(self, server, rate):
        """Let all responses of ``server`` name a limit in requests/s."""
        server.limit = f"{rate:.2f}"
        self.limiting[server.name] = time.monotonic()

    def end_limit(self, server):
        start = self.limiting.pop(server.name, None)
        if start is not None:
            limited = (server, server.limit, start, time.monotonic())
            server.limit = ""
            self.limits.append(limited)

    def list_unusable(self, service):
        """Return a service's servers that drain, leave, are limited or evacuated."""
        unusable = {*self.drained, *self.leaving, *self.limiting}
        if self.evacuated_since is not None:
            unusable.add(self.servers[service][-1].name)
        return [s for s in self.servers[service] if s.name in unusable]

    def record_disturbance(self, node):
        """Record that a node is paused or started.

        A disturbed node may miss a signal of a server, so the checks of these
        signals skip it.
        """
        self.disturbed[node.name].append(time.monotonic())

    def list_running(self):
        return [node for node in self.nodes if node.is_running]

    def choose_running(self, rng):
        running = self.list_running()
        return rng.choice(running) if running else None

    def signal_if_running(self, node, number):
        if node.is_running and node.process.poll() is None:
            node.signal(number)

    def launch(self, node):
        with node.launching:
            if node.is_running or self._is_finished.is_set():
                return
            if node.stopping is not None:
                node.stopping.join()
            if self._is_finished.is_set():
                return
            self.record_disturbance(node)
            node.launch()
            node.is_running = True
            node.launched_at = time.monotonic()
            self.launches.append((node.name, node.launched_at))

    def kill(self, node):
        self._check_not_exited(node)
        node.is_running = False
        killed_at = time.monotonic()
        node.kill()
        self.kills.append((node.name, killed_at, time.monotonic()))

    def terminate(self, node):
        """Stop a node gracefully; a thread waits for its exit during the schedule."""
        self._check_not_exited(node)
        node.is_running = False
        if node.process.poll() is not None:
            return
        # A process can't handle the signal before it has installed its handlers.
        is_handled = node.handles(signal.SIGTERM)
        self.stops.append((node.name, time.monotonic()))
        node.signal(signal.SIGTERM)
        node.signal(signal.SIGCONT)  # a paused process can't use its grace period
        node.stopping = threading.Thread(
            target=self._wait_stopped,
            args=(node, node.process, is_handled),
            daemon=True,
        )
        node.stopping.start()

    def _wait_stopped(self, node, process, is_handled):
        age_s = time.monotonic() - node.launched_at
        try:
            code = process.wait(GRACE_S + STOP_SLACK_S)
        except Exception:
            process.kill()
            code = "a timeout"
        if code == -signal.SIGTERM and not is_handled and age_s < STARTUP_S:
            return
        if code != 0:
            self.violations.append(
                f"{node.name}: expected exit code 0 after SIGTERM, got {code}"
            )

    def _check_not_exited(self, node):
        code = node.process.poll()
        if code is not None:
            self.violations.append(f"{node.name} exited unexpectedly with {code}")

    def run(self, run_phases):
        """Run the phases of the profile; return the start time of each."""
        self._heartbeats.start()
        for node in self.nodes:
            self.launch(node)
        for node in self.nodes:
            node.wait_ready()
        for caller in self.callers:
            caller.start()
        starts = run_phases(self)
        self.ended_at = time.monotonic()
        self._recover()
        for caller in self.callers:
            caller.stop()
        for caller in self.callers:
            caller.join(15)
        self._is_finished.set()
        return starts

    def _recover(self):
        """Wait until all nodes are ready, and check that they serve requests."""
        for node in self.nodes:
            self.launch(node)
        for servers in self.servers.values():
            for server in servers:
                self.call(server.script.clear)
        for node in self.nodes:
            try:
                node.wait_ready()
            except AssertionError:
                self.violations.append(f"{node.name} is not ready after the faults")
        time.sleep(3.0)
        for node in self.nodes:
            self._check_not_exited(node)
            if node.process.poll() is None:
                try:
                    self._check_node(node)
                except OSError as error:
                    self.violations.append(f"{node.name} after the faults: {error!r}")

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
                    f"{node.name}: expected status 200 for {kind} after the faults, "
                    f"got {reply.status}"
                )
        revoked = node.ask("last-key", "/read/a", None, Authorization="Bearer key-3")
        if revoked.status != (401 if self.is_key_revoked else 200):
            self.violations.append(
                f"{node.name} accepts or rejects key-3 by an old configuration"
            )

    def stop(self):
        self._is_finished.set()
        for link in [*self.store_links, *self.server_links.values()]:
            self.call(link.stop)
        for node in self.nodes:
            with node.launching:  # a launch that has begun
                pass
        super().stop()
