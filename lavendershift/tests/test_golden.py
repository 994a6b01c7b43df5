"""Comparison of golden sessions with their recorded transcripts."""

import pytest

from lavendershift.tests.golden_sessions import GOLDEN_PATH, SESSIONS, play_session


@pytest.mark.parametrize("name", SESSIONS)
def test_session_is_as_recorded(name):
    expected = (GOLDEN_PATH / f"{name}.txt").read_text(encoding="utf-8")
    assert play_session(name) == expected


def test_every_recorded_session_is_played():
    recorded = {path.stem for path in GOLDEN_PATH.glob("*.txt")}
    assert recorded == set(SESSIONS)
