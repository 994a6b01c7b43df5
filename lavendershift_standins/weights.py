"""The platform's weight store, from which model engines load weights."""

import asyncio


class WeightStore:
    """A store that serves at most ``parallel_loads`` loads at once; others queue.

    Engines in one process may share a store::

        store = WeightStore(parallel_loads=1)
        engines = [EngineApp(s, clock, rng, store) for s in settings]
    """

    def __init__(self, parallel_loads: int) -> None:
        self._slots = asyncio.Semaphore(parallel_loads)

    async def load(self, duration_s: float) -> None:
        """Occupy a slot for ``duration_s`` seconds, the time of a load."""
        async with self._slots:
            await asyncio.sleep(duration_s)
