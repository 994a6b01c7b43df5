"""A TCP pass-through on loopback that delays, resets, cuts and goes silent."""

import asyncio
import contextlib
import socket
import struct

READ_BYTES = 65_536
PIECE_GAP_S = 0.001  # in which a reader takes the piece before
TO_TARGET, TO_CALLER = "to target", "to caller"


class FaultyLink:
    """Passes connections on to a port.

    A held direction keeps its bytes until it is released, as TCP does in a
    partition. ``forget`` leaves all connections of now silent for good. With
    ``piece_bytes`` data is passed on in pieces of at most so many bytes, and
    ``break_within`` lets a fault begin between two bytes to the caller.
    """

    def __init__(self, target_port, rng):
        self.target_port = target_port
        self.delay_s = 0.0
        self.piece_bytes = 0
        self.is_refusing = False
        self.port = 0
        self._rng = rng
        self._break, self._break_in = None, 0
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
        self.piece_bytes, self._break = 0, None
        for passing in self._passing.values():
            passing.set()

    def forget(self):
        self._silence.set()
        self._silence = asyncio.Event()

    def reset(self):
        for writer in list(self._writers):
            reset_connection(writer)

    def break_within(self, count, function, *args):
        """Call ``function`` once ``count`` more bytes went to the caller."""
        self._break, self._break_in = (function, args), count

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
            while data:
                await self._passing[direction].wait()
                size = self._choose_size(len(data), direction)
                if not silence.is_set():
                    writer.write(data[:size])
                    await writer.drain()
                data = data[size:]
                self._note_passed(size, direction)
                if data:
                    await asyncio.sleep(PIECE_GAP_S)
        await self._passing[direction].wait()
        if not silence.is_set():
            writer.write_eof()

    def _choose_size(self, length, direction):
        if self.piece_bytes:
            length = min(length, self._rng.randint(1, self.piece_bytes))
        if self._break is not None and direction == TO_CALLER:
            length = min(length, self._break_in)
        return length

    def _note_passed(self, size, direction):
        if self._break is None or direction != TO_CALLER:
            return
        self._break_in -= size
        if self._break_in <= 0:
            (function, args), self._break = self._break, None
            function(*args)


def reset_connection(writer):
    """Close a connection so that its other side sees a reset."""
    endpoint = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        endpoint.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
