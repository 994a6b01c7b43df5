"""Talk between routers: heartbeats, loans of tokens, notices of attempts.

Each router listens on its peer address, sends a heartbeat to every other
router of the settings tree, and lends unspent tokens to a router that cannot
get them from the log.
"""

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.demands import Demands
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
HANDLERS = 32

Lend = Callable[[BorrowRequest], LoanGrant]


class PeerStatus(NamedTuple):
    """What the last heartbeat of a peer said, and when it was heard."""

    beat: Heartbeat
    heard_at: timedelta


class Peers:
    """The other routers, as far as this one talks to them.

    ``make_heartbeat`` returns this router's own state, ``lend`` answers a
    borrower, ``demands`` takes in what peers tell of their customers, and
    ``apply_notice`` their attempts.
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
        demands: Demands,
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
        self._take_notice = apply_notice
        self._sockets: dict[str, RequestSocket] = {}
        self._status: dict[str, PeerStatus] = {}
        self._listener: ReplySocket | None = None
        self._task: asyncio.Task[None] | None = None
        self._beats: dict[str, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Listen and start sending heartbeats."""
        self._listener = ReplySocket(self._address, self._handle, HANDLERS)
        self._task = asyncio.ensure_future(self._send_heartbeats())

    async def stop(self) -> None:
        """Stop listening and sending."""
        for task in [self._task, *self._beats.values()]:
            if task is not None:
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
        if self._listener is not None:
            await self._listener.close()
        for socket in self._sockets.values():
            socket.close()

    def update_vms(self, vms: Mapping[str, VmSettings]) -> None:
        """Take over the VMs of the settings tree."""
        wanted = {n: vm.peer_address for n, vm in vms.items() if n != self._vm}
        for name in list(self._sockets):
            if wanted.get(name) != self._sockets[name].address:
                self._sockets.pop(name).close()
        for name, address in wanted.items():
            if name not in self._sockets:
                self._sockets[name] = RequestSocket(address)

    def list_reachable(self) -> dict[str, Heartbeat]:
        """Return the last heartbeats of the peers heard of lately, by VM."""
        now = self._clock.elapsed()
        return {
            vm: status.beat
            for vm, status in self._status.items()
            if now - status.heard_at <= self._lost_after
        }

    async def borrow(self, lender: str, request: BorrowRequest) -> LoanGrant | None:
        """Ask incarnation ``lender`` for a loan; ``None`` without an answer.

        The request is repeated once unchanged, as its answer may be lost.
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
        """Send a notice to the router on ``vm``; whether it was taken in."""
        socket = self._sockets.get(vm)
        if socket is None:
            return False
        try:
            reply = await socket.request(notice, REQUEST_TIMEOUT)
        except PeerUnavailableError:
            return False
        return isinstance(reply, NoticeAck)

    def _find_socket(self, incarnation: str) -> RequestSocket | None:
        for vm, status in self._status.items():
            if status.beat.incarnation == incarnation:
                return self._sockets.get(vm)
        return None

    async def _handle(self, message: Message) -> Message:
        if isinstance(message, Heartbeat):
            self._note(message)
            return self._make_heartbeat()
        if isinstance(message, BorrowRequest):
            return self._lend(message)
        if isinstance(message, AttemptsNotice):
            self._take_notice(message)
            return NoticeAck(message.incarnation)
        return Failure("unexpected", type(message).__name__)

    def _note(self, beat: Heartbeat) -> None:
        self._status[beat.vm] = PeerStatus(beat, self._clock.elapsed())
        self._membership.record_heartbeat(beat)
        self._demands.note_peer(beat.vm, beat.demands)

    async def _send_heartbeats(self) -> None:
        while True:
            for vm, socket in self._sockets.items():
                last = self._beats.get(vm)
                if last is None or last.done():
                    self._beats[vm] = asyncio.ensure_future(self._beat(socket))
            await asyncio.sleep(self._interval.total_seconds())

    async def _beat(self, socket: RequestSocket) -> None:
        with contextlib.suppress(PeerUnavailableError):
            reply = await socket.request(self._make_heartbeat(), REQUEST_TIMEOUT)
            if isinstance(reply, Heartbeat):
                self._note(reply)
