"""Weighted fair sharing between customers.

Each customer has a virtual time, which advances by the cost of each request
served divided by the customer's weight. The customer with the smallest virtual
time is served next. While two customers both have requests queued, the service
that they received relative to their weights differs by at most the sum of
``max_cost / weight`` of the two. An idle customer accrues no credit: when it
has requests again, it starts at the current virtual time.
"""

from collections.abc import Iterable

# Number of stored virtual times above which those that are not ahead of the
# current virtual time are dropped; a customer without one is at the current time.
MAX_VIRTUAL_TIMES = 1024


class FairShare:
    """Virtual times of the customers of one class of requests."""

    def __init__(self) -> None:
        self._now = 0.0
        self._times: dict[str, float] = {}

    def activate(self, customer: str) -> None:
        """Raise a customer that has requests again to the current virtual time."""
        self._times[customer] = max(self._find_time(customer), self._now)

    def choose(self, customers: Iterable[str]) -> str:
        """Return the customer to serve next; ``customers`` must not be empty."""
        return min(customers, key=lambda c: (self._find_time(c), c))

    def charge(self, customer: str, cost: float, weight: float) -> None:
        """Advance the virtual time of ``customer`` by a request of ``cost``."""
        start = self._find_time(customer)
        self._now = max(self._now, start)
        self._times[customer] = start + cost / max(weight, 1e-9)
        if len(self._times) > MAX_VIRTUAL_TIMES:
            self._times = {c: t for c, t in self._times.items() if t > self._now}

    def _find_time(self, customer: str) -> float:
        return self._times.get(customer, self._now)
