"""Decision whether a request that lacks tokens waits or is refused.

A request waits only for tokens that can become free in time: tokens reserved by
running attempts, tokens that the log can grant, and tokens that other routers
hold. If all of them together are too few, the request is refused immediately.
"""

from datetime import timedelta
from typing import NamedTuple

from lavendershift.errors import ErrorKind
from lavendershift.holdingpolicies import HoldingView

MAX_BUDGET_WAIT = timedelta(seconds=10)  # longest wait of a request for tokens
EXHAUSTED_RETRY_AFTER = timedelta(seconds=60)  # retry delay if too few tokens exist
PENDING_RETRY_AFTER = timedelta(seconds=2)  # retry delay after waiting without success


class Wait(NamedTuple):
    """Let the request wait for at most ``longest`` more."""

    longest: timedelta


class Refuse(NamedTuple):
    """Refuse the request with a retry delay (Retry-After)."""

    kind: ErrorKind
    retry_after: timedelta


def decide_wait(
    view: HoldingView, tokens: int, waited: timedelta, deadline_in: timedelta
) -> Wait | Refuse:
    """Decide whether a request for ``tokens`` that has ``waited`` waits longer.

    ``deadline_in`` is the time left until the request's deadline.
    """
    if tokens > sum_obtainable(view):
        return Refuse(ErrorKind.BUDGET_EXHAUSTED, EXHAUSTED_RETRY_AFTER)
    longest = min(MAX_BUDGET_WAIT - waited, deadline_in)
    if longest <= timedelta():
        return Refuse(ErrorKind.BUDGET_PENDING, PENDING_RETRY_AFTER)
    return Wait(longest)


def sum_obtainable(view: HoldingView) -> int:
    """Return the tokens that can become free at this router.

    Without the log only reachable peers can supply tokens, by loans.
    """
    own = view.free + view.reserved
    if view.log_reachable:
        held = sum(peer.held for peer in view.peers)
        return own + max(0, view.available) + held
    return own + sum(peer.held for peer in view.peers if peer.reachable)
