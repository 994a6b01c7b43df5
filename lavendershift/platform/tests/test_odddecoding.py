"""Records of other programs are decoded, or raise the one named error."""

import contextlib
import json
from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders

from lavendershift.connections import _parse_keep_alive
from lavendershift.errors import DecodeError, RequestError
from lavendershift.platform import names
from lavendershift.platform.callerrequests import parse_deadline, parse_prompt
from lavendershift.platform.configuration import decode_configuration
from lavendershift.platform.grants import decode_record
from lavendershift.platform.leases import decode_snapshot
from lavendershift.platform.nodesettings import SettingsError, load_node_settings
from lavendershift.platform.presence import decode_row
from lavendershift.platform.servers import decode_entry
from lavendershift.platform.serverwire import PlatformServerWire
from lavendershift.platform.storerecords import Record, decode_append_response
from lavendershift.platform.tests.conftest import make_configuration
from lavendershift.platform.tests.test_oddrecords import (
    ENTRY,
    NESTED,
    ODD_ENTRIES,
    ODD_QUOTAS,
    ODD_ROWS,
    ODD_SNAPSHOTS,
    QUOTA,
    ROW,
    SNAPSHOT,
)
from lavendershift.prepaid import LeaseTerms

DIGITS = "9" * 5000
ODD_NUMBERS = ["9" * 400, DIGITS, "1e400", "-1", "1.5", "NaN", "Infinity", '"7"', "{}"]
MILLION = b'"' + b"x" * 1_000_000 + b'"'
ODD_BYTES = [b"", b"{", b"\xff", b"null", b"[]", b"7", NESTED, MILLION, b'{"a":' * 5000]


def decode_quota(value):
    """Decode a quota record in the way of the other decoders."""
    quota = decode_record(Record(3, b"plume", value))
    if quota.granted is None:
        raise DecodeError("quota", quota.fault)
    return quota


DECODERS = {
    "entry": (lambda value: decode_entry(b"i-1", value), ENTRY),
    "row": (lambda value: decode_row(b"edge-1", value), ROW),
    "quota": (decode_quota, QUOTA),
    "snapshot": (decode_snapshot, SNAPSHOT),
    "configuration": (decode_configuration, json.loads(make_configuration())),
}
decoders = pytest.mark.parametrize("kind", DECODERS)


@decoders
def test_the_valid_record_is_decoded(kind):
    decode, record = DECODERS[kind]
    decode(json.dumps(record).encode())


@decoders
@pytest.mark.parametrize("value", ODD_BYTES)
def test_bytes_that_are_no_record_raise_the_named_error(kind, value):
    with pytest.raises(DecodeError):
        DECODERS[kind][0](value)


@pytest.mark.parametrize(
    ("kind", "value"),
    [
        *(("entry", value) for value in ODD_ENTRIES.values()),
        *(("row", value) for value in ODD_ROWS.values()),
        *(("quota", value) for value in ODD_QUOTAS.values()),
        *(("snapshot", value) for value in ODD_SNAPSHOTS.values()),
    ],
)
def test_a_record_that_ended_processes_raises_the_named_error(kind, value):
    with pytest.raises(DecodeError):
        DECODERS[kind][0](value)


@pytest.mark.parametrize(
    ("kind", "field"),
    [
        ("entry", "slots"),
        ("entry", "sequence"),
        ("entry", "born"),
        ("row", "renewal"),
        ("quota", "granted"),
        ("snapshot", "written_us"),
        ("snapshot", "opening_us"),
        ("configuration", "version"),
    ],
)
@pytest.mark.parametrize("number", ODD_NUMBERS)
def test_an_odd_number_raises_the_named_error(kind, field, number):
    decode, record = DECODERS[kind]
    text = json.dumps({k: v for k, v in record.items() if k != field})
    with pytest.raises(DecodeError):
        decode(f'{text[:-1]}, "{field}": {number}}}'.encode())


@pytest.mark.parametrize(
    "number", [*(n for n in ODD_NUMBERS if n != "-1"), str(-(10**17) - 1)]
)
def test_an_odd_time_since_the_boot_raises_the_named_error(number):
    text = json.dumps({k: v for k, v in SNAPSHOT.items() if k != "at_us"})
    with pytest.raises(DecodeError):
        decode_snapshot(f'{text[:-1]}, "at_us": {number}}}'.encode())


def test_a_snapshot_before_the_start_of_the_clock_is_decoded():
    decode_snapshot(json.dumps(SNAPSHOT | {"at_us": -5}).encode())


@pytest.mark.parametrize("number", ["0", "1000001", "-1", str(2**70)])
def test_slots_out_of_range_raise_the_named_error(number):
    text = json.dumps(ENTRY | {"slots": 7777}).replace("7777", number)
    with pytest.raises(DecodeError):
        decode_entry(b"i-1", text.encode())


def test_an_unlock_period_of_zero_raises_the_named_error():
    with pytest.raises(DecodeError):
        decode_snapshot(json.dumps(SNAPSHOT | {"opening_us": 0}).encode())


@pytest.mark.parametrize("field", ["demand", "arrivals", "capacity"])
@pytest.mark.parametrize("number", [1e300, -1, "x", None])
def test_an_odd_rate_of_a_vm_raises_the_named_error(field, number):
    value = {"plume": number} if field == "demand" else number
    with pytest.raises(DecodeError):
        decode_row(b"edge-1", json.dumps(ROW | {field: value}).encode())


@pytest.mark.parametrize("number", ["NaN", "Infinity"])
def test_a_configuration_with_a_word_that_is_no_json_is_rejected(number):
    value = make_configuration(tenants=[{"name": "x", "prepaid": 7777}])
    with pytest.raises(DecodeError):
        decode_configuration(value.replace(b"7777", number.encode()))


@pytest.mark.parametrize("number", [n for n in ODD_NUMBERS if n[0] not in "NI"])
@pytest.mark.parametrize(
    ("section", "field"),
    [
        ("routes", "timeout_ms"),
        ("routes", "priority"),
        ("routes", "max_attempts"),
        ("services", "max_conns"),
        ("tenants", "prepaid"),
    ],
)
def test_an_odd_number_takes_no_other_entry_away(section, field, number):
    record = json.loads(make_configuration())
    odd = {**record[section][0], "name": "odd", "host": "odd", field: 7777}
    odd["api_keys"] = ["key-odd"]
    value = json.dumps(record | {section: [odd, *record[section]]})
    table = decode_configuration(value.replace("7777", number).encode()).table
    good = decode_configuration(make_configuration()).table
    for path in ("/index/x", "/record/x", "/read/x"):
        assert table.find_route("books.example", path) == good.find_route(
            "books.example", path
        )
    assert table.find_customer("key-1") == good.find_customer("key-1")
    assert table.services["pool"] == good.services["pool"]


@pytest.mark.parametrize("number", ["9" * 400, "1e400", "-1e300", '"x"', "[]"])
def test_an_odd_limit_takes_no_other_limit_away(number):
    limits = {"max_body_bytes": 1000, "header_timeout_ms": 7777, "idle_timeout_ms": 500}
    value = make_configuration(limits=limits).replace(b"7777", number.encode())
    table = decode_configuration(value).table
    assert table.limits.body_bytes == 1000
    assert table.limits.idle_timeout == timedelta(milliseconds=500)
    assert timedelta() <= table.limits.header_timeout < timedelta.max / 2


@pytest.mark.parametrize("weights", [(0, 0), (1e308, 1e308), (-1, -5)])
def test_a_service_can_be_drawn_by_odd_weights(weights):
    record = json.loads(make_configuration())
    split = [
        {"service": name, "weight": weight}
        for name, weight in zip(("pool", "ledger"), weights, strict=True)
    ]
    record["routes"][0]["traffic_split"] = split
    table = decode_configuration(json.dumps(record).encode()).table
    shares = table.find_route("books.example", "/index/x").shares
    assert 0 < sum(share.weight for share in shares) < float("inf")


@pytest.mark.parametrize("end", ["9" * 400, DIGITS, "-1", "{}", "null"])
def test_an_odd_response_to_an_append_has_no_result(end):
    assert decode_append_response(f'{{"end": {end}}}'.encode()) is None


MUTATIONS = st.sampled_from(
    [
        b"[" * 3000,
        DIGITS.encode(),
        b"-1",
        b"1e999",
        b"\xff",
        b"null",
        b'"',
        b"{",
        b"}",
        b",",
        b"\\u0000",
        b"NaN",
        "²".encode(),
        b'"slots":0,',
    ]
)


@decoders
@settings(derandomize=True, database=None, max_examples=200, deadline=None)
@given(st.data())
def test_any_bytes_are_decoded_or_raise_the_named_error(kind, data):
    decode, record = DECODERS[kind]
    value = json.dumps(record).encode()
    for _ in range(data.draw(st.integers(1, 3))):
        start = data.draw(st.integers(0, len(value)))
        end = data.draw(st.integers(start, min(start + 8, len(value))))
        value = value[:start] + data.draw(MUTATIONS | st.binary()) + value[end:]
    try:
        decoded = decode(value)
    except DecodeError:
        return
    if kind == "snapshot":
        LeaseTerms(
            1.0, 1.0, 5, decoded.unlock_delay, decoded.unlock_period
        ).find_allowance(timedelta(seconds=1))
    if kind == "entry":
        assert 3 / decoded.slots


@pytest.mark.parametrize("value", ["²", DIGITS, "-1", "x", "", "1e9", "nan"])
def test_an_odd_head_of_a_server_raises_nothing(value):
    keep_alive = _parse_keep_alive(f"timeout={value}, max=5")
    assert keep_alive is None or keep_alive <= timedelta(days=1)
    headers = HTTPHeaders({names.RETRY_AFTER: value, names.LIMIT: value})
    signal = PlatformServerWire().read_signal(503, headers)
    assert signal.limit is None or 0 <= signal.limit <= 1e300


@pytest.mark.parametrize("value", ["²", DIGITS, "9" * 400, "x", "nan", "inf"])
def test_an_odd_head_of_a_caller_is_refused(value):
    for tokens in (f"{value},1", f"1,{value}"):
        with pytest.raises(RequestError):
            parse_prompt(HTTPHeaders({names.TOKENS: tokens}))
    with pytest.raises(RequestError):
        parse_prompt(
            HTTPHeaders({names.TOKENS: "1,1", names.PROMPT_PARTS: f"a:{value}"})
        )
    with contextlib.suppress(RequestError):
        assert parse_deadline(value) <= timedelta(hours=1)


@pytest.mark.parametrize(
    "text",
    [
        "a = " + "[" * 5000,
        f"a = {DIGITS}",
        "node = 1",
        "bounds = 1",
        "[listen]\n[bounds]\n[platform]\n",
        "\x00",
    ],
)
def test_odd_settings_raise_the_named_error(tmp_path, text):
    path = tmp_path / "node.toml"
    path.write_text(text)
    with pytest.raises(SettingsError):
        load_node_settings(path)
