"""The table of all settings of the processes.

Each row gives a key's section, kind, range, default, unit and description. The
checks in ``lavendershift.settings``, the output of ``--print-defaults`` and the
page ``docs/SETTINGS.md`` are all derived from this table.
"""

from enum import Enum
from typing import Any, NamedTuple

from lavendershift.values import ValueRule


class Program(Enum):
    """A program that reads a settings file."""

    ROUTER = "router"
    RELAY = "relay"


BOTH = (Program.ROUTER, Program.RELAY)
ROUTER = (Program.ROUTER,)
RELAY = (Program.RELAY,)


class SettingRow(NamedTuple):
    """One key of the settings file; it is required if ``default`` is ``None``.

    ``unit`` is the unit of a number. The unit of a duration is also the last
    part of its key.
    """

    section: str
    key: str
    rule: ValueRule
    default: Any
    unit: str
    description: str
    programs: tuple[Program, ...] = BOTH


def _duration(low: float, high: float) -> ValueRule:
    """Return the rule of a duration in the key's unit."""
    return ValueRule("number", low, high)


def _count(low: int, high: int) -> ValueRule:
    """Return the rule of an integer."""
    return ValueRule("integer", low, high)


_NAME = ValueRule("name")
_TEXT = ValueRule("text")
_LEVELS = ("debug", "info", "notice", "warning", "error")

SETTINGS: tuple[SettingRow, ...] = (
    SettingRow("vm", "name", _NAME, None, "", "Name of this VM in the settings tree."),
    SettingRow("vm", "failure_domain", _NAME, None, "", "Failure domain of this VM."),
    SettingRow(
        "listen",
        "address",
        ValueRule("address"),
        None,
        "",
        "Address on which the router serves callers.",
        ROUTER,
    ),
    SettingRow(
        "listen",
        "peer_address",
        ValueRule("endpoint"),
        None,
        "",
        "Address on which the process serves the other processes of the fleet.",
    ),
    SettingRow(
        "listen",
        "tls_certificate",
        _TEXT,
        "",
        "",
        "PEM file with the certificate chain of the callers' address; empty for plain "
        "HTTP.",
        ROUTER,
    ),
    SettingRow(
        "listen",
        "tls_key",
        _TEXT,
        "",
        "",
        "PEM file with the private key of the certificate.",
        ROUTER,
    ),
    SettingRow(
        "log",
        "client",
        _NAME,
        "relay",
        "",
        "Registered log client, which connects to relays or to the log service.",
        ROUTER,
    ),
    SettingRow(
        "log",
        "client",
        _NAME,
        "http",
        "",
        "Registered log client, which connects to the log service.",
        RELAY,
    ),
    SettingRow(
        "log",
        "relays",
        ValueRule("endpoints"),
        [],
        "",
        "Relays in order of preference, starting with that of this VM.",
        ROUTER,
    ),
    SettingRow(
        "log",
        "url",
        ValueRule("url"),
        "http://127.0.0.1:7100",
        "",
        "URL of the platform's log service.",
    ),
    SettingRow(
        "log",
        "timeout_s",
        _duration(0.05, 60),
        2.0,
        "s",
        "Timeout of a call to the log.",
    ),
    SettingRow(
        "members",
        "url",
        ValueRule("url"),
        "http://127.0.0.1:7301",
        "",
        "URL of the platform's membership list.",
        ROUTER,
    ),
    SettingRow(
        "members",
        "poll_s",
        _duration(0.1, 60),
        2.0,
        "s",
        "Time between polls of the membership list.",
        ROUTER,
    ),
    SettingRow(
        "peers",
        "heartbeat_s",
        _duration(0.05, 60),
        1.0,
        "s",
        "Time between heartbeats to the other routers.",
        ROUTER,
    ),
    SettingRow(
        "peers",
        "lost_after_s",
        _duration(0.2, 600),
        5.0,
        "s",
        "Time without a heartbeat after which a router counts as unreachable from "
        "this one.",
        ROUTER,
    ),
    SettingRow(
        "peers",
        "evict_after_s",
        _duration(1, 86_400),
        60.0,
        "s",
        "Time without a heartbeat and off the membership list after which a router "
        "is evicted from the ledger.",
        ROUTER,
    ),
    SettingRow(
        "ledger",
        "shards",
        _count(1, 1_024),
        1,
        "streams",
        "Number of ledger streams; must be the same on all routers.",
        ROUTER,
    ),
    SettingRow(
        "ledger",
        "checkpoint_every",
        _count(100, 10_000_000),
        5_000,
        "records",
        "Number of records of a stream between two checkpoints.",
        ROUTER,
    ),
    SettingRow(
        "ledger",
        "checkpoint_interval_s",
        _duration(5, 86_400),
        600.0,
        "s",
        "Longest time between two checkpoints of a stream, even without new records; "
        "should be at most a third of the log's retention.",
        ROUTER,
    ),
    SettingRow(
        "ledger",
        "key_retention_h",
        _duration(1, 8_760),
        48.0,
        "h",
        "Time for which an Idempotency-Key is remembered.",
        ROUTER,
    ),
    SettingRow(
        "ledger",
        "holding_policy",
        _NAME,
        "adaptive",
        "",
        "Registered policy that decides how many tokens a router holds in advance.",
        ROUTER,
    ),
    SettingRow(
        "limits",
        "max_body_bytes",
        _count(1_024, 1 << 30),
        8 << 20,
        "bytes",
        "Largest request body.",
        ROUTER,
    ),
    SettingRow(
        "limits",
        "max_header_bytes",
        _count(1_024, 1 << 20),
        16 << 10,
        "bytes",
        "Largest request header.",
        ROUTER,
    ),
    SettingRow(
        "limits",
        "max_connections",
        _count(1, 100_000),
        2_000,
        "connections",
        "Largest number of open connections from callers.",
        ROUTER,
    ),
    SettingRow(
        "limits",
        "max_in_flight",
        _count(1, 100_000),
        1_000,
        "requests",
        "Largest number of requests in flight.",
        ROUTER,
    ),
    SettingRow(
        "limits",
        "caller_idle_s",
        _duration(1, 3_600),
        60.0,
        "s",
        "Time after which an idle connection from a caller is closed.",
        ROUTER,
    ),
    SettingRow(
        "limits",
        "max_buffered_bytes",
        _count(1_024, 1 << 30),
        1 << 20,
        "bytes",
        "Largest number of bytes of a response buffered for a caller that reads "
        "slowly.",
        ROUTER,
    ),
    SettingRow(
        "servers",
        "tls",
        ValueRule("boolean"),
        False,
        "",
        "Whether to connect to backend servers over TLS.",
        ROUTER,
    ),
    SettingRow(
        "servers",
        "tls_ca",
        _TEXT,
        "",
        "",
        "PEM file of the certificate authorities of the backend servers.",
        ROUTER,
    ),
    SettingRow(
        "servers",
        "connect_timeout_s",
        _duration(0.05, 60),
        1.0,
        "s",
        "Timeout of a connection to a backend server if another one can replace it.",
        ROUTER,
    ),
    SettingRow(
        "servers",
        "load_poll_s",
        _duration(0.1, 60),
        1.0,
        "s",
        "Time between polls of a backend server's load.",
        ROUTER,
    ),
    SettingRow(
        "servers",
        "routing_policy",
        _NAME,
        "affinity",
        "",
        "Registered policy that chooses a backend server.",
        ROUTER,
    ),
    SettingRow(
        "retries",
        "share",
        ValueRule("number", 0, 1),
        0.1,
        "retries per success",
        "Retries added to the retry budget by each successful request.",
        ROUTER,
    ),
    SettingRow(
        "retries",
        "burst",
        _count(0, 10_000),
        10,
        "retries",
        "Largest number of retries that the retry budget accumulates.",
        ROUTER,
    ),
    SettingRow(
        "shutdown",
        "drain_s",
        _duration(0, 86_400),
        600.0,
        "s",
        "Longest time to wait for requests in flight at a graceful shutdown.",
        ROUTER,
    ),
    SettingRow(
        "relay",
        "cache_records",
        _count(100, 10_000_000),
        50_000,
        "records",
        "Records of each stream cached in memory.",
        RELAY,
    ),
    SettingRow(
        "relay",
        "batch_ms",
        _duration(0, 1_000),
        5.0,
        "ms",
        "Time for which appends are collected into one batch.",
        RELAY,
    ),
    SettingRow(
        "metrics",
        "statsd",
        ValueRule("optional address"),
        "",
        "",
        "UDP address of the statsd server; empty to send nothing.",
    ),
    SettingRow(
        "logging",
        "path",
        _TEXT,
        "",
        "",
        "File to which log lines are written as JSON; empty for standard error.",
    ),
    SettingRow(
        "logging",
        "level",
        ValueRule("text", choices=_LEVELS),
        "info",
        "",
        "Lowest level of log lines that are written.",
    ),
    SettingRow(
        "plugins",
        "modules",
        ValueRule("names"),
        [],
        "",
        "Python modules whose register function is called at start.",
    ),
)
