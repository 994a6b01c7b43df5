"""Prompt prefixes and an estimate of the contents of servers' prefix caches.

A prompt is cut into blocks, and each block's hash is chained to the one before
it, so that two prompts share their first ``n`` hashes exactly when they share
their first ``n`` blocks::

    >>> shared = "You are a helpful indexer. " * 100
    >>> hash_prefix(shared + "Loire")[:2] == hash_prefix(shared + "Odet")[:2]
    True

The estimate is built from the requests sent to a server and from its cache
events, which arrive late and with gaps. It is only a hint: a wrong entry costs
one prefill and nothing else.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from datetime import timedelta
from typing import Literal, NamedTuple

import xxhash

from lavendershift.clocks import Clock

BLOCK_BYTES = 1024
BLOCK_TOKENS = 256  # tokens in a block, at about four bytes a token
MAX_BLOCKS = 256  # blocks hashed per prompt; bounds the time for long prompts
MAX_CACHED_BLOCKS = 16_384  # entries of the index of one server
GAP_VALIDITY = timedelta(seconds=30)  # validity of older entries after a gap in events


class CacheEvent(NamedTuple):
    """A prefix that a server stored or evicted, with the server's sequence number."""

    seq: int
    kind: Literal["stored", "evicted"]
    prefix: str


def hash_prefix(prompt: str | bytes) -> tuple[str, ...]:
    """Return the chained hashes of the complete blocks of ``prompt``.

    At most ``MAX_BLOCKS`` are computed; a last block that is shorter than
    ``BLOCK_BYTES`` is not hashed.
    """
    data = prompt.encode() if isinstance(prompt, str) else prompt
    count = min(len(data) // BLOCK_BYTES, MAX_BLOCKS)
    hashes = []
    digest = xxhash.xxh3_64()
    for block in range(count):
        digest.update(data[block * BLOCK_BYTES : (block + 1) * BLOCK_BYTES])
        hashes.append(digest.hexdigest())
    return tuple(hashes)


class PrefixIndex:
    """Blocks expected in one server's prefix cache, least recently used first."""

    def __init__(self, clock: Clock, max_blocks: int = MAX_CACHED_BLOCKS) -> None:
        self._clock = clock
        self._max_blocks = max_blocks
        self._cached: OrderedDict[str, timedelta] = OrderedDict()
        self._last_seq: int | None = None
        self._gaps: deque[timedelta] = deque()

    def note_used(self, hashes: Iterable[str]) -> None:
        """Record that a prompt with these block hashes was sent to the server."""
        now = self._clock.elapsed()
        for block in hashes:
            self._cached[block] = now
            self._cached.move_to_end(block)
        while len(self._cached) > self._max_blocks:
            self._cached.popitem(last=False)

    def note_events(self, events: Sequence[CacheEvent], last_seq: int) -> None:
        """Apply cache events; ``last_seq`` is the server's newest number.

        A gap in the sequence numbers may hide evictions, so entries older than
        the gap expire after ``GAP_VALIDITY`` unless they are confirmed. A number
        lower than the last one means that the server restarted with an empty
        cache.
        """
        if self._last_seq is not None and last_seq < self._last_seq:
            self._cached.clear()
            self._last_seq = None
        for event in sorted(events):
            self._note_event(event)
        if self._last_seq is not None and last_seq > self._last_seq:
            self._gaps.append(self._clock.elapsed())
        self._last_seq = last_seq

    def _note_event(self, event: CacheEvent) -> None:
        if self._last_seq is not None:
            if event.seq <= self._last_seq:
                return
            if event.seq > self._last_seq + 1:
                self._gaps.append(self._clock.elapsed())
        self._last_seq = event.seq
        if event.kind == "stored":
            self.note_used([event.prefix])
        else:
            self._cached.pop(event.prefix, None)

    def count_cached(self, hashes: Sequence[str]) -> int:
        """Return how many leading blocks of ``hashes`` are expected in the cache."""
        self._expire_unconfirmed()
        for count, block in enumerate(hashes):
            if block not in self._cached:
                return count
        return len(hashes)

    def _expire_unconfirmed(self) -> None:
        if not self._gaps:
            return
        gap_at: timedelta | None = None
        trusted_from = self._clock.elapsed() - GAP_VALIDITY
        while self._gaps and self._gaps[0] <= trusted_from:
            gap_at = self._gaps.popleft()
        if gap_at is None:
            return
        while self._cached and next(iter(self._cached.values())) <= gap_at:
            self._cached.popitem(last=False)
