"""The engine's cache of prompt prefixes and the events published about it."""

from collections import OrderedDict, deque
from datetime import timedelta
from random import Random
from typing import Literal, NamedTuple, TypedDict

MAX_EVENTS = 10_000


class CacheEvent(TypedDict):
    """A prefix stored in the cache or evicted from it."""

    seq: int
    kind: Literal["stored", "evicted"]
    prefix: str


class CacheEvents(TypedDict):
    """The response to ``GET /control/cache-events``.

    ``last_seq`` is the sequence number of the newest event at least as old as the
    lag, whether it is published or not.
    """

    events: list[CacheEvent]
    last_seq: int


class DatedEvent(NamedTuple):
    """An event, the time at which it happened and whether it gets published."""

    happened: timedelta
    event: CacheEvent
    published: bool


class PrefixCache:
    """An LRU cache of at most ``blocks`` prefix hashes.

    Its events are published after ``lag``; with the probability ``gaps`` an event
    is never published, which leaves a gap in the sequence numbers.
    """

    def __init__(self, blocks: int, lag: timedelta, gaps: float, rng: Random) -> None:
        self._capacity = blocks
        self._lag = lag
        self._gap_probability = gaps
        self._rng = rng
        self._cached: OrderedDict[str, None] = OrderedDict()
        self._events: deque[DatedEvent] = deque(maxlen=MAX_EVENTS)
        self._seq = 0

    @property
    def used_share(self) -> float:
        """The used share of the cache, from 0 to 1."""
        return len(self._cached) / self._capacity if self._capacity else 0.0

    def look_up(self, prefixes: list[str]) -> int:
        """Return how many of ``prefixes``, in ascending length, are cached.

        The count ends at the first prefix that isn't cached.
        """
        for i, prefix in enumerate(prefixes):
            if prefix not in self._cached:
                return i
            self._cached.move_to_end(prefix)
        return len(prefixes)

    def store(self, prefixes: list[str], now: timedelta) -> None:
        """Cache ``prefixes`` and evict the least recently used ones."""
        for prefix in prefixes[: self._capacity]:
            if prefix not in self._cached:
                self._record("stored", prefix, now)
            self._cached[prefix] = None
            self._cached.move_to_end(prefix)
        while len(self._cached) > self._capacity:
            evicted, _ = self._cached.popitem(last=False)
            self._record("evicted", evicted, now)

    def list_events(self, after: int, now: timedelta) -> CacheEvents:
        """Return the published events after ``after`` at least as old as the lag."""
        visible = [dated for dated in self._events if dated.happened <= now - self._lag]
        events = [d.event for d in visible if d.published and d.event["seq"] > after]
        last_seq = visible[-1].event["seq"] if visible else 0
        return CacheEvents(events=events, last_seq=last_seq)

    def _record(
        self, kind: Literal["stored", "evicted"], prefix: str, now: timedelta
    ) -> None:
        self._seq += 1
        published = self._rng.random() >= self._gap_probability
        event = CacheEvent(seq=self._seq, kind=kind, prefix=prefix)
        self._events.append(DatedEvent(now, event, published))
