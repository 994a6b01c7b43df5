"""Tests of waits for room in the memory budget, on virtual time.

Guards against waits that take processor time while nothing changes, against room that
is noticed late, and against waiters that are never woken.
"""

import asyncio
import random
from datetime import timedelta

import pytest

from lavendershift.memory.budgets import MemoryBudget, Phase
from lavendershift.memory.waits import ROOM_WAIT, wait_for_room
from lavendershift.tests.virtualloop import VirtualLoop

MEGABYTE = 1024 * 1024
SECOND = timedelta(seconds=1)


class CountingBudget(MemoryBudget):
    """Counts the checks for room."""

    checks = 0

    def has_room(self, holding, extra):
        self.checks += 1
        return super().has_room(holding, extra)


class Room:
    """A budget on virtual time, with waiters that keep what they waited for."""

    def __init__(self, loop, total=64 * MEGABYTE):
        self.loop = loop
        self.budget = CountingBudget(loop, total)
        self.served = {}  # times at which waiters found room, by name
        self.refused = []
        self.over = set()

    def hold(self, size, owner="busy", phase=Phase.RUNNING):
        holding = self.budget.open((owner,), lambda: holding.close())
        holding.resize(size)
        holding.begin(phase)
        return holding

    def start(self, name, size, owner=None):
        holding = self.hold(0, owner or str(name), Phase.READING)
        return holding, asyncio.ensure_future(self._wait(name, holding, size))

    async def _wait(self, name, holding, size):
        is_over = lambda: name in self.over  # noqa: E731
        if await wait_for_room(self.budget, holding, size, is_over):
            holding.resize(holding.size + size)
            holding.begin(Phase.RUNNING)
            self.served[name] = self.loop.time()
        else:
            self.refused.append(name)


def play(work, **options):
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work(Room(loop, **options)))
    finally:
        loop.close()


def test_800_waits_check_rarely_while_nothing_changes():
    """Each of 800 waits checked for room every 20 ms, which took half a core."""

    async def work(room):
        busy = [room.hold(12 * MEGABYTE, str(n)) for n in range(4)]
        tasks = [room.start(n, MEGABYTE)[1] for n in range(800)]
        await asyncio.sleep(0.1)
        before = room.budget.checks
        await asyncio.sleep(2)
        checks = room.budget.checks - before
        for holding in busy:
            holding.close()
        await asyncio.gather(*tasks)
        return checks, room

    checks, room = play(work)
    assert checks < 200
    assert len(room.served) == 48


@pytest.mark.parametrize("by", ["total", "owner", "last large"])
def test_a_wait_ends_at_once_when_room_becomes_free(by):
    """Room that became free was noticed up to 20 ms later."""

    async def work(room):
        if by == "total":
            busy = [room.hold(12 * MEGABYTE, str(n)) for n in range(4)]
        elif by == "owner":
            busy = [room.hold(16 * MEGABYTE, "one") for _ in range(2)]
        else:
            busy = [room.hold(200 * MEGABYTE)]
        size = 100 * MEGABYTE if by == "last large" else 8 * MEGABYTE
        _, task = room.start("a", size, "one")
        await asyncio.sleep(0.507)
        assert not task.done()
        busy[0].close()
        await asyncio.wait([task], timeout=0.001)
        return room.served

    assert play(work) == {"a": pytest.approx(0.507, abs=1e-6)}


def test_a_small_waiter_is_woken_beside_a_large_one_that_exceeds_the_budget():
    async def work(room):
        room.hold(200 * MEGABYTE)
        busy = [room.hold(128 * 1024, str(n)) for n in range(128)]
        _, task = room.start("a", 100_000)
        await asyncio.sleep(0.507)
        assert not task.done()
        busy[0].close()
        await asyncio.wait([task], timeout=0.001)
        return room.served

    assert play(work) == {"a": pytest.approx(0.507, abs=1e-6)}


def test_room_is_given_to_as_many_as_it_suffices_for_in_their_order():
    async def work(room):
        busy = room.hold(48 * MEGABYTE)
        tasks = [room.start(n, 5 * MEGABYTE)[1] for n in range(12)]
        await asyncio.sleep(0.2)
        busy.close()
        await asyncio.sleep(0.01)
        served = list(room.served)
        await asyncio.gather(*tasks)
        return served, room

    served, room = play(work)
    assert served == list(range(9))
    assert room.refused == [9, 10, 11]


def test_a_waiter_for_less_is_woken_though_the_first_one_needs_more():
    async def work(room):
        busy = [room.hold(12 * MEGABYTE, str(n)) for n in range(4)]
        large, small = room.start("large", 40 * MEGABYTE), room.start("s", MEGABYTE)
        await asyncio.sleep(0.2)
        busy[0].close()
        await asyncio.gather(large[1], small[1])
        return room.served, room.refused

    served, refused = play(work)
    assert served == {"s": pytest.approx(0.2, abs=1e-6)}
    assert refused == ["large"]


@pytest.mark.parametrize("end", ["closed", "over", "cancelled"])
def test_a_waiter_that_ends_passes_its_turn_on(end):
    """The room is free for the second one, though the first one was woken for it."""

    async def work(room):
        busy = [room.hold(24 * MEGABYTE, str(n)) for n in range(2)]
        (first, task), (_, other) = (room.start(n, 20 * MEGABYTE) for n in "ab")
        await asyncio.sleep(0.2)
        busy[0].close()
        if end == "cancelled":
            task.cancel()
        else:
            room.over.add("a")
            if end == "closed":
                first.close()
            else:
                room.budget.waiting.recheck(first)
        await asyncio.wait([other], timeout=0.001)
        return room.served

    assert list(play(work)) == ["b"]


def test_slow_holdings_are_ended_for_waiters_whatever_they_lack():
    async def work(room):
        room.hold(44 * MEGABYTE)
        room.hold(2 * MEGABYTE, "slow", Phase.READING)
        room.hold(30 * MEGABYTE, "one", Phase.READING)
        tasks = [room.start("a", MEGABYTE)[1], room.start("b", 8 * MEGABYTE, "one")[1]]
        await asyncio.gather(*tasks)
        return room.served

    served = play(work, total=160 * MEGABYTE)
    assert set(served) == {"a", "b"}
    served = play(work, total=101 * MEGABYTE)
    assert set(served) == {"a", "b"}
    assert max(served.values()) < 1.2


def test_waits_end_after_the_longest_time():
    async def work(room):
        room.hold(64 * MEGABYTE)
        tasks = [room.start(n, MEGABYTE)[1] for n in range(5)]
        await asyncio.gather(*tasks)
        return room.loop.time(), room.refused

    ended, refused = play(work)
    assert ended == pytest.approx(ROOM_WAIT / SECOND, abs=0.001)
    assert len(refused) == 5


@pytest.mark.parametrize("seed", range(20))
def test_no_waiter_sleeps_while_there_is_room_for_it(seed):
    """Holdings of random sizes and owners come and go beside waiters."""
    rng = random.Random(seed)

    async def work(room):
        waiting = {}

        async def wait(name, size, owner):
            holding = room.hold(0, owner, Phase.READING)
            waiting[name] = holding, size
            found = await wait_for_room(room.budget, holding, size, lambda: False)
            del waiting[name]
            if found:
                holding.resize(size)
                await asyncio.sleep(rng.uniform(0, 0.5))
            holding.close()

        tasks = []
        for name in range(150):
            owner = rng.choice("abc")
            size = rng.choice([1_000, 100_000, 1_000_000, 9_000_000, 90_000_000])
            tasks.append(asyncio.ensure_future(wait(name, size, owner)))
            await asyncio.sleep(rng.uniform(0, 0.03))
            for _ in range(600):  # turns of the loop, one for each that is woken
                await asyncio.sleep(0)
            for holding, needed in waiting.values():
                assert not room.budget.has_room(holding, needed)
        await asyncio.gather(*tasks)
        assert room.budget.used == 0
        assert len(room.budget.waiting) == 0

    play(work)
