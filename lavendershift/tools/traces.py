"""Seeded request traces and fault scenarios for the budget experiment.

A trace is drawn before a run and is the same for every policy. All times are
seconds from the start of the run.
"""

import random
from collections.abc import Callable, Iterator
from typing import NamedTuple

HOUR_S = 3600.0
REQUESTS_PER_S = 2.0
DOMAIN_OF_ROUTER = (0, 0, 0, 1, 1, 1, 2, 2)
DOMAIN_LOADS = (0.45, 0.30, 0.25)
OUTPUT_LIMITS = (256, 512, 1024, 2048)
OUTPUT_TOKENS_PER_S = 50.0
PROMPT_MEDIAN_TOKENS = 500
BURST_S = 300.0
BURST_FACTORS = (0.3, 3.0)
MEAN_USED_TOKENS = 1035  # of the requests that this module draws


class TracedRequest(NamedTuple):
    """A request: how much it may use at most, and will use if it runs."""

    at_s: float
    router: int
    tokens: int
    used: int
    duration_s: float


class Cut(NamedTuple):
    """A time in which routers of ``domains`` reach neither log nor others."""

    start_s: float
    end_s: float
    domains: tuple[int, ...]


class Death(NamedTuple):
    """A router's VM vanishes; another takes its place a minute later."""

    at_s: float
    router: int


class Deposit(NamedTuple):
    """Tokens prepaid at a time."""

    at_s: float
    tokens: int


class Scenario(NamedTuple):
    """A named run. ``outages`` are times in which the log answers nobody."""

    name: str
    hours: float
    deposits: tuple[Deposit, ...]
    cuts: tuple[Cut, ...] = ()
    outages: tuple[Cut, ...] = ()
    deaths: tuple[Death, ...] = ()
    bursts: bool = False


ScenarioFactory = Callable[[], Scenario]
SCENARIOS: dict[str, ScenarioFactory] = {}


def register_scenario(factory: ScenarioFactory) -> ScenarioFactory:
    """File a scenario under the name of its function."""
    SCENARIOS[factory.__name__] = factory
    return factory


def price_hours(hours: float) -> int:
    """Return the tokens that the expected demand uses in ``hours``."""
    return int(hours * HOUR_S * REQUESTS_PER_S * MEAN_USED_TOKENS)


def deposit_hours(hours: float, at_s: float = 0.0) -> tuple[Deposit, ...]:
    """Return one deposit that lasts for ``hours``."""
    return (Deposit(at_s, price_hours(hours)),)


@register_scenario
def no_fault() -> Scenario:
    """Steady load, budget of 40 h."""
    return Scenario("no_fault", 2.0, deposit_hours(40))


@register_scenario
def log_outage() -> Scenario:
    """The log is away for an hour."""
    outage = Cut(HOUR_S, 2 * HOUR_S, (0, 1, 2))
    return Scenario("log_outage", 2.5, deposit_hours(40), outages=(outage,))


@register_scenario
def domain_cut() -> Scenario:
    """The busiest failure domain is cut off for an hour."""
    cut = Cut(HOUR_S, 2 * HOUR_S, (0,))
    return Scenario("domain_cut", 2.5, deposit_hours(40), cuts=(cut,))


@register_scenario
def domain_cut_small() -> Scenario:
    """The same with a budget of 10 h, of which a router may hold little."""
    cut = Cut(HOUR_S, 2 * HOUR_S, (0,))
    return Scenario("domain_cut_small", 2.5, deposit_hours(10), cuts=(cut,))


@register_scenario
def deaths() -> Scenario:
    """Each router dies once within two hours; nothing is ever released."""
    times = tuple(Death(900.0 * (n + 1), n) for n in range(8))
    return Scenario("deaths", 2.25, deposit_hours(40), deaths=times)


@register_scenario
def exhaustion() -> Scenario:
    """The budget runs out on all routers after about an hour."""
    return Scenario("exhaustion", 1.2, deposit_hours(1))


@register_scenario
def top_up_in_cut() -> Scenario:
    """The budget nears its end while a domain is cut off, and is topped up."""
    cut = Cut(0.5 * HOUR_S, 1.5 * HOUR_S, (0,))
    deposits = deposit_hours(1.2) + deposit_hours(40, HOUR_S)
    return Scenario("top_up_in_cut", 2.0, deposits, cuts=(cut,))


@register_scenario
def busy_customer() -> Scenario:
    """One customer draws in bursts from everywhere until nothing is left."""
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
    routers = [n for n, own in enumerate(DOMAIN_OF_ROUTER) if own == domain]
    prompt = min(8000, int(rng.lognormvariate(0.0, 0.8) * PROMPT_MEDIAN_TOKENS))
    limit = rng.choice(OUTPUT_LIMITS)
    output = rng.randint(1, limit)
    used = int(prompt * rng.uniform(0.6, 1.0)) + output
    duration_s = 0.3 + output / OUTPUT_TOKENS_PER_S
    return TracedRequest(at_s, rng.choice(routers), prompt + limit, used, duration_s)
