import random
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lavendershift import signals
from lavendershift.clocks import ManualClock
from lavendershift.ejection import MAX_EJECTED_SHARE
from lavendershift.loads import LoadReport
from lavendershift.nodes import ServerSettings
from lavendershift.servers import AttemptResult, ServerPool


def make_settings(name, state="live", capacity=8):
    return ServerSettings(
        name=name,
        kind="engine",
        address=f"127.0.0.1:{9000 + int(name[1:])}",
        failure_domain="rennes",
        models=("plume",),
        service="",
        capacity=capacity,
        state=state,
        fencing="ignored",
    )


def make_pool(count=6, **kwargs):
    clock = ManualClock()
    pool = ServerPool(clock, random.Random(5), **kwargs)
    names = [f"e{i}" for i in range(count)]
    pool.update_settings({name: make_settings(name) for name in names})
    return clock, pool


def list_names(pool):
    return {c.name for c in pool.list_candidates(model="plume")}


def test_a_server_leaving_by_settings_or_membership_list_is_no_candidate():
    _, pool = make_pool(4)
    pool.update_membership({"e0": "leaving", "e1": "live", "e2": "live"})
    assert list_names(pool) == {"e1", "e2", "e3"}
    pool.update_membership({"e0": "live", "e1": "live"})
    assert list_names(pool) == {"e0", "e1", "e3"}
    pool.update_membership({})
    assert list_names(pool) == {"e0", "e1", "e3"}
    server_settings = {"e0": make_settings("e0", "leaving"), "e1": make_settings("e1")}
    pool.update_settings(server_settings)
    assert list_names(pool) == {"e1"}


def test_a_failing_server_is_ejected_probed_and_readmitted():
    clock, pool = make_pool()
    ejections = []

    def collect(sender, ejection):
        ejections.append(ejection)

    with signals.server_ejected.connected_to(collect, pool):
        for attempt in range(3):
            pool.start("e0", f"a{attempt}", 10)
            pool.finish(f"a{attempt}", AttemptResult.FAILED)
    assert [e.server for e in ejections] == ["e0"]
    assert "e0" not in list_names(pool)
    clock.advance(ejections[0].length)
    limits = []
    for attempt in range(8):
        [candidate] = [c for c in pool.list_candidates("plume") if c.name == "e0"]
        limits.append(candidate.limit)
        pool.start("e0", f"b{attempt}", 10)
        pool.finish(f"b{attempt}", AttemptResult.COMPLETED)
    assert limits[:3] == [1, 2, 4]
    assert limits[-1] == 8


def test_a_server_that_refuses_all_requests_is_ejected():
    _, pool = make_pool()
    for attempt in range(3):
        pool.start("e0", f"a{attempt}", 10)
        pool.finish(f"a{attempt}", AttemptResult.REFUSED)
    assert "e0" not in list_names(pool)


def test_a_server_that_never_responds_is_ejected_after_three_timeouts():
    clock, pool = make_pool()
    for round_number in range(3):
        assert "e0" in list_names(pool)
        for slot in range(4):
            pool.start("e0", f"{round_number}.{slot}", 10)
        clock.advance(timedelta(seconds=1))
        for slot in range(4):
            pool.finish(f"{round_number}.{slot}", AttemptResult.TIMED_OUT)
    assert "e0" not in list_names(pool)


def test_a_failed_probe_doubles_the_ejection():
    clock, pool = make_pool()
    lengths = []

    def collect(sender, ejection):
        lengths.append(ejection.length)

    with signals.server_ejected.connected_to(collect, pool):
        for attempt in range(8):
            pool.start("e0", f"a{attempt}", 10)
            pool.finish(f"a{attempt}", AttemptResult.FAILED)
            clock.advance(lengths[-1] if lengths else timedelta())
    assert len(lengths) == 6
    assert lengths == sorted(set(lengths))


@settings(derandomize=True, database=None, max_examples=60)
@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.sampled_from(AttemptResult), st.floats(0, 3)),
        max_size=120,
    )
)
def test_the_share_of_ejected_servers_stays_within_its_maximum(steps):
    clock, pool = make_pool()
    for number, (server, result, seconds) in enumerate(steps):
        pool.start(f"e{server}", f"a{number}", 100)
        clock.advance(timedelta(seconds=seconds / 10))
        pool.note_first_token(f"a{number}")
        pool.finish(f"a{number}", result)
        assert 6 - len(list_names(pool)) <= 6 * MAX_EJECTED_SHARE
    assert all(c.in_flight == 0 for c in pool.list_candidates("plume"))
    assert all(c.pending_tokens == 0 for c in pool.list_candidates("plume"))


def test_a_slow_server_is_ejected_as_an_outlier():
    clock, pool = make_pool()
    for number in range(12):
        for server in range(6):
            pool.start(f"e{server}", f"a{number}", 1000)
            clock.advance(timedelta(seconds=4 if server == 3 else 0.4))
            pool.note_first_token(f"a{number}")
            pool.finish(f"a{number}", AttemptResult.COMPLETED)
        if "e3" not in list_names(pool):
            break
    assert list_names(pool) == {"e0", "e1", "e2", "e4", "e5"}


def serve_first_tokens(pool, clock, rounds, seconds=0.4):
    for number in range(rounds):
        for server in range(6):
            pool.start(f"e{server}", f"w{number}.{server}", 1000)
        clock.advance(timedelta(seconds=seconds))
        for server in range(6):
            pool.note_first_token(f"w{number}.{server}")
            pool.finish(f"w{number}.{server}", AttemptResult.COMPLETED)


@pytest.mark.parametrize("in_flight", [1, 8])
@pytest.mark.parametrize("tokens", [0, 1000])
def test_a_server_that_was_silent_once_is_not_ejected_as_slow(in_flight, tokens):
    clock, pool = make_pool()
    serve_first_tokens(pool, clock, 40, 0.1)
    for slot in range(in_flight):
        pool.start("e3", f"s{slot}", tokens)
        clock.advance(timedelta(milliseconds=20))
    clock.advance(timedelta(seconds=1.3))
    for slot in range(in_flight):
        pool.note_first_token(f"s{slot}")
        pool.finish(f"s{slot}", AttemptResult.COMPLETED)
    assert "e3" in list_names(pool)
    [candidate] = [c for c in pool.list_candidates("plume") if c.name == "e3"]
    assert candidate.limit >= 7


def test_a_slow_server_is_ejected_if_its_requests_overlap():
    clock, pool = make_pool()
    serve_first_tokens(pool, clock, 40, 0.1)
    for number in range(40):  # a request every 0.5 s, each 4 s to its first token
        pool.start("e3", f"s{number}", 1000)
        clock.advance(timedelta(seconds=0.5))
        pool.note_first_token(f"s{number - 7}")
    assert "e3" not in list_names(pool)


def test_slow_first_tokens_lower_the_limit_and_fast_ones_raise_it():
    clock, pool = make_pool(1)

    def run(seconds, rounds):
        for number in range(rounds):
            for slot in range(8):
                pool.start("e0", f"{number}.{slot}", 1000)
            clock.advance(timedelta(seconds=seconds))
            for slot in range(8):
                pool.note_first_token(f"{number}.{slot}")
                pool.finish(f"{number}.{slot}", AttemptResult.COMPLETED)
        return pool.list_candidates("plume")[0].limit

    assert run(0.4, 5) == 8
    assert run(6, 8) <= 4
    assert run(0.4, 30) == 8


def test_own_requests_are_not_counted_twice_and_old_reports_decay():
    clock, pool = make_pool(2, routers=2)
    for number in range(3):
        pool.start("e0", f"a{number}", 10)
    clock.advance(timedelta(seconds=1))
    pool.start("e0", "later", 10)
    pool.record_load("e0", LoadReport(5, 0, timedelta(milliseconds=500)))
    pool.record_load("e1", LoadReport(0, 0))
    loads = {c.name: c.load for c in pool.list_candidates("plume")}
    assert 5.5 <= loads["e0"] <= 6.0
    clock.advance(timedelta(seconds=12))
    loads = {c.name: c.load for c in pool.list_candidates("plume")}
    assert round(loads["e0"], 3) == 5.0
    assert round(loads["e1"], 3) == 1.0


def test_servers_without_reports_are_not_considered_busy():
    clock, pool = make_pool(2, routers=8)
    for number in range(7):
        pool.start("e0", f"a{number}", 10)
    assert all(c.has_capacity for c in pool.list_candidates("plume"))
    pool.record_load("e0", LoadReport(50, 9))
    pool.record_load("e1", LoadReport(50, 9))
    busy = [c for c in pool.list_candidates("plume") if c.load >= c.capacity]
    assert len(busy) == 2
    clock.advance(timedelta(minutes=1))
    assert {c.load for c in pool.list_candidates("plume")} == {7.0, 0.0}
