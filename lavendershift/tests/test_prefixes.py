from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from lavendershift.clocks import ManualClock
from lavendershift.prefixes import (
    BLOCK_BYTES,
    GAP_VALIDITY,
    CacheEvent,
    PrefixIndex,
    hash_prefix,
)


@settings(derandomize=True, database=None)
@given(st.binary(max_size=3), st.binary(max_size=3), st.integers(0, 4))
def test_hashes_agree_exactly_on_the_shared_blocks(left, right, shared):
    start = b"x" * BLOCK_BYTES * shared
    one = hash_prefix(start + left.ljust(BLOCK_BYTES, b"-"))
    other = hash_prefix(start + right.ljust(BLOCK_BYTES, b"-"))
    assert len(one) == shared + 1
    assert one[:shared] == other[:shared]
    same = left.ljust(BLOCK_BYTES, b"-") == right.ljust(BLOCK_BYTES, b"-")
    assert (one[shared] == other[shared]) == same


def test_entries_older_than_a_gap_in_cache_events_expire():
    clock = ManualClock()
    index = PrefixIndex(clock)
    index.note_events([CacheEvent(1, "stored", "a"), CacheEvent(2, "stored", "b")], 2)
    assert index.count_cached(["a", "b"]) == 2
    clock.advance(timedelta(seconds=1))
    index.note_events([CacheEvent(9, "stored", "c")], 9)
    assert index.count_cached(["a", "b"]) == 2
    clock.advance(GAP_VALIDITY)
    index.note_used(["c"])
    assert index.count_cached(["a", "b"]) == 0
    assert index.count_cached(["c"]) == 1


def test_evictions_and_restarts_remove_cached_blocks():
    index = PrefixIndex(ManualClock())
    index.note_used(["a", "b"])
    index.note_events([CacheEvent(1, "evicted", "b")], 1)
    assert index.count_cached(["a", "b"]) == 1
    index.note_events([], 0)
    assert index.count_cached(["a"]) == 0


def test_the_number_of_cached_blocks_is_bounded():
    index = PrefixIndex(ManualClock(), max_blocks=2)
    index.note_used(["a", "b", "c"])
    assert index.count_cached(["a"]) == 0
    assert index.count_cached(["b", "c"]) == 2
