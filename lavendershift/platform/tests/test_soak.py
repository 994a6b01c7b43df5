"""A short soak, and the seeds that ever failed with a line on the cause."""

import pytest

from lavendershift.platform.tests.soak.play import play_seed

REGRESSIONS = {
    2: "a stream was joined with a body that was no stream, or ended in an event",
    9: "a part of an event that a server left off in was joined to what came next",
    8: "after a pause, data that came with a stream's timeout raised an error",
    77: "a reload before the program had its handlers ended the process",
}


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_a_short_soak_breaks_no_promise(seed):
    found, requests = play_seed(seed, calm_s=2.5, chaos_s=4.0)
    assert found == []
    assert requests > 100
