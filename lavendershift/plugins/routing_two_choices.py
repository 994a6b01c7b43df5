"""Routing policy ``two_choices``: the less loaded of two random servers."""

import random
from collections.abc import Sequence

from lavendershift.candidates import Candidate
from lavendershift.routing import RouteRequest, register_routing_policy


@register_routing_policy("two_choices")
class TwoChoicesPolicy:
    """Picks the server with the lower estimated load relative to its capacity."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        request: RouteRequest,
        candidates: Sequence[Candidate],
    ) -> Candidate:
        """Return the less loaded of two random candidates."""
        sampled = self._rng.sample(list(candidates), min(2, len(candidates)))
        return min(sampled, key=lambda c: c.load / max(c.capacity, 1))
