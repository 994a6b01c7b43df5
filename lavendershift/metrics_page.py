"""Reference page of counters, gauges and log events.

A test compares ``docs/COUNTERS.md`` with ``render_counters_page()``.
"""

from lavendershift.errors import ANSWERS, Answer
from lavendershift.logs import EVENTS
from lavendershift.metrics import (
    BUDGET_GAUGES,
    COUNTERS,
    EJECTION_PREFIX,
    EJECTIONS,
    GAUGES,
    RETRIES,
    RETRY_PREFIX,
)

PAGE_HEAD = """\
# Counters, gauges and log events

Generated from the tables in `lavendershift/errors.py`, `metrics.py` and
`logs.py` by `python -m lavendershift.tools.pages`; don't edit by hand.

Counters start at 0 when a process starts and never decrease while it runs. The
statsd plug-in sends them as `lavendershift.VM.NAME`.
"""


def render_counters_page() -> str:
    """Return the text of ``docs/COUNTERS.md``."""
    parts = [
        PAGE_HEAD,
        _render_errors(),
        _render_table(
            "Retry reasons", {RETRY_PREFIX + r.value: RETRIES[r] for r in RETRIES}
        ),
        _render_table(
            "Ejected servers",
            {EJECTION_PREFIX + c.value: EJECTIONS[c] for c in EJECTIONS},
        ),
        _render_table("Other counters", COUNTERS),
        _render_table("Gauges", GAUGES),
        _render_table(
            "Gauges of each budget, in tokens",
            {f"budget.NAME.{name}": text for name, text in BUDGET_GAUGES.items()},
        ),
        _render_table(
            "Log events",
            {
                e.value: f"{info.level}: {info.description}"
                for e, info in EVENTS.items()
            },
        ),
    ]
    return "\n".join(parts)


def _render_table(title: str, rows: dict[str, str]) -> str:
    """Return a section with one row for each name."""
    lines = [f"## {title}", "", "| name | |", "|---|---|"]
    lines += [f"| `{name}` | {text} |" for name, text in rows.items()]
    return "\n".join(lines) + "\n"


def _render_errors() -> str:
    """Return the section on refusals and failures."""
    lines = [
        "## Refusals and failures",
        "",
        "| name | status | ran | consumed | retry after | |",
        "|---|---|---|---|---|---|",
    ]
    lines += [_render_answer(answer) for answer in ANSWERS.values()]
    return "\n".join(lines) + "\n"


def _render_answer(answer: Answer) -> str:
    """Return the table row of one error kind."""
    retry_after = "never"
    if answer.retry_after is not None:
        retry_after = f"{answer.retry_after.total_seconds():g} s"
    return (
        f"| `{answer.counter}` | {answer.status} | {answer.ran.value} "
        f"| {answer.consumed.value} | {retry_after} | {answer.message} |"
    )
