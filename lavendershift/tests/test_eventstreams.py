import random
import time

import pytest

from lavendershift.eventstreams import (
    MAX_EVENT_BYTES,
    EventLimitError,
    EventOrderError,
    EventPosition,
    EventReader,
    read_position,
)

STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6))


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("size", [1, 2, 3, 7, 16, 17, 1000])
def test_events_are_complete_for_any_chunk_size(size, line_end):
    stream = STREAM.replace(b"\n", line_end)
    reader = EventReader()
    complete = []
    for start in range(0, len(stream), size):
        events = reader.feed(stream[start : start + size])
        assert events == b"" or events.endswith(line_end)
        complete.append(events)
    assert b"".join(complete) + reader.take_remainder() == stream
    assert reader.position == EventPosition(5, "5", is_consecutive=True)


@pytest.mark.parametrize("seed", range(20))
def test_events_do_not_depend_on_the_chunks_of_mixed_line_ends(seed):
    rng = random.Random(seed)
    pieces = [b"\r", b"\n", b"\r\n", b"id: 1", b"data: x", b": y", b"\n\n", b"\r\r"]
    stream = b"".join(rng.choices(pieces, k=60))
    whole, chunked = EventReader(), EventReader()
    expected = whole.feed(stream) + whole.take_remainder()
    data, start = b"", 0
    while start < len(stream):
        end = start + rng.randint(1, 6)
        data += chunked.feed(stream[start:end])
        start = end
    assert data + chunked.take_remainder() == expected == stream
    assert chunked.position == whole.position


@pytest.mark.parametrize("size", [16, 64, 1024])
def test_a_long_event_in_small_chunks_takes_linear_time(size):
    """Guards against an event line without end that occupies the event loop."""
    reader = EventReader()
    started = time.process_time()
    with pytest.raises(EventLimitError):
        while True:
            reader.feed(b"x" * size)
    assert time.process_time() - started < 1


def test_a_partial_event_is_not_counted():
    reader = EventReader()
    assert reader.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert reader.position == EventPosition(1, "1", is_consecutive=True)
    assert reader.partial_bytes == len(b"id: 2\nda")


def test_reader_continues_where_the_previous_one_ended():
    before = EventReader()
    before.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    reader = EventReader(before.position, is_continuation=True)
    assert reader.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
    assert reader.position == EventPosition(2, "2", is_consecutive=True)


def test_crlf_line_ends_delimit_events():
    reader = EventReader()
    assert reader.feed(b"id: 4\r\ndata: x\r\n\r\nid") == b"id: 4\r\ndata: x\r\n\r\n"
    assert reader.position.last_id == "4"
    assert reader.take_remainder() == b"id"


def test_an_event_of_several_lines_counts_once():
    reader = EventReader()
    reader.feed(b"id: 1\ndata: a\ndata: b\n\n: a comment\n\nretry: 5\n\n")
    assert reader.position == EventPosition(1, "1", is_consecutive=True)


def test_stream_cannot_resume_after_an_event_without_an_id():
    reader = EventReader()
    reader.feed(b": only a comment\n\n")
    assert reader.position.can_resume
    reader.feed(b"id: 1\ndata: a\n\ndata: b\n\n")
    assert not reader.position.can_resume


@pytest.mark.parametrize(
    "pieces",
    [
        [b"x" * 2_000_000],
        [b"id: 2\ndata: ", *[b"x" * 1000] * 2000],
        [b": alive\n" * 100_000],
        [b": alive\n\n" * 1000] * 100,
        [b"retry: 5\n\n" * 1000] * 100,
    ],
)
@pytest.mark.parametrize("is_continuation", [False, True])
def test_unbounded_bytes_without_an_event_are_refused(pieces, is_continuation):
    """Guards against forwarding such bytes in pieces, as if they were a response."""
    before = EventPosition().advance("0") if is_continuation else EventPosition()
    reader = EventReader(before, is_continuation)
    reader.feed(b"id: 1\ndata: a\n\n")
    forwarded = 0
    with pytest.raises(EventLimitError):
        for piece in pieces:
            forwarded += len(reader.feed(piece))
    assert forwarded <= MAX_EVENT_BYTES
    assert reader.position.last_id == "1"


def test_many_comments_between_events_are_accepted():
    reader = EventReader()
    for number in range(1, 20):
        reader.feed(b": alive\n\n" * 5000)
        reader.feed(b"id: %d\ndata: x\n\n" % number)
    assert reader.position.events == 19


def read_events(*ids):
    reader = EventReader()
    for event_id in ids:
        reader.feed(b"id: %s\ndata: x\n\n" % event_id.encode("latin1"))
    return reader.position


@pytest.mark.parametrize(
    ("ids", "following", "others"),
    [
        (["1", "2", "3"], ["4"], ["3", "1", "5", "", "x4", "4x", "-4", "\u0664"]),
        (["0"], ["1"], ["0", "2"]),
        (["1"], ["2"], ["1", "3"]),
        (["41", "42"], ["43"], ["42", "44"]),
        (["41"], ["42", "50"], ["41", "40", ""]),
        (["5", "10", "12"], ["13", "20"], ["12", "5", ""]),
        (["1", "2", "9"], ["10", "12"], ["9", "2"]),
    ],
)
def test_reader_accepts_only_an_event_that_follows(ids, following, others):
    position = read_events(*ids)
    for event_id in following:
        event = b"id: %s\ndata: y\n\n" % event_id.encode()
        assert (
            EventReader(position, is_continuation=True)
            .feed(b": hello\n\n" + event)
            .endswith(event)
        )
    for event_id in others:
        with pytest.raises(EventOrderError):
            EventReader(position, is_continuation=True).feed(
                b"id: %s\ndata: y\n\n" % event_id.encode()
            )


@pytest.mark.parametrize("last", ["x", "", "7b", "\u00b2", "9" * 5000])
def test_stream_cannot_resume_after_an_id_that_is_no_number(last):
    assert not read_events("1", last).can_resume


@pytest.mark.parametrize(
    ("remainder", "is_inside"),
    [
        (b"", False),
        (b"\n", False),
        (b"\r\n: bye\n", False),
        (b": bye", False),
        (b"i", True),
        (b"id: 2\n", True),
        (b"data: x\n", True),
        (b": bye\ndata: x\n", True),
    ],
)
def test_a_stream_may_end_with_comments_but_not_inside_an_event(remainder, is_inside):
    reader = EventReader()
    reader.feed(b"id: 1\ndata: a\n\n" + remainder)
    assert reader.is_inside_event is is_inside


@pytest.mark.parametrize("event_id", ["", "x", "9" * 5000])
def test_callers_last_event_id_that_is_no_number_is_ignored(event_id):
    assert read_position(event_id) == EventPosition()


@pytest.mark.parametrize("digits", [4300, 5000])
def test_ids_of_any_length_are_accepted(digits):
    event_id = "9" * digits
    event = b"id: %s\ndata: x\n\n" % event_id.encode()
    assert EventReader().feed(event) == event
    assert read_position(event_id).can_resume


def test_a_stream_with_lines_that_end_in_cr_is_not_inside_an_event():
    stream = STREAM.replace(b"\n", b"\r")
    reader = EventReader()
    events = reader.feed(stream)
    assert not reader.is_inside_event
    assert events + reader.take_remainder() == stream


def test_numbering_continues_from_the_callers_last_event():
    position = read_position("3").advance("4")
    assert position.is_followed_by("5")
    assert not position.is_followed_by("6")


def test_only_the_first_event_of_a_continuation_is_checked():
    events = b"id: 2\ndata: b\n\ndata: c\n\n"
    assert EventReader(read_events("1"), is_continuation=True).feed(events) == events


@pytest.mark.parametrize("block", [b": hello\n\n", b"event: ping\n\n", b"retry: 5\n\n"])
def test_blocks_without_id_and_data_may_precede_a_continuation(block):
    reader = EventReader(read_events("1", "2"), is_continuation=True)
    assert reader.feed(block + b"id: 3\ndata: x\n\n").endswith(b"id: 3\ndata: x\n\n")
    assert reader.position == EventPosition(3, "3", is_consecutive=True)


def test_block_with_an_id_but_no_data_advances_the_position():
    reader = EventReader(read_events("1", "2"), is_continuation=True)
    reader.feed(b"id: 3\n\nid: 4\ndata: x\n\n")
    assert reader.position == EventPosition(3, "4", is_consecutive=True)


def test_continuation_must_contain_the_event_that_had_begun():
    first = EventReader()
    first.feed(b"id: 1\ndata: a\n\nid")
    second = EventReader(first.end(), is_continuation=True)
    assert second.is_inside_event
    second.feed(b"id: 2\ndata: b\n\n")
    assert not second.is_inside_event
