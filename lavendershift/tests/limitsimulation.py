"""Simulation of a fleet of VMs that share the limits of backend servers.

The real server lists, limits, permits, limit gossip, VM lists and working sets run in
virtual time. Network, store, heartbeats and backend servers are modelled.
``arrivals`` holds, apart from all of them, what the servers got. One run by hand::

    python -m lavendershift.tests.limitsimulation --vms 330 --limit 4 --demand 2000
"""

import argparse
import asyncio
import random
from collections import Counter

import msgspec

from lavendershift.datagrams import Datagrams
from lavendershift.factgossip import REPEAT_INTERVAL, FactGossip
from lavendershift.limitgossip import LimitFacts
from lavendershift.permits import Permits
from lavendershift.serverlist import ServerList
from lavendershift.serversignals import ServerSignal
from lavendershift.serverstates import NO_PROMPT, ServerEntry
from lavendershift.tests.virtualloop import VirtualLoop
from lavendershift.vmlist import VmList, VmRow
from lavendershift.workingset import WorkingSet

DOMAINS = ("rennes", "quimper", "brest")
SERVICE = "index"
HEARTBEAT_S = 0.5
ROW_S = 1.2  # interval between two renewals of a VM's row
DELAY_S = 0.001  # one-way delay between two VMs
CAPACITY = 50.0
# Time after a VM's fault until its requests count again.
EXCUSE_S = 3.0


class LimitingServer:
    """A backend server; ``limit`` is what its responses name, ``None`` for nothing."""

    def __init__(self, name):
        self.name = name
        self.born = 1000
        self.limit = None
        self.limits = [(0.0, None)]
        self.arrivals = []
        self.forwarded = []

    def set_limit(self, at, limit):
        self.limit = limit
        self.limits.append((at, limit))

    def find_highest(self, end, window_s=5.0):
        """Return the highest limit that was in force in the time before ``end``."""
        rates = []
        for number, (since, rate) in enumerate(self.limits):
            last = number + 1 == len(self.limits)
            until = end if last else self.limits[number + 1][0]
            if since <= end and until >= end - window_s:
                rates.append(float("inf") if rate is None else rate)
        return max(rates)


class SimulatedVm:
    """One VM; ``is_down`` is set while it is frozen or stopped.

    ``paused_until`` is the end of the last pause of its event loop.
    """

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.name = f"edge-{number}"
        self.domain = DOMAINS[number % len(DOMAINS)]
        self.is_down = False
        self.cut_until = self.paused_until = -1.0
        self.faults = []
        self.starts = 0
        self.start()

    def start(self):
        self.starts += 1
        fleet = self.fleet
        self.heard = {}
        row = VmRow(
            self.name,
            f"10.0.0.{self.number}:80",
            self.domain,
            f"{self.name}/{self.starts}",
            0,
            False,
            peer_address=f"10.0.0.{self.number}:{self.number + 1}",
            capacity=CAPACITY,
            is_active=False,
        )
        self.vms = VmList(fleet.loop, row)
        self.vms.set_silence_lookup(self._find_silence)
        self.working_set = WorkingSet(fleet.loop, self.vms.list_serving)
        self.servers = ServerList(fleet.loop, random.Random(self.number), self.domain)
        self.servers.count_vms = self.working_set.count
        for server in fleet.servers:
            self.list_server(server)
        self.datagrams = Datagrams()
        self.datagrams.send = self._send
        self.limit_facts = LimitFacts(self.servers.limits)
        self.gossip = FactGossip(
            [self.limit_facts],
            self.datagrams,
            self._list_peers,
            self._find_keeper,
        )
        self.servers.limits.on_change = self._note_limit
        self.permits = Permits(
            fleet.loop, self.servers.limits, self.datagrams, self._find_keeper
        )

    def list_server(self, server):
        entry = ServerEntry(
            server.name, SERVICE, "10.0.0.0:9", "", 64, False, server.born, 1
        )
        self.servers.update(entry)

    @property
    def is_cut(self):
        return self.fleet.loop.time() < self.cut_until

    @property
    def is_active(self):
        return self.name in self.working_set.list_names()

    def _find_silence(self, name):
        heard = self.heard.get(name)
        return None if heard is None else self.fleet.loop.elapsed() - heard

    def _list_peers(self):
        return self.vms.list_peers(self.vms.list_names())

    def _find_keeper(self, server):
        name = self.vms.choose_keeper(server, self.working_set.rank_members())
        if name == self.name:
            return None
        (address,) = self.vms.list_peers([name])
        return address

    def _note_limit(self, incarnation, state, is_own):
        if is_own:
            self.gossip.announce(self.limit_facts, {incarnation: state})

    def _send(self, message, peers):
        data = msgspec.msgpack.encode(message)
        for _, port in peers:
            self.fleet.deliver(self, port - 1, type(message), data)

    def receive(self, kind, data, sender):
        loop = self.fleet.loop
        if loop.time() < self.paused_until:
            loop.call_at(self.paused_until, self.receive, kind, data, sender)
        elif not self.is_down:
            message = msgspec.msgpack.decode(data, type=kind)
            address = (f"10.0.0.{sender.number}", sender.number + 1)
            self.datagrams._handlers[kind](message, address)

    def is_excused(self, at):
        return any(start <= at <= end + EXCUSE_S for start, end in self.faults)

    async def send_request(self):
        """Send one request, as a delivery does, and read its response."""
        fleet = self.fleet
        limits = self.servers.limits
        tried = []
        while True:
            chosen = self.servers.choose(SERVICE, NO_PROMPT, tried)
            if chosen is None:
                fleet.refused += 1
                return
            tried.append(chosen.entry.id)
            starts = self.starts
            is_granted = await self.permits.take(chosen.incarnation, 0)
            await asyncio.sleep(max(self.paused_until - fleet.loop.time(), 0))
            if is_granted:
                break
        if self.is_down or starts != self.starts:
            return
        sent_at = fleet.loop.elapsed()
        assignment = self.servers.start(chosen, NO_PROMPT)
        await asyncio.sleep(DELAY_S)
        server = fleet.find_server(chosen.entry.id)
        server.arrivals.append((fleet.loop.time(), self))
        limit = server.limit
        await asyncio.sleep(fleet.rng.expovariate(1 / fleet.response_s))
        self.servers.finish(assignment)
        if self.is_down or starts != self.starts:
            return
        if chosen.incarnation == (server.name, server.born):
            signal = ServerSignal(limit=limit)
            self.servers.note_signal(chosen, signal, sent_at)
            if limit is not None:
                server.forwarded.append((self, fleet.loop.time()))
        assert limits is self.servers.limits


class LimitFleet:
    """VMs, servers and network of one simulation.

    ``loss`` is the share of datagrams that are lost, ``demand`` the requests/s of all
    callers, ``response_s`` the mean time of a response. The event loop of each VM
    pauses about once a second, for at most ``pause_s``.
    """

    vm_type = SimulatedVm

    def __init__(
        self,
        seed,
        vms,
        servers=3,
        demand=40.0,
        loss=0.0,
        response_s=0.05,
        pause_s=0.0,
    ):
        self.loop = VirtualLoop()
        self.rng = random.Random(seed)
        self.servers = [LimitingServer(f"i-{number}") for number in range(servers)]
        self.demand, self.loss, self.response_s = demand, loss, response_s
        self.pause_s = pause_s
        self.is_store_down = False
        self.refused = 0
        self.datagrams = Counter()
        self.vms = [self.vm_type(self, number) for number in range(vms)]
        self.tasks = set()

    def find_server(self, name):
        return next(server for server in self.servers if server.name == name)

    def deliver(self, sender, number, kind, data):
        """Deliver a datagram after the delay of the network, if nothing loses it."""
        self.datagrams[sender.name, kind.__name__] += 1
        receiver = self.vms[number]
        if sender.is_cut or receiver.is_cut or self.rng.random() < self.loss:
            return
        delay_s = DELAY_S * self.rng.uniform(0.5, 3)
        self.loop.call_later(delay_s, receiver.receive, kind, data, sender)

    def restart_server(self, server):
        server.born += 1
        server.set_limit(self.loop.time(), None)
        for vm in self.vms:
            vm.list_server(server)

    def stop_vm(self, vm, for_s, is_restarted):
        """Freeze a VM, or kill and start it."""
        now = self.loop.time()
        vm.is_down = True
        vm.faults.append((now, now + for_s))
        self.loop.call_later(for_s, self._wake_vm, vm, is_restarted)

    def _wake_vm(self, vm, is_restarted):
        vm.is_down = False
        if is_restarted:
            vm.start()
            self._renew_rows()

    def cut_vm(self, vm, for_s):
        """Cut a VM off from the others, but not from the store."""
        now = self.loop.time()
        vm.cut_until = now + for_s
        vm.faults.append((now, now + for_s))

    def _renew_rows(self):
        """Let each VM write its row and read those of the others."""
        if self.is_store_down:
            return
        rows = []
        for vm in self.vms:
            if not vm.is_down:
                own = vm.vms.own
                arrivals = self.demand / len(self.vms) if vm.is_active else 0.0
                own = own._replace(
                    renewal=own.renewal + 1, is_active=vm.is_active, arrivals=arrivals
                )
                vm.vms.set_own(own)
                rows.append(own)
        for vm in self.vms:
            if not vm.is_down:
                for row in rows:
                    vm.vms.update(row)
                vm.vms.expire()

    async def _exchange_rows(self):
        while True:
            self._renew_rows()
            await asyncio.sleep(ROW_S)

    async def _send_heartbeats(self):
        """Let the active VMs be heard, by active ones and those of their domain."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            now = self.loop.elapsed()
            active = [v for v in self.vms if not v.is_down and v.is_active]
            for sender in active:
                if sender.is_cut:
                    continue
                for vm in self.vms:
                    if vm.is_down or vm.is_cut or vm is sender:
                        continue
                    if not vm.is_active and vm.domain != sender.domain:
                        continue
                    if self.rng.random() >= self.loss:
                        vm.heard[sender.name] = now

    async def _repeat_limits(self):
        while True:
            await asyncio.sleep(REPEAT_INTERVAL.total_seconds())
            for vm in self.vms:
                if not vm.is_down:
                    vm.gossip.repeat()

    async def _pause_vms(self):
        """Pause event loops, as on a machine that other processes keep busy."""
        rng = random.Random(f"pauses/{len(self.vms)}")
        while self.pause_s:
            await asyncio.sleep(rng.expovariate(len(self.vms)))
            end = self.loop.time() + rng.uniform(0, self.pause_s)
            vm = rng.choice(self.vms)
            vm.paused_until = max(vm.paused_until, end)

    async def _send_requests(self):
        """Send callers' requests: most to active VMs, some to any VM."""
        while True:
            await asyncio.sleep(self.rng.expovariate(self.demand))
            views = [vm for vm in self.vms if not vm.is_down]
            if not views:
                continue
            names = self.rng.choice(views).working_set.list_names()
            vm = self.rng.choice(views)
            if self.rng.random() < 0.8 and names:
                vm = self.vms[int(self.rng.choice(names).split("-")[1])]
            if vm.is_down:
                continue
            task = self.loop.create_task(vm.send_request())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def run(self, seconds, schedule=()):
        """Run for some time; ``schedule`` holds times and functions to call then."""
        loops = [
            self._exchange_rows,
            self._send_heartbeats,
            self._repeat_limits,
            self._send_requests,
            self._pause_vms,
        ]
        tasks = [self.loop.create_task(each()) for each in loops]
        for at, function, *arguments in schedule:
            self.loop.call_later(at, function, *arguments)
        try:
            self.loop.run_until_complete(asyncio.sleep(seconds))
            for task in [*tasks, *self.tasks]:
                task.cancel()
            self.loop.run_until_complete(
                asyncio.gather(*tasks, *self.tasks, return_exceptions=True)
            )
        finally:
            self.loop.close()


def main():
    parser = argparse.ArgumentParser(description="Play a fleet with a limited server.")
    parser.add_argument("--vms", type=int, default=8)
    parser.add_argument("--limit", type=float, default=4.0, help="requests/s")
    parser.add_argument("--limited", type=int, default=1, help="servers with the limit")
    parser.add_argument("--servers", type=int, default=3)
    parser.add_argument("--demand", type=float, default=100.0, help="requests/s")
    parser.add_argument("--seconds", type=float, default=30.0)
    options = parser.parse_args()
    fleet = LimitFleet(1, options.vms, options.servers, options.demand)
    limited = fleet.servers[: options.limited]
    start_s = 5.0
    schedule = [(start_s, s.set_limit, start_s, options.limit) for s in limited]
    fleet.run(start_s + options.seconds, schedule)
    for server in limited:
        times = [at for at, _ in server.arrivals if at > start_s + 3]
        most = max(sum(at - 4 < t <= at for t in times) for at in times)
        print(
            f"{server.name}: {len(times) / (options.seconds - 3):.2f} requests/s, "
            f"{most} in 4 s, {6 * options.limit + 5:g} allowed"
        )
    kinds, senders = Counter(), Counter()
    for (sender, kind), count in fleet.datagrams.items():
        kinds[kind] += count
        senders[sender] += count
    for kind, count in sorted(kinds.items()):
        print(f"{kind}: {count / options.seconds:.0f} datagrams/s")
    (_, most), *_ = senders.most_common(1)
    print(f"busiest VM: {most / options.seconds:.0f} datagrams/s")


if __name__ == "__main__":
    main()
