"""Checks of the soak test, on records of requests whose verdict is known."""

from types import SimpleNamespace

import pytest

from lavendershift.platform.tests.soak.evacuations import APPLY_S, check_evacuations

START, END = 100.0, 105.0  # of the evacuation


def find_evacuation_violations(sent_at, received_at, faults_at=110.0):
    """Check one request, at the second server of its service, which was evacuated."""
    call = SimpleNamespace(id="c1-1", node="edge-1", sent_at=sent_at)
    servers = [
        SimpleNamespace(received=[]),
        SimpleNamespace(received=[SimpleNamespace(id=call.id, at=received_at)]),
    ]
    world = SimpleNamespace(servers={"pool": servers}, evacuations=[(START, END)])
    return list(check_evacuations(world, [call], [90.0, faults_at]))


@pytest.mark.parametrize("sent_at", [START - 1, START + APPLY_S + 0.1, END - 0.1])
def test_a_request_that_an_evacuated_server_got_is_found(sent_at):
    """Also one whose caller sent it before: a router may not send it there later."""
    received_at = max(sent_at, START + APPLY_S) + 0.05
    assert find_evacuation_violations(sent_at, received_at)


@pytest.mark.parametrize(
    ("sent_at", "received_at"),
    [
        (START - 1, START - 0.9),
        (START + APPLY_S - 0.2, START + APPLY_S - 0.1),
        # In a trace of seed 1, a stream was resumed 0.2 s after the end.
        (END - 0.8, END + 0.2),
        (END + 0.1, END + 0.2),
    ],
)
def test_a_request_outside_an_evacuation_is_allowed(sent_at, received_at):
    assert not find_evacuation_violations(sent_at, received_at)
