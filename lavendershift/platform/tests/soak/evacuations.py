"""Evacuations of a failure domain in the soak test, and their check."""

import time

from lavendershift.platform import names
from lavendershift.platform.tests.soak.faults import register_fault

EVACUATIONS = {}
DOMAIN = "brest"  # failure domain of one server of each service
KEY = names.EVACUATION_PREFIX + DOMAIN.encode()
APPLY_S = 2.0  # time until nodes stop using the servers, without faults of the store


@register_fault(1, 9.0, EVACUATIONS)
def evacuate_domain(world, rng):
    if world.evacuated_since is not None or any(
        map(world.list_unusable, world.servers)
    ):
        return None
    world.append(names.OPERATOR_TOPIC, [(KEY, b"{}")])
    world.evacuated_since = time.monotonic()

    def undo():
        world.evacuations.append((world.evacuated_since, time.monotonic()))
        world.append(names.OPERATOR_TOPIC, [(KEY, b"")])
        world.evacuated_since = None

    return undo


def is_evacuable(world, server):
    """Whether a server is in the failure domain that is evacuated at times."""
    return any(servers[-1] is server for servers in world.servers.values())


def check_evacuations(world, calls, starts):
    """Check that in the planned phase an evacuated server gets no request.

    The time at which the server received it counts: a request that a caller sent during
    an evacuation may reach the server after its end, as a stream that is resumed does.
    """
    calls_by_id = {each.id: each for each in calls}
    for servers in world.servers.values():
        for received in servers[-1].received:
            each = calls_by_id.get(received.id)
            if each is None or each.sent_at >= starts[1]:
                continue
            for start, end in world.evacuations:
                if start + APPLY_S < received.at < end:
                    yield f"{each.id} at {each.node} reached an evacuated server"
