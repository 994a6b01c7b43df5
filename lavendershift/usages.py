"""Asking engines what an attempt consumed."""

import asyncio
from datetime import timedelta

import msgspec

from lavendershift.completions import Usage, parse_usage
from lavendershift.upstreams import UpstreamClient

CALL_TIMEOUT = timedelta(seconds=2)
FIRST_PAUSE = timedelta(milliseconds=200)
LONGEST_PAUSE = timedelta(seconds=30)
MAX_QUESTIONS = 20
FINAL_STATES = ("done", "cancelled")


class UsageReader:
    """Asks engines what an attempt consumed."""

    def __init__(self, client: UpstreamClient) -> None:
        self._client = client

    async def wait_usage(self, address: str, attempt: str) -> Usage | None:
        """Return the usage of an attempt once it has ended.

        Returns ``None`` when the engine at ``address`` could not tell after
        ``MAX_QUESTIONS``.
        """
        pause = FIRST_PAUSE
        for _ in range(MAX_QUESTIONS):
            usage = await self.read_usage(address, attempt)
            if usage is not None:
                return usage
            await asyncio.sleep(pause.total_seconds())
            pause = min(pause * 2, LONGEST_PAUSE)
        return None

    async def read_usage(self, address: str, attempt: str) -> Usage | None:
        """Return the usage of an attempt if it is known to have ended."""
        url = self._client.make_url(address, f"/control/requests/{attempt}")
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

    async def cancel_attempt(self, address: str, attempt: str) -> None:
        """Ask the engine to stop an attempt; it may already have ended."""
        url = self._client.make_url(address, f"/control/cancel/{attempt}")
        await self._client.fetch("POST", url, CALL_TIMEOUT, b"")
