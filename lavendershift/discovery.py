"""Router discovery: responses to callers that ask which routers to use.

There is no load balancer. A caller caches the response for its time to live and
tries the next address in the list when one fails. A stale response still works,
because any router can serve any customer, though possibly with a lower share of
the budget.

Each customer has a few affinity routers in each failure domain, chosen by
rendezvous hash, so that its budget and its prompt prefixes concentrate there.
The affinity routers of the caller's own domain come first, in random order.
"""

import random
from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple

from lavendershift.hashing import rank_by_hash
from lavendershift.membership import Vm, VmState

AFFINITY_ROUTERS = 2  # affinity routers per customer and failure domain
TIME_TO_LIVE = timedelta(seconds=30)
MAX_ROUTERS = 16

_STATE_RANKS = {VmState.LIVE: 0, VmState.SUSPECT: 1}


class RouterAddress(NamedTuple):
    """A router in a response."""

    vm: str
    address: str
    failure_domain: str


class RouterList(NamedTuple):
    """A response to a caller: routers, best first, and their time to live."""

    routers: list[RouterAddress]
    ttl: timedelta


def find_affinity_routers(customer: str, vms: Sequence[Vm]) -> set[str]:
    """Return the names of the customer's affinity routers in all domains."""
    preferred: set[str] = set()
    for domain in {vm.failure_domain for vm in vms}:
        names = [vm.name for vm in vms if vm.failure_domain == domain]
        preferred.update(rank_by_hash(names, customer)[:AFFINITY_ROUTERS])
    return preferred


def find_limit_share(customer: str, vm: str, vms: Sequence[Vm]) -> float:
    """Return the share of a customer's limits that the router on ``vm`` enforces.

    The affinity routers divide the limits evenly among them. Any other router is
    only used when affinity routers have failed, and enforces one nth of the limits
    with n routers serving. All shares add up to at most two, and to one as long as
    callers use the affinity routers only.
    """
    serving = list_serving(vms)
    preferred = find_affinity_routers(customer, serving)
    divisor = len(preferred) if vm in preferred else len(serving)
    return 1 / max(divisor, 1)


def list_serving(vms: Sequence[Vm]) -> list[Vm]:
    """Return the VMs that callers may use: live or suspect, and ready."""
    return [vm for vm in vms if vm.state in _STATE_RANKS and vm.ready]


def list_routers(
    customer: str,
    failure_domain: str,
    vms: Sequence[Vm],
    addresses: Mapping[str, str],
    rng: random.Random,
) -> RouterList:
    """Return the routers for a caller in ``failure_domain``, best first.

    ``vms`` includes this router's VM; ``addresses`` has the address of each VM
    for callers. VMs that are leaving, gone or not ready are omitted. Suspects come
    last: the caller may reach a VM that this one can't.
    """
    serving = [vm for vm in list_serving(vms) if vm.name in addresses]
    preferred = find_affinity_routers(customer, serving)
    rng.shuffle(serving)

    def rank(vm: Vm) -> tuple[int, bool, bool]:
        return (
            _STATE_RANKS[vm.state],
            vm.failure_domain != failure_domain,
            (vm.name not in preferred),
        )

    ranked = sorted(serving, key=rank)[:MAX_ROUTERS]
    routers = [
        RouterAddress(vm.name, addresses[vm.name], vm.failure_domain) for vm in ranked
    ]
    return RouterList(routers, TIME_TO_LIVE)
