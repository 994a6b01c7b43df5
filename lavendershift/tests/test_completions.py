import time

import pytest

from lavendershift.completions import CompletionStream


@pytest.mark.parametrize("size", [16, 1024])
def test_a_long_event_in_small_chunks_takes_linear_time(size):
    """Guards against an event without end that occupies the event loop."""
    stream = CompletionStream(wants_usage=False)
    started = time.process_time()
    while not stream.failed:
        stream.feed(b"x" * size)
    assert time.process_time() - started < 1
