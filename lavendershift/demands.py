"""How a customer's limits are divided among the routers that it uses.

Each router tells its peers, with its heartbeats, how many requests per second
each customer offers it, and enforces the part of a limit that its own demand
is of the whole. A customer that uses one router gets its whole limit there,
and one that uses all of them evenly an even part at each::

    demands = Demands(clock)
    demands.note_request("desks/rennes/plume")
    demands.find_share("desks/rennes/plume", floor=0.1)

Routers that cannot hear each other each take the whole for theirs. Limits
divide capacity fairly; it is the ledger alone that protects the budgets.
"""

import math
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.messages import CustomerDemand

WINDOW = timedelta(seconds=3)  # over which demand is averaged
PEER_LIFETIME = timedelta(seconds=5)  # of what a peer told
MAX_REPORTED = 64  # customers in one heartbeat, the busiest ones
MIN_REPORTED_RATE = 0.05  # requests per second


class _Rate(NamedTuple):
    requests_per_s: float
    updated: timedelta


class _PeerReport(NamedTuple):
    rates: Mapping[str, float]
    received_at: timedelta


class DemandTracker:
    """The demand of each customer, here and as the peers tell of it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own: dict[str, _Rate] = {}
        self._peer_reports: dict[str, _PeerReport] = {}

    def record_request(self, customer: str) -> None:
        """Note a request that a customer offered, admitted or not."""
        now = self._clock.elapsed()
        rate = self._find_own(customer, now) + 1 / WINDOW.total_seconds()
        self._own[customer] = _Rate(rate, now)

    def record_peer_report(self, vm: str, demands: Iterable[CustomerDemand]) -> None:
        """Note what a peer's heartbeat told."""
        rates = {demand.customer: demand.requests_per_s for demand in demands}
        self._peer_reports[vm] = _PeerReport(rates, self._clock.elapsed())

    def list_demands(self) -> list[CustomerDemand]:
        """Return the busiest customers here, for one's own heartbeat.

        Forgets those whose demand has faded.
        """
        now = self._clock.elapsed()
        rates = {customer: self._find_own(customer, now) for customer in self._own}
        self._own = {
            c: self._own[c] for c, rate in rates.items() if rate >= MIN_REPORTED_RATE
        }
        busiest = sorted(self._own, key=lambda customer: -rates[customer])
        return [CustomerDemand(c, round(rates[c], 2)) for c in busiest[:MAX_REPORTED]]

    def find_demand_share(self, customer: str, floor: float) -> float:
        """Return the part of a customer's limits to enforce, at least ``floor``."""
        now = self._clock.elapsed()
        others = sum(
            report.rates.get(customer, 0.0)
            for report in self._peer_reports.values()
            if now - report.received_at <= PEER_LIFETIME
        )
        if not others:
            return 1.0
        own = self._find_own(customer, now)
        return max(own / (own + others), floor)

    def _find_own(self, customer: str, now: timedelta) -> float:
        rate = self._own.get(customer)
        if rate is None:
            return 0.0
        return rate.requests_per_s * math.exp(-((now - rate.updated) / WINDOW))
