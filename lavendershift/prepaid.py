"""Tokens that a VM may spend without asking anyone.

The prepaid total of a customer is one row in the platform's store: how many of
its tokens were granted to VMs so far. A VM draws tokens by raising the row and
returns what it does not need by lowering it. What it drew is its own to spend,
also while it reaches nobody. ``PrepaidAccount`` keeps the tokens of one
customer on one VM::

    account = PrepaidAccount("plume")
    account.credit(5000)
    if account.reserve(900, clock.since_boot()):
        account.settle(900, used=420)

``plan_draw`` decides how many tokens to draw or to return.
"""

import math
from datetime import timedelta
from typing import NamedTuple

from lavendershift.rates import DecayingRate

RATE_WINDOW = timedelta(seconds=8)  # memory of the measured demand
MEASURED_AFTER = timedelta(seconds=3)  # since the first demand
HOLD_AHEAD = timedelta(seconds=10)  # the longest cut a VM is to serve through
LARGEST_DECAY = 0.98  # per request, so that about the largest_request of 50 counts
RATE_MARGIN = 1.3  # demand varies about its mean within HOLD_AHEAD
UNLOCK_PERIOD = timedelta(seconds=2)  # in which all that is held may be committed
HELD_PART = 0.2  # of a total, held by all VMs before the demand is known
ABUNDANT_TIME = timedelta(seconds=40)  # for which what is left lasts where most is held
LEAST_HELD_PART = 0.03  # of what is left, held by all VMs where it lasts for little
MOST_HELD_PART = 0.6
EQUAL_PART = 0.1  # of a VM's share that does not depend on its demand
KEPT_PART = 0.03  # of a total, for urgent requests; beyond what is owed to all
SMALL_PART = 0.3  # of a target below one large request, held by all VMs
LOW_WATER = 0.8  # of the target; below it tokens are drawn
HIGH_WATER = 1.5  # of the target; above it tokens are returned
MANY_HOLDERS = 6  # VMs from which on returns are made only beyond one request
LARGE_FLEET = 24  # VMs from which on their changes of the same rows often collide


class LeaseTerms(NamedTuple):
    """What a process commits at most after a page of its passbook.

    ``burst`` tokens at once and ``rate`` tokens a second. The page is renewed
    while the store is reached, so a process that still runs ``opens`` after it
    is probably cut off: from then on the ``held`` tokens may be committed as
    well, growing over ``opening``.
    """

    burst: float
    rate: float
    held: float = 0.0
    opens: timedelta = timedelta()
    opening: timedelta = UNLOCK_PERIOD

    def find_allowance(self, elapsed: timedelta) -> float:
        """Return the tokens committed at most until ``elapsed`` after the page."""
        opened = min(max((elapsed - self.opens) / self.opening, 0.0), 1.0)
        steady = self.burst + self.rate * elapsed.total_seconds()
        return steady + self.held * opened


class SpendingLimit:
    """Holds a process to the promise of a page made at ``since``.

    ``since`` is a time since boot.
    """

    def __init__(self, since: timedelta, promise: LeaseTerms) -> None:
        self._since = since
        self._promise = promise
        self._drawn = 0
        self.committed = 0

    def extend(self, tokens: int) -> None:
        """Allow ``tokens`` more, which were drawn after the page was made."""
        self._drawn += tokens

    def allows(self, tokens: int, now: timedelta) -> bool:
        """Return whether ``tokens`` more may be committed."""
        promised = self._promise.find_allowance(now - self._since)
        return self.committed + tokens <= promised + self._drawn


class PrepaidAccount:
    """One customer's tokens on this VM: free, reserved and spent.

    ``limits`` are those of all passbook pages that may be the newest one.
    """

    def __init__(self, customer: str) -> None:
        self.customer = customer
        self.free = 0
        self.reserved = 0
        self.spent = 0
        self.largest_request = 0.0  # tokens of a large request, decaying
        self.limits: list[SpendingLimit] = []
        self.first_demand: timedelta | None = None
        self._rate = DecayingRate(RATE_WINDOW)

    def credit(self, tokens: int) -> None:
        """Add tokens that a page may count already, or take away some."""
        self.free += tokens

    def credit_drawn(self, tokens: int) -> None:
        """Add tokens that were drawn just now, which no page counts."""
        self.free += tokens
        for limit in self.limits:
            limit.extend(tokens)

    def reserve(self, tokens: int, now: timedelta) -> bool:
        """Set ``tokens`` aside for a request, by the time since boot.

        Returns false if they are not here, or more than was promised.
        """
        if tokens > self.free:
            return False
        if not all(limit.allows(tokens, now) for limit in self.limits):
            return False
        for limit in self.limits:
            limit.committed += tokens
        self.free -= tokens
        self.reserved += tokens
        return True

    def lend(self, tokens: int, now: timedelta) -> bool:
        """Take ``tokens`` out of use for another VM, like tokens spent."""
        if not self.reserve(tokens, now):
            return False
        self.settle(tokens, used=tokens)
        return True

    def settle(self, reserved: int, used: int) -> None:
        """Spend ``used`` tokens of a reservation and free the rest."""
        used = min(used, reserved)
        for limit in self.limits:
            limit.committed -= reserved - used
        self.reserved -= reserved
        self.spent += used
        self.free += reserved - used

    def note_demand(self, tokens: int, now: timedelta) -> None:
        """Note a request that will probably use ``tokens``."""
        if self.first_demand is None:
            self.first_demand = now
        self._rate.add(tokens, now)
        self.largest_request = max(self.largest_request * LARGEST_DECAY, float(tokens))

    def find_rate(self, now: timedelta) -> float:
        """Return the recent demand in tokens/s, corrected for a short history."""
        if self.first_demand is None:
            return 0.0
        history = max(now - self.first_demand, MEASURED_AFTER) / RATE_WINDOW
        return self._rate.measure(now) / (1 - math.exp(-history))

    def is_measured(self, now: timedelta) -> bool:
        """Return whether demand came for long enough to know its rate."""
        return self.first_demand is not None and (
            now - self.first_demand >= MEASURED_AFTER
        )


class DrawView(NamedTuple):
    """What is known of one customer's total when a draw is planned.

    ``granted`` is the row in the store, ``wanted`` what requests wait for
    beyond the free tokens, ``urgent_wanted`` the part of it that urgent ones do,
    ``urgent_reserve`` the last part of the total, which only those may draw, ``vms`` the
    number of live VMs. Rates are demand in tokens/s, of this VM and of all of
    them. ``loan_reserve`` is held beyond the own demand, to lend. ``rank`` is
    the VM's place, 0 first, among those that may hold a whole large request.
    """

    prepaid: int
    granted: int
    free: int
    wanted: int
    rate: float
    fleet_rate: float
    largest_request: float
    vms: int
    is_measured: bool = True
    loan_reserve: int = 0
    rank: int = 0
    urgent_wanted: int = 0
    urgent_reserve: int = 0


def find_share(view: DrawView) -> float:
    """Return the VM's part of what all VMs may hold."""
    equal = 1 / max(view.vms, 1)
    if view.fleet_rate <= 0:
        return equal
    by_demand = min(view.rate / max(view.fleet_rate, view.rate), 1.0)
    return EQUAL_PART * equal + (1 - EQUAL_PART) * by_demand


def find_target(view: DrawView) -> int:
    """Return how many free tokens the VM should hold."""
    return int(round_target(find_even_target(view), view)) + view.loan_reserve


def find_even_target(view: DrawView) -> float:
    """Return the VM's share of what all VMs should hold."""
    left = float(max(view.prepaid - view.granted, 0))
    if not view.is_measured:
        # The first requests come to few VMs, and say nothing of the others.
        equal = 1 / max(view.vms, 1)
        return (left + view.free / equal) * HELD_PART * equal
    share = find_share(view)
    left += view.free / share
    ahead = view.rate * RATE_MARGIN * HOLD_AHEAD.total_seconds() + view.largest_request
    return min(ahead, left * find_held_part(view, left) * share)


def round_target(target: float, view: DrawView) -> float:
    """Return ``target``, or a whole large request or little where it is less.

    Where the share of each VM would be less than one request, a cut VM could
    serve none. Some VMs hold a whole one instead, and the others what small
    requests need; a refused caller may find one of them. All VMs together hold
    about as much as before.
    """
    if target >= view.largest_request:
        return target
    small = target * SMALL_PART
    holders = (target - small) / (view.largest_request - small) * view.vms
    return view.largest_request if view.rank + 0.5 < holders else small


def find_held_part(view: DrawView, left: float) -> float:
    """Return the part of what is left that all VMs may hold.

    Held tokens are lost with the power, which matters most where little is
    left for the demand: from then on each caller is refused what was paid for.
    """
    if view.fleet_rate <= 0:
        return HELD_PART
    lasts = left / view.fleet_rate
    part = MOST_HELD_PART * lasts / ABUNDANT_TIME.total_seconds()
    return min(max(part, LEAST_HELD_PART), MOST_HELD_PART)


def find_urgent_reserve(prepaid: int) -> int:
    """Return the last part of a total, which only urgent requests may draw.

    Where losses leave less than the demand, the large requests would take all
    that is left, and each caller of a small urgent one be refused from then on.
    """
    return int(prepaid * KEPT_PART)


def bound_draw(view: DrawView, tokens: int) -> int:
    """Return ``tokens``, or as many of them as the row leaves to draw."""
    left = max(view.prepaid - view.granted, 0)
    return min(tokens, max(left - view.urgent_reserve, min(view.urgent_wanted, left)))


def plan_draw(view: DrawView) -> int:
    """Return the tokens to draw, or a negative number of tokens to return.

    It never draws more than the row leaves, so that the sum of all grants
    stays within the prepaid total. What is held is lost with the power, so
    few VMs return early; of many, returns between two requests would make others
    lose the races for the rows.
    """
    target = find_target(view)
    if view.wanted > 0:
        return bound_draw(view, max(target - view.free, 0) + view.wanted)
    if view.free < target * LOW_WATER:
        return bound_draw(view, target - view.free)
    spare = view.largest_request if view.vms >= MANY_HOLDERS else 0.0
    if view.free > max(target * HIGH_WATER, target + spare):
        return target - view.free
    return 0
