"""What backend servers said of themselves in their answers.

An answer may say that its server leaves, or, where it turns a request away, for how
long the server wants none. Both bind this VM at once and for as long as the server's
incarnation lives, whatever the entries say and whether or not they can be read: an
entry that is older, or comes back after it lapsed, takes nothing back::

    notices = Notices(clock)
    notices.take(("i-7f3a91c2", 1_700_000_000_000), ServerNotice(is_leaving=True))
"""

from collections import OrderedDict
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock

MAX_INCARNATIONS = 2000  # of servers whose notices are remembered

Incarnation = tuple[str, int]  # a server's id and the start of its process


class ServerSignal(NamedTuple):
    """What one answer says; ``pause`` is how long the server wants no request."""

    is_leaving: bool = False
    pause: timedelta | None = None


NO_NOTICE = ServerSignal()


class _Told(NamedTuple):
    is_leaving: bool
    paused_until: timedelta


class Notices:
    """The notices of all servers, the newest incarnations only."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._told: OrderedDict[Incarnation, _Told] = OrderedDict()

    def take(self, incarnation: Incarnation, notice: ServerSignal) -> bool:
        """Take over a notice; true if this VM did not know that the server leaves."""
        if notice == NO_NOTICE:
            return False
        known = self._told.pop(incarnation, _Told(False, timedelta()))
        until = self._clock.elapsed() + (notice.pause or timedelta())
        self._told[incarnation] = _Told(
            known.is_leaving or notice.is_leaving, max(known.paused_until, until)
        )
        if len(self._told) > MAX_INCARNATIONS:
            self._told.popitem(last=False)
        return notice.is_leaving and not known.is_leaving

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Whether an incarnation of a server said that it leaves."""
        told = self._told.get(incarnation)
        return told is not None and told.is_leaving

    def find_pause(self, incarnation: Incarnation) -> timedelta:
        """Return how much longer an incarnation wants no request, at least 0."""
        told = self._told.get(incarnation)
        if told is None:
            return timedelta()
        return max(told.paused_until - self._clock.elapsed(), timedelta())
