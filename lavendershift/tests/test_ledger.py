from datetime import timedelta

import pytest

from lavendershift.errors import DecodeError
from lavendershift.incarnations import Membership
from lavendershift.ledger import Ledger
from lavendershift.records import (
    Abandon,
    Charge,
    Claim,
    Close,
    Entry,
    Evict,
    EvictAck,
    Grant,
    Join,
    Outcome,
    Recover,
    Release,
    Return,
    Transfer,
    Unspent,
)
from lavendershift.requeststates import GENERATED_RETENTION_MS

RETENTION = timedelta(seconds=10)


class LedgerLog:
    """Applies records to a ledger one after the other."""

    def __init__(self, *names, prepaid=100, key_retention=RETENTION):
        self.ledger = Ledger(
            "ledger-0",
            lambda budget, offset: prepaid + offset,
            key_retention=key_retention,
        )
        self.time_ms = 0
        for name in names:
            assert self.apply(Join(f"{name}/0", name, name, "d", 0)).counted

    def apply(self, record):
        entry = Entry(self.ledger.next_offset, self.time_ms, record)
        return self.ledger.apply(entry)

    def view(self):
        return self.ledger.find_budget("b")


def test_a_grant_is_limited_to_what_the_budget_has_left():
    log = LedgerLog("i", "j")
    assert log.apply(Grant("i/1", "b", "i", 70, 0)).tokens == 70
    assert log.apply(Grant("j/1", "b", "j", 70, 0)).tokens == 30
    assert not log.apply(Grant("j/2", "b", "j", 1, 0)).counted
    assert log.apply(Grant("j/3", "b", "j", 9, 5)).tokens == 5, "cites a top-up"
    assert log.ledger.config_offset == 5


def test_invalid_records_are_void():
    log = LedgerLog("i", "j")
    log.apply(Grant("i/1", "b", "i", 50, 0))
    log.apply(Evict("op1", "j", "op"))
    assert not log.apply(Grant("x/1", "b", "x", 1, 0)).counted, "never joined"
    assert not log.apply(Grant("i/9", "b", "j", 1, 0)).counted, (
        "another incarnation's id"
    )
    assert not log.apply(Grant("j/1", "b", "j", 1, 0)).counted, "evicted"
    assert not log.apply(Claim("j/2", "k", "b", "j", "f")).counted, "evicted"
    assert not log.apply(Evict("op1", "i", "op")).counted, "repeated id"
    assert not log.apply(None).counted
    assert not log.apply(Release("op2", "b", "i", 5, "", "op")).counted, "not evicted"
    with pytest.raises(ValueError, match="expected"):
        log.ledger.apply(Entry(3, 0, None))


def test_a_release_requires_the_acks_of_all_possible_borrowers():
    log = LedgerLog("i", "j", "k")
    log.apply(Grant("i/1", "b", "i", 50, 0))
    log.apply(Evict("op1", "i", "op"))
    release = Release("op2", "b", "i", 80, "", "op")
    assert log.apply(release).reason == "not acknowledged by j, k"
    assert not log.apply(EvictAck("op9", "i", "j")).counted, "j is live"
    assert log.apply(Transfer("j/1", "b", "i", "j", 10, "l")).counted
    log.apply(EvictAck("j/2", "i", "j"))
    assert not log.apply(Transfer("j/3", "b", "i", "j", 10, "m")).counted
    log.apply(Close("k/1", "k", []))
    log.apply(Join("n/0", "n", "n", "d", 0))
    assert not log.apply(Transfer("n/1", "b", "i", "n", 10, "o")).counted, (
        "joined after"
    )
    assert log.apply(release._replace(id="op3")).tokens == 40
    assert log.apply(Return("i/2", "b", "i", 40)).tokens == 0, "released already"
    assert (log.view().available, log.view().held) == (90, {"j": 10})


def test_released_tokens_are_not_returned_twice():
    log = LedgerLog("i")
    log.apply(Grant("i/1", "b", "i", 50, 0))
    log.apply(Evict("op1", "i", "op"))
    log.apply(Release("op2", "b", "i", 30, "", "op"))
    assert log.apply(Return("i/2", "b", "i", 40)).tokens == 10
    assert log.apply(Close("i/3", "i", [Unspent("b", 5)])).tokens == 5
    assert log.view().held == {"i": 5}


def test_a_request_is_billed_once_and_an_attempt_charged_once():
    log = LedgerLog("i", "j")
    log.apply(Grant("i/1", "b", "i", 50, 0))
    log.apply(Grant("j/1", "b", "j", 50, 0))
    log.apply(Evict("op1", "j", "op"))
    log.apply(Charge("i/2", "b", "i", "k", 10, "i-a1"))
    assert log.apply(Recover("op2", "b", "j", "k", 20, "j-a1", "op")).counted
    assert not log.apply(Charge("j/2", "b", "j", "k", 20, "j-a1")).counted
    view = log.view()
    assert (view.spent, view.billed, view.in_doubt) == (30, 10, 30)
    verdict = log.apply(Charge("i/3", "b", "i", "q", 45, "i-a2"))
    assert (verdict.tokens, verdict.reason) == (40, "overdrawn")
    assert log.view().overdrawn == 5


def test_only_the_first_claimant_may_record_the_outcome():
    log = LedgerLog("i", "j")
    log.apply(Grant("i/1", "b", "i", 50, 0))
    assert log.apply(Claim("i/2", "k", "b", "i", "f")).counted
    assert log.apply(Claim("j/1", "k", "b", "j", "f")).reason == "already claimed"
    assert "different" in log.apply(Claim("j/2", "k", "b", "j", "g")).reason
    assert not log.apply(Abandon("j/3", "k", "j")).counted
    log.apply(Evict("op1", "i", "op"))
    assert not log.apply(Outcome("j/4", "k", "b", "j", 1, 200, "t", "x")).counted
    assert log.apply(Outcome("i/3", "k", "b", "i", 7, 200, "t", "yes", "a")).counted
    assert not log.apply(Abandon("i/4", "k", "i")).counted
    state = log.ledger.find_request("k")
    assert (state.outcome.body, state.claimant) == ("yes", "i")


def test_keys_expire_by_log_time_and_claimed_keys_leave_a_marker():
    log = LedgerLog("i", "j")
    log.apply(Grant("i/1", "b", "i", 50, 0))
    log.apply(Charge("i/2", "b", "i", "plain", 1, "a1"))
    log.apply(Claim("i/3", "claimed", "b", "i", "f"))
    log.time_ms = 10_001
    log.apply(None)
    assert log.ledger.find_request("plain") is None
    assert log.ledger.find_request("claimed").expired
    assert log.apply(Claim("j/1", "claimed", "b", "j", "f")).reason == "key expired"
    log.time_ms = 310_001
    log.apply(None)
    assert log.ledger.find_request("claimed") is None


def test_citing_an_impossible_configuration_offset_blocks_no_reader():
    log = LedgerLog("i")
    for record in (Grant("i/1", "b", "i", 5, 10**9), Join("x/1", "x", "x", "d", 10**9)):
        entry = Entry(log.ledger.next_offset, 0, record)
        assert log.ledger.required_config_offset(entry) == 0
        assert not log.apply(record).counted
    grant = Grant("i/2", "b", "i", 5, 7)
    assert log.ledger.required_config_offset(Entry(0, 0, grant)) == 7
    assert log.apply(grant).tokens == 5


def test_generated_keys_are_retained_for_an_hour_only():
    log = LedgerLog("i", key_retention=timedelta(hours=48))
    log.apply(Grant("i/1", "b", "i", 50, 0))
    log.apply(Charge("i/2", "b", "i", "desks/a/b/~i-1", 1, "i-1-1"))
    log.apply(Charge("i/3", "b", "i", "desks/a/b/k", 1, "i-2-1"))
    assert log.apply(Charge("i/4", "b", "i", "desks/a/b/~i-1", 1, "i-1-1")).tokens == 0
    log.time_ms = GENERATED_RETENTION_MS + 1
    log.apply(None)
    assert log.ledger.find_request("desks/a/b/~i-1") is None
    assert log.ledger.find_request("desks/a/b/k").billed == 1


def test_a_closed_incarnation_is_discarded_and_cannot_rejoin():
    log = LedgerLog("i", "j")
    log.apply(Grant("i/1", "b", "i", 50, 0))
    assert log.apply(Close("i/2", "i", [Unspent("b", 40)])).tokens == 40
    assert log.ledger.find_incarnation("i").state is Membership.CLOSED
    log.apply(Evict("op1", "i", "op"))
    log.apply(EvictAck("j/1", "i", "j"))
    log.apply(Release("op2", "b", "i", 10, "", "op"))
    assert log.ledger.find_incarnation("i") is None
    assert not log.apply(Join("i/0", "i", "i", "d", 0)).counted
    assert log.ledger.list_live() == ["j"]
    assert log.view().available == 100


def test_a_checkpoint_needs_all_its_parts():
    log = LedgerLog("i")
    log.apply(Grant("i/1", "b", "i", 90, 0))
    for number in range(6000):
        log.apply(Charge(f"i/{number + 2}", "b", "i", f"key{number}", 0, f"a{number}"))
    parts = log.ledger.make_checkpoint("c")
    assert len(parts) > 1
    restored = Ledger.restore(parts[::-1], lambda budget, offset: 100, RETENTION)
    assert restored.make_checkpoint("c") == parts
    with pytest.raises(DecodeError, match="missing"):
        Ledger.restore(parts[1:], lambda budget, offset: 100)


def test_a_checkpoint_with_rows_of_another_type_is_refused():
    log = LedgerLog("i")
    log.apply(Charge("i/1", "b", "i", "key", 0, "a"))
    [part] = log.ledger.make_checkpoint("c")
    damaged = part._replace(state=part.state.replace('"i/1"', "7").replace('"a"', "7"))
    with pytest.raises(DecodeError):
        Ledger.restore([damaged], lambda budget, offset: 100)


def test_a_checkpoint_of_another_version_is_refused():
    [part] = LedgerLog("i").ledger.make_checkpoint("c")
    other = part._replace(state=part.state.replace("[2,", "[1,", 1))
    assert other != part
    with pytest.raises(DecodeError, match="version"):
        Ledger.restore([other], lambda budget, offset: 100)


def test_a_grant_of_another_streams_budget_is_void():
    streams = {"ledger-0": 0, "ledger-1": 0}
    for stream in streams:
        ledger = Ledger(stream, lambda budget, offset: 100, shards=2)
        ledger.apply(Entry(0, 0, Join("i/0", "i", "i", "d", 0)))
        verdict = ledger.apply(Entry(1, 0, Grant("i/1", "acme", "i", 10, 0)))
        streams[stream] = verdict.tokens
    assert sorted(streams.values()) == [0, 10]
