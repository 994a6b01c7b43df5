"""How far the event loop is behind, and how much of the load that is too much.

In each turn, an event loop handles what arrived during the turn before. If the load is
``r`` times what the loop can handle, each turn takes ``r`` times as long as the one
before. If the fraction ``1 - LAG_LIMIT / lag`` of the load is then left out, the lag
settles at ``r * LAG_LIMIT``, where that fraction is ``1 - 1 / r``: the part of the load
beyond what the loop can handle. The meter needs no figure for the cost of a request::

    meter = OverloadMeter(clock, read_processor_time)
    meter.note_pause(pause)  # from ``PauseMeter``, every 50 ms
    if rng.random() < meter.find_excess():
        refuse()
"""

import math
from collections.abc import Callable
from datetime import timedelta

from lavendershift.clocks import Clock
from lavendershift.looppauses import INTERVAL, Pause

# Lag without any effect. Single requests take up to 30 ms on the smallest VMs, and the
# shortest target latency, 217 ms, has room for some turns of this length.
LAG_LIMIT = timedelta(milliseconds=40)
# A lag below this fraction of the one before belongs to a loop that is catching up.
CATCHING_UP = 0.75
# Longest pause that a processor time can explain, as its multiple. The smallest VM has
# 0.387 cores, and may get half of that from a busy host.
PAUSE_PER_PROCESSOR_TIME = 5
# Time without the processor from which on a pause is one of the host. What arrived then
# is handled in up to the pause's length if half of the capacity is in use.
MIN_HOST_PAUSE = timedelta(milliseconds=200)
MAX_CATCHING_UP = timedelta(seconds=1)  # longest time for which that is waited for
# Times in which the excess follows a rise or a fall by two thirds. It falls more slowly
# and only while the loop is on time, so that it settles in a lasting overload, but is
# under ``MIN_EXCESS`` within a second. In a replay in which it fell at each lag that
# asked for less, it was 0.61 at a load of four times the capacity, where 0.75 are
# needed, and 0.70 to 0.74 with this rule.
RISE_TIME = timedelta(milliseconds=150)
FALL_TIME = timedelta(milliseconds=300)
MIN_EXCESS = 0.05
LOAD_TIME = timedelta(milliseconds=300)  # averaging time of the load
MAX_EXCESS = 0.9  # with a part of the load left, the meter notices when it can be more


class OverloadMeter:
    """Measures the lag of the event loop and the excess of its load."""

    def __init__(self, clock: Clock, read_processor: Callable[[], timedelta]) -> None:
        self._clock = clock
        self._read_processor = read_processor
        self._noted, self._used = clock.elapsed(), read_processor()
        self._calm_until = self._noted
        self._lag = timedelta()
        self._excess = 0.0
        self._load = 0.0

    @property
    def lag(self) -> timedelta:
        """The time for which an event waited until the loop handled it."""
        return self._lag

    @property
    def load(self) -> float:
        """The recent fraction of time in which the process used the processor."""
        return self._load

    def note_pause(self, pause: Pause) -> None:
        """Note a measurement of ``PauseMeter``.

        A process that the host gives no processor time is late as well, but not for its
        load, and leaving out some of that would not help. A pause counts once the next
        measurement is about as late, so that a single one doesn't count, nor do the
        turns in which the loop catches up after it.
        """
        self._noted, self._used = self._clock.elapsed(), self._read_processor()
        duration = pause.length + INTERVAL
        weight = 1 - math.exp(-duration / LOAD_TIME)
        self._load += (pause.processor_time / duration - self._load) * weight
        explained = pause.processor_time * PAUSE_PER_PROCESSOR_TIME
        if pause.length - explained >= MIN_HOST_PAUSE:
            catching_up = min(pause.length, MAX_CATCHING_UP)
            self._calm_until = self._noted + catching_up
        former, self._lag = self._lag, min(pause.length, explained)
        if self._lag < LAG_LIMIT:
            self._excess *= math.exp(-duration / FALL_TIME)
        else:
            self._excess = self._find_risen(former, self._lag)

    def find_excess(self) -> float:
        """Return the fraction of the present load beyond what the loop can handle.

        It is 0 on a calm VM, and never more than ``MAX_EXCESS``. It rises in the course
        of a long turn too, as a turn of a growing load may take seconds.
        """
        excess = self._excess
        late = self._clock.elapsed() - self._noted - INTERVAL
        if late >= LAG_LIMIT <= self._lag:
            used = self._read_processor() - self._used
            present = min(late, used * PAUSE_PER_PROCESSOR_TIME)
            excess = self._find_risen(self._lag, present)
        return min(excess, MAX_EXCESS) if excess >= MIN_EXCESS else 0.0

    def _find_risen(self, former: timedelta, lag: timedelta) -> float:
        """Return the excess after a lag that followed another one."""
        lasting = min(former, lag)
        if lag < former * CATCHING_UP or lasting < LAG_LIMIT:
            return self._excess
        if self._clock.elapsed() < self._calm_until:
            return self._excess
        rise = max(1 - LAG_LIMIT / lasting - self._excess, 0)
        return self._excess + rise * (1 - math.exp(-(lag + INTERVAL) / RISE_TIME))
