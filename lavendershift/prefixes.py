"""Prompt prefixes and what is believed about the servers' prefix caches.

A prompt is cut into blocks, and each block's hash is chained to the one before
it, so that two prompts share their first ``n`` hashes exactly when they share
their first ``n`` blocks::

    >>> shared = "You are a helpful indexer. " * 100
    >>> hash_prefix(shared + "Loire")[:2] == hash_prefix(shared + "Odet")[:2]
    True

Caches are known from the requests sent there and from the servers' cache
events, which come late and with gaps. All of it is a hint: a wrong belief
costs a prefill and nothing else.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from datetime import timedelta
from typing import Literal, NamedTuple

import xxhash

from lavendershift.clocks import Clock

BLOCK_BYTES = 1024
BLOCK_TOKENS = 256  # at about four bytes a token
MAX_BLOCKS = 256  # bounds the time spent on a long manuscript
MAX_HELD_BLOCKS = 16_384  # per server
GAP_TRUST = timedelta(seconds=30)  # how long older beliefs outlive a gap


class CacheEvent(NamedTuple):
    """A prefix that a server stored or evicted, numbered by the server."""

    seq: int
    kind: Literal["stored", "evicted"]
    prefix: str


def hash_prefix(prompt: str | bytes) -> tuple[str, ...]:
    """Return the chained hashes of the whole blocks of ``prompt``.

    At most ``MAX_BLOCKS`` are computed; a rest shorter than a block has none.
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
    """The prefixes one server is believed to hold, least recently used first."""

    def __init__(self, clock: Clock, max_blocks: int = MAX_HELD_BLOCKS) -> None:
        self._clock = clock
        self._max_blocks = max_blocks
        self._held: OrderedDict[str, timedelta] = OrderedDict()
        self._last_seq: int | None = None
        self._gaps: deque[timedelta] = deque()

    def note_used(self, hashes: Iterable[str]) -> None:
        """Note that a prompt with these block hashes was sent to the server."""
        now = self._clock.elapsed()
        for block in hashes:
            self._held[block] = now
            self._held.move_to_end(block)
        while len(self._held) > self._max_blocks:
            self._held.popitem(last=False)

    def note_events(self, events: Sequence[CacheEvent], last_seq: int) -> None:
        """Apply cache events; ``last_seq`` is the server's newest number.

        A gap in the numbers may hide evictions, so what was believed before
        it is dropped after ``GAP_TRUST`` unless it is confirmed. Numbers that
        start again mean a restarted server with an empty cache.
        """
        if self._last_seq is not None and last_seq < self._last_seq:
            self._held.clear()
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
            self._held.pop(event.prefix, None)

    def count_cached(self, hashes: Sequence[str]) -> int:
        """Return how many leading blocks of ``hashes`` the server should hold."""
        self._drop_doubted()
        for count, block in enumerate(hashes):
            if block not in self._held:
                return count
        return len(hashes)

    def _drop_doubted(self) -> None:
        gap_at: timedelta | None = None
        trusted_from = self._clock.elapsed() - GAP_TRUST
        while self._gaps and self._gaps[0] <= trusted_from:
            gap_at = self._gaps.popleft()
        if gap_at is None:
            return
        while self._held and next(iter(self._held.values())) <= gap_at:
            self._held.popitem(last=False)
