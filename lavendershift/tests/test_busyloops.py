"""Requests on a VM whose event loop is busy, in virtual time."""

import pytest

from lavendershift.tests.silenceservers import NEVER
from lavendershift.tests.silencesimulation import KINDS, SilenceFleet, Size

HELD_S = 0.5  # time after its timeout within which a request has to be answered
LOADS_S = (0.05, 0.1)  # time of a turn of the event loop under load


def keep_busy(loop, turn_s, until_s=10.0):
    """Let each turn of the event loop take some seconds, without a pause between."""
    is_over = loop.time() > until_s
    loop.selector.be_busy(0.0 if is_over else turn_s)
    if not is_over:
        loop.call_soon(keep_busy, loop, turn_s)


def measure_delay(kind, turn_s):
    """Return how long after its time a request without a response was refused."""
    fleet = SilenceFleet(1, Size(1, 1, 2, 0.0))
    for server in fleet.servers:
        server.fall_silent(NEVER)
    fleet.loop.call_later(4.0, keep_busy, fleet.loop, turn_s)
    fleet.run(20.0, [(1.0, fleet.send, kind)])
    (call,) = fleet.calls.values()
    assert call.error
    return call.ended_at - fleet.find_end(call)


@pytest.mark.parametrize("turn_s", LOADS_S)
@pytest.mark.parametrize("kind", KINDS)
def test_request_without_a_response_is_refused_on_time_by_a_busy_loop(kind, turn_s):
    """Each of many steps after its timeout took a turn of the event loop."""
    assert measure_delay(kind, turn_s) <= HELD_S
