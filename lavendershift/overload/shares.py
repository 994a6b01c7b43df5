"""Division of what a VM can serve between customers, and between kinds of requests.

Demands and amounts are numbers of requests in the same time. Nobody gets less than the
fraction ``floor`` of its demand::

    divide_evenly({"a": 90, "b": 10}, 50, 0.1)  # {"a": 40, "b": 10}
    divide_in_order([90, 10], 50, 0.1)  # [49, 1]
"""

from collections.abc import Mapping, Sequence


def divide_evenly(
    demands: Mapping[str, float], amount: float, floor: float
) -> dict[str, float]:
    """Give equal parts of ``amount``, and what some don't need to the others."""
    parts: dict[str, float] = {}
    left, remaining = amount, len(demands)
    floors = sum(demands.values()) * floor
    # The smallest demand comes first, so that what it leaves is divided among the rest.
    for name, demand in sorted(demands.items(), key=lambda item: item[1]):
        least = demand * floor
        floors -= least
        even = min(demand, left / remaining, left - floors)
        parts[name] = max(even, least)
        left -= parts[name]
        remaining -= 1
    return parts


def divide_in_order(
    demands: Sequence[float], amount: float, floor: float
) -> list[float]:
    """Give each its whole demand, the first ones first."""
    left = amount - sum(demands) * floor
    parts = []
    for demand in demands:
        least = demand * floor
        extra = min(max(left, 0.0), demand - least)
        left -= extra
        parts.append(least + extra)
    return parts
