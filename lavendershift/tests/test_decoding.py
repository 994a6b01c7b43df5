"""Input of other programs either is decoded or raises ``DecodeError``."""

import json
from datetime import timedelta
from functools import reduce
from operator import or_
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lavendershift.datagrams import MESSAGES, Datagrams
from lavendershift.decoding import (
    MAX_DEPTH,
    MAX_INTEGER,
    Count,
    decode_identifier,
    decode_json,
    is_endpoint,
    make_duration,
    measure_depth,
    parse_address,
    parse_count,
    prune_depth,
)
from lavendershift.errors import DecodeError, LogUnavailableError
from lavendershift.incarnations import parse_record_id
from lavendershift.messages import decode_message
from lavendershift.plugins.http_log import HttpLogClient, _ReadAnswer
from lavendershift.records import decode_entry
from lavendershift.relay import pack_entry
from lavendershift.tokenstocks import StockReport
from lavendershift.vmlist import split_address
from lavendershift.watchers import decode_members

DIGITS = "9" * 5000


def nest(levels, inner=b""):
    return b"[" * levels + inner + b"]" * levels


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"\xff\xfe",
        b"null",
        nest(5000),
        b"[" * 5000,
        b'{"a":' * 5000,
        b'"' + b'\\"' * 200_000,
        b'"' + b"x" * 1_000_000 + b'"',
        b"[1e400]",
        f"[{DIGITS}]".encode(),
        b"[NaN]",
        b"[-1]",
        b"[1, 2",
        f"[{MAX_INTEGER + 1}]".encode(),
    ],
)
def test_odd_json_raises_the_one_named_error(data):
    with pytest.raises(DecodeError):
        decode_json(data, list[Count], "record")


def test_the_depth_is_that_of_brackets_outside_of_texts():
    assert measure_depth(nest(40), MAX_DEPTH) > MAX_DEPTH
    assert measure_depth(nest(32), MAX_DEPTH) == MAX_DEPTH
    shallow = json.dumps(["[" * 90, '\\"[{' * 90, ["]"]] * 40).encode()
    assert measure_depth(shallow, MAX_DEPTH) <= MAX_DEPTH
    assert decode_json(shallow, list, "record") == json.loads(shallow)


def test_pruning_keeps_the_values_beside_a_deep_one():
    data = b'{"a": [1, ' + nest(5000, b'"]"') + b', 2], "b": "[["}'
    pruned = json.loads(prune_depth(data))
    assert (pruned["a"][0], pruned["a"][2], pruned["b"]) == (1, 2, "[[")
    assert prune_depth(b'{"a": 1}') == b'{"a": 1}'


@pytest.mark.parametrize(
    "text",
    [
        "",
        ":",
        "10.0.0.1",
        "10.0.0.1:",
        "10.0.0.1:0",
        "10.0.0.1:080",
        "10.0.0.1:65536",
        "10.0.0.1:-1",
        "10.0.0.1:²",
        "10.0.0.1:٣",
        "10.0.0.²:80",
        "010.0.0.1:80",
        "10.0.0.256:80",
        "10.0.0:80",
        "10.0.0.0.1:80",
        "host.example:80",
        f"10.0.0.1:{DIGITS}",
        f"{DIGITS}.0.0.1:80",
        f"{'0' * 5000}.0.0.1:80",
        "10.0.0.1:80\n",
        " 10.0.0.1:80",
        "[::1]:80",
    ],
)
def test_a_malformed_address_is_none(text):
    assert parse_address(text) is None


def test_an_address_is_split():
    assert parse_address("10.0.0.255:65535") == ("10.0.0.255", 65_535)


@pytest.mark.parametrize("port", ["²", "٣", DIGITS, "65536", "-1", "0", "", "8 0"])
def test_a_peer_with_an_odd_port_has_no_address(port):
    assert split_address(f"10.0.0.1:{port}") is None


@pytest.mark.parametrize(
    ("host", "port"),
    [("", 80), ("x y", 80), ("a" * 300, 80), ("10.0.0.1", 0), ("10.0.0.1", 2**40)],
)
def test_an_odd_endpoint_is_none_of_a_socket(host, port):
    assert not is_endpoint(host, port)


def test_counts_are_bounded_before_they_are_converted():
    assert parse_count(DIGITS, 100) == 100
    assert parse_count("0" * 5000 + "7", 100) == 7
    assert parse_count("0", 100) == 0
    assert [parse_count(t, 9) for t in ("²", "٣", "", "-1", "+1", "1_0", " 1")] == (
        [None] * 7
    )


def test_durations_are_bounded():
    assert make_duration(1e300) < timedelta.max
    assert make_duration(-5) == timedelta()


@pytest.mark.parametrize("key", [b"", b"a b", b"a\r\nX: y", b"\xff", "é".encode()])
def test_a_key_that_no_header_can_hold_is_rejected(key):
    with pytest.raises(DecodeError):
        decode_identifier(key, "server")


class _Transport:
    def __init__(self):
        self.peers = []

    def sendto(self, data, peer):
        self.peers.append(peer)


@pytest.fixture
def datagrams():
    datagrams = Datagrams()
    datagrams._decoder = msgspec.msgpack.Decoder(reduce(or_, MESSAGES))
    return datagrams


@settings(derandomize=True, database=None, max_examples=300, deadline=None)
@given(st.binary(max_size=300))
def test_any_datagram_is_handled_or_dropped(data):
    datagrams = Datagrams()
    datagrams._decoder = msgspec.msgpack.Decoder(MESSAGES[0])
    datagrams.datagram_received(data, ("10.0.0.1", 7))


def test_a_handler_that_fails_drops_only_its_datagram(datagrams):
    received, errors = [], []

    def fail_first(report, sender):
        received.append(report.vm)
        if len(received) == 1:
            raise OverflowError

    datagrams.handle(StockReport, fail_first)
    datagrams.on_dropped = errors.append
    for vm in ("a", "b"):
        report = StockReport(vm, "i", True, {})
        datagrams.datagram_received(msgspec.msgpack.encode(report), ("10.0.0.1", 7))
    assert received == ["a", "b"]
    assert [type(error) for error in errors] == [OverflowError]
    assert datagrams.dropped == 1


def test_datagrams_are_sent_to_the_peers_with_valid_addresses(datagrams):
    transport = _Transport()
    datagrams.use(transport)
    peers = [("x y", 80), ("10.0.0.1", 2**40), ("10.0.0.1", 80), ("", 0)]
    datagrams.send(StockReport("a", "i", True, {}), peers)
    assert transport.peers == [("10.0.0.1", 80)]


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**40), 10**40)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=10),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=5), inner, max_size=4)
    ),
    max_leaves=20,
)


@settings(derandomize=True, database=None, max_examples=300, deadline=None)
@given(VALUES | st.binary(max_size=100))
def test_any_text_is_decoded_or_raises_the_one_named_error(value):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    for kind in (StockReport, list[Count], dict[str, str]):
        try:
            decode_json(data, kind, "record")
        except DecodeError as error:
            assert len(error.reason) < 300


def test_a_record_that_nests_too_deep_does_not_hide_those_after_it():
    entries = b"[[1,2," + nest(5000) + b'],[2,3,["evict","i","r1","x"]]]'
    body = b'{"entries":' + entries + b',"next_offset":3,"end_offset":3}'
    client = HttpLogClient("http://10.0.0.1:80", timedelta(seconds=1))
    page = client._decode(SimpleNamespace(body=body), _ReadAnswer)
    odd, good = [decode_entry("config", *raw) for raw in page.entries]
    assert odd.record is None
    assert good.record is not None


@pytest.mark.parametrize("body", [b"", b"{", b"\xff", nest(5000), b"[1]"])
def test_an_odd_response_of_the_log_is_an_unavailable_log(body):
    client = HttpLogClient("http://10.0.0.1:80", timedelta(seconds=1))
    with pytest.raises(LogUnavailableError):
        client._decode(SimpleNamespace(body=body), _ReadAnswer)


@pytest.mark.parametrize("number", [2**70, -(2**70), 10**400])
def test_a_record_with_a_number_beyond_64_bits_is_void(number):
    record = ["top_up", "odd", "acme", number, "test"]
    assert decode_entry("ledger-0", 1, 2, record).record is None
    packed = msgspec.msgpack.decode(pack_entry((1, 2, record)))
    assert packed == [1, 2, None]


@pytest.mark.parametrize("digits", [DIGITS, "²", "9" * 19, "", "-1"])
def test_an_odd_sequence_number_is_that_of_no_incarnation(digits):
    assert parse_record_id(f"r1/{digits}") is None


@pytest.mark.parametrize(
    "body", [b"", b"[]", b'{"members":1}', b'{"members":[' + nest(5000) + b"]}"]
)
def test_an_odd_list_of_members_is_none(body):
    assert decode_members(body) is None


@pytest.mark.parametrize("data", [b"", b"\x90", b"\xc1", b"\x91" * 50_000, b"\x92\xa1"])
def test_odd_messages_raise_the_one_named_error(data):
    with pytest.raises(DecodeError):
        decode_message(data)
