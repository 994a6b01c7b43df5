"""Pending token requests: the tokens that requests wait for, by customer.

Urgent requests are counted separately, as the last part of a total is reserved for
them::

    pending = PendingTokens()
    pending.add(TokenRequest("plume", 900, is_urgent=True))
    pending.add(TokenRequest("plume", 5000, is_urgent=False))
    assert pending.all["plume"] == 5900
"""

from collections import Counter
from datetime import timedelta
from typing import NamedTuple

URGENT_MEMORY = timedelta(seconds=60)  # longest gap in a customer's urgent requests


class TokenRequest(NamedTuple):
    """Tokens of one customer that one or more requests wait for."""

    customer: str
    tokens: int
    is_urgent: bool = True


class PendingTokens:
    """Tokens that ``all`` requests and the ``urgent`` ones wait for, by customer.

    A customer is expected to send urgent requests until none has arrived for
    ``URGENT_MEMORY``. The time of creation, ``now``, counts as the first arrival.
    """

    def __init__(self, now: timedelta = timedelta()) -> None:
        self._started = now
        self._urgent_at: dict[str, timedelta] = {}
        self.all: Counter[str] = Counter()
        self.urgent: Counter[str] = Counter()

    def note_arrival(self, request: TokenRequest, now: timedelta) -> None:
        """Record the arrival of a request at ``now``."""
        if request.is_urgent:
            self._urgent_at[request.customer] = now

    def expects_urgent(self, customer: str, now: timedelta) -> bool:
        """Return whether urgent requests of a customer are to be expected."""
        return now - self._urgent_at.get(customer, self._started) < URGENT_MEMORY

    def add(self, request: TokenRequest) -> None:
        """Add a request that waits for its tokens."""
        self.all[request.customer] += request.tokens
        if request.is_urgent:
            self.urgent[request.customer] += request.tokens

    def remove(self, request: TokenRequest) -> None:
        """Remove a request that no longer waits."""
        self.add(request._replace(tokens=-request.tokens))

    def count_missing(self, customer: str, free: int) -> int:
        """Return the tokens that requests wait for beyond the ``free`` ones."""
        return max(self.all[customer] - free, 0)

    def can_take(self, request: TokenRequest, free: int) -> bool:
        """Return whether a request may take its tokens from the ``free`` ones.

        Tokens that urgent requests wait for are withheld from other requests.
        """
        withheld = 0 if request.is_urgent else self.urgent[request.customer]
        return free - withheld >= request.tokens
