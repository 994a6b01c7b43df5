"""An event loop in virtual time, for simulations that use asyncio."""

import asyncio
import selectors
from datetime import UTC, datetime, timedelta


class VirtualSelector(selectors.DefaultSelector):
    """Advances its time instead of waiting."""

    now = turn_s = 0.0

    def be_busy(self, turn_s):
        """Let each turn of the event loop take some seconds from now on."""
        self.turn_s = turn_s

    def select(self, timeout=None):
        assert timeout is not None, "no event is scheduled"
        self.now += max(timeout, self.turn_s)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, which is also a clock."""

    def __init__(self):
        self.selector = VirtualSelector()
        super().__init__(self.selector)

    def time(self):
        return self.selector.now

    def elapsed(self):
        return timedelta(seconds=self.selector.now)

    def now(self):
        return datetime(2026, 1, 1, tzinfo=UTC) + self.elapsed()
