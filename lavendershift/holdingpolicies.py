"""Policies for how much of a budget a router holds.

A policy gets one router's view of one budget and returns what to request,
return or borrow. It affects only how long a request waits for tokens: the
ledger and the allowance book prevent double spending under any policy.
Policies are registered by name::

    policy = HOLDING_POLICIES["adaptive"]
    for action in policy(view):
        ...
"""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

FIXED_SLICE_TOKENS = 20_000  # tokens that the policy ``fixed`` holds
LOW_WATER = 0.75  # part of the target holding below which grants are requested
HIGH_WATER = 1.5  # part of the target holding above which tokens are returned
RATE_MARGIN = 1.4  # factor on the rate, as one hour's usage varies about the estimate
BORROW_AHEAD = timedelta(minutes=2)  # usage that a loan covers beyond the shortfall


class Peer(NamedTuple):
    """Another live router, with its holding according to the ledger.

    ``reachable`` is false if it sends no heartbeats or recently lent nothing.
    """

    incarnation: str
    same_failure_domain: bool
    reachable: bool
    held: int


class HoldingView(NamedTuple):
    """One budget as one router sees it; amounts are in tokens.

    ``available`` can still be granted according to the records that this router
    has applied. ``free`` is held and unreserved, and ``lendable`` is the part of
    it that may be lent or returned. ``requested`` tokens were requested from
    the log or a peer, without a response yet. ``wanted`` is the sum of the waiting
    requests, ``smallest_wanted`` the smallest of them. ``recalled_ahead`` is the sum
    of the recall requests that are served before this router's. Rates are in tokens
    per second, of this router (``own_rate``) and of all routers (``fleet_rate``).
    ``hold_ahead`` is the time whose usage the adaptive policy aims to hold, and
    ``hold_share`` the largest share of ``remainder`` that it aims to hold.
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
        """Tokens of waiting requests that are neither free nor requested."""
        return max(0, self.wanted - self.free - self.requested)

    @property
    def remainder(self) -> int:
        """Unspent tokens of the budget that live routers hold or can be granted."""
        held_by_peers = sum(peer.held for peer in self.peers)
        return max(0, self.available) + self.free + self.reserved + held_by_peers


class RequestGrant(NamedTuple):
    """Request a grant from the log."""

    tokens: int


class ReturnTokens(NamedTuple):
    """Return unspent tokens to the budget."""

    tokens: int


class BorrowTokens(NamedTuple):
    """Request a loan directly from a peer."""

    peer: str
    tokens: int


class RequestRecall(NamedTuple):
    """Request through the log that all holders return idle tokens."""

    tokens: int


Action = RequestGrant | ReturnTokens | BorrowTokens | RequestRecall
HoldingPolicy = Callable[[HoldingView], list[Action]]
HOLDING_POLICIES: dict[str, HoldingPolicy] = {}


def register_policy(name: str) -> Callable[[HoldingPolicy], HoldingPolicy]:
    """Return a decorator that registers a holding policy as ``name``."""

    def register(policy: HoldingPolicy) -> HoldingPolicy:
        HOLDING_POLICIES[name] = policy
        return policy

    return register


@register_policy("per_request")
def hold_per_request(view: HoldingView) -> list[Action]:
    """Draw each request's tokens from the log and return the unused ones."""
    actions = _return_tokens(view, view.free - view.wanted)
    if view.shortfall:
        actions += _request_grant(view, view.shortfall)
    return actions


@register_policy("equal_split")
def hold_equal_split(view: HoldingView) -> list[Action]:
    """Hold an equal share of the budget from the start."""
    share = view.prepaid // max(1, view.live_routers)
    holds_nothing = view.free + view.reserved + view.requested == 0
    if holds_nothing and view.available >= share // 2:
        return _request_grant(view, share)
    return []


@register_policy("fixed")
def hold_fixed(view: HoldingView) -> list[Action]:
    """Hold a fixed number of tokens and refill when half of them are spent."""
    ahead = view.free + view.requested - view.wanted
    if ahead < FIXED_SLICE_TOKENS // 2:
        return _request_grant(view, FIXED_SLICE_TOKENS - ahead)
    return []


@register_policy("adaptive")
def hold_adaptive(view: HoldingView) -> list[Action]:
    """Hold enough tokens to keep serving during an outage of the log.

    The target follows the recent rate. It is capped at a share of the budget's
    unspent tokens, so that it shrinks to single requests near exhaustion. Tokens
    beyond it are returned, and so are those that other routers recall. Without
    the log, tokens for waiting requests are borrowed from peers, preferably in
    the same failure domain.
    """
    target = find_target(view)
    if not view.log_reachable:
        return _borrow(view, target)
    surplus = view.free - view.wanted
    if view.recalled_ahead and view.lendable:
        return _return_tokens(view, view.recalled_ahead) + _request_recall(view)
    if surplus > target * HIGH_WATER:
        return _return_tokens(view, surplus - target)
    ahead = surplus + view.requested
    if view.shortfall == 0 and ahead >= target * LOW_WATER:
        return []
    if view.available > view.recalled_ahead:
        return _request_grant(view, max(target - ahead, view.shortfall))
    return _request_recall(view)


def find_target(view: HoldingView) -> int:
    """Return the adaptive policy's target for unreserved tokens."""
    fleet_part = view.fleet_rate / max(1, view.live_routers)
    rate = max(view.own_rate, fleet_part)
    ahead = rate * RATE_MARGIN * view.hold_ahead.total_seconds()
    cap = view.hold_share * view.remainder - view.reserved
    return max(0, int(min(ahead, cap)))


def _request_grant(view: HoldingView, tokens: int) -> list[Action]:
    """Request a grant unless the ledger shows that nothing is available."""
    if tokens <= 0 or view.available <= 0 or not view.log_reachable:
        return []
    return [RequestGrant(tokens)]


def _return_tokens(view: HoldingView, tokens: int) -> list[Action]:
    tokens = min(tokens, view.lendable)
    if tokens <= 0 or not view.log_reachable:
        return []
    return [ReturnTokens(tokens)]


def _request_recall(view: HoldingView) -> list[Action]:
    """Request a recall of what the smallest waiting request lacks."""
    missing = view.smallest_wanted - view.free - view.requested
    return [RequestRecall(missing)] if missing > 0 else []


def _borrow(view: HoldingView, target: int) -> list[Action]:
    """Borrow tokens for waiting requests from one reachable peer.

    Peers in the same failure domain are preferred, then the largest holding.
    """
    if not view.shortfall:
        return []
    lenders = [peer for peer in view.peers if peer.reachable and peer.held > 0]
    if not lenders:
        return []
    lender = max(lenders, key=lambda peer: (peer.same_failure_domain, peer.held))
    ahead = int(view.own_rate * BORROW_AHEAD.total_seconds())
    return [BorrowTokens(lender.incarnation, view.shortfall + min(ahead, target))]
