"""Limit on the number of log lines about something that may occur without end."""

from datetime import timedelta

from lavendershift.clocks import Clock


class LineLimit:
    """Allows ``max_lines`` log lines in each period."""

    def __init__(self, clock: Clock, max_lines: int, period: timedelta) -> None:
        self._clock = clock
        self._max_lines = max_lines
        self._period = period
        self._lines = 0
        self._period_ends = timedelta()

    def take(self) -> bool:
        """Return whether another line may be written now."""
        now = self._clock.elapsed()
        if now >= self._period_ends:
            self._period_ends = now + self._period
            self._lines = 0
        self._lines += 1
        return self._lines <= self._max_lines
