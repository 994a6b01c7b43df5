"""Tokens are returned without a lease snapshot after the answer to one was lost."""

import asyncio
import importlib
import json
import signal
import sys
import time
from pathlib import Path

from review.standins.deployment import Record, has_trouble, stop_at_signals
from review.standins.vms import Vm

# Callers, totals and the judgement are those of the other case.
shared = importlib.import_module("review.2.case")

FOLDER = Path(__file__).parent
TENANTS = ["desk-0"]
shared.TENANTS = TENANTS
shared.LONG_SHARE = 0.0  # no long answers
shared.EVENT_PAUSE_S = 0.02  # a stream takes 0.1 s
CONFIGURATION = shared.CONFIGURATION | {
    "tenants": [t for t in shared.CONFIGURATION["tenants"] if t["name"] in TENANTS]
}
ZONES = {"rennes": [1, 2, 3], "quimper": [1, 2, 3], "brest": [1, 2]}
RATES = {"rennes": 2.0, "quimper": 2.0, "brest": 2.0}  # requests/s of callers
LOST_SHARE, LOST_S = 0.35, 3.2  # share of the store's lost answers, and for how long
LOST_AT_S = 0.5  # from the start of the processes
FIRST_PART = 4_000_000  # tokens that are used before the first trial
STARTS_UNTIL_S = 80.0  # time from which no more starts are played
PAUSE_S = 1.0
LEAST_RETURN = 200_000  # tokens of a return after which a VM is killed


class LostAnswers(shared.Case):  # type: ignore[misc, name-defined]
    """Starts all VMs while answers of the store are lost."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.deployment = shared.Deployment(record, ZONES, shared.PARTS)
        self.unanswered: set[str] = set()
        self.has_killed = False

    def note_lost(
        self, topic: str, part: int, records: list[tuple[bytes, bytes]]
    ) -> None:
        """Note the lost answer to a lease snapshot of a VM."""
        if topic == "keyed.passbooks":
            self.unanswered.add(records[0][0].decode())

    def note_append(
        self, topic: str, part: int, records: list[tuple[bytes, bytes]], offset: int
    ) -> None:
        """Watch for a VM that returns tokens after a snapshot without an answer."""
        if topic == "keyed.passbooks":
            self.unanswered.discard(records[0][0].decode())
        if topic != "keyed.grants":
            return
        for key, value in records:
            customer, quota = key.decode(), json.loads(value)
            name = quota["change"].split("/")[0]
            returned = self.granted.get(customer, 0) - quota["granted"]
            self.granted[customer] = quota["granted"]
            if returned >= LEAST_RETURN and name in self.unanswered:
                text = f"{name} returned {returned} tokens of {customer}"
                self.record.write(f"{text} after a lease snapshot without an answer")
                if self.victim is not None and not self.victim.done():
                    self.victim.set_result(self.deployment.find_vm(name))

    async def use_first_part(self) -> None:
        """Start all VMs, and use a part of the total without any disruption."""
        for vm in self.deployment.vms:
            await vm.start()
        for vm in self.deployment.vms:
            await vm.wait_ready()
        addresses = [f"{vm.ip}:{vm.front}" for vm in self.deployment.vms]
        while self.used[TENANTS[0]] < FIRST_PART:
            status = await self.use(addresses[0], TENANTS[0], 200_000, 25)
            await asyncio.sleep(0 if status == 200 else 0.25)
        self.record.write(f"{self.used[TENANTS[0]]} tokens are used")

    async def play_start(self) -> None:
        """Play the first seconds after a start, and kill a VM that returns tokens."""
        store = self.deployment.store
        self.victim = asyncio.get_running_loop().create_future()
        self.unanswered.clear()
        for vm in self.deployment.vms:
            await vm.start()
        await asyncio.sleep(LOST_AT_S)
        if has_trouble():
            store.lost_share = LOST_SHARE
            self.record.write(f"{LOST_SHARE} of the answers to appends are lost")
        watching = asyncio.ensure_future(self.kill_victim())
        await asyncio.sleep(LOST_S)
        store.lost_share = 0.0
        self.record.write("all answers arrive")
        await asyncio.sleep(PAUSE_S)
        watching.cancel()
        for vm in self.deployment.vms:
            await vm.wait_ready()

    async def kill_victim(self) -> None:
        """Kill the first VM that is found, and start its next process."""
        if has_trouble():
            victim: Vm = await self.victim
            victim.send(signal.SIGKILL)
            self.record.write(f"{victim.name} is killed")
            self.has_killed = True
            task = asyncio.ensure_future(self.restart(victim))
            self.tasks.add(task)

    async def run(self) -> int:
        """Run the case; return the exit code."""
        deployment = self.deployment
        deployment.store.on_append = self.note_append
        deployment.store.on_lost = self.note_lost
        background = []
        try:
            await deployment.prepare({"pool": 3}, CONFIGURATION)
            for server in deployment.servers["pool"]:
                server.default = shared.respond
            for zone in ZONES:
                for work in (self.follow_directory, self.send_requests):
                    background.append(asyncio.ensure_future(work(zone)))
            await self.use_first_part()
            self.rates = RATES
            started = time.monotonic()
            until_s = STARTS_UNTIL_S if has_trouble() else STARTS_UNTIL_S / 5
            while time.monotonic() - started < until_s and not self.has_killed:
                self.record.write("all VMs are stopped with SIGTERM")
                await asyncio.gather(*(vm.stop() for vm in deployment.vms))
                await self.play_start()
            await self.spend_rest()
            self.record_adoptions()
            return self.judge()
        finally:
            for task in [*background, *self.tasks]:
                task.cancel()
            await deployment.stop()

    def record_adoptions(self) -> None:
        """Write down the adoptions that the VMs have logged."""
        for vm in self.deployment.vms:
            for line in vm.log.read_text().splitlines():
                if "tokens_adopted" in line:
                    self.record.write(f"log of {vm.name}: {line}")


def main() -> None:
    """Run the case and exit with its code."""
    stop_at_signals()
    record = Record(FOLDER)
    try:
        code = asyncio.run(LostAnswers(record).run())
    except (Exception, KeyboardInterrupt) as error:
        record.write(f"the case couldn't run: {error!r}")
        code = 2
    sys.exit(code)


if __name__ == "__main__":
    main()
