"""Write the reference pages in ``docs`` that are generated from code.

Run ``python -m lavendershift.tools.pages`` from the root of the repository after
a change to the tables of settings, tree keys, metrics or log events. A test
compares the pages with these tables.
"""

from collections.abc import Callable
from pathlib import Path

from lavendershift.metrics_page import render_counters_page
from lavendershift.settings_page import render_settings_page
from lavendershift.tree_page import render_tree_page

DOCS = Path("docs")

PAGES: dict[str, Callable[[], str]] = {
    "SETTINGS.md": render_settings_page,
    "TREE.md": render_tree_page,
    "COUNTERS.md": render_counters_page,
}


def main() -> None:
    """Generate and write every page."""
    for name, render in PAGES.items():
        (DOCS / name).write_text(render(), encoding="utf-8")


if __name__ == "__main__":
    main()
