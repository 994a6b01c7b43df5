"""Request and reply sockets between the processes of the fleet.

These thin wrappers of pynng carry typed messages and isolate a process from
faulty peers: a reply that is late or undecodable raises ``PeerUnavailableError``,
and an undecodable request is answered with ``Failure`` instead of stopping the
server.
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

import pynng

from lavendershift.errors import DecodeError
from lavendershift.messages import (
    MAX_MESSAGE_BYTES,
    Failure,
    Message,
    decode_message,
    encode_message,
)

Handler = Callable[[Message], Awaitable[Message]]


class PeerUnavailableError(Exception):
    """A process sent no valid reply in time; it may have handled the request."""


class RequestSocket:
    """Sends requests to one address; any number may be in flight.

    ``received_bytes`` is the total size of all replies.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.received_bytes = 0
        self._socket = pynng.Req0(resend_time=-1, recv_max_size=MAX_MESSAGE_BYTES)
        self._socket.reconnect_time_min = 50
        self._socket.reconnect_time_max = 1000
        self._socket.dial(address, block=False)

    async def request(self, message: Message, timeout: timedelta) -> Message:
        """Send ``message`` and return the reply.

        Raises ``PeerUnavailableError`` without a valid reply within ``timeout``.
        """
        try:
            with self._socket.new_context() as context:
                async with asyncio.timeout(timeout.total_seconds()):
                    await context.asend(encode_message(message))
                    data = await context.arecv()
        except (TimeoutError, pynng.NNGException) as error:
            raise PeerUnavailableError(f"{self.address}: {error!r}") from None
        check_cancelled()
        self.received_bytes += len(data)
        try:
            return decode_message(data)
        except DecodeError as error:
            raise PeerUnavailableError(f"{self.address}: {error}") from None

    def close(self) -> None:
        """Close the socket; requests in flight fail."""
        self._socket.close()


class ReplySocket:
    """Listens on an address and replies to each request with a handler's result.

    At most ``concurrency`` requests are handled at a time; further requests
    wait in the socket.
    """

    def __init__(self, address: str, handler: Handler, concurrency: int = 64) -> None:
        self._socket = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        self._socket.listen(address)
        self._handler = handler
        self._closing = False
        self._contexts = [self._socket.new_context() for _ in range(concurrency)]
        self._tasks = [
            asyncio.ensure_future(self._serve(context)) for context in self._contexts
        ]

    async def _serve(self, context: pynng.Context) -> None:
        while not self._closing:
            try:
                data = await context.arecv()
                reply = await self._handle(data)
                await context.asend(encode_message(reply))
            except pynng.Closed:
                return
            except pynng.NNGException:
                await asyncio.sleep(0.01)

    async def _handle(self, data: bytes) -> Message:
        try:
            return await self._handler(decode_message(data))
        except DecodeError as error:
            return Failure("undecodable", str(error))
        except Exception as error:
            # An exception that ended the task would leave its context unserved.
            return Failure("internal", type(error).__name__)

    async def close(self) -> None:
        """Stop listening, cancel running handlers and wait for their end."""
        self._closing = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for context in self._contexts:
            context.close()
        self._socket.close()


def check_cancelled() -> None:
    """Raise ``CancelledError`` if the current task was cancelled.

    pynng swallows a cancellation that coincides with the arrival of a message.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError
