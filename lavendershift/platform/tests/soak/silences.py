"""Silences of the soak test: sound servers that send nothing for a time."""

import time

from lavendershift.platform.tests.soak.faults import WHOLE_STREAM, register_fault
from lavendershift_standins import silences
from lavendershift_standins.platformserver import answer_complete

SILENCES = {}
LONG_SILENCES = {}
SILENCE_S = (0.5, 2.0)  # durations of silences after which a server goes on


@register_fault(3, 0.0, SILENCES)
def silence_server(world, rng):
    service = rng.choice(list(world.servers))
    fall_silent(world, [rng.choice(world.servers[service])], rng)


@register_fault(2, 0.0, SILENCES)
def silence_some_servers(world, rng):
    servers = [server for listed in world.servers.values() for server in listed]
    fall_silent(world, rng.sample(servers, rng.randint(2, len(servers) - 1)), rng)


@register_fault(2, 0.0, SILENCES)
def silence_service(world, rng):
    fall_silent(world, world.servers[rng.choice(list(world.servers))], rng)


def fall_silent(world, servers, rng):
    """Silence all of the servers that aren't silent yet for the same time."""
    seconds = rng.uniform(*SILENCE_S)
    for server in servers:
        if server.crashed_at is None and not server.is_silent:
            world.call(server.fall_silent, seconds)


@register_fault(4, 0.0, SILENCES)
def script_silent_responses(world, rng):
    """Let a server fall silent once within each of its next responses."""
    service = rng.choice(list(world.servers))
    server = rng.choice(world.servers[service])
    for _ in range(rng.randint(1, 4)):
        behaviour = choose_silence(world, server, service, rng)
        world.sound.add(behaviour)
        server.script.append(behaviour)


def choose_silence(world, server, service, rng):
    """Return a whole response with a silence, which records its time."""
    points = [silences.before_head, silences.after_head, silences.before_end]
    if service == "pool":
        after, partial = rng.randint(0, 7), rng.randint(1, 19)
        points += [silences.after_events(after + 1)] * 2
        points += [silences.within_event(after, partial)] * 2
    else:
        points += [silences.within_body(rng.randint(1, 5))]
    whole = WHOLE_STREAM if service == "pool" else answer_complete
    silent = silences.fall_silent(rng.uniform(*SILENCE_S), rng.choice(points), whole)

    async def behave(received, writer):
        start = time.monotonic()
        try:
            await silent(received, writer)
        finally:
            world.scripted_silences[server.name].append((start, time.monotonic()))

    return behave


@register_fault(2, 8.0, LONG_SILENCES)
def silence_for_good(world, rng):
    """Silence a server for longer than any request lasts, as if it had hung."""
    server = rng.choice(world.servers[rng.choice(list(world.servers))])
    if server.crashed_at is not None or server.is_silent:
        return None
    world.call(server.fall_silent)
    return lambda: world.call(server.go_on)
