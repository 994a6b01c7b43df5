"""Adaptive limits on the requests one router keeps in flight on a server.

The time to first token grows as soon as requests queue inside the server.
``ConcurrencyLimit`` raises the limit additively while the times to first token
are close to those of an idle server, and lowers it multiplicatively otherwise.
``PrefillRate`` learns the time to first token of an idle server.
"""

import math
from datetime import timedelta

BASE_TOKENS = 128  # fixed cost of a first token, in prompt tokens
INITIAL_TOKEN_S = 0.0004  # prefill time per token before the first observation
RATE_QUANTILE = 0.2  # quantile tracked; a low one excludes queueing at busy servers
RATE_STEP = 0.05  # step of the logarithm of the prefill time per observation

MIN_LIMIT = 2.0
DECREASE = 0.9
INCREASE = 1.0  # increase of the limit per ``limit`` fast first tokens
SLOW_RATIO = 2.0  # ratio to the unloaded time above which a first token is slow
SLOW_MARGIN = timedelta(milliseconds=250)  # jitter that never counts as slow
DECREASE_INTERVAL = timedelta(milliseconds=500)


class PrefillRate:
    """Prefill time per token on an unloaded server, learned from first tokens.

    It tracks a low quantile of the observed times, so that queueing at busy
    servers does not count as slow prefill.
    """

    def __init__(self, token_s: float = INITIAL_TOKEN_S) -> None:
        self._log_token_s = math.log(token_s)

    @property
    def token_s(self) -> float:
        """Seconds of prefill per token."""
        return math.exp(self._log_token_s)

    def estimate_first_token(self, tokens: int) -> timedelta:
        """Return the unloaded time to first token for ``tokens`` uncached tokens."""
        return timedelta(seconds=self.token_s * (tokens + BASE_TOKENS))

    def observe(self, tokens: int, first_token: timedelta) -> None:
        """Record the time to first token of ``tokens`` uncached prompt tokens."""
        seconds = max(first_token.total_seconds(), 1e-6)
        sample = math.log(seconds / (tokens + BASE_TOKENS))
        if sample < self._log_token_s:
            self._log_token_s -= RATE_STEP * (1 - RATE_QUANTILE)
        else:
            self._log_token_s += RATE_STEP * RATE_QUANTILE


class ConcurrencyLimit:
    """Additive-increase, multiplicative-decrease limit within a capacity."""

    def __init__(self, capacity: int) -> None:
        self._capacity = float(capacity)
        self._limit = self._clamp(capacity)
        self._decreased_at: timedelta | None = None

    @property
    def limit(self) -> int:
        """Maximum number of requests in flight."""
        return int(self._limit)

    def set_capacity(self, capacity: int) -> None:
        """Change the configured capacity, which the limit never exceeds."""
        self._capacity = float(capacity)
        self._limit = self._clamp(self._limit)

    def observe(
        self,
        first_token: timedelta,
        unloaded: timedelta,
        in_flight: int,
        now: timedelta,
    ) -> None:
        """Adapt the limit to a time to first token and its unloaded estimate.

        The limit is lowered at most once per ``DECREASE_INTERVAL``, and raised
        only when at least half of it is in use.
        """
        if first_token > unloaded * SLOW_RATIO + SLOW_MARGIN:
            self.decrease(now)
        elif in_flight * 2 >= self._limit:
            self._limit = self._clamp(self._limit + INCREASE / self._limit)

    def decrease(self, now: timedelta) -> None:
        """Lower the limit of a server that is overloaded or refused a request."""
        last = self._decreased_at
        if last is not None and now - last < DECREASE_INTERVAL:
            return
        self._decreased_at = now
        self._limit = self._clamp(self._limit * DECREASE)

    def _clamp(self, limit: float) -> float:
        return min(max(limit, MIN_LIMIT), max(self._capacity, 1.0))
