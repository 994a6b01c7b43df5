"""Token shortages: how long requests wait, and when refused callers retry.

This module only decides; the gateway waits and refuses. Each decision serves a load
pattern:

- Many requests of one customer arrive at a VM together. They wait for a draw, which
  takes some ms, but so briefly that another VM can still serve a refused caller in
  time.
- The VM is cut off from the store while other VMs hold tokens of the customer. Its
  callers retry immediately, at another address. If all VMs are cut off and the others
  have reported too few tokens, a caller that retried immediately would be refused
  again, so it gets the longest delay that callers accept.
- The total is fully granted, and the remaining tokens are held by other VMs or
  reserved for running requests. Callers retry when these have settled, with jitter so
  that they don't arrive together again::

    wait = find_wait(route.target)
    delay = choose_retry_delay(
        TokenShortage(900, 120, 0, is_store_reachable=True), rng
    )
"""

import random
from datetime import timedelta
from typing import NamedTuple

# Divisor of a route's target latency that gives the longest wait for a draw, so that
# another VM can meet the target.
WAIT_DIVISOR = 8
# Longest wait for a draw, also without a target latency.
MAX_WAIT = timedelta(milliseconds=250)
# Divisor of a route's target latency that gives the longest wait for a draw or a loan
# in flight. A refused caller often returns to the same VM, which costs more than that.
LONGEST_WAIT_DIVISOR = 2
OTHER_VM_DELAY = timedelta(milliseconds=50)  # time to connect to another VM
# Retry delay until conflicting draws are done, if nothing is known of their duration.
DRAW_CONFLICT_DELAY = timedelta(milliseconds=200)
# Draws until a refused request gets its tokens: the one in flight and the next.
DRAWS_TO_WAIT_FOR = 2
# Longest delay that follows from a measured draw or an expected return, as callers
# accept 5 s with jitter.
MAX_SUPPLY_DELAY = timedelta(seconds=3)
# Time for a round of returns, in which most running streams end as well.
SETTLEMENT_DELAY = timedelta(milliseconds=1500)
# Retry delay in a store outage, as most outages end within seconds.
OUTAGE_DELAY = timedelta(seconds=5)
OUTAGE_JITTER = 0.2  # fraction of OUTAGE_DELAY, added at random
JITTER = 0.6  # fraction of the delays at a reachable store, added at random


class TokenShortage(NamedTuple):
    """State of a customer's tokens when a request is refused.

    The request needs ``needed`` tokens, ``free`` are free on this VM and ``left`` may
    still be drawn from the total, as of the newest quota records.
    ``is_store_reachable`` is whether the store responds. ``held_elsewhere`` is the
    largest number of tokens that one of the VMs to which callers are sent holds,
    ``None`` if there is no known limit. ``draw_time`` is the recent duration of a draw
    and ``return_time`` the time in which other VMs are expected to return tokens, both
    ``None`` if unknown. ``confirmation_time`` is the time until tokens are drawn
    after a restore of the store.
    """

    needed: int
    free: int
    left: int
    is_store_reachable: bool
    held_elsewhere: int | None = None
    draw_time: timedelta | None = None
    return_time: timedelta | None = None
    confirmation_time: timedelta = timedelta()


def find_wait(target: timedelta) -> timedelta:
    """Return how long a request may wait for a draw."""
    if not target:
        return MAX_WAIT
    return min(target / WAIT_DIVISOR, MAX_WAIT)


def find_longest_wait(target: timedelta, excess: float = 0.0) -> timedelta:
    """Return how long a request may wait for a draw or a loan that is in flight.

    ``excess`` is the fraction of the VM's load beyond what its event loop can handle.
    A request that waits there is served late, which is worth less than a refusal that
    comes soon, so that the wait shrinks to that of other requests.
    """
    return max(target / LONGEST_WAIT_DIVISOR * (1 - excess), find_wait(target))


def choose_retry_delay(shortage: TokenShortage, rng: random.Random) -> timedelta:
    """Return the delay after which the caller of a refused request should retry."""
    if not shortage.is_store_reachable:
        if (
            shortage.held_elsewhere is None
            or shortage.held_elsewhere >= shortage.needed
        ):
            return OTHER_VM_DELAY
        return OUTAGE_DELAY * rng.uniform(1, 1 + OUTAGE_JITTER)
    if shortage.left + shortage.free >= shortage.needed:
        base = DRAW_CONFLICT_DELAY
        if shortage.draw_time is not None:
            base = max(shortage.draw_time * DRAWS_TO_WAIT_FOR, OTHER_VM_DELAY)
        base = max(base, shortage.confirmation_time)
    else:
        base = max(SETTLEMENT_DELAY, shortage.return_time or timedelta())
    base = min(base, MAX_SUPPLY_DELAY)
    return base * rng.uniform(1, 1 + JITTER)
