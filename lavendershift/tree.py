"""Schema of the settings tree that operators publish changes to.

``TREE`` is the one table of all keys: where they may be set, their kinds,
ranges and defaults, and whether children inherit them. Publishing and folding
check values with the same function, so that they agree on what is valid::

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
MAX_PATH_SHOWN = 80  # characters of a faulty path that a reason quotes


class NodeKind(Enum):
    """What a node of the tree stands for; its path says which."""

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
KEY_OWNERS = (NodeKind.CUSTOMER, NodeKind.APPLICATION)
SERVERS = (NodeKind.SERVER,)
SERVICES = (NodeKind.SERVICE,)
VMS = (NodeKind.VM,)
MODELS = (NodeKind.MODEL,)


class TreeRow(NamedTuple):
    """One key of the tree and the kinds of nodes that may have it.

    A key without a default is required on each of its nodes. ``inherited``
    keys hold for all descendants that don't set them.
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


def _caller(
    key: str, rule: ValueRule, default: Any, unit: str, description: str
) -> TreeRow:
    """Return the row of a key that callers' nodes inherit."""
    return TreeRow(key, CALLERS, rule, default, unit, True, description)


def _own(
    key: str,
    nodes: tuple[NodeKind, ...],
    rule: ValueRule,
    default: Any,
    description: str,
    unit: str = "",
) -> TreeRow:
    """Return the row of a key that holds for its own node only."""
    return TreeRow(key, nodes, rule, default, unit, False, description)


TREE: tuple[TreeRow, ...] = (
    _caller(
        "budget", ValueRule("text"), "", "", "Prepaid budget that requests draw on."
    ),
    _caller("models", _NAMES, [], "", "Models allowed; empty for all."),
    _caller("services", _NAMES, [], "", "Services allowed; empty for all."),
    _caller(
        "requests_per_s",
        ValueRule("number", 0, 1_000_000),
        50.0,
        "requests/s",
        "Rate limit of one caller; 0 suspends it.",
    ),
    _caller(
        "concurrent_requests",
        ValueRule("integer", 0, 1_000_000),
        100,
        "requests",
        "Requests of one caller in flight at once.",
    ),
    _caller(
        "max_output_tokens",
        ValueRule("integer", 1, 10_000_000),
        4_096,
        "tokens",
        "Longest answer; also the limit where a request names none.",
    ),
    _caller(
        "priority",
        ValueRule("text", choices=("interactive", "batch")),
        "interactive",
        "",
        "Priority of requests that name none.",
    ),
    _caller(
        "deadline_ms",
        ValueRule("integer", 1, 604_800_000),
        120_000,
        "ms",
        "Deadline of requests that name none.",
    ),
    _caller(
        "weight",
        ValueRule("number", 0.001, 1_000),
        1.0,
        "",
        "Share of a customer under overload, relative to the others.",
    ),
    _caller(
        "hold_ahead_s",
        ValueRule("integer", 0, 604_800),
        3_600,
        "s",
        "Time without the log that a router's held tokens should last.",
    ),
    _caller(
        "hold_share",
        ValueRule("number", 0, 1),
        0.005,
        "",
        "Largest share of a budget's remainder that one router holds ahead.",
    ),
    _own(
        "api_key_hashes",
        KEY_OWNERS,
        ValueRule("digests"),
        [],
        "SHA-256 of each API key of this caller.",
    ),
    _own(
        "kind",
        SERVERS,
        ValueRule("text", choices=("engine", "service")),
        "engine",
        "Model engine or plain service.",
    ),
    _own(
        "address", SERVERS, ValueRule("address"), None, "Address of its HTTP interface."
    ),
    _own("failure_domain", SERVERS, _NAME, None, "Failure domain it runs in."),
    _own("models", SERVERS, _NAMES, [], "Models that an engine serves."),
    _own(
        "service",
        SERVERS,
        ValueRule("text"),
        "",
        "Service that a plain one belongs to.",
    ),
    _own(
        "capacity",
        SERVERS,
        ValueRule("integer", 1, 1_000_000),
        16,
        "Requests it can run at once.",
        "requests",
    ),
    _own("state", SERVERS, _STATE, "live", "A leaving server gets no new work."),
    _own(
        "fencing",
        SERVERS,
        ValueRule("text", choices=("ignored", "honoured")),
        "ignored",
        "Whether it refuses orders with an old fencing token.",
    ),
    _own(
        "non_repeatable",
        SERVICES,
        ValueRule("routes"),
        [],
        "Calls that run at most once.",
    ),
    _own(
        "price_tokens",
        SERVICES,
        ValueRule("integer", 0, MAX_TOKENS),
        0,
        "Price of one call.",
        "tokens",
    ),
    _own("address", VMS, ValueRule("address"), None, "Router's address for callers."),
    _own(
        "peer_address",
        VMS,
        ValueRule("endpoint"),
        None,
        "Router's address for the other processes.",
    ),
    _own("failure_domain", VMS, _NAME, None, "Failure domain it runs in."),
    _own("state", VMS, _STATE, "live", "A leaving VM is not offered to callers."),
    _own("alias_of", MODELS, ValueRule("text"), "", "Model that this name stands for."),
    _own(
        "max_context_tokens",
        MODELS,
        ValueRule("integer", 1, 100_000_000),
        32_768,
        "Longest prompt and answer together.",
        "tokens",
    ),
)

ROWS: dict[NodeKind, dict[str, TreeRow]] = {
    kind: {row.key: row for row in TREE if kind in row.nodes} for kind in NodeKind
}


def find_node_kind(path: str) -> NodeKind | None:
    """Return what the node at ``path`` stands for; ``None`` for a bad path."""
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
    """Return the row of ``key`` at ``path``, or why it may not be there."""
    kind = find_node_kind(path)
    if kind is None:
        forms = ", ".join(form for form in PATH_FORMS.values() if form != '""')
        shown = path[:MAX_PATH_SHOWN]
        return Failure(f"{shown!r} is no path of the tree (one of {forms})")
    row = ROWS[kind].get(key)
    if row is not None:
        return Success(row)
    shown = key[:MAX_PATH_SHOWN]
    homes = [home for home, rows in ROWS.items() if key in rows]
    if homes:
        allowed = ", ".join(PATH_FORMS[home] for home in homes)
        return Failure(f"key {shown!r} is not allowed here, only at {allowed}")
    nearest = suggest_name(shown, ROWS[kind])
    hint = f"; did you mean {nearest!r}?" if nearest else ""
    return Failure(f"unknown key {shown!r} for a {kind.value}{hint}")


def check_setting(setting: Setting) -> Result[Any, str]:
    """Return the value in its canonical type, or why it isn't valid.

    ``None`` stands for the removal of a value and is valid for every key.
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
    """Return how messages name a key, for example ``desks/rennes: weight``."""
    return f"{path or '(root)'}: {key}"
