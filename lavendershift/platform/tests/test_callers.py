import asyncio
import contextlib
import time

import pytest
from tornado.httputil import HTTPHeaders, RequestStartLine

from lavendershift.clocks import ManualClock, SystemClock
from lavendershift.errors import ANSWERS, ErrorKind, Ran, RequestError
from lavendershift.platform.callerrequests import decode_request, select_headers
from lavendershift.platform.callerresponses import choose_status
from lavendershift.platform.callers import CallerServer
from lavendershift.routes import CallerLimits
from lavendershift.tests.processes import find_port

START = RequestStartLine("POST", "/index/2f?x=1", "HTTP/1.1")
NOT_EXECUTED_STATUSES = {408, 421, 429, 503}
BODY_LIMIT = 1000
CHUNKED = (
    b"POST /whole HTTP/1.1\r\nHost: books.example\r\n"
    b"X-Lavendershift-Attempt-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
)


def make_headers(**extra):
    headers = HTTPHeaders(
        {
            "Host": "Books.example:80",
            "X-Lavendershift-Attempt-Id": "9c41",
            "X-Lavendershift-Deadline-Ms": "1500",
            "Authorization": "Bearer key-1",
        }
    )
    for name, value in extra.items():
        headers.add(name.replace("_", "-"), value)
    return headers


def decode(headers):
    return decode_request(START, headers, b"", ManualClock().elapsed())


def test_a_request_is_decoded():
    request = decode(
        make_headers(
            X_Lavendershift_Token_Usage="1460,80",
            X_Lavendershift_Prompt_Prefix="5c1e07a2:800, 91bd3f06:410,e4402b7d:250",
        )
    )
    assert (request.id, request.host, request.key) == ("9c41", "books.example", "key-1")
    assert request.target == "/index/2f?x=1"
    assert (request.deadline - request.received).total_seconds() == 1.5
    assert request.prompt.input_tokens == 1460
    assert [part.id for part in request.prompt.parts][1] == "91bd3f06"


@pytest.mark.parametrize(
    "name",
    [
        "X-Lavendershift-Attempt-Id",
        "x-lavendershift-deadline-ms",
        "Authorization",
        "Host",
    ],
)
def test_a_repeated_header_is_refused_as_ambiguous(name):
    headers = make_headers()
    headers.add(name, "other")
    with pytest.raises(RequestError) as caught:
        decode(headers)
    assert caught.value.kind is ErrorKind.INVALID_REQUEST


@pytest.mark.parametrize("tokens", ["", "5", "a,b", "1,2,3", "-1,5"])
def test_malformed_prompt_sizes_are_refused(tokens):
    with pytest.raises(RequestError):
        decode(make_headers(X_Lavendershift_Token_Usage=tokens))


@pytest.mark.parametrize(
    "name",
    [
        "X-Lavendershift-Tenant",
        "X-LAVENDERSHIFT-TENANT",
        "x-lavendershift-expect-instance",
        "X-Lavendershift-Hold",
        "X-Lavendershift-Pin-Ms",
        "X-Lavendershift-Kv-Backup",
        "X-Lavendershift-Request-Urgency",
        "Kv-From",
        "kv-fetch",
        "Authorization",
    ],
)
def test_a_forged_system_header_is_not_forwarded(name):
    headers = make_headers()
    headers.add(name, "forged")
    headers.add(name, "again")
    assert not select_headers(headers).get_list(name)


def test_hop_by_hop_headers_are_not_forwarded():
    headers = make_headers(Connection="keep-alive, X-Private", X_Private="1", TE="x")
    names = {name.lower() for name, _ in select_headers(headers).get_all()}
    assert names.isdisjoint({"connection", "x-private", "te"})


def test_protected_headers_named_in_connection_are_forwarded():
    headers = make_headers(Connection="X-Lavendershift-Attempt-Id, Host")
    selected = select_headers(headers)
    assert selected["X-Lavendershift-Attempt-Id"] == "9c41"
    assert "Host" in selected


def test_other_headers_are_forwarded_unchanged():
    headers = make_headers(X_Custom="a b", Accept="*/*", Last_Event_Id="12")
    selected = select_headers(headers)
    assert selected["X-Custom"] == "a b"
    assert selected["Last-Event-Id"] == "12"


@pytest.mark.parametrize("kind", ErrorKind)
def test_only_errors_without_execution_get_a_status_that_proves_it(kind):
    answer = ANSWERS[kind]
    if answer.ran is not Ran.NO:
        assert choose_status(answer) not in NOT_EXECUTED_STATUSES


class ScriptedGateway:
    """Responds by the path of each request, and records the requests."""

    def __init__(self):
        self.served = []
        self.received = []
        self.ended = []
        self.bodies = []

    def find_limits(self):
        return CallerLimits(body_bytes=BODY_LIMIT)

    def stop_admission(self):
        pass

    async def serve(self, request, writer):
        self.served.append(request.id)
        self.received.append(request.received)
        self.bodies.append(request.body)
        try:
            if request.target == "/abort":
                writer.start(200, HTTPHeaders())
                await writer.write(b"half of " + request.id.encode())
                await asyncio.sleep(0.05)
                writer.abort()
            elif request.target == "/slow":
                writer.start(200, HTTPHeaders())
                for _ in range(20):
                    await writer.write(b"part of " + request.id.encode())
                    await asyncio.sleep(0.05)
                writer.finish()
            elif request.target == "/stream":
                writer.start(200, HTTPHeaders())
                await writer.write(b"all of " + request.id.encode())
                writer.finish()
            else:
                await asyncio.sleep(0.02)
                writer.send(200, HTTPHeaders(), b"done " + request.id.encode())
        except asyncio.CancelledError:
            writer.abort()
            raise
        finally:
            self.ended.append(request.id)


@contextlib.asynccontextmanager
async def listen():
    """Serve callers with a scripted gateway; yield it and a connect function."""
    gateway = ScriptedGateway()
    server = CallerServer(SystemClock(), gateway)
    host, port = "127.0.0.1", find_port()
    server.listen(f"{host}:{port}")
    try:
        yield gateway, lambda: asyncio.open_connection(host, port)
    finally:
        server.stop_listening()


@pytest.fixture
def converse():
    """Return a function that sends bytes to a ``CallerServer`` in steps.

    The function returns the bytes that it received, and the gateway.
    """

    def run(*steps):
        async def run_all():
            async with listen() as (gateway, connect):
                reader, writer = await connect()
                received = b""
                for step in steps:
                    writer.write(step)
                    await asyncio.sleep(0.1)
                with contextlib.suppress(TimeoutError, ConnectionError):
                    async with asyncio.timeout(0.4):
                        while chunk := await reader.read(65536):
                            received += chunk
                writer.close()
                return received, gateway

        return asyncio.run(run_all())

    return run


def make_request(name, path="/whole", body=b"", version="1.1", method="POST", **extra):
    lines = [
        f"{method} {path} HTTP/{version}",
        "Host: books.example",
        f"X-Lavendershift-Attempt-Id: {name}",
        f"Content-Length: {len(body)}",
    ]
    lines += [f"{key.replace('_', '-')}: {value}" for key, value in extra.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


@pytest.mark.parametrize("path", ["/whole", "/stream"])
def test_time_of_a_request_counts_from_its_bytes_on_a_busy_loop(path):
    """Each step of reading took a turn of the loop that the caller's time lacked."""

    async def work():
        async with listen() as (gateway, connect):
            _, writer = await connect()
            await asyncio.sleep(0.1)
            clock, turns, loop = SystemClock(), [], asyncio.get_running_loop()

            def keep_busy():
                turns.append(clock.elapsed())
                time.sleep(0.02)
                if len(turns) == 5:
                    writer.write(make_request("r1", path, b"question"))
                if not gateway.served:
                    loop.call_soon(keep_busy)

            loop.call_soon(keep_busy)
            while not gateway.served:
                await asyncio.sleep(0)
            return gateway.received[0], turns

    received, turns = asyncio.run(work())
    # Sent in turn 5, the bytes are there in the next.
    assert received <= turns[6]


def test_pipelined_requests_get_complete_responses_in_order(converse):
    received, gateway = converse(
        make_request("r1", body=b"one")
        + make_request("r2", "/stream", b"two")
        + make_request("r3", body=b"three")
    )
    assert gateway.bodies == [b"one", b"two", b"three"]
    places = [received.index(text) for text in (b"done r1", b"all of r2", b"done r3")]
    assert places == sorted(places)
    assert received.count(b"HTTP/1.1 200") == 3


def test_a_request_pipelined_after_an_aborted_response_is_not_executed(converse):
    received, gateway = converse(make_request("r1", "/abort") + make_request("r2"))
    assert gateway.served == ["r1"]
    assert b"r2" not in received


def test_a_request_pipelined_after_a_refused_one_is_not_executed(converse):
    refused = make_request("r1", X_Lavendershift_Attempt_Id="other")
    received, gateway = converse(refused + make_request("r2"))
    assert received.startswith(b"HTTP/1.1 400")
    assert received.count(b"HTTP/1.1") == 1
    assert gateway.served == []


def test_a_request_pipelined_after_connection_close_is_not_executed(converse):
    received, gateway = converse(
        make_request("r1", Connection="close") + make_request("r2")
    )
    assert received.count(b"HTTP/1.1 200") == 1
    assert gateway.served == ["r1"]


def test_the_remainder_of_a_refused_body_is_not_parsed_as_a_request(converse):
    inner = make_request("r2")
    body = inner * (BODY_LIMIT // len(inner) + 1)
    received, gateway = converse(make_request("r1", body=body) + make_request("r3"))
    assert received.startswith(b"HTTP/1.1 413")
    assert received.count(b"HTTP/1.1") == 1
    assert gateway.served == []


@pytest.mark.parametrize("split", [0, 500, None])
def test_the_remainder_of_a_refused_chunked_body_is_not_parsed_as_a_request(
    converse, split
):
    data = CHUNKED + b"7d0\r\n" + b"x" * 2000 + b"\r\n0\r\n\r\n" + make_request("r2")
    steps = [data] if split is None else [data[: 1400 + split], data[1400 + split :]]
    received, gateway = converse(*steps)
    assert received.startswith(b"HTTP/1.1 413")
    assert received.count(b"HTTP/1.1") == 1
    assert gateway.served == []


def test_a_request_with_a_truncated_body_is_not_executed():
    async def work():
        async with listen() as (gateway, connect):
            parts = make_request("r1", body=b"half of it")[:-3], CHUNKED + b"4\r\nhalf"
            for part in parts:
                _, writer = await connect()
                writer.write(part)
                await asyncio.sleep(0.05)
                writer.close()
            await asyncio.sleep(0.1)
            return gateway

    assert asyncio.run(work()).served == []


def test_a_request_pipelined_by_a_caller_that_disconnects_is_not_executed():
    async def work():
        async with listen() as (gateway, connect):
            _, writer = await connect()
            writer.write(make_request("r1", "/slow") + make_request("r2"))
            await asyncio.sleep(0.12)
            writer.transport.abort()
            await asyncio.sleep(0.3)
            return gateway

    gateway = asyncio.run(work())
    assert gateway.served == gateway.ended == ["r1"]


def test_a_stream_to_an_http_1_0_caller_ends_its_connection(converse):
    first, second = (
        make_request(name, "/stream", version="1.0", Connection="keep-alive")
        for name in ("r1", "r2")
    )
    received, _ = converse(first, second)
    assert received.endswith(b"\r\n\r\nall of r1")


def test_a_refusal_of_a_head_request_has_no_body(converse):
    refused = make_request("r1", method="HEAD", X_Lavendershift_Deadline_Ms="soon")
    received, _ = converse(refused)
    assert received.startswith(b"HTTP/1.1 400")
    assert received.endswith(b"\r\n\r\n")
