"""One attempt to send a request to a backend server and read its response.

An attempt reports how it ended, but decides nothing about the request: its delivery
may run several, one after the other or beside each other. A silence of the server
doesn't end an attempt. It ends with its response, with its connection, or when its
delivery ends it for one of the reasons of ``EndReason``.
"""

import asyncio
from datetime import timedelta

from tornado.httputil import HTTPHeaders

from lavendershift.attemptowners import AttemptOwner
from lavendershift.attempts import (
    Attempt,
    AttemptEnd,
    AttemptReport,
    ExchangeReport,
    ResponseKind,
)
from lavendershift.clocks import Clock
from lavendershift.connections import (
    Connection,
    Exchange,
    is_delimited,
)
from lavendershift.crashes import Exposure
from lavendershift.eventstreams import EventPosition
from lavendershift.preparations import (
    AttemptOrder,
    Backends,
    Preparation,
    UnsentError,
)
from lavendershift.requestends import AttemptEnding, EndReason
from lavendershift.serverresponses import (
    SERVER_ERRORS,
    AttemptReader,
    ServerResponse,
)
from lavendershift.serversignals import ServerSignal
from lavendershift.serverstates import NO_PROMPT, ServerKnowledge
from lavendershift.serverusage import ServerUsage
from lavendershift.silences import (
    MAX_EVENT_GAP,
    SilenceMonitor,
    find_first_byte_wait,
    find_usual_wait,
)


class ServerAttempt:
    """Sends a request to one server and reads the response.

    ``response`` is set at the end of a complete response that was not forwarded event
    by event, ``remainder`` at the end of one that was. ``has_forwarded`` is set by the
    delivery, as are the ``held`` blocks that wait for a first event.
    """

    def __init__(
        self, clock: Clock, backends: Backends, order: AttemptOrder, owner: AttemptOwner
    ) -> None:
        self.order = order
        self.server = order.server
        self.reader: AttemptReader | None = None
        self.response: ServerResponse | None = None
        self.remainder = b""
        self.has_forwarded = False
        self.held = b""
        self._clock = clock
        self._servers = backends.servers
        self._connections = backends.connections
        self._wire = backends.wire
        self._memory = backends.memory
        self._owner = owner
        self._guard = owner.guard
        self._prompt = order.request.prompt or NO_PROMPT
        self._monitor: SilenceMonitor | None = None
        self._connection: Connection | None = None
        self._exposure: Exposure | None = None
        self._usage: ServerUsage | None = None
        self._is_after_silence = False
        self._has_short_wait = False
        self._ended_as: AttemptEnd | None = None
        self._ending: AttemptEnding | None = None
        self._knowledge = ServerKnowledge()
        self._connecting: timedelta | None = None
        self._started = clock.elapsed()
        self._sent_at = self._progress_at = timedelta()
        self._preparation = Preparation(
            backends, order, self._guard, lambda: owner.find_refusal(self)
        )
        self._named_limit: float | None = None
        self._head_at: timedelta | None = None
        self._earlier_sends = 0

    @property
    def was_sent(self) -> bool:
        """Whether the request was sent to the server."""
        return self._usage is not None

    @property
    def is_silent(self) -> bool:
        """Whether the attempt makes no progress at present."""
        return self._monitor is not None and self._monitor.is_silent

    @property
    def is_inside_event(self) -> bool:
        """Whether a part of the next event has arrived."""
        reader = self.reader
        if reader is None or not reader.is_streamed:
            return False
        is_accepted = reader.refused in (None, AttemptEnd.INSIDE_EVENT)
        return is_accepted and reader.is_inside_event

    @property
    def events_position(self) -> EventPosition:
        """The position up to which the response has been read."""
        return self.order.position if self.reader is None else self.reader.position

    def take_held(self) -> bytes:
        """Return the blocks that were held back, once."""
        held, self.held = self.held, b""
        return held

    @property
    def first_status(self) -> int:
        """The status already sent to the caller, 0 if there is none."""
        return self._owner.first_status

    @property
    def position(self) -> EventPosition:
        """The position up to which earlier responses were forwarded."""
        return self.order.position

    async def run(self) -> AttemptEnd:
        """Run the attempt and return how it ended."""
        try:
            return await self._run()
        except (Exception, asyncio.CancelledError) as error:
            if self._ended_as is None:
                self._report(AttemptEnd.INTERNAL_ERROR, type(error).__name__)
            raise

    async def _run(self) -> AttemptEnd:
        self._knowledge = self._servers.get_knowledge(self.server)
        try:
            connection = await self._preparation.run()
        except UnsentError as error:
            self._report(error.end, error.reason)
            return error.end
        except asyncio.CancelledError:
            if self._ended_as is None:
                raise
            return self._ended_as
        self._connection = connection
        return await self._send(connection)

    def end(self, ending: AttemptEnding) -> None:
        """End the attempt; nothing more is forwarded. Its task is then cancelled."""
        self._ending = ending
        self._ended_as = AttemptEnd.GIVEN_UP
        if ending.reason is EndReason.REPLACED:
            self._ended_as = AttemptEnd.REPLACED
            if self.is_silent:
                self._ended_as = AttemptEnd.SILENT
        if self.reader is not None:
            self.reader.refused = self._ended_as
        if self.was_sent or ending.reason is EndReason.REPLACED:
            self._report(self._ended_as, "")

    async def _send(self, connection: Connection) -> AttemptEnd:
        """Send the request on ``connection`` and read the response."""
        self._sent_at = self._progress_at = self._clock.elapsed()
        self._earlier_sends = self._owner.count_sends(connection.address)
        self._connecting = self._sent_at - self._started
        self._is_after_silence = self.server.silence.is_open
        self._usage = ServerUsage(self._clock, self._servers, self.server, self._prompt)
        is_reusable = False
        self._exposure = self._guard.expose(connection.close)
        reader = self.reader = AttemptReader(
            self, self.order.route.is_stream, connection.is_fresh, connection.close
        )
        reader.max_skipped += connection.unanswered
        if self._memory is not None:
            reader.count_in(self._memory)
        reader.monitor = self._monitor = self._make_monitor()
        try:
            end, reason = await self._exchange(connection, reader)
            if self._ended_as is not None:
                end, reason = self._ended_as, ""
            elif end is AttemptEnd.ANSWERED:
                self._owner.note_answer(self)
            is_reusable = not end.is_unfinished and self._ended_as is None
        except asyncio.CancelledError:
            if self._ended_as is None:
                raise
            end, reason = self._ended_as, ""
        finally:
            self._monitor.stop()
            reader.release()
            self._guard.end_exposure(self._exposure)
            self._usage.finish()
            if is_reusable and self._servers.is_usable(self.server):
                self._connections.give_back(connection)
            else:
                connection.close()
        if self._is_suspect(end, reader):
            has_begun = reader.kind is ResponseKind.OWN
            await self._guard.inspect_break(self.server, self._exposure, has_begun)
        if not self._exposure.was_stopped:
            self._update_server_state(end)
        if self._ended_as is None:
            self._report(end, reason)
        return end

    def _make_monitor(self) -> SilenceMonitor:
        assert self._usage is not None
        left = self.order.time.end - self._clock.elapsed()
        target, expected = self.order.route.target, self._usage.expected
        first = find_first_byte_wait(target, expected, left)
        self._has_short_wait = first < find_usual_wait(target, expected)
        monitor = SilenceMonitor(
            asyncio.get_running_loop(),
            first.total_seconds(),
            max(MAX_EVENT_GAP, first).total_seconds(),
        )
        monitor.on_silence = self._note_silence
        monitor.on_progress = self._note_progress
        monitor.start()
        return monitor

    def _note_silence(self) -> None:
        # With little time left, the first wait is too short to tell about the server.
        if not self._has_short_wait or self._progress_at > self._sent_at:
            self._servers.note_silence(self.server, self._progress_at)
        self._owner.note_silence(self)

    def _note_progress(self) -> None:
        has_ended_silence = self._servers.note_progress(self.server)
        if has_ended_silence and self._is_after_silence:
            # Connections kept from before the silence have not been heard.
            self._connections.drop(self.server.entry.address)
        self._progress_at = self._clock.elapsed()

    def _is_suspect(self, end: AttemptEnd, reader: AttemptReader) -> bool:
        """Return whether an attempt broke off unplanned before its first event."""
        if self._exposure is None or self._exposure.was_stopped:
            return False
        if self._servers.is_leaving(self.server):
            return False
        if end not in (AttemptEnd.BROKEN, AttemptEnd.INSIDE_EVENT) or reader.reason:
            return False
        return not reader.has_event

    async def _exchange(
        self, connection: Connection, reader: AttemptReader
    ) -> tuple[AttemptEnd, str]:
        """Send the request on ``connection`` and read its response.

        Responses to earlier requests on the same connection are skipped.
        """
        order = self.order
        attempt = Attempt(
            server=self.server.entry.id,
            customer=order.customer,
            urgency=order.urgency,
            deadline=order.time.deadline,
            resume_after=order.position.last_id,
        )
        now = self._clock.elapsed()
        message = self._wire.encode(order.request, attempt, now)
        exchange = await connection.exchange(message, reader)
        while exchange.is_complete and reader.kind is ResponseKind.FOREIGN:
            exchange = await connection.read_next(reader)
        end = self._classify_exchange(exchange, reader)
        if end is not AttemptEnd.ANSWERED:
            connection.note_unanswered(order.request.id)
        return end, reader.reason or exchange.reason

    def _classify_exchange(
        self, exchange: Exchange, reader: AttemptReader
    ) -> AttemptEnd:
        """Return how an exchange ended, and keep a complete response."""
        if reader.kind is ResponseKind.NOT_RUN:
            return AttemptEnd.NOT_RUN
        if reader.kind is ResponseKind.WRONG_SERVER:
            return AttemptEnd.WRONG_SERVER
        if reader.refused is not None:
            return reader.refused
        if not exchange.is_complete or reader.kind is ResponseKind.FOREIGN:
            return AttemptEnd.BROKEN
        if reader.is_streamed:
            return self._finish_stream(reader)
        self._note_response()
        self.response = reader.collect()
        if self.response.status in SERVER_ERRORS:
            return AttemptEnd.SERVER_ERROR
        if self._usage is not None and not self.order.route.is_stream:
            self._usage.note_response(self.response.status, self._was_silent)
        return AttemptEnd.ANSWERED

    def _finish_stream(self, reader: AttemptReader) -> AttemptEnd:
        if not (reader.has_event or is_delimited(reader.status, reader.headers)):
            # A server that crashes may close its connections without a reset.
            return AttemptEnd.BROKEN
        if not reader.has_event and self._owner.has_partial_event():
            reader.refused = AttemptEnd.INSIDE_EVENT
        remainder = reader.take_remainder()
        if remainder is None or reader.refused is not None:
            return reader.refused or AttemptEnd.BROKEN
        self._note_response()
        report = reader.describe()
        if self._usage is not None and report is not None:
            self._usage.note_stream_end(report.events, self._was_silent)
        self.remainder = remainder
        return AttemptEnd.ANSWERED

    def classify(
        self, status: int, headers: HTTPHeaders, is_fresh: bool
    ) -> ResponseKind:
        """Classify a response head, and apply its signals."""
        kind = self._wire.classify(self.order.request, status, headers, is_fresh)
        signal = self._wire.read_signal(status, headers)
        if kind is ResponseKind.FOREIGN:
            # A copy may repeat a limit or a pause that has ended, but no drain ends.
            if signal.is_leaving:
                self._servers.note_signal(self.server, ServerSignal(is_leaving=True))
            return kind
        self._head_at = self._clock.elapsed()
        if kind is not ResponseKind.WRONG_SERVER:
            self._servers.note_signal(self.server, signal, self._sent_at)
            self._named_limit = signal.limit
        return kind

    async def forward(self, reader: AttemptReader, events: bytes) -> None:
        """Forward complete events to the caller."""
        if reader.has_event:
            if self._usage is not None:
                self._usage.note_first_event(self._was_silent)
            self._note_response()
        await self._owner.forward(self, events)

    def _note_response(self) -> None:
        if self._exposure is not None:
            self._guard.note_response(self._exposure)

    @property
    def _was_silent(self) -> bool:
        return self._monitor is not None and self._monitor.was_silent

    def _update_server_state(self, end: AttemptEnd) -> None:
        if end is AttemptEnd.ANSWERED:
            self._servers.note_success(self.server)
        elif end is AttemptEnd.NO_ROOM:
            pass  # a lack of memory here says nothing about the server
        elif end is AttemptEnd.OUT_OF_PLACE and not self._owner.first_status:
            pass  # the caller may have sent a Last-Event-ID that never existed
        elif (
            end.is_unfinished
            or end is AttemptEnd.SERVER_ERROR
            or end is AttemptEnd.SILENT
            and self._received_without_progress()
        ):
            self._servers.note_failure(self.server)
        elif end is AttemptEnd.NOT_RUN:
            self._servers.note_rejection(self.server)
        elif end is AttemptEnd.WRONG_SERVER:
            self._servers.note_unreachable(self.server)
        if end is AttemptEnd.BROKEN:
            self._connections.drop(self.server.entry.address)

    def _received_without_progress(self) -> bool:
        """Whether bytes kept arriving that are no progress, unlike in a silence."""
        if self._connection is None or self._monitor is None:
            return False
        since = self._monitor.progress_at
        waited = asyncio.get_running_loop().time() - since
        return self._connection.received_at - since > waited / 2

    def _find_ending(self) -> AttemptEnding | None:
        """Return how this VM ended the attempt, ``None`` if its server did."""
        if self._exposure is not None and self._exposure.was_stopped:
            return AttemptEnding(EndReason.QUARANTINED)
        return self._ending

    def _describe_exchange(self) -> ExchangeReport | None:
        connection, reader = self._connection, self.reader
        if connection is None or reader is None:
            return None
        delay = None if self._head_at is None else self._head_at - self._sent_at
        return ExchangeReport(
            connection.address,
            connection.number,
            connection.exchanges,
            delay,
            reader.skipped,
            self._earlier_sends,
        )

    def _report(self, end: AttemptEnd, reason: str) -> None:
        reader = self.reader
        monitor = self._monitor
        silence = None
        if monitor is not None and monitor.was_silent:
            silence = timedelta(seconds=monitor.longest_gap)
        self._owner.report(
            AttemptReport(
                self.server.entry.id,
                end,
                reason,
                reader.status if reader else 0,
                self._clock.elapsed() - self._started,
                self._usage.expected if self._usage else timedelta(),
                reader.describe() if reader else None,
                self._knowledge,
                self._connecting,
                self._preparation.known_limit,
                self._named_limit,
                self._guard.parts,
                silence,
                self.order.is_beside,
                self._find_ending(),
                self._describe_exchange(),
            )
        )
