"""Simulation of a fleet of VMs whose servers crash on parts of prompts.

The real quarantines, crash gossip, trials, VM lists and working sets run in virtual
time. Network, store, callers and servers are modelled. One run by hand::

    python -m lavendershift.tests.crashsimulation --vms 330 --demand 300
"""

import argparse
import asyncio
import itertools
import random
from collections import Counter

from lavendershift.crashes import Suspect
from lavendershift.factgossip import FactGossip
from lavendershift.quarantine import Quarantine
from lavendershift.quarantinegossip import (
    CrashGossip,
    QuarantineFacts,
    make_keeper_key,
)
from lavendershift.tests.limitsimulation import LimitFleet, SimulatedVm
from lavendershift.trials import Trials

DOWN_S = 3.0  # time until a crashed server is back
READ_S = (0.05, 0.5)  # shortest and longest time to the first event
BEGIN_S = 0.004  # time from the head of a response to its first event
PROBE_S = (0.001, 0.004)  # time from a crash until a VM has found it out
POPULAR, BOOKS = 3, 140  # numbers of first and second parts of sound prompts


class CrashingServer:
    """A server, and its requests without an event."""

    def __init__(self, name):
        self.name = name
        self.born = 1
        self.flights = {}
        self.is_up = True


class CrashVm(SimulatedVm):
    """A VM that sends prompts to servers."""

    def start(self):
        super().start()
        fleet = self.fleet
        rng = random.Random(f"{self.number}/{self.starts}")
        self.quarantine = Quarantine(fleet.loop, rng)
        self.facts = QuarantineFacts(fleet.loop, self.quarantine)
        self.gossip = FactGossip(
            [self.facts], self.datagrams, self._list_peers, self._find_keeper
        )
        self.crash_gossip = CrashGossip(
            self.quarantine, self.datagrams, self._list_peers, rng
        )
        self.trials = Trials(
            fleet.loop,
            self.quarantine,
            self.facts,
            self.datagrams,
            self._find_keeper,
            self._list_peers,
        )
        self.quarantine.on_change = self._note_quarantine

    def _note_quarantine(self, parts, state, cause, is_own):
        fleet = self.fleet
        if state.is_active:
            fleet.quarantined[parts] += 1
            self._stop_flights(parts)
        is_keeper = self._find_keeper(make_keeper_key(parts)) is None
        if is_own or (cause == "crash" and is_keeper):
            self.gossip.announce(self.facts, {parts: state})

    def _stop_flights(self, parts):
        for server in self.fleet.backends:
            for flight in list(server.flights):
                if flight.vm is self and set(parts) <= set(flight.parts):
                    del server.flights[flight]

    async def send_request(self):
        """Send one sound prompt."""
        rng = self.fleet.rng
        parts = (
            f"popular-{rng.randrange(POPULAR)}",
            f"book-{rng.randrange(BOOKS)}",
            f"own-{next(self.fleet.numbers)}",
        )
        await self.send_prompt(parts)

    async def send_prompt(self, parts):
        fleet = self.fleet
        is_deadly = not fleet.deadly.isdisjoint(parts)
        block = self.quarantine.find(parts)
        if block is not None and not (
            block.is_trial_due and await self.trials.take(block.parts)
        ):
            fleet.blocked["deadly" if is_deadly else "sound"] += 1
            return
        for _ in range(2):
            up = [server for server in fleet.backends if server.is_up]
            if not up or self.is_down:
                fleet.unserved += 1
                return
            if await self._attempt(fleet.rng.choice(up), parts, is_deadly):
                return

    async def _attempt(self, server, parts, is_deadly):
        """Return whether a request ended otherwise than by a crash before its head."""
        fleet = self.fleet
        if is_deadly:
            fleet.deadly_arrivals.append((fleet.loop.time(), self))
        flight = Flight(self, parts)
        server.flights[flight] = None
        await asyncio.sleep(fleet.rng.uniform(*READ_S))
        if flight not in server.flights:
            return flight.has_begun
        flight.has_begun = True
        await asyncio.sleep(BEGIN_S)
        if flight not in server.flights:
            return True
        if is_deadly:
            fleet.crash(server)
            return True
        del server.flights[flight]
        if not self.is_down:
            self.quarantine.note_answer(parts)
        fleet.served += 1
        return True


class Flight:
    """A request in flight, without an event so far."""

    def __init__(self, vm, parts):
        self.vm, self.parts = vm, parts
        self.starts = vm.starts
        self.has_begun = False


class CrashFleet(LimitFleet):
    """VMs and servers that crash on the parts in ``deadly``."""

    vm_type = CrashVm

    def __init__(self, seed, vms, servers=6, **options):
        self.backends = [CrashingServer(f"i-{number}") for number in range(servers)]
        self.numbers = itertools.count()
        self.deadly = {"dead"}
        self.crashes = []
        self.deadly_arrivals = []
        self.quarantined = Counter()
        self.blocked = Counter()
        self.served = self.unserved = 0
        super().__init__(seed, vms, servers=0, **options)

    def crash(self, server):
        """Let a server crash, and its VMs find out."""
        if not server.is_up:
            return
        self.crashes.append(self.loop.time())
        incarnation = (server.name, server.born)
        flights, server.flights = list(server.flights), {}
        server.is_up = False
        for vm in {flight.vm: None for flight in flights}:
            own = [f for f in flights if f.vm is vm and f.starts == vm.starts]
            suspects = [Suspect(f.parts, f.has_begun) for f in own]
            self.loop.call_later(
                self.rng.uniform(*PROBE_S), self._report, vm, incarnation, suspects
            )
        self.loop.call_later(DOWN_S, self._restart, server)

    def _report(self, vm, incarnation, suspects):
        if not vm.is_down:
            vm.crash_gossip.report_crash(incarnation, suspects)

    def _restart(self, server):
        server.born += 1
        server.is_up = True

    def send_deadly(self, part="dead"):
        """Send a prompt with a deadly part to a VM, most to active ones."""
        names = self.rng.choice(self.vms).working_set.list_names()
        vm = self.rng.choice(self.vms)
        if self.rng.random() < 0.8 and names:
            vm = self.vms[int(self.rng.choice(names).split("-")[1])]
        if vm.is_down:
            return
        parts = (
            f"popular-{self.rng.randrange(POPULAR)}",
            part,
            f"own-{next(self.numbers)}",
        )
        task = self.loop.create_task(vm.send_prompt(parts))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def main():
    parser = argparse.ArgumentParser(description="Play a fleet with deadly prompts.")
    parser.add_argument("--vms", type=int, default=8)
    parser.add_argument("--servers", type=int, default=6)
    parser.add_argument("--demand", type=float, default=40.0, help="requests/s")
    parser.add_argument("--rate", type=float, default=1.0, help="deadly requests/s")
    parser.add_argument("--seconds", type=float, default=30.0)
    options = parser.parse_args()
    fleet = CrashFleet(1, options.vms, options.servers, demand=options.demand)
    start_s = 5.0
    count = int(options.seconds * options.rate)
    schedule = [(start_s + n / options.rate, fleet.send_deadly) for n in range(count)]
    fleet.run(start_s + options.seconds, schedule)
    sound = [parts for parts in fleet.quarantined if "dead" not in parts]
    print(f"{len(fleet.crashes)} crashes, {fleet.served} sound requests served")
    print(f"{fleet.blocked['sound']} sound requests refused, sound parts: {sound}")
    kinds, senders = Counter(), Counter()
    for (sender, kind), number in fleet.datagrams.items():
        kinds[kind] += number
        senders[sender] += number
    for kind, number in sorted(kinds.items()):
        print(f"{kind}: {number / options.seconds:.1f} datagrams/s")
    for _, most in senders.most_common(1):
        print(f"busiest VM: {most / options.seconds:.1f} datagrams/s")


if __name__ == "__main__":
    main()
