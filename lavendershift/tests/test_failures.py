"""Router processes that are killed, stopped, or cut off from the network."""

import signal
import time

import pytest

from lavendershift.tests.callers import wait_for
from lavendershift.tests.live_fleet import Fleet
from lavendershift.tests.observations import Observer, replay_ledger

# Each router holds its share from its first request on, also during an outage.
SPLIT = {"ledger": {"holding_policy": "equal_split"}}
FAST = {"step_ms": 0.5}
SHORT = {"Deadline-Ms": "4000"}


@pytest.fixture
def make_fleet(tmp_path):
    fleets = []

    def make(*args, **options):
        fleet = Fleet(tmp_path, *args, **options)
        fleets.append(fleet)
        fleet.start()
        return fleet

    yield make
    for fleet in fleets:
        print(fleet.describe_processes())  # shown by pytest if the test fails
        fleet.stop()


def evict(fleet, name, count=1):
    """Remove a VM from the membership list and wait for its eviction."""
    fleet.publish_members(**{name: None})
    wait_for(lambda: len(fleet.list_records("evict")) >= count, 40, "an eviction")


def find_live(fleet, vm):
    """Return the live incarnations of a VM."""
    return [n for n in replay_ledger(fleet).list_live() if n.startswith(f"{vm}.")]


def spend_until_refused(observer, vm, name, max_tokens=200, max_requests=200):
    """Send requests until one is refused; return its reply."""
    for i in range(max_requests):
        reply = observer.complete(
            vm, f"{name}-{i}", max_tokens=max_tokens, headers=SHORT
        )
        if reply.status != 200:
            return reply
    raise AssertionError("no request was refused")


def wait_drained(fleet):
    """Wait until every running router has read its records back from the log."""
    for name in fleet.names:
        if fleet.processes[name].alive:
            wait_for(
                lambda name=name: (
                    not any(
                        ledger["unconfirmed_records"]
                        for ledger in fleet.status(name)["ledgers"]
                    )
                ),
                message="records to be confirmed",
            )


def test_retries_of_streams_cut_by_a_kill_are_billed_once(make_fleet):
    """Tokens of interrupted attempts aren't spent again; a retry is billed once."""
    fleet = make_fleet(top_ups={"plume": 4_000}, engine_options={"step_ms": 2.0})
    observer = Observer(fleet)
    keys = [f"cut-{i}" for i in range(4)]
    streams = [observer.open_stream("r1", key, 200).begin() for key in keys]
    for stream in streams:
        stream.read_some()
    fleet.kill("r1")
    for key, stream in zip(keys, streams, strict=True):
        reply = stream.finish()
        assert not reply.is_complete_stream
        observer.record_reply("r1", key, reply)
    for key in keys:
        reply = observer.complete("r2", key, max_tokens=200)
        assert reply.status == 200
    evict(fleet, "r1")
    refusal = spend_until_refused(observer, "r2", "more")
    assert refusal.error["code"] == "budget_exhausted"
    assert refusal.headers["Ran"] == "no"
    wait_drained(fleet)
    assert observer.find_violations() == []
    billed = replay_ledger(fleet).find_request(f"desks/rennes/plume/{keys[0]}").billed
    assert billed == 200 + 7  # completion and prompt tokens of the retry, once


def test_frozen_router_wakes_after_its_eviction(make_fleet):
    """An evicted router that continues closes its incarnation and joins again.

    It must not spend the tokens of the evicted incarnation, which it returns.
    """
    fleet = make_fleet(sections=SPLIT, engine_options=FAST, top_ups={"plume": 4_000})
    observer = Observer(fleet)
    assert observer.complete("r1", "before").status == 200
    old = find_live(fleet, "r1")
    fleet.freeze("r1")
    evict(fleet, "r1")
    refusal = spend_until_refused(observer, "r2", "other", max_tokens=200)
    assert refusal.status == 402
    fleet.publish_members()
    fleet.resume("r1")
    for i in range(5):
        observer.complete("r1", f"woken-{i}", max_tokens=200)
    wait_for(lambda: find_live(fleet, "r1") not in ([], old), message="a new join")
    fleet.wait_ready("r1")
    [close] = wait_for(lambda: fleet.list_records("close"), message="a close")
    assert [close[2]] == old
    assert close[3][0][1] > 0  # tokens returned
    new = find_live(fleet, "r1")
    reply = observer.complete("r1", "handed-back", max_tokens=200)
    assert reply.status == 200
    # The new incarnation must not be evicted as unreachable.
    evict_after_s = 2.0
    time.sleep(2 * evict_after_s)
    assert find_live(fleet, "r1") == new
    assert len(fleet.list_records("evict")) == 1
    wait_drained(fleet)
    assert observer.find_violations() == []


@pytest.mark.parametrize("answer", ["503", "hang"])
def test_routers_spend_only_their_shares_in_a_log_outage(make_fleet, answer):
    fleet = make_fleet(sections=SPLIT, engine_options=FAST, top_ups={"plume": 4_000})
    observer = Observer(fleet)
    for name in fleet.names:
        assert observer.complete(name, f"warm-{name}").status == 200
    fleet.add_fault("log", "outage", answer=answer)
    assert observer.complete("r1", "outage-first").status == 200
    wait_for(
        lambda: not fleet.status("r1")["ledgers"][0]["log_reachable"],
        message="r1 to detect the outage",
    )
    reply = observer.approve("r1", "approval-in-outage")
    assert (reply.status, reply.error["code"]) == (503, "log_unavailable")
    # An earlier submission may have run at a router that can reach the log.
    assert reply.headers["Ran"] == "unknown"
    assert int(reply.headers["Retry-After"]) > 0
    assert fleet.list_calls() == []
    for name in fleet.names:
        refusal = spend_until_refused(observer, name, f"out-{name}")
        assert refusal.headers["Ran"] == "no"
        assert refusal.status in (402, 429)
    fleet.end_faults("log")
    wait_drained(fleet)
    assert observer.find_violations() == []
    wait_for(
        lambda: fleet.status("r2")["ledgers"][0]["log_reachable"],
        message="r2 to detect the end of the outage",
    )
    assert observer.approve("r2", "approval-in-outage").status == 200
    assert observer.find_violations() == []


@pytest.mark.parametrize(("answer", "times"), [("close", 4), ("hang", 1)])
def test_append_repeated_after_a_lost_reply_takes_effect_once(
    make_fleet, answer, times
):
    """A record whose append is repeated after a lost reply takes effect once."""
    fleet = make_fleet()
    observer = Observer(fleet)
    when = {"path": "/streams/ledger-0/", "method": "POST", "times": times}
    for i in range(3):
        fleet.add_fault("log", "lose_reply", answer=answer, when=when)
        for name in fleet.names:
            assert observer.complete(name, f"key-{name}-{i}").status == 200
            assert observer.approve(name, f"call-{name}-{i}").status == 200
        assert fleet.list_faults("log") == []  # all were applied
    wait_drained(fleet)
    granted = {record[1]: record[4] for record in fleet.list_records("grant")}
    returned = {record[1]: record[4] for record in fleet.list_records("return")}
    view = replay_ledger(fleet).find_budget("plume")
    outstanding = sum(granted.values()) - sum(returned.values())
    assert sum(view.held.values()) == outstanding - view.spent  # no grant counted twice
    assert observer.find_violations() == []


def test_top_up_is_spent_by_a_partitioned_router_once_reconnected(make_fleet):
    fleet = make_fleet(sections=SPLIT, engine_options=FAST, top_ups={"plume": 4_000})
    observer = Observer(fleet)
    for name in fleet.names:
        assert observer.complete(name, f"warm-{name}").status == 200
    for link in ("r1-log", "r1-peer", "r2-peer"):
        fleet.set_link(link, "hang")
    wait_for(lambda: not fleet.status("r1")["peers"], message="r1 to lose its peers")
    refusal = spend_until_refused(observer, "r2", "near")
    assert refusal.headers["Ran"] == "no"
    fleet.top_up("second", "plume", 2_000)
    wait_for(
        lambda: observer.complete("r2", f"topped-{time.time()}").status == 200,
        message="the top-up to be spendable",
    )
    refusal = spend_until_refused(observer, "r1", "far")
    assert refusal.headers["Ran"] == "no"
    for link in ("r1-log", "r1-peer", "r2-peer"):
        fleet.set_link(link, "open")
    wait_for(
        lambda: observer.complete("r1", f"healed-{time.time()}").status == 200,
        message="the reconnected router to spend again",
    )
    wait_drained(fleet)
    assert observer.find_violations() == []


def test_isolated_router_reports_unknown_for_a_call_run_elsewhere(make_fleet):
    """A router without the log can't exclude that another router ran the call."""
    fleet = make_fleet(sections=SPLIT, engine_options=FAST, top_ups={"plume": 4_000})
    observer = Observer(fleet)
    for name in fleet.names:
        assert observer.complete(name, f"warm-{name}").status == 200
    for link in ("r1-log", "r1-peer", "r2-peer"):
        fleet.set_link(link, "hang")
    wait_for(
        lambda: not fleet.status("r1")["ledgers"][0]["log_reachable"],
        message="r1 to lose the log",
    )
    assert observer.approve("r2", "approval").status == 200
    reply = observer.approve("r1", "approval")
    assert (reply.status, reply.headers["Ran"]) == (503, "unknown")
    for link in ("r1-log", "r1-peer", "r2-peer"):
        fleet.set_link(link, "open")
    wait_for(
        lambda: fleet.status("r1")["ledgers"][0]["log_reachable"],
        message="r1 to reach the log again",
    )
    assert len(fleet.list_calls()) == 1
    assert observer.find_violations() == []


def test_call_of_a_claimant_killed_after_dispatch_stays_unknown(make_fleet):
    fleet = make_fleet()
    observer = Observer(fleet)
    fleet.add_fault("service", "delay", delay_ms=60_000)
    call = fleet.open_approval("r1", "a")
    wait_for(lambda: fleet.count_calls("a") == 1, message="the call to run")
    fleet.kill("r1")
    observer.record_reply("r1", "a", call.finish(), is_call=True)
    early = fleet.approve("r2", "a", headers={"Deadline-Ms": "500"})
    assert early.error["code"] == "in_progress"
    evict(fleet, "r1")
    check_immediately_unknown(observer, "r2", "a")
    assert fleet.count_calls("a") == 1
    assert observer.find_violations(drained=False) == []


def test_call_of_a_claimant_killed_before_dispatch_stays_unknown(make_fleet):
    fleet = make_fleet(sections=SPLIT)
    observer = Observer(fleet)
    assert observer.complete("r1", "warm").status == 200
    # The claim is appended, but its author reads it back too late to dispatch.
    when = {"path": "/streams/ledger-0/", "method": "GET"}
    fleet.add_fault("log", "delay", delay_ms=2_500, when=when)
    call = fleet.open_approval("r1", "b")
    wait_for(lambda: fleet.list_records("claim"), message="the claim")
    fleet.kill("r1")
    observer.record_reply("r1", "b", call.finish(), is_call=True)
    fleet.end_faults("log")
    evict(fleet, "r1")
    check_immediately_unknown(observer, "r2", "b")
    assert fleet.count_calls("b") == 0
    assert observer.find_violations(drained=False) == []


def test_recorded_answer_survives_the_kill_of_its_claimant(make_fleet):
    fleet = make_fleet()
    observer = Observer(fleet)
    fleet.add_fault("service", "delay", delay_ms=500)
    call = fleet.open_approval("r1", "c")
    wait_for(lambda: fleet.count_calls("c") == 1, message="the call to run")
    call.connection.close()
    wait_for(lambda: fleet.list_records("outcome"), message="the outcome")
    fleet.kill("r1")
    reply = observer.approve("r2", "c")
    assert reply.status == 200
    assert fleet.count_calls("c") == 1
    wait_drained(fleet)
    assert observer.find_violations() == []


def test_frozen_claimant_records_its_answer_late(make_fleet):
    fleet = make_fleet()
    observer = Observer(fleet)
    fleet.add_fault("service", "delay", delay_ms=500)
    call = fleet.open_approval("r1", "d")
    wait_for(lambda: fleet.count_calls("d") == 1, message="the call to run")
    fleet.freeze("r1")
    evict(fleet, "r1")
    early = fleet.approve("r2", "d", headers={"Deadline-Ms": "500"})
    assert early.error["code"] == "outcome_unknown"
    fleet.publish_members()
    fleet.resume("r1")
    reply = observer.record_reply("r1", "d", call.finish(), is_call=True)
    assert reply.status == 200
    wait_for(lambda: fleet.list_records("outcome"), message="the outcome")
    wait_drained(fleet)
    wait_for(lambda: fleet.approve("r2", "d").status == 200, message="the answer")
    assert observer.approve("r2", "d").body == reply.body
    assert fleet.count_calls("d") == 1
    assert observer.find_violations() == []


def check_immediately_unknown(observer, vm, key):
    """Check that the outcome is reported as unknown without waiting."""

    def ask():
        return observer.fleet.approve(vm, key, headers={"Deadline-Ms": "500"})

    wait_for(lambda: ask().error["code"] == "outcome_unknown", message="the eviction")
    started = time.monotonic()
    reply = observer.approve(vm, key)
    assert time.monotonic() - started < 5  # no wait for an evicted claimant
    assert reply.status == 504
    assert reply.headers["Ran"] == "unknown"


def test_outcomes_and_configuration_survive_the_kill_of_all_vms(make_fleet):
    """Recorded outcomes and the configuration survive the loss of all processes."""
    fleet = make_fleet(
        relays=1, sections=SPLIT, engine_options=FAST, top_ups={"plume": 4_000}
    )
    observer = Observer(fleet)
    for name in fleet.names:
        assert observer.complete(name, f"before-{name}").status == 200
    first = observer.approve("r1", "approval")
    assert first.status == 200
    offset = fleet.status("r1")["config_offset"]
    for name in [*fleet.names, *fleet.relay_names]:
        fleet.kill(name)
    fleet.start_relay("relay1")
    for name in fleet.names:
        fleet.start_router(name, wait=False)
    for name in fleet.names:
        fleet.wait_ready(name)
        assert fleet.status(name)["config_offset"] >= offset
    again = observer.approve("r2", "approval")
    assert (again.status, again.body) == (200, first.body)
    assert fleet.count_calls("approval") == 1
    for name in fleet.names:
        spend_until_refused(observer, name, f"after-{name}")
    wait_drained(fleet)
    assert observer.find_violations() == []


def test_graceful_shutdown_completes_streams_and_returns_tokens(make_fleet):
    fleet = make_fleet(sections=SPLIT, engine_options={"step_ms": 10.0})
    observer = Observer(fleet)
    keys = [f"stream-{i}" for i in range(3)]
    streams = [observer.open_stream("r1", key, 400).begin() for key in keys]
    abandoned = observer.open_stream("r1", "gone", 400).begin()
    for stream in (*streams, abandoned):
        stream.read_some()
    abandoned.abandon()
    fleet.processes["r1"].send(signal.SIGTERM)
    wait_for(lambda: not fleet.is_ready("r1"), message="the router to stop")
    late = fleet.complete("r1", "late", "late")
    assert late.status in (0, 503)
    assert fleet.processes["r1"].alive
    for key, stream in zip(keys, streams, strict=True):
        reply = observer.record_reply("r1", key, stream.finish())
        assert reply.is_complete_stream
    assert fleet.processes["r1"].wait() == 0
    [close] = fleet.list_records("close")
    assert close[3][0][1] > 0
    assert find_live(fleet, "r1") == []
    ledger = replay_ledger(fleet)
    view = ledger.find_budget("plume")
    assert view.available == 100_000 - observer.sum_consumed()
    assert view.in_doubt == 0
    assert observer.find_violations() == []
    assert "Traceback" not in fleet.read_output("r1")


@pytest.mark.parametrize("source", ["list", "tree"])
def test_leaving_server_gets_no_new_work(make_fleet, source):
    fleet = make_fleet(engine_options={"step_ms": 10.0})
    observer = Observer(fleet)
    stream = observer.open_stream("r1", "long", 400).begin()
    stream.read_some()
    [leaving] = [n for n, runs in fleet.list_executions().items() if runs]
    if source == "list":
        fleet.publish_members(**{leaving.replace("-", "_"): "leaving"})
    else:
        change = [[f"servers/{leaving}", "state", "leaving"]]
        fleet.append("config", ["change", "leave", 2, "test", change])
    left_at = time.time()
    i = 0
    while time.time() < left_at + 4:
        for name in fleet.names:
            i += 1
            assert observer.complete(name, f"during-{i}", max_tokens=1).status == 200
    late = [
        run
        for run in fleet.list_executions()[leaving]
        if run["started_ms"] > (left_at + 2) * 1000
    ]
    assert late == []
    reply = observer.record_reply("r1", "long", stream.finish())
    assert reply.is_complete_stream
    wait_drained(fleet)
    assert observer.find_violations() == []


def test_routers_switch_from_a_killed_or_frozen_relay(make_fleet):
    """Routers switch to another relay if theirs fails or stops responding."""
    fleet = make_fleet(relays=2)
    observer = Observer(fleet)
    fleet.kill("relay1")
    for i in range(3):
        for name in fleet.names:
            assert observer.complete(name, f"killed-{name}-{i}").status == 200
    fleet.start_relay("relay1")
    fleet.freeze("relay2")
    for name in fleet.names:
        wait_for(
            lambda name=name: observer.approve(name, f"a-{time.time()}").status == 200,
            message="a route around the frozen relay",
        )
        assert observer.complete(name, f"frozen-{name}").status == 200
    fleet.resume("relay2")
    wait_drained(fleet)
    assert observer.find_violations() == []


def test_routers_with_several_ledgers_stay_joined(make_fleet):
    """Each ledger has one join per router, and no router evicts another."""
    fleet = make_fleet(sections={"ledger": {"shards": 3}})
    assert fleet.complete("r1", "warm").status == 200
    evict_after_s = 2.0
    time.sleep(3 * evict_after_s)
    for shard in range(3):
        assert fleet.list_records("evict", f"ledger-{shard}") == []
        assert len(fleet.list_records("join", f"ledger-{shard}")) == 2


def test_requests_at_the_end_of_a_shutdown_get_an_error(make_fleet):
    """Their connections were closed without a response."""
    fleet = make_fleet(
        sections={"shutdown": {"drain_s": 1.0}}, engine_options={"step_ms": 10.0}
    )
    stream = fleet.open_stream("r1", "long", "long", 2000).begin()
    stream.read_some()
    for name in fleet.engine_names:
        fleet.add_fault(name, "hang", when={"path": "/v1/"})
    silent = fleet.open_stream("r1", "silent", "silent", 400)
    time.sleep(0.3)
    fleet.processes["r1"].send(signal.SIGTERM)
    reply = silent.begin().finish()
    assert reply.status == 504
    assert b"outcome_unknown" in reply.body
    assert b"outcome_unknown" in stream.finish().body
    assert fleet.processes["r1"].wait() == 0


def test_shutdown_waits_for_attempts_of_disconnected_callers(make_fleet):
    fleet = make_fleet(engine_options={"step_ms": 10.0})
    observer = Observer(fleet)
    for name in fleet.engine_names:
        fleet.add_fault(name, "hang", when={"path": "/control/"})
    stream = observer.open_stream("r1", "gone", 600).begin()
    stream.read_some()
    stream.abandon()
    fleet.processes["r1"].send(signal.SIGTERM)
    assert fleet.processes["r1"].wait() == 0
    assert len(fleet.list_records("close")) == 1
    assert "Traceback" not in fleet.read_output("r1")
    # The usage of the abandoned attempt is billed or stays in doubt.
    view = replay_ledger(fleet).find_budget("plume")
    assert view.available <= 100_000 - observer.sum_consumed()
    assert observer.find_violations(drained=False) == []
