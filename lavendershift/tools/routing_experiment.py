"""Compare routing policies under load and faults, in virtual time.

Every policy serves the same seeded arrivals at several multiples of the fleet's
capacity, with each fault. The command checks the targets, prints a table and, if
requested, writes the figures as JSON and a plot::

    python -m lavendershift.tools.routing_experiment --quick --json figures.json

``--quick`` runs only the affinity policy and one oracle for reference.
"""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from rich.console import Console
from rich.table import Table

from lavendershift.plugins import (  # noqa: F401
    routing_affinity,
    routing_least_in_flight,
    routing_round_robin,
    routing_two_choices,
)
from lavendershift.routing import ROUTING_POLICIES
from lavendershift.tools.routing_runs import (
    FAULTS,
    ORACLES,
    Scenario,
    Summary,
    find_capacity,
    run_scenario,
)
from lavendershift.tools.routing_targets import check_targets, print_targets

LOADS = (0.5, 0.8, 1.0, 2.0)  # request rates as multiples of the capacity


def compare_policies(
    capacity: float, policies: Sequence[str], loads: Sequence[float], seed: int
) -> list[Summary]:
    """Run every policy at every load with every fault."""
    return [
        run_scenario(Scenario(policy, load, fault, capacity, seed))
        for load in loads
        for fault in FAULTS
        for policy in policies
    ]


def format_refusals(refusals: dict[str, int]) -> str:
    """Return the number of refusals by reason, on one line."""
    return ", ".join(f"{name} {count}" for name, count in sorted(refusals.items()))


def print_table(summaries: Sequence[Summary]) -> None:
    """Print the figures, one line per run."""
    table = Table(title="first token in ms, goodput in capacities")
    for heading in ("load", "fault", "policy", "p50", "p95", "p99"):
        table.add_column(heading)
    for heading in ("goodput", "retries", "hits", "late", "refusals"):
        table.add_column(heading)
    for row in summaries:
        table.add_row(
            f"{row.load:g}",
            row.fault,
            row.policy,
            *(f"{value:.0f}" for value in (row.p50, row.p95, row.p99)),
            *(f"{value:.3f}" for value in (row.goodput, row.retries, row.hit_rate)),
            str(row.late_starts),
            format_refusals(row.refusals),
        )
    Console(width=150).print(table)


def plot_summaries(summaries: Sequence[Summary], path: Path) -> None:
    """Plot p95 time to first token and goodput over load, for runs without faults."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(10, 4))
    first_token, goodput = figure.subplots(1, 2)
    for policy in dict.fromkeys(row.policy for row in summaries):
        rows = [r for r in summaries if r.policy == policy and r.fault == "none"]
        loads = [row.load for row in rows]
        first_token.plot(loads, [row.p95 for row in rows], "o-", label=policy)
        goodput.plot(loads, [row.goodput for row in rows], "o-", label=policy)
    first_token.set(xlabel="load", ylabel="p95 first token, ms", yscale="log")
    goodput.set(xlabel="load", ylabel="goodput, capacities")
    first_token.legend()
    figure.tight_layout()
    figure.savefig(path)


@cappa.command(name="routing-experiment")
@dataclass
class RoutingExperiment:
    """Compare routing policies under load and faults, in virtual time."""

    seed: Annotated[int, cappa.Arg(long=True, help="Seed of the traffic.")] = 1
    quick: Annotated[
        bool, cappa.Arg(long=True, help="Run only affinity and one oracle.")
    ] = False
    targets: Annotated[bool, cappa.Arg(long=True, help="Check the targets only.")] = (
        False
    )
    json: Annotated[str, cappa.Arg(long=True, help="File for the figures.")] = ""
    plot: Annotated[str, cappa.Arg(long=True, help="File for the plot.")] = ""

    def __call__(self) -> None:
        """Run the experiment."""
        capacity = find_capacity(self.seed, 6)
        Console().print(f"capacity {capacity:.1f} requests/s, seed {self.seed}")
        targets = check_targets(capacity, self.seed)
        print_targets(targets)
        policies = [ORACLES[0], "affinity"]
        if not self.quick:
            policies = [*ORACLES, *ROUTING_POLICIES]
        summaries: list[Summary] = []
        if not self.targets:
            summaries = compare_policies(capacity, policies, LOADS, self.seed)
            print_table(summaries)
        if self.json:
            document = {
                "capacity": capacity,
                "seed": self.seed,
                "targets": [target._asdict() for target in targets],
                "runs": [row._asdict() for row in summaries],
            }
            Path(self.json).write_text(json.dumps(document, indent=1) + "\n")
        if self.plot:
            plot_summaries(summaries, Path(self.plot))


def main() -> None:
    """Run the command."""
    cappa.invoke(RoutingExperiment)


if __name__ == "__main__":
    main()
