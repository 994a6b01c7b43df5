"""How far the event loop is behind, and how much of the load that is too much.

In each turn, an event loop handles what arrived during the turn before. If the load is
``r`` times what the loop can handle, each turn takes ``r`` times as long as the one
before. If the fraction ``1 - LAG_LIMIT / lag`` of the load is then left out, the lag
settles at ``r * LAG_LIMIT``, where that fraction is ``1 - 1 / r``: the part of the load
beyond what the loop can handle. The meter needs no figure for the cost of a request::

    meter = OverloadMeter()
    meter.note_pause(pause)  # from ``PauseMeter``, every 50 ms
    if rng.random() < meter.find_excess():
        refuse()
"""

import math
from datetime import timedelta

from lavendershift.looppauses import INTERVAL, Pause

# Lag without any effect. Single requests take up to 30 ms on the smallest VMs, and the
# shortest target latency, 217 ms, has room for some turns of this length.
LAG_LIMIT = timedelta(milliseconds=40)
# A lag below this fraction of the one before belongs to a loop that is catching up.
CATCHING_UP = 0.75
# Longest pause that a processor time can explain, as its multiple. The smallest VM has
# 0.387 cores, and may get half of that from a busy host.
PAUSE_PER_PROCESSOR_TIME = 5
# Times in which the excess follows a rise or a fall by two thirds. It falls more slowly
# and only while the loop is on time, so that it settles in a lasting overload, but is
# under ``MIN_EXCESS`` within a second. In a replay in which it fell at each lag that
# asked for less, it was 0.61 at a load of four times the capacity, where 0.75 are
# needed, and 0.74 with this rule.
RISE_TIME = timedelta(milliseconds=150)
FALL_TIME = timedelta(milliseconds=300)
MIN_EXCESS = 0.05
MAX_EXCESS = 0.9  # with a part of the load left, the meter notices when it can be more


class OverloadMeter:
    """Measures the lag of the event loop and the excess of its load."""

    def __init__(self) -> None:
        self._lag = timedelta()
        self._excess = 0.0

    @property
    def lag(self) -> timedelta:
        """The time for which an event waited until the loop handled it."""
        return self._lag

    def note_pause(self, pause: Pause) -> None:
        """Note a measurement of ``PauseMeter``.

        A process that the host gives no processor time is late as well, but not for its
        load, and leaving out some of that would not help. A pause counts once the next
        measurement is about as late, so that a single one doesn't count, nor the turns
        in which the loop catches up after it.
        """
        explained = pause.processor_time * PAUSE_PER_PROCESSOR_TIME
        former, self._lag = self._lag, min(pause.length, explained)
        lasting = min(former, self._lag)
        duration = pause.length + INTERVAL
        if self._lag < LAG_LIMIT:
            self._excess *= math.exp(-duration / FALL_TIME)
        elif self._lag >= former * CATCHING_UP and lasting >= LAG_LIMIT:
            goal = 1 - LAG_LIMIT / lasting
            rise = max(goal - self._excess, 0)
            self._excess += rise * (1 - math.exp(-duration / RISE_TIME))

    def find_excess(self) -> float:
        """Return the fraction of the present load beyond what the loop can handle.

        It is 0 on a calm VM, and never more than ``MAX_EXCESS``.
        """
        return min(self._excess, MAX_EXCESS) if self._excess >= MIN_EXCESS else 0.0
