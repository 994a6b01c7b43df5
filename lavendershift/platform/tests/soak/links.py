"""A TCP pass-through on loopback that delays, resets, cuts and goes silent."""

import asyncio
import contextlib
import socket
import struct

READ_BYTES = 65_536
TO_TARGET, TO_CALLER = "to target", "to caller"


class FaultyLink:
    """Passes connections on to a port.

    A held direction keeps its bytes until it is released, as TCP does in a
    partition. ``forget`` leaves all connections of now silent for good.
    """

    def __init__(self, target_port):
        self.target_port = target_port
        self.delay_s = 0.0
        self.is_refusing = False
        self.port = 0
        self._passing = {}
        self._writers = set()
        self._server = None
        for direction in (TO_TARGET, TO_CALLER):
            self._passing[direction] = asyncio.Event()
            self._passing[direction].set()
        self._silence = asyncio.Event()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()
        self.reset()

    def hold(self, *directions):
        for direction in directions:
            self._passing[direction].clear()

    def heal(self):
        self.delay_s, self.is_refusing = 0.0, False
        for passing in self._passing.values():
            passing.set()

    def forget(self):
        self._silence.set()
        self._silence = asyncio.Event()

    def reset(self):
        for writer in list(self._writers):
            reset_connection(writer)

    async def _serve(self, reader, writer):
        if self.is_refusing:
            reset_connection(writer)
            return
        try:
            target = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            reset_connection(writer)
            return
        ends = {writer, target[1]}
        self._writers |= ends
        silence = self._silence
        try:
            await asyncio.gather(
                self._carry(reader, target[1], TO_TARGET, silence),
                self._carry(target[0], writer, TO_CALLER, silence),
            )
        except OSError:
            for end in ends:
                reset_connection(end)
        finally:
            self._writers -= ends
            for end in ends:
                with contextlib.suppress(OSError):
                    end.close()

    async def _carry(self, reader, writer, direction, silence):
        while data := await reader.read(READ_BYTES):
            await asyncio.sleep(self.delay_s)
            await self._passing[direction].wait()
            if not silence.is_set():
                writer.write(data)
                await writer.drain()
        await self._passing[direction].wait()
        if not silence.is_set():
            writer.write_eof()


def reset_connection(writer):
    """Close a connection so that its other side sees a reset."""
    endpoint = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        endpoint.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
