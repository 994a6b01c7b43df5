"""Settlement of attempts whose usage is unknown.

If the connection to an engine breaks during a response, the consumed tokens are
unknown and the full reservation is in doubt: it stays reserved. The engine may
still know the attempt. The reservation is settled by the usage that the engine
reports once the attempt has ended.
"""

import asyncio

from lavendershift.allocators import HeldReservation
from lavendershift.budgets import Budgets
from lavendershift.usages import UsageReader


class UsageInquiry:
    """Settles this router's attempts in doubt by the usage that engines report.

    Without a report the reservation stays in doubt until an operator releases
    it.
    """

    def __init__(self, reader: UsageReader, budgets: Budgets) -> None:
        self._reader = reader
        self._budgets = budgets
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, held: HeldReservation, address: str, attempt: str) -> None:
        """Mark ``held`` as in doubt, cancel its attempt and request the usage."""
        self._budgets.mark_in_doubt(held)
        task = asyncio.ensure_future(self._settle(held, address, attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Stop requesting usage; reservations in doubt stay in doubt."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def cancel_attempt(self, address: str, attempt: str) -> None:
        """Cancel an attempt on its engine; it may already have ended."""
        await self._reader.cancel_attempt(address, attempt)

    async def _settle(self, held: HeldReservation, address: str, attempt: str) -> None:
        await self._reader.cancel_attempt(address, attempt)
        usage = await self._reader.wait_usage(address, attempt)
        if usage is not None and not held.participant.book.closed:
            self._budgets.resolve(held, usage.total)
