"""TCP proxy on loopback that injects delays, resets, partitions and lost data."""

import asyncio
import contextlib
import socket
import struct

READ_BYTES = 65_536
PIECE_INTERVAL_S = 0.001  # pause that lets a reader take each piece by itself
TO_TARGET, TO_CALLER = "to target", "to caller"


class FaultyLink:
    """Forwards connections to a port and injects faults.

    A held direction keeps its bytes until ``heal``, as TCP does in a partition.
    ``blackhole`` discards all further data of the connections that are open when it is
    called, also after ``heal``.
    With ``piece_bytes`` set, data is forwarded in pieces of at most that many bytes,
    and ``break_after`` starts a fault between two bytes sent to the caller.
    """

    def __init__(self, target_port, rng):
        self.target_port = target_port
        self.delay_s = 0.0
        self.bytes_per_s = float("inf")
        self._free_at = 0.0
        self.piece_bytes = 0
        self.is_refusing = False
        self.port = 0
        self._rng = rng
        self._break, self._bytes_to_break = None, 0
        self._passing = {}
        self._writers = set()
        self._server = None
        for direction in (TO_TARGET, TO_CALLER):
            self._passing[direction] = asyncio.Event()
            self._passing[direction].set()
        self._blackhole = asyncio.Event()

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

    def blackhole(self):
        self._blackhole.set()
        self._blackhole = asyncio.Event()

    def reset(self):
        for writer in list(self._writers):
            reset_connection(writer)

    def break_after(self, count, function, *args):
        """Call ``function`` after ``count`` more bytes to the caller."""
        self._break, self._bytes_to_break = (function, args), count

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
        blackhole = self._blackhole
        try:
            await asyncio.gather(
                self._forward(reader, target[1], TO_TARGET, blackhole),
                self._forward(target[0], writer, TO_CALLER, blackhole),
            )
        except OSError:
            for end in ends:
                reset_connection(end)
        finally:
            self._writers -= ends
            for end in ends:
                with contextlib.suppress(OSError):
                    end.close()

    async def _forward(self, reader, writer, direction, blackhole):
        while data := await reader.read(READ_BYTES):
            await asyncio.sleep(self.delay_s + self._reserve(len(data)))
            while data:
                await self._passing[direction].wait()
                size = self._choose_size(len(data), direction)
                if not blackhole.is_set():
                    writer.write(data[:size])
                    await writer.drain()
                data = data[size:]
                self._count_forwarded(size, direction)
                if data:
                    await asyncio.sleep(PIECE_INTERVAL_S)
        await self._passing[direction].wait()
        if not blackhole.is_set():
            writer.write_eof()

    def _reserve(self, size):
        """Return in how many seconds ``size`` further bytes have crossed the link."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(self._free_at, now) + size / self.bytes_per_s
        return self._free_at - now

    def _choose_size(self, length, direction):
        if self.piece_bytes:
            length = min(length, self._rng.randint(1, self.piece_bytes))
        if self._break is not None and direction == TO_CALLER:
            length = min(length, self._bytes_to_break)
        return length

    def _count_forwarded(self, size, direction):
        if self._break is None or direction != TO_CALLER:
            return
        self._bytes_to_break -= size
        if self._bytes_to_break <= 0:
            (function, args), self._break = self._break, None
            function(*args)


def reset_connection(writer):
    """Close a connection with a TCP reset instead of an orderly end."""
    endpoint = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        endpoint.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
