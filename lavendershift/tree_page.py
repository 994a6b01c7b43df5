"""Reference page of the keys of the settings tree.

A test compares ``docs/TREE.md`` with ``render_tree_page()``.
"""

import json

from lavendershift.tree import PATH_FORMS, TREE, NodeKind, TreeRow
from lavendershift.values import describe_rule

PAGE_HEAD = """\
# Keys of the settings tree

Generated from `lavendershift/tree.py` by `python -m lavendershift.tools.pages`;
don't edit by hand. See [operators/configuration.md](operators/configuration.md)
for how to publish changes.

A node takes the value of an inherited key from its parent unless it sets the
key itself; desks inherit from the root. A key without a default is required on
each node of its kind. Names in paths have 1 to 64 characters: letters, digits,
`.`, `_` and `-`. The first is a letter or digit.
"""


def render_tree_page() -> str:
    """Return the text of ``docs/TREE.md``."""
    groups: dict[tuple[NodeKind, ...], list[TreeRow]] = {}
    for row in TREE:
        groups.setdefault(row.nodes, []).append(row)
    return "\n".join([PAGE_HEAD, *(_render_group(*item) for item in groups.items())])


def _render_group(nodes: tuple[NodeKind, ...], rows: list[TreeRow]) -> str:
    """Return the section with the keys allowed at ``nodes``."""
    places = ", ".join(f"`{PATH_FORMS[kind]}`" for kind in nodes)
    lines = [
        f"## {places}",
        "",
        "| key | allowed | default | inherited | |",
        "|---|---|---|---|---|",
    ]
    return "\n".join(lines + [_render_row(row) for row in rows]) + "\n"


def _render_row(row: TreeRow) -> str:
    """Return the table row of one key."""
    allowed = f"{describe_rule(row.rule)} {row.unit}".strip()
    default = "required" if row.default is None else f"`{json.dumps(row.default)}`"
    inherited = "yes" if row.inherited else "no"
    return f"| `{row.key}` | {allowed} | {default} | {inherited} | {row.description} |"
