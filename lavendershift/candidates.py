"""View of a backend server that is passed to routing policies."""

from typing import NamedTuple


class Candidate(NamedTuple):
    """Current state of a server that could take a request.

    ``in_flight`` counts this router's own requests, ``load`` is an estimate of
    the requests of all routers. This router may always use ``share`` requests of
    the capacity, so that a high load estimate never shuts it out. ``limit`` is
    the router's adaptive limit on its requests in flight. ``pending_tokens`` are
    the uncached prompt tokens of attempts that still wait for their first token,
    ``cached_tokens`` the leading prompt tokens expected in the prefix cache.
    ``slowness`` is the ratio of the server's times to first token to those of an
    idle server. ``takes_batch`` marks the servers that batch load is concentrated
    on; all routers choose the same ones.
    """

    name: str
    address: str
    same_domain: bool
    capacity: int
    limit: int
    share: float
    in_flight: int
    load: float
    pending_tokens: float
    cached_tokens: int
    slowness: float
    has_adapter: bool
    takes_batch: bool

    @property
    def has_capacity(self) -> bool:
        """Whether another request fits the limit and the capacity or share."""
        if self.in_flight >= self.limit:
            return False
        return self.load < self.capacity or self.in_flight < self.share
