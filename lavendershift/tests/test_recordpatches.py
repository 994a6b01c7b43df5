import random

import pytest
import zstandard
from hypothesis import given
from hypothesis import strategies as st

from lavendershift.errors import DecodeError
from lavendershift.recordpatches import (
    MAX_RECORD_BYTES,
    apply_patch,
    compute_digest,
    make_patch,
)

RECORD_BYTES = 400_000


def make_rows(count, seed):
    rng = random.Random(seed)
    return [b"%016x:%d," % (rng.getrandbits(64), n) for n in range(count)]


@given(st.binary(max_size=300), st.binary(max_size=300))
def test_a_patch_makes_the_new_version_from_the_old(base, value):
    assert apply_patch(base, make_patch(base, value)) == value


def test_a_patch_has_the_size_of_the_change():
    rows = make_rows(RECORD_BYTES // 20, 1)
    base = b"".join(rows)
    changed = [*rows[:4000], *rows[4001:9000], *make_rows(3, 2), *rows[9000:]]
    value = b"".join(changed)
    assert len(base) > RECORD_BYTES
    assert len(make_patch(base, value)) < 300


def test_a_patch_of_another_version_makes_another_value():
    base, other = b"".join(make_rows(50, 1)), b"".join(make_rows(50, 2))
    patch = make_patch(base, base + b"more")
    try:
        made = apply_patch(other, patch)
    except DecodeError:
        return
    assert compute_digest(made) != compute_digest(base + b"more")


@pytest.mark.parametrize("patch", [b"", b"patch", make_patch(b"a", b"b" * 99)[:-3]])
def test_a_damaged_patch_is_an_error(patch):
    with pytest.raises(DecodeError):
        apply_patch(b"a", patch)


@pytest.mark.parametrize("size", [MAX_RECORD_BYTES + 1, 2**40])
def test_a_patch_that_states_a_large_size_is_not_allocated(size):
    compressor = zstandard.ZstdCompressor()
    frame = compressor.compressobj(size=size)
    head = frame.compress(b"x" * 1000) + frame.flush(zstandard.COMPRESSOBJ_FLUSH_BLOCK)
    with pytest.raises(DecodeError):
        apply_patch(b"", head)
