import asyncio
import json
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lavendershift.clocks import ManualClock
from lavendershift.commands import publish
from lavendershift.commands.access import (
    LedgerStatus,
    LogOptions,
    RouterStatus,
    StatusClient,
    StatusResult,
)
from lavendershift.commands.publisher import Publisher, PublishOutcome
from lavendershift.configuration import Configuration
from lavendershift.errors import LogUnavailableError, RecordsExpiredError
from lavendershift.records import (
    Change,
    Charge,
    Checkpoint,
    Close,
    Entry,
    Evict,
    Grant,
    Join,
    Setting,
    TopUp,
    Unspent,
)
from lavendershift.streams import ReadResult
from lavendershift.tools.cli import main

TREE = """
["desks/rennes/plume"]
budget = "plume"
weight = 2.0

["vms/r1"]
address = "127.0.0.1:7101"
peer_address = "tcp://127.0.0.1:7201"
failure_domain = "rennes"

["vms/r2"]
address = "127.0.0.1:7102"
peer_address = "tcp://127.0.0.1:7202"
failure_domain = "brest"

["servers/index1"]
address = "127.0.0.1:8001"
failure_domain = "rennes"
"""
FAULTS = ["none", "refused", "lost reply", "late", "read"]


class FakeLog:
    """A log in memory that injects ``faults``, one per call that can have it.

    ``refused``: the append is rejected. ``lost reply``: it takes effect, but the
    response is lost. ``late``: it takes effect after the next read. ``read``: the
    read fails. ``none``: the call succeeds.
    """

    def __init__(self, faults=()):
        self.streams = {}
        self.first = {}
        self.faults = list(faults)
        self.late = []

    async def append_records(self, stream, records):
        fault = self._next_fault(("refused", "lost reply", "late"))
        if fault == "late":
            self.late.append((stream, list(records)))
        elif fault != "refused":
            self.write(stream, records)
        if fault:
            raise LogUnavailableError(fault)
        return self.end(stream) - len(records)

    async def read_entries(self, stream, offset, limit, wait):
        if self._next_fault(("read",)):
            raise LogUnavailableError("read")
        if offset < self.first.get(stream, 0):
            raise RecordsExpiredError(stream, self.first[stream])
        entries = self.streams.get(stream, [])[offset : offset + limit]
        for late in self.late:
            self.write(*late)
        self.late = []
        return ReadResult(entries, offset + len(entries), self.end(stream))

    async def close(self):
        pass

    def write(self, stream, records):
        entries = self.streams.setdefault(stream, [])
        for record in records:
            entries.append(Entry(len(entries), 1000 + len(entries), record))

    def end(self, stream):
        return len(self.streams.get(stream, []))

    def _next_fault(self, kinds):
        if self.faults and self.faults[0] in (*kinds, "none"):
            fault = self.faults.pop(0)
            return "" if fault == "none" else fault
        return ""

    def replay_configuration(self):
        configuration = Configuration()
        for entry in self.streams.get("config", []):
            configuration.apply(entry)
        return configuration


def publish_records(log, records, timeout=timedelta(seconds=60)):
    clock = ManualClock()

    async def sleep(seconds):
        clock.advance(timedelta(seconds=seconds))

    async def run():
        publisher = Publisher(log, clock, timeout, sleep)
        configuration = Configuration()
        return [await publisher.publish(record, configuration) for record in records]

    return asyncio.run(run())


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(st.lists(st.sampled_from(FAULTS), max_size=12))
def test_publishing_with_faults_takes_effect_once(faults):
    log = FakeLog(faults)
    records = [
        TopUp("t1", "plume", 100, "ana"),
        Change("c1", 0, "ana", [Setting("", "weight", 2.0)]),
        Change("c2", 0, "ben", [Setting("", "weight", 3.0)]),
    ]
    found = publish_records(log, records)
    assert [item.outcome for item in found] == [
        PublishOutcome.ACCEPTED,
        PublishOutcome.ACCEPTED,
        PublishOutcome.REJECTED,
    ]
    configuration = log.replay_configuration()
    assert configuration.prepaid("plume", log.end("config")) == 100
    assert configuration.resolve("", "weight") == 2.0
    ids = {entry.record.id for entry in log.streams["config"]}
    assert ids == {"t1", "c1", "c2"}


def test_retry_with_same_id_resolves_unknown_outcome():
    log = FakeLog(["refused"] * 100)
    record = TopUp("t1", "plume", 100, "ana")
    [published] = publish_records(log, [record], timedelta(seconds=1))
    assert published.outcome is PublishOutcome.UNKNOWN
    log.faults = ["lost reply"]
    [published] = publish_records(log, [record], timedelta())
    assert published.outcome is PublishOutcome.UNKNOWN
    [published] = publish_records(log, [record])
    assert published == ("t1", PublishOutcome.ACCEPTED, 0, "")
    assert log.end("config") == 1


@pytest.fixture
def log(monkeypatch):
    log = FakeLog()
    monkeypatch.setattr(LogOptions, "open_log", lambda self: log)
    return log


@pytest.fixture
def run(log, capsys):
    def run_main(*arguments):
        with pytest.raises(SystemExit) as exit_info:
            main([str(argument) for argument in arguments])
        captured = capsys.readouterr()
        return int(exit_info.value.code), captured.out, captured.err

    return run_main


@pytest.fixture
def tree(tmp_path):
    path = tmp_path / "tree.toml"
    path.write_text(TREE)
    return path


@pytest.fixture
def statuses(monkeypatch):
    """Make each VM's router report these configuration offsets, one per request.

    The last offset is repeated; ``None`` is a router that does not respond.
    """
    offsets = {}

    async def fetch(self, vm, address):
        pending = offsets.get(vm, [])
        offset = pending.pop(0) if len(pending) > 1 else (pending or [None])[0]
        if offset is None:
            return StatusResult(vm, None, "no answer")
        ledgers = [LedgerStatus("ledger-0", 5, 7)]
        status = RouterStatus(vm, f"{vm}.1", True, offset, ledgers=ledgers)
        status.servers = {"index1": vm == "r1"}
        return StatusResult(vm, status, "")

    monkeypatch.setattr(StatusClient, "fetch", fetch)
    monkeypatch.setattr(publish, "POLL_INTERVAL", timedelta())
    return offsets


def test_only_values_that_differ_are_published(run, log, tree):
    code, out, _ = run("tree", "diff", tree, "--json")
    assert code == 0
    assert len(json.loads(out)) == 10
    assert run("publish", tree)[0] == 0
    code, out, err = run("publish", tree, "--json")
    assert (code, log.end("config")) == (0, 1)
    assert json.loads(out) == {"outcome": "unchanged"}
    assert "nothing to change" in err
    code, out, _ = run("tree", "show", "desks/rennes/plume/app", "--json")
    rows = {row["key"]: row for row in json.loads(out)}
    assert rows["weight"]["source"] == "desks/rennes/plume"
    assert rows["hold_share"]["source"] == "(default)"
    code, _, err = run("tree", "show", "desks/rennes/plum!")
    assert code == 1
    assert "did you mean 'desks/rennes/plume'" in err


def test_outdated_base_offset_is_rejected_and_a_key_is_removed(
    run, log, tree, tmp_path
):
    run("publish", tree)
    other = tmp_path / "other.toml"
    other.write_text('["desks/rennes/plume"]\nweight = 5.0\n')
    assert run("publish", other, "--base", 1)[0] == 0
    other.write_text('[remove]\n"desks/rennes/plume" = ["weight"]\n')
    code, out, _ = run("publish", other, "--base", 1, "--json")
    result = json.loads(out)
    assert (code, result["outcome"]) == (1, "rejected")
    assert "changed at offset 1, after the base offset 1" in result["reason"]
    assert run("publish", other)[0] == 0
    assert log.replay_configuration().resolve("desks/rennes/plume", "weight") == 1.0


def test_tree_file_errors_have_line_numbers(run, tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text(
        '["desks/rennes"]\nwieght = 1.0\nweight = "2"\n["server/x"]\nstate = "live"\n'
    )
    for command in (["check", "tree", path], ["publish", path]):
        code, _, err = run(*command)
        assert code == 1
        assert f"{path}:2: desks/rennes: wieght: unknown key" in err
        assert f"{path}:3: desks/rennes: weight:" in err
        assert f"{path}:5: server/x: state: 'server/x' is no path" in err
    path.write_text('["servers/x"]\nstate = "live"\n')
    assert run("check", "tree", path)[0] == 0
    code, _, err = run("check", "tree", path, "--whole")
    assert code == 1
    assert "address: is required" in err


def test_wait_counts_routers_with_active_change(run, log, tree, tmp_path, statuses):
    statuses.update(r1=[0, 1], r2=[None, 0, 1])
    code, out, _ = run("publish", tree, "--wait")
    assert code == 0
    assert "in force on 2 of 2 routers" in out
    statuses.update(r1=[2], r2=[1])
    code, out, _ = run("drain", "server", "index1", "--wait", "--wait-s", 0)
    assert code == 2
    assert "in force on 1 of 2 routers, not on r2" in out
    assert log.replay_configuration().servers()["index1"].state == "leaving"
    assert run("drain", "server", "index1", "--undo")[0] == 0
    statuses.update(r1=[4], r2=[3, 4])
    code, out, _ = run("drain", "vm", "r2", "--wait")
    assert (code, "in force on 2 of 2 routers" in out) == (0, True)
    statuses.update(r1=[5], r2=[None])
    code, out, _ = run("drain", "vm", "r1", "--undo", "--wait")
    assert (code, "in force on 1 of 1 routers" in out) == (0, True)
    code, _, err = run("drain", "vm", "r3")
    assert code == 1
    assert "did you mean" not in err or "'r1'" in err or "'r2'" in err


def test_status_shows_lag_and_fails_without_a_response(run, tree, statuses):
    run("publish", tree)
    statuses.update(r1=[1], r2=[0])
    code, out, _ = run("status", "--json")
    found = json.loads(out)
    assert code == 0
    assert [row["config_behind"] for row in found["routers"]] == [0, 1]
    assert found["routers"][0]["ledger_behind"] == 2
    assert found["servers"][0]["available_on"] == 1
    statuses.update(r2=[None])
    code, out, _ = run("status")
    assert code == 2
    assert "no answer" in out


def write_ledger(log):
    log.write(
        "ledger-0",
        [
            Join("r1.1/1", "r1.1", "r1", "rennes", 2),
            Grant("r1.1/2", "plume", "r1.1", 60, 2),
            Charge("r1.1/3", "plume", "r1.1", "desks/rennes/plume/k1", 25),
        ],
    )


def test_budgets_and_requests_are_shown_from_the_ledger(run, log, tree):
    run("publish", tree)
    code, _, err = run("budgets", "top-up", "plum", 100)
    assert code == 1
    assert "did you mean 'plume'" in err
    assert run("budgets", "top-up", "plume", 100, "--id", "t1")[0] == 0
    assert run("budgets", "top-up", "plume", 100, "--id", "t1")[0] == 0
    assert run("budgets", "top-up", "plume", 0)[0] == 1
    write_ledger(log)
    code, out, _ = run("budgets", "list", "--json")
    assert json.loads(out) == [
        {
            "budget": "plume",
            "prepaid": 100,
            "spent": 25,
            "billed": 25,
            "held": 35,
            "available": 40,
            "in_doubt": 0,
            "overdrawn": 0,
        }
    ]
    code, out, _ = run("budgets", "show", "plume", "--json")
    assert json.loads(out)["holders"][0]["vm"] == "r1"
    code, out, _ = run("requests", "show", "desks/rennes/plume/k1", "--json")
    found = json.loads(out)
    assert found["state"]["billed"] == 25
    assert [row["record"] for row in found["history"]] == ["charge"]
    assert run("requests", "show", "desks/rennes/plume/k2")[0] == 1


def test_release_is_rejected_until_evicted_and_counts_once(run, log, tree):
    run("publish", tree)
    run("budgets", "top-up", "plume", 100)
    write_ledger(log)
    release = ["budgets", "release", "plume", "r1.1", 30, "--evidence", "destroyed"]
    code, out, _ = run(*release)
    assert code == 1
    assert "not evicted" in out
    log.write("ledger-0", [Evict("e1", "r1.1", "ana")])
    log.faults = ["lost reply"]
    code, out, _ = run(*release, "--id", "x1", "--json")
    assert (code, json.loads(out)["tokens"]) == (0, 30)
    code, out, _ = run(*release, "--id", "x1")
    assert code == 2
    assert "published before" in out
    assert sum(entry.record.id == "x1" for entry in log.streams["ledger-0"]) == 1


def test_release_acknowledges_for_other_lost_routers(run, log, tree):
    run("publish", tree)
    run("budgets", "top-up", "plume", 100)
    write_ledger(log)
    log.write("ledger-0", [Join("r2.1/1", "r2.1", "r2", "d", 1)])
    log.write("ledger-0", [Evict("e1", "r1.1", "ana")])
    release = ["budgets", "release", "plume", "r1.1", 30, "--evidence", "destroyed"]
    code, out, _ = run(*release)
    assert (code, "not acknowledged by r2.1" in out) == (1, True)
    code, out, _ = run(*release, "--lost", "r2.1")
    assert code == 1, "r2.1 is not evicted"
    log.write("ledger-0", [Evict("e2", "r2.1", "ana")])
    code, out, _ = run(*release, "--lost", "r2.1", "--json")
    assert (code, json.loads(out)["tokens"]) == (0, 30)


def test_checkpoint_replaces_expired_records(run, log, tree):
    run("publish", tree)
    state = json.dumps([log.replay_configuration().encode_state()])
    checkpoint = Checkpoint("config@1", "config", 1, 0, 1, state)
    log.first["config"] = 1
    code, _, err = run("tree", "show")
    assert code == 2
    assert "no checkpoint covers them" in err
    log.write("config-checkpoints", [checkpoint])
    code, out, _ = run("tree", "show", "desks/rennes/plume", "--json")
    assert code == 0
    assert json.loads(out)[0]["value"] == "plume"


def test_log_tail_prints_the_last_entries(run, log, tree):
    run("publish", tree, "--author", "ana")
    log.write("config", [Close("r1.1/4", "r1.1", [Unspent("plume", 5)])])
    code, out, _ = run("log", "tail", "--lines", 1, "--json")
    assert code == 0
    assert json.loads(out)["record"][0] == "close"
    assert json.loads(out)["offset"] == 1


def test_unavailable_log_and_wrong_usage_exit_with_2(run, log, tree):
    log.faults = ["read"]
    code, _, err = run("publish", tree)
    assert code == 2
    assert "does not answer" in err
    assert log.end("config") == 0
    assert run("budgets", "top-up")[0] == 2
    for words in (["plume"], ["plume", 100]):
        assert run("budgets", "top-up", *words, "--file", tree)[0] == 2
    assert run("nonsense")[0] == 2
