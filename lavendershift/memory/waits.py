"""Waits of clients and servers, which aren't read, for room in the budget."""

import asyncio
import contextlib
from collections.abc import Callable
from datetime import timedelta

from lavendershift.memory.budgets import SEARCH_INTERVAL, Holding, MemoryBudget, Phase

# Longest wait for room. Slow clients are ended after a second, which makes room.
ROOM_WAIT = timedelta(seconds=3)


async def wait_for_room(
    budget: MemoryBudget,
    holding: Holding,
    extra: int,
    is_over: Callable[[], bool],
    longest: timedelta = ROOM_WAIT,
) -> bool:
    """Wait until a holding may grow by ``extra`` bytes, and end slow ones.

    Returns false if there is no room within the time ``longest``, or if ``is_over``
    returns true. ``RoomQueue.recheck`` has to be called if that becomes true while the
    holding stays open.
    """
    until = budget.clock.elapsed() + min(longest, ROOM_WAIT)
    phase = holding.phase
    holding.begin(Phase.WAITING)
    budget.evict_slow(holding, extra)
    if not budget.has_room(holding, extra) and not await _wait_in_queue(
        budget, holding, extra, is_over, until
    ):
        return False
    if is_over():
        return False
    holding.begin(phase)
    return True


async def _wait_in_queue(
    budget: MemoryBudget,
    holding: Holding,
    extra: int,
    is_over: Callable[[], bool],
    until: timedelta,
) -> bool:
    """Wait until the holding is woken and finds room; return whether it did."""
    queue, woken = budget.waiting, asyncio.Event()
    queue.join(holding, extra, woken.set)
    try:
        while not budget.has_room(holding, extra):
            queue.note_no_room(holding)
            left = until - budget.clock.elapsed()
            if is_over() or left <= timedelta():
                return False
            if queue.is_first(holding):
                # Holdings become slow without any change that would wake a waiter, so
                # the first one searches for all.
                search = queue.choose_search()
                if search is not None:
                    budget.evict_slow(*search)
                left = min(left, SEARCH_INTERVAL)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left.total_seconds()):
                    await woken.wait()
            woken.clear()
        return True
    finally:
        if queue.leave(holding):
            # The room is taken in this turn of the event loop.
            asyncio.get_running_loop().call_soon(queue.resume)
