"""Tokens that requests wait for, by customer.

Urgent requests are counted apart, as the last part of a total is kept for
them::

    needs = TokenNeeds()
    needs.add(Need("plume", 900, is_urgent=True))
    needs.add(Need("plume", 5000, is_urgent=False))
    assert needs.all["plume"] == 5900
"""

from collections import Counter
from datetime import timedelta
from typing import NamedTuple

URGENT_MEMORY = timedelta(seconds=60)  # in which a customer's next urgent one comes


class TokenRequest(NamedTuple):
    """The tokens of one customer that one request, or several, wait for."""

    customer: str
    tokens: int
    is_urgent: bool = True


class TokenNeeds:
    """What requests wait for: ``all`` of them, and the ``urgent`` ones.

    Each customer is taken to have urgent requests until none came for a while.
    """

    def __init__(self, now: timedelta = timedelta()) -> None:
        self._started = now
        self._urgent_at: dict[str, timedelta] = {}
        self.all: Counter[str] = Counter()
        self.urgent: Counter[str] = Counter()

    def note(self, need: TokenRequest, now: timedelta) -> None:
        """Note a request that came at ``now``."""
        if need.is_urgent:
            self._urgent_at[need.customer] = now

    def expects_urgent(self, customer: str, now: timedelta) -> bool:
        """Whether urgent requests of a customer are to be expected."""
        return now - self._urgent_at.get(customer, self._started) < URGENT_MEMORY

    def add(self, need: TokenRequest) -> None:
        """Note that tokens are waited for."""
        self.all[need.customer] += need.tokens
        if need.is_urgent:
            self.urgent[need.customer] += need.tokens

    def drop(self, need: TokenRequest) -> None:
        """Note that tokens are waited for no longer."""
        self.add(need._replace(tokens=-need.tokens))

    def count_missing(self, customer: str, free: int) -> int:
        """Return the tokens that are waited for beyond the ``free`` ones."""
        return max(self.all[customer] - free, 0)

    def leave(self, need: TokenRequest, free: int) -> bool:
        """Whether a request may take its tokens of the ``free`` ones.

        What urgent requests wait for is not taken by others meanwhile.
        """
        spoken_for = 0 if need.is_urgent else self.urgent[need.customer]
        return free - spoken_for >= need.tokens
