"""Places at plain servers with few slots, granted by one VM for each service.

Before a request is sent, its VM asks the keeper of the service for a place. The keeper
grants one at some server, lets the request wait, or refuses it with a retry delay. A VM
that hears nothing from the keeper sends its requests without a place for some time, to
the server that its own knowledge suggests::

    place = await places.take("proof", urgency=1, target_at=target, end_at=end)
    ...
    place.release(has_run=True)
"""

import asyncio
import contextlib
import random
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

import msgspec

from lavendershift.capacity.places import (
    Decision,
    Holder,
    PlaceQueue,
    PlaceServer,
    Ticket,
)
from lavendershift.capacity.servercapacity import Size
from lavendershift.clocks import Clock
from lavendershift.datagrams import (
    MAX_FIRST_NUMBER,
    Datagrams,
    Peer,
    register_message,
)
from lavendershift.decoding import Count, Integer, Seconds
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.placefallbacks import PlaceFallbacks
from lavendershift.serverlist import ServerList

# Servers with more slots are shared well enough by the loads that VMs report.
MAX_FEW_SLOTS = 16
# Places beyond a server's slots: the next request is there when a slot becomes free.
SPARE_PLACES = 1
# Interval at which the keeper is asked again, and the number of times without a reply
# after which it counts as away: one lost datagram is usual, and busy VMs take 50 ms.
ASK_INTERVAL = timedelta(milliseconds=60)
MAX_UNHEARD = 2
# The same for a request that waits; only a lost reply makes the keeper's next one late.
REPEAT_INTERVAL = timedelta(milliseconds=200)
# Time that a question only for a reply says to have left; it is released at once.
PROBE_TIME = timedelta(seconds=1)
TICK = timedelta(milliseconds=20)  # interval at which waiting requests are looked at


@register_message
class PlaceRequest(msgspec.Struct, array_like=True, tag="place_request"):
    """A request for a place; the times are left until its target and its end."""

    number: Count
    service: str
    urgency: Integer
    target_s: Seconds
    left_s: Seconds


@register_message
class PlaceReply(msgspec.Struct, array_like=True, tag="place"):
    """What the keeper decided: ``server`` is empty if it waits or was refused.

    ``delay_s`` is the retry delay of a refused request, 0 for one that waits.
    """

    number: Count
    service: str
    server: str
    delay_s: Seconds


@register_message
class PlaceRelease(msgspec.Struct, array_like=True, tag="place_release"):
    """The place or the wait of a request ended; ``has_run`` if it was served there."""

    number: Count
    service: str
    has_run: bool


class Place(NamedTuple):
    """A place at ``server``, ``None`` if the request needs or has none."""

    server: str | None
    release: Callable[[bool], None]


NO_PLACE = Place(None, lambda has_run: None)


class _Wait:
    """A request of this VM that waits for a decision.

    ``is_heard`` is set when the keeper replies that the request has to wait.
    """

    def __init__(self) -> None:
        self.decision: Decision | None = None
        self.is_heard = False
        self._decided = asyncio.Event()

    async def wait_until(self, timeout: timedelta) -> None:
        """Wait for the decision, or until ``timeout`` has passed."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(timeout.total_seconds(), 0.0)):
                await self._decided.wait()

    def decide(self, decision: Decision) -> None:
        """Record the keeper's decision."""
        self.is_heard = True
        self.decision = decision
        self._decided.set()


class ServerPlaces:
    """Takes places for this VM's requests, and grants those that this VM keeps.

    ``find_keeper`` returns the address of a key's keeper, ``None`` if it is this VM.
    ``on_taken`` is called with "granted", "refused" or "no_reply".
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        servers: ServerList,
        datagrams: Datagrams,
        find_keeper: Callable[[str], Peer | None],
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._servers = servers
        self._datagrams = datagrams
        self._find_keeper = find_keeper
        self._queues: dict[str, PlaceQueue] = {}
        self._waits: dict[int, _Wait] = {}
        self._held: set[int] = set()  # numbers of the requests that have a place
        self._number = rng.randrange(MAX_FIRST_NUMBER)
        self._fallbacks = PlaceFallbacks(clock, self._send_probe, ASK_INTERVAL)
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self.on_taken: Callable[[str], None] = lambda outcome: None
        datagrams.handle(PlaceRequest, self._handle_request)
        datagrams.handle(PlaceReply, self._handle_reply)
        datagrams.handle(PlaceRelease, self._handle_release)

    async def take(
        self, service: str, urgency: int, target_at: timedelta, end_at: timedelta
    ) -> Place:
        """Return a place, or none where places aren't needed or the keeper is away.

        Raises ``RequestError`` if the request can't finish in its time.
        """
        if not self._needs_places(service):
            return NO_PLACE
        keeper = self._find_keeper(f"places/{service}")
        now = self._clock.elapsed()
        if keeper and self._fallbacks.is_away(keeper):
            return NO_PLACE
        self._number += 1
        ticket = Ticket((None, self._number), urgency, target_at, end_at)
        wait = self._waits[self._number] = _Wait()
        release = self._make_release(keeper, service, self._number)
        decision = None
        try:
            if keeper is None:
                self._request_here(ticket, service)
                await wait.wait_until(end_at - now)
            else:
                await self._ask(keeper, ticket, service, wait)
            decision = wait.decision
        finally:
            del self._waits[ticket.holder[1]]
            if decision is None or decision.server is None:
                release(False)
        if decision is None:
            self.on_taken("no_reply")
            return NO_PLACE
        if decision.server is None:
            self.on_taken("refused")
            raise RequestError(ErrorKind.OVERLOADED, "places", decision.delay)
        self.on_taken("granted")
        self._held.add(ticket.holder[1])
        return Place(decision.server, release)

    async def _ask(
        self, keeper: Peer, ticket: Ticket, service: str, wait: _Wait
    ) -> None:
        """Ask the keeper until it has decided, seems to be away, or time is over.

        A waiting request is asked for again at intervals, as each datagram may be lost
        and the keeper may stop or forget it.
        """
        unheard = 0
        while wait.decision is None:
            now = self._clock.elapsed()
            left = ticket.end_at - now
            if left <= timedelta():
                return
            wait.is_heard = False
            request = PlaceRequest(
                ticket.holder[1],
                service,
                ticket.urgency,
                (ticket.target_at - now).total_seconds(),
                left.total_seconds(),
            )
            self._datagrams.send(request, [keeper])
            await wait.wait_until(min(ASK_INTERVAL, left))
            if wait.is_heard and wait.decision is None:
                left = ticket.end_at - self._clock.elapsed()
                await wait.wait_until(min(REPEAT_INTERVAL, left))
            unheard = 0 if wait.is_heard else unheard + 1
            if unheard == MAX_UNHEARD:
                self._fallbacks.begin(keeper, service)
                return

    def _send_probe(self, keeper: Peer, service: str) -> int:
        """Request a place only for the reply, and release it at once."""
        self._number += 1
        left = PROBE_TIME.total_seconds()
        request = PlaceRequest(self._number, service, 0, left, left)
        self._datagrams.send(request, [keeper])
        release = PlaceRelease(self._number, service, False)
        self._datagrams.send(release, [keeper])
        return self._number

    def _make_release(
        self, keeper: Peer | None, service: str, number: int
    ) -> Callable[[bool], None]:
        def release(has_run: bool) -> None:
            self._held.discard(number)
            if keeper is None:
                self._release_here(service, (None, number), has_run)
            else:
                message = PlaceRelease(number, service, has_run)
                self._datagrams.send(message, [keeper])

        return release

    def _needs_places(self, service: str) -> bool:
        """Whether all servers of a service have few slots, and none has a limit.

        Permits bound what a limited or cold server gets. A keeper that granted places
        at the others only would leave it without requests.
        """
        servers = self._servers.list_available(service)
        return bool(servers) and all(
            server.entry.slots <= MAX_FEW_SLOTS
            and self._servers.find_limit(server) is None
            for server in servers
        )

    def _find_queue(self, service: str) -> PlaceQueue:
        """Return the queue of a service, with the servers that are usable now."""
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = PlaceQueue(self._rng)
        servers = self._servers.list_available(service)
        self._servers.speeds.refresh(service, servers, self._clock.elapsed())
        preferred = [
            server for server in servers if not self._servers.is_avoided(server)
        ]
        queue.set_servers(
            {
                server.entry.id: PlaceServer(
                    round(server.capacity.limit.value) + SPARE_PLACES,
                    server.capacity.factors[Size.PLAIN] * server.capacity.failure_cost,
                )
                for server in preferred or servers
            }
        )
        return queue

    def _request_here(self, ticket: Ticket, service: str) -> None:
        decision = self._find_queue(service).request(ticket, self._clock.elapsed())
        if decision is not None:
            self._report(service, decision)
            return
        if ticket.holder[0] is not None:
            self._reply(service, ticket.holder, "", timedelta())
        self._schedule(service)

    def _release_here(self, service: str, holder: Holder, has_run: bool) -> None:
        queue = self._queues.get(service)
        if queue is not None:
            queue.release(holder, self._clock.elapsed(), has_run)
            self._settle(service)

    def _settle(self, service: str) -> None:
        """Tell waiting requests what was decided, and look at the others later."""
        queue = self._find_queue(service)
        for decision in queue.settle(self._clock.elapsed()):
            self._report(service, decision)
        self._schedule(service)

    def _schedule(self, service: str) -> None:
        if self._queues[service].waiting and service not in self._timers:
            loop = asyncio.get_running_loop()
            self._timers[service] = loop.call_later(
                TICK.total_seconds(), self._tick, service
            )

    def _tick(self, service: str) -> None:
        del self._timers[service]
        self._settle(service)

    def _report(self, service: str, decision: Decision) -> None:
        peer, number = decision.holder
        if peer is not None:
            self._reply(service, decision.holder, decision.server or "", decision.delay)
        elif (wait := self._waits.get(number)) is not None:
            wait.decide(decision)

    def _reply(
        self, service: str, holder: Holder, server: str, delay: timedelta
    ) -> None:
        peer, number = holder
        assert peer is not None
        reply = PlaceReply(number, service, server, delay.total_seconds())
        self._datagrams.send(reply, [peer])

    def _handle_request(self, request: PlaceRequest, sender: Peer) -> None:
        if not self._needs_places(request.service):
            return  # the VM that asks knows servers that this one doesn't
        now = self._clock.elapsed()
        ticket = Ticket(
            (sender, request.number),
            request.urgency,
            now + timedelta(seconds=request.target_s),
            now + timedelta(seconds=request.left_s),
        )
        self._request_here(ticket, request.service)

    def _handle_release(self, release: PlaceRelease, sender: Peer) -> None:
        self._release_here(release.service, (sender, release.number), release.has_run)

    def _handle_reply(self, reply: PlaceReply, sender: Peer) -> None:
        self._fallbacks.note_reply(sender, reply.number)
        wait = self._waits.get(reply.number)
        if wait is None:
            # The request ended while the place was granted, unless this is a copy.
            if reply.server and reply.number not in self._held:
                message = PlaceRelease(reply.number, reply.service, False)
                self._datagrams.send(message, [sender])
            return
        if not reply.server and not reply.delay_s:
            wait.is_heard = True
            return
        delay = timedelta(seconds=reply.delay_s)
        wait.decide(Decision((sender, reply.number), reply.server or None, delay))
