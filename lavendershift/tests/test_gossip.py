import asyncio
import random
from datetime import timedelta

from lavendershift.clocks import SystemClock
from lavendershift.datagrams import Datagrams
from lavendershift.gossip import Gossip
from lavendershift.serverlist import ServerList
from lavendershift.serverstates import PromptPart, PromptShape, ServerEntry
from lavendershift.tools.ports import find_ports

ENTRY = ServerEntry("s1", "index", "127.0.0.1:9", "rennes", 8, False)
PROMPT = PromptShape((PromptPart("a", 500), PromptPart("b", 100)), 600, 20)


class Node:
    """The server list and the gossip of one VM."""

    def __init__(self, name, port, peer_port, is_active=True, knows_peers=True):
        self.servers = ServerList(SystemClock(), random.Random(1), "rennes")
        self.servers.update(ENTRY)
        self.port = port
        self.datagrams = Datagrams()
        self.gossip = Gossip(
            SystemClock(),
            name,
            f"{name}/1",
            self.servers,
            lambda: [("127.0.0.1", peer_port)] if knows_peers else [],
            lambda: [("127.0.0.1", peer_port)] if is_active else [],
            self.datagrams,
        )
        self.servers.on_load_change = self.gossip.note_change

    async def start(self):
        await self.datagrams.listen("127.0.0.1", self.port)
        self.task = asyncio.ensure_future(self.gossip.run())

    def stop(self):
        self.task.cancel()
        self.datagrams.close()


async def wait_until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


def test_a_vm_receives_the_load_and_the_prompt_parts_of_another():
    async def work():
        ports = find_ports(2)
        one, other = Node("vm-1", *ports), Node("vm-2", *ports[::-1])
        await one.start()
        await other.start()
        silence = other.gossip.find_silence("vm-1")
        server = one.servers.find("s1")
        one.servers.start(server, PROMPT)
        known = other.servers.find("s1")
        clock = SystemClock()
        await wait_until(lambda: known.sum_load(clock.elapsed()).in_flight == 1)
        result = (
            silence,
            known.sum_load(clock.elapsed()).unread_tokens,
            known.count_unread(PROMPT),
            other.gossip.find_silence("vm-1") < timedelta(seconds=5),
        )
        one.stop()
        other.stop()
        return result

    assert asyncio.run(work()) == (None, 600, 0, True)


async def measure_silence(sender, listener, name):
    """Run two VMs for 1.2 s; return the time since the last datagram of ``name``."""
    await sender.start()
    await listener.start()
    await asyncio.sleep(1.2)
    silence = listener.gossip.find_silence(name)
    sender.stop()
    listener.stop()
    return silence


def test_an_active_vm_sends_heartbeats_and_a_standby_vm_does_not():
    async def work(is_active):
        ports = find_ports(2)
        sender = Node("vm-1", *ports, is_active=is_active)
        listener = Node("vm-2", *ports[::-1], is_active=False)
        return await measure_silence(sender, listener, "vm-1")

    assert asyncio.run(work(is_active=True)) < timedelta(seconds=1)
    assert asyncio.run(work(is_active=False)) is None


def test_a_vm_that_reports_load_receives_the_load_of_others():
    """Otherwise a standby VM would balance its requests by its own load alone."""

    async def work():
        ports = find_ports(2)
        standby = Node("vm-1", *ports, is_active=False, knows_peers=False)
        other = Node("vm-2", *ports[::-1], is_active=False)
        await standby.start()
        await other.start()
        known = other.servers.find("s1")
        standby.servers.start(standby.servers.find("s1"), PROMPT)
        other.servers.start(known, PROMPT)
        clock = SystemClock()
        await wait_until(lambda: known.sum_load(clock.elapsed()).in_flight == 2)
        standby.stop()
        other.stop()

    asyncio.run(work())
