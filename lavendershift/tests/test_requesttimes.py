import asyncio
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavendershift.requestends import EndReason
from lavendershift.requesttimers import RequestTimer
from lavendershift.requesttimes import RESPONSE_RESERVE, RequestTime
from lavendershift.tests.virtualloop import VirtualLoop

MS = timedelta(milliseconds=1)
TIMES = st.integers(0, 10_000).map(lambda count: count * MS)


def make_time(deadline_ms=6000, timeout_ms=2000, received_ms=100):
    received = received_ms * MS
    return RequestTime(received, received + deadline_ms * MS, timeout_ms * MS)


@pytest.mark.parametrize(
    "deadline_ms, timeouts, allowed_ms",
    [
        (6000, [2000], 2000),
        (1500, [2000], 1500),
        (6000, [2000, 5000], 5000),
        (6000, [2000, 9000], 6000),
        (6000, [5000, 1000], 5000),
        (6000, [3000, 1000, 4000], 4000),
        (6000, [3000, 1000, 2000], 3000),
    ],
)
def test_time_is_the_longest_timeout_up_to_the_deadline(
    deadline_ms, timeouts, allowed_ms
):
    time = make_time(deadline_ms, timeouts[0])
    for timeout in timeouts[1:]:
        time.extend(timeout * MS)
    assert time.allowed == allowed_ms * MS
    assert time.end == (100 + allowed_ms) * MS


def test_only_a_response_that_has_begun_has_all_of_its_time():
    time = make_time()
    assert time.find_left(2000 * MS, has_begun=True) == 100 * MS
    assert time.find_left(2000 * MS, has_begun=False) == 100 * MS - RESPONSE_RESERVE


@given(TIMES, TIMES, st.lists(TIMES, min_size=1))
def test_no_change_shortens_the_time_of_a_request(received, deadline, timeouts):
    time = RequestTime(received, received + deadline, timeouts[0])
    for timeout in timeouts[1:]:
        before = time.end
        assert time.extend(timeout) == (time.end > before)
        assert time.end >= before
    assert time.allowed == min(deadline, max(timeouts))


def run_timer(turns, timeout_ms=2000):
    """Run work that needs some turns of the loop after a pause over the end."""
    loop = VirtualLoop()
    timer = RequestTimer(loop, make_time(6000, timeout_ms, 0), lambda: False)
    done = []

    async def work():
        await asyncio.sleep((timeout_ms - 100) / 1000)
        for _ in range(turns):
            await asyncio.sleep(0)
        done.append(loop.elapsed())

    def pause():
        loop.selector.now += 0.3

    loop.call_later((timeout_ms - 150) / 1000, pause)
    loop.run_until_complete(timer.run(work))
    loop.close()
    return timer, done


@pytest.mark.parametrize("turns", [0, 3, 10, 30])
def test_what_came_in_a_pause_of_the_loop_is_read_before_the_time_ends(turns):
    timer, done = run_timer(turns)
    assert done and timer.reason is None


def test_time_ends_once_with_the_first_reason():
    loop = VirtualLoop()
    timer = RequestTimer(loop, make_time(received_ms=0), lambda: False)
    timer.end(EndReason.STOPPED)  # nothing runs yet
    loop.call_later(0.5, timer.end, EndReason.STOPPED)
    loop.call_later(0.5, timer.end, EndReason.TIME_OVER)
    loop.run_until_complete(timer.run(lambda: asyncio.sleep(9)))
    assert (timer.reason, loop.time()) == (EndReason.STOPPED, pytest.approx(0.5))
    loop.close()
