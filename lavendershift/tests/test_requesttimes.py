from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavendershift.requesttimes import RESPONSE_RESERVE, RequestTime

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
