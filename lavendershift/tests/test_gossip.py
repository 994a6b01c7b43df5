import asyncio
import random
from datetime import timedelta

from lavendershift.clocks import SystemClock
from lavendershift.datagrams import Datagrams
from lavendershift.gossip import Gossip
from lavendershift.serverlist import PromptPart, PromptShape, ServerEntry, ServerList
from lavendershift.tools.ports import find_ports

ENTRY = ServerEntry("s1", "index", "127.0.0.1:9", "rennes", 8, False)
PROMPT = PromptShape((PromptPart("a", 500), PromptPart("b", 100)), 600, 20)


class Node:
    """One VM's servers and gossip."""

    def __init__(self, name, port, peer_port):
        self.servers = ServerList(SystemClock(), random.Random(1), "rennes")
        self.servers.update(ENTRY)
        self.port = port
        self.datagrams = Datagrams()
        self.gossip = Gossip(
            SystemClock(),
            name,
            f"{name}/1",
            self.servers,
            lambda: [("127.0.0.1", peer_port)],
            self.datagrams,
        )
        self.servers.on_load = self.gossip.note_change

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


def test_a_vm_hears_of_the_load_and_the_prompts_of_another():
    async def work():
        ports = find_ports(2)
        one, other = Node("vm-1", *ports), Node("vm-2", *ports[::-1])
        await one.start()
        await other.start()
        silence = other.gossip.find_silence("vm-1")
        server = one.servers.find("s1")
        one.servers.start(server, PROMPT)
        heard = other.servers.find("s1")
        clock = SystemClock()
        await wait_until(lambda: heard.sum_load(clock.elapsed()).in_flight == 1)
        result = (
            silence,
            heard.sum_load(clock.elapsed()).unread_tokens,
            heard.count_unread(PROMPT),
            other.gossip.find_silence("vm-1") < timedelta(seconds=5),
        )
        one.stop()
        other.stop()
        return result

    assert asyncio.run(work()) == (None, 600, 0, True)
