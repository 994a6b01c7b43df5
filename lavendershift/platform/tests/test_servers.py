import asyncio
import json
import random
from datetime import timedelta

import logbook
import pytest

from lavendershift.clocks import ManualClock
from lavendershift.errors import LogUnavailableError
from lavendershift.logs import EventLog
from lavendershift.platform.feeds import KeyedFeed, ServerFeed
from lavendershift.platform.servers import decode_entry
from lavendershift.platform.store import Batch, Record
from lavendershift.serverlist import ServerList

GOOD = {
    "service": "pool",
    "address": "10.128.0.9:8080",
    "zone": "rennes",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
    "born": 1_700_000_000_000,
}


def decode(**changes):
    entry = {k: v for k, v in (GOOD | changes).items() if v is not None}
    return decode_entry("i-1", json.dumps(entry).encode())


def test_an_entry_is_decoded():
    entry = decode()
    assert (entry.id, entry.service, entry.failure_domain) == ("i-1", "pool", "rennes")
    assert (entry.born, entry.sequence) == (1_700_000_000_000, 4)
    assert not entry.is_leaving
    assert decode(state="draining").is_leaving


@pytest.mark.parametrize(
    "changes",
    [
        {"service": None},
        {"service": 5},
        {"address": None},
        {"address": "10.0.0.1"},
        {"address": "host.example:80"},
        {"address": "10.0.0.256:80"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:99999"},
        {"state": "asleep"},
        {"state": None},
        {"sequence": "4"},
        {"born": 1.5},
        {"slots": "many"},
    ],
)
def test_a_malformed_entry_names_no_server(changes):
    assert decode(**changes) is None


@pytest.mark.parametrize("value", [b"\xff", b"", b"null", b"[]", b"{"])
def test_bytes_that_are_no_entry_name_no_server(value):
    assert decode_entry("i-1", value) is None


class PagedStore:
    """Hands out batches in turn; the first one is of newest records."""

    def __init__(self, *batches):
        self.batches = list(batches)

    async def read_newest(self, topic, partition):
        return self.batches.pop(0)

    async def read(self, topic, partition, offset, wait):
        return self.batches.pop(0)


def test_records_older_than_a_page_told_are_not_read_after_it():
    """A page is newer than the end at which the reading goes on."""

    async def work():
        newest = Record(10, b"i-1", b"listed again")
        feed = KeyedFeed(
            PagedStore(
                Batch([Record(2, b"i-2", b"listed"), newest], 5, 11),
                Batch([Record(5, b"i-2", b""), Record(6, b"i-1", b"listed")], 7, 12),
                Batch([Record(7, b"i-1", b""), newest], 11, 12),
                Batch([Record(11, b"i-1", b"")], 12, 12),
            ),
            "keyed.servers",
            timedelta(),
        )
        return [(await feed.read())[0].records for _ in range(4)]

    _, second, third, last = asyncio.run(work())
    assert [(r.offset, r.key) for r in second] == [(5, b"i-2")]
    assert third == []
    assert [(r.offset, r.key) for r in last] == [(11, b"i-1")]


DRAIN = timedelta(seconds=2)
READING = DRAIN / 5


class FeedScene:
    """A feed of servers that is read by hand, in virtual time."""

    def __init__(self):
        self.clock = ManualClock()
        self.servers = ServerList(self.clock, random.Random(1))
        self.log = logbook.TestHandler()
        log = EventLog(self.log, "edge-1", "rennes", self.clock)
        self.feed = ServerFeed(
            self.clock, None, log, self.servers, lambda entry: None, DRAIN
        )

    def read(self, *records, is_whole=False):
        self.clock.advance(READING)
        self.feed.note_reading(Batch(list(records), 0, 0), is_whole)

    def fail(self, times=1, step=READING):
        for _ in range(times):
            self.clock.advance(step)
            self.feed.note_failure(LogUnavailableError("no answer"))

    def find_lines(self, event):
        lines = [record.extra["line"] for record in self.log.records]
        return [line for line in lines if line["event"] == event]

    def lists(self, name="i-1"):
        return self.servers.find(name) is not None


def make_record(name="i-1", **changes):
    return Record(0, name.encode(), json.dumps(GOOD | changes).encode())


def test_a_server_that_leaves_just_after_an_outage_gets_nothing_new():
    """Its entry was removed 1.2 s after the VM was back, and it was kept 2.5 s more.

    Found by a day drawn on inaci-calor.
    """
    scene = FeedScene()
    scene.read(make_record(), is_whole=True)
    scene.fail(times=20)
    for _ in range(3):
        scene.read(make_record())
    scene.read(Record(0, b"i-1", b""))
    for _ in range(3):
        scene.read()
    assert not scene.lists()


def test_an_entry_that_lapsed_in_an_outage_may_come_back_for_two_seconds():
    scene = FeedScene()
    scene.read(make_record(), is_whole=True)
    scene.fail(times=20)
    scene.read(Record(0, b"i-1", b""))
    for _ in range(3):
        scene.read()
    assert scene.lists()
    for _ in range(3):
        scene.read()
    assert not scene.lists()


def test_one_refused_reading_is_no_outage_in_which_entries_lapse():
    scene = FeedScene()
    scene.read(make_record(), is_whole=True)
    scene.fail()
    scene.read(Record(0, b"i-1", b""))
    assert not scene.lists()


@pytest.mark.parametrize("sequence", [3, 4])
def test_a_late_entry_lists_no_server_that_was_removed(sequence):
    """The store may carry out a write without an answer seconds later."""
    scene = FeedScene()
    scene.read(make_record(), is_whole=True)
    scene.read(Record(0, b"i-1", b""))
    scene.read(make_record(sequence=sequence))
    assert not scene.lists()
    scene.read(make_record(sequence=5))
    assert scene.lists()


def test_a_server_that_is_started_again_after_its_removal_is_listed():
    scene = FeedScene()
    scene.read(make_record(), is_whole=True)
    scene.read(Record(0, b"i-1", b""))
    scene.read(make_record(sequence=1, born=GOOD["born"] + 5000))
    assert scene.lists()


def test_the_log_tells_an_outage_from_a_cut_of_one_vm():
    scene = FeedScene()
    scene.read(make_record(), make_record("i-2"), is_whole=True)
    scene.fail(times=20)
    scene.read(*[make_record("i-2", sequence=n) for n in range(5, 12)])
    found = scene.find_lines("dependency_found")[-1]
    assert (found["name"], found["beats"], found["outage_ms"]) == ("servers", 7, 8400)


def test_the_log_tells_that_an_entry_is_missing_and_back():
    scene = FeedScene()
    scene.read(make_record(), is_whole=True)
    scene.fail(times=20)
    scene.read(Record(0, b"i-1", b""))
    scene.read(make_record(sequence=5))
    results = [line["result"] for line in scene.find_lines("server_changed")]
    assert results == ["listed", "missing", "back"]
