"""TCP proxy on loopback that a test can interrupt.

A link in the state ``cut`` resets its connections and refuses new ones. In the state
``hang`` it accepts connections and discards all data. In the state ``silent`` it holds
all data back, as a server does that is paused, until it is open again.
"""

import asyncio
import contextlib

READ_BYTES = 65_536


class Link:
    """Proxy from a port to another, ``open``, ``cut``, ``hang`` or ``silent``."""

    def __init__(self, port, target_port):
        self.port, self.target_port = port, target_port
        self.state = "open"
        self.forwarded_bytes = 0
        self._speaks = asyncio.Event()
        self._server = None
        self._writers = set()
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        if self.state != "silent":
            self._speaks.set()

    async def stop(self):
        await self.set_state("cut")

    async def set_state(self, state):
        if state == "open" and self.state != "silent":
            # Connections that lost data in the state ``hang`` can't continue.
            self._abort_all()
        self.state = state
        if state == "silent":
            self._speaks.clear()
        else:
            self._speaks.set()
        if state == "cut":
            self._server.close()
            self._abort_all()
            self._server = None
        elif self._server is None:
            await self.start()

    def _abort_all(self):
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        upstream = None
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                target = await asyncio.open_connection("127.0.0.1", self.target_port)
                upstream = target[1]
                self._writers.add(upstream)
                await asyncio.gather(
                    self._forward(reader, upstream), self._forward(target[0], writer)
                )
        finally:
            self._tasks.discard(task)
            for each in (writer, upstream):
                if each is not None:
                    self._writers.discard(each)
                    each.transport.abort()

    async def _forward(self, reader, writer):
        while data := await reader.read(READ_BYTES):
            await self._speaks.wait()
            if self.state == "open":
                self.forwarded_bytes += len(data)
                writer.write(data)
                await writer.drain()
        if self.state == "open" and writer.can_write_eof():
            writer.write_eof()
