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
        self._timeout: asyncio.Timeout | None = None
        self._timer = DeferredTimer(self._check)

    async def run(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run ``work``; return early, with ``reason`` set, if it is ended."""
        try:
            async with asyncio.timeout(None) as self._timeout:
                self._check()
                if self.reason is None:
                    await work()
        except TimeoutError:
            if self.reason is None:  # not this timer's
                raise
        finally:
            self._timeout = None
            self._timer.cancel()

    def end(self, reason: EndReason) -> None:
        """End the work, unless it has ended."""
        if self.reason is None and self._timeout is not None:
            self.reason = reason
            self._timeout.reschedule(asyncio.get_running_loop().time())

    def extend(self, timeout: timedelta) -> bool:
        """Apply a timeout that is in force now; return whether the end has moved."""
        is_extended = self.time.extend(timeout) and self._timeout is not None
        if is_extended:
            self._check()
        return is_extended

    def _check(self) -> None:
        """End the work if its time is over, or else check again then."""
        left = self.time.find_left(self._clock.elapsed(), self._has_begun())
        if left > timedelta():
            now = asyncio.get_running_loop().time()
            self._timer.start(now + left.total_seconds())
        else:
            self.end(EndReason.TIME_OVER)
