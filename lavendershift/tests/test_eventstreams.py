import pytest

from lavendershift.eventstreams import EventSplitter

STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6))


@pytest.mark.parametrize("size", [1, 2, 3, 7, 16, 17, 1000])
def test_events_stay_whole_whatever_the_chunks(size):
    splitter = EventSplitter()
    whole = []
    for start in range(0, len(STREAM), size):
        events = splitter.feed(STREAM[start : start + size])
        assert events == b"" or events.endswith(b"\n\n")
        whole.append(events)
    assert b"".join(whole) == STREAM
    assert splitter.count == 5
    assert splitter.last_id == "5"


def test_a_partial_event_is_not_counted():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert splitter.last_id == "1"
    splitter.drop_partial()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
    assert splitter.count == 2


def test_events_with_other_line_ends():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 4\r\ndata: x\r\n\r\nid") == b"id: 4\r\ndata: x\r\n\r\n"
    assert splitter.last_id == "4"
    assert splitter.flush() == b"id"


def test_an_endless_event_is_handed_on():
    splitter = EventSplitter()
    assert len(splitter.feed(b"x" * 2_000_000)) == 2_000_000
