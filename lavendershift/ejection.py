"""Outlier ejection of servers that fail or are slow.

A server is ejected after consecutive failures, or when the latency of its first tokens
is far above that of its peers. At most a given share of the servers is ejected at any
time, so that a fault common to all of them doesn't eject all. An ejected server is
readmitted by probing: first one request at a time, then twice as many after each
success. Each ejection after a failed probe lasts twice as long as the previous one.
"""

import random
import statistics
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

MAX_FAILURES = 3  # consecutive failures after which a server is ejected
MAX_EJECTED_SHARE = 0.34
INITIAL_EJECTION = timedelta(seconds=1)
MAX_EJECTION = timedelta(seconds=60)
PROBE_DOUBLINGS = 6  # doublings of the probe limit before it is lifted
SLOW_FACTOR = 3.0  # slowness of an outlier, as a multiple of the peers' median
# Largest ratio that one sample counts with, as a multiple of an outlier's slowness. It
# takes three of them to make an outlier of a server that was as fast as its peers.
MAX_SAMPLE_FACTOR = 2.0
MIN_SAMPLES = 8
SLOWNESS_WEIGHT = 0.2  # weight of the newest sample in the moving average
JITTER = 0.2  # random change of an ejection's length, as a share of it


class EjectionCause(Enum):
    """Why a server was ejected."""

    FAILURES = "failures"
    LATENCY = "latency"
    PROBE_FAILED = "probe_failed"

    @property
    def counter(self) -> str:
        """Name of the counter of ejections for this cause."""
        return f"ejected.{self.value}"


class Ejection(NamedTuple):
    """The ejection of ``server`` for the time ``length``."""

    server: str
    cause: EjectionCause
    length: timedelta


class _Silences:
    """Counts requests that met the same silence of a server as one."""

    def __init__(self) -> None:
        self._last_at: timedelta | None = None

    def add(self, started: timedelta | None, now: timedelta) -> bool:
        """Return whether a request counts: it began after the last one that counted.

        A request whose start is unknown always counts.
        """
        if started is None:
            return True
        if self._last_at is not None and started < self._last_at:
            return False
        self._last_at = now
        return True


class _Health:
    """Failure and latency statistics of one server."""

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected_until: timedelta | None = None
        self.probe_successes: int | None = None
        self.samples = 0
        self.slowness = 1.0
        self.slow_requests = _Silences()
        self.timeouts = _Silences()


class OutlierDetector:
    """Detects outliers among the servers of a pool by failures and latency."""

    def __init__(
        self, rng: random.Random, max_ejected_share: float = MAX_EJECTED_SHARE
    ) -> None:
        self._rng = rng
        self._max_ejected_share = max_ejected_share
        self._servers: dict[str, _Health] = {}

    def update_servers(self, names: set[str]) -> None:
        """Set the servers of the pool; those that stay keep their statistics."""
        for name in self._servers.keys() - names:
            del self._servers[name]
        for name in names - self._servers.keys():
            self._servers[name] = _Health()

    def reset(self, server: str) -> None:
        """Reset the statistics of ``server`` after it was restarted."""
        self._servers[server] = _Health()

    def is_ejected(self, server: str, now: timedelta) -> bool:
        """Return whether ``server`` is ejected at ``now``."""
        until = self._servers[server].ejected_until
        return until is not None and now < until

    def find_probe_limit(self, server: str) -> int | None:
        """Return the request limit of a recovering server, or ``None``."""
        successes = self._servers[server].probe_successes
        return None if successes is None else int(2**successes)

    def find_slowness(self, server: str) -> float:
        """Return the mean ratio of first-token latency to its unloaded estimate."""
        return self._servers[server].slowness

    def record_success(self, server: str) -> None:
        """Record a successful request."""
        health = self._servers.get(server)
        if health is None:
            return
        health.failures = 0
        if health.probe_successes is None:
            return
        health.probe_successes += 1
        if health.probe_successes >= PROBE_DOUBLINGS:
            health.probe_successes = None
            health.ejections = 0

    def record_failure(
        self, server: str, now: timedelta, started: timedelta | None = None
    ) -> Ejection | None:
        """Record a failed request; return the ejection it causes, if any.

        Of failed requests that overlap only the first one counts, if ``started``, the
        start of the request, is given.
        """
        health = self._servers.get(server)
        if health is None or self.is_ejected(server, now):
            return None
        if not health.timeouts.add(started, now):
            return None
        health.failures += 1
        if health.probe_successes is not None:
            return self._eject(server, EjectionCause.PROBE_FAILED, now)
        if health.failures < MAX_FAILURES:
            return None
        return self._eject(server, EjectionCause.FAILURES, now)

    def record_slowness(
        self,
        server: str,
        ratio: float,
        now: timedelta,
        started: timedelta | None = None,
    ) -> Ejection | None:
        """Record the ratio of a first-token latency to its estimate.

        A sound server may be silent for a second or so, which makes all requests slow
        that it has then. Of slow requests that overlap only the first one counts, if
        ``started``, the start of the request, is given. Returns the ejection that the
        ratio causes, if any.
        """
        health = self._servers.get(server)
        if health is None or self.is_ejected(server, now):
            return None
        peers = [
            other.slowness
            for name, other in self._servers.items()
            if name != server and other.samples >= MIN_SAMPLES
        ]
        bound = SLOW_FACTOR * max(statistics.median(peers or [1.0]), 1.0)
        if ratio >= bound and not health.slow_requests.add(started, now):
            return None
        health.samples += 1
        counted = min(ratio, MAX_SAMPLE_FACTOR * bound)
        health.slowness += SLOWNESS_WEIGHT * (counted - health.slowness)
        if len(peers) < 2:
            return None
        if health.probe_successes is not None and ratio >= bound:
            return self._eject(server, EjectionCause.PROBE_FAILED, now)
        if health.samples < MIN_SAMPLES or health.slowness < bound:
            return None
        return self._eject(server, EjectionCause.LATENCY, now)

    def _eject(
        self, server: str, cause: EjectionCause, now: timedelta
    ) -> Ejection | None:
        others = sum(
            self.is_ejected(name, now) for name in self._servers if name != server
        )
        if others + 1 > self._max_ejected_share * len(self._servers):
            return None
        health = self._servers[server]
        length = min(INITIAL_EJECTION * 2**health.ejections, MAX_EJECTION)
        length *= self._rng.uniform(1 - JITTER, 1 + JITTER)
        health.ejections = min(health.ejections + 1, 16)
        health.ejected_until = now + length
        health.failures = 0
        health.probe_successes = 0
        health.samples = 0
        health.slowness = 1.0
        return Ejection(server, cause, length)
