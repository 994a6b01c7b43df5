from hypothesis import given
from hypothesis import strategies as st

from lavendershift.patience import UNSIZED_TIME, Patience

FIRST, GAP = 0.6, 0.9


def test_progress_gives_the_time_of_a_gap_each_time():
    patience = Patience(0.0, FIRST, GAP)
    assert patience.deadline == FIRST
    for now in (0.5, 1.3, 2.1, 60.0):
        patience.note_progress(now)
        assert patience.deadline == now + GAP


@given(st.lists(st.floats(0.001, 0.8), min_size=1, max_size=50))
def test_bytes_that_bring_nothing_prolong_the_wait_once(steps):
    patience = Patience(0.0, FIRST, GAP)
    patience.note_progress(1.0)
    now = 1.0
    for step in steps:
        now += step
        patience.note_bytes(now)
    assert patience.deadline <= 1.0 + UNSIZED_TIME


def test_a_caller_that_reads_slowly_takes_no_time_from_the_server():
    patience = Patience(0.0, FIRST, GAP)
    patience.note_progress(1.0)
    patience.hold(1.5)
    assert patience.deadline is None
    patience.release(20.0)
    assert patience.deadline == 20.0 + GAP - 0.5


def test_a_release_without_a_hold_changes_nothing():
    patience = Patience(0.0, FIRST, GAP)
    patience.release(0.3)
    assert patience.deadline == FIRST
