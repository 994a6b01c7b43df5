"""Random schedules of servers that come, leave and lapse, against several VMs.

A model of servers, store and cuts in virtual time around the real decisions: entries
decoded, feeds, the list of servers, notices and lapses. The bounds are those of the
users' pages, whatever the readings do.
"""

import json
import random
from datetime import timedelta

import logbook
import pytest

from lavendershift.clocks import ManualClock
from lavendershift.errors import LogUnavailableError
from lavendershift.logs import EventLog
from lavendershift.notices import ServerSignal
from lavendershift.platform.feeds import ServerFeed
from lavendershift.platform.store import Batch, Record
from lavendershift.serverlist import ServerList
from lavendershift.serverstates import NO_PROMPT

STEP_S = 0.05
LENGTH_S = 60.0
QUIET_S = 8.0  # at the end, in which nothing new goes wrong
DRAIN_S = 2.0  # in which a leaving server may still get requests
TOUCH_S = 3.0  # after a fault, until a VM is held to that
BEAT_S = 1.2
LAPSE_S = 3 * BEAT_S
BACK_S = 2.0  # from the store's return until entries are back
NOTICED_S = 0.65  # from the store's return until a reading succeeds
INTERVALS_S = (0.4, 2.0 / 3)  # between readings, of an active VM and another
HANG_S = 0.45  # that a reading which hangs is late, with the one made beside it


class Server:
    """One process of a server; ``left_at`` is when the store knew that it leaves."""

    def __init__(self, name, born):
        self.name, self.born = name, born
        self.sequence = 1
        self.state = "ready"
        self.is_alive = True
        self.announces = False
        self.left_at = None
        self.ends_at = None
        self.busy_until = 0.0

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
        kept = {key: value for key, value in entry.items() if value is not None}
        return json.dumps(kept).encode()


class Vm:
    """A VM's knowledge, the faults that excuse it, and what servers told it."""

    def __init__(self, world, number):
        self.world, self.name = world, f"edge-{number}"
        self.interval_s = INTERVALS_S[number % 2]
        self.cut_until = 0.0
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
            timedelta(seconds=BEAT_S),
        )
        self.offset = 0
        self.read_at = world.now
        self.disturbed_at = world.now
        self.was_away = False
        self.told_to_leave = set()
        self.paused = {}

    def is_away(self):
        return self.world.now < max(self.cut_until, self.world.down_until)

    def is_in_touch(self):
        return self.world.now - self.disturbed_at > TOUCH_S

    def read(self):
        """Read when it is time to; a failed reading is tried again soon."""
        world = self.world
        if self.is_away():
            self.disturbed_at = world.now
            if not self.was_away:
                self.was_away = True
                self.feed.note_failure(LogUnavailableError("away"))
            self.read_at = None
            return
        if self.read_at is None:
            self.read_at = world.now + world.rng.uniform(0, NOTICED_S)
        if world.now < self.read_at:
            return
        records = [Record(*record) for record in world.log[self.offset :]]
        self.offset = len(world.log)
        self.feed.note_reading(Batch(records, 0, 0), is_whole=False)
        self.was_away = False
        hang = world.rng.uniform(0, HANG_S) if world.rng.random() < 0.1 else 0.0
        self.read_at = world.now + self.interval_s + hang

    def place(self):
        """Place one request, and note what breaks a bound."""
        world = self.world
        chosen = self.servers.choose("pool", NO_PROMPT, ())
        if chosen is None:
            return False
        key = (chosen.entry.id, chosen.entry.born)
        server = world.servers.get(key)
        if key in self.told_to_leave:
            world.broken.append(f"{world.now:.2f} {self.name} {key} had told it leaves")
        if self.paused.get(key, 0.0) > world.now:
            world.broken.append(f"{world.now:.2f} {self.name} {key} wants a pause")
        if self.is_in_touch() and world.now > world.find_bound(key):
            world.broken.append(f"{world.now:.2f} {self.name} {key} has left")
        if server is None or not server.is_alive:
            self.servers.note_unreachable(chosen)
            return True
        is_busy = world.now < server.busy_until
        left_s = server.busy_until - world.now
        pause = timedelta(seconds=left_s) if is_busy else None
        self.servers.note_signal(chosen, ServerSignal(server.announces, pause))
        if server.announces:
            self.told_to_leave.add(key)
        if is_busy:
            self.paused[key] = server.busy_until
        return True


class World:
    """Servers, the store's log, and VMs that read it."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.now = 0.0
        self.down_until = 0.0
        self.down_since = None
        self.unstable_at = 0.0
        self.log = []
        self.servers = {}
        self.broken = []
        self.returns = []
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
        self.returns.append((self.now, server))
        return server

    def find_bound(self, key):
        """Return until when a VM in touch may send requests to a server."""
        server = self.servers[key]
        if server.left_at is None:
            return float("inf")
        return server.left_at + DRAIN_S

    def list_ready(self):
        return [s for s in self.servers.values() if s.is_alive and s.state == "ready"]

    def is_down(self):
        return self.now < self.down_until

    def take_store_away(self, for_s):
        self.down_since = self.now
        self.down_until = self.now + for_s

    def bring_store_back(self):
        """Entries lapsed if no beat came for long, and come back one by one."""
        away_s = self.now - self.down_since + BEAT_S * self.rng.random()
        self.down_since = None
        for server in self.servers.values():
            if away_s < LAPSE_S or server.left_at is not None:
                continue
            self.append(server, b"")
            if server.is_alive and server.state == "ready":
                self.returns.append((self.now + self.rng.uniform(0, BACK_S), server))

    def note_leaving(self, server):
        """The store takes over that a server leaves, with its entry or without."""
        is_told = self.rng.random() < 0.6
        server.state, server.sequence = "draining", server.sequence + 1
        self.append(server, server.encode() if is_told else b"")
        server.left_at = self.now
        server.ends_at = self.now + DRAIN_S + self.rng.uniform(0, 3)
        self.start_server()

    def step(self, is_quiet):
        self.now += STEP_S
        self.clock.advance(timedelta(seconds=STEP_S))
        if self.down_since is not None and not self.is_down():
            self.bring_store_back()
        for due, server in [r for r in self.returns if r[0] <= self.now]:
            if self.is_down():
                continue
            self.returns.remove((due, server))
            if server.is_alive and server.left_at is None:
                server.sequence += 1
                self.append(server, server.encode())
        for server in self.servers.values():
            if server.ends_at is not None and server.ends_at <= self.now:
                server.is_alive, server.ends_at = False, None
                if not self.is_down():
                    self.append(server, b"")
        if not is_quiet:
            self.harm()
        for vm in self.vms:
            vm.read()
            vm.place()

    def harm(self):
        """Let something happen now and then."""
        if self.rng.random() > 0.04:
            return
        kinds = [
            self.release,
            self.release,
            self.announce,
            self.turn_away,
            self.cut,
            self.cut,
            self.cut_all,
            self.take_away,
            self.restart_vm,
            self.restart_server,
            self.write_as_another,
        ]
        self.rng.choice(kinds)()

    def release(self):
        ready = self.list_ready()
        if len(ready) > 2 and not self.is_down():
            self.note_leaving(self.rng.choice(ready))

    def announce(self):
        ready = [s for s in self.list_ready() if not s.announces]
        if len(ready) > 3:
            self.rng.choice(ready).announces = True

    def turn_away(self):
        server = self.rng.choice(self.list_ready())
        server.busy_until = self.now + self.rng.uniform(0.5, 4)

    def cut(self):
        vm = self.rng.choice(self.vms)
        vm.cut_until = self.now + self.rng.uniform(0.5, 9)

    def cut_all(self):
        until = self.now + self.rng.uniform(2, 9)
        for vm in self.vms:
            vm.cut_until = until

    def take_away(self):
        if not self.is_down():
            self.take_store_away(self.rng.uniform(0.5, 6))

    def restart_vm(self):
        self.rng.choice(self.vms).restart()

    def restart_server(self):
        """A server is started again under its id, with a new incarnation."""
        server = self.rng.choice(self.list_ready())
        server.is_alive, server.left_at = False, self.now
        self.start_server(server.name)

    def write_as_another(self):
        if not self.is_down():
            server = self.rng.choice(self.list_ready())
            missing = self.rng.choice(["slots", "zone", "version", "sequence"])
            changes = {"sequence": 900, "state": "ready"} | {missing: None}
            self.append(server, server.encode(**changes))

    def play(self):
        while self.now < LENGTH_S:
            self.step(is_quiet=self.now > LENGTH_S - QUIET_S)


@pytest.mark.parametrize("first", range(0, 80, 20))
def test_no_schedule_sends_a_request_to_a_server_that_left(first):
    for seed in range(first, first + 20):
        world = World(seed)
        world.play()
        assert world.broken == [], f"seed {seed}"
        served = [vm.place() for vm in world.vms]
        assert all(served), f"seed {seed}: {served}"
