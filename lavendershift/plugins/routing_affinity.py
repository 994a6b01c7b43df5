"""Routing policy ``affinity``: prefix cache affinity against load.

Each candidate is given the time to first token that is expected there: the
prefill of what is not cached, behind the prefill already under way, on a
server as busy and as slow as this one. A server that holds the prefix wins as
long as its queueing costs less than the prefill it saves; beyond that the
request spills to another. Servers of the router's own failure domain win ties.
"""

import random
from collections.abc import Sequence

from lavendershift.candidates import Candidate
from lavendershift.routing import RouteRequest, register_routing_policy

LOAD_TOKENS = 64  # prefill tokens that one request in flight costs
ADAPTER_TOKENS = 4096  # prefill tokens that loading an adapter costs
TIE_TOKENS = 32  # differences within this are ties


@register_routing_policy("affinity")
class AffinityPolicy:
    """Minimizes the expected time to first token."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self,
        request: RouteRequest,
        candidates: Sequence[Candidate],
    ) -> Candidate:
        """Return the candidate with the least cost, preferring one's own domain."""
        costs = [(estimate_cost(request, c), c) for c in candidates]
        least = min(cost for cost, _ in costs)
        ties = [c for cost, c in costs if cost <= least + TIE_TOKENS]
        near = [c for c in ties if c.same_domain]
        return self._rng.choice(near or ties)


def estimate_cost(request: RouteRequest, candidate: Candidate) -> float:
    """Return the time to first token, expressed in unloaded prefill tokens."""
    uncached = max(request.prompt_tokens - candidate.held_tokens, 0)
    work = candidate.pending_tokens + uncached + candidate.load * LOAD_TOKENS
    if not candidate.has_adapter:
        work += ADAPTER_TOKENS
    return work * max(candidate.slowness, 1.0)
