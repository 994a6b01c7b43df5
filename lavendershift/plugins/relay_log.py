"""Log client that reaches the log service through relays.

The relay on the router's own VM is used first. If it does not reply, later
requests go to the next one in the list until that one fails as well.
"""

from collections.abc import Sequence
from datetime import timedelta

from lavendershift.errors import LogUnavailableError, RecordsExpiredError
from lavendershift.messages import (
    Appended,
    AppendRequest,
    Expired,
    Message,
    ReadReply,
    ReadRequest,
)
from lavendershift.records import Record, decode_entry, encode_record
from lavendershift.sockets import PeerUnavailableError, RequestSocket
from lavendershift.streams import ReadResult, register_log_client


@register_log_client("relay")
class RelayLogClient:
    """Appends and reads records through the relays at ``addresses``."""

    def __init__(self, addresses: Sequence[str], timeout: timedelta) -> None:
        self._sockets = [RequestSocket(address) for address in addresses]
        self._timeout = timeout
        self._preferred = 0

    @property
    def received_bytes(self) -> int:
        """Number of bytes received in all replies."""
        return sum(socket.received_bytes for socket in self._sockets)

    async def append_records(self, stream: str, records: Sequence[Record]) -> int:
        """Append ``records`` and return the offset of the first."""
        request = AppendRequest(stream, [encode_record(r) for r in records])
        reply = await self._request(request, self._timeout)
        if not isinstance(reply, Appended):
            raise LogUnavailableError(
                f"append to {stream}: expected Appended, got {reply}"
            )
        return reply.first_offset

    async def read_entries(
        self, stream: str, offset: int, limit: int, wait: timedelta
    ) -> ReadResult:
        """Return entries from ``offset`` on; see ``streams.LogClient``."""
        wait_ms = wait // timedelta(milliseconds=1)
        request = ReadRequest(stream, offset, limit, wait_ms)
        reply = await self._request(request, self._timeout + wait)
        if isinstance(reply, Expired):
            raise RecordsExpiredError(stream, reply.first_offset)
        if not isinstance(reply, ReadReply):
            raise LogUnavailableError(
                f"read of {stream}: expected ReadReply, got {reply}"
            )
        entries = [decode_entry(stream, *raw) for raw in reply.entries]
        return ReadResult(
            entries,
            reply.next_offset,
            reply.end_offset,
            timedelta(milliseconds=reply.confirmed_ms),
        )

    async def close(self) -> None:
        """Close the sockets to all relays."""
        for socket in self._sockets:
            socket.close()

    async def _request(self, request: Message, timeout: timedelta) -> Message:
        used = self._preferred
        try:
            return await self._sockets[used].request(request, timeout)
        except PeerUnavailableError as error:
            # A concurrent request may already have switched to the next relay.
            if self._preferred == used:
                self._preferred = (used + 1) % len(self._sockets)
            raise LogUnavailableError(str(error)) from None
