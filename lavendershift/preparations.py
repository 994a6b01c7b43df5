"""Preparation of an attempt: a connection on which its request may be sent now.

A server that may be sent a request when it is selected may not be a moment later. All
conditions are therefore checked again after the last wait::

    preparation = Preparation(backends, order, guard, find_refusal)
    connection = await preparation.run()
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from lavendershift.attempts import AttemptEnd, CallerRequest, ServerWire
from lavendershift.connections import ConnectError, Connection, ConnectionPool
from lavendershift.crashes import CrashDetector
from lavendershift.eventstreams import EventPosition
from lavendershift.memory.budgets import MemoryBudget
from lavendershift.permits import Permits
from lavendershift.promptguards import PromptGuard
from lavendershift.quarantine import Quarantine
from lavendershift.requesttimes import RequestTime
from lavendershift.routes import Route
from lavendershift.serverlist import ServerList
from lavendershift.serverplaces import ServerPlaces
from lavendershift.serverstates import ListedServer

# Timeout of a connection attempt, 100 times the latency of the longest network path.
CONNECT_TIMEOUT = timedelta(milliseconds=300)


class Backends(NamedTuple):
    """The access of this VM to backend servers."""

    servers: ServerList
    connections: ConnectionPool
    permits: Permits
    crashes: CrashDetector
    quarantine: Quarantine
    wire: ServerWire
    places: ServerPlaces | None = None
    memory: MemoryBudget | None = None  # without one, responses aren't counted


class AttemptOrder(NamedTuple):
    """What an attempt has to send, and where.

    ``is_beside`` is set if another attempt is in flight, which is silent. ``position``
    is that up to which the caller has a stream.
    """

    request: CallerRequest
    route: Route
    server: ListedServer
    customer: str
    urgency: int
    time: RequestTime
    position: EventPosition
    is_beside: bool = False


class UnsentError(Exception):
    """An attempt that ended before its request was sent, and why."""

    def __init__(self, end: AttemptEnd, reason: str) -> None:
        super().__init__(reason)
        self.end = end
        self.reason = reason


class Preparation:
    """Takes a permit and a connection for an attempt.

    ``find_refusal`` is called last, and returns why the request may not be sent, or
    ``None``. ``known_limit`` is the server's limit in requests/s.
    """

    def __init__(
        self,
        backends: Backends,
        order: AttemptOrder,
        guard: PromptGuard,
        find_refusal: Callable[[], AttemptEnd | None],
    ) -> None:
        self.known_limit: float | None = None
        self._order = order
        self._server = order.server
        self._servers = backends.servers
        self._connections = backends.connections
        self._permits = backends.permits
        self._guard = guard
        self._find_refusal = find_refusal

    async def run(self) -> Connection:
        """Return a connection on which the request may be sent now.

        The state of the server may have changed since it was selected, and changes
        while a connection is opened or its keeper is asked for a permit. Raises
        ``UnsentError``.
        """
        self._check_quarantine()
        was_limited = await self._take_permit()
        try:
            connection = await self._open_connection()
        except ConnectError as error:
            if not error.is_local:
                self._servers.note_unreachable(self._server, error.was_refused)
            raise UnsentError(AttemptEnd.NOT_SENT, str(error)) from None
        try:
            if not was_limited:
                await self._take_permit()
            self._check_quarantine()
            if not self._servers.is_usable(self._server):
                is_evacuated = self._servers.is_evacuated(self._server)
                reason = "evacuated meanwhile" if is_evacuated else "it left meanwhile"
                raise UnsentError(AttemptEnd.NOT_SENT, reason)
            refusal = self._find_refusal()
            if refusal is not None:
                raise UnsentError(refusal, "")
        except UnsentError:
            self._connections.give_back(connection)
            raise
        except asyncio.CancelledError:
            connection.close()
            raise
        return connection

    def _check_quarantine(self) -> None:
        block = self._guard.find_block()
        if block is not None:
            raise UnsentError(AttemptEnd.QUARANTINED, "/".join(block.parts))

    async def _take_permit(self) -> bool:
        """Take a permit if the server has a limit, and return whether it has one."""
        self.known_limit = self._servers.find_limit(self._server)
        incarnation = self._server.incarnation
        if not await self._permits.take(incarnation, self._order.urgency):
            raise UnsentError(AttemptEnd.NO_PERMIT, "limit")
        return self.known_limit is not None

    async def _open_connection(self) -> Connection:
        """Return a kept connection, or a new one to a server that is silent.

        A kept connection may be the only thing that is silent. On a new one, a response
        without an id can't be one to an earlier request.
        """
        address, request_id = self._server.entry.address, self._order.request.id
        if request_id and not self._server.silence.is_open:
            connection = self._connections.take(address, request_id)
            if connection is not None:
                return connection
        return await self._connections.connect(address, CONNECT_TIMEOUT)
