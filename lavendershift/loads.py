"""How busy a server is, from one's own requests and from lagging reports.

Own requests in flight are known exactly. Those of other routers are what the
last report counted beyond one's own at its time; as the report ages, the
estimate decays towards the mean over all servers, which no server stands out
from. Servers that never report, as plain services, or no longer do, count one's
own requests only; the adaptive limit then guards them.
"""

import math
from collections import deque
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock

REPORT_DECAY = timedelta(seconds=1)
REPORT_EXPIRY = timedelta(seconds=15)
HISTORY_LENGTH = 512  # changes of one's own count that are remembered


class LoadReport(NamedTuple):
    """What a server said of itself, ``age`` before now.

    ``running`` and ``waiting`` count requests of all routers. ``models`` are
    those loaded, ``None`` where the server does not tell.
    """

    running: int
    waiting: int
    age: timedelta = timedelta()
    kv_used: float = 0.0
    adapters: tuple[str, ...] = ()
    models: tuple[str, ...] | None = None


class LoadEstimate:
    """The requests in flight on one server."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._history: deque[tuple[timedelta, int]] = deque(maxlen=HISTORY_LENGTH)
        self._reported_at = timedelta()
        self.in_flight = 0
        self.pending_tokens = 0
        self._others: float | None = None

    def count(self, change: int) -> None:
        """Add ``change`` to one's own requests in flight."""
        self.in_flight += change
        self._history.append((self._clock.elapsed(), self.in_flight))

    def record(self, report: LoadReport) -> None:
        """Take over a report, unless a newer one is known."""
        time = self._clock.elapsed() - max(report.age, timedelta())
        if self._others is not None and time < self._reported_at:
            return
        total = report.running + report.waiting
        self._others = max(float(total - self._find_own(time)), 0.0)
        self._reported_at = time

    def _find_own(self, time: timedelta) -> int:
        own = 0
        for changed, count in self._history:
            if changed > time:
                break
            own = count
        return own

    def find_others(self) -> float | None:
        """Return what the last report counted beyond one's own requests.

        It is ``None`` without a report within ``REPORT_EXPIRY``.
        """
        if self._clock.elapsed() - self._reported_at > REPORT_EXPIRY:
            return None
        return self._others

    def estimate(self, mean_others: float) -> float:
        """Return own requests plus the estimate of everybody else's."""
        others = self.find_others()
        if others is None:
            return self.in_flight + mean_others
        age = self._clock.elapsed() - self._reported_at
        trust = math.exp(-(age / REPORT_DECAY))
        return self.in_flight + mean_others + (others - mean_others) * trust
