"""Signals that backend servers send in their responses.

A response may announce that its server drains, or, if it rejects the request, for how
long the server accepts no requests. Such a signal takes effect on this VM immediately
and for the lifetime of the server's incarnation, whatever the server's entry states and
whether or not entries can be read: an entry that is older, or is written again after it
expired, doesn't revoke the signal. Limits on the requests of all VMs are in
``serverlimits``::

    signals = ServerSignals(clock)
    signals.apply(("i-7f3a91c2", 1_700_000_000_000), ServerSignal(is_leaving=True))
"""

from collections import OrderedDict
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock

MAX_INCARNATIONS = 2000  # incarnations of servers whose signals are remembered

Incarnation = tuple[str, int]  # a server's id and the start of its process


class ServerSignal(NamedTuple):
    """The signal of one response.

    ``pause`` is the time without new requests, ``limit`` the requests/s that the server
    takes from all VMs together, ``None`` if the response doesn't name them.
    ``has_invalid_limit`` is set if it names a limit that can't be read.
    """

    is_leaving: bool = False
    pause: timedelta | None = None
    limit: float | None = None
    has_invalid_limit: bool = False


class _ReceivedSignals(NamedTuple):
    is_leaving: bool
    paused_until: timedelta


class ServerSignals:
    """Latest drain and pause signals of servers, for at most ``MAX_INCARNATIONS``."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._received: OrderedDict[Incarnation, _ReceivedSignals] = OrderedDict()

    def apply(self, incarnation: Incarnation, signal: ServerSignal) -> bool:
        """Apply a signal; return whether it is the first to announce a drain."""
        if not signal.is_leaving and signal.pause is None:
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
        """Whether an incarnation of a server announced that it drains."""
        received = self._received.get(incarnation)
        return received is not None and received.is_leaving

    def find_pause(self, incarnation: Incarnation) -> timedelta:
        """Return the remaining pause of an incarnation, 0 if there is none."""
        received = self._received.get(incarnation)
        if received is None:
            return timedelta()
        return max(received.paused_until - self._clock.elapsed(), timedelta())
