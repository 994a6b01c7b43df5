"""Differences between two configurations, without API keys.

Entries are compared by name::

    for difference in compare(in_force, draft):
        print(difference)  # changed route index: timeout 5000 ms -> 8000 ms
"""

from collections.abc import Iterator, Sequence
from datetime import timedelta
from enum import Enum
from typing import Any, NamedTuple

from lavendershift.configurationchecks import Draft


class Difference(NamedTuple):
    """An entry that differs; ``change`` is "added", "removed" or "changed"."""

    change: str
    place: str
    text: str

    def __str__(self) -> str:
        return f"{self.change} {self.place}: {self.text}".removesuffix(": ")


def compare(former: Draft, draft: Draft) -> Iterator[Difference]:
    """Compare two configurations."""
    if former.version != draft.version:
        yield Difference("changed", "version", f"{former.version} -> {draft.version}")
    yield from _compare_entries("route", former.routes, draft.routes)
    yield from _compare_entries("service", former.services, draft.services)
    yield from _compare_entries("customer", former.customers, draft.customers)
    yield from _compare_fields("limits", former.limits, draft.limits)


def _compare_entries(
    noun: str, former: Sequence[Any], entries: Sequence[Any]
) -> Iterator[Difference]:
    # Of several entries with one name, the last is used.
    old = {entry.name: entry for entry in former}
    new = {entry.name: entry for entry in entries}
    for name in sorted(old.keys() - new.keys()):
        yield Difference("removed", f"{noun} {name}", "")
    for name in sorted(new):
        if name not in old:
            yield Difference("added", f"{noun} {name}", "")
        else:
            yield from _compare_fields(f"{noun} {name}", old[name], new[name])


def _compare_fields(place: str, former: Any, entry: Any) -> Iterator[Difference]:
    changes = []
    for field in entry._fields:
        old, new = getattr(former, field), getattr(entry, field)
        if old == new:
            continue
        if field == "keys":
            changes.append(f"{len(new - old)} API keys added, {len(old - new)} removed")
        else:
            noun = field.replace("_", " ")
            changes.append(f"{noun} {_format(old)} -> {_format(new)}")
    if changes:
        yield Difference("changed", place, "; ".join(changes))


def _format(value: Any) -> str:
    if isinstance(value, timedelta):
        return f"{value / timedelta(milliseconds=1):g} ms"
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, frozenset):
        return ", ".join(sorted(value)) or "none"
    if isinstance(value, tuple) and not hasattr(value, "_fields"):
        return ", ".join(map(_format, value)) or "none"
    if isinstance(value, tuple):
        return " ".join(_format(item) for item in value)
    return str(value)
