"""Rendezvous hashing, on which processes agree without a message."""

from collections.abc import Sequence

import xxhash


def rank_by_hash(names: Sequence[str], key: str) -> list[str]:
    """Return ``names`` in the order of their rendezvous hash with ``key``.

    Removing a name leaves the order of the others as it was.
    """
    return sorted(
        names, key=lambda name: xxhash.xxh3_64_intdigest(f"{name}\n{key}".encode())
    )
