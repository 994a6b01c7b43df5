"""Time and bytes until a router serves, for each way to rebuild its ledger.

A router, a relay and the stand-in of the log run in this process, talk over
loopback and share its processor, so the times are upper bounds::

    python -m lavendershift.tools.recovery --records 100000

The ways: a full replay, a checkpoint with the tail after it, and the same with
the tail in the cache of a relay that was there before.
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
FOLLOW_S = 0.5  # for a relay to follow the tail
APPEND_RECORDS = 2_000
READY_TIMEOUT_S = 120
BUDGETS = 10


class RecoveryCost(NamedTuple):
    """One way to rebuild, and what it took.

    ``from_log`` and ``from_relay`` are the bytes of the answers that the relay
    had from the log service and the router from the relay.
    """

    way: str
    ready_s: float
    cpu_s: float
    from_log: int
    from_relay: int
    loop_blocked_s: float


class Scenario(NamedTuple):
    """What stands before the router starts.

    ``relay_follows`` means that another router has made the relay follow the
    ledger before the tail was written.
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
    """Return the settings of the router and of the relay."""
    common = f'[vm]\nname = "r9"\nfailure_domain = "d0"\n[log]\nurl = "http://127.0.0.1:{log_port}"\n'
    ports = find_ports(2)
    quiet = '[logging]\nlevel = "error"\n'
    relay = f"tcp://127.0.0.1:{relay_port}"
    router = (
        f'{common}relays = ["{relay}"]\n'
        f'[listen]\naddress = "127.0.0.1:{ports[0]}"\n'
        f'peer_address = "tcp://127.0.0.1:{ports[1]}"\n'
        f'[members]\nurl = "http://127.0.0.1:{log_port}"\n{quiet}'
    )
    cache = f"[relay]\ncache_records = {max(100, 2 * records)}\n"
    return router, f'{common}[listen]\npeer_address = "{relay}"\n{cache}{quiet}'


class Stand:
    """The stand-in of the log, filled with records, and a relay."""

    def __init__(self, records: int, tail: int) -> None:
        self._records = list(make_records(records))
        self._tail = tail
        self.log = LogApp(
            LogSettings(appends_per_s=0, delay_ms=0), SystemClock(), random.Random(1)
        )

    def fill(self, checkpoint: bool) -> None:
        """Append all records but the tail, and their checkpoint if asked for."""
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

    def finish(self) -> None:
        """Append the tail."""
        self._append(STREAM, self._records[-self._tail :])

    def _append(self, stream: str, records: list[Record]) -> None:
        for start in range(0, len(records), APPEND_RECORDS):
            batch = records[start : start + APPEND_RECORDS]
            encoded = [msgspec.json.encode(encode_record(record)) for record in batch]
            self.log.append(stream, encoded)


async def watch_loop(longest: list[float]) -> None:
    """Note the longest time for which the loop was not free."""
    while True:
        start = time.monotonic()
        await asyncio.sleep(POLL_S)
        longest[0] = max(longest[0], time.monotonic() - start - POLL_S)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until ``condition`` holds."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(POLL_S)


async def measure_recovery(setup: Scenario, records: int, tail: int) -> RecoveryCost:
    """Start a router and return what it took until it was ready."""
    stand = Stand(records, tail)
    await stand.log.start()
    stand.fill(setup.checkpoint)
    [relay_port] = find_ports(1)
    texts = make_settings(stand.log.port, relay_port, records)
    router_settings = parse_settings(texts[0], Program.ROUTER).unwrap()
    relay_settings = parse_settings(texts[1], Program.RELAY).unwrap()
    assert isinstance(router_settings, RouterSettings)
    assert isinstance(relay_settings, RelaySettings)
    relay = RelayApplication(relay_settings)
    await relay.start()
    try:
        if setup.relay_follows:
            await start_router(router_settings, relay)
        stand.finish()
        await asyncio.sleep(FOLLOW_S)
        return await start_router(router_settings, relay, setup.way)
    finally:
        await relay.stop()
        await stand.log.stop()


async def start_router(
    settings: RouterSettings, relay: RelayApplication, way: str = ""
) -> RecoveryCost:
    """Start a router, wait until it is ready and stop it."""
    longest = [0.0]
    watch = asyncio.ensure_future(watch_loop(longest))
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
        watch.cancel()
        await router.stop()


def measure(records: int, tail: int) -> list[RecoveryCost]:
    """Measure all ways."""
    return [asyncio.run(measure_recovery(setup, records, tail)) for setup in SCENARIOS]


@cappa.command(name="recovery")
@dataclass
class Recovery:
    """Measure the start of a router on a long ledger."""

    records: Annotated[int, cappa.Arg(long=True, help="Records.")] = 100_000
    tail: Annotated[int, cappa.Arg(long=True, help="After the checkpoint.")] = 5_000
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def __call__(self) -> None:
        """Print what each way took."""
        ways = measure(self.records, self.tail)
        print_rows(f"Ready on {self.records:,} records", ways, self.json)


if __name__ == "__main__":
    cappa.invoke(Recovery)
