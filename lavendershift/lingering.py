"""Sockets that stay open for their peers to read a last response."""

import asyncio
import socket
from datetime import timedelta

CHUNK_BYTES = 65_536  # maximum size of one read of bytes that are dropped
# Time in which bytes are still received after a response that closes, see RFC 9112,
# section 9.6.
LINGER_TIME = timedelta(seconds=3)


class LingeringSockets:
    """Sockets that are closed, and whose peers may still read a response.

    Beyond ``limit`` of them, which only peers that don't close reach, a socket is
    closed at once.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._count = 0

    @property
    def count(self) -> int:
        """The number of sockets that linger."""
        return self._count

    def discard_remainder(self, endpoint: socket.socket) -> None:
        """Send the end of a connection, and close it once the peer has ended it too.

        Closing a socket with unread bytes resets the connection, and the peer may then
        lose the response that was sent before.
        """
        loop = asyncio.get_running_loop()

        def discard() -> None:
            try:
                if endpoint.recv(CHUNK_BYTES):
                    return
            except BlockingIOError:
                return
            except OSError:
                pass  # the peer reset the connection
            end()

        def end() -> None:
            self._count -= 1
            loop.remove_reader(endpoint)
            timer.cancel()
            endpoint.close()

        if self._count >= self._limit:
            endpoint.close()
            return
        try:
            endpoint.shutdown(socket.SHUT_WR)
        except OSError:  # the peer reset the connection
            endpoint.close()
            return
        self._count += 1
        timer = loop.call_later(LINGER_TIME.total_seconds(), end)
        loop.add_reader(endpoint, discard)
