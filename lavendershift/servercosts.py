"""Costs by which a server is chosen for a request.

Costs are compared with those of the other servers only. The factors of a server's
capacity are 1 unless it is faster or slower than its peers.
"""

import itertools
from collections.abc import Sequence
from datetime import timedelta
from functools import lru_cache
from typing import NamedTuple

import xxhash

from lavendershift.capacity.servercapacity import Size
from lavendershift.serverstates import ListedServer, PromptShape

IN_FLIGHT_COST = 60  # cost of a running request, in prompt tokens read in the same time
STREAM_DURATION_S = 2.0  # usual time until a stream frees its slot
REREAD_WEIGHT = 3.0  # cost factor of shared prompt tokens that are read once more
PREFILL_RATE = 50_000.0  # prompt tokens/s that an engine is estimated to read
# Time to the first event of an idle engine.
UNLOADED_LATENCY = timedelta(milliseconds=40)
# Cost of plain work at a server that is full, above that of any other.
FULL_COST = 1e6
# Hashes that are kept: those of 60 servers for 130 shared parts, in about 2 MB.
MAX_RANKS = 8192
IDLE_COST = UNLOADED_LATENCY.total_seconds() * PREFILL_RATE


class PromptSizes(NamedTuple):
    """Sums over a prompt's parts, made once for all servers.

    ``cached`` holds the tokens of each number of leading parts.
    """

    part_ids: tuple[str, ...]
    cached: tuple[int, ...]
    input_tokens: int
    shared_tokens: int

    @classmethod
    def make(cls, prompt: PromptShape) -> "PromptSizes":
        """Return the sizes of ``prompt``."""
        tokens = [part.tokens for part in prompt.parts]
        shared = sum(part.tokens for part in prompt.shared_parts)
        cached = tuple(itertools.accumulate(tokens, initial=0))
        return cls(prompt.part_ids, cached, prompt.input_tokens, shared)


def choose_for_prompt(
    candidates: Sequence[ListedServer],
    affine: Sequence[ListedServer],
    prompt: PromptShape,
    now: timedelta,
) -> ListedServer:
    """Return the server with the least cost; ``affine`` may be affinity servers."""
    key = prompt.affinity_key
    affinity_server = max(affine, key=lambda s: rank_server(key, s.entry.id))
    sizes = PromptSizes.make(prompt)
    return min(
        candidates,
        key=lambda s: (
            estimate_cost(s, sizes, s is affinity_server, now),
            s is not affinity_server,
        ),
    )


def estimate_cost(
    server: ListedServer, sizes: PromptSizes, is_affinity_server: bool, now: timedelta
) -> float:
    """Return the prompt tokens that are read before the prompt's first event.

    The affinity server of a prompt counts as having its shared parts cached. All VMs
    derive it from a hash, without a message, so that a shared part is read by one
    server even if VMs can't reach each other. A slow server costs as much as one that
    reads more tokens, and one that slows down under load is full before its slots are.
    """
    load = server.sum_load(now)
    cached = sizes.cached[server.cache.count_cached(sizes.part_ids)]
    if is_affinity_server and cached < sizes.shared_tokens:
        cached = sizes.shared_tokens
    unread = max(sizes.input_tokens - cached, 0)
    own = sizes.input_tokens - sizes.shared_tokens
    reading = float(load.unread_tokens + unread)
    if unread > own:
        reading += (unread - own) * REREAD_WEIGHT
    capacity = server.capacity
    factor, output_factor = capacity.factors[Size.PROMPT], capacity.factors[Size.OUTPUT]
    slots = capacity.limit.value
    running = float(load.in_flight * IN_FLIGHT_COST)
    waiting = load.in_flight + 1 - slots
    if waiting > 0:
        running += waiting * STREAM_DURATION_S / slots * PREFILL_RATE
    cost = reading * factor + IDLE_COST * (factor - 1) + running * output_factor
    return cost * capacity.failure_cost


def estimate_plain_cost(server: ListedServer, now: timedelta) -> float:
    """Return the share of a server's slots in use, weighted by its speed.

    It is that share for a server of usual speed. For others, the time of the request
    itself counts too, so that the faster of two idle servers is chosen.
    """
    capacity = server.capacity
    factor = capacity.factors[Size.PLAIN] * capacity.failure_cost
    in_flight = server.sum_load(now).in_flight
    cost = ((in_flight + 1) * factor - 1) / capacity.limit.value
    return cost + FULL_COST if in_flight >= capacity.find_places(now) else cost


@lru_cache(maxsize=MAX_RANKS)
def rank_server(key: str, server: str) -> int:
    """Return a server's rendezvous hash for a prompt part, the same on all VMs."""
    return xxhash.xxh3_64_intdigest(f"{key}/{server}".encode())
