"""The ``lavendershift-experiment`` command: compare holding policies.

All policies run on the same seeded traces in virtual time. They use the product's
ledger, allowance book and policies; log, network and callers are simulated::

    python -m lavendershift.tools.experiment --seeds 3 --json figures.json
"""

from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from typing import Annotated, NamedTuple

import cappa
import msgspec
from rich.console import Console
from rich.table import Table

from lavendershift.holdingpolicies import HOLDING_POLICIES
from lavendershift.tools.budget_fleet import Fleet, RunFigures
from lavendershift.tools.budget_router import HoldingSettings
from lavendershift.tools.traces import SCENARIOS, draw_trace

COLUMNS = {
    "overspend": "{:.0f}",
    "false_refusals": "{:.2f}",
    "missed": "{:.2f}",
    "unspendable": "{:.3%}",
    "stranded_by_death": "{:.2%}",
    "appends_per_s": "{:.2f}",
    "waited": "{:.1%}",
    "mean_wait_ms": "{:.1f}",
    "longest_wait_s": "{:.1f}",
}


class Selection(NamedTuple):
    """The runs to make: each policy on each scenario with each seed."""

    policies: list[str]
    scenarios: list[str]
    seeds: int
    holding: HoldingSettings


def run_one(
    policy: str, scenario: str, seed: int, holding: HoldingSettings
) -> RunFigures:
    """Simulate one policy on one trace and return its figures."""
    settings = SCENARIOS[scenario]()
    return Fleet(policy, holding, settings).run(draw_trace(settings, seed), seed)


def run_all(selection: Selection) -> list[RunFigures]:
    """Simulate all selected runs and return their figures."""
    return [
        run_one(policy, scenario, seed, selection.holding)
        for scenario in selection.scenarios
        for policy in selection.policies
        for seed in range(selection.seeds)
    ]


def summarize(runs: list[RunFigures]) -> list[dict[str, object]]:
    """Return one row for each scenario and policy, averaged over the seeds.

    Overspend, stranded and unspendable tokens and the longest wait are the maximum
    over the seeds instead.
    """
    worst = {"overspend", "unspendable", "stranded_by_death", "longest_wait_s"}
    groups: dict[tuple[str, str], list[RunFigures]] = {}
    for run in runs:
        groups.setdefault((run["scenario"], run["policy"]), []).append(run)
    rows = []
    for (scenario, policy), group in groups.items():
        row: dict[str, object] = {"scenario": scenario, "policy": policy}
        for column in COLUMNS:
            values = [run[column] for run in group]  # type: ignore[literal-required]
            known = [value for value in values if value is not None]
            total = max(known) if column in worst and known else sum(known)
            count = 1 if column in worst else len(known)
            row[column] = total / count if known else None
        rows.append(row)
    return rows


def print_table(rows: list[dict[str, object]]) -> None:
    """Print the rows of ``summarize`` as a table."""
    table = Table("scenario", "policy", *COLUMNS)
    for row in rows:
        cells = [
            "-" if row[column] is None else template.format(row[column])
            for column, template in COLUMNS.items()
        ]
        table.add_row(str(row["scenario"]), str(row["policy"]), *cells)
    Console(width=150).print(table)


@cappa.command(name="lavendershift-experiment")
@dataclass
class Experiment:
    """Compare holding policies under faults on seeded traces."""

    policy: Annotated[
        list[str], cappa.Arg(long=True, help="Run only this policy; repeatable.")
    ] = field(default_factory=list)
    scenario: Annotated[
        list[str], cappa.Arg(long=True, help="Run only this scenario; repeatable.")
    ] = field(default_factory=list)
    seeds: Annotated[int, cappa.Arg(long=True, help="Traces per scenario.")] = 3
    hold_ahead_s: Annotated[
        int, cappa.Arg(long=True, help="Seconds of a log outage to hold tokens for.")
    ] = 3600
    hold_share: Annotated[
        float,
        cappa.Arg(
            long=True,
            help="Largest fraction of the remainder that a router holds ahead.",
        ),
    ] = 0.005
    json: Annotated[
        Path | None, cappa.Arg(long=True, help="File for the figures of all runs.")
    ] = None

    def __call__(self) -> None:
        """Run the simulations, write the JSON file and print the table."""
        holding = HoldingSettings(timedelta(seconds=self.hold_ahead_s), self.hold_share)
        policies = self.policy or list(HOLDING_POLICIES)
        scenarios = self.scenario or list(SCENARIOS)
        runs = run_all(Selection(policies, scenarios, self.seeds, holding))
        if self.json is not None:
            self.json.write_bytes(msgspec.json.format(msgspec.json.encode(runs)))
        print_table(summarize(runs))


def main() -> None:
    """Run the command."""
    cappa.invoke(Experiment)


if __name__ == "__main__":
    main()
