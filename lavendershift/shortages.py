"""Requests whose tokens are not here: how long they wait, when to come back.

Decisions only; the gateway waits and refuses. Each answers a load:

- Many requests of one customer meet at a VM. They wait for a draw, which takes
  some ms, yet so briefly that a refused caller can still be served in time
  elsewhere.
- The VM is cut off. Others hold tokens of the customer, so that its callers
  come back at once, to another address. Where all VMs are cut off, and the others
  hold too little by what they told, a caller that came back at once would be refused
  again. It comes back as late as it can.
- The total is drawn, and what is left lies with other VMs or is set aside for
  running requests. Callers come back when those have settled, each at another
  time, so that they don't meet again::

    wait = find_wait(route.target)
    after = choose_return(Shortage(900, 120, 0, is_reached=True), rng)
"""

import random
from datetime import timedelta
from typing import NamedTuple

WAIT_SHARE = 8  # of a route's target, so that another VM can still keep it
LONGEST_WAIT = timedelta(milliseconds=250)  # for a draw, where there is no target
ELSEWHERE = timedelta(milliseconds=50)  # a new connection to another VM
SHORT_RETURN = timedelta(milliseconds=200)  # draws that meet are done by then
SETTLED_RETURN = timedelta(milliseconds=1500)  # a round of returns, and most streams
OUTAGE_RETURN = timedelta(seconds=5)  # most cuts end within seconds
OUTAGE_SPREAD = 0.2  # of that time, added by chance
SPREAD = 0.6  # of the time to come back, added by chance


class TokenShortage(NamedTuple):
    """What is known of a customer's tokens when a request is refused.

    ``needed`` by the request, ``free`` on this VM, ``left`` of the total by the
    newest rows; ``is_store_reachable`` tells whether the store answers. ``elsewhere`` is the
    most that another VM holds which callers are sent to, ``None`` where that may be
    any number.
    """

    needed: int
    free: int
    left: int
    is_store_reachable: bool
    elsewhere: int | None = None


def find_wait(target: timedelta) -> timedelta:
    """Return how long a request may wait for tokens to be drawn."""
    if not target:
        return LONGEST_WAIT
    return min(target / WAIT_SHARE, LONGEST_WAIT)


def choose_retry_delay(shortage: TokenShortage, rng: random.Random) -> timedelta:
    """Return when the caller of a refused request should come back."""
    if not shortage.is_store_reachable:
        if shortage.elsewhere is None or shortage.elsewhere >= shortage.needed:
            return ELSEWHERE
        return OUTAGE_RETURN * rng.uniform(1, 1 + OUTAGE_SPREAD)
    if shortage.left + shortage.free >= shortage.needed:
        base = SHORT_RETURN
    else:
        base = SETTLED_RETURN
    return base * rng.uniform(1, 1 + SPREAD)
