from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavendershift.readschedules import (
    MAX_CONCURRENT_CALLS,
    MAX_DELAY,
    PROGRESS_TIMEOUT,
    RETRY_INTERVAL,
    ReadSchedule,
)

MS = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
NO_WAIT = timedelta()
WAIT = 1200 * MS  # time that a log may wait for a record
DETECTION_TIME = 1800 * MS  # time until a connection that fell silent is given up


@pytest.fixture
def schedule():
    return ReadSchedule()


def test_a_call_that_hangs_is_hedged_after_its_wait(schedule):
    call = schedule.start(SECOND, wait=SECOND)
    schedule.note_connected(call, SECOND)
    hanging_at = 2 * SECOND + PROGRESS_TIMEOUT
    assert schedule.plan(SECOND) == (False, hanging_at - SECOND)
    assert schedule.plan(hanging_at - MS) == (False, MS)
    assert schedule.plan(hanging_at).starts_call


def test_no_call_is_started_beside_one_that_connects(schedule):
    schedule.start(SECOND, NO_WAIT)
    for now in (SECOND, 2 * SECOND, 9 * SECOND):
        assert schedule.plan(now) == (False, PROGRESS_TIMEOUT)


def test_no_call_is_started_beside_one_that_receives(schedule):
    calls = [schedule.start(SECOND, NO_WAIT) for _ in range(2)]
    for call in calls:
        schedule.note_connected(call, SECOND)
    assert schedule.note_bytes(calls[1], 2 * SECOND)
    assert not schedule.note_bytes(calls[0], 2 * SECOND)
    assert schedule.plan(60 * SECOND) == (False, None)
    schedule.note_failed(calls[1], 60 * SECOND)
    assert schedule.plan(60 * SECOND + RETRY_INTERVAL).starts_call


@pytest.mark.parametrize("delay_ms", [50, 700, 950])
def test_a_call_on_a_slow_path_is_not_hedged_before_its_response(schedule, delay_ms):
    delay = delay_ms * MS
    call = schedule.start(SECOND, NO_WAIT)
    schedule.note_connected(call, SECOND + delay)
    assert not schedule.plan(SECOND + 2 * delay).starts_call
    schedule.note_bytes(call, SECOND + 2 * delay)
    schedule.clear()
    call = schedule.start(5 * SECOND, NO_WAIT)  # on a connection that was kept
    schedule.note_connected(call, 5 * SECOND)
    assert not schedule.plan(5 * SECOND + delay).starts_call
    assert schedule.plan(5 * SECOND + delay + PROGRESS_TIMEOUT).starts_call


def test_one_slow_connect_does_not_delay_later_detection(schedule):
    """A silent connection was detected 2 s later ever after."""
    call = schedule.start(SECOND, WAIT)
    schedule.note_connected(call, 3 * SECOND)
    schedule.note_bytes(call, 3 * SECOND + WAIT)
    schedule.clear()
    call = schedule.start(60 * SECOND, WAIT)  # on the connection that was kept
    schedule.note_connected(call, 60 * SECOND)
    assert schedule.plan(60 * SECOND + WAIT + DETECTION_TIME).starts_call


def test_the_next_call_after_a_failure_starts_after_an_interval(schedule):
    call = schedule.start(SECOND, NO_WAIT)
    schedule.note_failed(call, 2 * SECOND)
    assert schedule.plan(2 * SECOND) == (False, RETRY_INTERVAL)
    assert schedule.plan(2 * SECOND + RETRY_INTERVAL).starts_call


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["connected", "bytes", "failed", "clear", "nothing"]),
        st.integers(0, 3),
        st.integers(0, 1500),
    ),
    max_size=60,
)


@given(STEPS)
def test_no_schedule_exceeds_the_calls_or_waits_for_ever(steps):
    schedule, now, calls = ReadSchedule(), SECOND, []
    for step, place, pause_ms in steps:
        plan = schedule.plan(now)
        if plan.starts_call:
            calls.append(schedule.start(now, NO_WAIT))
            assert len(calls) <= MAX_CONCURRENT_CALLS
        elif plan.check_after is None:
            assert schedule.receiving or len(calls) == MAX_CONCURRENT_CALLS
        else:
            assert timedelta() < plan.check_after <= MAX_DELAY + PROGRESS_TIMEOUT
        if step == "clear":
            schedule.clear()
            calls.clear()
        elif calls and step != "nothing":
            call = calls[place % len(calls)]
            if step == "connected":
                schedule.note_connected(call, now)
            elif step == "failed":
                schedule.note_failed(call, now)
                calls.remove(call)
            elif schedule.note_bytes(call, now):
                calls = [call]
        now += pause_ms * MS
