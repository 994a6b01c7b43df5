"""The timer that drives an engine's steps."""

import asyncio
from collections.abc import Callable

# Backlog limit in steps; older steps are skipped, not run in a burst.
MAX_STEPS_BEHIND = 5


class StepLoop:
    """Calls ``step`` at regular intervals until it returns ``False``.

    ``find_interval_s`` returns the interval in seconds, which may change from step
    to step.
    """

    def __init__(
        self, step: Callable[[], bool], find_interval_s: Callable[[], float]
    ) -> None:
        self._step = step
        self._find_interval_s = find_interval_s
        self._timer: asyncio.TimerHandle | None = None
        self._next_at = 0.0

    def wake(self) -> None:
        """Schedule the next step unless one is scheduled."""
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._next_at = loop.time() + self._find_interval_s()
            self._timer = loop.call_at(self._next_at, self._run)

    def stop(self) -> None:
        """Cancel the scheduled step."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _run(self) -> None:
        self._timer = None
        if not self._step():
            return
        loop = asyncio.get_running_loop()
        interval = self._find_interval_s()
        earliest = loop.time() - MAX_STEPS_BEHIND * interval
        self._next_at = max(self._next_at + interval, earliest)
        self._timer = loop.call_at(self._next_at, self._run)
