"""Messages between routers: heartbeats, token loans and notices of attempts.

Each router listens on its peer address, sends heartbeats to every other
router in the settings tree, and lends unspent tokens to a router that cannot
get them from the log.
"""

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.demands import DemandTracker
from lavendershift.membership import Membership
from lavendershift.messages import (
    AttemptsNotice,
    BorrowRequest,
    Failure,
    Heartbeat,
    LoanGrant,
    Message,
    NoticeAck,
)
from lavendershift.nodes import VmSettings
from lavendershift.sockets import PeerUnavailableError, ReplySocket, RequestSocket

REQUEST_TIMEOUT = timedelta(seconds=1)
HANDLERS = 32  # concurrent handlers of incoming messages

Lend = Callable[[BorrowRequest], LoanGrant]


class PeerStatus(NamedTuple):
    """The last heartbeat of a peer and the time at which it was received."""

    heartbeat: Heartbeat
    received_at: timedelta


class Peers:
    """Exchange messages with the other routers.

    ``make_heartbeat`` returns this router's own state and ``lend`` handles a
    borrow request. ``demands`` receives the customers' demand that peers report,
    ``apply_notice`` their notices of attempts.
    """

    def __init__(
        self,
        vm: str,
        address: str,
        clock: Clock,
        membership: Membership,
        heartbeat: timedelta,
        lost_after: timedelta,
        make_heartbeat: Callable[[], Heartbeat],
        lend: Lend,
        demands: DemandTracker,
        apply_notice: Callable[[AttemptsNotice], None],
    ) -> None:
        self._vm = vm
        self._address = address
        self._clock = clock
        self._membership = membership
        self._interval = heartbeat
        self._lost_after = lost_after
        self._make_heartbeat = make_heartbeat
        self._lend = lend
        self._demands = demands
        self._apply_notice = apply_notice
        self._sockets: dict[str, RequestSocket] = {}
        self._statuses: dict[str, PeerStatus] = {}
        self._listener: ReplySocket | None = None
        self._task: asyncio.Task[None] | None = None
        self._heartbeat_tasks: dict[str, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Listen for messages and start sending heartbeats."""
        self._listener = ReplySocket(self._address, self._handle, HANDLERS)
        self._task = asyncio.ensure_future(self._send_heartbeats())

    async def stop(self) -> None:
        """Stop listening and sending."""
        for task in [self._task, *self._heartbeat_tasks.values()]:
            if task is not None:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
        if self._listener is not None:
            await self._listener.close()
        for socket in self._sockets.values():
            socket.close()

    def update_vms(self, vms: Mapping[str, VmSettings]) -> None:
        """Update the connections to match the VMs of the settings tree."""
        wanted = {n: vm.peer_address for n, vm in vms.items() if n != self._vm}
        for name in list(self._sockets):
            if wanted.get(name) != self._sockets[name].address:
                self._sockets.pop(name).close()
        for name, address in wanted.items():
            if name not in self._sockets:
                self._sockets[name] = RequestSocket(address)

    def list_reachable(self) -> dict[str, Heartbeat]:
        """Return the last heartbeats, by VM, of peers that are not lost.

        A peer is lost after ``lost_after`` without a heartbeat.
        """
        now = self._clock.elapsed()
        return {
            vm: status.heartbeat
            for vm, status in self._statuses.items()
            if now - status.received_at <= self._lost_after
        }

    async def borrow(self, lender: str, request: BorrowRequest) -> LoanGrant | None:
        """Request a loan from incarnation ``lender``; return ``None`` on failure.

        The request is retried once unchanged, as its reply may have been lost.
        """
        for _ in range(2):
            socket = self._find_socket(lender)
            if socket is None:
                return None
            with contextlib.suppress(PeerUnavailableError):
                reply = await socket.request(request, REQUEST_TIMEOUT)
                return reply if isinstance(reply, LoanGrant) else None
        return None

    async def notify(self, vm: str, notice: AttemptsNotice) -> bool:
        """Send a notice to the router on ``vm``; return whether it was acknowledged."""
        socket = self._sockets.get(vm)
        if socket is None:
            return False
        try:
            reply = await socket.request(notice, REQUEST_TIMEOUT)
        except PeerUnavailableError:
            return False
        return isinstance(reply, NoticeAck)

    def _find_socket(self, incarnation: str) -> RequestSocket | None:
        for vm, status in self._statuses.items():
            if status.heartbeat.incarnation == incarnation:
                return self._sockets.get(vm)
        return None

    async def _handle(self, message: Message) -> Message:
        if isinstance(message, Heartbeat):
            self._record_heartbeat(message)
            return self._make_heartbeat()
        if isinstance(message, BorrowRequest):
            return self._lend(message)
        if isinstance(message, AttemptsNotice):
            self._apply_notice(message)
            return NoticeAck(message.incarnation)
        return Failure("unexpected", type(message).__name__)

    def _record_heartbeat(self, heartbeat: Heartbeat) -> None:
        self._statuses[heartbeat.vm] = PeerStatus(heartbeat, self._clock.elapsed())
        self._membership.record_heartbeat(heartbeat)
        self._demands.record_peer_report(heartbeat.vm, heartbeat.demands)

    async def _send_heartbeats(self) -> None:
        while True:
            for vm, socket in self._sockets.items():
                last = self._heartbeat_tasks.get(vm)
                if last is None or last.done():
                    self._heartbeat_tasks[vm] = asyncio.ensure_future(
                        self._exchange_heartbeats(socket)
                    )
            await asyncio.sleep(self._interval.total_seconds())

    async def _exchange_heartbeats(self, socket: RequestSocket) -> None:
        with contextlib.suppress(PeerUnavailableError):
            reply = await socket.request(self._make_heartbeat(), REQUEST_TIMEOUT)
            if isinstance(reply, Heartbeat):
                self._record_heartbeat(reply)
