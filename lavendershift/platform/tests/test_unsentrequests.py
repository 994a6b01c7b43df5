"""Tests that a request counts as unsent only if no byte of it was sent.

A request that runs once at most is disturbed at every turn of the event loop. The bytes
that reach the kernel tell which servers may have it.
"""

import asyncio
from contextlib import suppress

import pytest

from lavendershift.connections import Connection, ServerStream
from lavendershift.errors import RequestError
from lavendershift.platform.callerresponses import choose_status
from lavendershift.platform.tests.conftest import RecordedResponse, Scenario
from lavendershift.platform.tests.test_repeatedrequests import choose_in_order
from lavendershift.platform.tests.test_staleresponses import PROMISES
from lavendershift.requestends import EndReason
from lavendershift.routes import Repeat
from lavendershift.serverstates import ServerEntry
from lavendershift_standins.platformserver import abort

MAX_TURNS = 200  # of the event loop; no delivery here takes as many
LONG_BODY = b"x" * 4_000_000  # more than the buffers of both sockets hold
NOT_RUN = "X-Lavendershift-Not-Executed: 1\r\n"


class FaultyServer:
    """Fails each request in one way, and notes those that it has refused.

    ``fault`` is a pair: where it acts, and what it does there.
    """

    def __init__(self, name, place="", action=""):
        self.name = name
        self.place, self.action = place, action
        self.refused = set()
        self.writers = set()
        self.listener = None
        self.port = 0

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            self.fail("accept", writer)
            while True:
                await self.serve_request(reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def serve_request(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        fields = dict(
            line.lower().split(": ", 1) for line in head.split("\r\n") if ": " in line
        )
        request_id = fields["x-lavendershift-attempt-id"]
        self.fail("head", writer, request_id)
        length = int(fields.get("content-length", 0))
        await reader.readexactly(length // 2)
        self.fail("body", writer, request_id)
        await reader.readexactly(length - length // 2)
        self.fail("request", writer, request_id)
        await asyncio.sleep(0)
        writer.write(make_response(200, request_id, "Content-Length: 2\r\n") + b"ok")

    def fail(self, place, writer, request_id=""):
        if place != self.place:
            return
        if self.action == "reset":
            abort(writer)
            raise ConnectionError
        if self.action == "close":
            raise ConnectionError
        if self.action == "cut refusal":
            writer.write(make_response(503, request_id, NOT_RUN)[:-3])
            raise ConnectionError
        lines = NOT_RUN + "Content-Length: 0\r\n"
        writer.write(make_response(int(self.action), request_id, lines))
        self.refused.add(request_id)
        raise ConnectionError

    def end_connections(self, action):
        for writer in list(self.writers):
            if action == "reset":
                abort(writer)
            else:
                writer.close()

    async def stop(self):
        self.end_connections("reset")
        self.listener.close()


def make_response(status, request_id, lines):
    head = f"HTTP/1.1 {status} -\r\nX-Lavendershift-Attempt-Id: {request_id}\r\n"
    return f"{head}{lines}\r\n".encode()


class Trial:
    """A delivery of a once-only request to two faulty servers and a sound one.

    ``sent`` are the ids of requests of which bytes were sent, and to which port.
    """

    def __init__(self, scene, servers, sent):
        self.scene = scene
        self.servers = servers
        self.sent = sent
        self.number = 0

    async def run(self, disturb, turn, body, is_warm):
        """Deliver a request, call ``disturb`` at a turn, and check what was sent.

        Return whether the delivery went on until that turn.
        """
        if is_warm:
            await self.warm()
        self.number += 1
        request = self.scene.make_request(self.number)._replace(body=body)
        response, error = RecordedResponse(), None
        delivery = self.scene.make_delivery(
            response, request=request, repeat=Repeat.NEVER, attempts=4
        )
        task = asyncio.ensure_future(delivery.run())
        for _ in range(turn):
            await asyncio.sleep(0)
        was_disturbed = not task.done()
        disturb(self, delivery, task)
        try:
            await task
        except RequestError as raised:
            error = raised
        except (asyncio.CancelledError, FaultError):
            pass
        await asyncio.sleep(0.001)
        self.check(request.id, response, error)
        return was_disturbed

    async def warm(self):
        """Leave a kept connection to each server that serves a request."""
        for server in self.servers:
            place, server.place = server.place, ""
            self.number += 1
            choose_in_order(self.scene, server.name)
            with suppress(RequestError):
                await self.scene.deliver(request=self.scene.make_request(self.number))
            server.place = place
        choose_in_order(self.scene, *[server.name for server in self.servers])

    def check(self, request_id, response, error):
        refused = {
            server.port for server in self.servers if request_id in server.refused
        }
        ports = [port for sent_id, port in self.sent if sent_id == request_id]
        possible = [port for port in ports if port not in refused]
        assert len(ports) == len(set(ports))
        assert len(possible) <= 1
        status = response.status if error is None else choose_status(error.answer)
        assert status not in PROMISES or not possible


class FaultError(Exception):
    """An error within this process."""


@pytest.fixture
def sent(monkeypatch):
    """Collect the ids and ports of requests of which a byte is sent."""
    found = []
    write = ServerStream.write_to_fd

    def note(stream, data):
        text = bytes(data[:2000]).decode("latin1")
        port = stream.socket.getpeername()[1]
        size = write(stream, data)
        if size and text.startswith("POST "):
            request_id = text.partition("X-Lavendershift-Attempt-Id: ")[2]
            found.append((request_id.partition("\r\n")[0], port))
        return size

    monkeypatch.setattr(ServerStream, "write_to_fd", note)
    return found


def play_trials(sent, fault, disturb, body=b"question", is_warm=False):
    """Disturb a delivery at each turn that it takes."""

    async def run():
        for turn in range(MAX_TURNS):
            if not await run_trial(turn):
                return
        raise AssertionError("the delivery took too many turns")

    async def run_trial(turn):
        scene = Scenario()
        take = scene.permits.take

        async def take_later(incarnation, urgency):
            await asyncio.sleep(0)
            return await take(incarnation, urgency)

        scene.permits.take = take_later
        servers = [
            FaultyServer("i-0", *fault),
            FaultyServer("i-1", *fault),
            FaultyServer("i-2"),
        ]
        try:
            for server in servers:
                await server.start()
                scene.servers.update(
                    ServerEntry(server.name, "index", server.address, "", 8, False)
                )
            choose_in_order(scene, *[server.name for server in servers])
            sent.clear()
            return await Trial(scene, servers, sent).run(disturb, turn, body, is_warm)
        finally:
            scene.connections.close()
            for server in servers:
                await server.stop()

    asyncio.run(run())


def cancel(trial, delivery, task):
    task.cancel()


def stop(trial, delivery, task):
    delivery.end(EndReason.STOPPED)


def reset_connections(trial, delivery, task):
    for server in trial.servers:
        server.end_connections("reset")


def close_connections(trial, delivery, task):
    for server in trial.servers:
        server.end_connections("close")


def refuse_connections(trial, delivery, task):
    for server in trial.servers[:2]:
        server.listener.close()
        server.end_connections("reset")


def remove_entries(trial, delivery, task):
    for server in trial.servers[:2]:
        trial.scene.servers.remove(server.name)
        trial.scene.connections.drop(server.address)


ENDS = (cancel, stop)
LOSSES = (reset_connections, close_connections, refuse_connections, remove_entries)
FAULTS = {
    f"{action} at {place}": (place, action)
    for place, actions in {
        "accept": ("reset", "close"),
        "head": ("reset", "close", "503", "421", "cut refusal"),
        "body": ("reset", "close", "429", "408"),
        "request": ("reset", "close", "503", "421", "429", "408", "cut refusal"),
    }.items()
    for action in actions
}


@pytest.mark.parametrize("disturb", ENDS)
@pytest.mark.parametrize("fault", FAULTS)
def test_ended_request_is_sent_to_one_server_that_did_not_refuse_it(
    sent, fault, disturb
):
    """Guards against second runs after an attempt that counts as unsent (TWICE)."""
    play_trials(sent, FAULTS[fault], disturb)


@pytest.mark.parametrize("disturb", LOSSES)
@pytest.mark.parametrize("fault", ["reset at request", "close at body"])
@pytest.mark.parametrize("is_warm", [False, True], ids=["new", "kept"])
def test_request_whose_connection_is_lost_is_sent_once(sent, is_warm, fault, disturb):
    """Guards against connections that end between their choice and a send (TWICE)."""
    play_trials(sent, FAULTS[fault], disturb, is_warm=is_warm)


@pytest.mark.parametrize("disturb", [cancel, reset_connections])
@pytest.mark.parametrize("fault", ["reset at body", "503 at head"])
def test_request_of_which_a_part_was_sent_is_sent_once(sent, fault, disturb):
    """Guards against long bodies that are cut on the way (TWICE)."""
    play_trials(sent, FAULTS[fault], disturb, LONG_BODY)


def raise_after(monkeypatch, owner, name, error):
    """Let a method do its work and then fail."""
    method = getattr(owner, name)

    def fail(*args):
        method(*args)
        raise error

    monkeypatch.setattr(owner, name, fail)


LOCAL_FAULTS = {
    "connection made": (Connection, "_make_http", FaultError),
    "connection made, cancelled": (Connection, "_make_http", asyncio.CancelledError),
    "written": (ServerStream, "write", FaultError),
    "written, closed": (ServerStream, "write", ConnectionResetError),
    "written, cancelled": (ServerStream, "write", asyncio.CancelledError),
    "sent": (ServerStream, "write_to_fd", FaultError),
    "sent, reset": (ServerStream, "write_to_fd", ConnectionResetError),
    "sent, no buffer": (ServerStream, "write_to_fd", OSError),
}


@pytest.mark.parametrize("place", LOCAL_FAULTS)
def test_request_whose_sending_raises_an_error_is_sent_once(sent, monkeypatch, place):
    """Guards against errors of this process after a byte was sent (TWICE)."""
    owner, name, error = LOCAL_FAULTS[place]
    raise_after(monkeypatch, owner, name, error)
    play_trials(sent, ("", ""), lambda *args: None)
    assert sent or name == "_make_http"
