"""Finding out what attempts of unknown usage consumed.

When a connection to an engine breaks in the middle of an answer, the tokens
it consumed are unknown and the whole reservation stays set aside. The engine
may still know the attempt: its report of a finished attempt is the evidence
on which the reservation is settled.
"""

import asyncio

from lavendershift.allocators import HeldReservation
from lavendershift.budgets import Budgets
from lavendershift.usages import UsageReader


class UsageInquiry:
    """Settles this router's own attempts in doubt as engines answer.

    Without an answer the reservation stays in doubt until an operator
    releases it.
    """

    def __init__(self, reader: UsageReader, budgets: Budgets) -> None:
        self._reader = reader
        self._budgets = budgets
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, held: HeldReservation, address: str, attempt: str) -> None:
        """Keep ``held`` in doubt and ask the engine at ``address`` about it."""
        self._budgets.keep_in_doubt(held)
        task = asyncio.ensure_future(self._settle(held, address, attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Stop asking; what is in doubt stays so."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def cancel_attempt(self, address: str, attempt: str) -> None:
        """Ask the engine to stop an attempt; it may already have ended."""
        await self._reader.cancel_attempt(address, attempt)

    async def _settle(self, held: HeldReservation, address: str, attempt: str) -> None:
        await self._reader.cancel_attempt(address, attempt)
        usage = await self._reader.wait_usage(address, attempt)
        if usage is not None and not held.participant.book.closed:
            self._budgets.resolve(held, usage.total)
