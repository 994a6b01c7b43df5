"""Budget of the bytes that a process holds for callers and servers.

Each connection has a holding, whose size is what the process holds for it. A holding
that grows asks first whether there is room. If there isn't, its client isn't read until
others end, and slow ones are ended, the oldest and largest first::

    budget = MemoryBudget(clock, limits.held_bytes)
    holding = budget.open(("10.0.0.9",), end_connection)
    if budget.has_room(holding, length):
        holding.resize(holding.size + length)
"""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from enum import Enum

from lavendershift.clocks import Clock
from lavendershift.memory.roomqueues import Obstacle, RoomQueue

# Size up to which a holding counts as small. A part of the budget is kept for these,
# so that large bodies leave room for ordinary requests.
SMALL_BYTES = 131_072
LARGE_SHARE = 0.75  # part of the budget that large holdings may fill
OWNER_SHARE = 0.5  # part of the budget that one address or customer may fill
# Time without progress after which a holding may be ended if there is no room.
STALL_TIME = timedelta(seconds=1)
# Interval between two searches for slow holdings, which look at all of them.
SEARCH_INTERVAL = timedelta(milliseconds=50)
# Rate below which a holding is slow if there is no room: the largest body takes 4 s.
MIN_BYTES_PER_S = 1_048_576


class Phase(Enum):
    """What a holding waits for."""

    IDLE = "idle"  # a request
    READING = "reading"  # bytes of its client
    WAITING = "waiting"  # room in the budget
    RUNNING = "running"  # the response to its request
    SENDING = "sending"  # its client, which has to read a response


class Holding:
    """What the process holds for one connection.

    ``owners`` are the address and, once it is known, the customer. ``evict`` ends the
    request that is read, or the response that isn't read by the client.
    """

    __slots__ = (
        "_budget",
        "evict",
        "is_open",
        "owners",
        "phase",
        "progress_at",
        "since",
        "size",
    )

    def __init__(
        self, budget: "MemoryBudget", owners: tuple[str, ...], evict: Callable[[], None]
    ) -> None:
        self._budget = budget
        self.owners = owners
        self.evict = evict
        self.size = 0
        self.phase = Phase.READING
        self.since = self.progress_at = budget.clock.elapsed()
        self.is_open = True

    def resize(self, size: int) -> None:
        """Set how many bytes are held."""
        if self.is_open and size != self.size:
            difference = size - self.size
            self._budget.change(self, difference)
            self.size = size
            if difference < 0:
                self._budget.waiting.note_freed(self.owners)

    def begin(self, phase: Phase) -> None:
        """Note that a phase begins."""
        self.phase = phase
        self.since = self.progress_at = self._budget.clock.elapsed()

    def note_progress(self) -> None:
        """Note that bytes were received or sent."""
        self.progress_at = self._budget.clock.elapsed()

    def close(self) -> None:
        """Return all that is held."""
        self.resize(0)
        self.is_open = False
        self._budget.forget(self)


class MemoryBudget:
    """Sums up what is held; ``total`` is the number of bytes that may be."""

    def __init__(self, clock: Clock, total: int) -> None:
        self.clock = clock
        self.total = total
        self.used = 0
        self._by_owner: Counter[str] = Counter()
        self._holdings: dict[Holding, None] = {}
        self.waiting = RoomQueue(self)
        self._large = 0  # number of holdings of more than ``SMALL_BYTES``
        self.small_used = 0  # bytes of the others
        self._searched_at = clock.elapsed() - SEARCH_INTERVAL

    def open(self, owners: tuple[str, ...], evict: Callable[[], None]) -> Holding:
        """Return the holding of a new connection."""
        holding = Holding(self, owners, evict)
        self._holdings[holding] = None
        return holding

    def change(self, holding: Holding, difference: int) -> None:
        """Count a change of a holding's size."""
        self.used += difference
        size = holding.size
        for owner in holding.owners:
            self._by_owner[owner] += difference
        after = size + difference
        self.small_used += _count_small(after) - _count_small(size)
        more = (after > SMALL_BYTES) - (size > SMALL_BYTES)
        self._large += more
        if more < 0 and self._large <= 1:
            self.waiting.note_last_large()

    def add_owner(self, holding: Holding, owner: str) -> None:
        """Count a holding for one more owner too."""
        if owner and owner not in holding.owners:
            holding.owners += (owner,)
            self._by_owner[owner] += holding.size

    def drop_owners(self, holding: Holding, owners: tuple[str, ...]) -> None:
        """Count a holding for ``owners`` only, as its request has ended."""
        for owner in holding.owners:
            if owner not in owners:
                self._by_owner[owner] -= holding.size
                if not self._by_owner[owner]:
                    del self._by_owner[owner]
        dropped, holding.owners = holding.owners, owners
        if dropped != owners:
            self.waiting.note_freed(dropped)

    def forget(self, holding: Holding) -> None:
        """Remove a holding of size 0."""
        self._holdings.pop(holding, None)
        self.waiting.recheck(holding)
        for owner in holding.owners:
            if not self._by_owner[owner]:
                del self._by_owner[owner]

    def has_room(self, holding: Holding, extra: int) -> bool:
        """Return whether a holding may grow by ``extra`` bytes.

        A large one may always grow if there is no other large one, so that the largest
        request within the limits of the configuration is served in calm conditions.
        Small ones always have the part of the budget that is kept for them.
        """
        return self.find_obstacle(holding, extra) is None

    def find_obstacle(self, holding: Holding, extra: int) -> Obstacle | None:
        """Return why a holding may not grow by ``extra`` bytes, ``None`` if it may."""
        if holding.size + extra <= SMALL_BYTES:
            # One large holding may exceed the budget.
            small_level = self.total * (1 - LARGE_SHARE) - extra
            if self.small_used <= small_level or self.used + extra <= self.total:
                return None
            return Obstacle(None, self.total - extra, small_level)
        obstacle = None
        level, owner_level = self._find_large_levels(extra)
        if self.used > level:
            obstacle = Obstacle(None, level)
        else:
            for owner in holding.owners:
                if self._by_owner[owner] > owner_level:
                    obstacle = Obstacle(owner, owner_level)
        if obstacle is None or self._large == (holding.size > SMALL_BYTES):
            return None
        return obstacle

    def _find_large_levels(self, extra: int) -> tuple[float, float]:
        """Return the use by all, and by one owner, beside ``extra`` bytes."""
        return self.total * LARGE_SHARE - extra, self.total * OWNER_SHARE - extra

    def measure_use(self, owner: str | None) -> int:
        """Return the bytes held for an owner, or for all if it is ``None``."""
        return self.used if owner is None else self._by_owner[owner]

    def _helps(self, victim: Holding, holding: Holding, extra: int) -> bool:
        """Whether the end of ``victim`` may let another holding grow.

        If only an owner of the holding has too much, other owners' don't help.
        """
        level, owner_level = self._find_large_levels(extra)
        if self.used > level:
            return True
        return any(
            owner in victim.owners
            for owner in holding.owners
            if self._by_owner[owner] > owner_level
        )

    def find_slow(self) -> list[Holding]:
        """Return the holdings that may be ended for lack of room, the first first.

        A slow one has made no progress for ``STALL_TIME``, or is behind the rate of
        ``MIN_BYTES_PER_S``. The product of age and size gives the order.
        """
        now = self.clock.elapsed()
        slow = [holding for holding in self._holdings if _is_slow(holding, now)]
        slow.sort(key=lambda holding: (now - holding.since) * holding.size)
        return slow[::-1]

    def find_longest_idle(self) -> Holding | None:
        """Return the connection that has been idle for longest, if for long enough."""
        now = self.clock.elapsed()
        idle = [
            holding
            for holding in self._holdings
            if holding.phase is Phase.IDLE and now - holding.since > STALL_TIME
        ]
        return min(idle, key=lambda holding: holding.since, default=None)

    def evict_slow(self, holding: Holding, extra: int) -> int:
        """End slow holdings until another one may grow; return how many were ended."""
        now, ended = self.clock.elapsed(), 0
        if now - self._searched_at < SEARCH_INTERVAL:
            return 0
        self._searched_at = now
        for victim in self.find_slow():
            if self.has_room(holding, extra):
                break
            if victim is not holding and self._helps(victim, holding, extra):
                victim.evict()
                ended += 1
        return ended


def _count_small(size: int) -> int:
    return size if size <= SMALL_BYTES else 0


def _is_slow(holding: Holding, now: timedelta) -> bool:
    if holding.phase not in (Phase.READING, Phase.SENDING) or not holding.size:
        return False
    if now - holding.progress_at > STALL_TIME:
        return True
    allowed = STALL_TIME + timedelta(seconds=holding.size / MIN_BYTES_PER_S)
    return now - holding.since > allowed
