"""States of servers' speeds, for the log and for gauges.

A server is ``failing``, ``slow``, ``restricted`` or ``usual``. A restricted one is slow
under load, and gets fewer requests than it has slots.
"""

from lavendershift.capacity.servercapacity import ServerCapacity, Size

USUAL = "usual"
STATES = ("failing", "slow", "restricted")
SLOW_FACTOR = 1.5  # time relative to the usual one from which a server counts as slow
FAILING_COST = 2.0  # cost of failures from which a server counts as failing
RESTRICTED_SHARE = 0.5  # share of the slots below which a limit is reported


def find_state(capacity: ServerCapacity) -> str:
    """Return the state of a server."""
    if capacity.failure_cost >= FAILING_COST:
        return "failing"
    if max(capacity.factors) >= SLOW_FACTOR:
        return "slow"
    if capacity.limit.value < capacity.limit.slots * RESTRICTED_SHARE:
        return "restricted"
    return USUAL


def describe(capacity: ServerCapacity) -> str:
    """Return the estimates of a server as a text for the log."""
    factors = " ".join(
        f"{size.name.lower()} {factor:.2f}"
        for size, factor in zip(Size, capacity.factors, strict=False)
    )
    limit = capacity.limit
    return (
        f"{factors} limit {limit.value:.0f}/{limit.slots} "
        f"failures {capacity.failure_cost:.2f}"
    )
