"""Tokens that a VM has returned are adopted again by its next process."""

import asyncio
import collections
import contextlib
import itertools
import json
import random
import signal
import sys
import time
from pathlib import Path

from lavendershift_standins.platformserver import ReceivedRequest, stream
from review.standins.callers import ask
from review.standins.deployment import (
    Deployment,
    Record,
    has_trouble,
    stop_at_signals,
)
from review.standins.vms import Vm

FOLDER = Path(__file__).parent
# The numbers of the VMs in each zone, some of which have replaced others. All these
# VMs have their lease snapshots in one of the 12 partitions.
ZONES = {"rennes": [12, 21, 26], "quimper": [6, 14, 25], "brest": [4, 8]}
PARTS = 12
TENANTS = [f"desk-{number}" for number in range(8)]
PREPAID = 12_000_000
ROUTE = {
    "name": "index",
    "host": "books.example",
    "path_prefix": "/index/",
    "kind": "streaming",
    "timeout_ms": 15000,
    "target_latency_ms": 800,
    "priority": 0,
    "service": "pool",
    "max_attempts": 2,
    "resumable": True,
    "sticky": True,
    "target_gap_ms": 400,
}
CONFIGURATION = {
    "routes": [ROUTE],
    "services": [{"name": "pool", "engine": {"slots": 64, "stride": 5}}],
    "tenants": [
        {"name": name, "api_keys": [f"key-{name}"], "prepaid": PREPAID}
        for name in TENANTS
    ],
}
# Requests/s of each zone's callers.
RATES = {"rennes": 19.0, "quimper": 19.0, "brest": 10}
ROLLED, GAP_S = 3, 1.0  # VMs that are restarted in a row, and the time between
PAUSE_S = 1.5
RETURN_AFTER_S = 3.0  # from SIGTERM until a VM returns its tokens
SLOW_AT_S = 2.7  # from the first stop to the slow time of the store
SLOWNESS, SLOW_S = 14.0, 4.0  # factor on the store's answers, and for how long
WINDOWS_UNTIL_S = 78.0  # time from the start at which no slow time of the store begins
DOWN_S = 0.3  # time from the kill to the start of the next process
TOKENS = (300, 100)  # prompt and most output of a usual request
EVENT_TOKENS = 5  # tokens of each event of the servers
LONG_TOKENS, LONG_SHARE = (20, 200), 0.35
LARGE_TOKENS, LARGE_SHARE = (200_000, 100), 0.03
EVENTS, LONG_EVENTS, EVENT_PAUSE_S = 5, 33, 0.2  # streams take 1 s and 6.6 s
# Prompt sizes with which the totals are used up at the end.
SIZES = (200_000, 20_000, 2_000, 200)
SPEND_S = 15.0
LEAST_RETURN = 60_000  # tokens of a return after which a VM is killed


async def respond(received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send a stream that is short or long by the path."""
    events = LONG_EVENTS if "long" in received.target else EVENTS
    await stream(events, EVENT_PAUSE_S)(received, writer)


class Case:
    """The deployment, its callers, and what they used."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.deployment = Deployment(record, ZONES, PARTS)
        self.rates: dict[str, float] = {}
        self.used: collections.Counter[str] = collections.Counter()
        self.statuses: collections.Counter[int] = collections.Counter()
        self.addresses: dict[str, list[str]] = {}
        self.granted: dict[str, int] = {}
        self.lost_races: collections.Counter[str] = collections.Counter()
        self.return_at: dict[str, float] = {}
        self.victim: asyncio.Future[Vm] | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def note_conflict(
        self, topic: str, part: int, records: list[tuple[bytes, bytes]]
    ) -> None:
        """Count the lost races for lease snapshots of each VM."""
        if topic != "keyed.passbooks":
            return
        self.lost_races[records[0][0].decode()] += 1

    def note_append(
        self, topic: str, part: int, records: list[tuple[bytes, bytes]], offset: int
    ) -> None:
        """Watch for a VM that returns tokens after five lost races."""
        if topic == "keyed.passbooks":
            self.lost_races[records[0][0].decode()] = 0
        if topic != "keyed.grants":
            return
        for key, value in records:
            customer, quota = key.decode(), json.loads(value)
            name = quota["change"].split("/")[0]
            returned = self.granted.get(customer, 0) - quota["granted"]
            self.granted[customer] = quota["granted"]
            if returned >= LEAST_RETURN and self.has_lost_snapshot(name):
                text = f"{name} returned {returned} tokens of {customer}"
                self.record.write(f"{text} after {self.lost_races[name]} lost races")
                if self.victim is not None and not self.victim.done():
                    self.victim.set_result(self.deployment.find_vm(name))

    def has_lost_snapshot(self, name: str) -> bool:
        """Whether a VM that stops has lost five races for its lease snapshot."""
        return_at = self.return_at.get(name)
        if return_at is None or time.monotonic() < return_at:
            return False
        return 5 <= self.lost_races[name] < 15

    async def use(
        self,
        address: str,
        tenant: str,
        size: int,
        output: int,
        path: str = "/index/short",
    ) -> int:
        """Send a request, and count the tokens of a complete answer."""
        answer = await ask(address, path, f"key-{tenant}", (size, output), 15.0)
        self.statuses[answer.status] += 1
        if answer.status == 200 and answer.is_whole:
            self.used[tenant] += size + answer.events * EVENT_TOKENS
        return answer.status

    async def follow_directory(self, zone: str) -> None:
        """Ask the VMs of a zone for addresses each second, as callers do."""
        own = [vm for vm in self.deployment.vms if vm.zone == zone]
        others = [vm for vm in self.deployment.vms if vm.zone != zone]
        while True:
            for vm in [*random.sample(own, len(own)), *others][:3]:
                addresses = await vm.resolve(zone)
                if addresses:
                    self.addresses[zone] = addresses
                    break
            await asyncio.sleep(1.0)

    async def send_requests(self, zone: str) -> None:
        """Send the requests of a zone's callers."""
        while True:
            await asyncio.sleep(random.expovariate(self.rates.get(zone, 1.0)))
            if self.rates and self.addresses.get(zone):
                address = random.choice(self.addresses[zone])
                tenant = random.choice(TENANTS)
                task = asyncio.ensure_future(self.send_one(address, tenant))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def send_one(self, address: str, tenant: str) -> None:
        """Send a usual request, or one of the few with a long answer."""
        number = random.random()
        if number < LONG_SHARE:
            await self.use(address, tenant, *LONG_TOKENS, path="/index/long")
        elif number < LONG_SHARE + LARGE_SHARE:
            await self.use(address, tenant, *LARGE_TOKENS)
        else:
            await self.use(address, tenant, *TOKENS)

    async def roll(self, vm: Vm, delay_s: float) -> None:
        """Stop a VM with SIGTERM, and start it again after its end."""
        await asyncio.sleep(delay_s)
        self.record.write(f"{vm.name} is stopped with SIGTERM")
        self.return_at[vm.name] = time.monotonic() + RETURN_AFTER_S
        await vm.stop()
        del self.return_at[vm.name]
        await self.restart(vm)

    async def restart(self, vm: Vm) -> None:
        """Start a VM's next process after the end of the last one."""
        await vm.kill()
        await asyncio.sleep(DOWN_S)
        await vm.start()
        await vm.wait_ready()

    async def play_window(self, vms: list[Vm]) -> None:
        """Restart VMs one after the other, and kill those that have lost a snapshot."""
        self.victim = asyncio.get_running_loop().create_future()
        rolls = [
            asyncio.ensure_future(self.roll(vm, number * GAP_S))
            for number, vm in enumerate(vms)
        ]
        await asyncio.sleep(SLOW_AT_S)
        if has_trouble():
            self.deployment.store.slowness = SLOWNESS
            self.record.write(f"the store's answers take {SLOWNESS} times as long")
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SLOW_S):
                while has_trouble():
                    victim = await self.victim
                    self.victim = asyncio.get_running_loop().create_future()
                    victim.send(signal.SIGKILL)
                    self.record.write(f"{victim.name} is killed")
                await asyncio.sleep(SLOW_S)
        self.deployment.store.slowness = 1.0
        self.record.write("the store's answers take their usual time")
        await asyncio.gather(*rolls)
        await asyncio.sleep(PAUSE_S)

    async def spend_rest(self) -> None:
        """Use up the totals of all tenants, with smaller and smaller requests."""
        self.rates = {}
        for server in self.deployment.servers["pool"]:
            server.default = stream(2)
        await asyncio.sleep(2.0)
        deadline = time.monotonic() + SPEND_S
        await asyncio.gather(*(self.spend(name, deadline) for name in TENANTS))

    async def spend(self, tenant: str, deadline: float) -> None:
        """Use up the total of one tenant."""
        for size in SIZES:
            refused = 0
            while refused < 8 and time.monotonic() < deadline:
                known = [a for each in self.addresses.values() for a in each]
                vms = [f"{vm.ip}:{vm.front}" for vm in self.deployment.vms]
                address = random.choice(known or vms)
                status = await self.use(address, tenant, size, 10)
                refused = 0 if status == 200 else refused + 1
                if status != 200:
                    await asyncio.sleep(0.25)

    def judge(self) -> int:
        """Compare what each tenant got with its total; return the exit code."""
        for tenant in TENANTS:
            excess = self.used[tenant] - PREPAID
            self.record.write(
                f"{tenant}: prepaid {PREPAID}, got {self.used[tenant]} tokens in "
                f"complete answers, {max(excess, 0)} too many"
            )
        self.record.write(f"answers by status: {dict(self.statuses)}")
        is_broken = any(self.used[tenant] > PREPAID for tenant in TENANTS)
        self.record.write("BUDGET is broken" if is_broken else "BUDGET holds")
        return 1 if is_broken else 0

    async def run(self) -> int:
        """Run the case; return the exit code."""
        deployment = self.deployment
        deployment.store.on_append = self.note_append
        deployment.store.on_conflict = self.note_conflict
        background = []
        try:
            await deployment.start({"pool": 3}, CONFIGURATION)
            for server in deployment.servers["pool"]:
                server.default = respond
            for zone in ZONES:
                for work in (self.follow_directory, self.send_requests):
                    background.append(asyncio.ensure_future(work(zone)))
            self.rates = RATES
            await asyncio.sleep(PAUSE_S)
            started = time.monotonic()
            order = itertools.cycle(deployment.vms)
            until_s = WINDOWS_UNTIL_S if has_trouble() else WINDOWS_UNTIL_S / 4
            while time.monotonic() - started < until_s:
                await self.play_window(list(itertools.islice(order, ROLLED)))
            await self.spend_rest()
            for vm in deployment.vms:
                for line in vm.log.read_text().splitlines():
                    if "tokens_adopted" in line:
                        self.record.write(f"log of {vm.name}: {line}")
            return self.judge()
        finally:
            for task in [*background, *self.tasks]:
                task.cancel()
            await deployment.stop()


def main() -> None:
    """Run the case and exit with its code."""
    stop_at_signals()
    record = Record(FOLDER)
    try:
        code = asyncio.run(Case(record).run())
    except (Exception, KeyboardInterrupt) as error:
        record.write(f"the case couldn't run: {error!r}")
        code = 2
    sys.exit(code)


if __name__ == "__main__":
    main()
