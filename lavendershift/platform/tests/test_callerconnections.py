import asyncio
import contextlib
from datetime import timedelta

import pytest
from tornado.httputil import HTTPHeaders

from lavendershift.clocks import SystemClock
from lavendershift.connectionreports import (
    ConnectionEnd,
    ConnectionReports,
    EndCause,
    Stage,
)
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.instruments import Instruments
from lavendershift.platform.callers import CallerServer
from lavendershift.platform.tests.test_callers import make_request
from lavendershift.routes import CallerLimits
from lavendershift.tests.processes import find_port

LIMITS = CallerLimits(
    header_bytes=2000,
    body_bytes=1000,
    header_timeout=timedelta(seconds=0.3),
    idle_timeout=timedelta(seconds=0.3),
)


class PathGateway:
    """Responds by the path of each request."""

    def __init__(self):
        self.limits = LIMITS
        self.served = []
        self.is_stopping = False

    def find_limits(self):
        return self.limits

    async def serve(self, request, writer):
        self.served.append(request.id)
        try:
            if request.target == "/truncated":
                writer.start(200, HTTPHeaders())
                await writer.write(b"a part")
                writer.abort()
            elif request.target == "/refused":
                writer.refuse(RequestError(ErrorKind.OVERLOADED))
            else:
                if request.target == "/slow":
                    await asyncio.sleep(0.6)
                writer.send(200, HTTPHeaders(), b"done " + request.id.encode())
        except asyncio.CancelledError:
            writer.abort()
            raise


class Caller:
    """One connection to a ``CallerServer``."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    def send(self, data):
        self._writer.write(data)

    async def read_all(self, timeout=0.8):
        """Return what arrives until the end, and whether the connection was reset."""
        received, was_reset = b"", False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                try:
                    while chunk := await self._reader.read(65536):
                        received += chunk
                except ConnectionResetError:
                    was_reset = True
        return received, was_reset

    async def read_until(self, text):
        return await asyncio.wait_for(self._reader.readuntil(text), 5)

    def close(self):
        self._writer.close()

    def reset(self):
        self._writer.transport.abort()


class Listener:
    """A ``CallerServer`` with a scripted gateway; ``ends`` has its closed streams."""

    def __init__(self):
        self.gateway = PathGateway()
        self.server = CallerServer(SystemClock(), self.gateway)
        self.ends = []
        self.server.on_connection_end = self.ends.append
        self._host, self._port = "127.0.0.1", find_port()
        self.server.listen(f"{self._host}:{self._port}")

    async def connect(self):
        return Caller(*await asyncio.open_connection(self._host, self._port))

    async def wait_end(self):
        async with asyncio.timeout(5):
            while not self.ends:
                await asyncio.sleep(0.01)
        (end,) = self.ends
        return end


@pytest.fixture
def play():
    """Return a function that runs a coroutine function, passing it a listener."""

    def run(work):
        async def run_all():
            listener = Listener()
            try:
                async with asyncio.timeout(20):
                    return await work(listener)
            finally:
                listener.server.stop_listening()

        return asyncio.run(run_all())

    return run


def start_request(name, size, **extra):
    """Return a request whose body of ``size`` bytes is missing."""
    whole = make_request(name, body=b"x" * size, **extra)
    return whole[: len(whole) - size]


async def ask(caller, name, path="/whole"):
    caller.send(make_request(name, path))
    await caller.read_until(b"done " + name.encode())


ENDS = {
    "idle": (b"", None, EndCause.IDLE_TIMER, Stage.IDLE, ""),
    "slow header": (b"POST /", None, EndCause.HEADER_TIMER, Stage.HEADER, ""),
    "closed": (b"", "close", EndCause.CALLER, Stage.IDLE, ""),
    "closed in the header": (b"POST /", "close", EndCause.CALLER, Stage.HEADER, ""),
    "closed in the body": (
        start_request("r1", 9),
        "close",
        EndCause.CALLER,
        Stage.BODY,
        "r1",
    ),
    "closed in flight": (
        make_request("r1", "/slow"),
        "close",
        EndCause.CALLER,
        Stage.IN_FLIGHT,
        "r1",
    ),
    "reset in flight": (
        make_request("r1", "/slow"),
        "reset",
        EndCause.CALLER,
        Stage.IN_FLIGHT,
        "r1",
    ),
    "truncated": (
        make_request("r1", "/truncated"),
        None,
        EndCause.TRUNCATED,
        Stage.IN_FLIGHT,
        "r1",
    ),
    "asked to close": (
        make_request("r1", Connection="close"),
        None,
        EndCause.RESPONSE,
        Stage.IDLE,
        "r1",
    ),
    "malformed": (b"what is this\r\n\r\n", None, EndCause.MALFORMED, Stage.IDLE, ""),
    "large header": (
        make_request("r1", Filler="x" * 3000),
        None,
        EndCause.LARGE_HEADER,
        Stage.HEADER,
        "",
    ),
}


@pytest.mark.parametrize("case", ENDS)
def test_the_end_of_a_connection_has_its_cause_and_stage(play, case):
    data, action, cause, stage, request_id = ENDS[case]

    async def work(listener):
        caller = await listener.connect()
        caller.send(data)
        await asyncio.sleep(0.1)
        if action:
            getattr(caller, action)()
        return await listener.wait_end()

    end = play(work)
    assert (end.cause, end.stage, end.request_id) == (cause, stage, request_id)


def test_a_connection_ended_by_a_stop_has_its_requests_and_idle_time(play):
    async def work(listener):
        caller = await listener.connect()
        await ask(caller, "r1")
        await ask(caller, "r2")
        await asyncio.sleep(0.1)
        await listener.server.end_connections(timedelta(seconds=1))
        return await listener.wait_end()

    end = play(work)
    assert (end.cause, end.stage, end.served) == (EndCause.STOP, Stage.IDLE, 2)
    assert timedelta(seconds=0.09) < end.idle < end.age


def test_a_request_cancelled_by_the_process_has_its_own_cause(play):
    async def work(listener):
        caller = await listener.connect()
        caller.send(make_request("r1", "/slow"))
        await asyncio.sleep(0.1)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            if "_serve" in repr(task) and "callers.py" in repr(task):
                task.cancel()
        return await listener.wait_end()

    end = play(work)
    assert (end.cause, end.stage) == (EndCause.CANCELLED, Stage.IN_FLIGHT)


class RecordedLog:
    """Records the log lines."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event.value, fields))


@pytest.mark.parametrize("stage", Stage)
@pytest.mark.parametrize("cause", EndCause)
def test_only_connections_that_end_idle_for_an_ordinary_cause_are_not_logged(
    cause, stage
):
    log, instruments = RecordedLog(), Instruments()
    reports = ConnectionReports(log, instruments, lambda: 7)
    second = timedelta(seconds=1)
    reports.report(ConnectionEnd(cause, stage, "r1", 2, 9 * second, second, 0, ""))
    ordinary = {"caller", "idle_timer", "response", "stop"}
    if stage is Stage.IDLE and cause.value in ordinary:
        assert log.lines == []
    else:
        ((event, fields),) = log.lines
        assert event == "connection_ended"
        assert fields["request"] == "r1"
        assert (fields["cause"], fields["version"]) == (cause.value, 7)
    text = instruments.render().decode()
    labels = f'cause="{cause.value}",stage="{stage.value}"'
    assert f"lavendershift_connections_ended_total{{{labels}}} 1.0" in text
    is_cut = stage.value in {"header", "body", "in_flight", "sending"}
    cut = f'lavendershift_requests_cut_total{{cause="{cause.value}"}} 1.0'
    assert (cut in text) is is_cut
