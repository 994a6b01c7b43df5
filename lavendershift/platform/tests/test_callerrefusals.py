import asyncio
from datetime import timedelta

from lavendershift.platform.tests.listeners import play
from lavendershift.platform.tests.test_callers import make_request

SECOND = timedelta(seconds=1)
CHUNKED = (
    b"POST /whole HTTP/1.1\r\nHost: books.example\r\n"
    b"X-Lavendershift-Attempt-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
)
SIZES = [1500, 70_000, 1_000_000, 1_500_000, 6_000_000]


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
