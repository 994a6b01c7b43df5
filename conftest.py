"""Tests that KNOWN-RED.txt lists are run, and may fail."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).with_name("KNOWN-RED.txt")
PREFIX = "test: "


def read_known_red():
    """Return the ids of the tests that are listed."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix(PREFIX) for line in lines if line.startswith(PREFIX)}


def pytest_collection_modifyitems(items):
    """Let the listed tests fail without failing the run."""
    listed = read_known_red()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
