"""Choice of the backend server for one attempt at a request.

Routing policies are plug-ins, registered under a name by
``register_routing_policy``. A policy receives the request and the candidates
that have capacity for it, and returns one of them::

    @register_routing_policy("first")
    class FirstPolicy:
        def __init__(self, rng):
            pass

        def choose(self, request, candidates):
            return candidates[0]
"""

import random
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import NamedTuple, Protocol

from returns.result import Failure, Result, Success

from lavendershift.candidates import Candidate
from lavendershift.errors import ErrorKind
from lavendershift.servers import ServerPool

# Load at which a server that batch load is concentrated on takes no more batch
# requests, as a share of its capacity.
BATCH_SERVER_SHARE = 0.75
# Load at which any other server takes no more batch requests, as a share of its
# capacity; low, to leave these servers to interactive requests.
OTHER_SERVER_SHARE = 0.12


class RouteRequest(NamedTuple):
    """Properties of a request that decide where it can be routed.

    Either ``model`` or ``service`` is set. ``prefix`` holds the block hashes
    returned by ``hash_prefix``, ``deadline`` is a time of ``Clock.elapsed``, and
    ``excluded`` names the servers that were already tried. A batch request
    ``is_urgent`` when it has to start soon to meet its deadline.
    """

    model: str = ""
    service: str = ""
    prefix: tuple[str, ...] = ()
    prompt_tokens: int = 0
    max_tokens: int = 0
    priority: str = "interactive"
    deadline: timedelta | None = None
    excluded: frozenset[str] = frozenset()
    adapter: str = ""
    is_urgent: bool = False


class Choice(NamedTuple):
    """The chosen server and the prompt tokens expected in its prefix cache."""

    server: str
    address: str
    cached_tokens: int


class RoutingPolicy(Protocol):
    """Interface of a routing policy."""

    def choose(
        self,
        request: RouteRequest,
        candidates: Sequence[Candidate],
    ) -> Candidate:
        """Return one of ``candidates``: at least one, all with free capacity."""
        ...


RoutingPolicyFactory = Callable[[random.Random], RoutingPolicy]
ROUTING_POLICIES: dict[str, RoutingPolicyFactory] = {}


def register_routing_policy(
    name: str,
) -> Callable[[RoutingPolicyFactory], RoutingPolicyFactory]:
    """Return a decorator that registers a routing policy under ``name``."""

    def register(factory: RoutingPolicyFactory) -> RoutingPolicyFactory:
        ROUTING_POLICIES[name] = factory
        return factory

    return register


def choose_server(
    policy: RoutingPolicy, pool: ServerPool, request: RouteRequest
) -> Result[Choice, ErrorKind]:
    """Choose a server for ``request``.

    Fails with ``NO_SERVER`` if no untried server is available, and with
    ``OVERLOADED`` if all untried servers are busy. An overloaded request may wait
    in a ``RequestQueue``.
    """
    candidates = pool.list_candidates(
        request.model, request.service, request.prefix, request.adapter
    )
    untried = [c for c in candidates if c.name not in request.excluded]
    if not untried:
        return Failure(ErrorKind.NO_SERVER)
    with_capacity = [c for c in untried if may_start(c, request)]
    if not with_capacity:
        return Failure(ErrorKind.OVERLOADED)
    chosen = policy.choose(request, with_capacity)
    return Success(Choice(chosen.name, chosen.address, chosen.cached_tokens))


def may_start(candidate: Candidate, request: RouteRequest) -> bool:
    """Return whether ``request`` may start on ``candidate`` now.

    Batch requests that are not urgent are held to a share of the capacity.
    """
    if not candidate.has_capacity:
        return False
    if request.priority != "batch" or request.is_urgent:
        return True
    share = BATCH_SERVER_SHARE if candidate.takes_batch else OTHER_SERVER_SHARE
    return candidate.load < max(candidate.capacity * share, 1.0)
