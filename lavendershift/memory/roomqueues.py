"""Queue of the holdings that wait for room in a budget, without I/O.

A holding is woken when the bytes that it lacks may have become free. One is woken at a
time, as it takes its room only when its task runs::

    queue.join(holding, extra, event.set)
    ...
    queue.leave(holding)
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from lavendershift.memory.budgets import Holding, MemoryBudget


class Obstacle(NamedTuple):
    """What is used too much, and the level down to which its use has to fall.

    ``owner`` is ``None`` for the use by all owners. A small holding finds room, too, if
    the use by small ones falls to ``small_level``.
    """

    owner: str | None
    level: float
    small_level: float = -1


class _Waiter(NamedTuple):
    extra: int
    wake: Callable[[], None]


class RoomQueue:
    """The holdings that wait for room, the longest wait first."""

    def __init__(self, budget: "MemoryBudget") -> None:
        self._budget = budget
        self._waiters: dict[Holding, _Waiter] = {}
        self._woken: Holding | None = None
        # Levels at which the next waiter may find room, by what they lack.
        self._levels: dict[str | None, float] = {}
        self._small_level = -1.0
        # The first waiter for each of these, for which slow holdings are ended in turn.
        self._firsts: list[tuple[Holding, int]] = []
        self._turn = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def join(self, holding: "Holding", extra: int, wake: Callable[[], None]) -> None:
        """Add a holding that needs ``extra`` bytes; ``wake`` makes it check again."""
        self._waiters[holding] = _Waiter(extra, wake)
        obstacle = self._budget.find_obstacle(holding, extra)
        if obstacle is not None:
            self._note_obstacle(holding, extra, obstacle)

    def leave(self, holding: "Holding") -> bool:
        """Remove a holding; return whether ``resume`` has to be called after it."""
        was_first = self.is_first(holding)
        self._waiters.pop(holding, None)
        if was_first and self._waiters:
            self._waiters[next(iter(self._waiters))].wake()
        return self._woken is holding

    def resume(self) -> None:
        """Wake the next holding that finds room, as the one woken last has checked."""
        self._woken = None
        self._wake_next()

    def note_no_room(self, holding: "Holding") -> None:
        """Note that a holding found no room and goes on waiting."""
        if self._woken is holding:
            self.resume()

    def is_first(self, holding: "Holding") -> bool:
        """Whether a holding has waited for longest; it then searches for slow ones."""
        return next(iter(self._waiters), None) is holding

    def choose_search(self) -> "tuple[Holding, int] | None":
        """Return the waiter, and its bytes, for which slow holdings are ended next."""
        self._firsts = [first for first in self._firsts if first[0] in self._waiters]
        if not self._firsts and self._woken is None:
            self._wake_next()
        if not self._firsts:
            return None
        self._turn += 1
        return self._firsts[self._turn % len(self._firsts)]

    def note_freed(self, owners: tuple[str, ...]) -> None:
        """Note that bytes of owners became free."""
        if not self._waiters or self._woken is not None:
            return
        if self._budget.small_used <= self._small_level:
            self._wake_next()
            return
        for owner in (None, *owners):
            level = self._levels.get(owner)
            if level is not None and self._budget.measure_use(owner) <= level:
                self._wake_next()
                return

    def note_last_large(self) -> None:
        """Note that at most one large holding is left, so that another may grow."""
        if self._waiters and self._woken is None:
            self._wake_next()

    def recheck(self, holding: "Holding") -> None:
        """Wake a holding whose request has ended."""
        waiter = self._waiters.get(holding)
        if waiter is not None:
            waiter.wake()

    def _wake_next(self) -> None:
        self._levels.clear()
        self._small_level = -1.0
        self._firsts.clear()
        for holding, waiter in self._waiters.items():
            obstacle = self._budget.find_obstacle(holding, waiter.extra)
            if obstacle is None:
                self._woken = holding
                waiter.wake()
                return
            self._note_obstacle(holding, waiter.extra, obstacle)

    def _note_obstacle(
        self, holding: "Holding", extra: int, obstacle: Obstacle
    ) -> None:
        owner, level, small_level = obstacle
        self._small_level = max(small_level, self._small_level)
        if owner not in self._levels:
            self._firsts.append((holding, extra))
        self._levels[owner] = max(level, self._levels.get(owner, level))
