"""Division of a customer's limits among the routers that it uses.

Each router reports to its peers, with its heartbeats, how many requests per
second it receives from each customer. It enforces a limit in proportion to its
own part of the customer's demand: a customer that uses one router gets its
full limit there, and one that uses all routers evenly gets an equal share at
each::

    demands = DemandTracker(clock)
    demands.record_request("desks/rennes/plume")
    demands.find_demand_share("desks/rennes/plume", floor=0.1)

Routers that receive no reports from each other each enforce the full limit.
Limits divide capacity fairly; only the ledger protects the budgets.
"""

import math
from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.messages import CustomerDemand

WINDOW = timedelta(seconds=3)  # averaging window of the request rates
REPORT_TTL = timedelta(seconds=5)  # age after which a peer's report expires
MAX_REPORTED = 64  # customers in one heartbeat; the busiest ones are reported
# Least reported rate, in requests/s; slower customers are dropped.
MIN_REPORTED_RATE = 0.05


class _Rate(NamedTuple):
    requests_per_s: float
    updated: timedelta


class _PeerReport(NamedTuple):
    rates: Mapping[str, float]
    received_at: timedelta


class DemandTracker:
    """Request rate of each customer at this router and at its peers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own: dict[str, _Rate] = {}
        self._peer_reports: dict[str, _PeerReport] = {}

    def record_request(self, customer: str) -> None:
        """Record a request from a customer, admitted or not."""
        now = self._clock.elapsed()
        rate = self._find_own(customer, now) + 1 / WINDOW.total_seconds()
        self._own[customer] = _Rate(rate, now)

    def record_peer_report(self, vm: str, demands: Iterable[CustomerDemand]) -> None:
        """Store the request rates of a peer's heartbeat."""
        rates = {demand.customer: demand.requests_per_s for demand in demands}
        self._peer_reports[vm] = _PeerReport(rates, self._clock.elapsed())

    def list_demands(self) -> list[CustomerDemand]:
        """Return the busiest customers, for this router's heartbeat.

        Drops customers whose rate is below ``MIN_REPORTED_RATE``.
        """
        now = self._clock.elapsed()
        rates = {customer: self._find_own(customer, now) for customer in self._own}
        self._own = {
            c: self._own[c] for c, rate in rates.items() if rate >= MIN_REPORTED_RATE
        }
        busiest = sorted(self._own, key=lambda customer: -rates[customer])
        return [CustomerDemand(c, round(rates[c], 2)) for c in busiest[:MAX_REPORTED]]

    def find_demand_share(self, customer: str, floor: float) -> float:
        """Return the share of a customer's limits to enforce, at least ``floor``."""
        now = self._clock.elapsed()
        others = sum(
            report.rates.get(customer, 0.0)
            for report in self._peer_reports.values()
            if now - report.received_at <= REPORT_TTL
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
