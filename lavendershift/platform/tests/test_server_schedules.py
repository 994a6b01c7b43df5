"""Random schedules of starting, draining and expiring servers, with several VMs.

Servers, the store and network faults are modelled in virtual time. The code under test
is real: decoding of entries, feeds, the server list, signals of servers and expiries.
The bounds are those of the documentation, whatever happens to the readings.
"""

import json
import random
from datetime import timedelta

import logbook
import pytest

from lavendershift.clocks import ManualClock
from lavendershift.errors import LogUnavailableError
from lavendershift.logs import EventLog
from lavendershift.platform.feeds import ServerFeed
from lavendershift.platform.storerecords import Batch, Record
from lavendershift.serverlist import ServerList
from lavendershift.serversignals import ServerSignal
from lavendershift.serverstates import NO_PROMPT

STEP_S = 0.05
LENGTH_S = 60.0
QUIET_PERIOD_S = 8.0  # time without new faults at the end of a schedule
DRAIN_S = 2.0  # time in which a draining server may still get requests
RECOVERY_S = 3.0  # time after a VM's last fault until it has to obey DRAIN_S
HEARTBEAT_S = 1.2
ENTRY_EXPIRY_S = 3 * HEARTBEAT_S
ENTRY_RENEWAL_S = 2.0  # limit for entries to be written again after an outage
READ_RETRY_S = 0.65  # limit for the first successful reading after an outage
# Intervals between readings of an active and of a standby VM.
READ_INTERVALS_S = (0.4, 2.0 / 3)
READ_DELAY_S = 0.45  # largest delay of a reading that hangs, its hedge included


class Server:
    """One process of a server; ``left_at`` is when the store recorded its drain."""

    def __init__(self, name, born):
        self.name, self.born = name, born
        self.sequence = 1
        self.state = "ready"
        self.is_alive = True
        self.announces_drain = False
        self.left_at = None
        self.stops_at = None
        self.paused_until = 0.0

    def encode(self, **changes):
        entry = {
            "service": "pool",
            "address": f"10.0.0.{self.name[2:]}:80",
            "zone": "rennes",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        } | changes
        present = {key: value for key, value in entry.items() if value is not None}
        return json.dumps(present).encode()


class Vm:
    """A VM with its server list, its latest fault and the signals it received."""

    def __init__(self, world, number):
        self.world, self.name = world, f"edge-{number}"
        self.interval_s = READ_INTERVALS_S[number % 2]
        self.disconnected_until = 0.0
        self.restart()

    def restart(self):
        world = self.world
        self.servers = ServerList(world.clock, world.rng)
        log = EventLog(logbook.NullHandler(), self.name, "rennes", world.clock)
        self.feed = ServerFeed(
            world.clock,
            None,
            log,
            self.servers,
            lambda entry: None,
            timedelta(seconds=DRAIN_S),
            timedelta(seconds=HEARTBEAT_S),
        )
        self.offset = 0
        self.read_at = world.now
        self.last_fault_at = world.now
        self.was_disconnected = False
        self.announced_drain = set()
        self.paused = {}

    def is_disconnected(self):
        return self.world.now < max(self.disconnected_until, self.world.down_until)

    def has_recovered(self):
        return self.world.now - self.last_fault_at > RECOVERY_S

    def read(self):
        """Read entries when the interval has passed, or soon after an outage."""
        world = self.world
        if self.is_disconnected():
            self.last_fault_at = world.now
            if not self.was_disconnected:
                self.was_disconnected = True
                self.feed.note_failure(LogUnavailableError("unreachable"))
            self.read_at = None
            return
        if self.read_at is None:
            self.read_at = world.now + world.rng.uniform(0, READ_RETRY_S)
        if world.now < self.read_at:
            return
        records = [Record(*record) for record in world.log[self.offset :]]
        self.offset = len(world.log)
        self.feed.note_reading(Batch(records, 0, 0), is_snapshot=False)
        self.was_disconnected = False
        hang = world.rng.uniform(0, READ_DELAY_S) if world.rng.random() < 0.1 else 0.0
        self.read_at = world.now + self.interval_s + hang

    def send_request(self):
        """Send one request, and record violations of the bounds."""
        world = self.world
        chosen = self.servers.choose("pool", NO_PROMPT, ())
        if chosen is None:
            return False
        key = (chosen.entry.id, chosen.entry.born)
        server = world.servers.get(key)
        if key in self.announced_drain:
            world.violations.append(
                f"{world.now:.2f} {self.name} {key} announced a drain"
            )
        if self.paused.get(key, 0.0) > world.now:
            world.violations.append(f"{world.now:.2f} {self.name} {key} is paused")
        if self.has_recovered() and world.now > world.find_drain_deadline(key):
            world.violations.append(f"{world.now:.2f} {self.name} {key} has drained")
        if server is None or not server.is_alive:
            self.servers.note_unreachable(chosen)
            return True
        is_paused = world.now < server.paused_until
        left_s = server.paused_until - world.now
        pause = timedelta(seconds=left_s) if is_paused else None
        self.servers.note_signal(chosen, ServerSignal(server.announces_drain, pause))
        if server.announces_drain:
            self.announced_drain.add(key)
        if is_paused:
            self.paused[key] = server.paused_until
        return True


class World:
    """Servers, the log of the store, and VMs that read it."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.now = 0.0
        self.down_until = 0.0
        self.down_since = None
        self.unstable_at = 0.0
        self.log = []
        self.servers = {}
        self.violations = []
        self.renewals = []
        self.numbers = 0
        for _ in range(6):
            self.start_server()
        self.vms = [Vm(self, number) for number in range(4)]

    def append(self, server, value):
        self.log.append((len(self.log), server.name.encode(), value))

    def start_server(self, name=""):
        self.numbers += 1
        name = name or f"i-{self.numbers}"
        server = Server(name, 1000 + self.numbers)
        self.servers[server.name, server.born] = server
        self.renewals.append((self.now, server))
        return server

    def find_drain_deadline(self, key):
        """Return the time until which a recovered VM may send requests to a server."""
        server = self.servers[key]
        if server.left_at is None:
            return float("inf")
        return server.left_at + DRAIN_S

    def list_ready(self):
        return [s for s in self.servers.values() if s.is_alive and s.state == "ready"]

    def is_down(self):
        return self.now < self.down_until

    def stop_store(self, for_s):
        self.down_since = self.now
        self.down_until = self.now + for_s

    def restart_store(self):
        """End the outage: entries that expired in it are rewritten one by one."""
        outage_s = self.now - self.down_since + HEARTBEAT_S * self.rng.random()
        self.down_since = None
        for server in self.servers.values():
            if outage_s < ENTRY_EXPIRY_S or server.left_at is not None:
                continue
            self.append(server, b"")
            if server.is_alive and server.state == "ready":
                self.renewals.append(
                    (self.now + self.rng.uniform(0, ENTRY_RENEWAL_S), server)
                )

    def start_drain(self, server):
        """Record a drain in the store, as a state of the entry or by its removal."""
        entry_states_drain = self.rng.random() < 0.6
        server.state, server.sequence = "draining", server.sequence + 1
        self.append(server, server.encode() if entry_states_drain else b"")
        server.left_at = self.now
        server.stops_at = self.now + DRAIN_S + self.rng.uniform(0, 3)
        self.start_server()

    def step(self, is_quiet_period):
        self.now += STEP_S
        self.clock.advance(timedelta(seconds=STEP_S))
        if self.down_since is not None and not self.is_down():
            self.restart_store()
        for due, server in [r for r in self.renewals if r[0] <= self.now]:
            if self.is_down():
                continue
            self.renewals.remove((due, server))
            if server.is_alive and server.left_at is None:
                server.sequence += 1
                self.append(server, server.encode())
        for server in self.servers.values():
            if server.stops_at is not None and server.stops_at <= self.now:
                server.is_alive, server.stops_at = False, None
                if not self.is_down():
                    self.append(server, b"")
        if not is_quiet_period:
            self.inject_fault()
        for vm in self.vms:
            vm.read()
            vm.send_request()

    def inject_fault(self):
        """Inject a random fault or event from time to time."""
        if self.rng.random() > 0.04:
            return
        kinds = [
            self.drain_server,
            self.drain_server,
            self.announce_drain,
            self.pause_server,
            self.disconnect_vm,
            self.disconnect_vm,
            self.disconnect_all_vms,
            self.interrupt_store,
            self.restart_vm,
            self.restart_server,
            self.write_conflicting_entry,
        ]
        self.rng.choice(kinds)()

    def drain_server(self):
        ready = self.list_ready()
        if len(ready) > 2 and not self.is_down():
            self.start_drain(self.rng.choice(ready))

    def announce_drain(self):
        ready = [s for s in self.list_ready() if not s.announces_drain]
        if len(ready) > 3:
            self.rng.choice(ready).announces_drain = True

    def pause_server(self):
        server = self.rng.choice(self.list_ready())
        server.paused_until = self.now + self.rng.uniform(0.5, 4)

    def disconnect_vm(self):
        vm = self.rng.choice(self.vms)
        vm.disconnected_until = self.now + self.rng.uniform(0.5, 9)

    def disconnect_all_vms(self):
        until = self.now + self.rng.uniform(2, 9)
        for vm in self.vms:
            vm.disconnected_until = until

    def interrupt_store(self):
        if not self.is_down():
            self.stop_store(self.rng.uniform(0.5, 6))

    def restart_vm(self):
        self.rng.choice(self.vms).restart()

    def restart_server(self):
        """Restart a server with the same id and a new incarnation."""
        server = self.rng.choice(self.list_ready())
        server.is_alive, server.left_at = False, self.now
        self.start_server(server.name)

    def write_conflicting_entry(self):
        if not self.is_down():
            server = self.rng.choice(self.list_ready())
            missing = self.rng.choice(["slots", "zone", "version", "sequence"])
            changes = {"sequence": 900, "state": "ready"} | {missing: None}
            self.append(server, server.encode(**changes))

    def run(self):
        while self.now < LENGTH_S:
            self.step(is_quiet_period=self.now > LENGTH_S - QUIET_PERIOD_S)


@pytest.mark.parametrize("first", range(0, 80, 20))
def test_no_schedule_sends_a_request_to_a_drained_server(first):
    for seed in range(first, first + 20):
        world = World(seed)
        world.run()
        assert world.violations == [], f"seed {seed}"
        served = [vm.send_request() for vm in world.vms]
        assert all(served), f"seed {seed}: {served}"
