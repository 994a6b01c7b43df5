"""Tests of the directory with real processes."""

import json
import time

from lavendershift.platform.tests.live_nodes import Platform, wait_for

PATH = "/resolve?name=books.example&zone=rennes"
STABLE_WINDOW_S = 3.0  # default of the settings
ALLOWANCE_S = 3.0


def list_addresses(node):
    body = json.loads(node.get(node.directory, PATH).body or b"{}")
    return body.get("addresses", [])


def test_killed_vms_are_not_named_after_the_stable_window_and_3_s(tmp_path):
    """The silence of most VMs looks like a partition, so that rows have to tell."""
    platform = Platform(tmp_path, nodes=3)
    platform.start()
    try:
        first, *others = platform.nodes
        wait_for(lambda: len(list_addresses(first)) >= 2, "the other VMs")
        for node in others:
            node.kill()
        killed_at = time.monotonic()
        while time.monotonic() < killed_at + STABLE_WINDOW_S + ALLOWANCE_S:
            time.sleep(0.05)
        own = [f"{first.ip}:{first.callers}"]
        answers = [list_addresses(first) for _ in range(20)]
        assert answers == [own] * 20
    finally:
        platform.stop()
