"""Timer that ends the work on one request."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from lavendershift.clocks import Clock
from lavendershift.requestends import EndReason
from lavendershift.requesttimes import RequestTime
from lavendershift.timeouts import LATE_AFTER, LATE_WAIT, MAX_LATE_WAITS


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
        self._handle: asyncio.TimerHandle | None = None

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
            if self._handle is not None:
                self._handle.cancel()

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

    def _check(self, due: float | None = None, late_waits: int = 0) -> None:
        """End the work if its time is over, or else check again then.

        A check that runs later than ``due`` waits, so that what arrived meanwhile is
        read first.
        """
        if self._handle is not None:
            self._handle.cancel()
        now = asyncio.get_running_loop().time()
        left = self.time.find_left(self._clock.elapsed(), self._has_begun())
        is_late = due is not None and now - due > LATE_AFTER
        if left > timedelta():
            self._schedule(now + left.total_seconds())
        elif is_late and late_waits < MAX_LATE_WAITS:
            self._schedule(now + LATE_WAIT, late_waits + 1)
        else:
            self.end(EndReason.TIME_OVER)

    def _schedule(self, due: float, late_waits: int = 0) -> None:
        loop = asyncio.get_running_loop()
        self._handle = loop.call_at(due, self._check, due, late_waits)
