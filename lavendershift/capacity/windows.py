"""Measurements of one server in time slots, and their median.

Load pattern: times that are 2.5 times as long during 15 % of the time, 600 ms at a
time, and lasting changes of speed. One of eight slots of 500 ms is noisy on average, so
the median ignores the noise, and follows a lasting change after half of the slots::

    window = Window()
    window.add(math.log(1.7), now)
    window.find_median()
"""

import itertools
from collections import deque
from datetime import timedelta
from typing import NamedTuple

SLOT = timedelta(milliseconds=500)
MAX_SLOTS = 8  # slots with measurements that an estimate is made of
# Age at which a slot is dropped. Servers with few requests keep older slots.
MAX_AGE = timedelta(seconds=10)
# Time after which a slot counts by half, so that two new slots of a server that is
# tried rarely outweigh those from before it recovered.
SLOT_HALF_LIFE = timedelta(seconds=4)
MAX_SLOT_COUNT = 20  # measurements that one slot counts, whoever sent them
MAX_ADOPTED = 4  # slots that another VM's estimate stands for; half of a window


class _Slot:
    """The sum and the number of the measurements of one time slot."""

    __slots__ = ("count", "number", "total")

    def __init__(self, number: int) -> None:
        self.number = number
        self.total = 0.0
        self.count = 0

    @property
    def mean(self) -> float:
        return self.total / self.count


class Estimate(NamedTuple):
    """A value, the number of slots that it was made of, and the age of the newest."""

    value: float
    slots: int
    age: timedelta


class Window:
    """The newest slots with measurements, in order of time."""

    __slots__ = ("_slots",)

    def __init__(self) -> None:
        self._slots: deque[_Slot] = deque()

    def add(self, value: float, at: timedelta, count: int = 1) -> None:
        """Add the mean ``value`` of ``count`` measurements that were made at ``at``."""
        number = at // SLOT
        slot = self._find_slot(number)
        if slot is None:
            return
        count = min(count, MAX_SLOT_COUNT - slot.count)
        if count > 0:
            slot.total += value * count
            slot.count += count

    def _find_slot(self, number: int) -> _Slot | None:
        """Return the slot with a number, ``None`` if it is older than all kept ones."""
        slots = self._slots
        position = len(slots)
        while position and slots[position - 1].number > number:
            position -= 1
        if position and slots[position - 1].number == number:
            return slots[position - 1]
        if len(slots) >= MAX_SLOTS:
            if not position:
                return None
            slots.popleft()
            position -= 1
        slot = _Slot(number)
        slots.insert(position, slot)
        return slot

    def adopt(self, estimate: Estimate, now: timedelta) -> None:
        """Start from another VM's estimate, unless there are measurements."""
        if self._slots or estimate.age > MAX_AGE:
            return
        for number in range(min(estimate.slots, MAX_ADOPTED)):
            self.add(estimate.value, now - estimate.age - number * SLOT)

    def find_median(self, now: timedelta) -> Estimate | None:
        """Return the median of the slots, weighted by age, ``None`` without any."""
        self._expire(now)
        if not self._slots:
            return None
        newest = self._slots[-1].number
        weighted = sorted(
            (slot.mean, 0.5 ** ((newest - slot.number) * SLOT / SLOT_HALF_LIFE))
            for slot in self._slots
        )
        half = sum(weight for _, weight in weighted) / 2
        sums = itertools.accumulate(weight for _, weight in weighted)
        middle = next(i for i, total in enumerate(sums) if total >= half)
        return Estimate(weighted[middle][0], len(weighted), self._find_age(now))

    def sum_counts(self, now: timedelta) -> tuple[float, int, timedelta]:
        """Return the sum and number of all measurements, and the newest one's age."""
        self._expire(now)
        if not self._slots:
            return 0.0, 0, timedelta()
        total = sum(slot.total for slot in self._slots)
        return total, sum(slot.count for slot in self._slots), self._find_age(now)

    def _find_age(self, now: timedelta) -> timedelta:
        return max(now - self._slots[-1].number * SLOT - SLOT, timedelta())

    def _expire(self, now: timedelta) -> None:
        oldest = (now - MAX_AGE) // SLOT
        while self._slots and self._slots[0].number < oldest:
            self._slots.popleft()
