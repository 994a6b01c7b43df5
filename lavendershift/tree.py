"""Schema of the settings tree, which operators change by publishing records.

``TREE`` lists all keys: the kinds of nodes that may have them, their value
kinds, ranges and defaults, and whether child nodes inherit them. Operators'
commands and the readers of the stream check values with the same function, so
that they agree on what is valid::

    >>> check_setting(Setting("desks/rennes", "wieght", 2.0))
    <Failure: unknown key 'wieght' for a desk; did you mean 'weight'?>
"""

import re
from enum import Enum
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from lavendershift.records import Setting
from lavendershift.values import MAX_NUMBER, ValueRule, check_value, suggest_name

ROOT_PATH = ""
SEGMENT = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
MAX_TOKENS = MAX_NUMBER
MAX_PATH_SHOWN = 80  # characters of an invalid path or key quoted in a reason


class NodeKind(Enum):
    """Kind of object that a node of the tree describes; its path determines it."""

    ROOT = "root"
    DESK = "desk"
    CUSTOMER = "customer"
    APPLICATION = "application"
    SERVER = "server"
    SERVICE = "service"
    VM = "VM"
    MODEL = "model"


PATH_FORMS: dict[NodeKind, str] = {
    NodeKind.ROOT: '""',
    NodeKind.DESK: "desks/DESK",
    NodeKind.CUSTOMER: "desks/DESK/CUSTOMER",
    NodeKind.APPLICATION: "desks/DESK/CUSTOMER/APPLICATION",
    NodeKind.SERVER: "servers/NAME",
    NodeKind.SERVICE: "services/NAME",
    NodeKind.VM: "vms/NAME",
    NodeKind.MODEL: "models/NAME",
}

NODE_KINDS: dict[tuple[str, int], NodeKind] = {
    ("desks", 2): NodeKind.DESK,
    ("desks", 3): NodeKind.CUSTOMER,
    ("desks", 4): NodeKind.APPLICATION,
    ("servers", 2): NodeKind.SERVER,
    ("services", 2): NodeKind.SERVICE,
    ("vms", 2): NodeKind.VM,
    ("models", 2): NodeKind.MODEL,
}

CALLERS = (NodeKind.ROOT, NodeKind.DESK, NodeKind.CUSTOMER, NodeKind.APPLICATION)
API_KEY_OWNERS = (NodeKind.CUSTOMER, NodeKind.APPLICATION)
SERVERS = (NodeKind.SERVER,)
SERVICES = (NodeKind.SERVICE,)
VMS = (NodeKind.VM,)
MODELS = (NodeKind.MODEL,)


class TreeRow(NamedTuple):
    """One key of the tree and the kinds of nodes that may have it.

    A key whose default is ``None`` is required on each of its nodes. The value
    of an ``inherited`` key applies to all descendants that don't set the key.
    """

    key: str
    nodes: tuple[NodeKind, ...]
    rule: ValueRule
    default: Any
    unit: str
    inherited: bool
    description: str


_NAME = ValueRule("name")
_NAMES = ValueRule("names")
_STATE = ValueRule("text", choices=("live", "leaving"))


def _inherited_row(
    key: str, rule: ValueRule, default: Any, unit: str, description: str
) -> TreeRow:
    """Return the row of a key that callers' nodes inherit from their parents."""
    return TreeRow(key, CALLERS, rule, default, unit, True, description)


def _local_row(
    key: str,
    nodes: tuple[NodeKind, ...],
    rule: ValueRule,
    default: Any,
    description: str,
    unit: str = "",
) -> TreeRow:
    """Return the row of a key that applies only to the node it is set on."""
    return TreeRow(key, nodes, rule, default, unit, False, description)


TREE: tuple[TreeRow, ...] = (
    _inherited_row(
        "budget", ValueRule("text"), "", "", "Prepaid budget that requests draw on."
    ),
    _inherited_row("models", _NAMES, [], "", "Models allowed; empty for all."),
    _inherited_row("services", _NAMES, [], "", "Services allowed; empty for all."),
    _inherited_row(
        "requests_per_s",
        ValueRule("number", 0, 1_000_000),
        50.0,
        "requests/s",
        "Rate limit of one caller; 0 suspends it.",
    ),
    _inherited_row(
        "concurrent_requests",
        ValueRule("integer", 0, 1_000_000),
        100,
        "requests",
        "Requests of one caller in flight at once.",
    ),
    _inherited_row(
        "max_output_tokens",
        ValueRule("integer", 1, 10_000_000),
        4_096,
        "tokens",
        "Largest number of output tokens of a request, and the default if it sets "
        "none.",
    ),
    _inherited_row(
        "priority",
        ValueRule("text", choices=("interactive", "batch")),
        "interactive",
        "",
        "Priority of requests that set none.",
    ),
    _inherited_row(
        "deadline_ms",
        ValueRule("integer", 1, 604_800_000),
        120_000,
        "ms",
        "Deadline of requests that set none.",
    ),
    _inherited_row(
        "weight",
        ValueRule("number", 0.001, 1_000),
        1.0,
        "",
        "Weight of a customer in the division of capacity under overload.",
    ),
    _inherited_row(
        "hold_ahead_s",
        ValueRule("integer", 0, 604_800),
        3_600,
        "s",
        "Time for which a router's held tokens should last while the log is "
        "unreachable.",
    ),
    _inherited_row(
        "hold_share",
        ValueRule("number", 0, 1),
        0.005,
        "",
        "Largest share of a budget's remaining tokens that one router holds in "
        "advance.",
    ),
    _local_row(
        "api_key_hashes",
        API_KEY_OWNERS,
        ValueRule("digests"),
        [],
        "SHA-256 of each API key of this caller.",
    ),
    _local_row(
        "kind",
        SERVERS,
        ValueRule("text", choices=("engine", "service")),
        "engine",
        "Whether the server is a model engine or a plain service.",
    ),
    _local_row(
        "address",
        SERVERS,
        ValueRule("address"),
        None,
        "Address of the server's HTTP interface.",
    ),
    _local_row("failure_domain", SERVERS, _NAME, None, "Failure domain of the server."),
    _local_row("models", SERVERS, _NAMES, [], "Models that an engine serves."),
    _local_row(
        "service",
        SERVERS,
        ValueRule("text"),
        "",
        "Service that the server provides if its kind is `service`.",
    ),
    _local_row(
        "capacity",
        SERVERS,
        ValueRule("integer", 1, 1_000_000),
        16,
        "Requests that the server can run concurrently.",
        "requests",
    ),
    _local_row(
        "state", SERVERS, _STATE, "live", "A leaving server gets no new requests."
    ),
    _local_row(
        "fencing",
        SERVERS,
        ValueRule("text", choices=("ignored", "honoured")),
        "ignored",
        "Whether the server refuses orders with an outdated fencing token.",
    ),
    _local_row(
        "non_repeatable",
        SERVICES,
        ValueRule("routes"),
        [],
        "Calls that must not run more than once.",
    ),
    _local_row(
        "price_tokens",
        SERVICES,
        ValueRule("integer", 0, MAX_TOKENS),
        0,
        "Price of one call.",
        "tokens",
    ),
    _local_row(
        "address", VMS, ValueRule("address"), None, "Address of the router for callers."
    ),
    _local_row(
        "peer_address",
        VMS,
        ValueRule("endpoint"),
        None,
        "Address of the router for the other processes.",
    ),
    _local_row("failure_domain", VMS, _NAME, None, "Failure domain of the VM."),
    _local_row("state", VMS, _STATE, "live", "A leaving VM is not offered to callers."),
    _local_row(
        "alias_of",
        MODELS,
        ValueRule("text"),
        "",
        "Model that this name is an alias of; empty for a model of its own.",
    ),
    _local_row(
        "max_context_tokens",
        MODELS,
        ValueRule("integer", 1, 100_000_000),
        32_768,
        "Largest number of prompt and output tokens together.",
        "tokens",
    ),
)

ROWS: dict[NodeKind, dict[str, TreeRow]] = {
    kind: {row.key: row for row in TREE if kind in row.nodes} for kind in NodeKind
}


def find_node_kind(path: str) -> NodeKind | None:
    """Return the kind of the node at ``path``; ``None`` for an invalid path."""
    if path == ROOT_PATH:
        return NodeKind.ROOT
    segments = path.split("/")
    if not all(SEGMENT.fullmatch(segment) for segment in segments):
        return None
    return NODE_KINDS.get((segments[0], len(segments)))


def list_ancestors(path: str) -> list[str]:
    """Return ``path`` and the nodes it inherits from, the root last."""
    if find_node_kind(path) not in CALLERS:
        return [path]
    segments = path.split("/")
    paths = ["/".join(segments[:count]) for count in range(len(segments), 1, -1)]
    return [*paths, ROOT_PATH]


def find_row(path: str, key: str) -> Result[TreeRow, str]:
    """Return the row of ``key`` at ``path``, or why it is not allowed there."""
    kind = find_node_kind(path)
    if kind is None:
        forms = ", ".join(form for form in PATH_FORMS.values() if form != '""')
        shown = path[:MAX_PATH_SHOWN]
        return Failure(f"{shown!r} is no path of the tree (one of {forms})")
    row = ROWS[kind].get(key)
    if row is not None:
        return Success(row)
    shown = key[:MAX_PATH_SHOWN]
    kinds = [other for other, rows in ROWS.items() if key in rows]
    if kinds:
        allowed = ", ".join(PATH_FORMS[other] for other in kinds)
        return Failure(f"key {shown!r} is not allowed here, only at {allowed}")
    nearest = suggest_name(shown, ROWS[kind])
    hint = f"; did you mean {nearest!r}?" if nearest else ""
    return Failure(f"unknown key {shown!r} for a {kind.value}{hint}")


def check_setting(setting: Setting) -> Result[Any, str]:
    """Return the value in its canonical type, or why it is invalid.

    ``None`` removes a value and is valid for every key.
    """
    match find_row(setting.path, setting.key):
        case Failure(reason):
            return Failure(reason)
        case Success(row):
            if setting.value is None:
                return Success(None)
            return check_value(row.rule, setting.value)
    raise AssertionError("a result is a success or a failure")


def format_place(path: str, key: str) -> str:
    """Return the name of a key in messages, for example ``desks/rennes: weight``."""
    return f"{path or '(root)'}: {key}"
