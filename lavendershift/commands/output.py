"""Output of the commands: tables, or JSON with ``--json``.

Rows are ``NamedTuple`` values; their fields are the columns of the table and
the keys of the JSON objects. Results go to standard output, progress and
errors to standard error::

    print_rows("Budgets", [BudgetRow("plume", 100)], as_json=False)
"""

import json
import sys
from collections.abc import Sequence
from enum import IntEnum
from typing import Any, NamedTuple

from rich.console import Console
from rich.progress import Progress, SpinnerColumn, TextColumn, TimeElapsedColumn
from rich.table import Table

# Width in characters of rows in files and pipes, which are complete.
NON_TERMINAL_WIDTH = 200


class ExitCode(IntEnum):
    """Exit codes of every command."""

    DONE = 0
    REFUSED = 1
    UNKNOWN = 2


EXIT_CODE_DESCRIPTIONS: dict[ExitCode, str] = {
    ExitCode.DONE: "done, or everything is valid",
    ExitCode.REFUSED: "rejected, invalid or not found",
    ExitCode.UNKNOWN: "no response, outcome unknown, or wrong usage",
}


def make_console(error: bool = False) -> Console:
    """Return a console for standard output, or with ``error`` standard error.

    If that is no terminal, use a fixed width that doesn't truncate rows.
    """
    console = Console(stderr=error, highlight=False)
    if not console.is_terminal:
        console = Console(stderr=error, highlight=False, width=NON_TERMINAL_WIDTH)
    return console


def make_progress() -> Progress:
    """Return a progress bar on standard error, disabled if that is no terminal."""
    console = make_console(error=True)
    return Progress(
        SpinnerColumn(),
        TextColumn("{task.description}"),
        TextColumn("{task.completed:,}/{task.total:,}"),
        TimeElapsedColumn(),
        console=console,
        transient=True,
        disable=not console.is_terminal,
    )


def print_rows(title: str, rows: Sequence[Any], as_json: bool) -> None:
    """Print rows of one ``NamedTuple`` type as a table or a JSON list."""
    if as_json:
        print_json([row._asdict() for row in rows])
        return
    if not rows:
        print(f"{title}: none")
        return
    table = Table(title=title, title_justify="left")
    numbers = [isinstance(value, int | float) for value in rows[0]]
    for name, is_number in zip(rows[0]._fields, numbers, strict=True):
        table.add_column(
            name.replace("_", " "), justify="right" if is_number else "left"
        )
    for row in rows:
        table.add_row(*(format_cell(value) for value in row))
    make_console().print(table, markup=False)


def print_json(data: Any) -> None:
    """Print ``data`` as JSON."""
    print(json.dumps(data, ensure_ascii=False, indent=2, default=encode_value))


def print_result(result: Any, text: str, as_json: bool) -> None:
    """Print one ``NamedTuple`` as JSON, or else ``text``."""
    if as_json:
        print_json(result._asdict())
    else:
        print(text)


def print_faults(faults: Sequence[Any], as_json: bool) -> None:
    """Print all errors, with their location in a file if they have one."""
    if as_json:
        print_json([fault._asdict() for fault in faults])
        return
    for fault in faults:
        print(fault, file=sys.stderr)


def encode_value(value: Any) -> Any:
    """Return the value of an enum member, or else the object as text."""
    return getattr(value, "value", str(value))


def format_cell(value: Any) -> str:
    """Return the text of a table cell; sequences are joined by commas."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, int):
        return f"{value:,}"
    if isinstance(value, list | tuple):
        return ", ".join(format_cell(item) for item in value) or "-"
    return str(encode_value(value))


class Fact(NamedTuple):
    """One named value of a command's result."""

    name: str
    value: Any
