"""Usage of attempts, as reported by engines."""

import asyncio
from datetime import timedelta

import msgspec

from lavendershift.completions import Usage, parse_usage
from lavendershift.upstreams import UpstreamClient

CALL_TIMEOUT = timedelta(seconds=2)
FIRST_BACKOFF = timedelta(milliseconds=200)  # first backoff between polls
MAX_BACKOFF = timedelta(seconds=30)  # longest backoff between polls
MAX_POLLS = 20  # most polls for the usage of one attempt
FINAL_STATES = ("done", "cancelled")


class UsageReader:
    """Requests the token usage of attempts from engines."""

    def __init__(self, client: UpstreamClient) -> None:
        self._client = client

    async def wait_usage(self, address: str, attempt: str) -> Usage | None:
        """Poll the engine at ``address`` until an attempt ends; return its usage.

        Returns ``None`` if the usage is still unknown after ``MAX_POLLS``
        polls.
        """
        backoff = FIRST_BACKOFF
        for _ in range(MAX_POLLS):
            usage = await self.read_usage(address, attempt)
            if usage is not None:
                return usage
            await asyncio.sleep(backoff.total_seconds())
            backoff = min(backoff * 2, MAX_BACKOFF)
        return None

    async def read_usage(self, address: str, attempt: str) -> Usage | None:
        """Return the usage of an attempt, ``None`` unless it is known to have ended."""
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
        """Cancel an attempt on its engine; it may already have ended."""
        url = self._client.make_url(address, f"/control/cancel/{attempt}")
        await self._client.fetch("POST", url, CALL_TIMEOUT, b"")
