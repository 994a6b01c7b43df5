"""Backend servers and connections of a simulation in virtual time.

A server answers requests, may fall silent and go on, and may refuse, break off or not
accept connections. ``Flight`` records what became of each request that it got, apart
from all that the VMs note.
"""

import asyncio
import contextlib
import math

from tornado.httputil import HTTPHeaders

from lavendershift.attempts import ResponseKind
from lavendershift.connections import (
    ConnectError,
    ConnectionPool,
    Exchange,
    ServerRequest,
)
from lavendershift.serverresponses import EVENT_STREAM
from lavendershift.serversignals import ServerSignal
from lavendershift.serverstates import ServerEntry

SERVICE = "pool"
DELAY_S = 0.001  # one-way delay between a VM and a server
READ_S = (0.02, 0.12)  # shortest and longest time to the head of a response
EVENT_GAP_S = 0.1  # time between two events
EVENTS = 6  # events of each stream
NEVER = math.inf
TICK_S = 1e-9  # resolution of the loop's clock: timers that are nearer expire together


def make_event(request_id, number):
    return f"id: {number}\ndata: {request_id}/{number}\n\n".encode()


def make_body(request_id, is_stream):
    """Return the whole response to a request."""
    if not is_stream:
        return f"answer to {request_id}".encode()
    return b"".join(make_event(request_id, n) for n in range(1, EVENTS + 1))


class OddResponseError(Exception):
    """An exception that the VMs don't expect."""


class Flight:
    """One request that a server got.

    ``told_s`` is the time to the deadline that the server was told, ``queued_s`` the
    time that the request waited there after the head of its response.
    ``progress`` holds when complete events, or a complete plain response, arrived.
    ``end`` is "answered", "refused", "broken" by the server, "closed" by the VM, or
    "late" if the server ended it at the deadline that it was told.
    """

    def __init__(self, request_id, is_stream, after, server, vm, sent_at, told_s):
        self.request_id, self.is_stream, self.after = request_id, is_stream, after
        self.server, self.vm, self.sent_at = server, vm, sent_at
        self.told_s = told_s
        self.queued_s = 0.0
        self.progress = []
        self.end, self.ended_at = "", NEVER

    def finish(self, end, now):
        if not self.end:
            self.end, self.ended_at = end, now

    @property
    def may_have_run(self):
        return self.end != "refused"


class SilentServer:
    """A server; ``silent_until`` is infinite once it is dead."""

    def __init__(self, loop, rng, number):
        self.loop, self.rng = loop, rng
        self.name = f"i-{number}"
        self.entry = ServerEntry(self.name, SERVICE, f"{self.name}:1", "", 16, False)
        self.silences = []
        self.silent_until = self.refuses_until = self.unreachable_until = 0.0
        self.is_dark = False
        self.queues_until = self.queue_s = self.is_odd_until = 0.0
        self.flights = []
        self.connections = {}
        self.connects = []

    @property
    def is_dead(self):
        return self.silent_until == NEVER

    @property
    def is_silent(self):
        return self.silent_until - self.loop.time() > TICK_S

    def fall_silent(self, for_s, is_dark=False):
        """Send nothing for some time; a dark server accepts no connection either."""
        now = self.loop.time()
        self.silent_until = max(self.silent_until, now + for_s)
        self.is_dark = is_dark
        self.silences.append((now, self.silent_until))

    def measure_speech(self, flight):
        """Return how long the server was not silent while it had a request."""
        speech, at = 0.0, flight.sent_at
        for since, until in [*sorted(self.silences), (NEVER, NEVER)]:
            speech += max(min(since, flight.ended_at) - at, 0.0)
            at = max(at, until)
        return speech

    def refuse_requests(self, for_s):
        self.refuses_until = self.loop.time() + for_s

    def refuse_connections(self, for_s):
        self.unreachable_until = self.loop.time() + for_s

    def queue_requests(self, for_s, queue_s):
        """Send heads at once for some time, and let the requests wait after that."""
        self.queues_until = self.loop.time() + for_s
        self.queue_s = queue_s

    def send_odd_responses(self, for_s):
        self.is_odd_until = self.loop.time() + for_s

    def break_connections(self):
        """Break off all responses."""
        for connection in list(self.connections):
            connection.break_off()

    async def accept(self, vm, timeout_s):
        """Let a VM open a connection, or raise ``ConnectError``."""
        self.connects.append((self.loop.time(), vm))
        await asyncio.sleep(2 * DELAY_S)
        if self.loop.time() < self.unreachable_until:
            raise ConnectError("ConnectionRefusedError", was_refused=True)
        if self.is_dark and self.is_silent:
            await asyncio.sleep(timeout_s - 2 * DELAY_S)
            raise ConnectError("TimeoutError")

    async def _work(self, for_s):
        """Work on a response, and wait while the server is silent."""
        await asyncio.sleep(for_s)
        while self.is_dead:
            await asyncio.sleep(3600)
        while self.is_silent:
            await asyncio.sleep(self.silent_until - self.loop.time())

    async def respond(self, flight, connection, reader):
        """Send the response to a request."""
        is_queued = self.loop.time() < self.queues_until
        await self._work(DELAY_S if is_queued else DELAY_S + self.rng.uniform(*READ_S))
        connection.received_at = self.loop.time()
        if self.loop.time() < self.refuses_until:
            reader.start(503, HTTPHeaders({"Content-Length": "0", "Not-Run": "1"}))
            flight.finish("refused", self.loop.time())
            return
        if self.loop.time() < self.is_odd_until:
            flight.finish("broken", self.loop.time())
            raise OddResponseError
        if flight.is_stream:
            await self._stream(flight, connection, reader, is_queued)
        else:
            body = make_body(flight.request_id, False)
            reader.start(200, HTTPHeaders({"Content-Length": str(len(body))}))
            for part in (body[:5], body[5:]):
                await self._work(EVENT_GAP_S)
                await self._send(connection, reader, part)
            flight.progress.append(self.loop.time())
        flight.finish("answered", self.loop.time())

    async def _stream(self, flight, connection, reader, is_queued):
        headers = {"Content-Type": EVENT_STREAM, "Transfer-Encoding": "chunked"}
        reader.start(200, HTTPHeaders(headers))
        if is_queued:
            flight.queued_s = self.queue_s
            await self._work(self.queue_s)
        for number in range(flight.after + 1, EVENTS + 1):
            event = make_event(flight.request_id, number)
            await self._work(EVENT_GAP_S)
            if self.rng.random() < 0.3:
                await self._send(connection, reader, event[:9])
                await self._work(EVENT_GAP_S / 2)
                event = event[9:]
            flight.progress.append(self.loop.time())
            await self._send(connection, reader, event)
        await self._work(DELAY_S)

    async def _send(self, connection, reader, data):
        connection.received_at = self.loop.time()
        forwarding = reader.add(data)
        if forwarding is not None:
            await forwarding


class SimulatedConnection:
    """A connection of a VM to a server, which carries one request at a time."""

    def __init__(self, server, vm):
        self.server, self.vm = server, vm
        self.address = server.entry.address
        self.is_fresh, self.is_closed = True, False
        self.received_at = 0.0
        self.number = self.exchanges = 0
        self._unanswered = set()
        self._flight = self._responding = None

    async def exchange(self, request, reader):
        """Send a request and read the response, as ``Connection.exchange`` does."""
        self.exchanges += 1
        server, headers = self.server, request.headers
        self._flight = Flight(
            headers["Id"],
            "Stream" in headers,
            int(headers["After"]),
            server,
            self.vm,
            server.loop.time(),
            float(headers["Left"]),
        )
        server.flights.append(self._flight)
        self.vm.fleet.note_flight(self._flight)
        server.connections[self] = None
        self._responding = asyncio.ensure_future(
            server.respond(self._flight, self, reader)
        )
        await asyncio.wait([self._responding], timeout=self._flight.told_s)
        if self._responding.cancel():
            self._flight.finish("late", server.loop.time())
            await asyncio.wait([self._responding])
        server.connections.pop(self, None)
        self.is_fresh = False
        if not self._responding.cancelled():
            self._responding.result()
        is_complete = self._flight.end in ("answered", "refused")
        return Exchange(is_complete, reader.status > 0, self._flight.end)

    @property
    def unanswered(self):
        return len(self._unanswered)

    def note_unanswered(self, request_id):
        self._unanswered.add(request_id)

    def may_carry(self, request_id):
        return request_id not in self._unanswered

    def break_off(self):
        self._end("broken")

    def close(self):
        self._end("closed")

    def _end(self, end):
        self.is_closed = True
        self.server.connections.pop(self, None)
        if self._flight is not None:
            self._flight.finish(end, self.server.loop.time())
        if self._responding is not None:
            self._responding.cancel()


class SimulatedPool(ConnectionPool):
    """Connections of a VM to simulated servers."""

    def __init__(self, vm):
        super().__init__(vm.fleet.loop)
        self._vm = vm
        self._kept = {}

    def take(self, address, request_id=""):
        kept = self._kept.get(address, [])
        for connection in reversed(kept.copy()):
            if connection.may_carry(request_id):
                kept.remove(connection)
                if not connection.is_closed:
                    return connection
        return None

    async def connect(self, address, timeout):
        server = self._vm.fleet.addresses[address]
        await server.accept(self._vm, timeout.total_seconds())
        self.opened += 1
        return SimulatedConnection(server, self._vm)

    async def is_refused(self, address):
        with contextlib.suppress(ConnectError):
            await self._vm.fleet.addresses[address].accept(self._vm, 0.1)
            return False
        return True

    def give_back(self, connection):
        if not connection.is_closed:
            self._kept.setdefault(connection.address, []).append(connection)

    def drop(self, address):
        for connection in self._kept.pop(address, ()):
            connection.close()


class SimulatedWire:
    """Encodes requests for simulated servers."""

    def encode(self, request, attempt, now):
        headers = HTTPHeaders(request.headers)
        headers["Id"] = request.id
        headers["After"] = attempt.resume_after or "0"
        headers["Left"] = str((attempt.deadline - now).total_seconds())
        return ServerRequest(request.method, request.target, headers, b"")

    def classify(self, request, status, headers, is_fresh):
        return ResponseKind.NOT_RUN if "Not-Run" in headers else ResponseKind.OWN

    def read_signal(self, status, headers):
        return ServerSignal()

    def select_response_headers(self, headers):
        return headers
