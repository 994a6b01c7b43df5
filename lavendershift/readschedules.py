"""Schedule of the calls by which a feed reads a log over an unreliable path.

A call whose connection has fallen silent hangs without an error, so that another one is
made beside it, on a new connection. On a congested path every response is late, and
further calls would only add to the load; so the time until a call counts as hanging
follows the delay of the path, and none is made while one connects or receives::

    schedule = ReadSchedule()
    call = schedule.start(now, wait=timedelta(seconds=1))
    schedule.note_connected(call, now)
    check = schedule.plan(now)  # whether to start a call, or when to check again
"""

from datetime import timedelta
from typing import NamedTuple

# Time beyond the delay of the path after which a call without a byte is hanging.
PROGRESS_TIMEOUT = timedelta(milliseconds=400)
# Interval between a failed call and the next.
RETRY_INTERVAL = timedelta(milliseconds=250)
# Longest delay that is taken for that of the path.
MAX_DELAY = timedelta(seconds=2)
MAX_CONCURRENT_CALLS = 4  # maximum number of calls in one reading


class Plan(NamedTuple):
    """Whether to start a call now; if not, the time until the next check.

    ``check_after`` is ``None`` if nothing is to be done until a call ends.
    """

    starts_call: bool
    check_after: timedelta | None


class _Call:
    """A call in flight."""

    def __init__(self, began: timedelta, wait: timedelta) -> None:
        self.began = began
        self.wait = wait
        self.connected_at: timedelta | None = None


class ReadSchedule:
    """The calls in flight of a feed, which reads one batch after the other."""

    def __init__(self) -> None:
        self._calls: dict[int, _Call] = {}
        self._number = 0
        self._retry_at = timedelta()
        self._delay = timedelta()
        self.receiving: int | None = None

    def clear(self) -> None:
        """Begin the next reading; the calls of the last one have ended."""
        self._calls.clear()
        self.receiving = None
        self._retry_at = timedelta()

    def start(self, now: timedelta, wait: timedelta) -> int:
        """Add a call, for which the log may wait up to ``wait``; return its number."""
        self._number += 1
        self._calls[self._number] = _Call(now, wait)
        return self._number

    def note_connected(self, number: int, now: timedelta) -> None:
        """Note that a call is being sent on a connection, which may be an old one."""
        call = self._calls.get(number)
        if call is None:
            return
        call.connected_at = now
        if now > call.began:
            # An attempt to connect may have begun before the call.
            self._note_delay(max(now - call.began, self._delay))

    def note_bytes(self, number: int, now: timedelta) -> bool:
        """Note that bytes arrived; return whether the other calls are now needless."""
        call = self._calls.get(number)
        if call is None or self.receiving is not None:
            return False
        self.receiving = number
        if call.connected_at is not None:
            response_time = now - call.connected_at
            # With a wait, the response time is an upper bound of the delay.
            self._note_delay(
                min(response_time, self._delay) if call.wait else response_time
            )
        self._calls = {number: call}
        return True

    def note_failed(self, number: int, now: timedelta) -> None:
        """Note that a call failed, so that the next one starts after an interval."""
        self._calls.pop(number, None)
        if self.receiving == number:
            self.receiving = None
        self._retry_at = now + RETRY_INTERVAL

    def plan(self, now: timedelta) -> Plan:
        """Return what to do now."""
        if now < self._retry_at and not self._calls:
            return Plan(False, self._retry_at - now)
        if not self._calls:
            return Plan(True, None)
        if self.receiving is not None or len(self._calls) >= MAX_CONCURRENT_CALLS:
            return Plan(False, None)
        hanging_at = self._retry_at
        for call in self._calls.values():
            if call.connected_at is None:
                # Connecting has attempts of its own, beside each other.
                return Plan(False, PROGRESS_TIMEOUT)
            patience = PROGRESS_TIMEOUT + self._delay + call.wait
            hanging_at = max(hanging_at, call.connected_at + patience)
        if now < hanging_at:
            return Plan(False, hanging_at - now)
        return Plan(True, None)

    def _note_delay(self, delay: timedelta) -> None:
        self._delay = min(delay, MAX_DELAY)
