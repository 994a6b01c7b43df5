"""Timer that ends the work on one request."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from lavendershift.clocks import Clock
from lavendershift.requestends import EndReason
from lavendershift.requesttimes import RequestTime
from lavendershift.timeouts import DeferredTimer


class RequestTimer:
    """Ends the work on a request when its time is over, or earlier.

    ``reason`` is set when the work is ended. ``has_begun`` returns whether the caller
    has got a part of the response.
    """

    def __init__(
        self, clock: Clock, time: RequestTime, has_begun: Callable[[], bool]
    ) -> None:
        self.time = time
        self.reason: EndReason | None = None
        self._clock = clock
        self._has_begun = has_begun
        self._task: asyncio.Task[None] | None = None
        self._timer = DeferredTimer(self._check)

    async def run(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run ``work``; return early, with ``reason`` set, if it is ended."""
        if self._find_left() <= timedelta():
            self.reason = EndReason.TIME_OVER
            return
        task = asyncio.current_task()
        assert task is not None
        cancelling = task.cancelling()
        self._task = task
        self._check()
        try:
            await work()
        except asyncio.CancelledError:
            # Another cancellation, as of a caller that is gone, goes on.
            if self.reason is None or task.cancelling() > cancelling + 1:
                raise
        finally:
            self._task = None
            self._timer.cancel()
            if self.reason is not None:
                task.uncancel()

    def end(self, reason: EndReason) -> None:
        """End the work, unless it has ended."""
        if self.reason is None and self._task is not None:
            self.reason = reason
            # A timeout of asyncio would take one more turn of the event loop.
            self._task.cancel()

    def extend(self, timeout: timedelta) -> bool:
        """Apply a timeout that is in force now; return whether the end has moved."""
        is_extended = self.time.extend(timeout) and self._task is not None
        if is_extended:
            self._check()
        return is_extended

    def _check(self) -> None:
        """End the work if its time is over, or else check again then."""
        left = self._find_left()
        if left > timedelta():
            now = asyncio.get_running_loop().time()
            self._timer.start(now + left.total_seconds())
        else:
            self.end(EndReason.TIME_OVER)

    def _find_left(self) -> timedelta:
        return self.time.find_left(self._clock.elapsed(), self._has_begun())
