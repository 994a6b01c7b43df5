"""Permits to send requests to backend servers that limit their requests/s.

A limit holds for the requests of all VMs together, whatever their number. Each VM
derives the *keeper* of a server from the list of VMs, and asks it for a permit
before each request to the server. A VM without a reply sends nothing there, so lost
datagrams and VMs that are stopped or cut off can only lower the rate. While VMs
disagree on the keeper there may be two of them for a moment, each of which grants no
more than the limit.

A permit whose reply comes after the request for it has ended is kept for the next
request, until it is ``PERMIT_VALIDITY`` old. Older ones are never used, so that permits
of more than that time don't add up within the period of a bound::

    permits = Permits(clock, limits, datagrams, find_keeper)
    if await permits.take(("i-7f3a91c2", 1_700_000_000_000), urgency=1):
        ...

A request for a permit holds the limit that its sender knows, and the reply the one
that the keeper knows, so the newer of the two applies to both.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

import msgspec

from lavendershift.clocks import Clock
from lavendershift.datagrams import Datagrams, Peer, Replies, register_message
from lavendershift.decoding import Count, Integer, Rate, Seconds
from lavendershift.serverlimits import (
    MIN_RATE,
    LimitState,
    ServerLimits,
    is_lower,
)
from lavendershift.serversignals import MAX_INCARNATIONS, Incarnation

# Permits that are saved up for requests that arrive together.
MAX_SAVED_PERMITS = 3.0
# Saved permits that requests of each further rank leave to more urgent ones.
RESERVED_PER_RANK = 0.5
MAX_RESERVED = 1.0
# Shortest wait of a refusal, as a wait of 0 stands for a permit.
MIN_WAIT = timedelta(milliseconds=1)
REPLY_TIMEOUT = timedelta(milliseconds=100)
# Time without further requests for permits after a lost one.
NO_REPLY_DELAY = timedelta(milliseconds=200)
# Longest time from the request for a permit to its use. Within a second, a cold server
# may get 1.5 times its rate and 5 requests, and the saved permits take 3 of them: 0.5 s
# of further permits fit in at any rate.
PERMIT_VALIDITY = timedelta(milliseconds=500)
MAX_UNANSWERED = 1000  # requests for permits whose late replies are recognized


@register_message
class PermitRequest(msgspec.Struct, array_like=True, tag="permit_request"):
    """A request for a permit, with the limit that its sender knows.

    ``number`` identifies it among those of its sender. ``origin`` is the sender's
    address if another VM forwarded it.
    """

    number: Count
    server: str
    born: Count
    rate: Rate | None
    version: Count
    urgency: Integer
    origin: Peer | None = None


@register_message
class ColdPermitRequest(PermitRequest, array_like=True, tag="cold_permit_request"):
    """A request for a permit of a server that the sender knows to be cold.

    Its keeper may not know yet. ``cold_rate`` is the server's limit while it is cold.
    """

    cold_rate: Rate = 0.0


@register_message
class PermitReply(msgspec.Struct, array_like=True, tag="permit"):
    """The reply to the request ``number``, with the limit that the keeper knows.

    ``wait_s`` is 0 if the permit is granted, else the time until the next one is due.
    """

    number: Count
    server: str
    born: Count
    rate: Rate | None
    version: Count
    wait_s: Seconds


class PermitBucket:
    """Token bucket with the permits of one server.

    It starts empty, as another VM may have granted permits just before. A VM that sees
    another keeper gives up its bucket for the same reason.
    """

    def __init__(self, now: timedelta) -> None:
        self._permits = 0.0
        self._updated_at = now

    def take(self, rate: float, urgency: int, now: timedelta) -> timedelta:
        """Take a permit; return 0, or the time until one is due.

        Load pattern: more requests than the limit allows, of several ranks. Less urgent
        ones leave a part of the saved permits to more urgent ones.
        """
        rate = max(rate, MIN_RATE)
        earned = rate * (now - self._updated_at).total_seconds()
        self._permits = min(self._permits + earned, MAX_SAVED_PERMITS)
        self._updated_at = now
        missing = 1 + min(urgency * RESERVED_PER_RANK, MAX_RESERVED) - self._permits
        if missing > 0:
            return max(timedelta(seconds=missing / rate), MIN_WAIT)
        self._permits -= 1
        return timedelta()


class PermitBuckets:
    """The permits of the servers whose keeper this VM is or was."""

    def __init__(self, clock: Clock, limits: ServerLimits) -> None:
        self._clock = clock
        self._limits = limits
        self._buckets: OrderedDict[Incarnation, PermitBucket] = OrderedDict()

    def take(
        self, incarnation: Incarnation, urgency: int, peer_rate: float | None = None
    ) -> timedelta:
        """Take a permit; return 0, or the time until one is due.

        ``peer_rate`` is a limit that the VM knows which asks for the permit.
        """
        rate = self._limits.find(incarnation)
        if is_lower(peer_rate, rate):
            rate = peer_rate
        if rate is None:
            self._buckets.pop(incarnation, None)
            return timedelta()
        now = self._clock.elapsed()
        bucket = self._buckets.pop(incarnation, None) or PermitBucket(now)
        self._buckets[incarnation] = bucket
        if len(self._buckets) > MAX_INCARNATIONS:
            self._buckets.popitem(last=False)
        return bucket.take(rate, urgency, now)

    def drop(self, incarnation: Incarnation) -> None:
        """Give up the saved permits of a server that another VM keeps."""
        self._buckets.pop(incarnation, None)


class _Unanswered(NamedTuple):
    """A request for a permit that ended without a reply."""

    incarnation: Incarnation
    urgency: int
    asked_at: timedelta


class LatePermits:
    """Permits whose replies came after the requests for them had ended.

    Load pattern: busy VMs whose event loops pause for 100 to 500 ms. Without the late
    permits, much of a limit would remain unused.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._unanswered: OrderedDict[int, _Unanswered] = OrderedDict()
        self._granted: list[_Unanswered] = []

    def note_unanswered(
        self, number: int, incarnation: Incarnation, urgency: int, asked_at: timedelta
    ) -> None:
        """Record that the request ``number`` ended without a reply."""
        self._unanswered[number] = _Unanswered(incarnation, urgency, asked_at)
        if len(self._unanswered) > MAX_UNANSWERED:
            self._unanswered.popitem(last=False)

    def note_reply(self, reply: PermitReply) -> int | None:
        """Keep the permit in a late reply.

        Returns the urgency of its request, ``None`` unless the reply is a late one that
        is still of use. A repeated reply is ignored.
        """
        request = self._unanswered.get(reply.number)
        if request is None or request.incarnation != (reply.server, reply.born):
            return None
        del self._unanswered[reply.number]
        if self._is_expired(request):
            return None
        if not reply.wait_s:
            self._granted.append(request)
        return request.urgency

    def take(self, incarnation: Incarnation, urgency: int) -> bool:
        """Take a kept permit that was requested at this rank or a less urgent one."""
        if not self._granted:
            return False
        self._granted = [each for each in self._granted if not self._is_expired(each)]
        for each in self._granted:
            if each.incarnation == incarnation and urgency <= each.urgency:
                self._granted.remove(each)
                return True
        return False

    def _is_expired(self, request: _Unanswered) -> bool:
        return self._clock.elapsed() - request.asked_at > PERMIT_VALIDITY


class Permits:
    """Gets permits from keepers, and grants those of the servers that this VM keeps.

    ``find_keeper`` returns the address of a server's keeper, ``None`` if it is this VM.
    ``on_taken`` is called with "granted", "refused" or "no_reply" for each permit that
    this VM needed.
    """

    def __init__(
        self,
        clock: Clock,
        limits: ServerLimits,
        datagrams: Datagrams,
        find_keeper: Callable[[str], Peer | None],
    ) -> None:
        self._clock = clock
        self._limits = limits
        self._buckets = PermitBuckets(clock, limits)
        self._late = LatePermits(clock)
        self._datagrams = datagrams
        self._find_keeper = find_keeper
        self._replies: Replies[timedelta] = Replies()
        self.on_taken: Callable[[str], None] = lambda outcome: None
        datagrams.handle(PermitRequest, self._handle_request)
        datagrams.handle(ColdPermitRequest, self._handle_request)
        datagrams.handle(PermitReply, self._handle_reply)

    async def take(self, incarnation: Incarnation, urgency: int) -> bool:
        """Return whether a request may be sent to a server now."""
        if self._limits.find(incarnation) is None:
            return True
        if self._late.take(incarnation, urgency):
            self.on_taken("granted")
            return True
        keeper = self._find_keeper(incarnation[0])
        outcome = "refused"
        if keeper is None:
            wait = self._buckets.take(incarnation, urgency)
        else:
            self._buckets.drop(incarnation)
            try:
                wait = await self._ask(keeper, incarnation, urgency)
            except TimeoutError:
                wait, outcome = NO_REPLY_DELAY, "no_reply"
        if wait and self._late.take(incarnation, urgency):
            wait = timedelta()  # the reply to an earlier request came meanwhile
        if not wait:
            self.on_taken("granted")
            return True
        self._limits.note_refusal(incarnation, urgency, wait)
        self.on_taken(outcome)
        return False

    async def _ask(
        self, keeper: Peer, incarnation: Incarnation, urgency: int
    ) -> timedelta:
        """Ask the keeper for a permit; return 0, or the time until one is due.

        Raises ``TimeoutError``, also for a permit that is too old: this VM may have
        been paused when the reply came.
        """
        asked_at = self._clock.elapsed()
        numbers = []
        state = self._limits.find_state(incarnation)
        cold_rate = self._limits.find_cold(incarnation)

        def send(number: int) -> None:
            numbers.append(number)
            known = (number, *incarnation, state.rate, state.version, urgency)
            request = PermitRequest(*known)
            if cold_rate is not None:
                request = ColdPermitRequest(*known, cold_rate=cold_rate)
            self._datagrams.send(request, [keeper])

        try:
            wait = await self._replies.wait(send, REPLY_TIMEOUT)
        except (TimeoutError, asyncio.CancelledError):
            for number in numbers:
                self._late.note_unanswered(number, incarnation, urgency, asked_at)
            raise
        if not wait and self._clock.elapsed() - asked_at > PERMIT_VALIDITY:
            raise TimeoutError
        return wait

    def _handle_request(self, request: PermitRequest, sender: Peer) -> None:
        """Grant or refuse a permit, or forward the request to the server's keeper.

        VMs may disagree on the keeper while the list of VMs changes. A request is
        forwarded once only.
        """
        keeper = self._find_keeper(request.server)
        if keeper is not None:
            self._buckets.drop((request.server, request.born))
        if keeper is not None and request.origin is None:
            request.origin = sender
            self._datagrams.send(request, [keeper])
            return
        incarnation = (request.server, request.born)
        self._limits.merge(incarnation, LimitState(request.rate, request.version))
        if keeper is None:
            cold_rate = None
            if isinstance(request, ColdPermitRequest):
                cold_rate = request.cold_rate
            wait = self._buckets.take(incarnation, request.urgency, cold_rate)
        else:
            wait = NO_REPLY_DELAY
        state = self._limits.find_state(incarnation)
        reply = PermitReply(
            request.number,
            *incarnation,
            state.rate,
            state.version,
            wait.total_seconds(),
        )
        self._datagrams.send(reply, [request.origin or sender])

    def _handle_reply(self, reply: PermitReply, sender: Peer) -> None:
        incarnation = (reply.server, reply.born)
        self._limits.merge(incarnation, LimitState(reply.rate, reply.version))
        wait = timedelta(seconds=reply.wait_s)
        self._replies.resolve(reply.number, wait)
        urgency = self._late.note_reply(reply)
        if urgency is not None:
            # In place of the delay after a lost reply.
            self._limits.note_refusal(incarnation, urgency, wait)
