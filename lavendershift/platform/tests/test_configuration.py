import json
from datetime import timedelta

import msgspec
import pytest

from lavendershift.errors import DecodeError
from lavendershift.platform.configuration import decode_configuration
from lavendershift.platform.tests.conftest import make_configuration
from lavendershift.routes import Repeat


def test_routes_define_which_requests_may_be_retried(table):
    find = table.find_route
    assert find("books.example", "/index/x").repeat is Repeat.RESUME
    assert find("books.example", "/record/x").repeat is Repeat.NEVER
    assert find("books.example", "/read/x").repeat is Repeat.ALWAYS
    assert find("books.example", "/index/x").timeout == timedelta(seconds=5)


def test_customers_services_and_budgets_are_decoded(table):
    assert table.find_customer("key-1").prepaid == 100_000
    assert table.services["pool"].is_engine
    assert table.services["pool"].tokens_per_event == 5
    assert not table.services["ledger"].is_engine


@pytest.mark.parametrize(
    "entry",
    [
        {"name": "x"},
        {"name": 7, "host": "h", "path_prefix": "/", "kind": "safe", "timeout_ms": 1},
        {
            "name": "x",
            "host": "h",
            "path_prefix": "/",
            "kind": "safe",
            "timeout_ms": "a",
        },
        "text",
        None,
        [],
        {"name": "x", "host": "h", "path_prefix": "/", "kind": [], "timeout_ms": 1e300},
    ],
)
def test_a_malformed_route_is_skipped_alone(entry):
    good = msgspec.json.decode(make_configuration())["routes"]
    decoded = decode_configuration(make_configuration(routes=[entry, *good]))
    assert len(decoded.skipped) == 1
    assert decoded.table.find_route("books.example", "/read/x") is not None


def test_malformed_customers_services_and_limits_are_skipped():
    decoded = decode_configuration(
        make_configuration(tenants=[{}, 5], services=[{}], limits="none")
    )
    assert len(decoded.skipped) == 4
    assert decoded.table.limits.body_bytes > 0


def test_unknown_fields_are_ignored():
    decoded = decode_configuration(make_configuration(coming="soon"))
    assert decoded.skipped == []


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b'{"version":"7"}', b"\xff\xfe"])
def test_a_malformed_configuration_is_rejected(value):
    with pytest.raises(DecodeError):
        decode_configuration(value)


def test_a_route_without_homes_may_say_so():
    """A route whose list of regions is null was skipped, and its callers got 404."""
    config = json.loads(make_configuration())
    config["routes"][0]["allowed_regions"] = None
    config["routes"][1]["allowed_regions"] = ["nord"]
    config["tenants"][0]["allowed_regions"] = ["nord", "sud"]
    config["services"][0] |= {"cold_per_s": 9.3, "cold_start_s": 9}
    table = decode_configuration(json.dumps(config).encode()).table
    assert table.find_route("books.example", "/index/a").homes == frozenset()
    assert table.find_route("books.example", "/record/a").homes == {"nord"}
    assert table.customers["plume"].homes == {"nord", "sud"}
    assert table.services["pool"].cold == (9.3, timedelta(seconds=9))
    assert table.services["ledger"].cold.rate == 0
