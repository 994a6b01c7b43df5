"""Choice of the backend server for one attempt at a request.

Routing policies are plug-ins, filed under a name by
``register_routing_policy``. A policy is given the request and the candidates
that have room, and picks one::

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

GATHERED_SHARE = 0.75  # of a server that batch requests are gathered on
BATCH_SHARE = 0.12  # of the load that another may have to take a batch request


class RouteRequest(NamedTuple):
    """What routing has to know of a request.

    Either ``model`` or ``service`` is set. ``prefix`` comes from
    ``hash_prefix``, ``deadline`` is on the scale of ``Clock.elapsed``, and
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
    """The chosen server and the prompt tokens it is believed to hold."""

    server: str
    address: str
    cached_tokens: int


class RoutingPolicy(Protocol):
    """Picks one of at least one candidates."""

    def choose(
        self,
        request: RouteRequest,
        candidates: Sequence[Candidate],
    ) -> Candidate:
        """Return one of ``candidates``, all of which have room."""
        ...


RoutingPolicyFactory = Callable[[random.Random], RoutingPolicy]
ROUTING_POLICIES: dict[str, RoutingPolicyFactory] = {}


def register_routing_policy(
    name: str,
) -> Callable[[RoutingPolicyFactory], RoutingPolicyFactory]:
    """Return a decorator that files a routing policy under ``name``."""

    def register(factory: RoutingPolicyFactory) -> RoutingPolicyFactory:
        ROUTING_POLICIES[name] = factory
        return factory

    return register


def choose_server(
    policy: RoutingPolicy, pool: ServerPool, request: RouteRequest
) -> Result[Choice, ErrorKind]:
    """Choose a server for ``request``.

    Fails with ``NO_SERVER`` where no untried server is available, and with
    ``OVERLOADED`` where all of them are busy: the request may then wait in a
    ``RequestQueue``.
    """
    candidates = pool.list_candidates(
        request.model, request.service, request.prefix, request.adapter
    )
    untried = [c for c in candidates if c.name not in request.excluded]
    if not untried:
        return Failure(ErrorKind.NO_SERVER)
    roomy = [c for c in untried if has_room(c, request)]
    if not roomy:
        return Failure(ErrorKind.OVERLOADED)
    chosen = policy.choose(request, roomy)
    return Success(Choice(chosen.name, chosen.address, chosen.cached_tokens))


def has_room(candidate: Candidate, request: RouteRequest) -> bool:
    """Tell whether ``request`` may start on ``candidate`` now."""
    if not candidate.has_room:
        return False
    if request.priority != "batch" or request.is_urgent:
        return True
    share = GATHERED_SHARE if candidate.takes_batch else BATCH_SHARE
    return candidate.load < max(candidate.capacity * share, 1.0)
