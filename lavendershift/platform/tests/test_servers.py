import asyncio
import json
from datetime import timedelta

import pytest

from lavendershift.platform.feeds import KeyedFeed
from lavendershift.platform.servers import decode_entry
from lavendershift.platform.store import Batch, Record

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
