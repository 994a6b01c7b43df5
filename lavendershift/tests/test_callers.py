"""Limits and access checks of a complete router, called over loopback."""

import asyncio
import hashlib
import json
import ssl
from pathlib import Path

import pytest

from lavendershift.records import CONFIG_STREAM, Change, Setting, TopUp
from lavendershift.tools.capacity_streams import (
    CHUNK,
    KEY,
    REQUEST,
    open_stream,
    read_rest,
    run_bench,
)

CERTIFICATES = Path(__file__).parent / "certificates"
CERTIFICATE = CERTIFICATES / "certificate.pem"
CERTIFICATE_KEY = CERTIFICATES / "key.pem"
GET = b"GET %s HTTP/1.1\r\nHost: r0\r\n%s\r\n"


def run(work, more="", **options):
    async def bounded():
        async with asyncio.timeout(60):
            return await run_bench(work, more, **options)

    return asyncio.run(bounded())


async def send_request(bench, data, tls=None):
    """Send a request's bytes and return the status, the headers and the JSON body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", bench.port, ssl=tls)
    writer.write(data)
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
    body = await reader.readexactly(int(headers["content-length"]))
    writer.close()
    return int(head[0].split()[1]), headers, json.loads(body)


def post(path, body=b"{}", key=KEY, extra=""):
    head = f"POST {path} HTTP/1.1\r\nHost: r0\r\nAuthorization: Bearer {key}\r\n"
    return f"{head}{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


def make_tls_context(path):
    return ssl.create_default_context(cafile=str(path))


def test_status_without_key_reveals_no_customer():
    async def work(bench):
        bench.engine.finish_at_once = True
        await read_rest(await open_stream(bench))
        await asyncio.sleep(1.2)  # budget gauges are updated every second
        status, _, body = await send_request(bench, GET % (b"/v1/status", b""))
        assert (status, body["ready"]) == (200, True)
        for secret in ("plume", KEY, hashlib.sha256(KEY.encode()).hexdigest()):
            assert secret not in json.dumps(body)

    run(work)


@pytest.mark.parametrize("key", ["", "wrong", "capacity2"])
def test_unknown_key_is_refused_before_other_checks(key):
    async def work(bench):
        for request in (
            post("/v1/completions", key=key),
            post("/services/any/where", key=key),
            GET % (b"/v1/models", b"Authorization: Bearer " + key.encode() + b"\r\n"),
        ):
            status, headers, body = await send_request(bench, request)
            assert (status, headers["ran"]) == (401, "no")
            assert body["error"]["code"] == "unauthenticated"

    run(work)


def test_customers_cannot_use_each_others_models_keys_or_budgets():
    async def work(bench):
        other = "desks/rennes/other"
        digest = hashlib.sha256(b"other").hexdigest()
        offset = bench.router.configuration.next_offset
        settings = [
            Setting(other, "api_key_hashes", [digest]),
            Setting(other, "budget", "others"),
            Setting(other, "models", ["another"]),
        ]
        await bench.router.log.append_records(
            CONFIG_STREAM,
            [Change("c2", offset, "op", settings), TopUp("t2", "others", 10**6, "op")],
        )
        while bench.router.configuration.next_offset < offset + 2:
            await asyncio.sleep(0.01)
        body = b'{"model":"m","prompt":"x","max_tokens":10}'
        status, _, answer = await send_request(
            bench, post("/v1/completions", body, "other")
        )
        assert (status, answer["error"]["code"]) == (403, "forbidden")
        request = GET % (b"/v1/models", b"Authorization: Bearer other\r\n")
        assert (await send_request(bench, request))[2]["data"] == []

        bench.engine.finish_at_once = True
        keyed = REQUEST.replace(b"Host: r0", b"Host: r0\r\nIdempotency-Key: k1")
        for key in (b"capacity", b"other"):
            reader, writer = await asyncio.open_connection("127.0.0.1", bench.port)
            writer.write(keyed.replace(b"Bearer capacity", b"Bearer " + key))
            await reader.readuntil(b"\r\n\r\n")
            writer.close()
        await asyncio.sleep(0.5)
        ledger = bench.router.budgets.find_ledger("plume")
        assert ledger.find_budget("others").spent == 0
        assert ledger.find_budget("plume").spent == 11
        keys = list(ledger.requests.states)
        assert keys == ["desks/rennes/plume/k1"]

    run(work)


def test_customer_with_rate_limit_zero_is_refused():
    async def work(bench):
        offset = bench.router.configuration.next_offset
        setting = Setting("desks/rennes/plume", "requests_per_s", 0.0)
        await bench.router.log.append_records(
            CONFIG_STREAM, [Change("c2", offset, "op", [setting])]
        )
        while bench.router.configuration.next_offset == offset:
            await asyncio.sleep(0.01)
        status, headers, body = await send_request(bench, REQUEST)
        assert (status, headers["ran"]) == (429, "no")
        assert body["error"]["code"] == "rate_limited"

    run(work)


def test_oversized_bodies_and_headers_are_refused():
    more = "[limits]\nmax_body_bytes = 2048\nmax_header_bytes = 1024\n"

    async def work(bench):
        for request in (
            post("/v1/completions", b"x" * 4096),
            post("/v1/completions", extra=f"Cookie: {'x' * 4096}\r\n"),
        ):
            reader, writer = await asyncio.open_connection("127.0.0.1", bench.port)
            writer.write(request)
            assert b" 200 " not in await read_to_end(reader)
            writer.close()
        assert not bench.engine.writers

    run(work, more)


async def read_to_end(reader):
    try:
        return await reader.read()
    except ConnectionError:
        return b""


def test_connections_over_the_limit_get_overloaded():
    async def work(bench):
        streams = [await open_stream(bench) for _ in range(3)]
        status, headers, body = await send_request(bench, REQUEST)
        assert (status, headers["ran"]) == (503, "no")
        assert body["error"]["code"] == "overloaded"
        assert headers["retry-after"] == "2"
        assert len(bench.engine.writers) == 3
        for _, writer in streams:
            writer.close()
        async with asyncio.timeout(20):
            while bench.router._server._open_connections:
                await asyncio.sleep(0.01)
        bench.engine.finish_at_once = True
        await read_rest(await open_stream(bench))

    run(work, "[limits]\nmax_connections = 3\n")


def test_idle_connection_is_closed():
    async def work(bench):
        for sent in (b"", b"POST /v1/completions HTTP/1.1\r\nHost:", REQUEST[:-5]):
            reader, writer = await asyncio.open_connection("127.0.0.1", bench.port)
            writer.write(sent)
            async with asyncio.timeout(20):
                await read_to_end(reader)
            writer.close()
        assert not bench.engine.writers

    run(work, "[limits]\ncaller_idle_s = 1\n")


def test_buffer_for_a_slow_caller_is_bounded():
    async def work(bench):
        _, caller = await open_stream(bench)
        caller.transport.pause_reading()
        [writer] = bench.engine.writers
        sent = 0
        event = CHUNK[:-4] + b" " * 100_000 + CHUNK[-4:]
        try:
            async with asyncio.timeout(3):
                while sent < 200_000_000:
                    writer.write(event)
                    await writer.drain()
                    sent += len(event)
        except TimeoutError:
            pass
        assert sent < 40_000_000  # the buffers of the loopback sockets, and little more
        caller.close()

    run(work, "[limits]\nmax_buffered_bytes = 65536\n")


def test_callers_are_served_over_tls_only_if_configured():
    listen = f'tls_certificate = "{CERTIFICATE}"\ntls_key = "{CERTIFICATE_KEY}"\n'

    async def work(bench):
        request = GET % (b"/readyz", b"")
        status, _, body = await send_request(
            bench, request, make_tls_context(CERTIFICATE)
        )
        assert (status, body) == (200, {"status": "ready"})
        with pytest.raises(ssl.SSLCertVerificationError):
            await send_request(bench, request, ssl.create_default_context())
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await send_request(bench, request)

    run(work, listen=listen)


@pytest.mark.parametrize("trusted", [True, False])
def test_server_certificates_are_verified(trusted):
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(CERTIFICATE, CERTIFICATE_KEY)

    async def work(bench):
        bench.engine.finish_at_once = True
        if trusted:
            await read_rest(await open_stream(bench))
            return
        status, headers, _ = await send_request(bench, REQUEST)
        assert (status, headers["ran"]) == (503, "no")

    authority = f'tls_ca = "{CERTIFICATE}"\n' if trusted else ""
    run(work, f"[servers]\ntls = true\n{authority}", engine_tls=context)
