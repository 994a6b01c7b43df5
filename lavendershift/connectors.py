"""Connections over an unreliable path, by attempts that begin beside each other.

A lost packet delays its own attempt alone, as the kernel repeats it only after a
second, and an attempt on a congested path has its full time. Attempts are shared by all
callers that wait, and those in flight when a caller gives up serve the next one::

    connector = Connector(connections, "10.0.0.7:8223", interval, lifetime)
    connection = await connector.connect(timeout)
"""

import asyncio
from datetime import timedelta

from lavendershift.connections import ConnectError, Connection, ConnectionPool


class Connector:
    """Opens connections to one address.

    ``interval`` is the time between two attempts, and ``lifetime`` that of each.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        address: str,
        interval: timedelta,
        lifetime: timedelta,
    ) -> None:
        self._connections = connections
        self._address = address
        self._interval = interval.total_seconds()
        self._lifetime = lifetime
        self._attempts: set[asyncio.Task[Connection]] = set()
        self._waiting = 0
        self._next_at = 0.0

    async def connect(self, timeout: timedelta) -> Connection:
        """Open a connection.

        Raises ``ConnectError`` once an attempt fails and the others are fewer than the
        callers that wait, or after ``timeout``.
        """
        loop = asyncio.get_running_loop()
        ends = loop.time() + timeout.total_seconds()
        self._waiting += 1
        try:
            while loop.time() < ends:
                connection = self._take()
                if connection is not None:
                    return connection
                if len(self._attempts) < self._waiting or loop.time() >= self._next_at:
                    self._start_attempt()
                await asyncio.wait(
                    self._attempts,
                    timeout=max(min(self._next_at, ends) - loop.time(), 0.0),
                    return_when=asyncio.FIRST_COMPLETED,
                )
            raise ConnectError(f"{self._address}: no connection in time")
        finally:
            self._waiting -= 1

    def _start_attempt(self) -> None:
        loop = asyncio.get_running_loop()
        connecting = self._connections.connect(self._address, self._lifetime)
        attempt = asyncio.ensure_future(connecting)
        attempt.add_done_callback(self._close_later)
        self._attempts.add(attempt)
        self._next_at = loop.time() + self._interval

    def _take(self) -> Connection | None:
        """Return a connection that was made; raises the error of a failed attempt.

        Each failed attempt ends one caller's wait, unless those left are enough.
        """
        ended = [attempt for attempt in self._attempts if attempt.done()]
        failed = []
        for attempt in ended:
            if attempt.cancelled():
                self._attempts.remove(attempt)
            elif attempt.exception() is None:
                self._attempts.remove(attempt)
                return attempt.result()
            else:
                failed.append(attempt)
        for attempt in failed:
            self._attempts.remove(attempt)
            is_expected = isinstance(attempt.exception(), ConnectError)
            if not is_expected or len(self._attempts) < self._waiting:
                attempt.result()
        return None

    def _close_later(self, attempt: asyncio.Task[Connection]) -> None:
        """Close the connection of ``attempt`` unless a caller takes it soon."""
        was_made = not attempt.cancelled() and attempt.exception() is None

        def close() -> None:
            if attempt in self._attempts:
                self._attempts.remove(attempt)
                if was_made:
                    attempt.result().close()

        asyncio.get_running_loop().call_later(self._interval, close)
