"""Typed settings of the nodes of the settings tree.

Each type holds the active values of one node: those set on the node, inherited
values for callers, and defaults.
"""

from datetime import timedelta
from typing import Any, NamedTuple


class CallerSettings(NamedTuple):
    """Settings of the caller that owns an API key.

    ``path`` is the node that the key is set on, ``customer`` the path of its
    customer and ``application`` a name or empty. Empty ``models`` and
    ``services`` allow all; an empty ``budget`` allows no priced request.
    """

    path: str
    customer: str
    application: str
    budget: str
    models: frozenset[str]
    services: frozenset[str]
    requests_per_s: float
    concurrent_requests: int
    max_output_tokens: int
    priority: str
    deadline: timedelta
    weight: float
    hold_ahead: timedelta
    hold_share: float


class ServerSettings(NamedTuple):
    """Settings of one backend server, from node ``servers/<name>``."""

    name: str
    kind: str
    address: str
    failure_domain: str
    models: tuple[str, ...]
    service: str
    capacity: int
    state: str
    fencing: str


class ServiceSettings(NamedTuple):
    """Settings of one plain service, from node ``services/<name>``.

    ``non_repeatable`` lists calls as ``METHOD /path-prefix``.
    """

    name: str
    non_repeatable: tuple[str, ...]
    price_tokens: int

    def is_repeatable(self, method: str, path: str) -> bool:
        """Return whether a call may run more than once.

        A prefix matches whole path segments: ``/proofs`` matches ``/proofs/7``
        and ``/proofs?x=1``, but not ``/proofsheets``.
        """
        bare_path = path.partition("?")[0]
        for route in self.non_repeatable:
            route_method, _, prefix = route.partition(" ")
            prefix = prefix.rstrip("/")
            if route_method == method and (bare_path + "/").startswith(prefix + "/"):
                return False
        return True


class VmSettings(NamedTuple):
    """Settings of one VM that runs a router, from node ``vms/<name>``."""

    name: str
    address: str
    peer_address: str
    failure_domain: str
    state: str


class ModelSettings(NamedTuple):
    """Settings of one model, from node ``models/<name>``."""

    name: str
    alias_of: str
    max_context_tokens: int


def build_caller(path: str, values: dict[str, Any]) -> CallerSettings:
    """Return the settings of the caller at ``path`` from resolved values."""
    segments = path.split("/")
    return CallerSettings(
        path=path,
        customer="/".join(segments[:3]),
        application=segments[3] if len(segments) > 3 else "",
        budget=values["budget"],
        models=frozenset(values["models"]),
        services=frozenset(values["services"]),
        requests_per_s=values["requests_per_s"],
        concurrent_requests=values["concurrent_requests"],
        max_output_tokens=values["max_output_tokens"],
        priority=values["priority"],
        deadline=timedelta(milliseconds=values["deadline_ms"]),
        weight=values["weight"],
        hold_ahead=timedelta(seconds=values["hold_ahead_s"]),
        hold_share=values["hold_share"],
    )


def build_node(node_type: Any, name: str, values: dict[str, Any]) -> Any:
    """Return a ``node_type`` (server, service, VM or model) of resolved values."""
    fields = {
        key: tuple(value) if isinstance(value, list) else value
        for key, value in values.items()
    }
    return node_type(name=name, **fields)
