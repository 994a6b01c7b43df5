"""Checks of a configuration record that don't depend on what is in force.

Whether a change is well formed is the same at every offset; the fold in
``lavendershift.configuration`` adds what depends on the tree.
"""

from typing import Any

from returns.result import Failure

from lavendershift.records import Change
from lavendershift.tree import check_setting, format_place

MAX_ID_LENGTH = 128  # characters


def check_id(record_id: str) -> str:
    """Return what is wrong with a record's id, or ``""``."""
    if 0 < len(record_id) <= MAX_ID_LENGTH:
        return ""
    return f"id: expected 1 to {MAX_ID_LENGTH} characters"


def check_form(change: Change, offset: int) -> str:
    """Return why a change is invalid whatever the tree holds, or ``""``."""
    if not 0 <= change.base_offset <= offset:
        return f"base_offset: {change.base_offset} is not from 0 to {offset}"
    if not change.settings:
        return "settings: the change has none"
    places = set()
    for setting in change.settings:
        place = format_place(setting.path, setting.key)
        if place in places:
            return f"{place}: set twice"
        places.add(place)
        match check_setting(setting):
            case Failure(reason):
                return f"{place}: {reason}"
    return ""


def group_updates(change: Change) -> dict[str, dict[str, Any]]:
    """Return the settings of a valid change by path and key."""
    updates: dict[str, dict[str, Any]] = {}
    for setting in change.settings:
        value = check_setting(setting).unwrap()
        updates.setdefault(setting.path, {})[setting.key] = value
    return updates
