"""Decoding of the operator's configuration into a ``RoutingTable``.

A route, service or customer with a field of a wrong type is skipped, and the rest of
the configuration is used; an invalid limit is replaced by its default. Descriptions of
the skipped entries are returned, to be logged.
"""

import contextlib
from collections.abc import Iterator
from datetime import timedelta
from typing import NamedTuple, TypeVar

import msgspec

from lavendershift.configurationchecks import (
    Draft,
    Finding,
    Severity,
    check_configuration,
)
from lavendershift.decoding import (
    MAX_DEPTH,
    MAX_RATE,
    Count,
    Integer,
    decode_json,
    make_duration,
    prune_depth,
    run_decoder,
)
from lavendershift.errors import DecodeError
from lavendershift.evacuation.coldservers import ColdService
from lavendershift.routes import (
    CallerLimits,
    Customer,
    Repeat,
    Route,
    RoutingTable,
    Service,
    ServiceShare,
)

STREAMING = "streaming"
SAFE = "safe"
KINDS = frozenset({STREAMING, SAFE, "unsafe"})
MAX_WEIGHT = 1e9  # largest weight of a service, so that their sum is finite
MAX_CONFIGURATION_BYTES = 4_194_304


class Decoded(NamedTuple):
    """A routing table, and descriptions of the entries that were skipped."""

    table: RoutingTable
    skipped: list[str]


class _Limits(msgspec.Struct):
    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Share(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    priority: Integer = 0
    service: str = ""
    traffic_split: list[_Share] = []
    max_attempts: Integer = 1
    public: bool = False
    resumable: bool = False
    allowed_regions: list[str] | None = None


class _Engine(msgspec.Struct):
    slots: Integer = 1
    kv_capacity_tokens: Integer = 0
    stride: Integer = 1  # maximum output tokens in one event of a stream


class _Service(msgspec.Struct):
    name: str
    max_conns: Integer = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: _Engine | None = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: Integer | None = None
    prepaid: Integer | None = None
    allowed_regions: list[str] | None = None


class _Config(msgspec.Struct):
    """A configuration whose entries are decoded one by one."""

    version: Count
    routes: list[msgspec.Raw] = []
    services: list[msgspec.Raw] = []
    tenants: list[msgspec.Raw] = []
    limits: msgspec.Raw = msgspec.Raw(b"{}")


class _ValidConfig(msgspec.Struct):
    """A configuration whose entries are all valid, which takes less time to decode."""

    version: Count
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: msgspec.Raw = msgspec.Raw(b"{}")


Wire = TypeVar("Wire")


def decode_configuration(value: bytes) -> Decoded:
    """Decode a configuration; raises ``DecodeError`` if malformed."""
    draft, skipped = decode_draft(value)
    return Decoded(RoutingTable(*draft), skipped)


def decode_draft(value: bytes) -> tuple[Draft, list[str]]:
    """Return the valid entries, and descriptions of the others, which are skipped."""
    skipped: list[str] = []
    pruned = prune_depth(value)
    if pruned is not value:
        skipped.append(f"values nested more than {MAX_DEPTH} levels deep")
    config = _decode_valid(pruned, skipped)
    draft = Draft(
        config.version,
        [_make_route(route) for route in config.routes],
        [_make_service(service) for service in config.services],
        [_make_customer(customer) for customer in config.tenants],
        _make_limits(_decode_limits(config.limits, skipped)),
    )
    return draft, skipped


def _decode_valid(data: bytes, skipped: list[str]) -> _ValidConfig:
    """Decode a configuration, nested as deep as allowed, without invalid entries."""
    if len(data) <= MAX_CONFIGURATION_BYTES:
        with contextlib.suppress(DecodeError):  # of an invalid entry, found below
            return run_decoder(
                lambda: msgspec.json.decode(data, type=_ValidConfig), "configuration"
            )
    config = decode_json(data, _Config, "configuration", MAX_CONFIGURATION_BYTES)
    return _ValidConfig(
        config.version,
        _decode_all(config.routes, _Route, "route", skipped),
        _decode_all(config.services, _Service, "service", skipped),
        _decode_all(config.tenants, _Tenant, "customer", skipped),
        config.limits,
    )


def _decode_all(
    raws: list[msgspec.Raw],
    wire: type[Wire],
    noun: str,
    skipped: list[str],
) -> list[Wire]:
    """Return the valid entries; descriptions of the others go to ``skipped``."""
    items = []
    for number, raw in enumerate(raws):
        try:
            items.append(decode_json(raw, wire, f"{noun} {number}"))
        except DecodeError as error:
            skipped.append(str(error))
    return items


def _decode_limits(raw: msgspec.Raw, skipped: list[str]) -> _Limits:
    """Return the limits; invalid ones have their default values."""
    limits = _Limits()
    try:
        values = decode_json(raw, dict[str, msgspec.Raw], "limits")
    except DecodeError as error:
        skipped.append(str(error))
        return limits
    for field in msgspec.structs.fields(_Limits):
        if field.name not in values:
            continue
        location = f"limits.{field.name}"
        try:
            value = decode_json(values[field.name], field.type, location)
        except DecodeError as error:
            skipped.append(str(error))
        else:
            setattr(limits, field.name, value)
    return limits


def _make_limits(wire: _Limits) -> CallerLimits:
    return CallerLimits(
        wire.max_header_bytes,
        wire.max_body_bytes,
        _make_timeout(wire.header_timeout_ms),
        _make_timeout(wire.idle_timeout_ms),
    )


def _make_timeout(milliseconds: float) -> timedelta:
    return make_duration(milliseconds / 1000)


def _make_route(wire: _Route) -> Route:
    shares = tuple(
        ServiceShare(s.service, min(max(s.weight, 0.0), MAX_WEIGHT))
        for s in wire.traffic_split
    )
    if shares and not any(share.weight for share in shares):
        # No service can be drawn by weights of 0.
        shares = tuple(share._replace(weight=1.0) for share in shares)
    if not shares:
        shares = (ServiceShare(wire.service, 1.0),)
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.path_prefix,
        shares=shares,
        repeat=_find_repeat(wire),
        is_stream=wire.kind == STREAMING,
        timeout=_make_timeout(wire.timeout_ms),
        target=_make_timeout(wire.target_latency_ms),
        urgency=wire.priority,
        max_attempts=max(wire.max_attempts, 1),
        is_public=wire.public,
        homes=frozenset(wire.allowed_regions or ()),
    )


def check_draft(value: bytes, in_force: Draft | None) -> tuple[Draft, list[Finding]]:
    """Check a configuration; raises ``DecodeError`` if nothing of it can be used."""
    draft, skipped = decode_draft(value)
    findings = [
        Finding(Severity.ERROR, "configuration", f"{text}; the entry is skipped")
        for text in skipped
    ]
    for route in _decode_valid(prune_depth(value), []).routes:
        findings += _check_route(route)
    return draft, findings + check_configuration(draft, in_force)


def _check_route(wire: _Route) -> Iterator[Finding]:
    """Find values of a route that are replaced, or have no effect."""
    place = f"route {wire.name}"
    if wire.kind not in KINDS:
        text = f"the kind {wire.kind!r} is unknown, so its requests are never repeated"
        yield Finding(Severity.ERROR, place, text)
    if wire.resumable and wire.kind != STREAMING:
        text = "resumable has no effect on a route that doesn't stream"
        yield Finding(Severity.WARNING, place, text)
    if wire.max_attempts < 1:
        yield Finding(Severity.WARNING, place, "max_attempts below 1 counts as 1")
    if wire.service and wire.traffic_split:
        text = f"service {wire.service!r} has no effect beside traffic_split"
        yield Finding(Severity.WARNING, place, text)
    if any(share.weight < 0 for share in wire.traffic_split):
        yield Finding(Severity.ERROR, place, "a weight is negative and counts as 0")


def _find_repeat(wire: _Route) -> Repeat:
    """Return how a route's requests may be retried; never for an unknown kind."""
    if wire.kind == SAFE:
        return Repeat.ALWAYS
    if wire.kind == STREAMING and wire.resumable:
        return Repeat.RESUME
    return Repeat.NEVER


def _make_service(wire: _Service) -> Service:
    engine = wire.engine
    cold = ColdService(
        min(max(wire.cold_per_s, 0.0), MAX_RATE), make_duration(wire.cold_start_s)
    )
    if engine is None:
        return Service(wire.name, max_connections=wire.max_conns, cold=cold)
    return Service(
        wire.name,
        is_engine=True,
        slots=engine.slots,
        max_connections=wire.max_conns,
        tokens_per_event=max(engine.stride, 1),
        cache_tokens=engine.kv_capacity_tokens,
        cold=cold,
    )


def _make_customer(wire: _Tenant) -> Customer:
    return Customer(
        wire.name,
        frozenset(wire.api_keys),
        wire.prepaid,
        wire.priority,
        frozenset(wire.allowed_regions or ()),
    )
