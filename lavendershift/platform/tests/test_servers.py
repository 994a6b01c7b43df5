import json

import pytest

from lavendershift.platform.servers import decode_entry

GOOD = {
    "service": "pool",
    "address": "10.128.0.9:8080",
    "zone": "rennes",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
    "born": 1_700_000_000_000,
}


def decode(**changes):
    entry = {k: v for k, v in (GOOD | changes).items() if v is not None}
    return decode_entry("i-1", json.dumps(entry).encode())


def test_an_entry_is_decoded():
    entry = decode()
    assert (entry.id, entry.service, entry.failure_domain) == ("i-1", "pool", "rennes")
    assert (entry.born, entry.sequence) == (1_700_000_000_000, 4)
    assert not entry.is_leaving
    assert decode(state="draining").is_leaving


@pytest.mark.parametrize(
    "changes",
    [
        {"service": None},
        {"service": 5},
        {"address": None},
        {"address": "10.0.0.1"},
        {"address": "host.example:80"},
        {"address": "10.0.0.256:80"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:99999"},
        {"state": "asleep"},
        {"state": None},
        {"sequence": "4"},
        {"born": 1.5},
        {"slots": "many"},
    ],
)
def test_a_malformed_entry_names_no_server(changes):
    assert decode(**changes) is None


@pytest.mark.parametrize("value", [b"\xff", b"", b"null", b"[]", b"{"])
def test_bytes_that_are_no_entry_name_no_server(value):
    assert decode_entry("i-1", value) is None
