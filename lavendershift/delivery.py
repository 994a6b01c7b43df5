"""Delivery of one plain HTTP request to backend servers, with retries.

A ``Delivery`` sends a request to one server after another until it has a complete
response, or until a further attempt is not allowed or can't succeed. Whether the
request may be sent again depends on the route and on what is certain about the
attempts so far: a request that must not be repeated goes to another server only if
it certainly did not run.

An attempt that makes no progress stays in flight, as its server may be sound and go
on. Another one is started beside it, if one is allowed and has a server, a permit, a
connection and a token of the retry budget. The first that brings an event of a stream,
or another complete response, replaces the others.
"""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple

from tornado.iostream import StreamClosedError

from lavendershift.attemptlimits import AttemptLimits
from lavendershift.attempts import (
    AttemptEnd,
    AttemptReport,
    CallerRequest,
    ResponseWriter,
)
from lavendershift.clocks import Clock
from lavendershift.deliveryerrors import (
    DeliveryProgress,
    make_end_error,
    make_failure,
    make_refusal,
)
from lavendershift.errors import RequestError
from lavendershift.evacuation.homes import Homes
from lavendershift.eventstreams import EventPosition, read_position
from lavendershift.outgoingresponses import OutgoingResponse
from lavendershift.preparations import AttemptOrder, Backends
from lavendershift.promptguards import PromptGuard
from lavendershift.quarantine import make_quarantine_error
from lavendershift.requestends import (
    AttemptEnding,
    EndReason,
    Progress,
    RequestEnding,
)
from lavendershift.requesttimers import RequestTimer
from lavendershift.requesttimes import RESPONSE_RESERVE, RequestTime
from lavendershift.routes import Repeat, Route, Service
from lavendershift.serverattempts import ServerAttempt
from lavendershift.serverplaces import NO_PLACE
from lavendershift.serverresponses import ServerResponse
from lavendershift.serverselections import ServerSelection
from lavendershift.serverstates import NO_PROMPT
from lavendershift.supervision import is_being_cancelled

# Interval at which a silent request is tried elsewhere while that is not possible.
BESIDE_INTERVAL = timedelta(milliseconds=250)

# Tasks of ended attempts until they are done, as the event loop doesn't keep them.
_ending: set[asyncio.Task[None]] = set()


class _Change(NamedTuple):
    """Something that a delivery reacts to: an attempt's end, or else a silence."""

    attempt: ServerAttempt | None = None
    end: AttemptEnd | None = None


class Delivery:
    """Delivers one request in one or more attempts.

    ``spend_retry`` is called before another attempt with the end of the previous one.
    ``on_attempt`` is called with the report of each attempt, ``on_error`` with an
    unexpected exception of one.
    """

    def __init__(
        self,
        clock: Clock,
        request: CallerRequest,
        route: Route,
        service: Service,
        backends: Backends,
        response: ResponseWriter,
        spend_retry: Callable[[AttemptEnd], bool],
        on_attempt: Callable[[AttemptReport], None],
        on_error: Callable[[BaseException], None],
        customer: str = "",
        urgency: int = 5,
        homes: Homes | None = None,
    ) -> None:
        self.route = route
        self.position = EventPosition()
        if route.repeat is Repeat.RESUME:
            self.position = read_position(request.resumed_after)
        self._clock = clock
        self.request = request
        self._service = service
        self._backends = backends
        self._servers = backends.servers
        self.place = NO_PLACE
        self.response = OutgoingResponse(clock, response, backends.wire)
        self.report = on_attempt
        self._on_error = on_error
        self._customer = customer
        self.urgency = urgency
        self.homes = homes
        time = RequestTime(request.received, request.deadline, route.timeout)
        self._timer = RequestTimer(clock, time, lambda: self.response.has_started)
        self.selection = ServerSelection(
            backends.servers,
            service.name,
            request.prompt or NO_PROMPT,
            route.repeat,
            urgency,
            homes,
        )
        self._server_error: ServerResponse | None = None
        self.guard = PromptGuard(
            (request.prompt or NO_PROMPT).part_ids,
            backends.crashes,
            backends.quarantine,
        )
        self._limits = AttemptLimits(
            clock, time, self.guard, route.max_attempts, spend_retry
        )
        self._running: dict[ServerAttempt, asyncio.Task[None]] = {}
        self._changes: asyncio.Queue[_Change] = asyncio.Queue()
        self._is_answered = False
        self._beside_timer: asyncio.TimerHandle | None = None
        self._end_reason: EndReason | None = None
        self._sends: Counter[str] = Counter()  # by address

    @property
    def end_at(self) -> timedelta:
        """When the request is ended without a response."""
        return self._timer.time.end - RESPONSE_RESERVE

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have started to execute the request."""
        return self._limits.possible_runs > 0

    @property
    def delivered_tokens(self) -> int:
        """Upper bound of the output tokens in the events forwarded so far."""
        return self.position.events * self._service.tokens_per_event

    @property
    def first_status(self) -> int:
        """The status already sent to the caller, 0 if there is none."""
        return self.response.first_status

    @property
    def ending(self) -> RequestEnding | None:
        """How the request ended, ``None`` while it goes on or if it was answered."""
        if self._end_reason is None:
            return None
        return RequestEnding(
            self._end_reason, self._timer.time.allowed, self._limits.sends > 0
        )

    async def run(self, prepare: Callable[[], Awaitable[None]] | None = None) -> None:
        """Deliver the complete response; raises ``RequestError``.

        ``prepare`` is awaited first, within the request's time.
        """
        try:
            await self._timer.run(lambda: self._deliver(prepare))
            self._end_reason = self._timer.reason
        except asyncio.CancelledError:
            is_gone = is_being_cancelled()
            self._end_reason = EndReason.CALLER_GONE if is_gone else EndReason.INTERNAL
            raise
        except RequestError:
            if self._limits.sends:
                self._end_reason = EndReason.SERVER_FAILED
            raise
        except BaseException:  # reported by the gateway
            self._end_reason = EndReason.INTERNAL
            raise
        finally:
            self._end_all(self._end_reason)
        if self._end_reason is not None and not await self._finish_complete():
            self._respond_at_end(self._end_reason)

    def end(self, reason: EndReason) -> None:
        """Let ``run`` end the request, unless it has ended or its time is over."""
        self._timer.end(reason)

    def extend(self, timeout: timedelta) -> None:
        """Apply a timeout of the route that has come into force."""
        if self._timer.extend(timeout):
            self._changes.put_nowait(_Change())

    async def _finish_complete(self) -> bool:
        """Forward a response that was complete when the request was ended, if any."""
        while not self._changes.empty():
            change = self._changes.get_nowait()
            if change.attempt is None or change.end is not AttemptEnd.ANSWERED:
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RESPONSE_RESERVE.total_seconds()):
                    await self._finish(change.attempt)
                    self._end_reason = None
                    return True
        return False

    def _respond_at_end(self, reason: EndReason) -> None:
        """Forward a server's own error response, or raise ``RequestError``."""
        if not self._send_server_error():
            raise make_end_error(reason, self._progress)

    @property
    def _progress(self) -> DeliveryProgress:
        return DeliveryProgress(
            self.route.repeat, self.may_have_run, self.response.has_started
        )

    async def _deliver(self, prepare: Callable[[], Awaitable[None]] | None) -> None:
        if prepare is not None:
            await prepare()
        end = AttemptEnd.NOT_SENT
        is_possible = self._start_attempt()
        while is_possible:
            change = await self._changes.get()
            if change.attempt is None or change.end is None:
                self._start_beside()
                continue
            if change.end is AttemptEnd.ANSWERED:
                await self._finish(change.attempt)
                return
            end = change.end
            is_possible = self._go_on(end)
        self._give_up(end)

    def _go_on(self, end: AttemptEnd) -> bool:
        """Start another attempt if needed; return false if no response can come."""
        if self._running:
            self._start_beside()
            return True
        if self._is_answered:
            return True  # the complete response of another attempt is the next change
        may_try = self._limits.may_try_next(end, self._may_repeat())
        return may_try and self._start_attempt()

    def _may_repeat(self) -> bool:
        """Return whether the request may be sent again although it may have run."""
        if self.route.repeat is Repeat.ALWAYS:
            return not self.response.has_started
        if self.route.repeat is Repeat.RESUME:
            return not self.response.has_started or self.position.can_resume
        return False

    def _start_beside(self) -> None:
        """Start an attempt if all that are in flight are silent."""
        is_silent = all(attempt.is_silent for attempt in self._running)
        if not self._running or not is_silent:
            return
        if self.guard.trial is not None:
            return  # its prompt may crash each server that it is sent to
        if not self._may_repeat() or not self._limits.may_send_again():
            return
        if not self._start_attempt(is_beside=True):
            if self._limits.may_connect:
                self.selection.tried -= self.selection.unsent
            self._schedule_beside()

    def _schedule_beside(self) -> None:
        if self._beside_timer is not None:
            self._beside_timer.cancel()
        self._beside_timer = asyncio.get_running_loop().call_later(
            BESIDE_INTERVAL.total_seconds(), self._changes.put_nowait, _Change()
        )

    def _start_attempt(self, is_beside: bool = False) -> bool:
        """Start an attempt; return false if it lacks a retry token or a server."""
        if is_beside and not self._limits.take_retry_token(AttemptEnd.SILENT):
            return False
        server = self.selection.choose()
        if server is None:
            return False
        self._servers.note_selection(server)
        self.selection.tried.add(server.entry.id)
        order = AttemptOrder(
            self.request,
            self.route,
            server,
            self._customer,
            self.urgency,
            self._timer.time,
            self.position._replace(has_partial_event=self.has_partial_event()),
            is_beside,
        )
        attempt = ServerAttempt(self._clock, self._backends, order, self)
        self._running[attempt] = asyncio.ensure_future(self._run_attempt(attempt))
        return True

    async def _run_attempt(self, attempt: ServerAttempt) -> None:
        """Run an attempt and record how it ended, unless it was replaced.

        An unexpected exception ends the attempt, and nothing else.
        """
        try:
            end = await attempt.run()
        except (Exception, asyncio.CancelledError) as error:
            if isinstance(error, asyncio.CancelledError) and is_being_cancelled():
                raise
            self._on_error(error)
            end = AttemptEnd.INTERNAL_ERROR
        if attempt not in self._running:
            return
        if attempt.is_inside_event:
            self.position = self.position._replace(has_partial_event=True)
        del self._running[attempt]
        self._note_end(attempt, end)
        self._changes.put_nowait(_Change(attempt, end))

    def _note_end(self, attempt: ServerAttempt, end: AttemptEnd) -> None:
        self._limits.note_end(end, attempt.was_sent)
        if end is AttemptEnd.SERVER_ERROR:
            self._server_error = attempt.response
        if end is AttemptEnd.ANSWERED:
            self._is_answered = True
        if end is AttemptEnd.REPLACED:
            self.selection.tried.discard(attempt.server.entry.id)
        elif not attempt.was_sent:
            self.selection.unsent.add(attempt.server.entry.id)

    def _end(self, attempt: ServerAttempt, ending: AttemptEnding) -> None:
        """End an attempt in flight; the only place that does."""
        attempt.end(ending)
        if not attempt.was_sent:
            self.selection.tried.discard(attempt.server.entry.id)
        task = self._running.pop(attempt)
        task.cancel()
        _ending.add(task)
        task.add_done_callback(_ending.discard)

    def _replace_others(self, successor: ServerAttempt, progress: Progress) -> None:
        """End all attempts but one, which goes on in their place."""
        others = [attempt for attempt in self._running if attempt is not successor]
        for attempt in others:
            name = successor.server.entry.id
            self._end(attempt, AttemptEnding(EndReason.REPLACED, name, progress))

    def _end_all(self, reason: EndReason | None) -> None:
        """End all attempts; their tasks go on for some turns of the event loop.

        The caller's response doesn't wait for them.
        """
        if self._beside_timer is not None:
            self._beside_timer.cancel()
        ending = AttemptEnding(reason or EndReason.REPLACED)
        for attempt in list(self._running):
            self._end(attempt, ending)

    def find_refusal(self, attempt: ServerAttempt) -> AttemptEnd | None:
        """Return why a prepared attempt may not be sent; count it if it may be."""
        if self._timer.reason is not None:
            return AttemptEnd.GIVEN_UP
        if attempt.order.is_beside:
            others = [other for other in self._running if other is not attempt]
            if not all(other.is_silent for other in others):
                return AttemptEnd.REPLACED
            if not self._may_repeat() or not self._limits.may_send_again():
                return AttemptEnd.REPLACED
        domain = attempt.server.entry.failure_domain
        if not self._servers.regions.allows(self.homes, domain):
            return AttemptEnd.NOT_SENT  # the server has moved meanwhile
        self.selection.unsent.discard(attempt.server.entry.id)
        self._limits.note_send()
        return None

    def count_sends(self, address: str) -> int:
        """Count a send to an address; return the number of earlier ones there."""
        self._sends[address] += 1
        return self._sends[address] - 1

    def note_answer(self, attempt: ServerAttempt) -> None:
        """End the other attempts, as this one has the response."""
        self._replace_others(attempt, Progress.RESPONSE)

    def note_silence(self, attempt: ServerAttempt) -> None:
        """Handle an attempt that falls silent."""
        self._changes.put_nowait(_Change())

    def has_partial_event(self) -> bool:
        """Whether an attempt has received a part of the next event."""
        return self.position.has_partial_event or any(
            attempt.is_inside_event for attempt in self._running
        )

    async def forward(self, attempt: ServerAttempt, events: bytes) -> None:
        """Forward complete events to the caller.

        The first attempt with an event replaces the others. Blocks without one, such
        as comments, wait for it if another attempt may still go on.
        """
        position = attempt.events_position
        if position.events > self.position.events:
            self._replace_others(attempt, Progress.EVENT)
        elif not attempt.has_forwarded and self._running.keys() > {attempt}:
            attempt.held += events
            return
        attempt.has_forwarded = True
        self.position = position
        if not self.response.has_started:
            self._start_response(attempt)
        if attempt.held:
            events = attempt.take_held() + events
        # The disconnect of a caller cancels the delivery by itself.
        with contextlib.suppress(StreamClosedError):
            await self.response.write_events(events)

    async def _finish(self, attempt: ServerAttempt) -> None:
        """Forward the end of a complete response."""
        if attempt.response is not None:
            self.response.send(attempt.response)
            return
        self.position = attempt.events_position
        self._start_response(attempt)
        await self.response.finish(attempt.take_held() + attempt.remainder)

    def _start_response(self, attempt: ServerAttempt) -> None:
        assert attempt.reader is not None
        self.response.start(attempt.reader.status, attempt.reader.headers)

    def _send_server_error(self) -> bool:
        """Forward a server's own error response; return false if there is none."""
        if self._server_error is None or self.response.has_started:
            return False
        self.response.send(self._server_error)
        return True

    def _give_up(self, end: AttemptEnd) -> None:
        """Forward a server's own error response, or raise ``RequestError``."""
        if self._send_server_error():
            return
        if self.may_have_run:
            raise make_failure(end, self._progress)
        block = self.guard.find_block()
        if block is not None:
            raise make_quarantine_error(block)
        service = self._service.name
        outside = self._servers.list_outside(service, self.homes)
        raise make_refusal(
            end,
            self._servers.find_permit_delay(service, self.urgency, outside),
            self._servers.find_retry_delay(service),
        )
