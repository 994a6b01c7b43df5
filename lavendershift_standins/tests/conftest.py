import asyncio
from random import Random
from typing import NamedTuple

import msgspec
import pycurl
import pytest
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from lavendershift.clocks import SystemClock
from lavendershift_standins.engine import EngineApp, EngineSettings
from lavendershift_standins.log import LogApp, LogSettings
from lavendershift_standins.members import MembersApp, MembersSettings
from lavendershift_standins.service import ServiceApp, ServiceSettings

TIME_LIMIT_S = 30
FAST_ENGINE = EngineSettings(
    step_ms=1,
    min_output_tokens=8,
    max_output_tokens=8,
    load_lag_ms=0,
    cache_event_lag_ms=0,
    cache_event_gaps=0,
    load_model_ms=50,
    load_adapter_ms=10,
)


class Reply(NamedTuple):
    """A response; tornado's status 599 means that the connection failed."""

    status: int
    headers: dict
    body: bytes

    @property
    def json(self):
        return msgspec.json.decode(self.body)

    @property
    def is_broken(self):
        return self.status == 599

    @property
    def events(self):
        lines = self.body.split(b"\n\n")
        return [line.removeprefix(b"data: ") for line in lines if line]

    @property
    def text(self):
        choices = [
            choice
            for event in self.events
            if event != b"[DONE]"
            for choice in msgspec.json.decode(event)["choices"]
        ]
        return "".join(c.get("text") or c["delta"]["content"] for c in choices)


class StandIns:
    """Starts, calls and stops stand-ins on the current event loop."""

    def __init__(self):
        self.apps = []
        self.http = CurlAsyncHTTPClient(force_instance=True, max_clients=50)

    async def start(self, app):
        self.apps.append(app)
        await app.start()
        return app

    async def engine(self, clock=None, **changes):
        settings = FAST_ENGINE._replace(**changes)
        return await self.start(EngineApp(settings, clock or SystemClock(), Random(1)))

    async def log(self, clock=None, **changes):
        settings = LogSettings(**changes)
        return await self.start(LogApp(settings, clock or SystemClock(), Random(1)))

    async def service(self, **changes):
        settings = ServiceSettings(**changes)
        return await self.start(ServiceApp(settings, SystemClock(), Random(1)))

    async def members(self, clock=None, **changes):
        settings = MembersSettings(**changes)
        return await self.start(MembersApp(settings, clock or SystemClock(), Random(1)))

    async def call(
        self, app, path, body=None, method=None, headers=None, timeout_s=10.0
    ):
        parts = []
        request = HTTPRequest(
            f"http://127.0.0.1:{app.port}{path}",
            method=method or ("GET" if body is None else "POST"),
            body=body if body is None or isinstance(body, bytes) else encode(body),
            headers=headers or {},
            streaming_callback=parts.append,
            request_timeout=timeout_s,
            allow_nonstandard_methods=True,
            prepare_curl_callback=forbid_reuse,
        )
        try:
            response = await self.http.fetch(request, raise_error=False)
        except HTTPClientError as error:
            return Reply(error.code, {}, b"".join(parts))
        return Reply(response.code, dict(response.headers), b"".join(parts))

    async def complete(self, engine, headers=None, chat=False, **fields):
        body = {"model": "index-large", "stream": True, **fields}
        if chat:
            body.setdefault("messages", [{"role": "user", "content": "Loire"}])
            return await self.call(
                engine, "/v1/chat/completions", body, headers=headers
            )
        body.setdefault("prompt", "Loire")
        return await self.call(engine, "/v1/completions", body, headers=headers)

    async def add_fault(self, app, name, **fields):
        reply = await self.call(app, "/control/faults", {"fault": name, **fields})
        assert reply.status == 200, reply.body
        return reply

    async def executions(self, app):
        return (await self.call(app, "/control/log")).json["executions"]

    async def stop(self):
        self.http.close()
        for app in self.apps:
            await app.stop()


def forbid_reuse(curl):
    """Open a new connection per call.

    On a reused connection that was closed, curl would repeat the call.
    """
    curl.setopt(pycurl.FRESH_CONNECT, 1)


def encode(body):
    return msgspec.json.encode(body)


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.005)


@pytest.fixture
def run():
    """Return a function that runs ``scenario(standins)`` on a new event loop."""

    def run_scenario(scenario):
        async def main():
            standins = StandIns()
            try:
                async with asyncio.timeout(TIME_LIMIT_S):
                    return await scenario(standins)
            finally:
                await standins.stop()

        return asyncio.run(main())

    return run_scenario
