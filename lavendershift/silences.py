"""Silences of attempts and of backend servers.

A server that sends nothing for a second may be sound and go on. An attempt that makes
no progress is therefore kept, and only reported as silent, so that another one may be
started beside it::

    monitor = SilenceMonitor(loop, first=0.6, gap=0.9)
    monitor.on_silence = start_another_attempt
    monitor.start()

A server counts as silent if a request to it is silent and nothing else arrived from it
meanwhile. It then gets one request at a time, at growing intervals, until it is heard.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from lavendershift.progresstimeouts import ProgressTimeout

FIRST_BYTE_FACTOR = 1.5  # longest wait for a first byte, in multiples of the target
EXPECTED_FACTOR = 2.0  # the same in multiples of a longer expected latency
MIN_FIRST_BYTE_WAIT = timedelta(milliseconds=250)
MAX_EVENT_GAP = timedelta(milliseconds=900)  # time without an event until a silence
# Interval after the first silence until a server gets another request.
FIRST_AVOIDANCE = timedelta(seconds=1)
MAX_AVOIDANCE = timedelta(seconds=8)  # limit of the doubling at each further silence
# Time since a server's latest silence after which requests that may run once are sent
# there again, as there may be no others that show whether it goes on.
MAX_PRESUMPTION = timedelta(seconds=8)
# Time by which a timer may be late before data that arrived meanwhile is read first,
# as after a pause of this process.
TIMER_SLACK = 0.1


def find_first_byte_wait(
    target: timedelta, expected: timedelta, left: timedelta
) -> timedelta:
    """Return the time without a first byte after which an attempt is silent.

    ``left`` is the time to the deadline, of which half is kept for another attempt.
    """
    return min(find_usual_wait(target, expected), left / 2)


def find_usual_wait(target: timedelta, expected: timedelta) -> timedelta:
    """Return the time without a first byte after which a server may be silent.

    It grows with the ``expected`` latency, so that a server isn't taken for silent if
    it is slow because other prompts are queued there before this request's.
    """
    usual = max(target * FIRST_BYTE_FACTOR, MIN_FIRST_BYTE_WAIT)
    return max(usual, expected * EXPECTED_FACTOR)


class SilenceMonitor:
    """Watches the progress of one attempt; times are seconds on the loop's clock.

    ``on_silence`` is called when the attempt has made no progress for the time of its
    ``ProgressTimeout``, and again after further progress and silence. ``on_progress``
    is called at each progress. ``was_silent`` is set from the first silence on.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, first: float, gap: float
    ) -> None:
        self._loop = loop
        self._timeout = ProgressTimeout(loop.time(), first, gap)
        self._timer: asyncio.TimerHandle | None = None
        self.is_silent = False
        self.was_silent = False
        self.progress_at = loop.time()
        self._longest_gap = 0.0
        self.on_silence: Callable[[], None] = lambda: None
        self.on_progress: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Start watching."""
        self._schedule()

    def stop(self) -> None:
        """Stop watching; a response that has ended isn't silent."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        self.is_silent = False

    @property
    def longest_gap(self) -> float:
        """The longest time without progress so far, in seconds."""
        return max(self._longest_gap, self._loop.time() - self.progress_at)

    def note_progress(self) -> None:
        """Record progress of the response."""
        now = self._loop.time()
        self._longest_gap = max(self._longest_gap, now - self.progress_at)
        self.progress_at = now
        self._timeout.note_progress(now)
        self._end_silence()
        self.on_progress()

    def note_bytes(self) -> None:
        """Record bytes without progress, which delay a silence up to a limit."""
        self._timeout.note_bytes(self._loop.time())

    def suspend(self) -> None:
        """Stop the time while a slow caller, not the server, causes the delay."""
        self._timeout.suspend(self._loop.time())

    def resume(self) -> None:
        """Continue with the time that was left."""
        self._timeout.resume(self._loop.time())
        if self._timer is None and not self.is_silent:
            self._schedule()

    def _end_silence(self) -> None:
        if self.is_silent:
            self.is_silent = False
            self._schedule()

    def _schedule(self) -> None:
        if self._timeout.deadline is not None:
            self._timer = self._loop.call_at(self._timeout.deadline, self._check)

    def _check(self, has_waited: bool = False) -> None:
        """Report a silence, unless progress has moved the deadline meanwhile.

        A late timer waits once more, and no longer.
        """
        self._timer = None
        now, deadline = self._loop.time(), self._timeout.deadline
        if deadline is None:
            return
        if now < deadline:
            self._schedule()
        elif now - deadline > TIMER_SLACK and not has_waited:
            self._timer = self._loop.call_at(now + TIMER_SLACK, self._check, True)
        else:
            self.is_silent = self.was_silent = True
            self.on_silence()


class ServerSilence:
    """Whether a server is silent, from all requests that this VM has sent to it."""

    def __init__(self) -> None:
        self.is_open = False
        self._heard_at = timedelta()
        self._avoided_until = timedelta()
        self._avoidance = FIRST_AVOIDANCE
        self._presumed_until = timedelta()

    def is_presumed(self, now: timedelta) -> bool:
        """Return whether the server is probably still silent."""
        return self.is_open and now < self._presumed_until

    def is_avoided(self, now: timedelta) -> bool:
        """Return whether the server should get no request while there are others."""
        return self.is_open and now < self._avoided_until

    def note_silence(self, now: timedelta, progress_at: timedelta) -> bool:
        """Record a silent request; return whether the server now counts as silent.

        ``progress_at`` is when the request was sent or last made progress. A server
        that was heard since is sound, and only this request is delayed.
        """
        if self._heard_at > progress_at:
            return False
        self._presumed_until = now + MAX_PRESUMPTION
        if self.is_open:
            return False
        self.is_open = True
        self._avoided_until = now + self._avoidance
        return True

    def note_request(self, now: timedelta) -> None:
        """Record a request to the server, which shows whether it is still silent."""
        if self.is_open and now >= self._avoided_until:
            self._avoidance = min(self._avoidance * 2, MAX_AVOIDANCE)
            self._avoided_until = now + self._avoidance

    def note_heard(self, now: timedelta) -> bool:
        """Record progress of a response; return whether it ended a silence."""
        self._heard_at = now
        had_been_silent = self.is_open
        self.is_open = False
        self._avoidance = FIRST_AVOIDANCE
        return had_been_silent
