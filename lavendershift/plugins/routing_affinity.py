"""Routing policy ``affinity``: weighs prefix cache affinity against load.

The cost of a candidate is its expected time to first token: the prefill of the
uncached tokens after the prefill in progress, given the server's load and
slowness. A server with the prefix in its cache is chosen as long as queueing
there costs less than the prefill that the cache saves. Beyond that the request
spills over to another server.

If no server is known to have the next block of the prompt in its cache, the
rendezvous hash of that block determines an affinity server, which gets a
discount. Routers thereby send the turns of a conversation to the same server
without knowing of each other's requests. Ties go to servers in the router's own
failure domain.

Batch requests go to the servers that batch load is concentrated on, up to the
load limit that routing sets for them. Interactive requests avoid these servers
if that costs little, so that most servers keep short decoding steps and their
caches for interactive requests.
"""

import random
from collections.abc import Sequence

import xxhash

from lavendershift.candidates import Candidate
from lavendershift.prefixes import BLOCK_TOKENS
from lavendershift.routing import RouteRequest, register_routing_policy

LOAD_TOKENS = 16  # cost of each request in flight, in prefill tokens
FULL_TOKENS = 1024  # additional cost of a server at capacity, in prefill tokens
BATCH_SERVER_TOKENS = 512  # cost of sharing a server with batch load, in prefill tokens
ADAPTER_TOKENS = 4096  # cost of loading an adapter, in prefill tokens
AFFINITY_TOKENS = 256  # discount of the affinity server, in prefill tokens
TIE_TOKENS = 32  # largest difference in cost of a tie, in prefill tokens
SLOWNESS_MARGIN = 2.0  # largest ratio of times to first token that adds no cost


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
        """Return the candidate of least cost; the own failure domain wins ties."""
        if request.priority == "batch":
            return min(candidates, key=lambda c: (not c.takes_batch, c.load))
        affinity_server = find_affinity_server(request, candidates)
        costs = [
            (
                estimate_cost(request, c)
                - AFFINITY_TOKENS * (c.name == affinity_server),
                c,
            )
            for c in candidates
        ]
        least = min(cost for cost, _ in costs)
        ties = [c for cost, c in costs if cost <= least + TIE_TOKENS]
        same_domain = [c for c in ties if c.same_domain]
        return self._rng.choice(same_domain or ties)


def hash_pair(server: str, key: str) -> int:
    """Return the rendezvous hash of a server for a key."""
    return xxhash.xxh3_64_intdigest(f"{server}\n{key}".encode())


def find_affinity_server(request: RouteRequest, candidates: Sequence[Candidate]) -> str:
    """Return the affinity server of the first block that no server has cached.

    The name is empty if one server has cached more blocks than all others, if
    the complete prefix is cached, or if the request has no prefix.
    """
    cached_tokens = [c.cached_tokens for c in candidates]
    block = max(cached_tokens) // BLOCK_TOKENS
    if block >= len(request.prefix) or cached_tokens.count(max(cached_tokens)) == 1:
        return ""
    key = request.prefix[block]
    return min(candidates, key=lambda c: hash_pair(c.name, key)).name


def estimate_cost(request: RouteRequest, candidate: Candidate) -> float:
    """Return the expected time to first token, in unloaded prefill tokens."""
    uncached = max(request.prompt_tokens - candidate.cached_tokens, 0)
    work = candidate.pending_tokens + uncached + estimate_load_cost(candidate)
    if candidate.takes_batch:
        work += BATCH_SERVER_TOKENS
    if not candidate.has_adapter:
        work += ADAPTER_TOKENS
    return work * max(candidate.slowness / SLOWNESS_MARGIN, 1.0)


def estimate_load_cost(candidate: Candidate) -> float:
    """Return the cost of the requests in flight, in unloaded prefill tokens."""
    share = candidate.load / max(candidate.capacity, 1)
    return candidate.load * LOAD_TOKENS + FULL_TOKENS * share * share
