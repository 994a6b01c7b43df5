"""Whether a request that is short of tokens waits or is refused.

Waiting only helps when tokens can come free in time: those reserved by
running attempts, those asked for, and those that other routers hold. When all
of them together cannot cover the request, it is refused at once.
"""

from datetime import timedelta
from typing import NamedTuple

from lavendershift.errors import ErrorKind
from lavendershift.holdings import HoldingView

MAX_BUDGET_WAIT = timedelta(seconds=10)
EXHAUSTED_RETRY_AFTER = timedelta(seconds=60)
PENDING_RETRY_AFTER = timedelta(seconds=2)


class Wait(NamedTuple):
    """Keep the request waiting for at most ``longest`` more."""

    longest: timedelta


class Refuse(NamedTuple):
    """Refuse the request, and say when to come back."""

    kind: ErrorKind
    retry_after: timedelta


def decide_wait(
    view: HoldingView, tokens: int, waited: timedelta, deadline_in: timedelta
) -> Wait | Refuse:
    """Decide about a request that needs ``tokens`` and has waited so far.

    ``deadline_in`` is the time left until the request is of no use.
    """
    if tokens > sum_obtainable(view):
        return Refuse(ErrorKind.BUDGET_EXHAUSTED, EXHAUSTED_RETRY_AFTER)
    longest = min(MAX_BUDGET_WAIT - waited, deadline_in)
    if longest <= timedelta():
        return Refuse(ErrorKind.BUDGET_PENDING, PENDING_RETRY_AFTER)
    return Wait(longest)


def sum_obtainable(view: HoldingView) -> int:
    """Return the tokens that could become free at this router."""
    own = view.free + view.reserved
    if view.log_reachable:
        held = sum(peer.held for peer in view.peers)
        return own + max(0, view.available) + held
    return own + sum(peer.held for peer in view.peers if peer.reachable)
