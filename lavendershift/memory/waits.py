"""Waits of clients and servers, which aren't read, for room in the budget."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from lavendershift.memory.budgets import Holding, MemoryBudget, Phase

# Longest wait for room. Slow clients are ended after a second, which makes room.
ROOM_WAIT = timedelta(seconds=3)
POLL_S = 0.02  # interval between checks for room


async def wait_for_room(
    budget: MemoryBudget,
    holding: Holding,
    extra: int,
    is_over: Callable[[], bool],
    longest: timedelta = ROOM_WAIT,
) -> bool:
    """Wait until a holding may grow by ``extra`` bytes, and end slow ones.

    Returns false if there is no room within the time ``longest``, or if ``is_over``
    returns true.
    """
    until = budget.clock.elapsed() + min(longest, ROOM_WAIT)
    phase = holding.phase
    holding.begin(Phase.WAITING)
    while not budget.has_room(holding, extra):
        budget.evict_slow(holding, extra)
        if budget.has_room(holding, extra):
            break
        if is_over() or budget.clock.elapsed() >= until:
            return False
        await asyncio.sleep(POLL_S)
    if is_over():
        return False
    holding.begin(phase)
    return True
