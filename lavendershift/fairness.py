"""Weighted fair sharing between customers.

Each customer has a virtual time, which advances by the cost of what it is
given divided by its weight; the customer with the least is served next. While
two customers both have requests waiting, the service they were given for
their weight differs by at most ``max_cost / weight`` of one plus that of the
other. Idling earns nothing: who comes back starts at the current virtual time.
"""

from collections.abc import Iterable

MAX_IDLE = 1024  # remembered customers before those that owe nothing are dropped


class FairShare:
    """The virtual times of the customers of one class of requests."""

    def __init__(self) -> None:
        self._now = 0.0
        self._times: dict[str, float] = {}

    def activate(self, customer: str) -> None:
        """Note that a customer without waiting requests has one again."""
        self._times[customer] = max(self._times.get(customer, 0.0), self._now)

    def choose(self, customers: Iterable[str]) -> str:
        """Return the customer to serve next, of at least one that wait."""
        return min(customers, key=lambda c: (self._times.get(c, 0.0), c))

    def charge(self, customer: str, cost: float, weight: float) -> None:
        """Note that ``customer`` was served at ``cost``."""
        start = max(self._times.get(customer, 0.0), 0.0)
        self._now = max(self._now, start)
        self._times[customer] = start + cost / max(weight, 1e-9)
        if len(self._times) > MAX_IDLE:
            self._times = {c: t for c, t in self._times.items() if t > self._now}
