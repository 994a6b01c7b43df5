"""Adaptive limits on the requests one router keeps in flight on a server.

The prompt's time to first token grows as soon as requests wait inside the
server. ``ConcurrencyLimit`` raises the limit additively while first tokens
come about as fast as on an idle server, and lowers it multiplicatively when
they do not. ``PrefillRate`` learns what "as fast as on an idle server" is.
"""

import math
from datetime import timedelta

BASE_TOKENS = 128  # fixed cost of a first token, expressed in prompt tokens
INITIAL_TOKEN_S = 0.0004  # prefill time a token before the first observation
RATE_QUANTILE = 0.2
RATE_STEP = 0.05  # of the logarithm, per observation

MIN_LIMIT = 2.0
DECREASE = 0.9
INCREASE = 1.0  # per limit's worth of fast first tokens
SLOW_RATIO = 2.0  # first token against the unloaded estimate
SLOW_MARGIN = timedelta(milliseconds=250)  # jitter that is never called slow
DECREASE_INTERVAL = timedelta(milliseconds=500)


class PrefillRate:
    """Prefill time a token on an unloaded server, learned from first tokens.

    It follows a low quantile of what is observed, so that queueing at busy
    servers does not count as slow prefill.
    """

    def __init__(self, token_s: float = INITIAL_TOKEN_S) -> None:
        self._log_token_s = math.log(token_s)

    @property
    def token_s(self) -> float:
        """Seconds of prefill a token."""
        return math.exp(self._log_token_s)

    def estimate_first_token(self, tokens: int) -> timedelta:
        """Return the time to first token of ``tokens`` uncached tokens."""
        return timedelta(seconds=self.token_s * (tokens + BASE_TOKENS))

    def observe(self, tokens: int, first_token: timedelta) -> None:
        """Note that ``tokens`` uncached tokens took until ``first_token``."""
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
        """Requests that may be in flight at once."""
        return int(self._limit)

    def set_capacity(self, capacity: int) -> None:
        """Change the stated capacity, which the limit never exceeds."""
        self._capacity = float(capacity)
        self._limit = self._clamp(self._limit)

    def observe(
        self,
        first_token: timedelta,
        unloaded: timedelta,
        in_flight: int,
        now: timedelta,
    ) -> None:
        """Adapt to one time to first token and its unloaded estimate.

        The limit is lowered at most once per ``DECREASE_INTERVAL``, and raised
        only when at least half of it is in use.
        """
        if first_token > unloaded * SLOW_RATIO + SLOW_MARGIN:
            self.decrease(now)
        elif in_flight * 2 >= self._limit:
            self._limit = self._clamp(self._limit + INCREASE / self._limit)

    def decrease(self, now: timedelta) -> None:
        """Lower the limit, as the server is overloaded or refused a request."""
        last = self._decreased_at
        if last is not None and now - last < DECREASE_INTERVAL:
            return
        self._decreased_at = now
        self._limit = self._clamp(self._limit * DECREASE)

    def _clamp(self, limit: float) -> float:
        return min(max(limit, MIN_LIMIT), max(self._capacity, 1.0))
