"""Policies for how much of a budget a router holds.

A policy looks at one budget from one router and says what to ask for, hand
back or borrow. It decides only how soon a request can be paid for: that
nothing is spent twice is the ledger's and the allowance book's matter under
any policy. Policies are filed by name::

    policy = HOLDING_POLICIES["adaptive"]
    for action in policy(view):
        ...
"""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

FIXED_SLICE_TOKENS = 20_000
LOW_WATER = 0.75  # of the target; below it the policy asks for more
HIGH_WATER = 1.5  # of the target; above it the policy hands back
RATE_MARGIN = 1.4  # demand of one hour varies about its estimate
BORROW_AHEAD = timedelta(minutes=2)


class Peer(NamedTuple):
    """Another live router: what the ledger says it holds, and the way to it."""

    incarnation: str
    same_failure_domain: bool
    reachable: bool
    held: int


class HoldingView(NamedTuple):
    """One budget as one router sees it; amounts are in tokens.

    ``available`` may still be granted as far as this router has folded.
    ``free`` is unreserved here and ``lendable`` the part of it that may be
    given away. ``requested`` was asked for and not yet answered, by the log or by
    a peer. ``wanted`` is what waiting requests need in all, ``smallest_wanted``
    the need of the smallest of them. ``recalled_ahead`` is what others ask for that
    are to be served before this router. Rates are in tokens per second:
    of this router, and of all routers together.
    """

    budget: str
    prepaid: int
    available: int
    free: int
    lendable: int
    reserved: int
    requested: int
    wanted: int
    smallest_wanted: int
    recalled_ahead: int
    own_rate: float
    fleet_rate: float
    live_routers: int
    log_reachable: bool
    hold_ahead: timedelta
    hold_share: float
    peers: tuple[Peer, ...]

    @property
    def shortfall(self) -> int:
        """Tokens that waiting requests need beyond what is here or asked for."""
        return max(0, self.wanted - self.free - self.requested)

    @property
    def remainder(self) -> int:
        """Unspent tokens of the budget that live routers hold or can get."""
        held_by_peers = sum(peer.held for peer in self.peers)
        return max(0, self.available) + self.free + self.reserved + held_by_peers


class RequestGrant(NamedTuple):
    """Ask the log for a grant."""

    tokens: int


class ReturnTokens(NamedTuple):
    """Return unspent tokens to the budget."""

    tokens: int


class BorrowTokens(NamedTuple):
    """Ask a peer directly for a loan."""

    peer: str
    tokens: int


class RequestRecall(NamedTuple):
    """Ask all holders of idle tokens, through the log, to hand them back."""

    tokens: int


Action = RequestGrant | ReturnTokens | BorrowTokens | RequestRecall
HoldingPolicy = Callable[[HoldingView], list[Action]]
HOLDING_POLICIES: dict[str, HoldingPolicy] = {}


def register_policy(name: str) -> Callable[[HoldingPolicy], HoldingPolicy]:
    """Return a decorator that files a holding policy under ``name``."""

    def register(policy: HoldingPolicy) -> HoldingPolicy:
        HOLDING_POLICIES[name] = policy
        return policy

    return register


@register_policy("per_request")
def hold_per_request(view: HoldingView) -> list[Action]:
    """Draw each request's tokens from the log and hand the rest back."""
    actions = _hand_back(view, view.free - view.wanted)
    if view.shortfall:
        actions += _ask(view, view.shortfall)
    return actions


@register_policy("equal_split")
def hold_equal_split(view: HoldingView) -> list[Action]:
    """Hold an equal part of the budget from the start."""
    part = view.prepaid // max(1, view.live_routers)
    holds_nothing = view.free + view.reserved + view.requested == 0
    if holds_nothing and view.available >= part // 2:
        return _ask(view, part)
    return []


@register_policy("fixed")
def hold_fixed(view: HoldingView) -> list[Action]:
    """Hold a slice of fixed size and fill it up when it is half spent."""
    ahead = view.free + view.requested - view.wanted
    if ahead < FIXED_SLICE_TOKENS // 2:
        return _ask(view, FIXED_SLICE_TOKENS - ahead)
    return []


@register_policy("adaptive")
def hold_adaptive(view: HoldingView) -> list[Action]:
    """Hold what the recent rate needs to ride out an outage.

    The hold is capped by a share of what is left of the budget, so that it
    shrinks to single requests near exhaustion. What exceeds it is handed
    back, and what others recall as well. A request that the log cannot pay
    for borrows from peers, first within the failure domain.
    """
    target = find_target(view)
    if not view.log_reachable:
        return _borrow(view, target)
    surplus = view.free - view.wanted
    if view.recalled_ahead and view.lendable:
        return _hand_back(view, view.recalled_ahead) + _recall(view)
    if surplus > target * HIGH_WATER:
        return _hand_back(view, surplus - target)
    ahead = surplus + view.requested
    if view.shortfall == 0 and ahead >= target * LOW_WATER:
        return []
    if view.available > view.recalled_ahead:
        return _ask(view, max(target - ahead, view.shortfall))
    return _recall(view)


def find_target(view: HoldingView) -> int:
    """Return how many unreserved tokens the adaptive policy wants to hold."""
    fleet_part = view.fleet_rate / max(1, view.live_routers)
    rate = max(view.own_rate, fleet_part)
    ahead = rate * RATE_MARGIN * view.hold_ahead.total_seconds()
    cap = view.hold_share * view.remainder - view.reserved
    return max(0, int(min(ahead, cap)))


def _ask(view: HoldingView, tokens: int) -> list[Action]:
    """Ask for a grant unless the ledger shows that there is nothing to get."""
    if tokens <= 0 or view.available <= 0 or not view.log_reachable:
        return []
    return [RequestGrant(tokens)]


def _hand_back(view: HoldingView, tokens: int) -> list[Action]:
    tokens = min(tokens, view.lendable)
    if tokens <= 0 or not view.log_reachable:
        return []
    return [ReturnTokens(tokens)]


def _recall(view: HoldingView) -> list[Action]:
    """Ask for what the smallest waiting request needs."""
    short = view.smallest_wanted - view.free - view.requested
    return [RequestRecall(short)] if short > 0 else []


def _borrow(view: HoldingView, target: int) -> list[Action]:
    """Borrow for waiting requests, from the nearest peer that holds most."""
    if not view.shortfall:
        return []
    lenders = [peer for peer in view.peers if peer.reachable and peer.held > 0]
    if not lenders:
        return []
    lender = max(lenders, key=lambda peer: (peer.same_failure_domain, peer.held))
    ahead = int(view.own_rate * BORROW_AHEAD.total_seconds())
    return [BorrowTokens(lender.incarnation, view.shortfall + min(ahead, target))]
