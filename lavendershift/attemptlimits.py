"""Limits on the attempts at one request."""

from collections.abc import Callable
from datetime import timedelta

from lavendershift.attempts import AttemptEnd
from lavendershift.clocks import Clock
from lavendershift.promptguards import PromptGuard
from lavendershift.requesttimes import RequestTime

MAX_SENDS = 4  # servers to which one request is sent, those that refuse it included
MAX_CONNECT_FAILURES = 6  # failed connections after which a request is given up
RETRY_RESERVE = timedelta(milliseconds=60)  # least time to the deadline for a retry


class AttemptLimits:
    """Counts the attempts at one request, and tells whether another is allowed.

    ``most_runs`` is the number of servers that may execute the request,
    ``possible_runs`` that of servers that may have begun to. ``spend_retry`` takes a
    token of the retry budget, and returns false if there is none. The token covers the
    next request that is sent, whichever attempt sends it.
    """

    def __init__(
        self,
        clock: Clock,
        time: RequestTime,
        guard: PromptGuard,
        most_runs: int,
        spend_retry: Callable[[AttemptEnd], bool],
    ) -> None:
        self.sends = self.possible_runs = 0
        self._clock = clock
        self._time = time
        self._guard = guard
        self._most_runs = most_runs
        self._spend_retry = spend_retry
        self._has_retry_token = False
        self._connect_failures = 0

    @property
    def may_connect(self) -> bool:
        """Whether few enough connections have failed."""
        return self._connect_failures < MAX_CONNECT_FAILURES

    def note_send(self) -> None:
        """Count a request that is sent now."""
        self._has_retry_token = False
        self.sends += 1
        self.possible_runs += 1

    def note_end(self, end: AttemptEnd, was_sent: bool) -> None:
        """Count the end of an attempt."""
        if end.did_not_run and was_sent:
            self.possible_runs -= 1
        if end is AttemptEnd.NOT_SENT:
            self._connect_failures += 1

    def take_retry_token(self, end: AttemptEnd) -> bool:
        """Take a token for the next request, unless an unsent one has left its own."""
        if not self._has_retry_token:
            self._has_retry_token = self._spend_retry(end)
        return self._has_retry_token

    def may_try_next(self, end: AttemptEnd, may_repeat: bool) -> bool:
        """Return whether another attempt is allowed after one ended with ``end``."""
        if end in (AttemptEnd.NOT_SENT, AttemptEnd.NO_PERMIT):
            if not self.may_connect:
                return False
            if not self.possible_runs:
                return True
        if self.possible_runs and not may_repeat:
            return False
        return self.may_send_again() and self.take_retry_token(end)

    def may_send_again(self) -> bool:
        """Return whether counts, the prompt and the time allow another attempt."""
        if self._guard.is_suspicious or self._guard.find_block() is not None:
            return False
        if self.sends >= MAX_SENDS or self.possible_runs >= self._most_runs:
            return False
        return self._time.end - self._clock.elapsed() >= RETRY_RESERVE
