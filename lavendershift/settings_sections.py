"""Typed settings of the processes, one ``NamedTuple`` for each section.

The fields are the keys of ``lavendershift.settings_table``. A duration's field
lacks the unit at the end of the key, and an optional address or path is ``None``
if the key's value is empty.
"""

from datetime import timedelta
from pathlib import Path
from typing import NamedTuple

from lavendershift.values import Address


class VmSection(NamedTuple):
    """The VM that the process runs on."""

    name: str
    failure_domain: str


class ListenSection(NamedTuple):
    """Addresses on which the router listens; no TLS without a certificate."""

    address: Address
    peer_address: str
    tls_certificate: Path | None
    tls_key: Path | None


class RelayListenSection(NamedTuple):
    """Address on which the relay listens."""

    peer_address: str


class LogSection(NamedTuple):
    """The router's connection to the log service."""

    client: str
    relays: list[str]
    url: str
    timeout: timedelta


class RelayLogSection(NamedTuple):
    """The relay's connection to the log service."""

    client: str
    url: str
    timeout: timedelta


class MembersSection(NamedTuple):
    """The platform's membership list."""

    url: str
    poll: timedelta


class PeersSection(NamedTuple):
    """Heartbeats between routers."""

    heartbeat: timedelta
    lost_after: timedelta
    evict_after: timedelta


class LedgerSection(NamedTuple):
    """The ledger streams."""

    shards: int
    checkpoint_every: int
    checkpoint_interval: timedelta
    key_retention: timedelta
    holding_policy: str


class LimitsSection(NamedTuple):
    """Limits on the resources that callers can occupy in the router."""

    max_body_bytes: int
    max_header_bytes: int
    max_connections: int
    max_in_flight: int
    caller_idle: timedelta
    max_buffered_bytes: int


class ServersSection(NamedTuple):
    """Connections to backend servers, and routing among them."""

    tls: bool
    tls_ca: Path | None
    connect_timeout: timedelta
    load_poll: timedelta
    routing_policy: str


class RetriesSection(NamedTuple):
    """The retry budget."""

    share: float
    burst: int


class ShutdownSection(NamedTuple):
    """The graceful shutdown."""

    drain: timedelta


class RelaySection(NamedTuple):
    """The relay's cache and batches."""

    cache_records: int
    batch: timedelta


class MetricsSection(NamedTuple):
    """The statsd server; ``None`` to send no metrics."""

    statsd: Address | None


class LoggingSection(NamedTuple):
    """The log of the process; written to standard error if ``path`` is ``None``."""

    path: Path | None
    level: str


class PluginsSection(NamedTuple):
    """Plug-in modules to load."""

    modules: list[str]


class RouterSettings(NamedTuple):
    """All settings of a router."""

    vm: VmSection
    listen: ListenSection
    log: LogSection
    members: MembersSection
    peers: PeersSection
    ledger: LedgerSection
    limits: LimitsSection
    servers: ServersSection
    retries: RetriesSection
    shutdown: ShutdownSection
    metrics: MetricsSection
    logging: LoggingSection
    plugins: PluginsSection


class RelaySettings(NamedTuple):
    """All settings of a relay."""

    vm: VmSection
    listen: RelayListenSection
    log: RelayLogSection
    relay: RelaySection
    metrics: MetricsSection
    logging: LoggingSection
    plugins: PluginsSection
