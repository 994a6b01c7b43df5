"""Series of small and large configurations on slow links and busy nodes.

Each version that the store has acknowledged has to be in force in time at each node
that reaches the store.
"""

import json
import random
import signal
import time
from datetime import datetime

from lavendershift.logs import Event
from lavendershift.platform.tests.soak.endings import SCHEDULING_S
from lavendershift.platform.tests.soak.faults import register_fault
from lavendershift.platform.tests.soak.links import TO_CALLER, TO_TARGET
from lavendershift.platform.tests.soak.schedules import run_phase
from lavendershift.platform.tests.soak.sites import publish, reload_nodes, stop_some

VERSIONS = {}
VERSION_FAULTS = {}
APPLY_S = 2.0  # time from the acknowledgement until a version is in force
TOUCH_S = 3.0  # time after a fault until a node counts as reached
LINK_BYTES_PER_S = (625_000, 1_250_000, 12_500_000)  # 5, 10 and 100 Mbit/s
ADDED_ROUTES = (0, 0, 0, 3, 40, 400, 1200)
PAUSE_S = 0.05  # longest pause of a busy node
BUSY_S = 0.25  # interval between its pauses


def prepare_versions(world):
    """Give the nodes links of several rates, and check versions at the end."""
    world.checks.append(check_versions)
    rng = random.Random(f"{world.seed}/links")
    for link in world.store_links:
        link.bytes_per_s = rng.choice(LINK_BYTES_PER_S)


@register_fault(4, 0.0, VERSIONS)
def publish_series(world, rng):
    """Publish versions in quick succession, each with other routes and timeouts."""
    added = rng.choice(ADDED_ROUTES)
    gap_s = rng.choice([0.0, 0.05, 0.2, 0.5])
    for number in range(rng.randint(2, 10)):
        publish(world, rng.choice, added + number)
        time.sleep(gap_s)


@register_fault(2, 0.0, VERSIONS)
def publish_once(world, rng):
    publish(world, rng.choice, rng.choice(ADDED_ROUTES))


@register_fault(2, 6.0, VERSIONS)
def stop_nodes(world, rng):
    return stop_some(world, rng)


@register_fault(1, 2.0, VERSIONS)
def kill_nodes(world, rng):
    running = world.list_running()
    nodes = rng.sample(running, len(running) // 3)
    for node in nodes:
        world.kill(node)
    return lambda: [world.launch(node) for node in nodes]


@register_fault(2, 4.0, VERSION_FAULTS)
def cut_links(world, rng):
    """Cut some nodes, or all, off the store."""
    count = rng.choice([1, 2, len(world.nodes)])
    cut = rng.sample(range(len(world.nodes)), count)
    links = [world.store_links[number] for number in cut]
    for link in links:
        world.call(link.hold, TO_TARGET, TO_CALLER)

    begun_at = time.monotonic()

    def undo():
        for link in links:
            world.call(link.heal)
        for number in cut:
            name = world.nodes[number].name
            world.store_cuts.append((name, begun_at, time.monotonic()))

    return undo


@register_fault(3, 4.0, VERSION_FAULTS)
def delay_links(world, rng):
    """Let packets wait at some links, as the requests of callers would."""
    links = rng.sample(world.store_links, rng.randint(1, len(world.store_links)))
    for link in links:
        link.delay_s = rng.uniform(0.05, 0.25)

    def undo():
        for link in links:
            link.delay_s = 0.0

    return undo


@register_fault(3, 4.0, VERSION_FAULTS)
def load_node(world, rng):
    """Stop a node for moments again and again, as on a busy processor."""
    node = world.choose_running(rng)
    if node is None:
        return
    process, until = node.process, time.monotonic() + rng.uniform(0.5, 2.0)
    while time.monotonic() < until and process.poll() is None:
        process.send_signal(signal.SIGSTOP)
        time.sleep(rng.uniform(0.0, PAUSE_S))
        process.send_signal(signal.SIGCONT)
        time.sleep(BUSY_S * rng.random())
    return


register_fault(1, 0.0, VERSION_FAULTS)(reload_nodes)


def run_versions(world, length_s=20.0):
    """Run series of versions beside faults."""
    start = time.monotonic()
    prepare_versions(world)
    run_phase(world, [VERSIONS, VERSION_FAULTS], length_s, gap_s=(0.1, 1.0))
    publish(world, max)
    time.sleep(APPLY_S + SCHEDULING_S)
    return [start, start, time.monotonic()]


def check_versions(world):
    """Check that each acknowledged version was in force in time at each node.

    Only versions count during which the node ran and reached the store.
    """
    for node in world.nodes:
        changes = list_changes(world, node)
        for version, at in world.acknowledged.items():
            due = at + APPLY_S + SCHEDULING_S
            if due > world.ended_at or not is_reached(world, node, at - TOUCH_S, due):
                continue
            if not any(v >= version and changed <= due for changed, v in changes):
                yield f"{node.name} had not version {version} {APPLY_S} s after its ack"


def list_changes(world, node):
    """Return the times at which versions came into force, and the versions."""
    changes = []
    for text in node.log_path.read_text().splitlines():
        if Event.CONFIGURATION_CHANGED.value in text:
            line = json.loads(text)
            at = datetime.fromisoformat(line["time"]).timestamp()
            changes.append((at - world.clock_offset, line["version"]))
    return changes


def is_reached(world, node, since, until):
    """Return whether a node ran and reached the store between two times."""
    ends = [at for name, at, *_ in [*world.stops, *world.kills] if name == node.name]
    starts = [at for name, at in world.launches if name == node.name and at < since]
    last_end = max((at for at in ends if at < until), default=float("-inf"))
    if not starts or last_end > max(starts):
        return False
    if any(since <= at <= until for at in world.disturbed[node.name]):
        return False
    return not any(
        name == node.name and begin <= until and end >= since
        for name, begin, end in world.store_cuts
    )
