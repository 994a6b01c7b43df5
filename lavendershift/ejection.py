"""Outlier ejection: which servers are left alone for a while, and for how long.

A server is ejected after consecutive failures or when its first tokens are far
slower than its peers'. At most a given share of the servers is ejected at any
time, so that a fault of everything at once does not take away everything. An
ejected server comes back by probing: first one request at a time, then twice
as many after each success. Each ejection after a failed probe lasts twice as
long as the one before it.
"""

import random
import statistics
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

MAX_FAILURES = 3  # in a row
MAX_EJECTED_SHARE = 0.34
FIRST_EJECTION = timedelta(seconds=1)
LONGEST_EJECTION = timedelta(seconds=60)
PROBE_LIMITS = 6  # doublings of the probe limit before a server is trusted
SLOW_FACTOR = 3.0  # times the peers' median
MIN_SAMPLES = 8
SLOWNESS_WEIGHT = 0.2  # of the newest observation
JITTER = 0.2  # of an ejection's length


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
    """A decision to send nothing to ``server`` for ``length``."""

    server: str
    cause: EjectionCause
    length: timedelta


class _Health:
    """What is known of one server's failures and speed."""

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected_until: timedelta | None = None
        self.probe_successes: int | None = None
        self.samples = 0
        self.slowness = 1.0


class OutlierDetector:
    """Failure and latency record of the servers of a pool."""

    def __init__(
        self, rng: random.Random, max_ejected_share: float = MAX_EJECTED_SHARE
    ) -> None:
        self._rng = rng
        self._max_ejected_share = max_ejected_share
        self._servers: dict[str, _Health] = {}

    def update_servers(self, names: set[str]) -> None:
        """Keep a record for exactly the servers ``names``."""
        for name in self._servers.keys() - names:
            del self._servers[name]
        for name in names - self._servers.keys():
            self._servers[name] = _Health()

    def forget(self, server: str) -> None:
        """Start the record of ``server`` anew, as it was started again."""
        self._servers[server] = _Health()

    def is_ejected(self, server: str, now: timedelta) -> bool:
        """Tell whether ``server`` gets no requests at ``now``."""
        until = self._servers[server].ejected_until
        return until is not None and now < until

    def find_probe_limit(self, server: str) -> int | None:
        """Return the requests a recovering server may have, ``None`` for any."""
        successes = self._servers[server].probe_successes
        return None if successes is None else int(2**successes)

    def find_slowness(self, server: str) -> float:
        """Return the mean ratio of first tokens to their unloaded estimate."""
        return self._servers[server].slowness

    def record_success(self, server: str) -> None:
        """Note a request that ended well."""
        health = self._servers.get(server)
        if health is None:
            return
        health.failures = 0
        if health.probe_successes is None:
            return
        health.probe_successes += 1
        if health.probe_successes >= PROBE_LIMITS:
            health.probe_successes = None
            health.ejections = 0

    def record_failure(self, server: str, now: timedelta) -> Ejection | None:
        """Note a failed request; returns the ejection it causes, if any."""
        health = self._servers.get(server)
        if health is None or self.is_ejected(server, now):
            return None
        health.failures += 1
        if health.probe_successes is not None:
            return self._eject(server, EjectionCause.PROBE_FAILED, now)
        if health.failures < MAX_FAILURES:
            return None
        return self._eject(server, EjectionCause.FAILURES, now)

    def record_slowness(
        self, server: str, ratio: float, now: timedelta
    ) -> Ejection | None:
        """Note a first token's ratio to its estimate; may eject an outlier."""
        health = self._servers.get(server)
        if health is None or self.is_ejected(server, now):
            return None
        health.samples += 1
        health.slowness += SLOWNESS_WEIGHT * (ratio - health.slowness)
        peers = [
            other.slowness
            for name, other in self._servers.items()
            if name != server and other.samples >= MIN_SAMPLES
        ]
        if len(peers) < 2:
            return None
        bound = SLOW_FACTOR * max(statistics.median(peers), 1.0)
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
        length = min(FIRST_EJECTION * 2**health.ejections, LONGEST_EJECTION)
        length *= self._rng.uniform(1 - JITTER, 1 + JITTER)
        health.ejections = min(health.ejections + 1, 16)
        health.ejected_until = now + length
        health.failures = 0
        health.probe_successes = 0
        health.samples = 0
        health.slowness = 1.0
        return Ejection(server, cause, length)
