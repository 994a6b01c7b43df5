"""Timeout that lets what has arrived be read before it ends a wait.

After a pause of the event loop, timers that ended in it run beside the handlers of
bytes that arrived in it. A response may have arrived in time then, but not be read yet.
A timer that runs late therefore waits a little longer, a few times at most::

    async with Timeout(1.5) as timeout:
        await read_response()

It raises ``TimeoutError`` as ``asyncio.timeout`` does.
"""

import asyncio
from types import TracebackType
from typing import Self

LATE_AFTER = 0.01  # seconds by which an ordinary timer may run late
LATE_WAIT = 0.02  # seconds that a late timer waits longer
MAX_LATE_WAITS = 5  # as a response is read in several steps


class Timeout:
    """Ends the wait of the current task after a delay in seconds."""

    def __init__(self, delay: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._deadline = self._loop.time() + delay
        self._inner = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None

    @property
    def deadline(self) -> float:
        """The time at which the wait ends, on the event loop's clock."""
        return self._deadline

    def extend(self, deadline: float) -> None:
        """Move the deadline to a later time."""
        self._deadline = max(self._deadline, deadline)

    async def __aenter__(self) -> Self:
        await self._inner.__aenter__()
        self._timer = self._loop.call_at(self._deadline, self._check)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        place: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
        await self._inner.__aexit__(kind, error, place)

    def _check(self, due: float | None = None, late_waits: int = 0) -> None:
        now = self._loop.time()
        lateness = now - (self._deadline if due is None else due)
        if now < self._deadline:
            self._timer = self._loop.call_at(self._deadline, self._check)
        elif lateness > LATE_AFTER and late_waits < MAX_LATE_WAITS:
            due = now + LATE_WAIT
            self._timer = self._loop.call_at(due, self._check, due, late_waits + 1)
        else:
            self._inner.reschedule(now)
