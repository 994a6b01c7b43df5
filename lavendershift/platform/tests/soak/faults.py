"""Faults and planned operations of the soak test.

Each function is registered by a decorator. It injects its fault and returns a
function that ends it, or None if there is nothing to undo.
"""

import signal
import time
from typing import NamedTuple

from lavendershift.platform import names
from lavendershift.platform.tests.soak.links import TO_CALLER, TO_TARGET
from lavendershift_standins import platformserver

FAULTS = {}
PLANNED = {}
WHOLE_STREAM = platformserver.stream(8, pause_s=0.01)


class FaultKind(NamedTuple):
    """A fault: its weight, its maximum duration in seconds and its function."""

    weight: float
    max_duration_s: float
    inject: object


def register_fault(weight, max_duration_s, registry=FAULTS):
    """Register a function that takes the world and a random generator."""

    def register(function):
        registry[function.__name__] = FaultKind(weight, max_duration_s, function)
        return function

    return register


@register_fault(2, 5.0)
def pause_node(world, rng):
    node = world.choose_running(rng)
    if node is None:
        return None
    world.record_disturbance(node)
    node.signal(signal.SIGSTOP)
    return lambda: world.signal_if_running(node, signal.SIGCONT)


@register_fault(3, 1.5)
def kill_node(world, rng):
    node = world.choose_running(rng)
    if node is None:
        return None
    world.kill(node)
    return lambda: world.launch(node)


@register_fault(0.5, 1.0)
def kill_all(world, rng):
    nodes = [node for node in world.nodes if node.is_running]
    for node in nodes:
        world.kill(node)
    return lambda: [world.launch(node) for node in nodes]


@register_fault(1.5, 12.0, FAULTS)
def replace_node(world, rng):
    return stop_node(world, rng)


@register_fault(2, 12.0, PLANNED)
def stop_node(world, rng):
    node = world.choose_running(rng)
    if node is None or len(world.list_running()) < 2:
        return None
    world.terminate(node)
    return lambda: world.launch(node)


@register_fault(2, 0.0, PLANNED)
def reload_node(world, rng):
    node = world.choose_running(rng)
    # SIGHUP ends a process that has not installed its handlers yet.
    if node is not None and node.process.poll() is None and node.handles(signal.SIGHUP):
        world.signal_if_running(node, signal.SIGHUP)


@register_fault(1, 0.0)
def reload_node_twice(world, rng):
    reload_node(world, rng)
    reload_node(world, rng)


@register_fault(2, 0.0, PLANNED)
def change_configuration(world, rng):
    world.change_configuration(rng)


@register_fault(1.5, 0.0)
def change_configuration_thrice(world, rng):
    for _ in range(3):
        world.change_configuration(rng)


@register_fault(1, 4.0, PLANNED)
def drain_server(world, rng):
    server = rng.choice(world.servers["ledger"])
    if len(world.list_unusable("ledger")) >= 2:
        return None
    world.drain(server)
    return lambda: world.undrain(server)


@register_fault(3, 8.0, PLANNED)
def announce_leaving(world, rng):
    """Announce a server's departure in its responses only, then restart it."""
    service = rng.choice(list(world.servers))
    server = rng.choice(world.servers[service])
    if world.list_unusable(service):
        return None
    world.announce_leaving(server)
    return lambda: world.restart_server(server)


@register_fault(2, 8.0)
def announce_leaving_during_faults(world, rng):
    return announce_leaving(world, rng)


@register_fault(4, 16.0, PLANNED)
def name_limit(world, rng):
    """Let one server name a limit for the requests of all nodes."""
    service = rng.choice(list(world.servers))
    if world.list_unusable(service):
        return None
    server = rng.choice(world.servers[service])
    world.name_limit(server, rng.choice([0.0, 1.2, 4.0, 9.5]))
    return lambda: world.end_limit(server)


@register_fault(4, 16.0)
def name_limits_during_faults(world, rng):
    """Let any number of servers of a service name limits."""
    service = rng.choice(list(world.servers))
    servers = [s for s in world.servers[service] if s.name not in world.limiting]
    chosen = rng.sample(servers, rng.randint(0, len(servers)))
    for server in chosen:
        world.name_limit(server, rng.choice([0.0, 1.2, 4.0, 9.5]))
    return lambda: [world.end_limit(server) for server in chosen]


@register_fault(8, 20.0)
def send_deadly_prompts(world, rng):
    """Let a part of the callers' prompts crash each server that responds to it."""
    if world.sent_part:
        return None
    world.send_deadly_part(rng.choice(list(platformserver.CrashOutput)))

    def undo():
        world.sent_part = ""

    return undo


@register_fault(2, 0.0)
def request_pause(world, rng):
    server = rng.choice(world.servers[rng.choice(list(world.servers))])
    world.request_pause(server, rng.uniform(0.8, 3.0))


@register_fault(4, 4.0)
def cut_store_link(world, rng):
    link = rng.choice(world.store_links)
    ways = ["hold", "to target", "to caller", "delay", "refuse", "blackhole", "break"]
    way = rng.choice(ways)
    if way == "hold":
        world.call(link.hold, TO_TARGET, TO_CALLER)
    elif way == "break":
        break_between_bytes(world, link, rng)
    elif way in (TO_TARGET, TO_CALLER):
        world.call(link.hold, way)
    elif way == "delay":
        link.delay_s = rng.uniform(0.05, 0.6)
    elif way == "blackhole":
        world.call(link.blackhole)
    else:
        link.is_refusing = True
        world.call(link.reset)
    return lambda: world.call(link.heal)


def break_between_bytes(world, link, rng):
    """Forward data in small pieces and break ``link`` after some bytes."""
    link.piece_bytes = rng.choice([3, 10, 100])
    ways = [(link.hold, TO_CALLER), (link.blackhole,), (link.reset,)]
    count = rng.randint(1, 3000)  # bytes: from part of a head to tens of responses
    world.call(link.break_after, count, *rng.choice(ways))


@register_fault(1, 4.0)
def cut_all_store_links(world, rng):
    for link in world.store_links:
        world.call(link.hold, TO_TARGET, TO_CALLER)
    return lambda: [world.call(link.heal) for link in world.store_links]


@register_fault(3, 3.0)
def cut_server_link(world, rng):
    name, link = rng.choice(list(world.server_links.items()))
    way = rng.choice(["hold", "delay", "reset", "refuse", "blackhole"])
    undo = record_cut(world, name, link)
    if way == "hold":
        world.call(link.hold, rng.choice([TO_TARGET, TO_CALLER]))
    elif way == "delay":
        link.delay_s = rng.uniform(0.01, 0.3)
    elif way == "refuse":
        link.is_refusing = True
    elif way == "blackhole":
        world.call(link.blackhole)
    else:
        world.call(link.reset)
    return undo


@register_fault(4, 3.0)
def break_server_link(world, rng):
    service = rng.choice(["pool", "pool", "ledger"])  # streams come from the pool
    name = rng.choice(world.servers[service]).name
    link = world.server_links[name]
    undo = record_cut(world, name, link)
    break_between_bytes(world, link, rng)
    return undo


def record_cut(world, name, link):
    """Record the time of a fault of a server's link; return a function to end it."""
    cut = [name, time.monotonic(), float("inf")]
    world.cuts.append(cut)

    def undo():
        cut[2] = time.monotonic()
        world.call(link.heal)

    return undo


@register_fault(1.5, 3.0)
def make_store_unavailable(world, rng):
    field = rng.choice(["is_unavailable", "is_silent"])
    setattr(world.store, field, True)
    return lambda: setattr(world.store, field, False)


@register_fault(2, 4.0)
def lose_store_responses(world, rng):
    world.store.lost_response_share = rng.uniform(0.1, 0.5)
    return lambda: setattr(world.store, "lost_response_share", 0.0)


@register_fault(1, 0.0)
def expire_records(world, rng):
    topic = rng.choice([names.GRANTS_TOPIC, names.OPERATOR_TOPIC, names.SERVERS_TOPIC])
    for part in range(4):
        world.call(world.store.state.expire, topic, part)


@register_fault(2, 4.0)
def restore_store(world, rng):
    """Restore the store from a copy, after which its writers write again."""
    copy = world.call(world.store.state.copy)

    def undo():
        world.call(world.store.restore, copy)
        world.configure()
        world.write_server_entries()

    return undo


@register_fault(5, 0.0)
def script_faulty_responses(world, rng):
    service = rng.choice(["pool", "ledger"])
    server = rng.choice(world.servers[service])
    behaviours = [
        platformserver.answer_not_run,
        platformserver.answer_error,
        platformserver.answer_misdirected,
        platformserver.answer_other_request_first,
        platformserver.reset,
        platformserver.send_invalid_http,
        platformserver.keep_silent,
    ]
    if service == "pool":
        behaviours += [platformserver.stream(8, 0.01, cut_after=n) for n in (0, 3, 7)]
        behaviours += [make_broken_stream(rng) for _ in range(8)]
    else:
        behaviours += [platformserver.answer_with_extra]
        behaviours += [platformserver.answer_unframed(False)]
    for _ in range(rng.randint(1, 4)):
        server.script.append(rng.choice(behaviours))


def make_broken_stream(rng):
    """Return a stream that ends or stalls in the middle of an event."""
    after = rng.randint(0, 7)
    partial = rng.randint(1, len(platformserver.make_event(after + 1)) - 1)
    ways = {
        platformserver.keep_silent: True,
        platformserver.reset: True,
        platformserver.send_last_chunk: True,
        platformserver.close: False,
    }
    cut = rng.choice(list(ways))
    return platformserver.stream(8, 0.01, after, partial, cut, ways[cut])


@register_fault(3, 3.0)
def resume_incorrectly(world, rng):
    """Truncate streams of one server, and let all resume them incorrectly."""
    servers = world.servers["pool"]
    resumed = rng.choice(
        [
            platformserver.answer_complete,
            platformserver.answer_with_media_type(200, "application/json"),
            platformserver.answer_with_media_type(200, "text/plain"),
            platformserver.answer_with_media_type(206, "text/event-stream"),
            platformserver.ignore_last_event_id(WHOLE_STREAM),
        ]
    )
    for server in servers:
        server.default = platformserver.stream(8, 0.01, resumed=resumed)
    breaking = rng.choice(servers)
    breaking.script += [make_broken_stream(rng) for _ in range(rng.randint(2, 6))]

    def undo():
        for server in servers:
            server.default = WHOLE_STREAM

    return undo
