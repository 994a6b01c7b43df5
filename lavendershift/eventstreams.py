"""Parser that splits a ``text/event-stream`` into complete events.

A server may break off in the middle of an event. Only complete events are forwarded,
so that another server can continue after the last one. Each response is read by a
reader of its own, which starts at the position where the previous one ended::

    events = EventReader(position)
    complete = events.feed(chunk)
    position = events.position

Source: the section on server-sent events of the HTML standard. In contrast to it, an
id applies to its own event only, and an event without an id doesn't inherit one.
"""

import re
from typing import NamedTuple

# A CR at the end of the data read so far may be the first half of a CRLF.
EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n|\Z)){2}")
MAX_END_BYTES = 4  # CRLF CRLF
LAST_EVENT_END = b"\r\r"  # end of the last event of a stream with CR line ends
IDLE_FIELDS = frozenset({b"", b"event", b"retry"})  # fields other than id and data
MAX_ID_DIGITS = 20  # digits of the largest 64-bit number
MAX_EVENT_BYTES = 262_144  # limit for one event and the comments before it


class EventOrderError(Exception):
    """An event does not follow the last forwarded one."""


class EventLimitError(Exception):
    """Too many bytes arrived without completing an event."""


class EventPosition(NamedTuple):
    """How much of a stream was forwarded.

    ``events`` counts the forwarded events with data. ``last_id`` is the last id, or the
    Last-Event-ID of the caller; it is empty if there is none, or if a block without an
    id followed. ``is_consecutive`` is set while ids are consecutive numbers, so that
    none can be left out. ``has_partial_event`` is set if one more event had begun, and
    ``is_ambiguous`` if no event can be shown to follow the last block.
    """

    events: int = 0
    last_id: str = ""
    is_consecutive: bool = False
    has_partial_event: bool = False
    is_ambiguous: bool = False

    @property
    def can_resume(self) -> bool:
        """Whether an event of another response can be shown to follow."""
        return not self.is_ambiguous

    def advance(self, event_id: str, has_data: bool = True) -> "EventPosition":
        """Return the position after an event or other block with ``event_id``."""
        events = self.events + has_data
        number = _read_number(event_id)
        if number is None:
            return EventPosition(events, is_ambiguous=True)
        before = _read_number(self.last_id)
        step = None if before is None else number - before
        # Ids are consecutive from a first id of 0 or 1, or from a step of 1 between the
        # first two events, as long as each further step is 1.
        starts_count = not self.last_id and event_id in ("0", "1")
        continues_count = step == 1 and (self.is_consecutive or self.events <= 1)
        return EventPosition(events, event_id, starts_count or continues_count)

    def is_followed_by(self, event_id: str) -> bool:
        """Whether an event with ``event_id`` can be the next one.

        Ids increase. Where they are consecutive none may be left out.
        """
        if not self.last_id and not self.is_ambiguous:
            return True
        step = _find_step(self.last_id, event_id)
        if step is None:
            return False
        return step == 1 if self.is_consecutive else step > 0


def read_position(event_id: str) -> EventPosition:
    """Return the position of a caller that has the events up to ``event_id``.

    If the id is no number, the next one is unknown, and the position is the start.
    """
    return EventPosition(last_id=event_id if _read_number(event_id) is not None else "")


class EventReader:
    """Buffers the bytes of a response until an event is complete.

    ``position`` is that of the last event returned by ``feed``. If ``is_continuation``
    is set, the first event has to follow the initial position.
    """

    def __init__(
        self, position: EventPosition | None = None, is_continuation: bool = False
    ) -> None:
        self.position = position or EventPosition()
        self._must_follow = is_continuation
        self._partial = b""
        self._bytes_since_event = 0

    @property
    def partial_bytes(self) -> int:
        """Number of bytes read of an incomplete event."""
        return len(self._partial)

    @property
    def is_inside_event(self) -> bool:
        """Whether a response that ends here ends within an event."""
        if self.position.has_partial_event:
            return True
        if self._partial.endswith(LAST_EVENT_END):
            return False
        lines = self._partial.splitlines()
        return any(line and not line.startswith(b":") for line in lines)

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that ``chunk`` completes.

        Raises ``EventOrderError`` if they don't follow the position, and
        ``EventLimitError`` after too many bytes without an event.
        """
        data = self._partial + chunk
        # Only an end that chunk completes is new. Searching all of a long event again
        # for each of its chunks would take quadratic time.
        searched = max(len(self._partial) - MAX_END_BYTES + 1, 0)
        ends = [match.end() for match in EVENT_END.finditer(data, searched)]
        events = self.position.events
        start = 0
        for end in ends:
            self._note_block(data[start:end])
            start = end
        self._partial = data[start:]
        self._count_idle_bytes(len(chunk), self.position.events > events)
        return data[:start]

    def _count_idle_bytes(self, size: int, has_event: bool) -> None:
        """Limit the bytes that a server may send without completing an event."""
        self._bytes_since_event = (
            len(self._partial) if has_event else self._bytes_since_event + size
        )
        if self._bytes_since_event > MAX_EVENT_BYTES:
            raise EventLimitError(f"{self._bytes_since_event} bytes without an event")

    def take_remainder(self) -> bytes:
        """Return the bytes after the last complete event, at the response's end.

        Raises ``EventOrderError`` if they are an event that doesn't follow.
        """
        remainder, self._partial = self._partial, b""
        if remainder.endswith(LAST_EVENT_END):
            self._note_block(remainder)
        return remainder

    def end(self) -> EventPosition:
        """Return the position from which another response has to continue."""
        if not self.is_inside_event:
            return self.position
        return self.position._replace(has_partial_event=True)

    def _note_block(self, block: bytes) -> None:
        event_id, has_data, is_idle = "", False, True
        for line in block.splitlines():
            name, _, value = line.partition(b":")
            if name == b"id":
                event_id = value.strip().decode("latin1")
            has_data = has_data or name == b"data"
            is_idle = is_idle and name in IDLE_FIELDS
        if is_idle:
            return
        if self._must_follow and not self.position.is_followed_by(event_id):
            raise EventOrderError(f"{event_id!r} after {self.position.last_id!r}")
        self._must_follow = False
        self.position = self.position.advance(event_id, has_data)


def _read_number(event_id: str) -> int | None:
    is_number = event_id.isdecimal() and event_id.isascii()
    return int(event_id) if is_number and len(event_id) <= MAX_ID_DIGITS else None


def _find_step(before: str, after: str) -> int | None:
    """Return the difference of two ids, ``None`` if one of them is no number."""
    first, second = _read_number(before), _read_number(after)
    return None if first is None or second is None else second - first
