"""Clients of the soak test that send nearly all of a request, or read nothing."""

import contextlib
import threading

from lavendershift.platform.tests.misbehavingclients import (
    Clients,
    send_chunks,
    send_part_of_head,
    send_pipelined,
    send_short_fields,
    send_whole,
)
from lavendershift.platform.tests.soak.faults import register_fault

MISBEHAVIOURS = {}
GROUPS = (send_whole, send_chunks, send_short_fields, send_pipelined, send_part_of_head)
PATHS = ("/record/a", "/nowhere/")
MAX_CLIENTS = 16  # with whole bodies, more than a VM with 160 MB takes at once


@register_fault(6, 4.0, MISBEHAVIOURS)
def misuse_node(world, rng):
    """Let a small group of clients misbehave at one port of a node."""
    make_message, path = rng.choice(GROUPS), rng.choice(PATHS)
    if make_message is send_pipelined:
        path = "/nowhere/"  # complete requests without an id would reach servers
    count = rng.randint(1, MAX_CLIENTS)
    node = world.choose_running(rng)
    port = rng.choice(("callers", "callers", "ready", "directory"))
    if node is None:
        return None
    thread = threading.Thread(
        target=run_clients, args=(node, getattr(node, port), make_message(path), count)
    )
    thread.daemon = True
    thread.start()
    return thread.join


def run_clients(node, port, message, count):
    with contextlib.suppress(OSError):  # the node has stopped
        clients = Clients(node.ip, port, [message] * count)
        try:
            clients.run()
        finally:
            clients.close()
