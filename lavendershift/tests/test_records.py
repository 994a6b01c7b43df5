import pytest

from lavendershift.errors import ANSWERS, DecodeError, ErrorKind
from lavendershift.records import (
    RECORD_KINDS,
    Charge,
    Close,
    Unspent,
    decode_entry,
    decode_record,
    encode_record,
)


def test_every_error_kind_has_a_response():
    assert set(ANSWERS) == set(ErrorKind)


def test_records_are_unchanged_by_encoding_and_decoding():
    for record in [
        Charge("c1", "acme", "r1.7", "acme/k9", 120),
        Close("x", "r1.7", [Unspent("acme", 3)]),
    ]:
        assert decode_record(encode_record(record)) == record


@pytest.mark.parametrize(
    "data",
    [None, [], [1], ["nope"], ["charge", "c1"], ["grant", "g", "b", "i", -1, 0]],
)
def test_a_malformed_record_gives_a_fault_with_its_location(data):
    with pytest.raises(DecodeError, match="^here"):
        decode_record(data, "here")
    entry = decode_entry("ledger-0", 7, 1, data)
    assert entry.record is None
    assert "ledger-0@7" in entry.fault


def test_record_kinds_are_identifiers():
    assert all(kind.isidentifier() for kind in RECORD_KINDS)
