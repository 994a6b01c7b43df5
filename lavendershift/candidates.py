"""What a routing policy is told of each server it may choose."""

from typing import NamedTuple


class Candidate(NamedTuple):
    """A server that could take a request, as it looks at this moment.

    ``in_flight`` counts this router's own requests, ``load`` everybody's by
    estimate; ``share`` of the capacity may always be used by this router, so
    that no router is shut out by estimates. ``pending_tokens`` are prompt
    tokens whose first token is still awaited, ``cached_tokens`` the leading
    prompt tokens believed to be in its prefix cache. ``slowness`` is the ratio
    of its first tokens to those of an idle server. ``takes_batch`` marks the
    servers that batch requests are gathered on, the same for all routers.
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
    def has_room(self) -> bool:
        """Whether it is below its limit and its estimated capacity."""
        if self.in_flight >= self.limit:
            return False
        return self.load < self.capacity or self.in_flight < self.share
