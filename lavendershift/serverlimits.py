"""Limits that backend servers put on the requests/s of all VMs together.

An overloaded server names its limit in its responses, for as long as it has one.
Nothing in a response tells when the server wrote it, and VMs have no common clock, so
limits are ordered by what was known when they were learned:

- A lower limit takes effect immediately. It may come from an old response, and then
  the next response corrects it.
- A higher limit, or none, takes effect only if the request was sent after the lower
  one became known. Any other response may be older than the lower limit.
- Each change increments a version. Between VMs the higher version is the newer one,
  and of two equal versions the lower limit applies::

    limits = ServerLimits(clock)
    limits.note_response(("i-7f3a91c2", 1_700_000_000_000), 1.2, sent_at)
    limits.find(("i-7f3a91c2", 1_700_000_000_000))  # 1.2

A cold server has a limit too, which each VM derives from the server's entries, see
``coldservers``. The lower of the two applies. A limited server may be sent a request
only with a permit, see ``permits``. A VM that was refused one doesn't choose the server
again before the next permit is due.
"""

from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.serversignals import MAX_INCARNATIONS, Incarnation

# Requests/s to a server whose limit is lower, as only responses tell that it ended.
MIN_RATE = 0.2
# Longest time without a request for a permit after a refusal, as the limit may rise.
MAX_REFUSAL = timedelta(seconds=1)
# Longest delay after which a caller is told to return to servers with limits.
MAX_RETURN_DELAY = timedelta(seconds=5)


class LimitState(NamedTuple):
    """A limit in requests/s, ``None`` if there is none, and its version."""

    rate: float | None = None
    version: int = 0

    def supersedes(self, other: "LimitState") -> bool:
        """Whether this state is newer than ``other``, or as new and lower."""
        if self.version != other.version:
            return self.version > other.version
        return is_lower(self.rate, other.rate)


class _KnownLimit(NamedTuple):
    state: LimitState
    known_since: timedelta


class _Refusal(NamedTuple):
    """A refused permit: none is due before ``until``, unless for more urgent requests.

    ``urgency`` is the rank of the refused request, 0 is the most urgent.
    """

    until: timedelta
    urgency: int


NO_LIMIT = LimitState()


class ServerLimits:
    """Limits of servers, for at most ``MAX_INCARNATIONS``.

    ``on_change`` is called with each new state, and with whether a response to this VM
    named it or another VM did.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._known: OrderedDict[Incarnation, _KnownLimit] = OrderedDict()
        self._refusals: dict[Incarnation, _Refusal] = {}
        self._returns: dict[str, timedelta] = {}
        self.find_cold: Callable[[Incarnation], float | None] = lambda incarnation: None
        self.on_change: Callable[[Incarnation, LimitState, bool], None] = (
            lambda incarnation, state, is_own: None
        )

    def note_response(
        self, incarnation: Incarnation, rate: float | None, sent_at: timedelta | None
    ) -> None:
        """Record the limit in a response, ``None`` if it names none.

        ``sent_at`` is when its request was sent, ``None`` if that is unknown.
        """
        known = self._known.get(incarnation)
        state = NO_LIMIT if known is None else known.state
        if rate == state.rate:
            return
        may_be_old = known is not None and (
            sent_at is None or sent_at < known.known_since
        )
        if may_be_old and not is_lower(rate, state.rate):
            return
        self._store(incarnation, LimitState(rate, state.version + 1), is_own=True)

    def merge(self, incarnation: Incarnation, state: LimitState) -> None:
        """Apply the state that another VM knows, if it is newer."""
        if state.supersedes(self.find_state(incarnation)):
            self._store(incarnation, state, is_own=False)

    def _store(self, incarnation: Incarnation, state: LimitState, is_own: bool) -> None:
        self._known.pop(incarnation, None)
        self._known[incarnation] = _KnownLimit(state, self._clock.elapsed())
        # The next permit depends on the limit.
        self._refusals.pop(incarnation, None)
        if len(self._known) > MAX_INCARNATIONS:
            oldest, _ = self._known.popitem(last=False)
            self._refusals.pop(oldest, None)
        self.on_change(incarnation, state, is_own)

    def find(self, incarnation: Incarnation) -> float | None:
        """Return the limit of an incarnation, ``None`` if it has none."""
        rate, cold = self.find_state(incarnation).rate, self.find_cold(incarnation)
        return cold if is_lower(cold, rate) else rate

    def find_state(self, incarnation: Incarnation) -> LimitState:
        """Return the limit of an incarnation with its version."""
        known = self._known.get(incarnation)
        return NO_LIMIT if known is None else known.state

    def list_limited(self) -> dict[Incarnation, LimitState]:
        """Return the limits in force."""
        return {
            incarnation: known.state
            for incarnation, known in self._known.items()
            if known.state.rate is not None
        }

    def note_refusal(
        self, incarnation: Incarnation, urgency: int, wait: timedelta
    ) -> None:
        """Record that no permit is due before ``wait`` has passed.

        It is ignored if the limit ended while the permit was requested.
        """
        if self.find(incarnation) is not None:
            until = self._clock.elapsed() + min(wait, MAX_REFUSAL)
            self._refusals[incarnation] = _Refusal(until, urgency)

    def find_wait(self, incarnation: Incarnation, urgency: int) -> timedelta:
        """Return the time until a permit may be due, 0 if it may be due now.

        ``urgency`` is the rank of the request, 0 is the most urgent.
        """
        refusal = self._refusals.get(incarnation)
        if refusal is None or urgency < refusal.urgency:
            return timedelta()
        if self.find(incarnation) is None:
            return timedelta()  # a cold server has become warm
        return max(refusal.until - self._clock.elapsed(), timedelta())

    def schedule_return(
        self, service: str, earliest: timedelta, rate: float
    ) -> timedelta:
        """Return the delay after which a refused caller should return.

        Load pattern: all servers of a service have limits, and callers send more than
        these allow. They are told to return one by one, ``rate`` of them a second, so
        that they don't arrive together and are refused again.
        """
        now = self._clock.elapsed()
        at = max(now + earliest, self._returns.get(service, timedelta()))
        at = min(at, now + MAX_RETURN_DELAY)
        self._returns[service] = at + timedelta(seconds=1 / rate)
        return at - now


def is_lower(rate: float | None, other: float | None) -> bool:
    """Whether a limit allows less than ``other``; ``None`` allows everything."""
    if rate is None:
        return False
    return other is None or rate < other
