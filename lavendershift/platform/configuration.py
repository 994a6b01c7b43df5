"""Decoding of the operator's configuration into a ``RoutingTable``.

A route, service or customer with a field of a wrong type is skipped, and the rest of
the configuration is used; invalid limits are replaced by defaults. Descriptions of the
skipped entries are returned, to be logged.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Any, NamedTuple, TypeVar

import msgspec

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


class Decoded(NamedTuple):
    """A routing table, and descriptions of the entries that were skipped."""

    table: RoutingTable
    skipped: list[str]


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
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
    priority: int = 0
    service: str = ""
    traffic_split: list[_Share] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


class _Engine(msgspec.Struct):
    slots: int = 1
    kv_capacity_tokens: int = 0
    stride: int = 1  # maximum output tokens in one event of a stream


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 0
    engine: _Engine | None = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    prepaid: int | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[msgspec.Raw] = []
    services: list[msgspec.Raw] = []
    tenants: list[msgspec.Raw] = []
    limits: msgspec.Raw = msgspec.Raw(b"{}")


Wire = TypeVar("Wire")
Item = TypeVar("Item")


def decode_configuration(value: bytes) -> Decoded:
    """Decode a configuration; raises ``msgspec.MsgspecError`` if malformed."""
    config = msgspec.json.decode(value, type=_Config)
    skipped: list[str] = []
    limits = _decode_all([config.limits], _Limits, _make_limits, "limits", skipped)
    table = RoutingTable(
        config.version,
        _decode_all(config.routes, _Route, _make_route, "route", skipped),
        _decode_all(config.services, _Service, _make_service, "service", skipped),
        _decode_all(config.tenants, _Tenant, _make_customer, "customer", skipped),
        limits[0] if limits else CallerLimits(),
    )
    return Decoded(table, skipped)


def _decode_all(
    raws: list[msgspec.Raw],
    wire: type[Wire],
    make: Callable[[Wire], Item],
    noun: str,
    skipped: list[str],
) -> list[Item]:
    """Return the valid entries; descriptions of the others go to ``skipped``."""
    items = []
    for number, raw in enumerate(raws):
        try:
            items.append(make(msgspec.json.decode(raw, type=wire)))
        except (msgspec.MsgspecError, ValueError, OverflowError) as error:
            skipped.append(f"{noun} {number}: {error}")
    return items


def _make_limits(wire: _Limits) -> CallerLimits:
    return CallerLimits(
        wire.max_header_bytes,
        wire.max_body_bytes,
        timedelta(milliseconds=wire.header_timeout_ms),
        timedelta(milliseconds=wire.idle_timeout_ms),
    )


def _make_route(wire: _Route) -> Route:
    shares = tuple(ServiceShare(s.service, s.weight) for s in wire.traffic_split)
    if not shares:
        shares = (ServiceShare(wire.service, 1.0),)
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.path_prefix,
        shares=shares,
        repeat=_find_repeat(wire),
        is_stream=wire.kind == STREAMING,
        timeout=timedelta(milliseconds=wire.timeout_ms),
        target=timedelta(milliseconds=wire.target_latency_ms),
        urgency=wire.priority,
        max_attempts=max(wire.max_attempts, 1),
        is_public=wire.public,
    )


def _find_repeat(wire: _Route) -> Repeat:
    """Return how a route's requests may be retried; never for an unknown kind."""
    if wire.kind == SAFE:
        return Repeat.ALWAYS
    if wire.kind == STREAMING and wire.resumable:
        return Repeat.RESUME
    return Repeat.NEVER


def _make_service(wire: _Service) -> Service:
    engine = wire.engine
    if engine is None:
        return Service(wire.name, max_connections=wire.max_conns)
    return Service(
        wire.name,
        is_engine=True,
        slots=engine.slots,
        max_connections=wire.max_conns,
        tokens_per_event=max(engine.stride, 1),
        cache_tokens=engine.kv_capacity_tokens,
    )


def _make_customer(wire: _Tenant) -> Customer:
    return Customer(wire.name, frozenset(wire.api_keys), wire.prepaid, wire.priority)


def describe_fault(error: Any) -> str:
    """Format a decoding error for a log line."""
    return f"{type(error).__name__}: {error}"
