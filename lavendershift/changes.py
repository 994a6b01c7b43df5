"""Checks of a configuration record that don't depend on the active tree.

``lavendershift.configuration`` adds the checks against the tree's values.
"""

from typing import Any

from returns.result import Failure

from lavendershift.records import Change
from lavendershift.tree import check_setting, format_place

MAX_ID_LENGTH = 128  # longest record id, in characters


def check_id(record_id: str) -> str:
    """Return why a record's id is invalid, or ``""``."""
    if 0 < len(record_id) <= MAX_ID_LENGTH:
        return ""
    return f"id: expected 1 to {MAX_ID_LENGTH} characters"


def check_form(change: Change, offset: int) -> str:
    """Return why a change at ``offset`` is malformed, or ``""``."""
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
    """Return the values that a valid change sets, by path and key."""
    updates: dict[str, dict[str, Any]] = {}
    for setting in change.settings:
        value = check_setting(setting).unwrap()
        updates.setdefault(setting.path, {})[setting.key] = value
    return updates
