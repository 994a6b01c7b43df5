"""Checks of a configuration before it is sent to the routers.

The routers skip invalid entries and use the rest, so that a mistake shows only in the
requests that it affects. These checks name errors, entries that can never match a
request, and limits that contradict each other::

    for finding in check_configuration(draft, in_force):
        print(finding)
"""

from collections.abc import Callable, Iterator, Sequence
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from lavendershift.routes import CallerLimits, Customer, Route, Service

# Smallest header limit that usual requests fit in, in bytes.
MIN_HEADER_BYTES = 1024


class Severity(Enum):
    """How serious a finding is."""

    ERROR = "error"
    WARNING = "warning"


class Finding(NamedTuple):
    """A problem of a configuration; ``place`` names the entry."""

    severity: Severity
    place: str
    text: str

    def __str__(self) -> str:
        return f"{self.severity.value}: {self.place}: {self.text}"


class Draft(NamedTuple):
    """The entries of a configuration, including those that others replace."""

    version: int
    routes: Sequence[Route] = ()
    services: Sequence[Service] = ()
    customers: Sequence[Customer] = ()
    limits: CallerLimits = CallerLimits()


Check = Callable[[Draft], Iterator[Finding]]
CHECKS: list[Check] = []


def register_check(check: Check) -> Check:
    """Register a check of a configuration."""
    CHECKS.append(check)
    return check


def check_configuration(draft: Draft, in_force: Draft | None = None) -> list[Finding]:
    """Return the findings in ``draft``, errors first.

    ``in_force`` is the configuration that it will replace.
    """
    findings = [finding for check in CHECKS for finding in check(draft)]
    if in_force is not None:
        findings += check_against(draft, in_force)
    return sorted(findings, key=lambda finding: finding.severity is not Severity.ERROR)


def check_against(draft: Draft, in_force: Draft) -> Iterator[Finding]:
    """Check a configuration against the one that it will replace."""
    if draft.version <= in_force.version:
        yield Finding(
            Severity.ERROR,
            "version",
            f"{draft.version} is not newer than {in_force.version}, which stays",
        )
    totals = {c.name: c.prepaid for c in in_force.customers if c.prepaid is not None}
    for customer in draft.customers:
        former = totals.get(customer.name)
        if former is None:
            continue
        if customer.prepaid is None:
            yield Finding(
                Severity.WARNING,
                f"customer {customer.name}",
                "has no prepaid total any more, so its requests aren't limited",
            )
        elif customer.prepaid < former:
            yield Finding(
                Severity.WARNING,
                f"customer {customer.name}",
                f"its prepaid total falls from {former} to {customer.prepaid}",
            )


@register_check
def check_names(draft: Draft) -> Iterator[Finding]:
    """Find entries of the same kind and name, of which one is used."""
    for noun, entries in (
        ("route", draft.routes),
        ("service", draft.services),
        ("customer", draft.customers),
    ):
        seen: set[str] = set()
        for entry in entries:
            if entry.name in seen:
                yield Finding(
                    Severity.ERROR,
                    f"{noun} {entry.name}",
                    "another entry has the same name",
                )
            seen.add(entry.name)


@register_check
def check_prefixes(draft: Draft) -> Iterator[Finding]:
    """Find routes that no request can match."""
    last = {(route.host, route.prefix): number for number, route in _count(draft)}
    for number, route in _count(draft):
        place = f"route {route.name}"
        if not route.host:
            yield Finding(Severity.ERROR, place, "no host, so nothing matches")
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield Finding(
                Severity.ERROR,
                place,
                f"the prefix {route.prefix!r} doesn't begin and end with a slash, "
                "so nothing matches",
            )
        winner = last[route.host, route.prefix]
        if winner != number:
            yield Finding(
                Severity.ERROR,
                place,
                f"route {draft.routes[winner].name} has the same host and prefix, "
                "so nothing matches",
            )


def _count(draft: Draft) -> Iterator[tuple[int, Route]]:
    yield from enumerate(draft.routes)


@register_check
def check_services(draft: Draft) -> Iterator[Finding]:
    """Find services that are missing, unused, or limited inconsistently."""
    known = {service.name for service in draft.services}
    used = {share.service for route in draft.routes for share in route.shares}
    for route in draft.routes:
        for share in route.shares:
            if share.service not in known:
                yield Finding(
                    Severity.ERROR,
                    f"route {route.name}",
                    f"the service {share.service!r} is not configured",
                )
            elif not share.weight:
                yield Finding(
                    Severity.WARNING,
                    f"route {route.name}",
                    f"the service {share.service} has the weight 0 and gets nothing",
                )
    for service in draft.services:
        place = f"service {service.name}"
        if service.name not in used:
            yield Finding(Severity.WARNING, place, "no route uses it")
        if 0 < service.max_connections < service.slots:
            yield Finding(
                Severity.WARNING,
                place,
                f"{service.max_connections} connections can't use {service.slots} "
                "slots",
            )


@register_check
def check_customers(draft: Draft) -> Iterator[Finding]:
    """Find customers that no request belongs to, or whose requests all fail."""
    owners: dict[str, str] = {}
    for customer in draft.customers:
        place = f"customer {customer.name}"
        if not customer.keys:
            yield Finding(Severity.WARNING, place, "no API key, so nothing matches")
        if "" in customer.keys:
            yield Finding(Severity.ERROR, place, "an empty API key never matches")
        for key in sorted(customer.keys):
            owner = owners.setdefault(key, customer.name)
            if owner != customer.name:
                yield Finding(
                    Severity.ERROR, place, f"customer {owner} has the same API key"
                )
        if customer.prepaid is not None and customer.prepaid < 0:
            yield Finding(Severity.ERROR, place, "the prepaid total is negative")


@register_check
def check_regions(draft: Draft) -> Iterator[Finding]:
    """Find customers that may use no region of a route."""
    for route in draft.routes:
        if not route.homes or route.is_public:
            continue
        excluded = [
            customer.name
            for customer in draft.customers
            if customer.homes and not customer.homes & route.homes
        ]
        if excluded:
            yield Finding(
                Severity.WARNING,
                f"route {route.name}",
                f"no region is allowed for the customers {', '.join(excluded)} too",
            )


@register_check
def check_timeouts(draft: Draft) -> Iterator[Finding]:
    """Find times of routes that contradict each other."""
    for route in draft.routes:
        place = f"route {route.name}"
        if route.timeout <= timedelta():
            yield Finding(Severity.ERROR, place, "no time, so all requests fail")
        elif route.target > route.timeout:
            yield Finding(
                Severity.WARNING,
                place,
                f"the target latency of {_format(route.target)} is longer than the "
                f"timeout of {_format(route.timeout)}",
            )


@register_check
def check_limits(draft: Draft) -> Iterator[Finding]:
    """Find limits on callers that contradict each other."""
    limits = draft.limits
    if limits.header_bytes < MIN_HEADER_BYTES:
        yield Finding(
            Severity.WARNING,
            "limits",
            f"headers of more than {limits.header_bytes} bytes are refused, "
            "which usual requests exceed",
        )
    if limits.body_bytes <= 0:
        yield Finding(Severity.WARNING, "limits", "all bodies are refused")
    for noun, time in (
        ("header", limits.header_timeout),
        ("idle", limits.idle_timeout),
    ):
        if time <= timedelta():
            yield Finding(Severity.ERROR, "limits", f"the {noun} timeout is zero")


def _format(duration: timedelta) -> str:
    return f"{duration / timedelta(milliseconds=1):g} ms"
