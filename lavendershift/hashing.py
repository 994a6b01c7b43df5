"""Rendezvous hashing, by which processes make the same choice without messages."""

from collections.abc import Sequence
from functools import lru_cache

import xxhash


@lru_cache(maxsize=4096)
def hash_pair(name: str, key: str) -> int:
    """Return the rendezvous hash of ``name`` with ``key``."""
    return xxhash.xxh3_64_intdigest(f"{name}\n{key}".encode())


def rank_by_hash(names: Sequence[str], key: str) -> list[str]:
    """Return ``names`` in the order of their rendezvous hash with ``key``.

    Removing a name does not change the order of the others.
    """
    return sorted(names, key=lambda name: hash_pair(name, key))
