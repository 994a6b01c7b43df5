"""Parsing of files with tree settings and with top-ups.

A tree file has one TOML table for each node, named by its path, and may have a
table ``remove`` that lists keys to remove::

    ["desks/rennes/plume"]
    weight = 2.0

    [remove]
    "desks/rennes" = ["deadline_ms"]
"""

import re
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from returns.result import Failure, Result, Success

from lavendershift.records import Setting
from lavendershift.settings import find_line
from lavendershift.tree import check_setting, format_place

REMOVE_TABLE = "remove"


class FileFault(NamedTuple):
    """An error in a file; ``line`` is 0 if the line is unknown."""

    path: str
    line: int
    place: str
    reason: str

    def __str__(self) -> str:
        """Return for example ``tree.toml:3: desks/rennes: weight: too small``."""
        where = f"{self.path}:{self.line}" if self.line else self.path
        parts = [where, self.place, self.reason]
        return ": ".join(part for part in parts if part)


class TopUpItem(NamedTuple):
    """One top-up listed in a file."""

    id: str
    budget: str
    tokens: int


def load_tree_file(path: Path) -> Result[list[Setting], list[FileFault]]:
    """Return the settings in a tree file, or all errors in it."""
    match _load_toml(path):
        case Success((text, data)):
            settings, faults = _collect_settings(path, text, data)
            return Failure(faults) if faults else Success(settings)
        case Failure(fault):
            return Failure([fault])
    raise AssertionError("a result is a success or a failure")


def load_top_ups(path: Path) -> Result[list[TopUpItem], list[FileFault]]:
    """Return the top-ups in a file of ``[[top_up]]`` tables, or all errors.

    Each has a ``budget``, ``tokens``, and a unique ``id``. A top-up takes effect once
    per ID, so publishing the file again has no effect.
    """
    match _load_toml(path):
        case Success((_, data)):
            return _collect_top_ups(path, data)
        case Failure(fault):
            return Failure([fault])
    raise AssertionError("a result is a success or a failure")


def _load_toml(path: Path) -> Result[tuple[str, dict[str, Any]], FileFault]:
    """Return a file's text and its parsed TOML content."""
    try:
        text = path.read_text(encoding="utf-8")
        return Success((text, tomllib.loads(text)))
    except (OSError, UnicodeDecodeError) as error:
        return Failure(FileFault(str(path), 0, "", str(error)))
    except tomllib.TOMLDecodeError as error:
        found = re.search(r"at line (\d+)", str(error))
        return Failure(
            FileFault(str(path), int(found[1]) if found else 0, "", str(error))
        )


def _collect_settings(
    path: Path, text: str, data: dict[str, Any]
) -> tuple[list[Setting], list[FileFault]]:
    """Return the settings of a tree file, and the errors in them."""
    settings: list[Setting] = []
    faults: list[FileFault] = []
    for node, content in data.items():
        if not isinstance(content, dict):
            reason = "expected a table named by the path of a node"
            faults.append(FileFault(str(path), find_line(text, "", node), node, reason))
        elif node == REMOVE_TABLE:
            settings += [
                Setting(place, str(key), None)
                for place, keys in content.items()
                for key in (keys if isinstance(keys, list) else [keys])
            ]
        else:
            settings += [Setting(node, key, value) for key, value in content.items()]
    for setting in settings:
        match check_setting(setting):
            case Failure(reason):
                section, key = setting.path, str(setting.key)
                line = find_line(text, section, key) or find_line(
                    text, REMOVE_TABLE, section
                )
                place = format_place(section, key)
                faults.append(FileFault(str(path), line, place, reason))
    return settings, faults


def _collect_top_ups(
    path: Path, data: dict[str, Any]
) -> Result[list[TopUpItem], list[FileFault]]:
    """Return the top-ups of a file, or the errors in them."""
    items: list[TopUpItem] = []
    faults: list[FileFault] = []
    listed = data.pop("top_up", [])
    for key in data:
        faults.append(FileFault(str(path), 0, key, "expected only [[top_up]] tables"))
    for number, item in enumerate(listed if isinstance(listed, list) else [listed], 1):
        place = f"top_up {number}"
        reason = _find_top_up_fault(item)
        if reason:
            faults.append(FileFault(str(path), 0, place, reason))
        else:
            items.append(TopUpItem(item["id"], item["budget"], item["tokens"]))
    ids = [item.id for item in items]
    for repeated in sorted({i for i in ids if ids.count(i) > 1}):
        faults.append(
            FileFault(str(path), 0, repeated, "the id is used more than once")
        )
    return Failure(faults) if faults else Success(items)


def _find_top_up_fault(item: Any) -> str:
    """Return the error in one top-up, or ``""`` if it is valid."""
    expected = {"id": str, "budget": str, "tokens": int}
    if not isinstance(item, dict) or item.keys() != expected.keys():
        return "expected the keys id, budget and tokens"
    for key, kind in expected.items():
        value = item[key]
        if not isinstance(value, kind) or isinstance(value, bool) or not value:
            return f"{key}: expected a non-empty {kind.__name__}"
    if item["tokens"] < 0:
        return "tokens: must be positive"
    return ""
