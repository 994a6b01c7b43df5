"""Typed messages between VMs, one UDP datagram each.

A datagram may be lost, duplicated, delayed or reordered, so no guarantee may depend
on one. Message types register themselves, and components of the process add
handlers for the types they receive::

    @register_message
    class Ping(msgspec.Struct, array_like=True, tag="ping"):
        vm: str

    datagrams.handle(Ping, lambda ping, sender: print(ping.vm))
    await datagrams.listen("10.1.0.40", 7340)
    datagrams.send(Ping("edge-1"), [("10.2.0.29", 7340)])

UDP is used instead of pynng because a message to a VM that has stopped must neither be
queued nor delay messages to other VMs. The socket is read without a transport of
asyncio, which reads one datagram in each turn of the event loop: on a busy one, the
messages of seconds would wait.
"""

import asyncio
import contextlib
import secrets
import socket
from collections.abc import Callable, Iterable
from datetime import timedelta
from functools import reduce
from operator import or_
from typing import Any, Generic, Protocol, TypeVar

import msgspec

from lavendershift.decoding import is_endpoint, run_decoder
from lavendershift.timeouts import Timeout

MAX_READS = 64  # datagrams that are read in one turn of the event loop
MAX_DATAGRAM_BYTES = 65_536
# Bound on the first number of a process's questions, which is chosen at random: replies
# to the questions of its predecessor at the same address may still arrive.
MAX_FIRST_NUMBER = 2**40

MESSAGES: list[type[msgspec.Struct]] = []
Peer = tuple[str, int]  # host and port of a UDP socket
Message = TypeVar("Message", bound=msgspec.Struct)
Result = TypeVar("Result")


def register_message(kind: type[Message]) -> type[Message]:
    """Register a message type, which needs a tag that no other type has."""
    MESSAGES.append(kind)
    return kind


class Replies(Generic[Result]):
    """Replies that requests to other VMs wait for, identified by a number."""

    def __init__(self) -> None:
        self._pending: dict[int, asyncio.Future[Result]] = {}
        self._number = secrets.randbelow(MAX_FIRST_NUMBER)

    async def wait(self, send: Callable[[int], None], timeout: timedelta) -> Result:
        """Call ``send`` with a new number, and return the reply to it.

        Raises ``TimeoutError``.
        """
        self._number += 1
        number = self._number
        reply: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        self._pending[number] = reply
        try:
            async with Timeout(timeout.total_seconds()):
                send(number)
                return await reply
        finally:
            del self._pending[number]

    def resolve(self, number: int, result: Result) -> None:
        """End the wait for the reply to ``number``, unless it has ended."""
        waiting = self._pending.get(number)
        if waiting is not None and not waiting.done():
            waiting.set_result(result)


class Endpoint(Protocol):
    """Sends datagrams; a socket is one."""

    def sendto(self, data: bytes, peer: Peer, /) -> object:
        """Send ``data``, or raise ``OSError``."""
        ...


class Datagrams:
    """Sends and receives all messages of a process on one UDP port.

    ``dropped`` counts messages that can't be decoded, have no handler or make it fail.
    ``on_dropped`` is called with the error in the first and last case.
    """

    def __init__(self) -> None:
        self._handlers: dict[type[Any], Callable[[Any, Peer], None]] = {}
        self._decoder: msgspec.msgpack.Decoder[Any] | None = None
        self._endpoint: Endpoint | None = None
        self._socket: socket.socket | None = None
        self.dropped = 0
        self.on_dropped: Callable[[Exception], None] = lambda error: None

    def handle(
        self, kind: type[Message], handler: Callable[[Message, Peer], None]
    ) -> None:
        """Register ``handler``, called with each message of ``kind`` and its sender."""
        self._handlers[kind] = handler

    async def listen(self, ip: str, port: int) -> None:
        """Bind ``port`` and begin to receive messages."""
        self._decoder = msgspec.msgpack.Decoder(reduce(or_, MESSAGES))
        endpoint = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        endpoint.setblocking(False)
        try:
            endpoint.bind((ip, port))
        except BaseException:  # reported by the process that can't start
            endpoint.close()
            raise
        self._socket = endpoint
        self.use(endpoint)
        asyncio.get_running_loop().add_reader(endpoint, self._read)

    def use(self, endpoint: Endpoint) -> None:
        """Send messages on ``endpoint``."""
        self._endpoint = endpoint

    def close(self) -> None:
        """Close the port."""
        endpoint, self._socket, self._endpoint = self._socket, None, None
        if endpoint is not None:
            asyncio.get_running_loop().remove_reader(endpoint)
            endpoint.close()

    def _read(self) -> None:
        """Receive what has arrived, or a part of it if that is much."""
        for _ in range(MAX_READS):
            if self._socket is None:
                return  # closed by a handler
            try:
                data, peer = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # A peer's port is closed; its row expires if its VM has stopped.
                continue
            self.datagram_received(data, peer)

    def send(self, message: msgspec.Struct, peers: Iterable[Peer]) -> None:
        """Send ``message`` to each of ``peers``; failures are not reported.

        An address comes from another program too, and may be one that no socket takes.
        """
        if self._endpoint is None:
            return
        data = msgspec.msgpack.encode(message)
        for peer in peers:
            if not is_endpoint(*peer):
                self.dropped += 1
                continue
            # The message is lost if the link is full or the peer's port closed.
            with contextlib.suppress(OSError):
                self._endpoint.sendto(data, peer)

    def datagram_received(self, data: bytes, addr: Peer) -> None:
        """Decode a message and call its handler."""
        decoder = self._decoder
        assert decoder is not None
        try:
            message = run_decoder(lambda: decoder.decode(data), "datagram")
            handler = self._handlers.get(type(message))
            if handler is None:
                self.dropped += 1
                return
            handler(message, addr)
        except Exception as error:
            self.dropped += 1
            self.on_dropped(error)
