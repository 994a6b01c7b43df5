"""Performance targets of routing, and the runs that check them."""

from collections.abc import Sequence
from typing import NamedTuple

from rich.console import Console

from lavendershift.tools.routing_runs import (
    FAULTS,
    ORACLES,
    Fleet,
    Scenario,
    Summary,
    find_percentiles,
    run_scenario,
)

SURGE_END_S = 40.0  # time at which the load drops from 2 to 0.5 times the capacity
RECOVERY_S = 5.0  # time allowed from the end of the surge to normal service
WINDOW_S = 20.0  # period after the recovery whose times to first token are compared


class Target(NamedTuple):
    """A measured value and its upper bound, or lower one if ``is_minimum``."""

    name: str
    value: float
    bound: float
    is_minimum: bool = False

    @property
    def is_met(self) -> bool:
        """Whether the value is within the bound."""
        if self.is_minimum:
            return self.value >= self.bound
        return self.value <= self.bound


def check_targets(capacity: float, seed: int, policy: str = "affinity") -> list[Target]:
    """Run the scenarios of the targets and return the targets with their values."""
    base = Scenario(policy, 0.8, capacity=capacity, seed=seed)
    normal = run_scenario(base)
    oracles = [run_scenario(base._replace(policy=oracle)) for oracle in ORACLES]
    best = min(oracle.p95 for oracle in oracles)
    interactive_only = run_scenario(base._replace(batch=False))
    faults = {f: run_scenario(base._replace(fault=f)) for f in FAULTS if f != "none"}
    overload = run_scenario(base._replace(load=2.0))
    failing = run_scenario(base._replace(load=2.0, fault="failing"))
    runs = [normal, overload, failing, *faults.values()]
    return [
        Target(
            "p95 first token against least loaded", normal.p95 / oracles[0].p95, 1.2
        ),
        Target("p95 first token against the better oracle", normal.p95 / best, 1.2),
        Target("goodput at twice capacity", overload.goodput, 0.9, True),
        *measure_recovery(base),
        Target("retries per request, worst run", max(r.retries for r in runs), 0.1),
        Target(
            "goodput lost to a slow server",
            find_goodput_loss(normal, faults["slow"]),
            0.05,
        ),
        Target(
            "interactive p95 with batch against without",
            normal.p95 / interactive_only.p95,
            1.2,
        ),
        Target("late starts on a leaving server", faults["leaving"].late_starts, 0),
    ]


def find_goodput_loss(normal: Summary, faulty: Summary) -> float:
    """Return the fraction of goodput that is lost to a fault."""
    return 1 - faulty.goodput / normal.goodput


def measure_recovery(base: Scenario) -> list[Target]:
    """Measure how routing recovers from a surge.

    The load drops from 2 to 0.5 times the capacity; the reference is a run with 0.5
    throughout.
    """
    end = SURGE_END_S + RECOVERY_S + WINDOW_S
    surge = base._replace(load=2.0, later_load=0.5, change_at=SURGE_END_S, duration=end)
    steady = surge._replace(load=0.5)
    after = {}
    for name, scenario in (("surge", surge), ("steady", steady)):
        fleet = Fleet(scenario)
        fleet.run()
        recovered = SURGE_END_S + RECOVERY_S
        after[name] = [o for o in fleet.outcomes if o.arrival.time >= recovered]
    p95 = {
        name: find_percentiles(outcomes, "interactive")[1]
        for name, outcomes in after.items()
    }
    refused = sum(bool(o.refusal) for o in after["surge"])
    answered_share = 1 - refused / len(after["surge"])
    return [
        Target(
            "share answered in time from 5 s after a surge",
            answered_share,
            0.99,
            True,
        ),
        Target("refusals from 5 s after a surge", refused, 0),
        Target(
            "p95 from 5 s after a surge against steady",
            p95["surge"] / p95["steady"],
            1.2,
        ),
    ]


def print_targets(targets: Sequence[Target]) -> None:
    """Print each target and whether it is met."""
    for target in targets:
        result = "met" if target.is_met else "MISSED"
        sign = ">=" if target.is_minimum else "<="
        Console(width=120).print(
            f"{result:6} {target.name}: {target.value:.3f} {sign} {target.bound:g}"
        )
