"""Retry policy: whether a failed attempt is retried on another server.

A retry has three conditions: the request is repeatable or provably did not run,
the deadline leaves time for the delay, and the retry budget has a token. The
budget is refilled by a share of the successes, so that retries remain a bounded
part of the traffic even if all attempts fail::

    decision = retries.decide(outcome)
    if isinstance(decision, Retry):
        ...

If the attempt is not retried, ``GiveUp`` carries the error kind. A kind that
states that the request did not run is only chosen if no attempt can have run.
"""

import random
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.errors import ErrorKind, Ran

SUCCESS_SHARE = 0.1  # tokens of the retry budget added by a success
BURST = 10.0  # tokens of the retry budget at the start, and its maximum
MAX_ATTEMPTS = 3
FIRST_DELAY = timedelta(milliseconds=20)
LONGEST_DELAY = timedelta(milliseconds=500)
# Timeout of a connection that no other server can replace. The kernel repeats a lost
# packet of the handshake after 1 s and after 3 s.
LAST_CONNECT_TIMEOUT = timedelta(milliseconds=3500)
# Time before the deadline in which the caller is told that its request did not run.
NOT_RUN_MARGIN = timedelta(milliseconds=100)


class RetryReason(Enum):
    """Reason for a retry."""

    CONNECT_FAILED = "connect_failed"
    REFUSED = "refused"
    FAILED = "failed"
    TIMEOUT = "timeout"
    TRUNCATED = "truncated"

    @property
    def counter(self) -> str:
        """Name of the metrics counter of retries for this reason."""
        return f"retried.{self.value}"


class AttemptOutcome(NamedTuple):
    """How an attempt failed.

    ``ran`` states whether this attempt ran, ``earlier_ran`` whether any before
    it did. ``attempts`` counts all attempts so far. ``deadline`` is a time of
    ``Clock.elapsed``. ``answer_started`` is set once a byte of the response was
    sent to the caller, ``servers_left`` if an untried server is available.
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
    """Retry on another server after ``delay``."""

    delay: timedelta
    reason: RetryReason


class GiveUp(NamedTuple):
    """Give the request up and answer the caller with the error ``kind``."""

    kind: ErrorKind


class RetryBudget:
    """Token bucket of retries, refilled by a share of the successes.

    From the start on, retries are at most ``burst + share * successes``. A bucket that
    holds less than one token, the part of one VM in a large fleet, is spent as a whole
    for a chance of that size at one retry, so that the sum over all VMs is kept on
    average. Needs ``rng`` for that; without it there are no such retries.
    """

    def __init__(
        self,
        share: float = SUCCESS_SHARE,
        burst: float = BURST,
        rng: random.Random | None = None,
    ) -> None:
        self._rng = rng
        self._share = share
        self._burst = burst
        self._tokens = burst

    def set_burst(self, burst: float) -> None:
        """Change the size of the bucket, as when the size of the fleet changes.

        The fill level stays the same in proportion, so that repeated changes
        create no tokens.
        """
        self._tokens *= burst / self._burst if self._burst > 0 else 0.0
        self._burst = burst

    def record_success(self) -> None:
        """Add the share of one success."""
        self._tokens = min(self._tokens + self._share, self._burst)

    @property
    def has_token(self) -> bool:
        """Whether a retry may be made."""
        return self._tokens >= 1

    def spend(self) -> bool:
        """Take the token of one retry; return ``False`` if there is none."""
        if self.has_token:
            self._tokens -= 1
            return True
        if self._rng is None or self._burst >= 1:
            return False
        chance, self._tokens = self._tokens, 0.0
        return self._rng.random() < chance


class Retries:
    """Retry policy for all requests of one router."""

    def __init__(
        self, clock: Clock, rng: random.Random, budget: RetryBudget | None = None
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._budget = RetryBudget() if budget is None else budget

    def record_success(self) -> None:
        """Record a successful request."""
        self._budget.record_success()

    def decide(self, outcome: AttemptOutcome) -> Retry | GiveUp:
        """Return whether to retry after a failed attempt."""
        if not may_repeat(outcome):
            return GiveUp(choose_error(outcome))
        delay = self._choose_delay(outcome.attempts)
        deadline = outcome.deadline
        if deadline is not None and self._clock.elapsed() + delay >= deadline:
            return GiveUp(choose_deadline_error(outcome))
        if not self._budget.spend():
            return GiveUp(choose_error(outcome))
        return Retry(delay, outcome.reason)

    def choose_connect_timeout(
        self,
        usual: timedelta,
        attempts: int,
        servers_left: bool,
        deadline: timedelta,
    ) -> timedelta:
        """Return how long an attempt may wait for its connection.

        That is ``usual`` if a retry can replace the attempt, and longer if it is the
        last one: a sound server may be silent for a second or so. ``attempts`` counts
        this one.
        """
        may_retry = servers_left and attempts < MAX_ATTEMPTS and self._budget.has_token
        longest = usual if may_retry else max(usual, LAST_CONNECT_TIMEOUT)
        left = deadline - self._clock.elapsed() - NOT_RUN_MARGIN
        return min(longest, max(left, NOT_RUN_MARGIN))

    def _choose_delay(self, attempts: int) -> timedelta:
        longest = min(FIRST_DELAY * 2 ** (attempts - 1), LONGEST_DELAY)
        return longest * self._rng.random()


def may_repeat(outcome: AttemptOutcome) -> bool:
    """Return whether a retry is allowed, regardless of retry budget and time."""
    if outcome.answer_started or not outcome.servers_left:
        return False
    if outcome.attempts >= MAX_ATTEMPTS:
        return False
    return outcome.repeatable or find_ran(outcome) is Ran.NO


def find_ran(outcome: AttemptOutcome) -> Ran:
    """Return whether the request ran in any of its attempts so far."""
    states = {outcome.ran, outcome.earlier_ran}
    for ran in (Ran.YES, Ran.UNKNOWN):
        if ran in states:
            return ran
    return Ran.NO


def choose_error(outcome: AttemptOutcome) -> ErrorKind:
    """Return the error kind of a request that is given up, by whether it ran."""
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
    """Return the error kind of a request without time left for a retry."""
    if find_ran(outcome) is Ran.NO:
        return ErrorKind.DEADLINE_UNREACHABLE
    if not outcome.repeatable:
        return ErrorKind.OUTCOME_UNKNOWN
    return ErrorKind.DEADLINE_EXCEEDED
