"""Writers whose output can be held for a time, as that of a stopped process is."""

import asyncio
from collections.abc import Callable

SilencePoint = Callable[[bytes], int | None]


class HeldWriter(asyncio.StreamWriter):
    """Writes to another writer, or keeps the data while it is held.

    ``drain`` waits until the writer is released. ``on_write`` is called with all data
    before it is written to the other writer.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        protocol = writer.transport.get_protocol()
        super().__init__(writer.transport, protocol, None, loop)
        self.on_write: Callable[[bytes], None] = lambda data: None
        self._writer = writer
        self._kept = bytearray()
        self._released = asyncio.Event()
        self._released.set()

    def hold(self) -> None:
        """Keep what is written until ``release``."""
        self._released.clear()

    def release(self) -> None:
        """Write what was kept, and go on."""
        kept = bytes(self._kept)
        self._kept.clear()
        self._released.set()
        if kept:
            self._pass_on(kept)

    async def wait_released(self) -> None:
        """Wait until the writer isn't held."""
        await self._released.wait()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write ``data``, or keep it while the writer is held."""
        if self._released.is_set():
            self._pass_on(data)
        else:
            self._kept += data

    def _pass_on(self, data: bytes | bytearray | memoryview) -> None:
        self.on_write(bytes(data))
        self._writer.write(data)

    async def drain(self) -> None:
        """Wait until the data is sent."""
        await self.wait_released()
        await self._writer.drain()

    def __del__(self) -> None:
        """Leave the connection open for the writer below."""


class InterruptedWriter(HeldWriter):
    """Holds its data once, for ``seconds`` from a point of the response on.

    ``point`` returns the place of the silence in the bytes written so far, or ``None``
    if it isn't reached yet.
    """

    def __init__(
        self, writer: asyncio.StreamWriter, seconds: float, point: SilencePoint
    ) -> None:
        super().__init__(writer)
        self._seconds = seconds
        self._point = point
        self._written = b""
        self._was_held = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write ``data``, the rest of it after the silence if that begins in it."""
        before = len(self._written)
        self._written += data
        at = None if self._was_held else self._point(self._written)
        if at is None:
            super().write(data)
            return
        if at > before:
            super().write(data[: at - before])
        self.begin_silence()
        super().write(data[max(at - before, 0) :])

    def begin_silence(self) -> None:
        """Hold the data from now on for ``seconds``, unless that has been done."""
        if not self._was_held:
            self._was_held = True
            self.hold()
            asyncio.get_running_loop().call_later(self._seconds, self.release)
