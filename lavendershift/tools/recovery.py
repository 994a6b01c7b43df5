"""Measure how long a router takes to start, for each way to rebuild its ledger.

A router, a relay and a stand-in for the log service run in this process. They
communicate over loopback and share its processor, so the times are upper bounds::

    python -m lavendershift.tools.recovery --records 100000

The ways are a full replay, a checkpoint with the records after it (the tail), and
the same with the tail already in the cache of a running relay.
"""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated, NamedTuple

import cappa
import msgspec

from lavendershift.clocks import SystemClock
from lavendershift.commands.output import print_rows
from lavendershift.ledger import Ledger
from lavendershift.records import (
    CONFIG_STREAM,
    Change,
    Record,
    Setting,
    TopUp,
    decode_entry,
    encode_record,
    name_checkpoint_stream,
)
from lavendershift.router import RouterApplication
from lavendershift.settings import parse_settings
from lavendershift.settings_sections import RelaySettings, RouterSettings
from lavendershift.settings_table import Program
from lavendershift.tools.ports import find_ports
from lavendershift.tools.relay import RelayApplication
from lavendershift.tools.replay import STREAM, find_prepaid, make_records
from lavendershift_standins.log import LogApp, LogSettings

POLL_S = 0.005
RELAY_CATCH_UP_S = 0.5  # time for a relay to read the tail
APPEND_RECORDS = 2_000
READY_TIMEOUT_S = 120
BUDGETS = 10


class RecoveryCost(NamedTuple):
    """The costs of one way to rebuild the ledger.

    ``ready_s`` is the time until the router is ready, ``loop_blocked_s`` the longest
    time for which the event loop was blocked. ``from_log`` and ``from_relay`` are
    the response bytes that the relay received from the log service and the router
    from the relay.
    """

    way: str
    ready_s: float
    cpu_s: float
    from_log: int
    from_relay: int
    loop_blocked_s: float


class Scenario(NamedTuple):
    """The state of the log and the relay before the router starts.

    With ``relay_follows``, another router has made the relay follow the ledger
    before the tail is appended, so the relay has the tail in its cache.
    """

    way: str
    checkpoint: bool
    relay_follows: bool


SCENARIOS = (
    Scenario("full replay", checkpoint=False, relay_follows=False),
    Scenario("checkpoint and tail", checkpoint=True, relay_follows=False),
    Scenario(
        "checkpoint, and tail from a relay's cache", checkpoint=True, relay_follows=True
    ),
)


def make_settings(log_port: int, relay_port: int, records: int) -> tuple[str, str]:
    """Return the settings files of the router and of the relay."""
    common = f'[vm]\nname = "r9"\nfailure_domain = "d0"\n[log]\nurl = "http://127.0.0.1:{log_port}"\n'
    ports = find_ports(2)
    logging = '[logging]\nlevel = "error"\n'
    relay = f"tcp://127.0.0.1:{relay_port}"
    router = (
        f'{common}relays = ["{relay}"]\n'
        f'[listen]\naddress = "127.0.0.1:{ports[0]}"\n'
        f'peer_address = "tcp://127.0.0.1:{ports[1]}"\n'
        f'[members]\nurl = "http://127.0.0.1:{log_port}"\n{logging}'
    )
    cache = f"[relay]\ncache_records = {max(100, 2 * records)}\n"
    return router, f'{common}[listen]\npeer_address = "{relay}"\n{cache}{logging}'


class LogFixture:
    """A stand-in for the log service, and the records to append to it."""

    def __init__(self, records: int, tail: int) -> None:
        self._records = list(make_records(records))
        self._tail = tail
        self.log = LogApp(
            LogSettings(appends_per_s=0, delay_ms=0), SystemClock(), random.Random(1)
        )

    def append_head(self, checkpoint: bool) -> None:
        """Append the configuration and the ledger except its tail.

        With ``checkpoint``, a checkpoint of the appended ledger records follows.
        """
        settings = [Setting("desks/d/c", "budget", "budget0")]
        tree: list[Record] = [Change("c", 0, "operator", settings)]
        tree += [TopUp(f"t{n}", f"budget{n}", 10**12, "op") for n in range(BUDGETS)]
        self._append(CONFIG_STREAM, tree)
        self._append(STREAM, self._records[: -self._tail])
        if not checkpoint:
            return
        ledger = Ledger(STREAM, find_prepaid)
        now_ms = int(time.time() * 1000)
        for offset, record in enumerate(self._records[: -self._tail]):
            ledger.apply(decode_entry(STREAM, offset, now_ms, encode_record(record)))
        parts: list[Record] = list(ledger.make_checkpoint("c"))
        self._append(name_checkpoint_stream(STREAM), parts)

    def append_tail(self) -> None:
        """Append the tail of the ledger."""
        self._append(STREAM, self._records[-self._tail :])

    def _append(self, stream: str, records: list[Record]) -> None:
        for start in range(0, len(records), APPEND_RECORDS):
            batch = records[start : start + APPEND_RECORDS]
            encoded = [msgspec.json.encode(encode_record(record)) for record in batch]
            self.log.append(stream, encoded)


async def record_loop_blocking(longest: list[float]) -> None:
    """Record the longest time for which the event loop was blocked."""
    while True:
        start = time.monotonic()
        await asyncio.sleep(POLL_S)
        longest[0] = max(longest[0], time.monotonic() - start - POLL_S)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until ``condition`` returns true.

    Raises ``TimeoutError`` after ``READY_TIMEOUT_S``.
    """
    async with asyncio.timeout(READY_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(POLL_S)


async def measure_recovery(scenario: Scenario, records: int, tail: int) -> RecoveryCost:
    """Set up ``scenario``, start a router and return the cost until it is ready."""
    fixture = LogFixture(records, tail)
    await fixture.log.start()
    fixture.append_head(scenario.checkpoint)
    [relay_port] = find_ports(1)
    texts = make_settings(fixture.log.port, relay_port, records)
    router_settings = parse_settings(texts[0], Program.ROUTER).unwrap()
    relay_settings = parse_settings(texts[1], Program.RELAY).unwrap()
    assert isinstance(router_settings, RouterSettings)
    assert isinstance(relay_settings, RelaySettings)
    relay = RelayApplication(relay_settings)
    await relay.start()
    try:
        if scenario.relay_follows:
            await start_router(router_settings, relay)
        fixture.append_tail()
        await asyncio.sleep(RELAY_CATCH_UP_S)
        return await start_router(router_settings, relay, scenario.way)
    finally:
        await relay.stop()
        await fixture.log.stop()


async def start_router(
    settings: RouterSettings, relay: RelayApplication, way: str = ""
) -> RecoveryCost:
    """Start a router, wait until it is ready, stop it and return the cost."""
    longest = [0.0]
    monitor = asyncio.ensure_future(record_loop_blocking(longest))
    router = RouterApplication(settings, SystemClock(), random.Random())
    read_before = relay.log.received_bytes
    started, cpu = time.monotonic(), time.process_time()
    await router.start()
    try:
        await wait_until(lambda: router.find_fault() is None)
        ready_s = time.monotonic() - started
        from_log = relay.log.received_bytes - read_before
        cpu_s = time.process_time() - cpu
        return RecoveryCost(
            way,
            round(ready_s, 2),
            round(cpu_s, 2),
            from_log,
            router.log.received_bytes,
            round(longest[0], 2),
        )
    finally:
        monitor.cancel()
        await router.stop()


def measure(records: int, tail: int) -> list[RecoveryCost]:
    """Measure all scenarios."""
    return [
        asyncio.run(measure_recovery(scenario, records, tail)) for scenario in SCENARIOS
    ]


@cappa.command(name="recovery")
@dataclass
class Recovery:
    """Measure the startup of a router with a long ledger."""

    records: Annotated[
        int, cappa.Arg(long=True, help="Number of records in the ledger.")
    ] = 100_000
    tail: Annotated[
        int, cappa.Arg(long=True, help="Number of records after the checkpoint.")
    ] = 5_000
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def __call__(self) -> None:
        """Measure and print the cost of each way."""
        ways = measure(self.records, self.tail)
        print_rows(f"Ready on {self.records:,} records", ways, self.json)


if __name__ == "__main__":
    cappa.invoke(Recovery)
