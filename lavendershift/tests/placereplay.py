"""Replay of a fleet of VMs that send plain work to servers with few slots.

The real server lists and places run in virtual time. Datagrams, reports of load and the
servers are modelled. ``outcomes`` counts what became of requests, ``wasted`` is the
share of arrivals that a full server turned away. One run by hand::

    python -m lavendershift.tests.placereplay --without-places
"""

import argparse
import asyncio
import random
from collections import Counter
from datetime import timedelta

import msgspec

from lavendershift.datagrams import Datagrams
from lavendershift.errors import RequestError
from lavendershift.gossip import DELAY_PER_SQUARED_PEER
from lavendershift.requesttimes import RESPONSE_RESERVE
from lavendershift.serverlist import ServerList
from lavendershift.serverplaces import NO_PLACE, ServerPlaces
from lavendershift.serverstates import NO_PROMPT, ServerEntry, ServerLoad
from lavendershift.tests.virtualloop import VirtualLoop

SERVICE = "proof"
SLOTS, QUEUE = 6, 24
DELAYS_S = (0.0002, 0.0014)  # one-way delay within and between failure domains
TARGET_S, DEADLINE_S = 0.418, 1.569
BURST_FACTOR, BURST_S, CALM_S = 2.4, 2.0, 4.0
MAX_SENDS = 3


class PlainServer:
    """A server with slots and a queue."""

    def __init__(self, name, work_s):
        self.name, self.work_s = name, work_s
        self.in_flight = 0
        self.arrivals = self.refused = 0
        self.slots = asyncio.Semaphore(SLOTS)

    async def serve(self):
        """Return whether the request was served; a full server refuses it."""
        self.arrivals += 1
        if self.in_flight >= SLOTS + QUEUE:
            self.refused += 1
            return False
        self.in_flight += 1
        async with self.slots:
            await asyncio.sleep(self.work_s)
        self.in_flight -= 1
        return True


class PlaceVm:
    """One VM; ``is_cut`` is set while no datagram reaches or leaves it.

    While ``paused`` is a list, it collects the datagrams that arrive.
    """

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.is_cut = False
        self.paused = None
        self.servers = ServerList(fleet.loop, random.Random(number))
        for server in fleet.servers:
            self.servers.update(
                ServerEntry(server.name, SERVICE, server.name, "", SLOTS, False, 1, 1)
            )
        self.datagrams = Datagrams()
        self.datagrams.send = self._send
        self.places = ServerPlaces(
            fleet.loop,
            random.Random(number + 500),
            self.servers,
            self.datagrams,
            lambda key: None if fleet.keeper == number else ("vm", fleet.keeper),
        )
        self.servers.on_load_change = self._note_change
        self.is_reporting = False

    def _send(self, message, peers):
        self.fleet.datagrams[type(message).__name__] += len(peers)
        data = msgspec.msgpack.encode(message)
        for _, number in peers:
            self.fleet.deliver(self, number, type(message), data)

    def pause(self):
        self.paused = []

    def resume(self):
        arrived, self.paused = self.paused, None
        for datagram in arrived:
            self.receive(*datagram)

    def receive(self, kind, data, sender):
        if self.paused is not None:
            self.paused.append((kind, data, sender))
            return
        message = msgspec.msgpack.decode(data, type=kind)
        self.datagrams._handlers[kind](message, ("vm", sender))

    def _note_change(self, server, parts):
        """Report the load after the delay that gossip has in a fleet of this size."""
        if not self.is_reporting:
            self.is_reporting = True
            delay = DELAY_PER_SQUARED_PEER * len(self.fleet.vms) ** 2
            self.fleet.loop.call_later(delay.total_seconds(), self._report_load)

    def _report_load(self):
        self.is_reporting = False
        if self.is_cut:
            return
        for server in self.fleet.servers:
            load = self.servers.measure_own_load(server.name)
            for vm in self.fleet.vms:
                if vm is not self and not vm.is_cut:
                    vm.servers.record_peer_load(
                        str(self.number), server.name, ServerLoad(*load), ()
                    )

    async def send_request(self, urgency):
        """Send a request, as a delivery does; return what became of it."""
        loop, place = self.fleet.loop, NO_PLACE
        started = loop.elapsed()
        if self.fleet.has_places:
            try:
                place = await self.places.take(
                    SERVICE,
                    urgency,
                    started + timedelta(seconds=TARGET_S),
                    started + timedelta(seconds=DEADLINE_S) - RESPONSE_RESERVE,
                )
            except RequestError as error:
                self.fleet.refusals.append(
                    ((loop.elapsed() - started).total_seconds(), error.retry_after)
                )
                return "refused"
        if place is NO_PLACE:
            self.fleet.without_place.append((loop.time(), self.number))
        try:
            return await self._deliver(place, started)
        finally:
            place.release(True)

    async def _deliver(self, place, started):
        loop, tried = self.fleet.loop, []
        while len(tried) < MAX_SENDS:
            listed = self.servers.find(place.server) if place.server else None
            if listed is None or tried:
                listed = self.servers.choose(SERVICE, NO_PROMPT, tried)
            if listed is None:
                return "turned_away"
            tried.append(listed.entry.id)
            assignment = self.servers.start(listed, NO_PROMPT)
            await asyncio.sleep(0.001)
            is_served = await self.fleet.find_server(listed.entry.id).serve()
            self.servers.finish(assignment)
            if is_served:
                self.servers.record_latency(assignment)
                self.servers.note_success(listed)
                waited = (loop.elapsed() - started).total_seconds()
                self.fleet.waits.append((started.total_seconds(), waited))
                if waited > DEADLINE_S:
                    return "failed"
                return "late" if waited > TARGET_S else "in_time"
            self.servers.note_rejection(listed)
        return "turned_away"


class PlaceFleet:
    """The VMs and servers; callers prefer some VMs, so that demand is uneven."""

    def __init__(self, seed, has_places=True, vms=80, servers=3, loss=0.0, work_s=0.09):
        self.loop = VirtualLoop()
        self.rng = random.Random(seed)
        self.has_places, self.loss = has_places, loss
        self.servers = [PlainServer(f"s{n}", work_s) for n in range(servers)]
        self.keeper = 7
        self.datagrams, self.outcomes = Counter(), Counter()
        self.by_urgency = {0: Counter(), 5: Counter()}
        self.refusals, self.waits = [], []
        self.without_place = []  # times and VMs of requests that had none
        self.vms = [PlaceVm(self, number) for number in range(vms)]
        self.weights = [self.rng.paretovariate(1.2) for _ in self.vms]

    def find_server(self, name):
        return next(server for server in self.servers if server.name == name)

    def deliver(self, sender, number, kind, data):
        receiver = self.vms[number]
        if sender.is_cut or receiver.is_cut or self.rng.random() < self.loss:
            return
        delay_s = self.rng.uniform(*DELAYS_S)
        self.loop.call_later(delay_s, receiver.receive, kind, data, sender.number)

    @property
    def wasted(self):
        """The share of arrivals at servers that were turned away."""
        arrivals = sum(server.arrivals for server in self.servers)
        return sum(server.refused for server in self.servers) / arrivals

    async def _handle(self, vm):
        urgency = self.rng.choice((0, 5))
        outcome = await vm.send_request(urgency)
        self.outcomes[outcome] += 1
        self.by_urgency[urgency][outcome] += 1

    async def _send_requests(self, demand, seconds):
        tasks = []
        while (now := self.loop.time()) < seconds:
            in_burst = now % (BURST_S + CALM_S) >= CALM_S
            rate = demand * (BURST_FACTOR if in_burst else 1)
            await asyncio.sleep(self.rng.expovariate(rate))
            (vm,) = self.rng.choices(self.vms, self.weights)
            tasks.append(self.loop.create_task(self._handle(vm)))
        await asyncio.gather(*tasks)

    def run(self, demand=60.0, seconds=18.0, schedule=()):
        """Run for some time; ``schedule`` holds times and functions to call then."""
        for at, function, *arguments in schedule:
            self.loop.call_later(at, function, *arguments)
        try:
            self.loop.run_until_complete(self._send_requests(demand, seconds))
        finally:
            self.loop.close()
        return self


def main():
    parser = argparse.ArgumentParser(description="Replay plain work at small servers.")
    parser.add_argument("--without-places", action="store_true")
    parser.add_argument("--demand", type=float, default=60.0, help="requests/s")
    parser.add_argument("--vms", type=int, default=80)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--loss", type=float, default=0.0, help="share of datagrams")
    options = parser.parse_args()
    for seed in range(1, options.seeds + 1):
        fleet = PlaceFleet(
            seed, not options.without_places, options.vms, loss=options.loss
        ).run(options.demand)
        waits = sorted(wait for _, wait in fleet.waits)
        print(
            f"seed {seed}: {dict(fleet.outcomes)}, wasted {fleet.wasted:.3f}, "
            f"mean {sum(waits) / len(waits) * 1e3:.0f} ms, "
            f"p99 {waits[int(len(waits) * 0.99)] * 1e3:.0f} ms, "
            f"datagrams {dict(fleet.datagrams)}"
        )


if __name__ == "__main__":
    main()
