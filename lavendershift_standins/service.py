"""Stand-in for a plain HTTP service such as courier bookings or a catalogue.

It accepts any method and path, records every execution in order, and responds
with JSON that depends on the call alone. It doesn't deduplicate: a call that is
sent twice has two executions in ``GET /control/log``.
"""

import asyncio
from collections import Counter
from random import Random
from typing import Any, NamedTuple, TypedDict

import msgspec
import xxhash

from lavendershift.clocks import Clock
from lavendershift_standins.application import StandInApp, StandInHandler
from lavendershift_standins.commandline import run_program
from lavendershift_standins.faults import Silence


class ServiceSettings(NamedTuple):
    """Settings of the plain service and their defaults."""

    name: str = "service"
    address: str = "127.0.0.1"
    port: int = 0
    delay_ms: int = 5


class Execution(TypedDict):
    """The record of a call that was executed."""

    request_id: str
    idempotency_key: str
    method: str
    path: str
    content_type: str
    body_hash: str
    time_ms: int


class ServiceResponse(TypedDict):
    """The JSON response to a call, which depends on the call alone."""

    method: str
    path: str
    body_hash: str
    idempotency_key: str


class CallHandler(StandInHandler):
    """Executes calls of any method and path."""

    async def run_call(self, path: str) -> None:
        """Record the execution, wait for the configured delay and respond."""
        execution = self.standin.record_call(self.request)
        await self.standin.simulate_latency()
        await self.apply_reply_faults()
        body = msgspec.json.encode(self.standin.make_response(execution))
        await self.send(body)

    async def send(self, body: bytes) -> None:
        """Send the response, interrupted if a ``truncate`` or ``silence`` applies."""
        self.set_header("Content-Type", "application/json")
        self.set_header("Content-Length", str(len(body)))
        fault = self.standin.faults.find_body_fault(self)
        if fault is None:
            self.write(body)
            return
        self.write(body[: fault.length])
        await self.flush()
        if isinstance(fault, Silence):
            await asyncio.sleep(fault.silence_ms / 1000)
            self.write(body[fault.length :])
            return
        if fault.answer == "hang":
            await self.wait_closed()
        self.close_connection()

    get = post = put = patch = delete = head = options = run_call  # type: ignore


class ControlLogHandler(StandInHandler):
    """Lists the executions."""

    affected_by_faults = False

    async def get(self) -> None:
        """Return all executions in order, and their count by key and path."""
        counts = [
            {"idempotency_key": key, "path": path, "count": count}
            for (key, path), count in self.standin.counts.items()
        ]
        self.write_json({"executions": self.standin.executions, "counts": counts})


class ServiceApp(StandInApp):
    """Serves any HTTP call and counts the executions."""

    program = "service"

    def __init__(self, settings: ServiceSettings, clock: Clock, rng: Random) -> None:
        super().__init__(settings, clock, rng)
        self.executions: list[Execution] = []
        self.counts: Counter[tuple[str, str]] = Counter()

    def list_routes(self) -> list[tuple[Any, ...]]:
        """Return the routes."""
        return [(r"/control/log", ControlLogHandler), (r"(/.*)", CallHandler)]

    def record_call(self, request: Any) -> Execution:
        """Record the execution of a call."""
        headers = request.headers
        execution = Execution(
            request_id=headers.get("Request-Id", ""),
            idempotency_key=headers.get("Idempotency-Key", ""),
            method=request.method,
            path=request.uri,
            content_type=headers.get("Content-Type", ""),
            body_hash=xxhash.xxh64_hexdigest(request.body),
            time_ms=self.now_ms,
        )
        self.executions.append(execution)
        self.counts[execution["idempotency_key"], request.path] += 1
        return execution

    def make_response(self, execution: Execution) -> ServiceResponse:
        """Return the response to an executed call."""
        return ServiceResponse(
            method=execution["method"],
            path=execution["path"],
            body_hash=execution["body_hash"],
            idempotency_key=execution["idempotency_key"],
        )

    async def simulate_latency(self) -> None:
        """Sleep for the configured delay, multiplied by an active ``slow`` fault."""
        delay_ms = self.settings.delay_ms * self.faults.slow_factor
        await asyncio.sleep(delay_ms / 1000)


def main() -> None:
    """Run the plain service."""
    run_program(ServiceApp, ServiceSettings)
