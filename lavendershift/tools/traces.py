"""Seeded request traces and fault scenarios for the budget experiment.

A trace is generated before a run and is the same for every policy. All times are
seconds from the start of the run.
"""

import random
from collections.abc import Callable, Iterator
from typing import NamedTuple

HOUR_S = 3600.0
REQUESTS_PER_S = 2.0
DOMAIN_OF_ROUTER = (0, 0, 0, 1, 1, 1, 2, 2)  # failure domain of each router
DOMAIN_LOADS = (0.45, 0.30, 0.25)  # fraction of the requests in each domain
OUTPUT_LIMITS = (256, 512, 1024, 2048)  # output limits in tokens, equally frequent
OUTPUT_TOKENS_PER_S = 50.0
PROMPT_MEDIAN_TOKENS = 500
BURST_S = 300.0  # duration of each phase of a bursty load
BURST_FACTORS = (0.3, 3.0)  # factors on the request rate in alternating phases
MEAN_USED_TOKENS = 1035  # tokens used per request, mean of the generated requests


class TracedRequest(NamedTuple):
    """A request that reserves ``tokens`` and, if it runs, uses ``used`` of them."""

    at_s: float
    router: int
    tokens: int
    used: int
    duration_s: float


class FaultWindow(NamedTuple):
    """A period in which a fault affects the routers of ``domains``.

    In a partition they reach neither the log nor other domains; in a log outage
    they can't reach the log.
    """

    start_s: float
    end_s: float
    domains: tuple[int, ...]


class VmFailure(NamedTuple):
    """The loss of a router's VM, which is replaced a minute later."""

    at_s: float
    router: int


class Deposit(NamedTuple):
    """Tokens that are added to the prepaid budget at ``at_s``."""

    at_s: float
    tokens: int


class Scenario(NamedTuple):
    """Load, prepaid tokens and faults of a run.

    ``hours`` is the duration of the traffic; ``bursts`` makes its rate vary. During
    ``outages`` the routers of the given domains can't reach the log.
    """

    name: str
    hours: float
    deposits: tuple[Deposit, ...]
    partitions: tuple[FaultWindow, ...] = ()
    outages: tuple[FaultWindow, ...] = ()
    vm_failures: tuple[VmFailure, ...] = ()
    bursts: bool = False


ScenarioFactory = Callable[[], Scenario]
SCENARIOS: dict[str, ScenarioFactory] = {}


def register_scenario(factory: ScenarioFactory) -> ScenarioFactory:
    """Register a scenario under the name of its function."""
    SCENARIOS[factory.__name__] = factory
    return factory


def estimate_demand(hours: float) -> int:
    """Return the expected demand of ``hours``, in tokens."""
    return int(hours * HOUR_S * REQUESTS_PER_S * MEAN_USED_TOKENS)


def deposit_hours(hours: float, at_s: float = 0.0) -> tuple[Deposit, ...]:
    """Return one deposit that covers the expected demand of ``hours``."""
    return (Deposit(at_s, estimate_demand(hours)),)


@register_scenario
def no_fault() -> Scenario:
    """Steady load with a budget for 40 h and no fault."""
    return Scenario("no_fault", 2.0, deposit_hours(40))


@register_scenario
def log_outage() -> Scenario:
    """The log is unreachable from all domains for an hour."""
    outage = FaultWindow(HOUR_S, 2 * HOUR_S, (0, 1, 2))
    return Scenario("log_outage", 2.5, deposit_hours(40), outages=(outage,))


@register_scenario
def domain_cut() -> Scenario:
    """The busiest failure domain is partitioned off for an hour."""
    partition = FaultWindow(HOUR_S, 2 * HOUR_S, (0,))
    return Scenario("domain_cut", 2.5, deposit_hours(40), partitions=(partition,))


@register_scenario
def domain_cut_small() -> Scenario:
    """The same partition with a budget for 10 h, so that routers may hold less."""
    partition = FaultWindow(HOUR_S, 2 * HOUR_S, (0,))
    return Scenario("domain_cut_small", 2.5, deposit_hours(10), partitions=(partition,))


@register_scenario
def deaths() -> Scenario:
    """Each router fails once within two hours; its tokens are never released."""
    failures = tuple(VmFailure(900.0 * (n + 1), n) for n in range(8))
    return Scenario("deaths", 2.25, deposit_hours(40), vm_failures=failures)


@register_scenario
def exhaustion() -> Scenario:
    """The budget runs out on all routers after about an hour."""
    return Scenario("exhaustion", 1.2, deposit_hours(1))


@register_scenario
def top_up_in_cut() -> Scenario:
    """A budget that is nearly exhausted is topped up during a partition."""
    partition = FaultWindow(0.5 * HOUR_S, 1.5 * HOUR_S, (0,))
    deposits = deposit_hours(1.2) + deposit_hours(40, HOUR_S)
    return Scenario("top_up_in_cut", 2.0, deposits, partitions=(partition,))


@register_scenario
def busy_customer() -> Scenario:
    """One customer exhausts the budget with bursts of requests to all routers."""
    return Scenario("busy_customer", 1.8, deposit_hours(1.5), bursts=True)


def draw_trace(scenario: Scenario, seed: int) -> list[TracedRequest]:
    """Return the requests of ``scenario`` in order of arrival."""
    rng = random.Random(f"{scenario.name}/{seed}")
    return [_draw_request(rng, at_s) for at_s in _draw_arrivals(scenario, rng)]


def _draw_arrivals(scenario: Scenario, rng: random.Random) -> Iterator[float]:
    at_s = 0.0
    while True:
        rate = REQUESTS_PER_S
        if scenario.bursts:
            rate *= BURST_FACTORS[int(at_s / BURST_S) % 2]
        at_s += rng.expovariate(rate)
        if at_s >= scenario.hours * HOUR_S:
            return
        yield at_s


def _draw_request(rng: random.Random, at_s: float) -> TracedRequest:
    domain = rng.choices((0, 1, 2), DOMAIN_LOADS)[0]
    routers = [n for n, other in enumerate(DOMAIN_OF_ROUTER) if other == domain]
    prompt = min(8000, int(rng.lognormvariate(0.0, 0.8) * PROMPT_MEDIAN_TOKENS))
    limit = rng.choice(OUTPUT_LIMITS)
    output = rng.randint(1, limit)
    used = int(prompt * rng.uniform(0.6, 1.0)) + output
    duration_s = 0.3 + output / OUTPUT_TOKENS_PER_S
    return TracedRequest(at_s, rng.choice(routers), prompt + limit, used, duration_s)
