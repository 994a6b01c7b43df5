"""Routing policy ``least_in_flight``: fewest requests of this router in flight."""

import random
from collections.abc import Sequence

from lavendershift.candidates import Candidate
from lavendershift.routing import RouteRequest, register_routing_policy


@register_routing_policy("least_in_flight")
class LeastInFlightPolicy:
    """Picks a server by this router's requests in flight, ignoring other routers."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        request: RouteRequest,
        candidates: Sequence[Candidate],
    ) -> Candidate:
        """Return a candidate with the fewest in flight, at random among equals."""
        fewest = min(c.in_flight for c in candidates)
        return self._rng.choice([c for c in candidates if c.in_flight == fewest])
