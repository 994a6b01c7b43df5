"""Whether a failed attempt is repeated on another server.

A retry needs three things: that the request may be repeated or provably did
not run, that the deadline leaves time for it, and a token of the retry budget.
The budget grows by a share of the successes, so that retries stay a bounded
part of the traffic when everything fails at once::

    decision = retries.decide(outcome)
    if isinstance(decision, Retry):
        ...

Where it is not repeated, ``GiveUp`` names the error kind, chosen so that "not
run" is only said when no attempt can have run.
"""

import random
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.errors import ErrorKind, Ran

SUCCESS_SHARE = 0.1  # retries a success pays for
BURST = 10.0  # retries that are paid for at the start, and the most that is saved
MAX_ATTEMPTS = 3
FIRST_DELAY = timedelta(milliseconds=20)
LONGEST_DELAY = timedelta(milliseconds=500)


class RetryReason(Enum):
    """Why an attempt is repeated."""

    CONNECT_FAILED = "connect_failed"
    REFUSED = "refused"
    FAILED = "failed"
    TIMEOUT = "timeout"
    TRUNCATED = "truncated"

    @property
    def counter(self) -> str:
        """Name of the counter of retries for this reason."""
        return f"retried.{self.value}"


class AttemptOutcome(NamedTuple):
    """How an attempt failed.

    ``ran`` is about this attempt and ``earlier_ran`` about those before it.
    ``attempts`` counts all so far, ``deadline`` is on the scale of
    ``Clock.elapsed``. ``answer_started`` is set once the caller was sent a
    byte of the answer, ``servers_left`` while an untried server is available.
    """

    reason: RetryReason
    ran: Ran
    repeatable: bool
    attempts: int
    earlier_ran: Ran = Ran.NO
    answer_started: bool = False
    servers_left: bool = True
    deadline: timedelta | None = None


class Retry(NamedTuple):
    """Try another server after ``delay``."""

    delay: timedelta
    reason: RetryReason


class GiveUp(NamedTuple):
    """Answer the caller with ``kind``."""

    kind: ErrorKind


class RetryBudget:
    """Tokens for retries: a share of the successes, and a burst to start with.

    Over any run, retries are at most ``burst + share * successes``.
    """

    def __init__(self, share: float = SUCCESS_SHARE, burst: float = BURST) -> None:
        self._share = share
        self._burst = burst
        self._tokens = burst

    def set_burst(self, burst: float) -> None:
        """Change the most that is saved, as when the fleet's size changes.

        What is saved stays the same part of it, so that changes back and forth
        make no tokens.
        """
        self._tokens *= burst / self._burst if self._burst > 0 else 0.0
        self._burst = burst

    def record_success(self) -> None:
        """Add a success's share."""
        self._tokens = min(self._tokens + self._share, self._burst)

    def spend(self) -> bool:
        """Take the token of one retry; ``False`` when there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Retries:
    """Decides on retries for all requests of one router."""

    def __init__(
        self, clock: Clock, rng: random.Random, budget: RetryBudget | None = None
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._budget = RetryBudget() if budget is None else budget

    def record_success(self) -> None:
        """Note a request that was answered."""
        self._budget.record_success()

    def decide(self, outcome: AttemptOutcome) -> Retry | GiveUp:
        """Return what to do after a failed attempt."""
        if not may_repeat(outcome):
            return GiveUp(choose_error(outcome))
        delay = self._choose_delay(outcome.attempts)
        deadline = outcome.deadline
        if deadline is not None and self._clock.elapsed() + delay >= deadline:
            return GiveUp(choose_deadline_error(outcome))
        if not self._budget.spend():
            return GiveUp(choose_error(outcome))
        return Retry(delay, outcome.reason)

    def _choose_delay(self, attempts: int) -> timedelta:
        longest = min(FIRST_DELAY * 2 ** (attempts - 1), LONGEST_DELAY)
        return longest * self._rng.random()


def may_repeat(outcome: AttemptOutcome) -> bool:
    """Tell whether another attempt could be made, budget and time apart."""
    if outcome.answer_started or not outcome.servers_left:
        return False
    if outcome.attempts >= MAX_ATTEMPTS:
        return False
    return outcome.repeatable or find_ran(outcome) is Ran.NO


def find_ran(outcome: AttemptOutcome) -> Ran:
    """Return whether the request ran in any attempt so far."""
    both = {outcome.ran, outcome.earlier_ran}
    for ran in (Ran.YES, Ran.UNKNOWN):
        if ran in both:
            return ran
    return Ran.NO


def choose_error(outcome: AttemptOutcome) -> ErrorKind:
    """Return the truthful error kind of a request that is given up."""
    if outcome.answer_started:
        return ErrorKind.ANSWER_TRUNCATED
    if find_ran(outcome) is Ran.NO:
        if outcome.reason is RetryReason.REFUSED:
            return ErrorKind.SERVER_REFUSED
        return ErrorKind.NO_SERVER
    if not outcome.repeatable:
        return ErrorKind.OUTCOME_UNKNOWN
    return ErrorKind.SERVER_FAILED


def choose_deadline_error(outcome: AttemptOutcome) -> ErrorKind:
    """Return the error kind of a request that has no time left for a retry."""
    if find_ran(outcome) is Ran.NO:
        return ErrorKind.DEADLINE_UNREACHABLE
    if not outcome.repeatable:
        return ErrorKind.OUTCOME_UNKNOWN
    return ErrorKind.DEADLINE_EXCEEDED
