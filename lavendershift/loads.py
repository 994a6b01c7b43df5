"""Estimate of a server's load from this router's requests and load reports.

This router's requests in flight are known exactly. Those of other routers are
the requests in the server's last report minus this router's own at the time of
the report. As the report ages, the estimate decays towards the mean over all
servers, so that an old report no longer sets a server apart. A server without a
recent report, such as a plain service, is estimated from this router's requests
and that mean only; the adaptive concurrency limit protects it from overload.
"""

import math
from collections import deque
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock

REPORT_DECAY = timedelta(seconds=1)
REPORT_EXPIRY = timedelta(seconds=15)
HISTORY_LENGTH = 512  # changes of the router's requests in flight that are retained


class LoadReport(NamedTuple):
    """Load that a server reported ``age`` ago.

    ``running`` and ``waiting`` count the requests of all routers. ``models`` are
    the loaded models, ``None`` if the server does not report them.
    """

    running: int
    waiting: int
    age: timedelta = timedelta()
    kv_used: float = 0.0
    adapters: tuple[str, ...] = ()
    models: tuple[str, ...] | None = None


class LoadEstimate:
    """Estimate of the requests in flight on one server."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._history: deque[tuple[timedelta, int]] = deque(maxlen=HISTORY_LENGTH)
        self._reported_at = timedelta()
        self.in_flight = 0
        self.pending_tokens = 0
        self._other_load: float | None = None

    def count(self, change: int) -> None:
        """Add ``change`` to this router's requests in flight."""
        self.in_flight += change
        self._history.append((self._clock.elapsed(), self.in_flight))

    def record(self, report: LoadReport) -> None:
        """Record a report, unless a newer one is known."""
        time = self._clock.elapsed() - max(report.age, timedelta())
        if self._other_load is not None and time < self._reported_at:
            return
        total = report.running + report.waiting
        self._other_load = max(float(total - self._find_own_count(time)), 0.0)
        self._reported_at = time

    def _find_own_count(self, time: timedelta) -> int:
        own_count = 0
        for changed, count in self._history:
            if changed > time:
                break
            own_count = count
        return own_count

    def find_other_load(self) -> float | None:
        """Return the reported requests of other routers.

        Returns ``None`` if the last report is older than ``REPORT_EXPIRY``.
        """
        if self._clock.elapsed() - self._reported_at > REPORT_EXPIRY:
            return None
        return self._other_load

    def estimate(self, mean_other_load: float) -> float:
        """Return this router's requests plus an estimate of the other routers'."""
        other_load = self.find_other_load()
        if other_load is None:
            return self.in_flight + mean_other_load
        age = self._clock.elapsed() - self._reported_at
        weight = math.exp(-(age / REPORT_DECAY))
        return (
            self.in_flight + mean_other_load + (other_load - mean_other_load) * weight
        )
