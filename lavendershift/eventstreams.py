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
MAX_PARTIAL_BYTES = 1_048_576  # of one event; more of it is handed on in parts


class EventPosition(NamedTuple):
    """How far a stream was handed on.

    ``events`` counts the events with data. ``last_id`` is the id of the last of
    them, empty where it had none. ``is_cut`` is set where only a part of an event
    was handed on.
    """

    events: int = 0
    last_id: str = ""
    is_cut: bool = False

    @property
    def can_continue(self) -> bool:
        """Whether another answer can go on from here."""
        if self.is_cut:
            return False
        return self.events == 0 or bool(self.last_id)


class EventReader:
    """Collects an answer's bytes until an event is whole.

    ``position`` is that of the last event returned by ``feed``.
    """

    def __init__(self, position: EventPosition | None = None) -> None:
        self.position = position or EventPosition()
        self._partial = b""

    @property
    def partial_bytes(self) -> int:
        """How many bytes of an unfinished event were read."""
        return len(self._partial)

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that ``chunk`` completes."""
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
        if has_data:
            self.position = EventPosition(self.position.events + 1, event_id)
