"""The application object and request handler that all stand-ins share.

A stand-in is a ``StandInApp`` with its own handlers. It owns its faults, its
HTTP server and whatever the subclass starts in ``on_start`` and ends in
``on_stop``.
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
    """A handler that shows the faults in force around its own work."""

    affected_by_faults: ClassVar[bool] = True

    def initialize(self) -> None:
        """Prepare to notice that the other side closes the connection."""
        self.standin: Any = self.application.settings["standin"]
        self.closed = asyncio.Event()

    async def prepare(self) -> None:
        """Let faults strike before the call runs."""
        if not self.affected_by_faults:
            return
        if await self.standin.faults.apply(Phase.ARRIVAL, self):
            raise Finish

    def describe(self) -> tuple[str, str]:
        """Return the call's method and path."""
        return self.request.method or "", self.request.path

    def on_connection_close(self) -> None:
        """Wake whoever waits for the other side to give up."""
        self.closed.set()

    def close_connection(self) -> None:
        """Close the connection without a further byte."""
        self.request.connection.stream.close()  # type: ignore[union-attr]

    async def wait_closed(self) -> None:
        """Wait until the other side gives up or the program stops."""
        await self.closed.wait()

    def answer_error(self, status: int, message: str, not_run: bool = False) -> None:
        """Write an error in the form of the OpenAI interface."""
        self.set_status(status)
        if not_run:
            self.set_header("Not-Run", "true")
        self.write_json({"error": {"message": message, "type": "stand_in_error"}})

    def write_json(self, body: Any) -> None:
        """Write ``body`` as JSON."""
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(body))

    def read_json(self) -> Any:
        """Return the decoded body; ends the call with 400 when it is no JSON."""
        try:
            return msgspec.json.decode(self.request.body)
        except msgspec.DecodeError as error:
            self.answer_error(400, f"body: {error}", not_run=True)
            raise Finish from None

    async def reply(self, body: Any) -> None:
        """Write the answer to a call that took effect, if no fault prevents it."""
        if self.affected_by_faults:
            await self.apply_reply_faults()
        self.write_json(body)

    async def apply_reply_faults(self) -> None:
        """Let faults strike after the call took effect; may end the call."""
        if await self.standin.faults.apply(Phase.REPLY, self):
            raise Finish


class FaultsHandler(StandInHandler):
    """Lists, adds and removes faults."""

    affected_by_faults = False

    async def get(self, name: str = "") -> None:
        """Answer the faults in force."""
        self.write_json({"faults": self.standin.faults.describe()})

    async def post(self, name: str = "") -> None:
        """Put a fault in force; 400 names the faulty field."""
        try:
            self.standin.faults.add(self.read_json())
        except FaultError as error:
            self.set_status(400)
            detail = {"location": error.location, "message": error.reason}
            self.write_json({"error": detail})
            return
        await self.get()

    async def delete(self, name: str = "") -> None:
        """End one fault or all of them."""
        self.standin.faults.remove(name)
        await self.get()


class StandInApp:
    """A stand-in that can be started in a process of its own or inside a test.

    Subclasses name their ``program`` and return their routes from
    ``list_routes``.
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
        """Return the subclass's routes in tornado's form."""
        raise NotImplementedError

    async def on_start(self) -> None:
        """Start what the subclass runs besides the server."""

    async def on_stop(self) -> None:
        """End what the subclass runs besides the server."""

    def make_application(self) -> Application:
        """Return the tornado application."""
        routes = [
            (r"/control/faults", FaultsHandler),
            (r"/control/faults/([a-z_]+)", FaultsHandler),
            *self.list_routes(),
        ]
        return Application(routes, standin=self, log_function=lambda handler: None)

    async def start(self, port: int = 0) -> int:
        """Listen on ``port`` and return it; 0 takes any free one."""
        self._server = HTTPServer(
            self.make_application(), max_buffer_size=MAX_BODY_BYTES
        )
        sockets = bind_sockets(port, self.settings.address)
        self._server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]
        await self.on_start()
        return self.port

    async def stop(self) -> None:
        """Stop listening, close every connection and end everything started."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
            self._server = None
        await self.on_stop()

    @property
    def now_ms(self) -> int:
        """The wall-clock time in milliseconds (Unix)."""
        return int(self.clock.now().timestamp() * 1000)
