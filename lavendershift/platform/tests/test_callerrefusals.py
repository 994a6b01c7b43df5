import asyncio
from datetime import timedelta

import pytest
from tornado.httputil import HTTPHeaders

from lavendershift.clocks import SystemClock
from lavendershift.connectionreports import EndCause, Stage
from lavendershift.gateway import Gateway, RetryBounds
from lavendershift.instruments import Instruments
from lavendershift.overload.admissions import Cause, OverloadError
from lavendershift.platform.callerstreams import CallerStream
from lavendershift.platform.tests.listeners import RecordedLog, play
from lavendershift.platform.tests.test_callers import make_request
from lavendershift.requestreports import RequestReports

SECOND = timedelta(seconds=1)
CHUNKED = (
    b"POST /whole HTTP/1.1\r\nHost: books.example\r\n"
    b"X-Lavendershift-Attempt-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def make_chunked(size):
    return CHUNKED + b"%x\r\n" % size + b"x" * size + b"\r\n0\r\n\r\n"


def make_sized(size):
    return make_request("r1", body=b"x" * size)


SIZES = [1500, 70_000, 1_000_000, 1_500_000, 6_000_000]


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("make", [make_sized, make_chunked])
def test_the_refusal_of_a_large_body_is_not_destroyed_by_a_reset(make, size):
    async def work(listener):
        caller = listener.connect()
        await caller.send_all(make(size))
        return await caller.read_all()

    received, was_reset = play(work)
    assert received.startswith(b"HTTP/1.1 413 ")
    assert received.count(b"HTTP/1.1") == 1
    assert not was_reset


@pytest.mark.parametrize("make", [make_sized, make_chunked])
def test_the_refusal_of_a_large_body_arrives_before_its_end(make):
    async def work(listener):
        caller = listener.connect()
        caller.send(make(5000)[:2500])
        return await caller.read_until(b"too_large")

    play(work)


def test_a_caller_that_goes_on_sending_a_refused_body_is_closed():
    async def work(listener):
        caller = listener.connect()
        caller.send(CHUNKED + b"7d0\r\n" + b"x" * 2000 + b"\r\n")
        await caller.read_until(b"too_large")
        async with asyncio.timeout(10):
            while True:
                try:
                    caller.send(b"3\r\nxxx\r\n")
                except ConnectionError:
                    return
                await asyncio.sleep(0.1)

    play(work)


def test_no_continuation_is_announced_to_a_request_that_is_refused():
    async def work(listener):
        caller = listener.connect()
        request = make_request("r1", body=b"x" * 5000, Expect="100-continue")
        caller.send(request[:-5000])
        return await caller.read_all()

    received, _ = play(work)
    assert received.startswith(b"HTTP/1.1 413 ")
    assert received.count(b"HTTP/1.1") == 1


def test_a_body_admitted_under_a_higher_limit_is_read_to_its_end():
    async def work(listener):
        caller = listener.connect()
        request = make_request("r1", body=b"x" * 900)
        caller.send(request[:-500])
        await asyncio.sleep(0.1)
        listener.change(body_bytes=100)
        caller.send(request[-500:])
        await caller.read_until(b"done r1")

    play(work)


def test_higher_limits_apply_to_idle_connections():
    async def work(listener):
        caller = listener.connect()
        await asyncio.sleep(0.1)
        listener.change(header_bytes=9000, body_bytes=3_000_000)
        request = make_request("r1", body=b"x" * 2_500_000, Filler="y" * 5000)
        await caller.send_all(request)
        await caller.read_until(b"done r1")

    play(work)


def test_a_large_header_is_refused():
    async def work(listener):
        caller = listener.connect()
        await caller.send_all(make_request("r1", Filler="y" * 5000))
        return await caller.read_all()

    received, was_reset = play(work)
    assert received.startswith(b"HTTP/1.1 413 ")
    assert not was_reset


@pytest.mark.parametrize(
    "request_bytes",
    [
        make_request("r1", Connection="close"),
        make_request("r1", X_Lavendershift_Attempt_Id="other"),
        b"what is this\r\n\r\n",
    ],
)
def test_a_response_that_closes_is_not_destroyed_by_what_was_sent_after(request_bytes):
    async def work(listener):
        caller = listener.connect()
        await caller.send_all(request_bytes + make_request("r2", body=b"x" * 500_000))
        return await caller.read_all()

    received, was_reset = play(work)
    assert received.count(b"HTTP/1.1 ") == 1
    assert not was_reset


def test_requests_in_the_buffers_are_refused_when_the_process_stops():
    async def work(listener):
        callers = [listener.connect() for _ in range(3)]
        await asyncio.sleep(0.1)
        listener.server.stop_listening()
        request = make_request("r1", body=b"x" * 500)
        for caller, size in zip(callers, (len(request), 30, 300), strict=True):
            caller.send(request[:size])
        ending = asyncio.ensure_future(listener.end_connections(SECOND))
        await asyncio.sleep(0.1)
        callers[1].send(request[30:])
        callers[2].send(request[300:])
        results = [await caller.read_all() for caller in callers]
        assert await ending == 0
        return results

    for received, was_reset in play(work):
        assert received.startswith(b"HTTP/1.1 503 ")
        assert not was_reset


def test_a_pipelined_request_is_refused_when_the_process_stops():
    async def work(listener):
        caller = listener.connect()
        caller.send(make_request("r1", "/stream") + make_request("r2"))
        await asyncio.sleep(0.1)
        listener.server.stop_listening()
        assert await listener.end_connections(SECOND) == 0
        return await caller.read_all()

    received, was_reset = play(work)
    assert b"done r1" in received
    assert b"HTTP/1.1 503 " in received
    assert not was_reset


def test_connections_that_were_not_accepted_are_served_when_listening_stops():
    async def work(listener):
        callers = [listener.connect() for _ in range(5)]
        for caller in callers:
            caller.send(make_request("r1"))
        listener.server.stop_listening()
        await listener.end_connections(SECOND)
        return [await caller.read_all() for caller in callers]

    for received, was_reset in play(work):
        assert received.startswith(b"HTTP/1.1 503 ")
        assert not was_reset


def test_an_idle_connection_does_not_delay_a_stop():
    async def work(listener):
        listener.connect()
        slow = listener.connect()
        slow.send(make_request("r1")[:30])
        await asyncio.sleep(0.1)
        started = asyncio.get_running_loop().time()
        assert await listener.end_connections(5 * SECOND) == 0
        return asyncio.get_running_loop().time() - started

    assert play(work) < 1.0


class FailingGateway:
    """Ends without a response, as only a fault could."""

    def __init__(self, gateway, failure):
        self.find_limits = gateway.find_limits
        self.stop_admission = gateway.stop_admission
        self._failure = failure

    async def serve(self, request, writer):
        if self._failure == "header":
            writer.send(200, HTTPHeaders({"X-Server": "\u20ac"}), b"1")
        if self._failure == "started":
            writer.start(200, HTTPHeaders())
            await writer.write(b"part")
        if self._failure == "cancelled":
            raise asyncio.CancelledError
        if self._failure == "raised":
            raise LookupError


@pytest.mark.parametrize(
    "failure", ["returned", "raised", "cancelled", "started", "header"]
)
def test_a_request_that_ends_without_a_response_gets_one(failure):
    async def work(listener):
        listener.server._gateway = FailingGateway(listener.gateway, failure)
        caller = listener.connect()
        caller.send(make_request("r1"))
        received, was_reset = await caller.read_all()
        return received, was_reset, listener.ends

    received, was_reset, ends = play(work)
    if failure == "started":
        assert was_reset
        ((cause, stage),) = [(end.cause, end.stage) for end in ends]
        assert (cause, stage) == (EndCause.TRUNCATED, Stage.IN_FLIGHT)
    else:
        assert b"internal" in received


class OverloadedGateway(FailingGateway):
    """Refuses all requests, as a VM under overload does."""

    def __init__(self, gateway):
        super().__init__(gateway, "returned")

    async def serve(self, request, writer):
        writer.refuse(OverloadError(Cause.LOAD, 0.5, SECOND / 4))


def test_a_refusal_takes_one_write(monkeypatch):
    """Guards against refusals that cost an overloaded VM more than they need to."""
    writes = []
    write = CallerStream.write_to_fd

    def count(stream, data):
        writes.append(bytes(data))
        return write(stream, data)

    async def work(listener):
        listener.server._gateway = OverloadedGateway(listener.gateway)
        caller = listener.connect()
        caller.send(make_request("r1"))
        return await caller.read_until(b"vm_overloaded")

    monkeypatch.setattr(CallerStream, "write_to_fd", count)
    received = play(work)
    assert received.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: 0.25\r\n" in received
    assert writes == [received]


class CancelledGateway(Gateway):
    """Waits for something that another task cancels."""

    async def _route_request(self, trace, writer):
        waiting = asyncio.ensure_future(asyncio.sleep(5))
        asyncio.get_running_loop().call_later(0.05, waiting.cancel)
        await waiting


def test_a_request_whose_wait_is_cancelled_by_another_task_is_answered():
    async def work(listener):
        bounds = RetryBounds(0.2, 10)
        log = RecordedLog()
        reports = RequestReports(SystemClock(), log, Instruments())
        gateway = CancelledGateway(
            SystemClock(), None, None, None, reports, bounds, lambda: 1.0
        )
        listener.server._gateway = gateway
        caller = listener.connect()
        caller.send(make_request("r1"))
        await caller.read_until(b"internal")
        return [event for event, _ in log.lines]

    assert play(work) == ["internal_error", "request_refused"]


def test_a_request_refused_before_it_is_routed_is_reported():
    async def work(listener):
        log, instruments = RecordedLog(), Instruments()
        reports = RequestReports(SystemClock(), log, instruments)
        listener.server.on_refusal = reports.report_rejected
        for request in (
            make_sized(2000),
            make_request("r1", X_Lavendershift_Attempt_Id="other"),
        ):
            caller = listener.connect()
            await caller.send_all(request)
            await caller.read_all()
        return log.lines, instruments.render().decode()

    lines, metrics = play(work)
    assert [(event, line["request"], line["error"]) for event, line in lines] == [
        ("request_refused", "r1", "too_large"),
        ("request_refused", "r1,other", "invalid_request"),
    ]
    assert 'lavendershift_refusals_total{kind="too_large"} 1.0' in metrics
