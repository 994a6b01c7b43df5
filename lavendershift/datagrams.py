"""Typed messages between VMs, one datagram each.

A datagram may be lost, doubled, late or out of order, and nothing that must
hold may depend on one. Message types register themselves, and the parts of a
process take those that they handle::

    @register_message
    class Ping(msgspec.Struct, array_like=True, tag="ping"):
        vm: str

    datagrams.handle(Ping, lambda ping, sender: print(ping.vm))
    await datagrams.listen("10.1.0.40", 7340)
    datagrams.send(Ping("edge-1"), [("10.2.0.29", 7340)])

Datagrams are used in place of pynng, as a message to a VM that is gone must
neither wait nor hold up the others.
"""

import asyncio
from collections.abc import Callable, Iterable
from functools import reduce
from operator import or_
from typing import Any, TypeVar, cast

import msgspec

MESSAGES: list[type[msgspec.Struct]] = []
Peer = tuple[str, int]  # host and port
Message = TypeVar("Message", bound=msgspec.Struct)


def register_message(kind: type[Message]) -> type[Message]:
    """Add a type of message, tagged and of its own name, to the known ones."""
    MESSAGES.append(kind)
    return kind


class Datagrams(asyncio.DatagramProtocol):
    """One port for all messages of a process.

    Messages that can't be read or that nobody handles are counted.
    """

    def __init__(self) -> None:
        self._handlers: dict[type[Any], Callable[[Any, Peer], None]] = {}
        self._decoder: msgspec.msgpack.Decoder[Any] | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self.unread = 0

    def handle(
        self, kind: type[Message], handler: Callable[[Message, Peer], None]
    ) -> None:
        """Pass messages of ``kind`` and their senders to ``handler``."""
        self._handlers[kind] = handler

    async def listen(self, ip: str, port: int) -> None:
        """Bind the port."""
        self._decoder = msgspec.msgpack.Decoder(reduce(or_, MESSAGES))
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(ip, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport to send on."""
        # The selector loop's transport has the methods, not the class.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignore a peer's closed port: its row will tell that it is gone."""

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def send(self, message: msgspec.Struct, peers: Iterable[Peer]) -> None:
        """Send ``message`` to each of ``peers``; none hears of a failure."""
        if self._transport is None:
            return
        data = msgspec.msgpack.encode(message)
        for peer in peers:
            self._transport.sendto(data, peer)

    def datagram_received(self, data: bytes, addr: Peer) -> None:
        """Pass a message on to its handler."""
        assert self._decoder is not None
        try:
            message = self._decoder.decode(data)
            handler = self._handlers[type(message)]
        except (msgspec.MsgspecError, KeyError):
            self.unread += 1
            return
        handler(message, addr)
