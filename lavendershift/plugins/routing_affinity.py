"""Routing policy ``affinity``: prefix cache affinity against load.

Each candidate is given the time to first token that is expected there: the
prefill of what is not cached, behind the prefill already under way, on a
server as busy and as slow as this one. A server that holds the prefix wins as
long as its queueing costs less than the prefill it saves; beyond that the
request spills to another.

Where no server is known to hold the next block of the prompt, one is preferred
by rendezvous hash of that block. Routers that know nothing of each other's
requests thereby send the turns of a conversation to the same server. Servers
of the router's own failure domain win ties.

Batch requests go to the servers they are gathered on, up to the room that
routing leaves them there, and interactive ones elsewhere while that costs
little, so that most servers keep short steps and their caches for these.
"""

import random
from collections.abc import Sequence

import xxhash

from lavendershift.candidates import Candidate
from lavendershift.prefixes import BLOCK_TOKENS
from lavendershift.routing import RouteRequest, register_routing_policy

LOAD_TOKENS = 16  # prefill tokens that each request in flight costs
FULL_TOKENS = 1024  # prefill tokens that a full server costs beyond that
GATHERED_TOKENS = 512  # prefill tokens that sharing a server with batch costs
ADAPTER_TOKENS = 4096  # prefill tokens that loading an adapter costs
HOME_TOKENS = 256  # prefill tokens that the preferred server is given
TIE_TOKENS = 32  # differences within this are ties
SLOWNESS_MARGIN = 2.0  # ratio of first tokens that is not yet called slow


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
        if request.priority == "batch":
            return min(candidates, key=lambda c: (not c.takes_batch, c.load))
        home = find_home(request, candidates)
        costs = [
            (estimate_cost(request, c) - HOME_TOKENS * (c.name == home), c)
            for c in candidates
        ]
        least = min(cost for cost, _ in costs)
        ties = [c for cost, c in costs if cost <= least + TIE_TOKENS]
        near = [c for c in ties if c.same_domain]
        return self._rng.choice(near or ties)


def hash_pair(server: str, key: str) -> int:
    """Return the rendezvous hash of a server and a key."""
    return xxhash.xxh3_64_intdigest(f"{server}\n{key}".encode())


def find_home(request: RouteRequest, candidates: Sequence[Candidate]) -> str:
    """Return the server preferred for the first block that none holds.

    It is empty where one server is known to hold more than the others, where
    the whole prefix is held, or there is none.
    """
    held = [c.cached_tokens for c in candidates]
    block = max(held) // BLOCK_TOKENS
    if block >= len(request.prefix) or held.count(max(held)) == 1:
        return ""
    key = request.prefix[block]
    return min(candidates, key=lambda c: hash_pair(c.name, key)).name


def estimate_cost(request: RouteRequest, candidate: Candidate) -> float:
    """Return the time to first token, expressed in unloaded prefill tokens."""
    uncached = max(request.prompt_tokens - candidate.cached_tokens, 0)
    work = candidate.pending_tokens + uncached + estimate_load_cost(candidate)
    if candidate.takes_batch:
        work += GATHERED_TOKENS
    if not candidate.has_adapter:
        work += ADAPTER_TOKENS
    return work * max(candidate.slowness / SLOWNESS_MARGIN, 1.0)


def estimate_load_cost(candidate: Candidate) -> float:
    """Return what the requests in flight cost, in unloaded prefill tokens."""
    share = candidate.load / max(candidate.capacity, 1)
    return candidate.load * LOAD_TOKENS + FULL_TOKENS * share * share
