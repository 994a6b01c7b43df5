"""Getting one plain HTTP request answered by a backend server.

A ``Delivery`` sends a request to one server after another until it has a whole
answer, or until another attempt is not allowed or can't help. What may be sent
again follows from the route and from what is proved about the attempts so far:
a request that may not be repeated goes to another server only if it certainly
did not run.
"""

import asyncio
import contextlib
from collections.abc import Callable
from datetime import timedelta

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from lavendershift.attempts import (
    Attempt,
    AttemptEnd,
    AttemptNote,
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
)
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.eventstreams import EventPosition, read_position
from lavendershift.patience import ProgressTimeout
from lavendershift.routes import Repeat, Route, Service
from lavendershift.serveranswers import SERVER_ERRORS, AttemptReader, ServerResponse
from lavendershift.serverlist import Assignment, ServerList
from lavendershift.serverstates import NO_PROMPT, ListedServer, ServerKnowledge

CONNECT_TIMEOUT = timedelta(milliseconds=300)  # a hundred times the longest path
MAX_SENDS = 4  # servers that one request is sent to, refusals included
MAX_UNREACHED = 6  # servers to which no connection could be made
FIRST_BYTE_PART = 1.5  # of the route's target, after which a repeat is tried
EXPECTED_PART = 2.0  # of the expected time, where that is longer
SHORTEST_FIRST_BYTE = timedelta(milliseconds=250)
EVENT_GAP = timedelta(milliseconds=900)  # silence after which a stream is resumed
REPEAT_RESERVE = timedelta(milliseconds=60)  # time left that a repeat needs
ANSWER_RESERVE = timedelta(milliseconds=20)  # for the last answer to arrive in time
# No whole answer was taken: the connection is not used again.
UNFINISHED = frozenset(
    {
        AttemptEnd.SILENT,
        AttemptEnd.BROKEN,
        AttemptEnd.INSIDE_EVENT,
        AttemptEnd.OTHER_KIND,
        AttemptEnd.OUT_OF_PLACE,
    }
)


class AttemptMonitor:
    """Keeps the timeout of an attempt at what ``ProgressTimeout`` says."""

    def __init__(self, watchdog: asyncio.Timeout, first: float) -> None:
        self._watchdog = watchdog
        self._loop = asyncio.get_running_loop()
        gap = max(EVENT_GAP.total_seconds(), first)
        self._timeout = ProgressTimeout(self._loop.time(), first, gap)

    def note_progress(self) -> None:
        """Note what brings the answer on."""
        self._timeout.note_progress(self._loop.time())
        self._update()

    def note_bytes(self) -> None:
        """Note bytes that may go on without end."""
        self._timeout.note_bytes(self._loop.time())
        self._update()

    def suspend(self) -> None:
        """Stop the clock: a caller that reads slowly is no silence of the server."""
        self._timeout.suspend(self._loop.time())
        self._update()

    def resume(self) -> None:
        """Let the clock go on."""
        self._timeout.resume(self._loop.time())
        self._update()

    def _update(self) -> None:
        # After a pause of the process data and timeout come at once.
        if not self._watchdog.expired():
            self._watchdog.reschedule(self._timeout.deadline)


class Delivery:
    """The attempts at one request.

    ``spend_retry`` takes the token of one repeated sending after an attempt
    that ended, ``on_attempt`` is told of each of them.
    """

    def __init__(
        self,
        clock: Clock,
        request: CallerRequest,
        route: Route,
        service: Service,
        servers: ServerList,
        connections: ConnectionPool,
        wire: ServerWire,
        answers: ResponseWriter,
        spend_retry: Callable[[AttemptEnd], bool],
        on_attempt: Callable[[AttemptNote], None],
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
        self._servers = servers
        self._connections = connections
        self._wire = wire
        self._answers = answers
        self._spend_retry = spend_retry
        self._on_attempt = on_attempt
        self._customer = customer
        self._urgency = urgency
        self._limit = min(request.deadline, request.received + route.timeout)
        self._tried: set[str] = set()
        self._sends = 0
        self._runs = 0
        self._unreached = 0
        self._server_error: ServerResponse | None = None
        self._server: ListedServer | None = None
        self._assignment: Assignment | None = None
        self._knowledge = ServerKnowledge()
        self._connecting: timedelta | None = None
        self._is_read = False
        self.first_event_at: timedelta | None = None
        self.longest_gap: timedelta | None = None
        self._event_at: timedelta | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have begun to work on the request."""
        return self._runs > 0

    @property
    def delivered_tokens(self) -> int:
        """The most output tokens that the events handed on can hold."""
        return self.position.events * self._service.tokens_per_event

    async def run(self) -> None:
        """Deliver the whole answer; raises ``RequestError``."""
        try:
            timeout = self._limit - ANSWER_RESERVE - self._clock.elapsed()
            async with asyncio.timeout(max(timeout.total_seconds(), 0)):
                await self._run_attempts()
        except TimeoutError:
            if self._runs:
                raise RequestError(ErrorKind.DEADLINE_EXCEEDED) from None
            raise RequestError(ErrorKind.DEADLINE_UNREACHABLE) from None

    async def _run_attempts(self) -> None:
        end = AttemptEnd.NOT_SENT
        while True:
            server = self._servers.choose(
                self._service.name, self._request.prompt or NO_PROMPT, self._tried
            )
            if server is None:
                self._give_up(end)
                return
            end = await self._attempt(server)
            if end is AttemptEnd.ANSWERED:
                return
            if not self._may_go_on(end):
                self._give_up(end)
                return

    def _may_go_on(self, end: AttemptEnd) -> bool:
        """Return whether the request may go to another server after ``end``."""
        if end is AttemptEnd.NOT_SENT:
            self._unreached += 1
            return self._unreached < MAX_UNREACHED
        if self._sends >= MAX_SENDS or self._runs >= self.route.max_attempts:
            return False
        if not end.did_not_run and not self._may_repeat():
            return False
        if self._limit - self._clock.elapsed() < REPEAT_RESERVE:
            return False
        return self._spend_retry(end)

    def _may_repeat(self) -> bool:
        """Return whether a request that may have run can be sent again."""
        if self.route.repeat is Repeat.ALWAYS:
            return not self._answers.has_started
        if self.route.repeat is Repeat.RESUME:
            return not self._answers.has_started or self.position.can_resume
        return False

    def _give_up(self, end: AttemptEnd) -> None:
        """Answer with a server's own error, or raise ``RequestError``."""
        if self._answers.has_started:
            raise RequestError(ErrorKind.ANSWER_TRUNCATED)
        if self._server_error is not None:
            answer = self._server_error
            headers = self._wire.select_response_headers(answer.headers)
            self._answers.send(answer.status, headers, answer.body)
            return
        if self._runs == 0:
            refused = end in (AttemptEnd.NOT_RUN, AttemptEnd.WRONG_SERVER)
            kind = ErrorKind.SERVER_REFUSED if refused else ErrorKind.NO_SERVER
            after = self._servers.find_retry_delay(self._service.name)
            raise RequestError(kind, retry_after=after)
        if self.route.repeat is Repeat.NEVER:
            raise RequestError(ErrorKind.OUTCOME_UNKNOWN)
        raise RequestError(ErrorKind.SERVER_FAILED)

    async def _attempt(self, server: ListedServer) -> AttemptEnd:
        """Send the request to ``server`` once and judge what came of it."""
        started = self._clock.elapsed()
        entry = server.entry
        self._server = server
        self._knowledge, self._connecting = (
            self._servers.describe_knowledge(server),
            None,
        )
        self._assignment = None
        self._tried.add(entry.id)
        try:
            connection = await self._open(server)
        except ConnectError as error:
            self._servers.note_unreachable(server)
            self._note(entry.id, AttemptEnd.NOT_SENT, str(error), None, started)
            return AttemptEnd.NOT_SENT
        if not self._servers.is_usable(server):
            self._connections.give_back(connection)
            self._note(
                entry.id, AttemptEnd.NOT_SENT, "it left meanwhile", None, started
            )
            return AttemptEnd.NOT_SENT
        self._connecting = self._clock.elapsed() - started
        self._sends += 1
        self._runs += 1
        assignment = self._servers.start(server, self._request.prompt or NO_PROMPT)
        self._assignment, self._is_read = assignment, False
        keeps = False
        reader = AttemptReader(
            self, self.route.is_stream, connection.is_fresh, connection.close
        )
        try:
            end, reason = await self._exchange(connection, entry.id, reader)
            keeps = end not in UNFINISHED
        except asyncio.CancelledError:
            self._note(entry.id, AttemptEnd.GIVEN_UP, "", reader, started)
            raise
        finally:
            if reader.is_streamed and reader.refused in (None, AttemptEnd.INSIDE_EVENT):
                self.position = reader.events.end()
            self._note_read(assignment)
            self._servers.finish(assignment)
            if keeps and self._servers.is_usable(server):
                self._connections.give_back(connection)
            else:
                connection.close()
        self._note_server(server, end)
        if end.did_not_run:
            self._runs -= 1
        self._note(entry.id, end, reason, reader, started)
        return end

    async def _open(self, server: ListedServer) -> Connection:
        address = server.entry.address
        connection = self._connections.take(address)
        if connection is not None:
            return connection
        return await self._connections.connect(address, CONNECT_TIMEOUT)

    async def _exchange(
        self, connection: Connection, server: str, reader: AttemptReader
    ) -> tuple[AttemptEnd, str]:
        """Exchange request and answer on ``connection``."""
        now = self._clock.elapsed()
        attempt = Attempt(
            server=server,
            customer=self._customer,
            urgency=self._urgency,
            deadline=self._limit,
            resume_after=self.position.last_id,
        )
        message = self._wire.encode(self._request, attempt, now)
        patience = self._find_patience()
        try:
            async with asyncio.timeout(patience) as watchdog:
                if patience is not None:
                    reader.monitor = AttemptMonitor(watchdog, patience)
                exchange = await connection.exchange(message, reader)
                while exchange.is_complete and reader.kind is ResponseKind.FOREIGN:
                    exchange = await connection.read_next(reader)
                end = await self._conclude(exchange, reader)
        except TimeoutError:
            if not watchdog.expired():
                raise
            return AttemptEnd.SILENT, "no progress"
        return end, reader.reason or exchange.reason

    def _find_patience(self) -> float | None:
        """Return the seconds to wait for a sign of the answer, ``None`` to the end.

        Only a request that may be sent elsewhere afterwards is given up early, and
        not while its server is slow for the prompts before it.
        """
        if not self._may_repeat() or self._runs >= self.route.max_attempts:
            return None
        if self.route.repeat is Repeat.NEVER:
            return None
        left = self._limit - self._clock.elapsed()
        usual = max(self.route.target * FIRST_BYTE_PART, SHORTEST_FIRST_BYTE)
        expected = self._assignment.expected if self._assignment else timedelta()
        patience = max(usual, expected * EXPECTED_PART)
        return min(patience, left / 2).total_seconds()

    async def _conclude(self, exchange: Exchange, reader: AttemptReader) -> AttemptEnd:
        """Judge an exchange, and hand a whole answer to the caller."""
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
        answer = reader.collect()
        if answer.status in SERVER_ERRORS:
            self._server_error = answer
            return AttemptEnd.SERVER_ERROR
        if self._assignment is not None and not self.route.is_stream:
            self._servers.record_latency(self._assignment)
        headers = self._wire.select_response_headers(answer.headers)
        self._answers.send(answer.status, headers, answer.body)
        return AttemptEnd.ANSWERED

    async def _finish_stream(self, reader: AttemptReader) -> AttemptEnd:
        remainder = reader.take_remainder()
        if remainder is None:
            return reader.refused or AttemptEnd.BROKEN
        self.position = reader.events.position
        if not self._answers.has_started:
            self._start_stream(reader)
        if remainder:
            await self._answers.write(remainder)
        self._answers.finish()
        return AttemptEnd.ANSWERED

    def classify(
        self, status: int, headers: HTTPHeaders, is_fresh: bool
    ) -> ResponseKind:
        """Return whose answer this is, and note what it says of its server."""
        kind = self._wire.classify(self._request, status, headers, is_fresh)
        if kind is not ResponseKind.WRONG_SERVER and self._server is not None:
            signal = self._wire.read_signal(status, headers)
            self._servers.note_signal(self._server, signal)
        return kind

    async def forward(self, reader: AttemptReader, events: bytes) -> None:
        """Hand whole events on to the caller."""
        self.position = reader.events.position
        if not self._answers.has_started:
            self._start_stream(reader)
        if self._assignment is not None and not self._is_read:
            self._servers.record_latency(self._assignment)
            self._note_read(self._assignment)
        self._note_gap()
        # A caller that went away cancels the delivery by itself.
        with contextlib.suppress(StreamClosedError):
            await self._answers.write(events)

    def _start_stream(self, reader: AttemptReader) -> None:
        self.first_event_at = self._clock.elapsed()
        headers = self._wire.select_response_headers(reader.headers)
        self.first_status = reader.status
        self._answers.start(reader.status, headers)

    def _note_gap(self) -> None:
        """Note the pause since the last events."""
        now = self._clock.elapsed()
        if self._event_at is not None:
            gap = now - self._event_at
            self.longest_gap = max(self.longest_gap or gap, gap)
        self._event_at = now

    def _note_read(self, assignment: Assignment) -> None:
        if not self._is_read:
            self._is_read = True
            self._servers.record_prompt_read(assignment)

    def _note_server(self, server: ListedServer, end: AttemptEnd) -> None:
        if end is AttemptEnd.ANSWERED:
            self._servers.note_success(server)
        elif end is AttemptEnd.OUT_OF_PLACE and not self._answers.has_started:
            pass  # the caller may have asked to go on after an event that never was
        elif end in UNFINISHED or end is AttemptEnd.SERVER_ERROR:
            self._servers.note_failure(server)
        elif end is AttemptEnd.WRONG_SERVER:
            self._servers.note_unreachable(server)
        if end in (AttemptEnd.SILENT, AttemptEnd.BROKEN):
            self._connections.drop(server.entry.address)

    def _note(
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
        note = AttemptNote(
            server,
            end,
            reason,
            status,
            duration,
            expected,
            stream,
            self._knowledge,
            self._connecting,
        )
        self._on_attempt(note)
