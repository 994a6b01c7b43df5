"""Patches from one version of a record to the next, much smaller than the record.

A patch is the new version, compressed with the old one as its dictionary::

    patch = make_patch(old, new)
    apply_patch(old, patch) == new
"""

import xxhash
import zstandard

from lavendershift.decoding import MAX_INTEGER, run_decoder
from lavendershift.errors import DecodeError

LEVEL = 3  # the lowest level that finds matches all over a large dictionary
MAX_RECORD_BYTES = 4_194_304  # longest version that a patch may make


def compute_digest(value: bytes) -> int:
    """Return a hash that distinguishes the versions of a record."""
    return xxhash.xxh3_64_intdigest(value) & (MAX_INTEGER - 1)


def make_patch(base: bytes, value: bytes) -> bytes:
    """Return the patch that makes ``value`` from ``base``."""
    parameters = zstandard.ZstdCompressionParameters.from_level(
        LEVEL, source_size=len(value), dict_size=len(base)
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=_make_dictionary(base), compression_params=parameters
    )
    return compressor.compress(value)


def apply_patch(base: bytes, patch: bytes) -> bytes:
    """Return what ``patch`` makes of ``base``; raises ``DecodeError``."""
    return run_decoder(lambda: _decompress(base, patch), "patch")


def _decompress(base: bytes, patch: bytes) -> bytes:
    # The frame states how much is allocated for its content.
    size = zstandard.get_frame_parameters(patch).content_size
    if size > MAX_RECORD_BYTES:
        raise DecodeError("patch", f"makes more than {MAX_RECORD_BYTES} bytes")
    decompressor = zstandard.ZstdDecompressor(dict_data=_make_dictionary(base))
    return decompressor.decompress(patch, max_output_size=MAX_RECORD_BYTES)


def _make_dictionary(base: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
