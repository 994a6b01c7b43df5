"""Reference texts generated from the table of settings.

The page ``docs/SETTINGS.md`` and the output of ``--print-defaults`` are both
generated from ``SETTINGS``; a test compares the page with
``render_settings_page()``.
"""

import json
from typing import Any

from lavendershift.settings import list_rows
from lavendershift.settings_table import Program, SettingRow
from lavendershift.values import describe_rule

PAGE_HEAD = """\
# Settings of a process

Generated from `lavendershift/settings_table.py` by
`python -m lavendershift.tools.pages`; don't edit by hand.

A process reads one TOML file. A key without a default is required. Unknown
keys are errors. Settings that operators change while the fleet runs are in the
settings tree, see [TREE.md](TREE.md).
"""


def format_toml(value: Any) -> str:
    """Return ``value`` as TOML, which equals JSON for texts, numbers and lists."""
    return json.dumps(value)


def render_defaults(program: Program) -> str:
    """Return a settings file of all defaults; required keys are commented out."""
    lines: list[str] = []
    section = ""
    for row in sorted(list_rows(program), key=_order_by_section(program)):
        if row.section != section:
            section = row.section
            lines += ["", f"[{section}]"] if lines else [f"[{section}]"]
        lines.append(f"# {row.description}")
        lines.append(f"# {_describe_allowed(row)}")
        if row.default is None:
            lines.append(f'# {row.key} = "..."  (required)')
        else:
            lines.append(f"{row.key} = {format_toml(row.default)}")
    return "\n".join(lines) + "\n"


def render_settings_page() -> str:
    """Return the text of ``docs/SETTINGS.md``."""
    parts = [PAGE_HEAD]
    for program in Program:
        parts.append(f"\n## `lavendershift-{program.value}`\n")
        parts.append("| key | allowed | default | |")
        parts.append("|---|---|---|---|")
        rows = sorted(list_rows(program), key=_order_by_section(program))
        parts += [_render_row(row) for row in rows]
    return "\n".join(parts) + "\n"


def _order_by_section(program: Program) -> Any:
    """Return a sort key that keeps the rows of a section together."""
    order = list(dict.fromkeys(row.section for row in list_rows(program)))
    return lambda row: order.index(row.section)


def _describe_allowed(row: SettingRow) -> str:
    """Return the values that the row allows, with their unit."""
    allowed = describe_rule(row.rule)
    return f"{allowed} {row.unit}".strip()


def _render_row(row: SettingRow) -> str:
    """Return the table row of one setting."""
    default = "required" if row.default is None else f"`{format_toml(row.default)}`"
    name = f"`[{row.section}] {row.key}`"
    return f"| {name} | {_describe_allowed(row)} | {default} | {row.description} |"
