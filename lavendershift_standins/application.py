"""The base application and request handler of all stand-ins.

A stand-in is a subclass of ``StandInApp`` with handlers of its own. It owns its
active faults, its HTTP server and the tasks that the subclass starts in
``on_start`` and stops in ``on_stop``.
"""

import asyncio
from random import Random
from typing import Any, ClassVar

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, Finish, RequestHandler

from lavendershift.clocks import Clock
from lavendershift_standins.faults import Phase
from lavendershift_standins.faultset import FaultError, FaultSet

MAX_BODY_BYTES = 64 * 1024 * 1024


class StandInHandler(RequestHandler):
    """A request handler that applies the active faults to its calls."""

    affected_by_faults: ClassVar[bool] = True

    def initialize(self) -> None:
        """Set up the event that is set when the client closes the connection."""
        self.standin: Any = self.application.settings["standin"]
        self.closed = asyncio.Event()

    async def prepare(self) -> None:
        """Apply the faults of ``Phase.ARRIVAL``, before the call runs."""
        if not self.affected_by_faults:
            return
        if await self.standin.faults.apply(Phase.ARRIVAL, self):
            raise Finish

    def describe(self) -> tuple[str, str]:
        """Return the method and path of the call."""
        return self.request.method or "", self.request.path

    def on_connection_close(self) -> None:
        """Wake the coroutines that wait for the client to disconnect."""
        self.closed.set()

    def close_connection(self) -> None:
        """Close the connection without sending another byte."""
        self.request.connection.stream.close()  # type: ignore[union-attr]

    async def wait_closed(self) -> None:
        """Wait until the client disconnects or the program stops."""
        await self.closed.wait()

    def answer_error(self, status: int, message: str, not_run: bool = False) -> None:
        """Write an error in the format of the OpenAI API."""
        self.set_status(status)
        if not_run:
            self.set_header("Not-Run", "true")
        self.write_json({"error": {"message": message, "type": "stand_in_error"}})

    def write_json(self, body: Any) -> None:
        """Write ``body`` as a JSON response."""
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(body))

    def read_json(self) -> Any:
        """Return the decoded body; end the call with 400 if it isn't valid JSON."""
        try:
            return msgspec.json.decode(self.request.body)
        except msgspec.DecodeError as error:
            self.answer_error(400, f"body: {error}", not_run=True)
            raise Finish from None

    async def reply(self, body: Any) -> None:
        """Write the response to a completed call unless a fault prevents it."""
        if self.affected_by_faults:
            await self.apply_reply_faults()
        self.write_json(body)

    async def apply_reply_faults(self) -> None:
        """Apply the faults of ``Phase.REPLY``; end the call if one of them ended it."""
        if await self.standin.faults.apply(Phase.REPLY, self):
            raise Finish


class FaultsHandler(StandInHandler):
    """Lists, adds and removes faults."""

    affected_by_faults = False

    async def get(self, name: str = "") -> None:
        """Return the active faults."""
        self.write_json({"faults": self.standin.faults.describe()})

    async def post(self, name: str = "") -> None:
        """Activate a fault; a 400 response names the invalid field."""
        try:
            self.standin.faults.add(self.read_json())
        except FaultError as error:
            self.set_status(400)
            detail = {"location": error.location, "message": error.reason}
            self.write_json({"error": detail})
            return
        await self.get()

    async def delete(self, name: str = "") -> None:
        """Remove the fault ``name``, or all faults."""
        self.standin.faults.remove(name)
        await self.get()


class StandInApp:
    """A stand-in that runs in a process of its own or inside a test.

    Subclasses set ``program``, the name by which a kind of fault lists the programs
    that support it, and return their routes from ``list_routes``.
    """

    program: ClassVar[str] = ""

    def __init__(self, settings: Any, clock: Clock, rng: Random) -> None:
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.faults = FaultSet(self.program, clock, rng)
        self.port = 0
        self._server: HTTPServer | None = None

    def list_routes(self) -> list[tuple[Any, ...]]:
        """Return the routes of the subclass as tornado's rule tuples."""
        raise NotImplementedError

    async def on_start(self) -> None:
        """Start the tasks that the subclass runs besides the HTTP server."""

    async def on_stop(self) -> None:
        """Stop the tasks that the subclass runs besides the HTTP server."""

    def make_application(self) -> Application:
        """Return the tornado application: fault routes, then those of the subclass."""
        routes = [
            (r"/control/faults", FaultsHandler),
            (r"/control/faults/([a-z_]+)", FaultsHandler),
            *self.list_routes(),
        ]
        return Application(routes, standin=self, log_function=lambda handler: None)

    async def start(self, port: int = 0) -> int:
        """Listen on ``port`` and return it; 0 selects any free port."""
        self._server = HTTPServer(
            self.make_application(), max_buffer_size=MAX_BODY_BYTES
        )
        sockets = bind_sockets(port, self.settings.address)
        self._server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]
        await self.on_start()
        return self.port

    async def stop(self) -> None:
        """Stop listening, close all connections and stop the subclass's tasks."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
            self._server = None
        await self.on_stop()

    @property
    def now_ms(self) -> int:
        """The wall-clock time as a Unix timestamp in milliseconds."""
        return int(self.clock.now().timestamp() * 1000)
