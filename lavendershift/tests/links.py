"""A TCP pass-through on loopback that a test can cut.

A cut link either resets what goes through it and refuses new connections, or
hangs: it accepts and swallows without ever passing anything on.
"""

import asyncio
import contextlib

READ_BYTES = 65_536


class Link:
    def __init__(self, port, target_port):
        self.port, self.target_port = port, target_port
        self.state = "open"
        self.passed_bytes = 0
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def stop(self):
        await self.set_state("cut")

    async def set_state(self, state):
        if state == "open":
            # What hung before the link was opened again is as good as lost.
            self._drop()
        self.state = state
        if state == "cut":
            self._server.close()
            self._drop()
            self._server = None
        elif self._server is None:
            await self.start()

    def _drop(self):
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        other = None
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                target = await asyncio.open_connection("127.0.0.1", self.target_port)
                other = target[1]
                self._writers.add(other)
                await asyncio.gather(
                    self._carry(reader, other), self._carry(target[0], writer)
                )
        finally:
            self._tasks.discard(task)
            for each in (writer, other):
                if each is not None:
                    self._writers.discard(each)
                    each.transport.abort()

    async def _carry(self, reader, writer):
        while data := await reader.read(READ_BYTES):
            if self.state == "open":
                self.passed_bytes += len(data)
                writer.write(data)
                await writer.drain()
        if self.state == "open" and writer.can_write_eof():
            writer.write_eof()
