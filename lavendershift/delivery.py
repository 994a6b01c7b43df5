"""Delivery of one plain HTTP request to a backend server, with retries.

A ``Delivery`` sends a request to one server after another until it has a complete
response, or until a further attempt is not allowed or can't succeed. Whether the
request may be sent again depends on the route and on what is certain about the
attempts so far: a request that must not be repeated goes to another server only if
it certainly did not run.
"""

import asyncio
import contextlib
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from lavendershift.attempts import (
    Attempt,
    AttemptEnd,
    AttemptReport,
    CallerRequest,
    ResponseKind,
    ResponseWriter,
    ServerWire,
)
from lavendershift.clocks import Clock
from lavendershift.connections import (
    ConnectError,
    Connection,
    ConnectionPool,
    Exchange,
    is_delimited,
)
from lavendershift.crashes import CrashDetector
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.eventstreams import EventPosition, read_position
from lavendershift.permits import Permits
from lavendershift.progresstimeouts import ProgressTimeout
from lavendershift.promptguards import PromptGuard
from lavendershift.quarantine import Quarantine, make_quarantine_error
from lavendershift.routes import Repeat, Route, Service
from lavendershift.serverlist import Assignment, ServerList
from lavendershift.serverresponses import SERVER_ERRORS, AttemptReader, ServerResponse
from lavendershift.serverstates import NO_PROMPT, ListedServer, ServerKnowledge

# Timeout of a connection attempt, 100 times the latency of the longest network path.
CONNECT_TIMEOUT = timedelta(milliseconds=300)
MAX_SENDS = 4  # servers to which one request is sent, those that refuse it included
MAX_CONNECT_FAILURES = 6  # failed connections after which a request is given up
FIRST_BYTE_FACTOR = 1.5  # first-byte timeout as a multiple of the route's target
EXPECTED_FACTOR = 2.0  # first-byte timeout as a multiple of a longer expected latency
MIN_FIRST_BYTE_TIMEOUT = timedelta(milliseconds=250)
# Time without an event after which a stream is resumed at another server.
EVENT_GAP_TIMEOUT = timedelta(milliseconds=900)
RETRY_RESERVE = timedelta(milliseconds=60)  # least time to the deadline for a retry
# Part of the timeout kept free, so that the last response reaches the caller in time.
RESPONSE_RESERVE = timedelta(milliseconds=20)
# Ends of an attempt without a complete response: the connection can't be reused.
UNFINISHED = frozenset(
    {
        AttemptEnd.SILENT,
        AttemptEnd.BROKEN,
        AttemptEnd.INSIDE_EVENT,
        AttemptEnd.OTHER_KIND,
        AttemptEnd.OUT_OF_PLACE,
    }
)


class _UnsentError(Exception):
    """An attempt that ended before its request was sent, and why."""

    def __init__(self, end: AttemptEnd, reason: str) -> None:
        super().__init__(reason)
        self.end = end
        self.reason = reason


class AttemptMonitor:
    """Reschedules the timeout of an attempt to the ``ProgressTimeout`` deadline."""

    def __init__(self, watchdog: asyncio.Timeout, first: float) -> None:
        self._watchdog = watchdog
        self._loop = asyncio.get_running_loop()
        gap = max(EVENT_GAP_TIMEOUT.total_seconds(), first)
        self._timeout = ProgressTimeout(self._loop.time(), first, gap)

    def note_progress(self) -> None:
        """Record progress of the response, which restarts the timeout."""
        self._timeout.note_progress(self._loop.time())
        self._update()

    def note_bytes(self) -> None:
        """Record bytes without progress, which extend the timeout up to a limit."""
        self._timeout.note_bytes(self._loop.time())
        self._update()

    def suspend(self) -> None:
        """Suspend the timeout while a slow caller, not the server, causes the delay."""
        self._timeout.suspend(self._loop.time())
        self._update()

    def resume(self) -> None:
        """Resume the timeout with the time that was left."""
        self._timeout.resume(self._loop.time())
        self._update()

    def _update(self) -> None:
        # After a pause of the process, data may arrive together with the expiry of
        # the timeout, and an expired timeout can't be rescheduled.
        if not self._watchdog.expired():
            self._watchdog.reschedule(self._timeout.deadline)


class Backends(NamedTuple):
    """The access of this VM to backend servers."""

    servers: ServerList
    connections: ConnectionPool
    permits: Permits
    crashes: CrashDetector
    quarantine: Quarantine
    wire: ServerWire


class Delivery:
    """Delivers one request in one or more attempts.

    ``spend_retry`` is called before another attempt with the end of the previous one.
    It takes a token of the retry budget, and returns false if there is none.
    ``on_attempt`` is called with the report of each attempt.
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
        customer: str = "",
        urgency: int = 5,
    ) -> None:
        self.route = route
        self.position = EventPosition()
        if route.repeat is Repeat.RESUME:
            self.position = read_position(request.resumed_after)
        self.first_status = 0
        self._clock = clock
        self._request = request
        self._service = service
        self._servers = backends.servers
        self._connections = backends.connections
        self._permits = backends.permits
        self._wire = backends.wire
        self._response = response
        self._spend_retry = spend_retry
        self._on_attempt = on_attempt
        self._customer = customer
        self._urgency = urgency
        self._deadline = min(request.deadline, request.received + route.timeout)
        self._tried: set[str] = set()
        self._sends = 0
        self._possible_runs = 0
        self._connect_failures = 0
        self._server_error: ServerResponse | None = None
        self._server: ListedServer | None = None
        self._assignment: Assignment | None = None
        self._knowledge = ServerKnowledge()
        self._connecting: timedelta | None = None
        self._sent_at = timedelta()
        self._known_limit: float | None = None
        self._named_limit: float | None = None
        self.guard = PromptGuard(
            (request.prompt or NO_PROMPT).part_ids,
            backends.crashes,
            backends.quarantine,
        )
        self._is_prompt_read = False
        self.first_event_at: timedelta | None = None
        self.longest_gap: timedelta | None = None
        self._last_events_at: timedelta | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have started to execute the request."""
        return self._possible_runs > 0

    @property
    def delivered_tokens(self) -> int:
        """Upper bound of the output tokens in the events forwarded so far."""
        return self.position.events * self._service.tokens_per_event

    async def run(self) -> None:
        """Deliver the complete response; raises ``RequestError``."""
        try:
            timeout = self._deadline - RESPONSE_RESERVE - self._clock.elapsed()
            async with asyncio.timeout(max(timeout.total_seconds(), 0)):
                await self._run_attempts()
        except TimeoutError:
            if self._possible_runs:
                raise RequestError(ErrorKind.DEADLINE_EXCEEDED) from None
            raise RequestError(ErrorKind.DEADLINE_UNREACHABLE) from None

    async def _run_attempts(self) -> None:
        end = AttemptEnd.NOT_SENT
        while True:
            server = self._servers.choose(
                self._service.name,
                self._request.prompt or NO_PROMPT,
                self._tried,
                self._urgency,
            )
            if server is None:
                self._give_up(end)
                return
            end = await self._attempt(server)
            if end is AttemptEnd.ANSWERED:
                return
            if not self._may_try_next(end):
                self._give_up(end)
                return

    def _may_try_next(self, end: AttemptEnd) -> bool:
        """Return whether another attempt is allowed after one ended with ``end``."""
        if end is AttemptEnd.NOT_SENT:
            self._connect_failures += 1
            return self._connect_failures < MAX_CONNECT_FAILURES
        if end is AttemptEnd.NO_PERMIT:
            return True
        if self.guard.is_suspicious or self.guard.find_block() is not None:
            return False
        if self._sends >= MAX_SENDS or self._possible_runs >= self.route.max_attempts:
            return False
        if not end.did_not_run and not self._may_repeat():
            return False
        if self._deadline - self._clock.elapsed() < RETRY_RESERVE:
            return False
        return self._spend_retry(end)

    def _may_repeat(self) -> bool:
        """Return whether the request may be sent again although it may have run."""
        if self.route.repeat is Repeat.ALWAYS:
            return not self._response.has_started
        if self.route.repeat is Repeat.RESUME:
            return not self._response.has_started or self.position.can_resume
        return False

    def _give_up(self, end: AttemptEnd) -> None:
        """Forward a server's own error response, or raise ``RequestError``."""
        if self._response.has_started:
            raise RequestError(ErrorKind.ANSWER_TRUNCATED)
        if self._server_error is not None:
            response = self._server_error
            headers = self._wire.select_response_headers(response.headers)
            self._response.send(response.status, headers, response.body)
            return
        if self._possible_runs == 0:
            block = self.guard.find_block()
            if block is not None:
                raise make_quarantine_error(block)
            delay = self._servers.find_permit_delay(self._service.name, self._urgency)
            if delay is not None:
                raise RequestError(ErrorKind.OVERLOADED, "limits of servers", delay)
            refused = end in (AttemptEnd.NOT_RUN, AttemptEnd.WRONG_SERVER)
            kind = ErrorKind.SERVER_REFUSED if refused else ErrorKind.NO_SERVER
            after = self._servers.find_retry_delay(self._service.name)
            raise RequestError(kind, retry_after=after)
        if self.route.repeat is Repeat.NEVER:
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN)
        raise RequestError(ErrorKind.SERVER_FAILED)

    async def _attempt(self, server: ListedServer) -> AttemptEnd:
        """Send the request to ``server`` once and return how the attempt ended."""
        started = self._clock.elapsed()
        entry = server.entry
        self._server = server
        self._knowledge, self._connecting = self._servers.get_knowledge(server), None
        self._known_limit = self._named_limit = None
        self._assignment = None
        self._tried.add(entry.id)
        try:
            connection = await self._prepare(server)
        except _UnsentError as error:
            self._report_attempt(entry.id, error.end, error.reason, None, started)
            return error.end
        self._sent_at = self._clock.elapsed()
        self._connecting = self._sent_at - started
        self._sends += 1
        self._possible_runs += 1
        assignment = self._servers.start(server, self._request.prompt or NO_PROMPT)
        self._assignment, self._is_prompt_read = assignment, False
        is_reusable = False
        self.guard.expose(connection.close)
        reader = AttemptReader(
            self, self.route.is_stream, connection.is_fresh, connection.close
        )
        try:
            end, reason = await self._exchange(connection, entry.id, reader)
            is_reusable = end not in UNFINISHED
        except asyncio.CancelledError:
            self._report_attempt(entry.id, AttemptEnd.GIVEN_UP, "", reader, started)
            raise
        finally:
            if reader.is_streamed and reader.refused in (None, AttemptEnd.INSIDE_EVENT):
                self.position = reader.events.end()
            self.guard.end_exposure()
            self._note_prompt_read(assignment)
            self._servers.finish(assignment)
            if is_reusable and self._servers.is_usable(server):
                self._connections.give_back(connection)
            else:
                connection.close()
        if self._is_suspect(server, end, reader):
            has_begun = reader.kind is ResponseKind.OWN
            await self.guard.inspect_break(server, has_begun)
        if not self.guard.was_stopped:
            self._update_server_state(server, end)
        if end.did_not_run:
            self._possible_runs -= 1
        self._report_attempt(entry.id, end, reason, reader, started)
        return end

    def _is_suspect(
        self, server: ListedServer, end: AttemptEnd, reader: AttemptReader
    ) -> bool:
        """Return whether an attempt broke off unplanned before its first event."""
        if self.guard.was_stopped or self._servers.is_leaving(server):
            return False
        if end not in (AttemptEnd.BROKEN, AttemptEnd.INSIDE_EVENT) or reader.reason:
            return False
        return not reader.has_event

    async def _prepare(self, server: ListedServer) -> Connection:
        """Return a connection on which the request may be sent now.

        The state of the server may have changed since it was selected, and changes
        while a connection is opened or its keeper is asked for a permit. Raises
        ``_UnsentError``.
        """
        self._check_quarantine()
        was_limited = await self._take_permit(server)
        try:
            connection = await self._open_connection(server)
        except ConnectError as error:
            self._servers.note_unreachable(server)
            raise _UnsentError(AttemptEnd.NOT_SENT, str(error)) from None
        try:
            if not was_limited:
                await self._take_permit(server)
            self._check_quarantine()
            if not self._servers.is_usable(server):
                raise _UnsentError(AttemptEnd.NOT_SENT, "it left meanwhile")
        except _UnsentError:
            self._connections.give_back(connection)
            raise
        except asyncio.CancelledError:
            connection.close()
            raise
        return connection

    def _check_quarantine(self) -> None:
        block = self.guard.find_block()
        if block is not None:
            raise _UnsentError(AttemptEnd.QUARANTINED, "/".join(block.parts))

    async def _take_permit(self, server: ListedServer) -> bool:
        """Take a permit if the server has a limit, and return whether it has one."""
        self._known_limit = self._servers.find_limit(server)
        if not await self._permits.take(server.incarnation, self._urgency):
            raise _UnsentError(AttemptEnd.NO_PERMIT, "limit")
        return self._known_limit is not None

    async def _open_connection(self, server: ListedServer) -> Connection:
        address = server.entry.address
        connection = self._connections.take(address)
        if connection is not None:
            return connection
        return await self._connections.connect(address, CONNECT_TIMEOUT)

    async def _exchange(
        self, connection: Connection, server: str, reader: AttemptReader
    ) -> tuple[AttemptEnd, str]:
        """Send the request on ``connection`` and read its response.

        Responses to earlier requests on the same connection are skipped.
        """
        now = self._clock.elapsed()
        attempt = Attempt(
            server=server,
            customer=self._customer,
            urgency=self._urgency,
            deadline=self._deadline,
            resume_after=self.position.last_id,
        )
        message = self._wire.encode(self._request, attempt, now)
        first_timeout = self._find_first_byte_timeout()
        try:
            async with asyncio.timeout(first_timeout) as watchdog:
                if first_timeout is not None:
                    reader.monitor = AttemptMonitor(watchdog, first_timeout)
                exchange = await connection.exchange(message, reader)
                while exchange.is_complete and reader.kind is ResponseKind.FOREIGN:
                    exchange = await connection.read_next(reader)
                end = await self._classify_exchange(exchange, reader)
        except TimeoutError:
            if not watchdog.expired():
                raise
            return AttemptEnd.SILENT, "no progress"
        return end, reader.reason or exchange.reason

    def _find_first_byte_timeout(self) -> float | None:
        """Return the first-byte timeout in seconds, or ``None`` for no timeout.

        An attempt is cut short only if the request may then be sent to another server.
        The timeout grows with the expected latency, so that a server isn't given up
        if it is slow because other prompts are queued there before this request's.
        """
        if not self._may_repeat() or self._possible_runs >= self.route.max_attempts:
            return None
        if self.route.repeat is Repeat.NEVER:
            return None
        left = self._deadline - self._clock.elapsed()
        usual = max(self.route.target * FIRST_BYTE_FACTOR, MIN_FIRST_BYTE_TIMEOUT)
        expected = self._assignment.expected if self._assignment else timedelta()
        first_timeout = max(usual, expected * EXPECTED_FACTOR)
        return min(first_timeout, left / 2).total_seconds()

    async def _classify_exchange(
        self, exchange: Exchange, reader: AttemptReader
    ) -> AttemptEnd:
        """Return how an exchange ended, and forward a complete response."""
        if reader.kind is ResponseKind.NOT_RUN:
            return AttemptEnd.NOT_RUN
        if reader.kind is ResponseKind.WRONG_SERVER:
            return AttemptEnd.WRONG_SERVER
        if reader.refused is not None:
            return reader.refused
        if not exchange.is_complete or reader.kind is ResponseKind.FOREIGN:
            return AttemptEnd.BROKEN
        if reader.is_streamed:
            return await self._finish_stream(reader)
        self.guard.note_response()
        response = reader.collect()
        if response.status in SERVER_ERRORS:
            self._server_error = response
            return AttemptEnd.SERVER_ERROR
        if self._assignment is not None and not self.route.is_stream:
            self._servers.record_latency(self._assignment)
        headers = self._wire.select_response_headers(response.headers)
        self._response.send(response.status, headers, response.body)
        return AttemptEnd.ANSWERED

    async def _finish_stream(self, reader: AttemptReader) -> AttemptEnd:
        if not (reader.has_event or is_delimited(reader.status, reader.headers)):
            # A server that crashes may close its connections without a reset.
            return AttemptEnd.BROKEN
        remainder = reader.take_remainder()
        if remainder is None:
            return reader.refused or AttemptEnd.BROKEN
        self.guard.note_response()
        self.position = reader.events.position
        if not self._response.has_started:
            self._start_response(reader)
        if remainder:
            await self._response.write(remainder)
        self._response.finish()
        return AttemptEnd.ANSWERED

    def classify(
        self, status: int, headers: HTTPHeaders, is_fresh: bool
    ) -> ResponseKind:
        """Classify a response head, and apply its signals."""
        kind = self._wire.classify(self._request, status, headers, is_fresh)
        if kind is not ResponseKind.WRONG_SERVER and self._server is not None:
            signal = self._wire.read_signal(status, headers)
            is_current = kind is not ResponseKind.FOREIGN
            sent_at = self._sent_at if is_current else None
            self._servers.note_signal(self._server, signal, sent_at)
            self._named_limit = signal.limit
        return kind

    async def forward(self, reader: AttemptReader, events: bytes) -> None:
        """Forward complete events to the caller."""
        self.position = reader.events.position
        if not self._response.has_started:
            self._start_response(reader)
        if self._assignment is not None and not self._is_prompt_read:
            self._servers.record_latency(self._assignment)
            self._note_prompt_read(self._assignment)
        if reader.has_event:
            self.guard.note_response()
        self._update_longest_gap()
        # The disconnect of a caller cancels the delivery by itself.
        with contextlib.suppress(StreamClosedError):
            await self._response.write(events)

    def _start_response(self, reader: AttemptReader) -> None:
        self.first_event_at = self._clock.elapsed()
        headers = self._wire.select_response_headers(reader.headers)
        self.first_status = reader.status
        self._response.start(reader.status, headers)

    def _update_longest_gap(self) -> None:
        """Update the longest time between two writes of events."""
        now = self._clock.elapsed()
        if self._last_events_at is not None:
            gap = now - self._last_events_at
            self.longest_gap = max(self.longest_gap or gap, gap)
        self._last_events_at = now

    def _note_prompt_read(self, assignment: Assignment) -> None:
        if not self._is_prompt_read:
            self._is_prompt_read = True
            self._servers.record_prompt_read(assignment)

    def _update_server_state(self, server: ListedServer, end: AttemptEnd) -> None:
        if end is AttemptEnd.ANSWERED:
            self._servers.note_success(server)
        elif end is AttemptEnd.OUT_OF_PLACE and not self._response.has_started:
            pass  # the caller may have sent a Last-Event-ID that never existed
        elif end in UNFINISHED or end is AttemptEnd.SERVER_ERROR:
            self._servers.note_failure(server)
        elif end is AttemptEnd.WRONG_SERVER:
            self._servers.note_unreachable(server)
        if end in (AttemptEnd.SILENT, AttemptEnd.BROKEN):
            self._connections.drop(server.entry.address)

    def _report_attempt(
        self,
        server: str,
        end: AttemptEnd,
        reason: str,
        reader: AttemptReader | None,
        started: timedelta,
    ) -> None:
        duration = self._clock.elapsed() - started
        expected = self._assignment.expected if self._assignment else timedelta()
        status = reader.status if reader else 0
        stream = reader.describe() if reader else None
        report = AttemptReport(
            server,
            end,
            reason,
            status,
            duration,
            expected,
            stream,
            self._knowledge,
            self._connecting,
            self._known_limit,
            self._named_limit,
            self.guard.parts,
        )
        self._on_attempt(report)
