"""Tests of how requests end that have no complete response, in virtual time."""

import pytest

from lavendershift.tests.silenceservers import NEVER
from lavendershift.tests.silencesimulation import SilenceFleet, Size


def make_fleet(seed=1, vms=1, servers=1):
    return SilenceFleet(seed, Size(vms, vms, servers, 0.0))


def end_requests(fleet):
    assert fleet.find_vm(0).gateway.end_requests() == 1


@pytest.mark.parametrize(
    "kind, silent_at, at, error",
    [
        ("stream", 0.0, 0.1, "STOPPING"),
        ("once", 0.0, 0.1, "STOPPING"),
        ("once", 0.1, 0.2, "OUTCOME_UNKNOWN"),
        ("safe", 0.1, 0.2, "SERVER_FAILED"),
        ("stream", 0.01, 0.02, "SERVER_FAILED"),
        ("stream", 0.3, 0.4, "aborted"),
    ],
)
def test_request_in_flight_at_the_end_of_a_stop_gets_a_definite_end(
    kind, silent_at, at, error
):
    fleet = make_fleet()
    was_sent = silent_at > 0
    silence = (silent_at, fleet.servers[0].fall_silent, NEVER, not was_sent)
    schedule = [silence, (0.001, fleet.send, kind), (at, end_requests, fleet)]
    fleet.run(at + 0.1, schedule)
    [call] = fleet.calls.values()
    assert call.error == error and not call.is_done
    assert call.ended_at == pytest.approx(at, abs=0.01)
    assert [flight.end for flight in call.flights] == ["closed"] * was_sent


def test_request_that_waits_for_tokens_at_the_end_of_a_stop_is_refused():
    """Nothing was sent for it, so that it may say so."""
    fleet = make_fleet()
    gateway = fleet.find_vm(0).gateway

    async def wait_for_trial(parts):
        await fleet.loop.create_future()

    gateway._check_quarantine = wait_for_trial
    fleet.run(0.3, [(0.0, fleet.send, "stream"), (0.1, end_requests, fleet)])
    [call] = fleet.calls.values()
    assert (call.error, call.flights) == ("STOPPING", [])
