"""Servers that serve the same model or service, and what is learned of them."""

import math
import random
from collections.abc import Sequence

from lavendershift.concurrency import PrefillRate
from lavendershift.ejection import OutlierDetector
from lavendershift.hashing import rank_by_hash
from lavendershift.nodes import ServerSettings

SERVICE_TIME_WEIGHT = 0.05  # of the newest observation
BATCH_SERVERS = 0.16  # of the servers that serve the same, rounded up
INITIAL_SERVICE_S = 2.0  # time in flight before the first observation


class ServerGroup:
    """Servers that serve the same, which are compared with each other."""

    def __init__(self, rng: random.Random) -> None:
        self.outliers = OutlierDetector(rng)
        self.prefill = PrefillRate()
        self._service_s: dict[str, float] = {}

    def find_service_s(self, priority: str) -> float:
        """Return the mean time in flight of completed requests of a class."""
        return self._service_s.get(priority, INITIAL_SERVICE_S)

    def observe_service(self, priority: str, seconds: float) -> None:
        """Note the time that a completed request was in flight."""
        mean = self.find_service_s(priority)
        self._service_s[priority] = mean + SERVICE_TIME_WEIGHT * (seconds - mean)


def choose_batch_servers(names: Sequence[str]) -> set[str]:
    """Return the servers that batch requests are gathered on.

    The choice by hash is the same on all routers that see the same servers.
    """
    count = math.ceil(len(names) * BATCH_SERVERS)
    return set(rank_by_hash(names, "batch")[:count])


def serves(settings: ServerSettings, model: str, service: str) -> bool:
    """Tell whether a server serves ``model``, or ``service`` where it is given."""
    if service:
        return settings.kind == "service" and settings.service == service
    return settings.kind == "engine" and model in settings.models
