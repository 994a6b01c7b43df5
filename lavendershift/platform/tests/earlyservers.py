"""Servers that respond before they have read the request, or with a malformed head."""

import asyncio
import contextlib
import re
import socket
import struct

READ_DELAY_S = 0.05  # time to read a response's bytes, as a reset drops unread ones
ATTEMPT_ID = re.compile(rb"attempt-id: *(\S+)", re.IGNORECASE)


async def reset(writer):
    linger = struct.pack("ii", 1, 0)
    endpoint = writer.get_extra_info("socket")
    endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def close(writer):
    """Close with unread bytes, for which the kernel resets the connection."""
    writer.close()


async def end_sending(writer):
    """End the response, and read nothing more."""
    writer.write_eof()
    await asyncio.sleep(0.5)
    writer.transport.abort()


class EarlyServer:
    """Sends ``head`` and ``body`` as soon as it has the head of a request.

    ``served`` complete responses come before on the same connection. ``end`` then ends
    the connection, if it is given. ``heads`` collects the heads of requests.
    """

    def __init__(self, head, body, end, served=0, name="i-0"):
        self.name = name
        self.address = ""
        self.heads = []
        self._head, self._body, self._end = head, body, end
        self._served = served
        self._server = None

    async def start(self):
        if self._server is not None:
            return
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=4096
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            for _ in range(self._served):
                head = await self._read_head(reader)
                length = re.search(rb"content-length: *(\d+)", head, re.IGNORECASE)
                await reader.readexactly(int(length[1]) if length else 0)
                self._write(
                    writer, head, b"HTTP/1.1 200 OK\r\nContent-Length: 4", b"done"
                )
            head = await self._read_head(reader)
            self._write(writer, head, self._head, self._body)
            await writer.drain()
            await asyncio.sleep(READ_DELAY_S)
            if self._end is not None:
                await self._end(writer)

    async def _read_head(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        self.heads.append(head)
        return head

    def _write(self, writer, request, head, body):
        match = ATTEMPT_ID.search(request)
        line = b"\r\nX-Lavendershift-Attempt-Id: " + match[1] if match else b""
        writer.write(head + line + b"\r\n\r\n" + body)
