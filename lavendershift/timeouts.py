"""Timeout that lets what has arrived be read before it ends a wait.

After a pause of the event loop, timers that ended in it run beside the handlers of
bytes that arrived in it. A response may have arrived in time then, but not be read yet.
A timer that runs late therefore waits a little longer, for a short time in all, as an
event loop that is always late would let it wait again and again::

    async with Timeout(1.5) as timeout:
        await read_response()

It raises ``TimeoutError`` as ``asyncio.timeout`` does. ``DeferredTimer`` is the same
for a callback.
"""

import asyncio
from collections.abc import Callable
from types import TracebackType
from typing import Self

LATE_AFTER = 0.01  # seconds by which an ordinary timer may run late
LATE_WAIT = 0.02  # seconds between the checks of a late timer
MAX_LATE_WAIT = 0.1  # seconds that it waits longer, as reading takes several steps


class DeferredTimer:
    """Calls ``on_end`` once ``deadline`` has passed, which may be moved meanwhile.

    Times are seconds on the clock of the running event loop.
    """

    def __init__(self, on_end: Callable[[], None]) -> None:
        self.deadline = 0.0
        self._on_end = on_end
        self._handle: asyncio.TimerHandle | None = None

    def start(self, deadline: float) -> None:
        """Begin to wait until ``deadline``, in place of an earlier one."""
        self.cancel()
        self.deadline = deadline
        loop = asyncio.get_running_loop()
        self._handle = loop.call_at(deadline, self._check, deadline)

    def cancel(self) -> None:
        """Stop waiting."""
        if self._handle is not None:
            self._handle.cancel()

    def _check(self, due: float, late_until: float | None = None) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        if now < self.deadline:
            self._handle = loop.call_at(self.deadline, self._check, self.deadline)
            return
        if late_until is None:
            late_until = now + MAX_LATE_WAIT
        if now - max(due, self.deadline) > LATE_AFTER and now < late_until:
            due = now + LATE_WAIT
            self._handle = loop.call_at(due, self._check, due, late_until)
        else:
            self._on_end()


class Timeout:
    """Ends the wait of the current task after a delay in seconds."""

    def __init__(self, delay: float) -> None:
        self._deadline = asyncio.get_running_loop().time() + delay
        self._inner = asyncio.timeout(None)
        self._timer = DeferredTimer(self._end)

    @property
    def deadline(self) -> float:
        """The time at which the wait ends, on the event loop's clock."""
        return self._deadline

    def extend(self, deadline: float) -> None:
        """Move the deadline to a later time."""
        self._deadline = max(self._deadline, deadline)
        self._timer.deadline = self._deadline

    async def __aenter__(self) -> Self:
        await self._inner.__aenter__()
        self._timer.start(self._deadline)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        place: TracebackType | None,
    ) -> None:
        self._timer.cancel()
        await self._inner.__aexit__(kind, error, place)

    def _end(self) -> None:
        self._inner.reschedule(asyncio.get_running_loop().time())
