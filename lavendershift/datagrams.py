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
queued nor delay messages to other VMs.
"""

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta
from functools import reduce
from operator import or_
from typing import Any, Generic, TypeVar, cast

import msgspec

from lavendershift.decoding import is_endpoint, run_decoder
from lavendershift.timeouts import Timeout

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
        self._number = 0

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


class Datagrams(asyncio.DatagramProtocol):
    """Sends and receives all messages of a process on one UDP port.

    ``dropped`` counts messages that can't be decoded, have no handler or make it fail.
    ``on_dropped`` is called with the error in the first and last case.
    """

    def __init__(self) -> None:
        self._handlers: dict[type[Any], Callable[[Any, Peer], None]] = {}
        self._decoder: msgspec.msgpack.Decoder[Any] | None = None
        self._transport: asyncio.DatagramTransport | None = None
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
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(ip, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, on which messages are sent."""
        # The selector event loop's transport has the methods, but not the base class.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignore a peer's closed port: its row expires if its VM has stopped."""

    def close(self) -> None:
        """Close the port."""
        if self._transport is not None:
            self._transport.close()

    def send(self, message: msgspec.Struct, peers: Iterable[Peer]) -> None:
        """Send ``message`` to each of ``peers``; failures are not reported.

        An address comes from another program too. A transport closes itself for good
        at one that no socket takes, so those are left out.
        """
        if self._transport is None:
            return
        data = msgspec.msgpack.encode(message)
        for peer in peers:
            if not is_endpoint(*peer):
                self.dropped += 1
                continue
            self._transport.sendto(data, peer)

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
