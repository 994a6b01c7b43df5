"""Costs by which a server is chosen for a request.

Costs are compared with those of the other servers only. The factors of a server's
capacity are 1 unless it is faster or slower than its peers.
"""

from collections.abc import Sequence
from datetime import timedelta
from functools import lru_cache

import xxhash

from lavendershift.capacity.servercapacity import Size
from lavendershift.serverstates import ListedServer, PromptShape

IN_FLIGHT_COST = 60  # cost of a running request, in prompt tokens read in the same time
STREAM_DURATION = timedelta(seconds=2)  # usual time until a stream frees its slot
REREAD_WEIGHT = 3.0  # cost factor of shared prompt tokens that are read once more
PREFILL_RATE = 50_000.0  # prompt tokens/s that an engine is estimated to read
# Time to the first event of an idle engine.
UNLOADED_LATENCY = timedelta(milliseconds=40)
# Cost of plain work at a server that is full, above that of any other.
FULL_COST = 1e6
# Hashes that are kept: those of 60 servers for 130 shared parts, in about 2 MB.
MAX_RANKS = 8192
IDLE_COST = UNLOADED_LATENCY.total_seconds() * PREFILL_RATE


def choose_for_prompt(
    candidates: Sequence[ListedServer],
    affine: Sequence[ListedServer],
    prompt: PromptShape,
    now: timedelta,
) -> ListedServer:
    """Return the server with the least cost; ``affine`` may be affinity servers."""
    key = prompt.affinity_key
    affinity_server = max(affine, key=lambda s: rank_server(key, s.entry.id))
    return min(
        candidates,
        key=lambda s: (
            estimate_cost(s, prompt, s is affinity_server, now),
            s is not affinity_server,
        ),
    )


def estimate_cost(
    server: ListedServer, prompt: PromptShape, is_affinity_server: bool, now: timedelta
) -> float:
    """Return the prompt tokens that are read before the prompt's first event.

    The affinity server of a prompt counts as having its shared parts cached. All VMs
    derive it from a hash, without a message, so that a shared part is read by one
    server even if VMs can't reach each other. A slow server costs as much as one that
    reads more tokens, and one that slows down under load is full before its slots are.
    """
    load = server.sum_load(now)
    unread = server.count_unread(prompt)
    if is_affinity_server:
        shared = sum(part.tokens for part in prompt.shared_parts)
        unread = min(unread, max(prompt.input_tokens - shared, 0))
    own = prompt.input_tokens - sum(part.tokens for part in prompt.shared_parts)
    reread = max(unread - own, 0) * REREAD_WEIGHT
    capacity = server.capacity
    factor, output_factor = capacity.factors[Size.PROMPT], capacity.factors[Size.OUTPUT]
    slots = capacity.limit.value
    waiting = max(load.in_flight + 1 - slots, 0)
    queued = waiting * STREAM_DURATION.total_seconds() / slots * PREFILL_RATE
    running = load.in_flight * IN_FLIGHT_COST
    reading = load.unread_tokens + unread + reread
    idle = IDLE_COST * (factor - 1)
    cost = reading * factor + idle + (queued + running) * output_factor
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
