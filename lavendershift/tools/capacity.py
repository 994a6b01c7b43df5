"""Measure the costs of the fleet per unit of load and write them to the docs.

Run ``python -m lavendershift.tools.capacity`` from the root of the repository.
It runs the capacity probes, prints their results as one table and replaces the
generated part of ``docs/CAPACITY.md``. The text around that part calculates the
costs of a whole fleet from these slopes. To run only some probes::

    python -m lavendershift.tools.capacity --only heartbeat --no-write
"""

import importlib
import platform
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from lavendershift.applications import SHIPPED_PLUGINS, load_plugins
from lavendershift.commands.output import make_progress, print_rows
from lavendershift.tools.capacity_probes import PROBES, Role, Row, run_probe

PAGE = Path("docs/CAPACITY.md")
BEGIN = "<!-- begin of the measured slopes -->"
END = "<!-- end of the measured slopes -->"
PROBE_MODULES = (
    # First: it measures resident memory, and memory that earlier probes have freed
    # would be reused and hide the growth.
    "lavendershift.tools.capacity_streams",
    "lavendershift.tools.capacity_ledger",
    "lavendershift.tools.capacity_fleet",
    "lavendershift.tools.capacity_budgets",
    "lavendershift.tools.capacity_relay",
)
PLUGINS = (*SHIPPED_PLUGINS, "lavendershift.plugins.routing_affinity")


def load_probes() -> None:
    """Load the plug-ins and import the modules that register probes."""
    load_plugins(PLUGINS)
    for module in PROBE_MODULES:
        importlib.import_module(module)


def run_probes(only: str = "") -> list[Row]:
    """Run the probes whose name contains ``only``."""
    selected = [probe for name, probe in PROBES.items() if only in name]
    rows = []
    with make_progress() as progress:
        task = progress.add_task("measuring", total=len(selected))
        for probe in selected:
            progress.update(task, description=probe.name)
            rows.append(run_probe(probe))
            progress.advance(task)
    return rows


def render_tables(rows: list[Row]) -> str:
    """Return the generated part of the page: a Markdown table for each role."""
    machine = f"Python {platform.python_version()}, {platform.machine()}"
    lines = [BEGIN, "", f"Measured with {machine}.", ""]
    for role in Role:
        selected = [row for row in rows if row.role == role.value]
        if selected:
            lines += [f"### Slopes of the {role.value}", ""]
            lines += ["| what | per | CPU µs | memory bytes | sent bytes |"]
            lines += ["|---|---|---:|---:|---:|"]
            lines += [_render_row(row) for row in selected]
            lines += [""]
    return "\n".join([*lines, END])


def _render_row(row: Row) -> str:
    values = " | ".join(_render_value(f) for f in (row.us, row.held, row.sent))
    return f"| {row.name} | {row.unit} | {values} |"


def _render_value(value: float | None) -> str:
    if value is None:
        return ""
    return f"{value:,.0f}" if value >= 100 else f"{value:,.1f}"


def replace_tables(page: str, tables: str) -> str:
    """Return ``page`` with the part from BEGIN to END replaced by ``tables``."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return before + tables + after


@cappa.command(name="capacity")
@dataclass
class Capacity:
    """Measure the costs per unit that docs/CAPACITY.md lists."""

    only: Annotated[
        str, cappa.Arg(long=True, help="Run only probes whose name contains this.")
    ] = ""
    write: Annotated[
        bool, cappa.Arg(long="--write/--no-write", help="Write the tables to the page.")
    ] = True
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def __call__(self) -> None:
        """Run the probes, print the results and write them to the page.

        The page is not written if only some of the probes were run.
        """
        load_probes()
        rows = run_probes(self.only)
        print_rows("Slopes", rows, self.json)
        if self.write and not self.only:
            page = replace_tables(PAGE.read_text("utf-8"), render_tables(rows))
            PAGE.write_text(page, "utf-8")


if __name__ == "__main__":
    cappa.invoke(Capacity)
