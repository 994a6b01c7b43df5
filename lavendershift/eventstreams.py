"""Cutting a ``text/event-stream`` into whole events.

A server may break off in the middle of an event. Only whole events are handed
on, so that another server can continue after the last one. Each answer is read
by a reader of its own, which begins where the one before ended::

    events = EventReader(position)
    whole = events.feed(chunk)
    position = events.position

Source: the section on server-sent events of the HTML standard.
"""

import re
from typing import NamedTuple

EVENT_END = re.compile(rb"(?:\r?\n){2}")  # lines that end in CR alone are not cut
MAX_ID_DIGITS = 20  # those of the largest number of 64 bits
MAX_PARTIAL_BYTES = 1_048_576  # of one event; more of it is handed on in parts


class EventOrderError(Exception):
    """An event does not follow those that were handed on."""


class EventPosition(NamedTuple):
    """How far a stream was handed on.

    ``events`` counts the events with data that the answer has. ``last_id`` is the
    id of the last of them, or of the event that the caller asked to go on after; it
    is empty where there is none. ``is_counted`` is set while the ids count the
    events, and ``is_cut`` where only a part of an event was handed on.
    """

    events: int = 0
    last_id: str = ""
    is_counted: bool = False
    is_cut: bool = False

    @property
    def can_continue(self) -> bool:
        """Whether another answer can be proved to go on from here."""
        if self.is_cut:
            return False
        return self.events == 0 or _read_number(self.last_id) is not None

    def advance(self, event_id: str) -> "EventPosition":
        """Return the position after an event with ``event_id``."""
        step = _find_step(self.last_id, event_id)
        # A first event numbered 0 or 1 begins a count, later ones go on with it.
        begins = not self.last_id and event_id in ("0", "1")
        goes_on = step == 1 and (self.is_counted or self.events <= 1)
        return EventPosition(self.events + 1, event_id, begins or goes_on)

    def is_followed_by(self, event_id: str) -> bool:
        """Whether an event with ``event_id`` is the next one, or may be.

        Ids rise. Where they count the events none may be left out.
        """
        if self.events == 0 and not self.last_id:
            return True
        step = _find_step(self.last_id, event_id)
        if step is None:
            return False
        return step == 1 if self.is_counted else step > 0


def find_position(event_id: str) -> EventPosition:
    """Return where a caller stands that has the events up to ``event_id``.

    What follows an id that is no number can't be told.
    """
    return EventPosition(last_id=event_id if _read_number(event_id) is not None else "")


class EventReader:
    """Collects an answer's bytes until an event is whole.

    ``position`` is that of the last event returned by ``feed``. A reader that
    begins at a later one than the first takes only what follows it.
    """

    def __init__(self, position: EventPosition | None = None) -> None:
        self.position = position or EventPosition()
        self._must_follow = self.position != EventPosition()
        self._partial = b""

    @property
    def partial_bytes(self) -> int:
        """How many bytes of an unfinished event were read."""
        return len(self._partial)

    @property
    def is_inside_event(self) -> bool:
        """Whether an answer that ends here leaves an event unfinished."""
        if self.position.is_cut:
            return True
        lines = self._partial.splitlines()
        return any(line and not line.startswith(b":") for line in lines)

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that ``chunk`` completes.

        Raises ``EventOrderError`` where they don't follow.
        """
        data = self._partial + chunk
        ends = [match.end() for match in EVENT_END.finditer(data)]
        if not ends:
            self._partial = data
            return self._cut() if len(data) > MAX_PARTIAL_BYTES else b""
        self._partial = data[ends[-1] :]
        start = 0
        for end in ends:
            self._note(data[start:end])
            start = end
        return data[:start]

    def take_rest(self) -> bytes:
        """Return what came after the last whole event."""
        rest, self._partial = self._partial, b""
        return rest

    def _cut(self) -> bytes:
        """Return the part of an event that is too long to be kept."""
        if self._must_follow:
            raise EventOrderError("the first event is too long")
        events = self.position.events + (not self.position.is_cut)
        self.position = EventPosition(events, is_cut=True)
        return self.take_rest()

    def _note(self, event: bytes) -> None:
        if self.position.is_cut:
            self.position = EventPosition(self.position.events)
            return
        event_id, has_data = "", False
        for line in event.splitlines():
            name, _, value = line.partition(b":")
            if name == b"id":
                event_id = value.strip().decode("latin1")
            elif name == b"data":
                has_data = True
        if not has_data:
            return
        if self._must_follow and not self.position.is_followed_by(event_id):
            raise EventOrderError(f"{event_id!r} after {self.position.last_id!r}")
        self._must_follow = False
        self.position = self.position.advance(event_id)


def _read_number(event_id: str) -> int | None:
    if len(event_id) > MAX_ID_DIGITS or not event_id.isascii():
        return None
    return int(event_id) if event_id.isdecimal() else None


def _find_step(before: str, after: str) -> int | None:
    """Return the difference of two ids, ``None`` where they are no numbers."""
    first, second = _read_number(before), _read_number(after)
    return None if first is None or second is None else second - first
