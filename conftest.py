"""Pytest hooks: tests listed in KNOWN-RED.txt run, but may fail."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).with_name("KNOWN-RED.txt")
PREFIX = "test: "


def read_known_red():
    """Return the node ids of the listed tests."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix(PREFIX) for line in lines if line.startswith(PREFIX)}


def pytest_collection_modifyitems(items):
    """Mark the listed tests as expected failures, so that the run can pass."""
    listed = read_known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
