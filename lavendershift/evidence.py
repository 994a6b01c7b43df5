"""Finding out what attempts of unknown usage consumed.

When a connection to an engine breaks in the middle of an answer, the tokens
it consumed are unknown and the whole reservation stays set aside. The engine
may still know the attempt: its report of a finished attempt is the evidence
on which the reservation is settled.
"""

import asyncio
from datetime import timedelta

import msgspec

from lavendershift.allocators import HeldReservation
from lavendershift.budgets import Budgets
from lavendershift.completions import Usage, parse_usage
from lavendershift.upstreams import UpstreamClient

CALL_TIMEOUT = timedelta(seconds=2)
FIRST_PAUSE = timedelta(milliseconds=200)
LONGEST_PAUSE = timedelta(seconds=30)
MAX_QUESTIONS = 20
FINAL_STATES = ("done", "cancelled")


class UsageInquiry:
    """Asks engines about attempts in doubt until they are settled.

    After ``MAX_QUESTIONS`` without an answer the reservation stays in doubt
    until an operator releases it.
    """

    def __init__(self, client: UpstreamClient, budgets: Budgets) -> None:
        self._client = client
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

    async def _settle(self, held: HeldReservation, address: str, attempt: str) -> None:
        await self.cancel_attempt(address, attempt)
        pause = FIRST_PAUSE
        for _ in range(MAX_QUESTIONS):
            usage = await self._ask(address, attempt)
            if usage is not None:
                self._budgets.resolve(held, usage.total)
                return
            await asyncio.sleep(pause.total_seconds())
            pause = min(pause * 2, LONGEST_PAUSE)

    async def cancel_attempt(self, address: str, attempt: str) -> None:
        """Ask the engine to stop an attempt; it may already have ended."""
        url = f"http://{address}/control/cancel/{attempt}"
        await self._client.fetch("POST", url, CALL_TIMEOUT, b"")

    async def _ask(self, address: str, attempt: str) -> Usage | None:
        url = f"http://{address}/control/requests/{attempt}"
        response = await self._client.fetch("GET", url, CALL_TIMEOUT)
        if response.code != 200:
            return None
        try:
            data = msgspec.json.decode(response.body)
        except msgspec.DecodeError:
            return None
        if not isinstance(data, dict) or data.get("state") not in FINAL_STATES:
            return None
        return parse_usage(data)
