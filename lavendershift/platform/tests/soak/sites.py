"""Planned operations, silences and callers of a whole site.

Servers are sound but slow, so that requests last for seconds, and nothing fails but
what a resumed stream meets: each request has to end with an answer or a refusal.
"""

import asyncio
import signal
import threading
import time
import zlib

from lavendershift.platform.tests.soak.callers import Caller
from lavendershift.platform.tests.soak.faults import WHOLE_STREAM, register_fault
from lavendershift.platform.tests.soak.links import TO_CALLER, TO_TARGET
from lavendershift.platform.tests.soak.silences import SILENCE_S
from lavendershift.platform.tests.soak.world import DEFAULT_ROUTES
from lavendershift_standins import silences
from lavendershift_standins.platformserver import answer_complete, reset, stream

SITE = {}
SITE_SILENCES = {}
EVENTS = 8
EVENT_PAUSES_S = (0.02, 0.05, 0.1, 0.3, 0.6, 0.8)  # between the events of a stream
WORK_S = (0.05, 0.1, 0.2, 0.5, 1.5, 6.0)  # until plain servers respond
TIMEOUTS_S = {"index": (1.5, 3.0, 8.0), "record": (1.0, 2.5, 8.0), "read": (1.0, 8.0)}
IDLE_TIMEOUTS_MS = (500, 2000, 15_000)


class SiteCaller(Caller):
    """Sends some requests slowly, reads some responses late.

    Half of the callers keep addresses, and connections to them, for the whole stop of
    a node.
    """

    pause_s = 0.5
    deadlines_s = dict.fromkeys(TIMEOUTS_S, 9.0)

    def __init__(self, number, rng, world):
        super().__init__(number, rng, world)
        self.ttl_s = 1.0 if number % 2 else 15.0

    def _call(self, node):
        call = super()._call(node)
        if call.whole_at is None:
            self._addresses.discard(f"{node.ip}:{node.callers}")
        return call

    def _make_body(self):
        if self._rng.random() > 0.1:
            return b"question"
        return self._send_slowly(self._rng.uniform(0.1, 2.5))

    def _send_slowly(self, seconds):
        yield b"ques"
        time.sleep(seconds)
        yield b"tion"

    def _wait_before_reading(self):
        if self._rng.random() < 0.1:
            time.sleep(self._rng.uniform(0.1, 1.0))


async def stream_slowly(received, writer):
    """Send a complete stream with pauses that depend on the request."""
    await stream(EVENTS, choose_by_id(received, EVENT_PAUSES_S))(received, writer)


async def answer_slowly(received, writer):
    """Send a complete response after a time that depends on the request."""
    await asyncio.sleep(choose_by_id(received, WORK_S))
    await answer_complete(received, writer)


def choose_by_id(received, choices):
    """Choose the same for all attempts of a request."""
    return choices[zlib.crc32(received.id.encode()) % len(choices)]


def prepare_site(world):
    """Let the servers work as long as those of a site."""
    world.sound |= {stream_slowly, answer_slowly}
    for service, behaviour in (("pool", stream_slowly), ("ledger", answer_slowly)):
        for server in world.servers[service]:
            server.default = behaviour


def stop_some(world, rng):
    """Stop up to a third of the nodes; return a function that starts them again."""
    running = world.list_running()
    count = rng.randint(1, max(1, len(world.nodes) // 3))
    nodes = rng.sample(running, min(count, max(0, len(running) - 2)))
    for node in nodes:
        process = node.process
        world.terminate(node)
        if rng.random() < 0.4:
            start_timer(rng.uniform(0.05, 6.0), process.send_signal, signal.SIGTERM)
    return lambda: [start_timer(0.0, world.launch, node) for node in nodes]


def start_timer(seconds, function, argument):
    """Call a function in a thread of its own."""
    timer = threading.Timer(seconds, function, [argument])
    timer.daemon = True
    timer.start()


@register_fault(3, 9.0, SITE)
def stop_nodes(world, rng):
    return stop_some(world, rng)


@register_fault(4, 9.0, SITE)
def stop_nodes_beside_the_store(world, rng):
    """Stop nodes while the store is silent, refuses or responds slowly."""
    undo_store = disturb_store(world, rng)
    time.sleep(rng.uniform(0.0, 0.5))
    undo_stop = stop_some(world, rng)

    def undo():
        undo_store()
        undo_stop()

    return undo


@register_fault(2, 5.0, SITE)
def disturb_store(world, rng):
    """Let the store be silent, refuse calls or respond slowly, to some nodes or all."""
    if rng.random() < 0.5:
        field = rng.choice(["is_unavailable", "is_silent"])
        setattr(world.store, field, True)
        return lambda: setattr(world.store, field, False)
    links = rng.sample(world.store_links, rng.randint(1, len(world.store_links)))
    delay_s = rng.choice([0.0, rng.uniform(0.1, 0.7)])
    for link in links:
        link.delay_s = delay_s
        if not delay_s:
            world.call(link.hold, TO_TARGET, TO_CALLER)
    return lambda: [world.call(link.heal) for link in links]


@register_fault(3, 0.0, SITE)
def reload_nodes(world, rng):
    for node in rng.sample(world.nodes, rng.randint(1, len(world.nodes))):
        is_alive = node.is_running and node.process.poll() is None
        if is_alive and node.handles(signal.SIGHUP):
            world.signal_if_running(node, signal.SIGHUP)


@register_fault(6, 0.0, SITE)
def change_timeouts(world, rng):
    publish(world, rng.choice)


@register_fault(2, 0.0, SITE)
def add_routes(world, rng):
    publish(world, rng.choice, rng.choice([20, 300]))


@register_fault(2, 0.0, SITE)
def change_configuration_often(world, rng):
    for _ in range(rng.randint(4, 8)):
        publish(world, rng.choice)
        time.sleep(rng.uniform(0.1, 0.4))


def end_site(world):
    """Let servers respond at once, and requests last as long as they may."""
    for server in world.servers["pool"]:
        server.default = WHOLE_STREAM
    for server in world.servers["ledger"]:
        server.default = answer_complete
    publish(world, max)


def publish(world, choose, added=0):
    """Publish a configuration with other timeouts and ``added`` more routes."""
    routes = [
        route | {"timeout_ms": 1000 * choose(TIMEOUTS_S[route["name"]])}
        for route in DEFAULT_ROUTES
    ]
    more = [
        routes[0] | {"name": f"more-{n}", "path_prefix": f"/more-{n}/"}
        for n in range(added)
    ]
    limits = {"idle_timeout_ms": choose(IDLE_TIMEOUTS_MS)}
    world.version += 1
    world.changes = {"routes": routes + more, "limits": limits}
    world.configure()


@register_fault(3, 8.0, SITE_SILENCES)
def delay_resumed_streams(world, rng):
    """Let all servers send the head of a resumed stream, then fall silent or fail.

    So do servers that queue a prompt after the head, or end while they read it.
    """
    servers = world.servers["pool"]
    for server in servers:
        seconds = rng.uniform(*SILENCE_S)
        fails = rng.random() < 0.5
        resumed = silences.fall_silent(seconds, silences.after_head, stream_slowly)
        if fails:
            resumed = stream(EVENTS, cut_after=0, partial=0, cut=fail_after(seconds))
        server.default = choose_by_event(stream_slowly, resumed)
        world.sound.add(server.default)
        if fails:
            world.fails_resumed.add(server.default)

    def undo():
        for server in servers:
            server.default = stream_slowly

    return undo


def fail_after(seconds):
    """Reset the connection after ``seconds``."""

    async def behave(received, writer):
        await asyncio.sleep(seconds)
        await reset(received, writer)

    return behave


def choose_by_event(whole, resumed):
    """Respond like ``resumed`` to requests with a ``Last-Event-Id``."""

    async def behave(received, writer):
        is_resumed = "last-event-id" in received.headers
        await (resumed if is_resumed else whole)(received, writer)

    return behave
