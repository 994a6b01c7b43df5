from hypothesis import given
from hypothesis import strategies as st

from lavendershift.patience import UNSIZED_BODY_TIMEOUT, ProgressTimeout

FIRST, GAP = 0.6, 0.9


def test_progress_gives_the_time_of_a_gap_each_time():
    timeout = ProgressTimeout(0.0, FIRST, GAP)
    assert timeout.deadline == FIRST
    for now in (0.5, 1.3, 2.1, 60.0):
        timeout.note_progress(now)
        assert timeout.deadline == now + GAP


@given(st.lists(st.floats(0.001, 0.8), min_size=1, max_size=50))
def test_bytes_that_bring_nothing_prolong_the_wait_once(steps):
    timeout = ProgressTimeout(0.0, FIRST, GAP)
    timeout.note_progress(1.0)
    now = 1.0
    for step in steps:
        now += step
        timeout.note_bytes(now)
    assert timeout.deadline <= 1.0 + UNSIZED_BODY_TIMEOUT


def test_a_caller_that_reads_slowly_takes_no_time_from_the_server():
    timeout = ProgressTimeout(0.0, FIRST, GAP)
    timeout.note_progress(1.0)
    timeout.suspend(1.5)
    assert timeout.deadline is None
    timeout.resume(20.0)
    assert timeout.deadline == 20.0 + GAP - 0.5


def test_a_release_without_a_hold_changes_nothing():
    timeout = ProgressTimeout(0.0, FIRST, GAP)
    timeout.resume(0.3)
    assert timeout.deadline == FIRST
