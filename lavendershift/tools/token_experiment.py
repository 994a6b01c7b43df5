"""The ``lavendershift-token-experiment`` command: compare ways of holding tokens.

All variants are simulated on the same seeded days of all sites, in virtual time::

    python -m lavendershift.tools.token_experiment --seeds 6
"""

import statistics
from dataclasses import dataclass
from typing import Annotated

import cappa
from rich.console import Console
from rich.table import Table

from lavendershift.tools.tokendays import DayFigures, TokenDay, Variant
from lavendershift.tools.tokensites import SITES

VARIANTS = {
    "all VMs serve": Variant(active=0),
    "one active VM per domain": Variant(active=1),
    "two active VMs per domain": Variant(active=2),
    "one, no loans in outages": Variant(active=1, is_isolated=True),
    "one shared total": Variant(is_oracle=True),
}
# Ways in which all processes end, of which power loss destroys held tokens.
ENDS = ("kill", "power")
COLUMNS = ("credit", "again", "refused", "in_cuts", "lost")


def simulate_day(site: str, variant: Variant, end: str, seed: int) -> DayFigures:
    """Simulate one day and return its figures."""
    return TokenDay(SITES[site], variant._replace(end=end), seed).run()


def average_figures(runs: list[DayFigures]) -> DayFigures:
    """Return the mean of each figure over ``runs``."""
    means = {c: statistics.mean(run[c] for run in runs) for c in COLUMNS}  # type: ignore[literal-required]
    return DayFigures(**means)  # type: ignore[typeddict-item]


@cappa.command(name="lavendershift-token-experiment")
@dataclass
class TokenExperiment:
    """Compare ways of holding prepaid tokens on seeded days."""

    seeds: Annotated[
        int, cappa.Arg(long=True, help="Days per site, end and variant.")
    ] = 4
    site: Annotated[str, cappa.Arg(long=True, help="Simulate only this site.")] = ""

    def __call__(self) -> None:
        """Run the simulations and print the table of mean figures."""
        table = Table("site", "end", "variant", *COLUMNS)
        for site in [self.site] if self.site else SITES:
            for end in ENDS:
                for name, variant in VARIANTS.items():
                    if site == "large" and not variant.active:
                        continue  # one day of 195 VMs with all customers takes minutes
                    runs = [
                        simulate_day(site, variant, end, n) for n in range(self.seeds)
                    ]
                    row = average_figures(runs)
                    cells = [f"{row[c]:.3f}" for c in COLUMNS]  # type: ignore[literal-required]
                    table.add_row(site, end, name, *cells)
        Console(width=120).print(table)


def main() -> None:
    """Run the command."""
    cappa.invoke(TokenExperiment)


if __name__ == "__main__":
    main()
