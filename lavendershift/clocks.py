"""Clocks that are passed to all code that depends on the time.

Decision logic never reads the system time itself. It takes a ``Clock``, so that
a test or a simulation can run it at any time and speed::

    clock = ManualClock()
    clock.advance(timedelta(seconds=5))
"""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of wall-clock time and of elapsed time."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC; it may step backwards."""
        ...

    def elapsed(self) -> timedelta:
        """Return the time since an arbitrary start; it never steps backwards."""
        ...


class BootClock(Clock, Protocol):
    """A clock that also measures the time in which the VM was suspended."""

    def since_boot(self) -> timedelta:
        """Return the time since the VM's boot, including suspended time."""
        ...


class SystemClock:
    """Clock of the machine that the process runs on."""

    def now(self) -> datetime:
        """Return the system's wall-clock time in UTC."""
        return datetime.now(UTC)

    def elapsed(self) -> timedelta:
        """Return the system's monotonic time."""
        return timedelta(seconds=time.monotonic())

    def since_boot(self) -> timedelta:
        """Return the time since boot, including suspended time."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))


class ManualClock:
    """Clock that only moves when ``advance`` is called; for tests and simulations."""

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = timedelta()

    def now(self) -> datetime:
        """Return the start time plus all advances."""
        return self._start + self._elapsed

    def elapsed(self) -> timedelta:
        """Return the sum of all advances."""
        return self._elapsed

    def since_boot(self) -> timedelta:
        """Return the sum of all advances."""
        return self._elapsed

    def advance(self, step: timedelta) -> None:
        """Move the clock forwards by ``step``."""
        if step < timedelta():
            raise ValueError("a clock only moves forwards")
        self._elapsed += step
