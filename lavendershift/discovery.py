"""Answers to callers that ask which router to use.

There is no balancer: a caller keeps the answer for its time to live and goes
down the list when an address fails it. A stale answer still works, as any
router can serve any customer, if perhaps at a lower allowance of budget.

Each customer has a few home routers in each failure domain, chosen by
rendezvous hash, so that its budget and its prefixes concentrate there. The
homes of the caller's own domain come first, in random order.
"""

import random
from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple

from lavendershift.hashing import rank_by_hash
from lavendershift.membership import Vm, VmState

HOME_ROUTERS = 2  # for each customer in each failure domain
TIME_TO_LIVE = timedelta(seconds=30)
MAX_ANSWERS = 16

_ORDER = {VmState.LIVE: 0, VmState.SUSPECT: 1}


class RouterAddress(NamedTuple):
    """A router in an answer."""

    vm: str
    address: str
    failure_domain: str


class Directory(NamedTuple):
    """An answer to a caller, best router first."""

    routers: list[RouterAddress]
    ttl: timedelta


def find_homes(customer: str, vms: Sequence[Vm]) -> set[str]:
    """Return the names of the customer's home routers in all domains."""
    homes: set[str] = set()
    for domain in {vm.failure_domain for vm in vms}:
        names = [vm.name for vm in vms if vm.failure_domain == domain]
        homes.update(rank_by_hash(names, customer)[:HOME_ROUTERS])
    return homes


def find_share(customer: str, vm: str, vms: Sequence[Vm]) -> float:
    """Return the share of a customer's limits that the router on ``vm`` enforces.

    The homes divide the limits among them. Another router is only used when
    homes have failed, and enforces one part of as many as there are routers.
    Together the shares are at most two, and one when callers use the homes.
    """
    serving = list_serving(vms)
    homes = find_homes(customer, serving)
    divisor = len(homes) if vm in homes else len(serving)
    return 1 / max(divisor, 1)


def list_serving(vms: Sequence[Vm]) -> list[Vm]:
    """Return the VMs that callers may be sent to."""
    return [vm for vm in vms if vm.state in _ORDER and vm.ready]


def list_routers(
    customer: str,
    failure_domain: str,
    vms: Sequence[Vm],
    addresses: Mapping[str, str],
    rng: random.Random,
) -> Directory:
    """Return the routers for a caller in ``failure_domain``, best first.

    ``vms`` includes one's own; ``addresses`` has the callers' address of each
    VM. Leaving, gone and unready ones are left out, suspects come last: not
    being reachable from here does not mean the caller cannot reach them.
    """
    serving = [vm for vm in list_serving(vms) if vm.name in addresses]
    homes = find_homes(customer, serving)
    rng.shuffle(serving)

    def rate(vm: Vm) -> tuple[int, bool, bool]:
        return (
            _ORDER[vm.state],
            vm.failure_domain != failure_domain,
            (vm.name not in homes),
        )

    ranked = sorted(serving, key=rate)[:MAX_ANSWERS]
    routers = [
        RouterAddress(vm.name, addresses[vm.name], vm.failure_domain) for vm in ranked
    ]
    return Directory(routers, TIME_TO_LIVE)
