"""Stops of router processes, observed by callers and servers."""

import re
import signal
import socket
import threading
import time
from contextlib import suppress

import pytest

from lavendershift.platform.tests.live_nodes import Platform, wait_for
from lavendershift_standins.platformserver import keep_silent, make_head, stream

WINDOW_S = 3.0  # time after the signal in which callers may still use the VM
BODY_SIZE = 400
LIMITS = {"header_timeout_ms": 20_000, "idle_timeout_ms": 30_000}
LATE_DEADLINE = ("X-Lavendershift-Deadline-Ms", "20000")


def make_bytes(request_id, path="/index/x", size=0, fields=()):
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: books.example",
        f"Content-Length: {size}",
        "Authorization: Bearer key-1",
        f"X-Lavendershift-Attempt-Id: {request_id}",
        *(f"{name}: {value}" for name, value in (LATE_DEADLINE, *fields)),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + b"x" * size


class Call:
    """One request on a connection of its own; ``pieces`` are sent at their times."""

    def __init__(self, node, request_id, pieces, is_kept, read_after_s=0.0):
        self.id = request_id
        self.received = b""
        self.was_reset = False
        self.was_accepted = False
        self.sent_at = None
        self.ended_at = None
        self._node = node
        self._pieces = pieces
        self._endpoint = self._connect() if is_kept else None
        self._read_after_s = read_after_s
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _connect(self):
        endpoint = socket.create_connection((self._node.ip, self._node.callers), 30)
        self.was_accepted = True
        return endpoint

    def _run(self):
        try:
            self._exchange()
        except ConnectionResetError:
            self.was_reset = True
        except OSError:
            pass  # the connection was refused, or ended before the request
        self.ended_at = time.monotonic()
        if self._endpoint is not None:
            self._endpoint.close()

    def _exchange(self):
        for at, data in self._pieces:
            time.sleep(max(at - time.monotonic(), 0))
            if self._endpoint is None:
                self._endpoint = self._connect()
            try:
                self._endpoint.sendall(data)
            except OSError:
                break  # the response may have come before the end of the request
            self.sent_at = time.monotonic()
        time.sleep(max(self._read_after_s - time.monotonic(), 0))
        while chunk := self._endpoint.recv(65536):
            self.received += chunk

    def join(self):
        self._thread.join()

    @property
    def status(self):
        return int(self.received[9:12]) if self.received else 0

    @property
    def is_whole(self):
        head, _, body = self.received.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: (\d+)", head)
        if length is not None:
            return len(body) == int(length[1])
        return body.endswith(b"0\r\n\r\n")

    def __repr__(self):
        sent, ended = self.sent_at or 0, self.ended_at or 0
        return (
            f"{self.id}: {self.status} {'whole' if self.is_whole else 'cut'} "
            f"reset={self.was_reset} after {ended - sent:.2f} s"
        )


class Stop:
    """A platform with one router process, whose stop callers go through."""

    def __init__(self, folder, grace_s):
        self.grace_s = grace_s
        self.platform = Platform(folder, servers=4)
        (self.node,) = self.platform.nodes
        settings = self.node.settings.read_text()
        grace = f"grace_s = {grace_s}"
        self.node.settings.write_text(settings.replace("grace_s = 8", grace))
        self.calls = []
        self.signalled_at = self.ended_at = None
        self._waiting = threading.Thread(target=self._wait_end)

    def start(self, **limits):
        routes = [
            {
                "name": name,
                "host": "books.example",
                "path_prefix": f"/{name}/",
                "kind": kind,
                "timeout_ms": 20_000,
                "service": service,
                "max_attempts": 2,
                "resumable": False,
            }
            for name, kind, service in (
                ("index", "streaming", "pool"),
                ("record", "unsafe", "ledger"),
                ("read", "safe", "ledger"),
            )
        ]
        limits = {"max_header_bytes": 65536, "max_body_bytes": 8_000_000} | LIMITS
        self.platform.configure(version=9, routes=routes, limits=limits)
        self.platform.start()
        wait_for(
            lambda: self.node.find_log_lines("configuration_changed", version=9),
            "the configuration",
        )

    def signal(self):
        self._waiting.start()
        self.signalled_at = time.monotonic()
        self.node.signal(signal.SIGTERM)

    def _wait_end(self):
        self.node.process.wait()
        self.ended_at = time.monotonic()

    def call(self, request_id, data, at=None, is_kept=False, read_after_s=0.0):
        pieces = data if isinstance(data, list) else [(at or time.monotonic(), data)]
        call = Call(self.node, request_id, pieces, is_kept, read_after_s)
        self.calls.append(call)
        return call

    def finish(self):
        """Wait until the process and all calls have ended."""
        self._waiting.join()
        for call in self.calls:
            call.join()
        assert self.node.process.returncode == 0
        assert self.ended_at - self.signalled_at < self.grace_s
        assert self.node.find_log_lines("internal_error") == []
        assert self.node.find_log_lines("library_message") == []

    def find_handled(self, request_id):
        return [
            handled
            for servers in self.platform.servers.values()
            for server in servers
            for handled in server.handled
            if handled.received.id == request_id
        ]

    def is_excused(self, call):
        """Whether a cut call was sent early and its server at work to the end."""
        (handled,) = self.find_handled(call.id)
        last_sixth = self.signalled_at + self.grace_s * 5 / 6
        is_early = call.sent_at <= self.signalled_at + WINDOW_S
        return is_early and handled.ended_at >= last_sixth

    def list_broken(self):
        """Return the calls that ended otherwise than a stop allows."""
        return [call for call in self.calls if not self.is_allowed(call)]

    def is_allowed(self, call):
        runs = self.platform.count_runs(call.id)
        if call.status == 503 and call.is_whole:
            return runs == 0
        if call.status and call.is_whole:
            return True
        return self.is_excused(call) if runs else not call.received


@pytest.fixture
def stop(tmp_path, request):
    stop = Stop(tmp_path, getattr(request, "param", 8))
    stop.start()
    yield stop
    stop.platform.store.is_silent = False
    stop.platform.stop()


@pytest.mark.parametrize("store", ["silent", "slow", "sound"])
@pytest.mark.parametrize("stop", [8, 5, 2], indirect=True)
def test_streams_passed_on_late_in_a_stop_are_not_cut(stop, store):
    duration = stop.grace_s * 0.54
    for server in stop.platform.servers["pool"]:
        server.default = stream(10, pause_s=duration / 10)
    interval = max(stop.grace_s / 40, 0.1)
    start = time.monotonic() + 0.5
    times = [start + number * interval for number in range(44)]
    for number, at in enumerate(times):
        stop.call(f"k{number}", make_bytes(f"k{number}"), at, is_kept=True)
        stop.call(f"n{number}", make_bytes(f"n{number}"), at)
    time.sleep(0.3)
    stop.platform.store.is_silent = store == "silent"
    stop.platform.store.delay_s = 2.0 if store == "slow" else 0.0
    time.sleep(0.2 + 2 * interval)
    stop.signal()
    stop.finish()
    assert stop.list_broken() == []
    early = [call for call in stop.calls if call.sent_at and call.sent_at < start + 0.1]
    assert early
    assert all(call.status == 200 and call.is_whole for call in early)
    assert any(call.status == 503 for call in stop.calls)


@pytest.mark.parametrize("stop", [3], indirect=True)
def test_bodies_that_arrive_through_a_stop_are_answered_or_refused(stop):
    now = time.monotonic()
    for number in range(12):
        request_id = f"b{number}"
        data = make_bytes(request_id, "/record/x", BODY_SIZE)
        end = 1.0 + number * 0.35
        count = 8
        cuts = [len(data) - BODY_SIZE + BODY_SIZE * n // count for n in range(count)]
        parts = [data[: cuts[1]]] + [
            data[a:b] for a, b in zip(cuts[1:], [*cuts[2:], len(data)], strict=True)
        ]
        pieces = [
            (now + 0.3 + (end - 0.3) * n / (count - 1), part)
            for n, part in enumerate(parts)
        ]
        stop.call(request_id, pieces, is_kept=True)
    time.sleep(0.8)
    stop.signal()
    stop.finish()
    for call in stop.calls:
        assert call.status in (200, 503), call
        assert call.is_whole, call
        assert stop.platform.count_runs(call.id) == (call.status == 200)


@pytest.mark.parametrize("stop", [3], indirect=True)
def test_a_part_of_a_header_at_the_end_of_a_stop_gets_a_refusal(stop):
    data = make_bytes("h1", "/record/x")
    for number, size in enumerate((5, 60, len(data) - 1)):
        stop.call(f"h{number}", data[:size], is_kept=True)
    time.sleep(0.3)
    stop.signal()
    stop.finish()
    for call in stop.calls:
        assert call.status == 503, call
        assert not call.was_reset, call
    assert stop.platform.count_runs("h1") == 0


@pytest.mark.parametrize("stop", [2, 4], indirect=True)
def test_requests_at_silent_servers_get_an_answer_at_the_end_of_a_stop(stop):
    for servers in stop.platform.servers.values():
        for server in servers:
            server.default = keep_silent
    for path in ("record", "read", "index"):
        for number in range(3):
            request_id = f"{path}{number}"
            stop.call(request_id, make_bytes(request_id, f"/{path}/x"), is_kept=True)
    wait_for(lambda: all(stop.find_handled(c.id) for c in stop.calls), "the requests")
    stop.signal()
    stop.finish()
    for call in stop.calls:
        assert call.status in (502, 504), call
        assert call.is_whole, call
        assert not call.was_reset, call
        (line,) = stop.node.find_log_lines("request_refused", request=call.id)
        assert line["error"]


@pytest.mark.parametrize("stop", [2], indirect=True)
def test_streams_longer_than_a_stop_do_not_look_whole(stop):
    for server in stop.platform.servers["pool"]:
        server.default = stream(100, pause_s=0.1)
    call = stop.call("s1", make_bytes("s1"))
    wait_for(lambda: stop.platform.count_runs("s1"), "the request")
    stop.signal()
    stop.finish()
    assert call.status == 200
    assert not call.is_whole
    assert stop.is_excused(call)
    (line,) = stop.node.find_log_lines("connection_ended", request="s1")
    assert (line["cause"], line["stage"]) == ("stop", "in_flight")


def send_large(size):
    async def behave(received, writer):
        writer.write(make_head(received, 200, {"Content-Length": str(size)}))
        writer.write(b"y" * size)
        await writer.drain()

    return behave


@pytest.mark.parametrize("stop", [4], indirect=True)
def test_a_response_read_late_in_a_stop_is_whole(stop):
    size = 12_000_000
    for server in stop.platform.servers["ledger"]:
        server.default = send_large(size)
    end = time.monotonic() + 0.5 + stop.grace_s
    late = stop.call("l1", make_bytes("l1", "/read/x"), read_after_s=end - 0.8)
    never = stop.call("l2", make_bytes("l2", "/read/x"), read_after_s=end + 0.2)
    wait_for(lambda: all(stop.find_handled(c.id) for c in stop.calls), "the requests")
    time.sleep(max(end - stop.grace_s - time.monotonic(), 0))
    stop.signal()
    stop.finish()
    assert late.is_whole
    assert not never.is_whole
    (line,) = stop.node.find_log_lines("connection_ended", request="l2")
    assert (line["cause"], line["stage"]) == ("stop", "sending")


@pytest.mark.parametrize("stop", [4], indirect=True)
def test_further_signals_in_a_stop_cut_nothing(stop):
    for server in stop.platform.servers["pool"]:
        server.default = stream(10, pause_s=0.2)
    calls = [stop.call(f"s{n}", make_bytes(f"s{n}")) for n in range(4)]
    wait_for(lambda: all(stop.find_handled(c.id) for c in calls), "the requests")
    stop.signal()
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
        time.sleep(0.2)
        stop.node.signal(number)
    stop.finish()
    assert all(call.status == 200 and call.is_whole for call in calls)


@pytest.mark.parametrize("stop", [5], indirect=True)
def test_requests_that_wait_for_tokens_in_a_stop_are_refused(stop):
    stop.platform.store.is_silent = True
    time.sleep(0.3)
    stop.signal()
    tokens = [
        ("X-Lavendershift-Token-Usage", "50000,40"),
        ("X-Lavendershift-Prompt-Prefix", "ab:50"),
    ]
    start = time.monotonic()
    for number in range(30):
        data = make_bytes(f"w{number}", fields=tokens)
        stop.call(f"w{number}", data, start + number * 0.13, is_kept=True)
    stop.finish()
    assert stop.list_broken() == []
    assert {call.status for call in stop.calls if call.received} <= {200, 429, 503}


@pytest.mark.parametrize("stop", [4], indirect=True)
def test_many_connections_do_not_delay_a_stop(stop):
    for server in stop.platform.servers["pool"]:
        server.default = stream(4, pause_s=0.3)
    idle = [
        socket.create_connection((stop.node.ip, stop.node.callers)) for _ in range(800)
    ]
    start = time.monotonic()
    for number in range(60):
        at = start + number * 0.05
        stop.call(f"m{number}", make_bytes(f"m{number}"), at, is_kept=True)
    time.sleep(0.5)
    stop.signal()
    stop.finish()
    assert stop.list_broken() == []
    for endpoint in idle:
        with suppress(OSError):
            assert endpoint.recv(100) == b""
        endpoint.close()
