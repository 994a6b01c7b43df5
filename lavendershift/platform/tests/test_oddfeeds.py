"""Feeds beside records that can't be decoded or that fail to be applied."""

import json

import pytest

from lavendershift.platform.storerecords import Record
from lavendershift.platform.tests.test_oddrecords import NESTED, ODD_ENTRIES
from lavendershift.platform.tests.test_servers import (
    FeedScenario,
    make_record,
)
from lavendershift.skips import MAX_LINES, PERIOD


@pytest.fixture
def scenario():
    return FeedScenario()


@pytest.mark.parametrize("kind", ODD_ENTRIES)
@pytest.mark.parametrize("is_snapshot", [True, False])
def test_the_last_good_entry_of_a_server_stays_beside_an_odd_one(
    scenario, kind, is_snapshot
):
    scenario.read(make_record("i-1"), make_record("i-2"), is_snapshot=True)
    odd = Record(1, b"i-1", ODD_ENTRIES[kind])
    scenario.read(odd, make_record("i-2"), is_snapshot=is_snapshot)
    assert scenario.is_listed("i-1")
    assert not scenario.servers.find("i-1").is_missing
    (line,) = scenario.find_lines("entry_skipped")
    assert (line["name"], line["server"]) == ("server", "i-1")
    assert line["reason"]
    scenario.read(Record(2, b"i-1", b""))
    scenario.read()
    assert not scenario.is_listed("i-1")


def test_a_server_that_left_is_not_back_by_an_odd_entry(scenario):
    scenario.read(make_record(), is_snapshot=True)
    scenario.read(Record(1, b"i-1", b""))
    scenario.read(Record(2, b"i-1", NESTED))
    scenario.read()
    assert not scenario.is_listed()


def test_a_record_that_fails_to_be_applied_does_not_stop_those_after_it(
    scenario, monkeypatch
):
    update = scenario.servers.update

    def fail_for_one(entry):
        if entry.id == "i-odd":
            raise OverflowError
        return update(entry)

    monkeypatch.setattr(scenario.servers, "update", fail_for_one)
    counted = []
    scenario.feed.skips.on_skipped = counted.append
    scenario.read(make_record("i-odd"), make_record("i-1"), is_snapshot=True)
    assert scenario.is_listed("i-1")
    assert scenario.feed.is_ready
    assert counted == ["server"]
    (line,) = scenario.find_lines("internal_error")
    assert line["error"] == "OverflowError"


def test_the_log_lines_of_skipped_entries_are_bounded(scenario):
    counted = []
    scenario.feed.skips.on_skipped = counted.append
    odd = [Record(n, f"i-{n}".encode(), NESTED) for n in range(3 * MAX_LINES)]
    scenario.read(*odd)
    assert len(counted) == len(odd)
    assert len(scenario.find_lines("entry_skipped")) == MAX_LINES
    scenario.clock.advance(PERIOD)
    scenario.read(odd[0])
    assert len(scenario.find_lines("entry_skipped")) == MAX_LINES + 1


@pytest.mark.parametrize("key", [b"i-\xff", b"i-1\r\nX: y", "é".encode(), b"i 1"])
def test_an_entry_with_an_id_that_no_header_can_hold_is_skipped(scenario, key):
    value = json.loads(make_record().value)
    scenario.read(
        Record(0, key, json.dumps(value).encode()), make_record(), is_snapshot=True
    )
    assert [entry.id for entry in scenario.servers.list_entries()] == ["i-1"]


def test_servers_that_are_gone_are_dropped_after_a_failure_of_one_removal(scenario):
    def fail_once(entry):
        scenario.feed._on_removed = lambda entry: None
        raise OSError

    scenario.feed._on_removed = fail_once
    scenario.read(*[make_record(f"i-{n}") for n in (1, 2, 3)], is_snapshot=True)
    gone = [Record(n, f"i-{n}".encode(), b"") for n in (1, 2)]
    with pytest.raises(OSError):
        scenario.read(*gone)
        scenario.read()
    scenario.read()
    assert [scenario.is_listed(f"i-{n}") for n in (1, 2, 3)] == [False, False, True]
