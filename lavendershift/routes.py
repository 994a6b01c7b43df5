"""Routes of plain HTTP requests, with the services and customers they refer to.

A ``RoutingTable`` indexes one version of the configuration. A request matches the
route of its host with the longest prefix of the request's path::

    table = RoutingTable(7, routes, services, customers, limits)
    table.find_route("books.example", "/index/entries")
    table.find_customer("api-key")
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from lavendershift.evacuation.coldservers import ColdService


class Repeat(Enum):
    """Whether a request may be executed more than once."""

    ALWAYS = "always"
    NEVER = "never"
    RESUME = "resume"  # a stream that another server may continue


class ServiceShare(NamedTuple):
    """A service and the relative weight of its traffic on a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Settings for requests whose path begins with ``prefix``.

    ``timeout`` limits how long a caller waits. ``target`` is the latency that counts as
    good service: that of the complete response, or of the first event of a stream.
    ``urgency`` is a rank, 0 is the most urgent. ``max_attempts`` is the number of
    servers that may execute one request. ``homes`` are the regions whose servers may
    get it, all if there are none.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    repeat: Repeat
    is_stream: bool
    timeout: timedelta
    target: timedelta
    urgency: int = 0
    max_attempts: int = 1
    is_public: bool = False
    homes: frozenset[str] = frozenset()


class Service(NamedTuple):
    """A group of backend servers.

    ``tokens_per_event`` is the maximum number of output tokens in an event of its
    streams, and ``is_engine`` distinguishes model engines from plain services. ``cold``
    is what its servers take while they are cold.
    """

    name: str
    is_engine: bool = False
    slots: int = 1
    max_connections: int = 0
    tokens_per_event: int = 1
    cache_tokens: int = 0
    cold: ColdService = ColdService(0.0, timedelta())


class Customer(NamedTuple):
    """A customer; ``prepaid`` is its token budget, ``None`` if it has none.

    ``homes`` are the regions whose servers may get its requests, all if there are none.
    """

    name: str
    keys: frozenset[str]
    prepaid: int | None = None
    urgency: int | None = None
    homes: frozenset[str] = frozenset()


class CallerLimits(NamedTuple):
    """Limits on the size of requests, and timeouts of callers' connections."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


class RoutingTable:
    """One version of the configuration; version numbers only increase."""

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        customers: Iterable[Customer],
        limits: CallerLimits,
    ) -> None:
        self.version = version
        self.services: Mapping[str, Service] = {s.name: s for s in services}
        self.customers: Mapping[str, Customer] = {c.name: c for c in customers}
        self.limits = limits
        self.needs_keys = bool(self.customers)
        self._by_key = {k: c for c in self.customers.values() for k in c.keys}
        self._hosts: dict[str, dict[str, Route]] = {}
        urgencies = []
        for route in routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route
            if any(self._is_engine(share.service) for share in route.shares):
                urgencies.append(route.urgency)
        # Homes of the routes of each host, and of customers, whose hosts are unknown.
        self._homes: dict[str, list[frozenset[str]]] = {
            host: [route.homes for route in prefixes.values() if route.homes]
            for host, prefixes in self._hosts.items()
        }
        self._customer_homes = [c.homes for c in self.customers.values() if c.homes]
        self._most_urgent = min(urgencies, default=0)

    def count_routes(self) -> int:
        """Return the number of routes."""
        return sum(len(prefixes) for prefixes in self._hosts.values())

    def list_homes(self, host: str) -> list[frozenset[str]]:
        """Return the homes that requests for ``host`` may have."""
        return self._homes.get(host, []) + self._customer_homes

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``."""
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def _is_engine(self, service: str) -> bool:
        found = self.services.get(service)
        return found is not None and found.is_engine

    def is_urgent(self, route: Route) -> bool:
        """Whether no route to engines is more urgent.

        The urgency of customers is ignored, as each pays from its own budget.
        """
        return route.urgency <= self._most_urgent

    def find_customer(self, key: str) -> Customer | None:
        """Return the customer to which an API key belongs."""
        return self._by_key.get(key)
