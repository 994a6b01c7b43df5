"""Groups of servers of the same models or service, and their joint statistics."""

import math
import random
from collections.abc import Sequence

from lavendershift.concurrency import PrefillRate
from lavendershift.ejection import OutlierDetector
from lavendershift.hashing import rank_by_hash
from lavendershift.nodes import ServerSettings

SERVICE_TIME_WEIGHT = 0.05  # weight of the newest observation in the moving average
# Share of the servers of a model, rounded up, on which batch requests are
# concentrated.
BATCH_SERVER_SHARE = 0.16
INITIAL_SERVICE_S = 2.0  # assumed time in flight, in s, before the first observation


class ServerGroup:
    """Servers of the same models or service, which are compared with each other."""

    def __init__(self, rng: random.Random) -> None:
        self.outliers = OutlierDetector(rng)
        self.prefill = PrefillRate()
        self._service_s: dict[str, float] = {}

    def find_mean_service_s(self, priority: str) -> float:
        """Return the mean time in flight, in s, of a priority's completed requests."""
        return self._service_s.get(priority, INITIAL_SERVICE_S)

    def observe_service_time(self, priority: str, seconds: float) -> None:
        """Update the mean with the time in flight of a completed request."""
        mean = self.find_mean_service_s(priority)
        self._service_s[priority] = mean + SERVICE_TIME_WEIGHT * (seconds - mean)


def choose_batch_servers(names: Sequence[str]) -> set[str]:
    """Return the servers on which batch requests are concentrated.

    The choice by hash is the same on all routers that know the same servers.
    """
    count = math.ceil(len(names) * BATCH_SERVER_SHARE)
    return set(rank_by_hash(names, "batch")[:count])


def serves(settings: ServerSettings, model: str, service: str) -> bool:
    """Return whether a server serves ``service``, or ``model`` if it is empty."""
    if service:
        return settings.kind == "service" and settings.service == service
    return settings.kind == "engine" and model in settings.models
