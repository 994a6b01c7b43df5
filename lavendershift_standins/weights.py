"""The platform's weight store, which model engines load weights from."""

import asyncio


class WeightStore:
    """A store that serves only ``parallel_loads`` at once; others queue.

    Engines of one process may share a store::

        store = WeightStore(parallel_loads=1)
        engines = [EngineApp(s, clock, rng, store) for s in settings]
    """

    def __init__(self, parallel_loads: int) -> None:
        self._slots = asyncio.Semaphore(parallel_loads)

    async def load(self, duration_s: float) -> None:
        """Take a slot for as long as a load lasts."""
        async with self._slots:
            await asyncio.sleep(duration_s)
