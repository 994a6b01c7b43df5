"""Background loops that are started again when they fail.

A process serves requests while one of its loops fails, and would often fail in the
same way after a restart, as all processes read the same input. So no failure of a
loop ends a process: it is reported, and the loop starts again after a pause that
doubles with each further failure::

    supervisor = LoopSupervisor(clock, on_failure)
    await supervisor.run("servers", feed.run)
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from lavendershift.clocks import Clock

MIN_PAUSE = timedelta(milliseconds=100)
MAX_PAUSE = timedelta(seconds=5)
# Time without a failure after which the pause is the shortest again.
RESET_AFTER = timedelta(seconds=30)

FailureListener = Callable[[str, BaseException, timedelta], None]


class LoopSupervisor:
    """Runs loops; ``on_failure`` gets a loop's name, its error and the pause."""

    def __init__(self, clock: Clock, on_failure: FailureListener) -> None:
        self._clock = clock
        self._on_failure = on_failure

    async def run(self, name: str, loop: Callable[[], Awaitable[None]]) -> None:
        """Run ``loop`` until it returns or is cancelled."""
        pause = MIN_PAUSE
        while True:
            started = self._clock.elapsed()
            try:
                await loop()
                return
            except (Exception, asyncio.CancelledError) as error:
                if is_being_cancelled():
                    raise
                # Otherwise something that the loop waited for was cancelled.
                if self._clock.elapsed() - started > RESET_AFTER:
                    pause = MIN_PAUSE
                self._on_failure(name, error, pause)
            await asyncio.sleep(pause.total_seconds())
            pause = min(pause * 2, MAX_PAUSE)


def is_being_cancelled() -> bool:
    """Return whether the cancellation of the current task was requested."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
