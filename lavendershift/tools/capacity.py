"""Measures what the fleet costs per unit and writes the tables of the page.

Run ``python -m lavendershift.tools.capacity`` from the root of the repository.
It prints one table and replaces the generated part of ``docs/CAPACITY.md``;
the text around it works the stated size out from these slopes::

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
    "lavendershift.tools.capacity_streams",  # first, while memory is not reused
    "lavendershift.tools.capacity_ledger",
    "lavendershift.tools.capacity_fleet",
    "lavendershift.tools.capacity_budgets",
    "lavendershift.tools.capacity_relay",
)
PLUGINS = (*SHIPPED_PLUGINS, "lavendershift.plugins.routing_affinity")


def load_probes() -> None:
    """Fill the registry of probes."""
    load_plugins(PLUGINS)
    for module in PROBE_MODULES:
        importlib.import_module(module)


def run_probes(only: str = "") -> list[Row]:
    """Run the probes whose name contains ``only``."""
    chosen = [probe for name, probe in PROBES.items() if only in name]
    rows = []
    with make_progress() as progress:
        task = progress.add_task("measuring", total=len(chosen))
        for probe in chosen:
            progress.update(task, description=probe.name)
            rows.append(run_probe(probe))
            progress.advance(task)
    return rows


def render_tables(rows: list[Row]) -> str:
    """Return the tables in Markdown, one for each role."""
    machine = f"Python {platform.python_version()}, {platform.machine()}"
    lines = [BEGIN, "", f"Measured with {machine}.", ""]
    for role in Role:
        chosen = [row for row in rows if row.role == role.value]
        if chosen:
            lines += [f"### Slopes of the {role.value}", ""]
            lines += ["| what | per | CPU µs | memory bytes | sent bytes |"]
            lines += ["|---|---|---:|---:|---:|"]
            lines += [_render_row(row) for row in chosen]
            lines += [""]
    return "\n".join([*lines, END])


def _render_row(row: Row) -> str:
    figures = " | ".join(_render_figure(f) for f in (row.us, row.held, row.sent))
    return f"| {row.name} | {row.unit} | {figures} |"


def _render_figure(figure: float | None) -> str:
    if figure is None:
        return ""
    return f"{figure:,.0f}" if figure >= 100 else f"{figure:,.1f}"


def replace_tables(page: str, tables: str) -> str:
    """Return ``page`` with its generated part replaced by ``tables``."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return before + tables + after


@cappa.command(name="capacity")
@dataclass
class Capacity:
    """Measure the slopes behind docs/CAPACITY.md."""

    only: Annotated[
        str, cappa.Arg(long=True, help="Run probes whose name contains this.")
    ] = ""
    write: Annotated[
        bool, cappa.Arg(long="--write/--no-write", help="Write the tables to the page.")
    ] = True
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def __call__(self) -> None:
        """Measure, print, and write where everything was measured."""
        load_probes()
        rows = run_probes(self.only)
        print_rows("Slopes", rows, self.json)
        if self.write and not self.only:
            page = replace_tables(PAGE.read_text("utf-8"), render_tables(rows))
            PAGE.write_text(page, "utf-8")


if __name__ == "__main__":
    cappa.invoke(Capacity)
