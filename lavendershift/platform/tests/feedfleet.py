"""VMs that follow the configuration over links of their own, in virtual time."""

import asyncio
import random
from datetime import timedelta

import logbook
import msgspec

from lavendershift.datagrams import Datagrams
from lavendershift.evacuation.evacuations import Evacuations
from lavendershift.logs import EventLog
from lavendershift.platform import names
from lavendershift.platform.feeds import ConfigurationFeed
from lavendershift.platform.store import StoreClient
from lavendershift.platform.tests.conftest import make_configuration
from lavendershift.platform.tests.storelinks import Link, LinkedPool, LinkedStore
from lavendershift.recordexchange import RecordExchange, VersionInquiry, VersionNotice
from lavendershift.tests.virtualloop import VirtualLoop

APPLY_TIME = timedelta(seconds=3)
PACKET_BYTES = 1400  # longest datagram that fits into one packet
STORE_MBPS, STORE_ROUND_TRIP_S = 1000, 0.002


class LinkSpeed:
    """Rate of a VM's link in Mbit/s, and the time of its round trip in seconds."""

    def __init__(self, mbps, round_trip_s):
        self.mbps, self.round_trip_s = mbps, round_trip_s


class LinkedDatagrams(Datagrams):
    """Datagrams that cross the links of both VMs, or are lost at random."""

    def __init__(self, fleet, vm):
        super().__init__()
        self._fleet, self._vm = fleet, vm
        self._decoder = msgspec.msgpack.Decoder(VersionNotice | VersionInquiry)

    def send(self, message, peers):
        data = msgspec.msgpack.encode(message)
        assert len(data) <= PACKET_BYTES
        fleet, loop = self._fleet, self._fleet.loop
        for peer in peers:
            target = fleet.find_vm(peer)
            fleet.datagrams += 1
            if fleet.rng.random() < fleet.loss:
                continue
            now = loop.time()
            delay = (self._vm.link.round_trip(now) + target.link.round_trip(now)) / 2
            received = target.datagrams.datagram_received
            loop.call_later(delay, received, data, self._vm.address)


class FeedVm:
    """A VM; ``in_force`` has the times at which versions came into force."""

    def __init__(self, fleet, number, speed):
        loop, rng = fleet.loop, random.Random(f"{fleet.seed}/{number}")
        self.name = f"edge-{number}"
        self.in_force = {}
        self.link = Link(
            loop, speed.mbps, lambda now: speed.round_trip_s, has_window=True
        )
        pool = LinkedPool(loop, fleet.store, self.link)
        client = StoreClient("store:1", pool, loop)
        self.handler = logbook.TestHandler()
        log = EventLog(self.handler, self.name, "rennes", loop)
        self.evacuations = Evacuations()
        self.feed = ConfigurationFeed(
            loop, client, log, rng, self._accept, APPLY_TIME, self.evacuations
        )
        self._loop = loop
        self.address = (self.name, 1)
        self.datagrams = LinkedDatagrams(fleet, self)
        self.exchange = RecordExchange(
            loop,
            rng,
            self.datagrams,
            lambda: [vm.address for vm in fleet.vms if vm is not self],
            self.feed.accept_version,
        )
        self.exchange.schedule = lambda delay, function: loop.call_later(
            delay.total_seconds(), function
        )
        self.feed.on_read = self.exchange.note

    def _accept(self, table):
        self.in_force[table.version] = self._loop.time()

    def find_time(self, version):
        """Return when a version, or a newer one, came into force."""
        times = [at for v, at in self.in_force.items() if v >= version]
        return min(times, default=float("inf"))


class FeedFleet:
    """VMs with links of the given speeds, and a store whose link is fast.

    ``loss`` is the fraction of datagrams that are lost.
    """

    def __init__(self, speeds, seed=1, loss=0.0):
        self.loop = VirtualLoop()
        self.seed, self.loss = seed, loss
        self.rng = random.Random(seed)
        self.datagrams = 0
        link = Link(self.loop, STORE_MBPS, lambda now: STORE_ROUND_TRIP_S)
        self.store = LinkedStore(link)
        self.vms = [FeedVm(self, n, speed) for n, speed in enumerate(speeds)]
        self.written = {}

    def find_vm(self, address):
        (vm,) = (vm for vm in self.vms if vm.address == address)
        return vm

    def play(self, versions, length_s):
        """Write configurations, given as pairs of a time and a body."""
        with asyncio.Runner(loop_factory=lambda: self.loop) as runner:
            runner.run(self._play(versions, length_s))
        return self

    async def _play(self, versions, length_s):
        running = [asyncio.ensure_future(vm.feed.run()) for vm in self.vms]
        for version, (at, body) in enumerate(versions, 1):
            await asyncio.sleep(at - self.loop.time())
            self.written[version] = self.loop.time()
            self.store.append(names.OPERATOR_TOPIC, names.CONFIGURATION_KEY, body)
        await asyncio.sleep(length_s - self.loop.time())
        for task in running:
            task.cancel()
        await asyncio.wait(running)

    def measure_delays(self, vm):
        """Return after how many seconds each version was in force at ``vm``."""
        return {v: vm.find_time(v) - at for v, at in self.written.items()}


def make_versions(times, routes, rng=None):
    """Return pairs of times and configurations of ``routes`` routes and more.

    With ``rng``, all routes differ from those of the version before.
    """
    template = {
        "host": "books.example",
        "kind": "streaming",
        "timeout_ms": 5000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": "pool",
        "max_attempts": 2,
        "resumable": True,
    }
    return [
        (
            at,
            make_configuration(
                version=version,
                routes=[
                    template
                    | {"name": f"r-{n}", "path_prefix": f"/{n}/"}
                    | ({"timeout_ms": rng.randrange(1000, 9000)} if rng else {})
                    for n in range(routes + version)
                ],
            ),
        )
        for version, at in enumerate(times, 1)
    ]
