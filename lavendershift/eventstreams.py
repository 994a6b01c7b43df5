"""Cutting a ``text/event-stream`` into whole events.

A server may break off in the middle of an event. Only whole events are handed
on, so that another server can continue after the last one::

    splitter = EventSplitter()
    events = splitter.feed(chunk)
    splitter.last_id
"""

SEPARATORS = (b"\n\n", b"\r\n\r\n")
MAX_PARTIAL_BYTES = 1_048_576  # of one event; more of it is handed on in parts


class EventSplitter:
    """Collects bytes until an event is whole, and counts the events."""

    def __init__(self) -> None:
        self.last_id = ""
        self.count = 0
        self._partial = b""

    @property
    def partial_bytes(self) -> int:
        """How many bytes of an unfinished event were read."""
        return len(self._partial)

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole events that ``chunk`` completes."""
        data = self._partial + chunk
        cut = max(_find_end(data, separator) for separator in SEPARATORS)
        if cut < 0:
            self._partial = data
            return self.flush() if len(data) > MAX_PARTIAL_BYTES else b""
        whole, self._partial = data[:cut], data[cut:]
        self._note(whole)
        return whole

    def flush(self) -> bytes:
        """Return what is left of an event that never ended."""
        partial, self._partial = self._partial, b""
        return partial

    def drop_partial(self) -> None:
        """Forget an unfinished event, as another server will send it whole."""
        self._partial = b""

    def _note(self, whole: bytes) -> None:
        for line in whole.split(b"\n"):
            if line.startswith(b"data:"):
                self.count += 1
            elif line.startswith(b"id:"):
                self.last_id = line[3:].strip().decode("latin1")


def _find_end(data: bytes, separator: bytes) -> int:
    position = data.rfind(separator)
    return position + len(separator) if position >= 0 else -1
