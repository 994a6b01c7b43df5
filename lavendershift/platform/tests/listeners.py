"""A ``CallerServer`` on loopback, with a gateway that responds by path."""

import asyncio
import contextlib
import socket
import struct
from datetime import timedelta

from tornado.httputil import HTTPHeaders

from lavendershift.clocks import SystemClock
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.platform.callers import CallerServer
from lavendershift.routes import CallerLimits
from lavendershift.tests.processes import find_port

LIMITS = CallerLimits(
    header_bytes=2000,
    body_bytes=1000,
    header_timeout=timedelta(seconds=0.3),
    idle_timeout=timedelta(seconds=0.3),
)


class PathGateway:
    """Responds by the path of each request."""

    def __init__(self):
        self.limits = LIMITS
        self.served = []
        self.is_stopping = False

    def find_limits(self):
        return self.limits

    def stop_admission(self):
        self.is_stopping = True

    def end_requests(self):
        self.stop_admission()

    async def serve(self, request, writer):
        if self.is_stopping:
            writer.refuse(RequestError(ErrorKind.STOPPING))
            return
        self.served.append(request.id)
        try:
            await self._respond(request, writer)
        except asyncio.CancelledError:
            writer.abort()
            raise

    async def _respond(self, request, writer):
        body = b"done " + request.id.encode()
        if request.target == "/truncated":
            writer.start(200, HTTPHeaders())
            await writer.write(b"a part")
            writer.abort()
        elif request.target == "/stream":
            writer.start(200, HTTPHeaders())
            for _ in range(3):
                await writer.write(b"part ")
                await asyncio.sleep(0.1)
            await writer.write(body)
            writer.finish()
        else:
            if request.target == "/slow":
                await asyncio.sleep(0.6)
            writer.send(200, HTTPHeaders(), body)


class Caller:
    """One connection to a ``CallerServer``."""

    def __init__(self, address):
        self._endpoint = socket.create_connection(address)
        self._endpoint.setblocking(False)

    def send(self, data):
        """Send without giving the event loop a turn."""
        assert self._endpoint.send(data) == len(data)

    async def send_all(self, data):
        """Send as much as the peer accepts."""
        with contextlib.suppress(ConnectionError):
            await asyncio.get_running_loop().sock_sendall(self._endpoint, data)

    async def read_all(self, timeout=0.8):
        """Return what arrives until the end, and whether the connection was reset."""
        received = b""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                try:
                    while chunk := await self._read():
                        received += chunk
                except ConnectionResetError:
                    return received, True
        return received, False

    async def read_until(self, text):
        received = b""
        async with asyncio.timeout(5):
            while text not in received:
                chunk = await self._read()
                assert chunk, f"the connection ended after {received!r}"
                received += chunk
        return received

    def close(self):
        self._endpoint.close()

    def reset(self):
        linger = struct.pack("ii", 1, 0)
        self._endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._endpoint.close()

    async def _read(self):
        return await asyncio.get_running_loop().sock_recv(self._endpoint, 65536)


class Listener:
    """A ``CallerServer`` with a scripted gateway; ``ends`` has its closed streams."""

    def __init__(self, forwarding=None, ip="127.0.0.1"):
        self.gateway = PathGateway()
        self.server = CallerServer(
            SystemClock(), self.gateway, forwarding=forwarding, address=ip
        )
        self.ends = []
        self.server.on_connection_end = self.ends.append
        self._address = (ip, find_port())
        self.address = "{}:{}".format(*self._address)
        self.server.listen(self.address)

    def connect(self):
        return Caller(self._address)

    def change(self, **limits):
        """Apply a configuration with other limits; durations are in seconds."""
        changes = {
            name: timedelta(seconds=value) if name.endswith("timeout") else value
            for name, value in limits.items()
        }
        self.gateway.limits = self.gateway.limits._replace(**changes)
        self.server.update_limits(self.gateway.limits)

    async def end_connections(self, timeout):
        """End all connections like a stop; return how many requests weren't done."""
        now = self.server.clock.elapsed()
        await self.server.wait_idle(now + timeout)
        stages = self.server.count_stages()
        self.server.end_requests()
        await self.server.wait_idle(now + timeout + timedelta(seconds=0.3))
        self.server.close_connections()
        return stages.total()

    async def wait_end(self):
        async with asyncio.timeout(5):
            while not self.ends:
                await asyncio.sleep(0.01)
        (end,) = self.ends
        return end


class RecordedLog:
    """Records the log lines."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event.value, fields))

    def write_error(self, error, **fields):
        self.lines.append(("internal_error", fields | {"error": repr(error)}))


def play(work):
    """Run a coroutine function, passing it a listener."""

    async def run():
        listener = Listener()
        try:
            async with asyncio.timeout(20):
                return await work(listener)
        finally:
            listener.server.stop_listening()

    return asyncio.run(run())
