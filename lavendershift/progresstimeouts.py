"""Timeout of an attempt that is extended as its response makes progress.

Progress is a response head, a complete event, or a chunk of a body whose length is
known. Other bytes may arrive without end; they extend the timeout only up to a fixed
time after the last progress. Times are seconds on the event loop's clock::

    timeout = ProgressTimeout(loop.time(), first=0.6, gap=0.9)
    timeout.note_progress(loop.time())
    give_up_at = timeout.deadline
"""

from typing import Protocol

UNSIZED_BODY_TIMEOUT = 2.4  # seconds from head to end of a body without a length


class ProgressMonitor(Protocol):
    """Monitors the arrival of a response."""

    def note_progress(self) -> None:
        """Record progress of the response."""
        ...

    def note_bytes(self) -> None:
        """Record bytes of a body that may have no end."""
        ...

    def suspend(self) -> None:
        """Suspend the timeout until the caller has read what arrived."""
        ...

    def resume(self) -> None:
        """Resume the timeout."""
        ...


class NullMonitor:
    """Monitor of an attempt that has no progress timeout."""

    def note_progress(self) -> None:
        """Do nothing."""

    def note_bytes(self) -> None:
        """Do nothing."""

    def suspend(self) -> None:
        """Do nothing."""

    def resume(self) -> None:
        """Do nothing."""


class ProgressTimeout:
    """A deadline that progress moves; ``None`` while it is suspended.

    ``first`` is the timeout for the first progress, ``gap`` that between two of them.
    """

    def __init__(self, now: float, first: float, gap: float) -> None:
        self.deadline: float | None = now + first
        self._gap = gap
        self._progress_at = now
        self._left = 0.0

    def note_progress(self, now: float) -> None:
        """Restart the timeout."""
        self._progress_at = now
        self.deadline = now + self._gap

    def note_bytes(self, now: float) -> None:
        """Extend the timeout up to a limit that counts from the last progress."""
        latest = self._progress_at + max(UNSIZED_BODY_TIMEOUT, self._gap)
        self.deadline = min(now + self._gap, latest)

    def suspend(self, now: float) -> None:
        """Suspend the timeout."""
        if self.deadline is not None:
            self._left = self.deadline - now
            self.deadline = None

    def resume(self, now: float) -> None:
        """Resume the timeout with the time that was left."""
        if self.deadline is None:
            self.deadline = now + max(self._left, 0.0)
