"""Random schedules of faults and planned operations."""

import heapq
import time
from concurrent.futures import ThreadPoolExecutor

BESIDE_GAP_S = (0.2, 1.0)


def run_phase(world, kinds, length_s, gap_s):
    """Run two or three schedules at once, one of each registry of kinds.

    They have a random generator each: another kind in a later registry leaves the
    earlier schedules of all seeds as they are.
    """
    first, *others = kinds
    rngs = (world.rng_beside, world.rng_domains)
    with ThreadPoolExecutor(len(rngs)) as pool:
        beside = [
            pool.submit(run_schedule, world, rng, other, length_s, BESIDE_GAP_S)
            for rng, other in zip(rngs, others, strict=False)
        ]
        run_schedule(world, world.rng, first, length_s, gap_s)
        for running in beside:
            running.result()


def run_schedule(world, rng, kinds, length_s, gap_s):
    """Inject random kinds for ``length_s`` seconds, then end all that still last."""
    undos = []
    end = time.monotonic() + length_s
    number = 0
    while time.monotonic() < end:
        undo_until(undos, time.monotonic())
        name = rng.choices(list(kinds), [k.weight for k in kinds.values()])[0]
        kind = kinds[name]
        world.operations.append((time.monotonic(), name))
        undo = kind.inject(world, rng)
        if undo is not None:
            number += 1
            duration_s = rng.uniform(0.1, 1.0) * kind.max_duration_s
            heapq.heappush(undos, (time.monotonic() + duration_s, number, undo))
        time.sleep(rng.uniform(*gap_s))
    undo_until(undos, float("inf"))


def undo_until(undos, now):
    while undos and undos[0][0] <= now:
        heapq.heappop(undos)[2]()
