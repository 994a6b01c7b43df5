from datetime import timedelta

import pytest

from lavendershift.stops import plan_stop

SECOND = timedelta(seconds=1)
REQUESTED = 100 * SECOND
# Time after the signal from which requests in flight may be ended, and up to which
# callers may use the VM.
LAST_PART = 5 / 6
CALLER_CACHE = 3 * SECOND


@pytest.mark.parametrize("grace_s", [0.5, 1, 2, 3, 5, 8, 12, 30, 120])
def test_the_times_of_a_stop_come_in_order_within_its_grace(grace_s):
    grace = grace_s * SECOND
    times = plan_stop(REQUESTED, grace)
    assert list(times) == sorted(set(times))
    assert times.closing < REQUESTED + CALLER_CACHE
    assert times.closing <= REQUESTED + grace / 2
    assert times.ending >= REQUESTED + grace * LAST_PART
    assert times.flushed < REQUESTED + grace


def test_the_times_of_a_stop_do_not_depend_on_when_it_is_planned():
    later = plan_stop(REQUESTED + SECOND, 8 * SECOND)
    first = plan_stop(REQUESTED, 8 * SECOND)
    assert [a - b for a, b in zip(later, first, strict=True)] == [SECOND] * 4


@pytest.mark.parametrize(
    ("grace_s", "closing_s", "ending_s", "flushed_s"),
    [
        (2, 0.75, 1.7, 1.8),
        (8, 2.9, 7 + 1 / 3, 7 + 5 / 9),
        (30, 2.9, 29.0, 29 + 1 / 3),
    ],
)
def test_a_stop_uses_its_grace(grace_s, closing_s, ending_s, flushed_s):
    times = plan_stop(timedelta(), grace_s * SECOND)
    assert [time.total_seconds() for time in times[1:]] == pytest.approx(
        [closing_s, ending_s, flushed_s], abs=0.001
    )
