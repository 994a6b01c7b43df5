from hypothesis import given
from hypothesis import strategies as st

from lavendershift.progresstimeouts import UNSIZED_BODY_TIMEOUT, ProgressTimeout

FIRST, GAP = 0.6, 0.9


def test_progress_restarts_the_timeout_with_the_gap():
    timeout = ProgressTimeout(0.0, FIRST, GAP)
    assert timeout.deadline == FIRST
    for now in (0.5, 1.3, 2.1, 60.0):
        timeout.note_progress(now)
        assert timeout.deadline == now + GAP


@given(st.lists(st.floats(0.001, 0.8), min_size=1, max_size=50))
def test_bytes_without_progress_extend_the_timeout_up_to_a_limit(steps):
    timeout = ProgressTimeout(0.0, FIRST, GAP)
    timeout.note_progress(1.0)
    now = 1.0
    for step in steps:
        now += step
        timeout.note_bytes(now)
    assert timeout.deadline <= 1.0 + UNSIZED_BODY_TIMEOUT


def test_time_of_a_slow_caller_is_not_counted():
    timeout = ProgressTimeout(0.0, FIRST, GAP)
    timeout.note_progress(1.0)
    timeout.suspend(1.5)
    assert timeout.deadline is None
    timeout.resume(20.0)
    assert timeout.deadline == 20.0 + GAP - 0.5


def test_resume_without_suspend_has_no_effect():
    timeout = ProgressTimeout(0.0, FIRST, GAP)
    timeout.resume(0.3)
    assert timeout.deadline == FIRST
