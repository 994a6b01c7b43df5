"""How long an attempt waits for a sign of its answer.

Only what brings the answer on is progress: its head, an event, a part of a body whose
length is known. Other bytes may come without end, and prolong the wait once and no
more. Times are seconds on the scale of the event loop::

    patience = Patience(loop.time(), first=0.6, gap=0.9)
    patience.note_progress(loop.time())
    give_up_at = patience.deadline
"""

from typing import Protocol

UNSIZED_BODY_TIMEOUT = 2.4  # s, for a body without a length to end after its head


class ProgressMonitor(Protocol):
    """Is told what arrives of an answer."""

    def note_progress(self) -> None:
        """Note what brings the answer on."""
        ...

    def note_bytes(self) -> None:
        """Note bytes that may go on without end."""
        ...

    def suspend(self) -> None:
        """Stop the clock, as the caller has to take a part first."""
        ...

    def resume(self) -> None:
        """Let the clock go on."""
        ...


class NullMonitor:
    """Waits without a bound of its own."""

    def note_progress(self) -> None:
        """Do nothing."""

    def note_bytes(self) -> None:
        """Do nothing."""

    def suspend(self) -> None:
        """Do nothing."""

    def resume(self) -> None:
        """Do nothing."""


class ProgressTimeout:
    """The time until which to wait; ``None`` while the clock is stopped.

    ``first`` is the time to the first sign, ``gap`` the time between two of them.
    """

    def __init__(self, now: float, first: float, gap: float) -> None:
        self.deadline: float | None = now + first
        self._gap = gap
        self._progress_at = now
        self._left = 0.0

    def note_progress(self, now: float) -> None:
        """Note what brings the answer on."""
        self._progress_at = now
        self.deadline = now + self._gap

    def note_bytes(self, now: float) -> None:
        """Note bytes that may go on without end."""
        latest = self._progress_at + max(UNSIZED_BODY_TIMEOUT, self._gap)
        self.deadline = min(now + self._gap, latest)

    def suspend(self, now: float) -> None:
        """Stop the clock."""
        if self.deadline is not None:
            self._left = self.deadline - now
            self.deadline = None

    def resume(self, now: float) -> None:
        """Let the clock go on with the time that was left."""
        if self.deadline is None:
            self.deadline = now + max(self._left, 0.0)
