"""Connections of callers whose bytes are forwarded to another VM.

Nothing of them is interpreted here. A connection that the other VM doesn't accept is
served by this one, as nothing was read from it yet. The end of either side ends the
other one in the same way: a response that was reset must not look complete.
"""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from datetime import timedelta
from typing import Any, cast

# Time for the other VM to accept a connection, after which this one serves it.
CONNECT_TIMEOUT = timedelta(milliseconds=300)
# Bytes that wait for a slow reader, beyond which the other side isn't read.
MAX_BUFFERED_BYTES = 16_384
# Time without a byte sent to a reader, after which its connection is reset. A side that
# isn't read doesn't notice the end of its peer.
STALL_TIMEOUT = timedelta(seconds=30)
# Time for a caller to read the end of a response and to close its side.
LINGER_TIME = timedelta(seconds=2)
# Makes a close send a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

# Serves a connection here; called with whether the other VM failed to accept it.
ServeHere = Callable[[bool], None]


class _Side(asyncio.Protocol):
    """One of the two connections; what it receives is sent to the ``other`` one."""

    def __init__(self) -> None:
        self.other: _Side | None = None
        self.transport: asyncio.Transport | None = None
        self.has_received = False
        self.has_ended = False  # its peer sends nothing any more
        self._stall: asyncio.TimerHandle | None = None
        self._unsent = 0

    @property
    def is_closed(self) -> bool:
        """Whether this side is closed, or will be once what is written was sent."""
        return self.transport is None or self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=MAX_BUFFERED_BYTES)

    def data_received(self, data: bytes) -> None:
        self.has_received = True
        other = self.other
        if other is not None and other.transport is not None and not other.is_closed:
            other.transport.write(data)

    def eof_received(self) -> bool:
        self.has_ended = True
        other = self.other
        if other is None or other.transport is None or other.is_closed:
            return False
        if other.has_ended:
            other.close()
            return False
        other.transport.write_eof()
        return True

    def pause_writing(self) -> None:
        self._watch()
        other = self.other
        if other is not None and other.transport is not None and not other.is_closed:
            other.transport.pause_reading()

    def resume_writing(self) -> None:
        self._stop_watch()
        other = self.other
        if other is not None and other.transport is not None and not other.is_closed:
            other.transport.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        self._stop_watch()
        other = self.other
        if other is None or other.transport is None or other.is_closed:
            return
        if error is None or self.has_ended:
            other.close()
        else:
            reset(other.transport)

    def close(self) -> None:
        """Close this side after what is written was sent."""
        if self.transport is not None and not self.is_closed:
            self.transport.close()
            if self.transport.get_write_buffer_size():
                self._watch()

    def _watch(self) -> None:
        """Reset this side if its reader takes nothing for ``STALL_TIMEOUT``."""
        assert self.transport is not None
        self._stop_watch()
        self._unsent = self.transport.get_write_buffer_size()
        self._stall = asyncio.get_running_loop().call_later(
            STALL_TIMEOUT.total_seconds(), self._check_progress
        )

    def _check_progress(self) -> None:
        assert self.transport is not None
        if self.transport.get_write_buffer_size() < self._unsent:
            self._watch()
        else:
            reset(self.transport)

    def _stop_watch(self) -> None:
        if self._stall is not None:
            self._stall.cancel()
            self._stall = None


class _CallerSide(_Side):
    """The connection of a caller; ``on_end`` is called once it is closed."""

    def __init__(self, endpoint: socket.socket, on_end: Callable[[], None]) -> None:
        super().__init__()
        self._endpoint = endpoint
        self._on_end = on_end

    @property
    def is_unused(self) -> bool:
        """Whether the caller has sent nothing, not even bytes that wait to be read."""
        if self.has_received:
            return False
        with contextlib.suppress(OSError):
            return not self._endpoint.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        return True

    def data_received(self, data: bytes) -> None:
        # After the other VM's last response, nothing is served any more.
        if self.other is None or not self.other.has_ended:
            super().data_received(data)

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        self._on_end()


class _TargetSide(_Side):
    """The connection to the other VM, which ends it after a response."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        # It may respond at once, before the caller's side can take the bytes.
        cast(asyncio.Transport, transport).pause_reading()

    def eof_received(self) -> bool:
        is_open = super().eof_received()
        if is_open and self.other is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(LINGER_TIME.total_seconds(), self.other.close)
        return is_open


class ForwardedConnections:
    """The connections that this VM forwards, at most ``most`` at a time.

    ``address`` is this VM's IP address, by which the other VM knows where a connection
    comes from.
    """

    def __init__(self, address: str, most: int) -> None:
        self._address = address
        self._most = most
        self._callers: dict[_CallerSide, _TargetSide] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_stopping = False

    def __len__(self) -> int:
        return len(self._callers) + len(self._tasks)

    @property
    def has_room(self) -> bool:
        """Whether one more connection may be forwarded."""
        return len(self) < self._most and not self._is_stopping

    def start(self, endpoint: socket.socket, target: str, serve: ServeHere) -> None:
        """Forward a caller's connection, or call ``serve`` if that isn't possible."""
        task = asyncio.ensure_future(self._forward(endpoint, target, serve))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(
        self, endpoint: socket.socket, target: str, serve: ServeHere
    ) -> None:
        to_target = await self._connect(target)
        if to_target is None or self._is_stopping:
            self._tasks.discard(cast(Any, asyncio.current_task()))
            if to_target is not None:
                to_target.close()
            serve(to_target is None)
            return
        caller = _CallerSide(endpoint, lambda: self._forget(caller))
        caller.other, to_target.other = to_target, caller
        self._callers[caller] = to_target
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: caller, endpoint)
        except OSError:  # the caller disconnected
            self._forget(caller)
            endpoint.close()
            to_target.close()
            return
        if to_target.transport is not None and not to_target.is_closed:
            to_target.transport.resume_reading()
        elif caller.transport is not None:
            reset(caller.transport)

    async def _connect(self, target: str) -> _TargetSide | None:
        """Return a connection to the other VM, ``None`` if there is none in time."""
        host, _, port = target.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                _, side = await asyncio.get_running_loop().create_connection(
                    _TargetSide, host, int(port), local_addr=(self._address, 0)
                )
        except OSError:  # includes TimeoutError
            return None
        return side

    def _forget(self, caller: _CallerSide) -> None:
        self._callers.pop(caller, None)

    def close_unused(self) -> None:
        """Close the connections on which callers have sent nothing; the VM stops."""
        self._is_stopping = True
        for caller in list(self._callers):
            if caller.is_unused:
                caller.close()

    def reset_all(self) -> None:
        """Reset all connections, as the process ends.

        A caller's side that is about to be closed may have unsent bytes, so that a part
        of a response would look complete.
        """
        for caller, to_target in list(self._callers.items()):
            if caller.transport is not None:
                reset(caller.transport)
            if to_target.transport is not None and not to_target.is_closed:
                reset(to_target.transport)


def reset(transport: asyncio.BaseTransport) -> None:
    """Close a connection with a reset."""
    endpoint: Any = transport.get_extra_info("socket")
    if endpoint is not None:
        with contextlib.suppress(OSError):  # it is closed
            endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    cast(asyncio.Transport, transport).abort()
