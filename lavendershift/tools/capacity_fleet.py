"""Capacity probes of costs that grow with the fleet.

These are heartbeats, membership, discovery, the choice of a server and the
configuration.
"""

import asyncio
import hashlib
import random
import time
from collections.abc import Callable
from datetime import timedelta

import msgspec

from lavendershift.clocks import ManualClock, SystemClock
from lavendershift.configuration import Configuration
from lavendershift.demands import MAX_REPORTED, DemandTracker
from lavendershift.discovery import find_limit_share, list_routers
from lavendershift.membership import Member, Membership, Vm, VmState
from lavendershift.messages import CustomerDemand, Heartbeat, LoanGrant, encode_message
from lavendershift.nodes import ServerSettings, VmSettings
from lavendershift.peers import Peers
from lavendershift.records import Change, Entry, Record, Setting, TopUp, encode_record
from lavendershift.routing import ROUTING_POLICIES, RouteRequest, choose_server
from lavendershift.servers import ServerPool
from lavendershift.tools.capacity_probes import (
    Role,
    Slope,
    measure_memory,
    register_probe,
    time_work,
)
from lavendershift.tools.ports import find_ports

VMS = 330
DOMAINS = 15
SERVERS = 1_000
MODELS = 9
CUSTOMERS = 1_400
BUDGETS = 95_000
FLEET_SIZES = (10, 30, 100, 330)
ROUNDS = 3
TCP_IP_BYTES = 52  # headers of a TCP segment with timestamps, in bytes
NNG_BYTES = 12  # length and request id that NNG sends before each message, in bytes


def name_vm(number: int) -> str:
    """Return a VM's name."""
    return f"r{number}"


def make_heartbeat(number: int, demands: int) -> Heartbeat:
    """Return a heartbeat that reports the demand of ``demands`` customers."""
    customers = [
        CustomerDemand(f"desks/rennes/customer{n:04d}", 1.25) for n in range(demands)
    ]
    vm = name_vm(number)
    incarnation = f"{vm}.1767225600000-4f2a9c"
    domain = f"rennes-{number % DOMAINS}"
    return Heartbeat(vm, incarnation, domain, True, 190_000, 8_000_000, customers)


def measure_exchange_bytes(demands: int) -> int:
    """Return the bytes that a node sends and receives for one exchange.

    The exchange consists of a heartbeat and one in reply, each acknowledged by an
    empty TCP segment.
    """
    message = len(encode_message(make_heartbeat(1, demands))) + NNG_BYTES
    return 2 * (message + TCP_IP_BYTES) + 2 * TCP_IP_BYTES


def make_membership(vms: int, clock: ManualClock) -> Membership:
    """Return the membership of a fleet whose heartbeats have all been received."""
    membership = Membership(clock, name_vm(0), make_heartbeat(0, 0).incarnation)
    members = [
        Member(
            name_vm(n), f"10.0.0.{n}:7110", "router", f"rennes-{n % DOMAINS}", "live"
        )
        for n in range(vms)
    ]
    membership.update_list(members)
    for number in range(1, vms):
        membership.record_heartbeat(make_heartbeat(number, 0))
    return membership


def refuse_loan(request: object) -> LoanGrant:
    """Return a loan of zero tokens."""
    return LoanGrant("", "", "", "", 0)


def make_peers(
    number: int, port: int, own_heartbeat: Heartbeat, heartbeat: timedelta
) -> Peers:
    """Return the peer connections of one node, which sends ``own_heartbeat``.

    ``heartbeat`` is the interval between two heartbeats.
    """
    clock = SystemClock()
    return Peers(
        name_vm(number),
        f"tcp://127.0.0.1:{port}",
        clock,
        Membership(clock, name_vm(number), own_heartbeat.incarnation),
        heartbeat,
        timedelta(seconds=5),
        lambda: own_heartbeat,
        refuse_loan,
        DemandTracker(clock),
        lambda notice: None,
    )


async def run_heartbeats(vms: int, demands: int) -> float:
    """Return the CPU time of one exchange, sender and replier together, in µs.

    A node sends as many heartbeats as it replies to, so this is also what a node
    spends on each peer in a round.
    """
    interval = timedelta(seconds=max(0.5, vms / 200))
    ports = find_ports(vms)
    sender = make_peers(0, ports[0], make_heartbeat(0, demands), interval)
    peers = [
        make_peers(n, ports[n], make_heartbeat(n, demands), timedelta(hours=1))
        for n in range(1, vms)
    ]
    settings = {
        name_vm(n): VmSettings(
            name_vm(n), "", f"tcp://127.0.0.1:{ports[n]}", "rennes", "live"
        )
        for n in range(vms)
    }
    for peer in peers:
        await peer.start()
    sender.update_vms(settings)
    await sender.start()
    try:
        await asyncio.sleep(2.5 * interval.total_seconds())
        start = time.process_time()
        await asyncio.sleep(ROUNDS * interval.total_seconds())
        spent = time.process_time() - start
        assert len(sender.list_reachable()) == vms - 1
    finally:
        await sender.stop()
        await asyncio.gather(*(peer.stop() for peer in peers))
    return spent / ROUNDS / (vms - 1) * 1e6


def _register_heartbeats(vms: int, demands: int) -> None:
    suffix = f" with {demands} customers" if demands else ""

    @register_probe(
        f"heartbeat exchanged, {vms} VMs{suffix}", Role.ROUTER, "peer and round"
    )
    def measure() -> Slope:
        us = asyncio.run(run_heartbeats(vms, demands))
        return Slope(us=us, sent=measure_exchange_bytes(demands))


for _vms in FLEET_SIZES:
    _register_heartbeats(_vms, 0)
_register_heartbeats(30, MAX_REPORTED)


def _register_tick(vms: int) -> None:
    @register_probe(f"membership tick, {vms} VMs", Role.ROUTER, "second")
    def measure() -> Slope:
        clock = ManualClock()
        membership = make_membership(vms, clock)

        def tick() -> None:
            membership.count_live()
            assert not membership.propose_evictions()

        return Slope(us=time_work(tick, 1))


for _vms in FLEET_SIZES:
    _register_tick(_vms)


def make_vms() -> list[Vm]:
    """Return the VMs of the fleet as discovery gets them, all live and ready."""
    return [
        Vm(name_vm(n), f"{name_vm(n)}.1", f"rennes-{n % DOMAINS}", VmState.LIVE, True)
        for n in range(VMS)
    ]


@register_probe("discovery answer, 330 VMs", Role.ROUTER, "answer")
def measure_discovery() -> Slope:
    """Measure the response to a caller that requests router addresses."""
    membership = make_membership(VMS, ManualClock())
    addresses = {name_vm(n): f"10.0.0.{n}:7110" for n in range(VMS)}
    rng = random.Random(1)

    def run() -> bytes:
        vms = membership.list_vms()
        router_list = list_routers(
            "desks/rennes/plume", "rennes-3", vms, addresses, rng
        )
        return msgspec.json.encode([router._asdict() for router in router_list.routers])

    return Slope(us=time_work(run, 1), sent=len(run()))


@register_probe("customer's least share found, 330 VMs", Role.ROUTER, "customer")
def measure_limit_share() -> Slope:
    """Measure the share of a customer's limits that a router enforces.

    A router calculates it at most once a second for each customer.
    """
    membership = make_membership(VMS, ManualClock())
    return Slope(
        us=time_work(
            lambda: find_limit_share("desks/rennes/plume", "r7", membership.list_vms()),
            1,
        )
    )


def make_servers() -> dict[str, ServerSettings]:
    """Return the settings of the fleet's engines by name."""
    return {
        f"e{n}": ServerSettings(
            f"e{n}",
            "engine",
            f"10.1.{n // 250}.{n % 250}:8000",
            f"rennes-{n % DOMAINS}",
            (f"model-{n % MODELS}",),
            "",
            32,
            "live",
            "ignored",
        )
        for n in range(SERVERS)
    }


@register_probe("server chosen of 1,000, 9 models", Role.ROUTER, "attempt")
def measure_choice() -> Slope:
    """Measure the choice of a server for one attempt by the affinity policy."""
    rng = random.Random(1)
    pool = ServerPool(ManualClock(), rng, "rennes-3", VMS)
    pool.update_settings(make_servers())
    policy = ROUTING_POLICIES["affinity"](rng)
    route = RouteRequest(model="model-3", prefix=("a" * 16,), prompt_tokens=300)
    return Slope(us=time_work(lambda: choose_server(policy, pool, route).unwrap(), 1))


class TreeBuilder:
    """Builds a configuration with servers, VMs, customers and budgets."""

    def __init__(self) -> None:
        self.configuration = Configuration()

    def apply(self, record: Record) -> None:
        """Apply a record; fail if the configuration rejects it."""
        offset = self.configuration.next_offset
        verdict = self.configuration.apply(Entry(offset, offset, record))
        assert verdict.accepted, verdict

    def change(self, settings: list[Setting]) -> None:
        """Apply a change of ``settings``."""
        offset = self.configuration.next_offset
        self.apply(Change(f"change-{offset}", offset, "operator", settings))

    def add_fleet(self) -> None:
        """Add all VMs and servers."""
        for n in range(VMS):
            path = f"vms/{name_vm(n)}"
            address = f"10.0.{n // 250}.{n % 250}"
            self.change(
                [
                    Setting(path, "address", f"{address}:7110"),
                    Setting(path, "peer_address", f"tcp://{address}:7120"),
                    Setting(path, "failure_domain", f"rennes-{n % DOMAINS}"),
                ]
            )
        for name, server in make_servers().items():
            path = f"servers/{name}"
            self.change(
                [
                    Setting(path, "kind", "engine"),
                    Setting(path, "address", server.address),
                    Setting(path, "failure_domain", server.failure_domain),
                    Setting(path, "models", list(server.models)),
                    Setting(path, "capacity", server.capacity),
                ]
            )

    def add_customers(self, count: int) -> None:
        """Add customers, each with an API key."""
        for n in range(count):
            digest = hashlib.sha256(f"key{n}".encode()).hexdigest()
            path = f"desks/rennes/customer{n:04d}"
            self.change([Setting(path, "api_key_hashes", [digest])])

    def add_budgets(self, count: int) -> None:
        """Add budgets, each with a top-up and an application that uses it."""
        for n in range(count):
            path = f"desks/rennes/customer{n % CUSTOMERS:04d}/app{n:05d}"
            self.change([Setting(path, "budget", f"budget-{n:05d}")])
            self.apply(TopUp(f"top-up-{n}", f"budget-{n:05d}", 10**6, "operator"))


def build_tree(customers: int, budgets: int) -> TreeBuilder:
    """Return a configuration with the whole fleet and these counts."""
    builder = TreeBuilder()
    builder.add_fleet()
    builder.add_customers(customers)
    builder.add_budgets(budgets)
    return builder


def measure_tree_growth(customers: int, budgets: int, count: int) -> Slope:
    """Return the memory and checkpoint bytes that each of ``count`` items adds."""
    base = build_tree(0, 0)
    grown = build_tree(customers, budgets)
    held = measure_memory(lambda: build_tree(customers, budgets), 1)
    held -= measure_memory(lambda: build_tree(0, 0), 1)
    states = (grown.configuration.encode_state(), base.configuration.encode_state())
    return Slope(held=held / count, sent=(len(states[0]) - len(states[1])) / count)


@register_probe("customer held in the configuration", Role.ROUTER, "customer")
def measure_customer() -> Slope:
    """Measure the memory and checkpoint bytes of a customer with one API key."""
    return measure_tree_growth(CUSTOMERS, 0, CUSTOMERS)


@register_probe("budget held in the configuration", Role.ROUTER, "budget")
def measure_budget() -> Slope:
    """Measure a budget with its application's tree node and one top-up."""
    return measure_tree_growth(0, 10_000, 10_000)


@register_probe("change folded at the stated size", Role.ROUTER, "change")
def measure_change() -> Slope:
    """Measure a change of a customer's setting in a full-size configuration."""
    builder = build_tree(CUSTOMERS, BUDGETS)
    numbers = iter(range(10**6))
    settings = [Setting("desks/rennes/customer0001", "weight", 2.0)]
    size = len(msgspec.json.encode(encode_record(Change("c", 1, "op", settings))))

    def run() -> None:
        weight = float(1 + next(numbers) % 90)
        builder.change([Setting("desks/rennes/customer0001", "weight", weight)])

    return Slope(us=time_work(run, 1), sent=size)


def derive_views(builder: TreeBuilder, pool: ServerPool) -> None:
    """Derive the views that a router derives after each change."""
    servers = builder.configuration.servers()
    models = set(builder.configuration.models())
    for server in servers.values():
        models.update(server.models)
    sorted(models)
    pool.update_settings(servers)
    builder.configuration.vms()


@register_probe("change of a server applied, 1,000 servers", Role.ROUTER, "change")
def measure_server_change() -> Slope:
    """Measure a change of a server and the views that a router derives from it."""
    builder = build_tree(0, 0)
    pool = ServerPool(ManualClock(), random.Random(1), "rennes-3", VMS)
    states = iter(["leaving", "live"] * 100)

    def run() -> None:
        builder.change([Setting("servers/e7", "state", next(states))])
        derive_views(builder, pool)

    return Slope(us=time_work(run, 1))


@register_probe("configuration checkpoint made, stated size", Role.ROUTER, "checkpoint")
def measure_tree_checkpoint() -> Slope:
    """Measure the encoding of a full-size configuration as a checkpoint."""
    encode: Callable[[], str] = build_tree(
        CUSTOMERS, BUDGETS
    ).configuration.encode_state
    return Slope(us=time_work(encode, 1), sent=len(encode()))
