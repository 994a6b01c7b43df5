"""Feeds beside outages of the store and over slow links, in virtual time."""

import asyncio
import itertools
import json
import random
from datetime import timedelta

import logbook
import pytest

from lavendershift.errors import LogUnavailableError
from lavendershift.logs import EventLog
from lavendershift.platform import names
from lavendershift.platform.feeds import (
    ConfigurationFeed,
    Feed,
    ServerFeed,
    TopicReader,
)
from lavendershift.platform.presence import PresenceFeed, PresenceWriter
from lavendershift.platform.store import StoreClient
from lavendershift.platform.tests.conftest import make_configuration
from lavendershift.platform.tests.storelinks import Link, LinkedPool, LinkedStore
from lavendershift.roundintervals import OUTAGE_RETRY_INTERVAL
from lavendershift.tests.virtualloop import VirtualLoop
from lavendershift.vmlist import ROW_EXPIRY, VmList, VmRow

CONFIG_APPLY_S = 3.0
STABLE_WINDOW_S = 4.0
OUTAGE = (15.0, 26.0)
MAX_ROUTES = 1200  # routes in a record of 256 KiB


def make_version(version, routes=20):
    """Return a configuration with ``routes`` routes."""
    template = json.loads(make_configuration())["routes"][0]
    many = [
        template | {"name": f"r-{n}", "path_prefix": f"/{n}/"} for n in range(routes)
    ]
    return make_configuration(version=version, routes=many)


class OtherFeed(Feed):
    """A feed of records that VMs or servers write all the time."""

    def __init__(self, clock, store, topic, log):
        super().__init__(clock, TopicReader(store, topic, timedelta()), log)
        self.name = topic
        kind = ServerFeed if topic == names.SERVERS_TOPIC else PresenceFeed
        self.has_newest_only = kind.has_newest_only

    async def pause(self):
        await asyncio.sleep(0.6)


class FeedWorld:
    """The feeds of one VM in virtual time; ``versions`` are those in force."""

    def __init__(self, mbps, round_trip, outages=(OUTAGE,)):
        self.mbps = mbps
        self.round_trip = round_trip
        self.outages = outages
        self.versions = {}
        self.appended = {}
        self.lines = []

    def play(self, versions, length_s=40.0):
        """Run the feeds; ``versions`` are times, versions and numbers of routes."""
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            self.loop = runner.get_loop()
            runner.run(self._play(versions, length_s))
        return self

    async def _play(self, versions, length_s):
        self.link = Link(self.loop, self.mbps, self.round_trip, self.outages)
        self.store = LinkedStore(self.link)
        self.pool = LinkedPool(self.loop, self.store)
        client = StoreClient("store:1", self.pool, self.loop)
        handler = logbook.TestHandler()
        log = EventLog(handler, "edge-1", "rennes", self.loop)
        apply_time = timedelta(seconds=CONFIG_APPLY_S)
        feeds = [
            ConfigurationFeed(
                self.loop, client, log, random.Random(1), self._accept, apply_time
            ),
            OtherFeed(self.loop, client, names.SERVERS_TOPIC, log),
            OtherFeed(self.loop, client, names.VMS_TOPIC, log),
        ]
        running = [asyncio.ensure_future(feed.run()) for feed in feeds]
        running.append(asyncio.ensure_future(self._write_entries()))
        for at, version, routes in versions:
            await asyncio.sleep(max(at - self.loop.time(), 0.0))
            self.appended[version] = self.loop.time()
            value = make_version(version, routes)
            self.store.append(names.OPERATOR_TOPIC, names.CONFIGURATION_KEY, value)
        await asyncio.sleep(length_s - self.loop.time())
        for task in running:
            task.cancel()
        await asyncio.wait(running)
        self.lines = [record.extra["line"] for record in handler.records]

    def _accept(self, table):
        self.versions[table.version] = self.loop.time()

    async def _write_entries(self):
        number = 0
        while True:
            await asyncio.sleep(0.1)
            for topic in (names.SERVERS_TOPIC, names.VMS_TOPIC):
                for key in range(number, number + 10):
                    self.store.append(topic, b"i-%d" % (key % 140), b"x" * 200)
            number += 10

    def find_lateness(self, version):
        """Return by how many seconds a version came after the time it was due."""
        due = self.appended[version] + CONFIG_APPLY_S
        for _, end in self.outages:
            due = max(due, end + STABLE_WINDOW_S)
        in_force = [at for v, at in self.versions.items() if v >= version]
        return min(in_force, default=float("inf")) - due


@pytest.mark.parametrize("round_trip_s", [0.01, 0.4, 0.7, 0.95])
def test_version_is_in_force_in_time_after_an_outage_on_a_congested_link(
    round_trip_s,
):
    """Connections that took over 600 ms were given up, and a version was late."""
    lateness = {}
    for mbps, at in itertools.product((5, 10), (14.5, 25.0, 26.5)):
        world = FeedWorld(mbps, lambda now: round_trip_s if now > 12 else 0.01)
        world.play([(1, 1, 20), (at, 51, MAX_ROUTES)])
        lateness[mbps, at] = world.find_lateness(51)
    assert all(late <= 0 for late in lateness.values()), lateness


@pytest.mark.parametrize("round_trip_s", [0.01, 0.95, 1.2])
def test_version_is_in_force_in_time_whenever_an_outage_ends(round_trip_s):
    """An outage that ended late in the time of an attempt cost another one."""
    lateness = {}
    for step in range(0, 27, 2):
        end = OUTAGE[1] + step / 10
        world = FeedWorld(
            10, lambda now: round_trip_s if now > 12 else 0.01, [(OUTAGE[0], end)]
        )
        world.play([(1, 1, 20), (24.0, 51, MAX_ROUTES)], end + 10.0)
        lateness[end] = world.find_lateness(51)
    assert all(late <= 0 for late in lateness.values()), lateness


def test_version_is_in_force_in_time_after_an_outage_with_many_versions():
    """All versions, entries and rows written in the outage shared the VM's link."""
    lateness = {}
    for at in (24.4, 24.6, 24.8, 25.0, 25.2, 25.4):
        world = FeedWorld(2, lambda now: 0.6 if now > 12 else 0.01)
        older = [(14.0 + 1.5 * n, 2 + n, 250) for n in range(6)]
        world.play([(1, 1, 20), *older, (at, 51, MAX_ROUTES)])
        lateness[at] = world.find_lateness(51)
    assert all(late <= 0 for late in lateness.values()), lateness


def test_what_a_vm_reads_after_an_outage_does_not_depend_on_its_length():
    """All rows that VMs had written in the outage were read."""
    received = {}
    for length_s in (6.0, 20.0):
        end = OUTAGE[0] + length_s
        world = FeedWorld(10, lambda now: 0.01, [(OUTAGE[0], end)])
        received[length_s] = -world.play([(1, 1, 20)], end).link.received
        world = FeedWorld(10, lambda now: 0.01, [(OUTAGE[0], end)])
        received[length_s] += world.play([(1, 1, 20)], end + 3.0).link.received
    assert received[20.0] < 1.2 * received[6.0], received


def test_log_line_of_a_version_tells_what_its_reading_cost():
    """A late version could not be told from one that was read late."""
    world = FeedWorld(10, lambda now: 0.01, []).play([(1, 1, 20), (5.3, 51, 600)], 8.0)
    lines = [e for e in world.lines if e["event"] == "configuration_changed"]
    line = lines[-1]
    assert (line["source"], line["records"], line["records_left"]) == ("log", 1, 0)
    assert line["read_bytes"] == line["bytes"] > 100_000
    assert line["read_ms"] > 50


def test_a_short_failure_costs_no_snapshot():
    """A snapshot is larger than a reading without a new version."""
    world = FeedWorld(10, lambda now: 0.01, [(15.0, 15.3)])
    world.play([(1, 1, 20)])
    newest = [at for path, _, at in world.store.calls if path == "/log-newest"]
    assert max(newest) < 15.0


def play_calls(work, round_trip_s, outage):
    """Run ``work`` with a client over a congested link; return when calls arrived."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        loop = runner.get_loop()
        link = Link(loop, 10, lambda now: round_trip_s if now > 12 else 0.01, [outage])
        store = LinkedStore(link)
        client = StoreClient("store:1", LinkedPool(loop, store), loop)

        async def run():
            running = asyncio.ensure_future(work(client, loop))
            await asyncio.sleep(outage[1] + 10)
            running.cancel()

        runner.run(run())
        return [at for _, _, at in store.calls]


async def renew_row(client, loop):
    vms = VmList(loop, VmRow("edge-1", "", "rennes", "i-1", 0, False))
    await PresenceWriter(client, vms, dict, lambda: 0.0, lambda: True).run()


async def read_quotas(client, loop):
    """Read a partition again and again, as the loop of draws does."""
    while True:
        try:
            await client.read(names.GRANTS_TOPIC, 0, 0)
        except LogUnavailableError:
            await asyncio.sleep(OUTAGE_RETRY_INTERVAL.total_seconds())
        else:
            await asyncio.sleep(0.3)


@pytest.mark.parametrize("round_trip_s", [0.01, 0.95])
@pytest.mark.parametrize(
    ("work", "limit_s"),
    [(renew_row, ROW_EXPIRY.total_seconds()), (read_quotas, STABLE_WINDOW_S)],
)
def test_other_loops_reach_the_store_soon_after_an_outage(work, limit_s, round_trip_s):
    """Rows and quota records never crossed a link on which packets waited 0.7 s."""
    delays = {}
    for step in range(30):
        end = OUTAGE[1] + step / 10
        arrived = [
            at for at in play_calls(work, round_trip_s, (OUTAGE[0], end)) if at >= end
        ]
        delays[end] = min(arrived, default=float("inf")) - end
    assert max(delays.values()) < limit_s, delays
