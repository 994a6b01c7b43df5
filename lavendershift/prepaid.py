"""Prepaid tokens that a VM holds and may spend without coordination.

For each customer the platform's store has a quota record: how many tokens of the
prepaid total were granted to VMs so far. A VM draws tokens by raising the record
and returns surplus tokens by lowering it. Drawn tokens belong to the VM, which can
spend them even while it reaches neither the store nor another VM.
``PrepaidAccount`` tracks one customer's tokens on one VM::

    account = PrepaidAccount("plume")
    account.credit(5000)
    if account.reserve(900, clock.since_boot()):
        account.settle(900, used=420)

``plan_draw`` computes how many tokens to draw or to return.
"""

import math
from datetime import timedelta
from typing import NamedTuple

from lavendershift.rates import DecayingRate

RATE_WINDOW = timedelta(seconds=8)  # time constant of the measured demand
# Least time since a customer's first request before the rate counts.
MIN_HISTORY = timedelta(seconds=3)
HOLD_AHEAD = timedelta(seconds=10)  # longest store outage to serve through
# Factor on the size of the largest request at each further request; about the largest
# of the last 50 counts.
LARGEST_DECAY = 0.98
RATE_MARGIN = 1.3  # factor on the demand, which varies about its mean within HOLD_AHEAD
UNLOCK_PERIOD = timedelta(seconds=2)  # time over which all held tokens become spendable
# Fraction of a total that all VMs hold until demand is known.
INITIAL_HELD_FRACTION = 0.2
# Time that the remaining tokens last, from which on VMs hold MAX_HELD_FRACTION of them.
ABUNDANT_SUPPLY = timedelta(seconds=40)
# Fraction of the remaining tokens that all VMs hold when few remain.
MIN_HELD_FRACTION = 0.03
# Fraction of the remaining tokens that all VMs hold when many remain.
MAX_HELD_FRACTION = 0.6
# Fraction of the VMs that recently lost tokens with their power, from which on all VMs
# hold less. A single loss of half of the VMs doesn't reach it.
MANY_LOSSES = 0.7
# Factor on what VMs hold ahead after so many losses: 3 s of demand in place of 10 s.
HOLD_FACTOR_AFTER_LOSSES = 0.3
EQUAL_SHARE_FRACTION = 0.1  # fraction of a VM's share that is independent of its demand
# Fraction of a total that only urgent requests may draw: its last part, beyond the part
# that is guaranteed to requests of all kinds.
URGENT_RESERVE_FRACTION = 0.03
# Fraction of a target below one large request that every VM holds.
SMALL_TARGET_FRACTION = 0.3
LOW_WATER = 0.8  # fraction of the target below which tokens are drawn
HIGH_WATER = 1.5  # fraction of the target above which tokens are returned
MANY_HOLDERS = 6  # VMs from which on each keeps a surplus of up to one large request
# Part of what idle VMs would hold that several VMs with demand hold instead. With more,
# the VMs hold more of a total for 20 s than of one for 30 s, as HOLD_AHEAD bounds that.
CEDED_FRACTION = 0.8
# Fraction of an even share of the demand below which a VM holds nothing ahead.
IDLE_SHARE = 0.05
LARGE_FLEET = 24  # VMs from which on changes of the same quota records often conflict


class LeaseTerms(NamedTuple):
    """Upper bound on the tokens that a process commits after a lease snapshot.

    The process may commit ``burst`` tokens immediately and ``rate`` tokens/s from
    then on. It renews the snapshot while the store is reachable, so a process that
    still runs ``unlock_delay`` after its last snapshot is probably cut off from the
    store: from then on it may commit the ``held`` tokens as well, linearly over
    ``unlock_period``.
    """

    burst: float
    rate: float
    held: float = 0.0
    unlock_delay: timedelta = timedelta()
    unlock_period: timedelta = UNLOCK_PERIOD

    def find_allowance(self, elapsed: timedelta) -> float:
        """Return the most tokens that may be committed within ``elapsed``."""
        unlocked = min(
            max((elapsed - self.unlock_delay) / self.unlock_period, 0.0), 1.0
        )
        steady = self.burst + self.rate * elapsed.total_seconds()
        return steady + self.held * unlocked


class SpendingLimit:
    """Enforces the terms of a lease snapshot that was made at ``since``.

    ``since`` is a time since boot.
    """

    def __init__(self, since: timedelta, terms: LeaseTerms) -> None:
        self._since = since
        self._terms = terms
        self._drawn = 0
        self.committed = 0

    def extend(self, tokens: int) -> None:
        """Allow ``tokens`` more, drawn after the snapshot was made."""
        self._drawn += tokens

    def allows(self, tokens: int, now: timedelta) -> bool:
        """Return whether ``tokens`` more may be committed."""
        allowance = self._terms.find_allowance(now - self._since)
        return self.committed + tokens <= allowance + self._drawn

    def count_left(self, now: timedelta) -> int:
        """Return how many tokens more may be committed."""
        allowance = self._terms.find_allowance(now - self._since)
        return math.floor(allowance + self._drawn - self.committed)


class PrepaidAccount:
    """One customer's tokens on this VM: free, reserved and spent.

    ``limits`` has one limit for each lease snapshot that may be the newest in the
    store; every one of them has to be met.
    """

    def __init__(self, customer: str) -> None:
        self.customer = customer
        self.free = 0
        self.reserved = 0
        self.spent = 0
        self.largest_request = 0.0  # size in tokens, which decays with each request
        self.limits: list[SpendingLimit] = []
        self.first_demand: timedelta | None = None
        self._rate = DecayingRate(RATE_WINDOW)

    def credit(self, tokens: int) -> None:
        """Add tokens that a lease snapshot may cover already; subtract if negative."""
        self.free += tokens

    def credit_drawn(self, tokens: int) -> None:
        """Add tokens that were drawn just now, which no lease snapshot covers."""
        self.free += tokens
        for limit in self.limits:
            limit.extend(tokens)

    def reserve(self, tokens: int, now: timedelta) -> bool:
        """Reserve ``tokens`` for a request; ``now`` is the time since boot.

        Returns false if too few are free or the lease terms do not allow them yet.
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

    def count_spendable(self, now: timedelta) -> int:
        """Return the free tokens that the lease terms allow to be reserved."""
        left = [limit.count_left(now) for limit in self.limits]
        return max(min([self.free, *left]), 0)

    def lend(self, tokens: int, now: timedelta) -> bool:
        """Debit ``tokens`` that are lent to another VM; they count as spent."""
        if not self.reserve(tokens, now):
            return False
        self.settle(tokens, used=tokens)
        return True

    def settle(self, reserved: int, used: int) -> None:
        """Spend ``used`` tokens of a reservation and free the remainder."""
        used = min(used, reserved)
        for limit in self.limits:
            limit.committed -= reserved - used
        self.reserved -= reserved
        self.spent += used
        self.free += reserved - used

    def note_demand(self, tokens: int, now: timedelta) -> None:
        """Record a request that is expected to use ``tokens``."""
        if self.first_demand is None:
            self.first_demand = now
        self._rate.add(tokens, now)
        self.largest_request = max(self.largest_request * LARGEST_DECAY, float(tokens))

    def find_rate(self, now: timedelta) -> float:
        """Return the recent demand in tokens/s, corrected for a short history."""
        if self.first_demand is None:
            return 0.0
        history = max(now - self.first_demand, MIN_HISTORY) / RATE_WINDOW
        return self._rate.measure(now) / (1 - math.exp(-history))

    def is_measured(self, now: timedelta) -> bool:
        """Return whether there was demand for long enough to estimate its rate."""
        return self.first_demand is not None and (
            now - self.first_demand >= MIN_HISTORY
        )


class DrawView(NamedTuple):
    """Inputs to the planning of a draw from one customer's total.

    ``granted`` is the quota record's value. ``wanted`` is the number of tokens that
    requests wait for beyond the free ones, and ``urgent_wanted`` the part of it for
    urgent requests. ``urgent_reserve`` is the last part of the total, which only
    urgent requests may draw. ``rate`` and ``fleet_rate`` are the demand at this VM
    and at all ``vms`` live VMs, in tokens/s. ``largest_request`` is in tokens.
    ``loan_reserve`` tokens are held beyond this VM's own demand, in order to lend
    them. ``rank`` is the position of this VM, 0 first, among those that may hold the
    tokens of a complete large request. ``hold_factor`` multiplies what is held ahead.
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
    hold_factor: float = 1.0


def find_share(view: DrawView) -> float:
    """Return this VM's fraction of the tokens that all VMs may hold."""
    if view.fleet_rate <= 0:
        return 1 / max(view.vms, 1)
    equal = 1 / max(view.vms * (1 - find_idle_fraction(view)), 1)
    by_demand = min(view.rate / max(view.fleet_rate, view.rate), 1.0)
    return EQUAL_SHARE_FRACTION * equal + (1 - EQUAL_SHARE_FRACTION) * by_demand


def is_idle(view: DrawView) -> bool:
    """Return whether this VM has nearly no demand while other VMs have some.

    Tokens held by such VMs are lacking where the demand is, and their draws and returns
    make the draws there lose races.
    """
    return view.rate * view.vms < view.fleet_rate * IDLE_SHARE


def find_target(view: DrawView) -> int:
    """Return how many free tokens this VM should hold."""
    if is_idle(view):
        return view.loan_reserve
    return int(round_target(find_even_target(view), view)) + view.loan_reserve


def find_even_target(view: DrawView) -> float:
    """Return this VM's share, in tokens, of what all VMs should hold."""
    left = float(max(view.prepaid - view.granted, 0))
    if not view.is_measured:
        # The first requests reach few VMs and say nothing about demand at the others.
        equal = 1 / max(view.vms, 1)
        fraction = INITIAL_HELD_FRACTION * view.hold_factor
        return (left + view.free / equal) * fraction * equal
    share = find_share(view)
    left += view.free / share
    seconds = HOLD_AHEAD.total_seconds() * view.hold_factor
    ahead = view.rate * RATE_MARGIN * seconds + view.largest_request
    fraction = find_held_fraction(view, left) * view.hold_factor
    return min(ahead, left * fraction * share)


def find_hold_factor(lost_fraction: float) -> float:
    """Return the factor on what VMs hold ahead, from the VMs that lost tokens.

    Each loss of power destroys the tokens that the VM holds. Where most VMs lose power
    again and again, holding enough for a store outage costs customers more tokens than
    the outages would.
    """
    return HOLD_FACTOR_AFTER_LOSSES if lost_fraction >= MANY_LOSSES else 1.0


def round_target(target: float, view: DrawView) -> float:
    """Round a ``target`` below one large request up to it, or down to a small one.

    If the share of each VM were less than one request, a VM that is cut off from the
    store could serve none. Instead, the VMs of low rank hold enough for a complete
    large request and the others enough for small requests; a refused caller may
    retry at one of the former. The sum over all VMs stays about the same.
    """
    if target >= view.largest_request:
        return target
    small = target * SMALL_TARGET_FRACTION
    holders = (target - small) / (view.largest_request - small) * view.vms
    return view.largest_request if view.rank + 0.5 < holders else small


def find_held_fraction(view: DrawView, left: float) -> float:
    """Return the fraction of the remaining tokens that all VMs may hold.

    A power loss destroys held tokens. That matters most when the remaining tokens
    are few for the demand, because callers are then refused tokens they paid for.
    """
    if view.fleet_rate <= 0:
        return INITIAL_HELD_FRACTION
    supply_s = left / view.fleet_rate
    fraction = MAX_HELD_FRACTION * supply_s / ABUNDANT_SUPPLY.total_seconds()
    fraction = min(max(fraction, MIN_HELD_FRACTION), MAX_HELD_FRACTION)
    ceded = INITIAL_HELD_FRACTION * find_ceded_fraction(view)
    return min(fraction + ceded, MAX_HELD_FRACTION)


def find_ceded_fraction(view: DrawView) -> float:
    """Return how much of what idle VMs would hold the VMs with demand hold instead.

    0 is for an even demand, 1 if all of it is on this VM. The sum over all VMs stays
    about the same, so that a power loss destroys no more.
    """
    if view.vms <= 1 or view.rate <= 0:
        return 0.0
    by_demand = view.rate / max(view.fleet_rate, view.rate)
    alone = max(by_demand * view.vms - 1, 0.0) / (view.vms - 1)
    idle = max(1 - (1 / by_demand - 1) / (view.vms - 1), 0.0)
    return max(alone, CEDED_FRACTION * idle)


def find_idle_fraction(view: DrawView) -> float:
    """Return the fraction of the VMs without demand, judged by this VM's part of it.

    The demand seems spread over as many VMs as this part fits into all of it.
    """
    if view.rate <= 0:
        return 0.0
    busy = max(view.fleet_rate, view.rate) / view.rate
    return max(1 - busy / max(view.vms, 1), 0.0)


def find_urgent_reserve(prepaid: int) -> int:
    """Return the last part of a total, which only urgent requests may draw.

    Without it, when losses leave fewer tokens than the demand, large requests would
    take all that remains, and every small urgent request would be refused from then
    on.
    """
    return int(prepaid * URGENT_RESERVE_FRACTION)


def bound_draw(view: DrawView, tokens: int) -> int:
    """Return ``tokens``, or as many of them as may still be drawn."""
    left = max(view.prepaid - view.granted, 0)
    return min(tokens, max(left - view.urgent_reserve, min(view.urgent_wanted, left)))


def plan_draw(view: DrawView) -> int:
    """Return the tokens to draw, or a negative number of tokens to return.

    A draw never exceeds the ungranted tokens, so that the sum of all grants stays
    within the prepaid total. A power loss destroys held tokens, so fewer VMs than
    ``MANY_HOLDERS`` return surplus tokens early. With more VMs, returns between two
    requests would make others lose the races for the quota records.
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
