"""Servers that restart at their address under another id, or send refusals twice."""

import random
from functools import partial

from lavendershift.platform.tests.soak.callers import Caller
from lavendershift.platform.tests.soak.faults import (
    PLANNED,
    drain_server,
    register_fault,
)
from lavendershift_standins import refusalcopies
from lavendershift_standins.platformserver import (
    Refusal,
    answer_misdirected,
    answer_not_run,
    refuse_nothing,
)

RESTARTS = {"drain_server": PLANNED[drain_server.__name__]}
OLD_ENTRY_S = 3.0  # longest time for which an old id stays listed
REFUSALS = (answer_not_run, answer_misdirected, Refusal(429), Refusal(408))
AT_NEXT_REQUEST = float("inf")
MAX_COPY_DELAY_S = 0.5
# How often copies equal their refusals, lack an id or are cut off.
COPY_CHANGES = {
    refusalcopies.keep_whole: 2,
    refusalcopies.remove_id: 1,
    refusalcopies.cut_in_head: 1,
}
ONCE_ROUTE = {
    "name": "once",
    "host": "books.example",
    "path_prefix": "/once/",
    "kind": "streaming",
    "timeout_ms": 5000,
    "target_latency_ms": 400,
    "service": "pool",
}


class OnceCaller(Caller):
    """Caller that sends mainly requests that may run once at most."""

    kind_weights = {"record": 6, "once": 3, "index": 2, "read": 1}


@register_fault(8, 2.0, RESTARTS)
def restart_server_under_another_id(world, rng):
    """Restart a server at its address, where its old id stays listed for a time."""
    server = rng.choice(world.servers[rng.choice(list(world.servers))])
    if not world.call(crash_for_replacement, world, server):
        return None
    return partial(restart, world, [server], rng)


@register_fault(2, 2.0, RESTARTS)
def exchange_addresses(world, rng):
    """Restart a server of each service at the address of the other."""
    chosen = [rng.choice(servers) for servers in world.servers.values()]
    crashed = [s for s in chosen if world.call(crash_for_replacement, world, s)]
    return partial(restart, world, crashed, rng) if crashed else None


def crash_for_replacement(world, server):
    """Crash a running server, in the loop of the stand-ins; return whether it ran."""
    if server.crashed_at is not None:
        return False
    world.replaced.add(server)
    # Another process may listen on the port meanwhile; none does on port 0.
    world.server_links[server.name].target_port = 0
    server.go_on()
    server.crash()
    return True


def restart(world, servers, rng):
    """Restart servers under other ids, each one at the address of the next."""
    with world.lock:
        for server in servers:
            name = f"{server.name.partition('-r')[0]}-r{len(world.restarts)}"
            world.rename_server(server, name, rng.uniform(0.0, OLD_ENTRY_S))
            server.checks_name = True
        cut = {name for name, _, end in world.cuts if end == float("inf")}
        if cut.isdisjoint(server.name for server in servers):
            links = [world.server_links[server.name] for server in servers]
            for server, link in zip(servers, [*links[1:], *links[:1]], strict=True):
                world.server_links[server.name] = link
        for server in servers:
            server.crashed_at = None
            world.thread.run(server.start())
            world.server_links[server.name].target_port = server.port
            world.replaced.discard(server)
        world.write_server_entries()


@register_fault(5, 6.0, RESTARTS)
def repeat_refusals(world, rng):
    """Let the servers of a service refuse requests, and send refusals twice."""
    servers = world.servers[rng.choice(list(world.servers))]
    share, copied = rng.uniform(0.1, 0.4), rng.uniform(0.5, 1.0)
    rng_copies = random.Random(rng.random())  # for the loop of the stand-ins

    def choose_refusal():
        return rng_copies.choice(REFUSALS) if rng_copies.random() < share else None

    def choose_delay():
        if rng_copies.random() > copied:
            return None
        delay_s = rng_copies.uniform(0.0, MAX_COPY_DELAY_S)
        return rng_copies.choice([AT_NEXT_REQUEST] * 2 + [0.1 * delay_s, delay_s])

    def change_copy(refusal):
        changes = list(COPY_CHANGES)
        return rng_copies.choices(changes, COPY_CHANGES.values())[0](refusal)

    for server in servers:
        server.choose_refusal = choose_refusal
        server.choose_copy_delay, server.change_copy = choose_delay, change_copy

    def undo():
        for server in servers:
            if server.choose_refusal is choose_refusal:  # no later fault has set it
                server.choose_refusal = refuse_nothing
                server.choose_copy_delay = refusalcopies.send_no_copy

    return undo
