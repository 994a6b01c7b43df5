"""Routing policy ``round_robin``: each server in turn, regardless of load."""

import random
from collections.abc import Sequence

from lavendershift.candidates import Candidate
from lavendershift.routing import RouteRequest, register_routing_policy


@register_routing_policy("round_robin")
class RoundRobinPolicy:
    """Picks the servers in the order of their names."""

    def __init__(self, rng: random.Random) -> None:
        self._last = ""

    def choose(
        self,
        request: RouteRequest,
        candidates: Sequence[Candidate],
    ) -> Candidate:
        """Return the candidate whose name follows that of the last choice."""
        ordered = sorted(candidates)
        chosen = next((c for c in ordered if c.name > self._last), ordered[0])
        self._last = chosen.name
        return chosen
