"""Cutting a ``text/event-stream`` into whole events.

A server may break off in the middle of an event. Only whole events are handed
on, so that another server can continue after the last one. Each answer is read
by a reader of its own, which begins where the one before ended::

    events = EventReader(position)
    whole = events.feed(chunk)
    position = events.position

Source: the section on server-sent events of the HTML standard. Beyond it an id is
taken to stand for its own event only, so that one without an id has none.
"""

import re
from typing import NamedTuple

# A CR at the end of what was read may be the first half of a CRLF.
EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n|\Z)){2}")
LAST_EVENT_END = b"\r\r"  # of a stream whose lines end in CR
IDLE_FIELDS = frozenset({b"", b"event", b"retry"})  # lines without id or data
MAX_ID_DIGITS = 20  # those of the largest number of 64 bits
MAX_EVENT_BYTES = 262_144  # of one event, with the comments before it


class EventOrderError(Exception):
    """An event does not follow those that were handed on."""


class EventLimitError(Exception):
    """Bytes come on and on, and none of them ends an event."""


class EventPosition(NamedTuple):
    """How far a stream was handed on.

    ``events`` counts the events with data that the answer has. ``last_id`` is the
    last id, or that of the event that the caller asked to go on after; it is empty
    where there is none, or where something without an id followed it.
    ``is_consecutive`` is set while the ids count the events, ``has_partial_event`` where one
    more event had begun, and ``is_ambiguous`` where anything was that no event can be
    proved to follow.
    """

    events: int = 0
    last_id: str = ""
    is_consecutive: bool = False
    has_partial_event: bool = False
    is_ambiguous: bool = False

    @property
    def can_resume(self) -> bool:
        """Whether another answer can be proved to go on from here."""
        return not self.is_ambiguous

    def advance(self, event_id: str, has_data: bool = True) -> "EventPosition":
        """Return the position after a block with ``event_id``, mostly an event."""
        events = self.events + has_data
        if _read_number(event_id) is None:
            return EventPosition(events, is_ambiguous=True)
        step = _find_step(self.last_id, event_id)
        # A first event numbered 0 or 1 begins a count, later ones go on with it.
        starts_count = not self.last_id and event_id in ("0", "1")
        continues_count = step == 1 and (self.is_consecutive or self.events <= 1)
        return EventPosition(events, event_id, starts_count or continues_count)

    def is_followed_by(self, event_id: str) -> bool:
        """Whether an event with ``event_id`` is the next one, or may be.

        Ids rise. Where they count the events none may be left out.
        """
        if not self.last_id and not self.is_ambiguous:
            return True
        step = _find_step(self.last_id, event_id)
        if step is None:
            return False
        return step == 1 if self.is_consecutive else step > 0


def read_position(event_id: str) -> EventPosition:
    """Return where a caller stands that has the events up to ``event_id``.

    What follows an id that is no number can't be told.
    """
    return EventPosition(last_id=event_id if _read_number(event_id) is not None else "")


class EventReader:
    """Collects an answer's bytes until an event is whole.

    ``position`` is that of the last event returned by ``feed``. The reader of the
    rest of a stream, for which ``is_continuation`` is set, takes only what follows it.
    """

    def __init__(
        self, position: EventPosition | None = None, is_continuation: bool = False
    ) -> None:
        self.position = position or EventPosition()
        self._must_follow = is_continuation
        self._partial = b""
        self._bytes_since_event = 0  # bytes that brought no event

    @property
    def partial_bytes(self) -> int:
        """How many bytes of an unfinished event were read."""
        return len(self._partial)

    @property
    def is_inside_event(self) -> bool:
        """Whether an answer that ends here leaves an event unfinished."""
        if self.position.has_partial_event:
            return True
        if self._partial.endswith(LAST_EVENT_END):
            return False
        lines = self._partial.splitlines()
        return any(line and not line.startswith(b":") for line in lines)

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that ``chunk`` completes.

        Raises ``EventOrderError`` where they don't follow, and
        ``EventLimitError``.
        """
        data = self._partial + chunk
        ends = [match.end() for match in EVENT_END.finditer(data)]
        events = self.position.events
        start = 0
        for end in ends:
            self._note_block(data[start:end])
            start = end
        self._partial = data[start:]
        self._count_idle_bytes(len(chunk), self.position.events > events)
        return data[:start]

    def _count_idle_bytes(self, size: int, has_event: bool) -> None:
        """Count bytes without an event, so that a server can't send them for ever."""
        self._bytes_since_event = (
            len(self._partial) if has_event else self._bytes_since_event + size
        )
        if self._bytes_since_event > MAX_EVENT_BYTES:
            raise EventLimitError(f"{self._bytes_since_event} bytes without an event")

    def take_remainder(self) -> bytes:
        """Return what came after the last whole event, at the answer's end.

        Raises ``EventOrderError`` where it is an event that does not follow.
        """
        remainder, self._partial = self._partial, b""
        if remainder.endswith(LAST_EVENT_END):
            self._note_block(remainder)
        return remainder

    def end(self) -> EventPosition:
        """Return the position from which another answer has to go on."""
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
    if len(event_id) > MAX_ID_DIGITS or not event_id.isascii():
        return None
    return int(event_id) if event_id.isdecimal() else None


def _find_step(before: str, after: str) -> int | None:
    """Return the difference of two ids, ``None`` where they are no numbers."""
    first, second = _read_number(before), _read_number(after)
    return None if first is None or second is None else second - first
