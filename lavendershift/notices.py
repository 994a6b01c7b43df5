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


NO_SIGNAL = ServerSignal()


class _ReceivedSignals(NamedTuple):
    is_leaving: bool
    paused_until: timedelta


class ServerSignals:
    """The notices of all servers, the newest incarnations only."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._received: OrderedDict[Incarnation, _ReceivedSignals] = OrderedDict()

    def apply(self, incarnation: Incarnation, signal: ServerSignal) -> bool:
        """Take over a notice; true if this VM did not know that the server leaves."""
        if signal == NO_SIGNAL:
            return False
        known = self._received.pop(incarnation, _ReceivedSignals(False, timedelta()))
        until = self._clock.elapsed() + (signal.pause or timedelta())
        self._received[incarnation] = _ReceivedSignals(
            known.is_leaving or signal.is_leaving, max(known.paused_until, until)
        )
        if len(self._received) > MAX_INCARNATIONS:
            self._received.popitem(last=False)
        return signal.is_leaving and not known.is_leaving

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Whether an incarnation of a server said that it leaves."""
        received = self._received.get(incarnation)
        return received is not None and received.is_leaving

    def find_pause(self, incarnation: Incarnation) -> timedelta:
        """Return how much longer an incarnation wants no request, at least 0."""
        received = self._received.get(incarnation)
        if received is None:
            return timedelta()
        return max(received.paused_until - self._clock.elapsed(), timedelta())
