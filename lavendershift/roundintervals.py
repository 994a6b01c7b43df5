"""Times between the full rounds in which a VM draws and returns prepaid tokens."""

import random
from datetime import timedelta

from lavendershift.prepaid import LARGE_FLEET

ROUND_INTERVAL = timedelta(seconds=1)  # time between full rounds of a small fleet
# Round interval per VM of a large fleet, which keeps conflicts of rounds rare.
ROUND_INTERVAL_PER_VM = timedelta(milliseconds=120)
# Jitter of rounds, as a fraction of the interval between them.
SMALL_FLEET_JITTER, LARGE_FLEET_JITTER = 0.1, 0.5
# Time between two rounds during a store outage, on VMs that draw ahead and on others.
OUTAGE_RETRY_INTERVAL = timedelta(milliseconds=400)
STANDBY_RETRY_INTERVAL = timedelta(seconds=1)


def find_round_interval(vms: int) -> timedelta:
    """Return the time between full rounds in a fleet of ``vms``."""
    return max(ROUND_INTERVAL, vms * ROUND_INTERVAL_PER_VM)


def choose_interval(vms: int, rng: random.Random) -> timedelta:
    """Return the time to the next round.

    All VMs of a fleet start at the same time; jitter keeps their rounds from
    conflicting.
    """
    jitter = LARGE_FLEET_JITTER if vms >= LARGE_FLEET else SMALL_FLEET_JITTER
    return find_round_interval(vms) * rng.uniform(1 - jitter, 1 + jitter)


def find_retry_interval(draws_ahead: bool) -> timedelta:
    """Return the time to the next round after one that failed."""
    return OUTAGE_RETRY_INTERVAL if draws_ahead else STANDBY_RETRY_INTERVAL
