"""Exponentially weighted estimates of token usage and other rates.

``RateEstimator`` averages the usage of a budget over a recent window, with
exponentially decaying weights. It corrects for a short history, so that the
estimate is usable from the first request on::

    rates = RateEstimator(timedelta(minutes=10))
    rates.add(500, now)
    tokens_per_s = rates.estimate(now)
"""

import math
from datetime import timedelta

MIN_HISTORY_S = 30.0  # least history, in seconds, that the correction assumes


class RateEstimator:
    """Estimate of tokens per second, averaged over about ``window``."""

    def __init__(self, window: timedelta) -> None:
        self._window_s = window.total_seconds()
        self._level = 0.0
        self._first_s: float | None = None
        self._last_s = 0.0

    def add(self, tokens: int, now: timedelta) -> None:
        """Add ``tokens`` used at ``now``, an elapsed time of any origin."""
        now_s = now.total_seconds()
        if self._first_s is None:
            self._first_s = self._last_s = now_s
        self._decay(now_s)
        self._level += tokens / self._window_s

    def estimate(self, now: timedelta) -> float:
        """Return the rate in tokens per second as of ``now``."""
        if self._first_s is None:
            return 0.0
        now_s = now.total_seconds()
        self._decay(now_s)
        history_s = max(now_s - self._first_s, MIN_HISTORY_S)
        return self._level / (1.0 - math.exp(-history_s / self._window_s))

    def _decay(self, now_s: float) -> None:
        if now_s > self._last_s:
            self._level *= math.exp((self._last_s - now_s) / self._window_s)
            self._last_s = now_s


class DecayingRate:
    """Estimate of units per second whose weights decay to 1/e over ``window``.

    Unlike ``RateEstimator`` it does not correct for a short history::

        arrivals = DecayingRate(timedelta(seconds=5))
        arrivals.add(1, clock.elapsed())
    """

    def __init__(self, window: timedelta) -> None:
        self._window = window
        self._rate = 0.0
        self._at = timedelta()

    def add(self, units: float, now: timedelta) -> None:
        """Add ``units`` counted at ``now``."""
        self._rate = self.measure(now) + units / self._window.total_seconds()
        self._at = now

    def measure(self, now: timedelta) -> float:
        """Return the rate as of ``now``."""
        return self._rate * math.exp(-((now - self._at) / self._window))
