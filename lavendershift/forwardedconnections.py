"""Connections of callers whose bytes are forwarded to another VM.

Nothing of them is interpreted here. A connection that the other VM doesn't accept is
served by this one, as nothing was read from it yet. The end of either side ends the
other one in the same way: a response that was reset must not look complete.
"""

import asyncio
import socket
import struct
from collections.abc import Callable
from datetime import timedelta
from typing import Any, cast

# Time for the other VM to accept a connection, after which this one serves it.
CONNECT_TIMEOUT = timedelta(milliseconds=300)
# Bytes that wait for a slow reader, beyond which the other side isn't read.
MAX_BUFFERED_BYTES = 16_384
# Time for a caller to read the end of a response and to close its side.
LINGER_TIME = timedelta(seconds=2)
# Makes a close send a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class _Side(asyncio.Protocol):
    """One of the two connections; what it receives is sent to the ``other`` one."""

    def __init__(self, on_end: Callable[[], None]) -> None:
        self.other: _Side | None = None
        self.transport: asyncio.Transport | None = None
        self.has_received = False
        self.is_discarding = False
        self._on_end = on_end

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=MAX_BUFFERED_BYTES)

    def data_received(self, data: bytes) -> None:
        self.has_received = True
        other = self._find_open_other()
        if other is not None and not self.is_discarding:
            other.write(data)

    def eof_received(self) -> bool:
        other = self._find_open_other()
        if other is None or self.is_discarding:
            return False
        if other.can_write_eof():
            other.write_eof()
        return True

    def pause_writing(self) -> None:
        other = self._find_open_other()
        if other is not None:
            other.pause_reading()

    def resume_writing(self) -> None:
        other = self._find_open_other()
        if other is not None:
            other.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        other = self._find_open_other()
        if other is not None:
            if error is None:
                other.close()
            else:
                reset(other)
        self._on_end()

    @property
    def is_closed(self) -> bool:
        """Whether this side is closed, or will be once what is written was sent."""
        return self.transport is None or self.transport.is_closing()

    def close(self) -> None:
        """Close this side after what is written was sent."""
        if self.transport is not None and not self.is_closed:
            self.transport.close()

    def _find_open_other(self) -> asyncio.Transport | None:
        if self.other is None or self.other.is_closed:
            return None
        return self.other.transport


class _TargetSide(_Side):
    """The connection to the other VM, which ends it after a response."""

    def eof_received(self) -> bool:
        if self.other is not None:
            self.other.is_discarding = True
            loop = asyncio.get_running_loop()
            loop.call_later(LINGER_TIME.total_seconds(), self.other.close)
        return super().eof_received()


class ForwardedConnections:
    """The connections that this VM forwards, at most ``most`` at a time.

    ``address`` is this VM's IP address, by which the other VM knows where a connection
    comes from.
    """

    def __init__(self, address: str, most: int) -> None:
        self._address = address
        self._most = most
        self._callers: dict[_Side, _Side] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._callers) + len(self._tasks)

    @property
    def has_room(self) -> bool:
        """Whether one more connection may be forwarded."""
        return len(self) < self._most

    def start(
        self,
        endpoint: socket.socket,
        target: str,
        on_failure: Callable[[], None],
    ) -> None:
        """Forward a caller's connection; ``on_failure`` is called if that fails."""
        task = asyncio.ensure_future(self._forward(endpoint, target, on_failure))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(
        self, endpoint: socket.socket, target: str, on_failure: Callable[[], None]
    ) -> None:
        loop = asyncio.get_running_loop()
        host, _, port = target.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                _, to_target = await loop.create_connection(
                    lambda: _TargetSide(lambda: None),
                    host,
                    int(port),
                    local_addr=(self._address, 0),
                )
        except OSError:  # includes TimeoutError
            on_failure()
            return
        if to_target.is_closed:
            on_failure()
            return
        caller = _Side(lambda: self._forget(caller))
        caller.other, to_target.other = to_target, caller
        self._callers[caller] = to_target
        try:
            await loop.connect_accepted_socket(lambda: caller, endpoint)
        except OSError:  # the caller disconnected
            self._forget(caller)
            to_target.close()
            return
        if to_target.is_closed and caller.transport is not None:
            reset(caller.transport)

    def _forget(self, caller: _Side) -> None:
        self._callers.pop(caller, None)

    def close_unused(self) -> None:
        """Close the connections on which callers have sent nothing."""
        for caller in list(self._callers):
            if not caller.has_received:
                caller.close()

    def reset_all(self) -> None:
        """Reset all connections, as the process ends."""
        for caller, to_target in list(self._callers.items()):
            for side in (caller, to_target):
                if side.transport is not None and not side.is_closed:
                    reset(side.transport)


def reset(transport: asyncio.BaseTransport) -> None:
    """Close a connection with a reset."""
    endpoint: Any = transport.get_extra_info("socket")
    if endpoint is not None:
        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    cast(asyncio.Transport, transport).abort()
