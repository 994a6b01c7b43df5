"""Which connections an overloaded VM forwards; each load is replayed without I/O."""

import random
from collections import Counter
from datetime import timedelta

import pytest

from lavendershift.clocks import ManualClock
from lavendershift.overload.forwarding import (
    FAILURE_PAUSE,
    ConnectionForwarding,
    Target,
)

NEAR = Target("10.0.0.2:80", "rennes", 215.0, 10.0)
NEAR_TOO = Target("10.0.0.3:80", "rennes", 215.0, 70.0)
FAR = Target("10.0.1.2:80", "brest", 215.0, 0.0)
BUSY = Target("10.0.0.4:80", "rennes", 215.0, 140.0)


class Scene:
    def __init__(self, *targets):
        self.clock = ManualClock()
        self.excess = 0.0
        self.targets = list(targets)
        self.forwarding = ConnectionForwarding(
            self.clock,
            random.Random(1),
            "rennes",
            lambda: self.excess,
            lambda: self.targets,
        )

    def choose_many(self, number=1000):
        return Counter(self.forwarding.choose() for _ in range(number))

    def wait(self, seconds):
        self.clock.advance(timedelta(seconds=seconds))


def test_a_calm_vm_forwards_nothing():
    scene = Scene(NEAR)
    assert set(scene.choose_many()) == {None}
    assert not scene.forwarding.may_shift()


def test_a_surge_of_one_customer_goes_to_larger_vms_of_the_domain():
    """The callers stay with a VM of 52 requests/s, and send 150."""
    scene = Scene(NEAR, NEAR_TOO, FAR, BUSY)
    scene.excess = 0.4
    chosen = scene.choose_many()
    assert 0.5 < 1 - chosen[None] / 1000 < 0.7
    assert set(chosen) == {None, NEAR.address, NEAR_TOO.address}
    # Two thirds of the spare capacity are at the first one.
    assert chosen[NEAR.address] > 1.3 * chosen[NEAR_TOO.address]


def test_another_domain_is_used_if_there_is_no_room_in_this_one():
    scene = Scene(BUSY, FAR)
    scene.excess = 0.4
    assert set(scene.choose_many()) == {None, FAR.address}


@pytest.mark.parametrize("targets", [(), (BUSY,)])
def test_a_fleet_without_room_forwards_nothing(targets):
    scene = Scene(*targets)
    scene.excess = 0.9
    assert set(scene.choose_many()) == {None}
    assert not scene.forwarding.may_shift()


def test_forwarding_goes_on_for_some_time_after_the_excess():
    """Forwarding ends the excess by itself, so that it would begin and end in turn."""
    scene = Scene(NEAR)
    scene.excess = 0.6
    scene.choose_many(1)
    scene.excess = 0.0
    scene.wait(2)
    assert scene.choose_many()[NEAR.address] > 600
    scene.wait(60)
    assert set(scene.choose_many()) == {None}


def test_a_vm_that_accepts_nothing_is_left_out_for_a_second():
    scene = Scene(NEAR, FAR)
    scene.excess = 0.6
    scene.forwarding.note_failure(NEAR.address)
    assert NEAR.address not in scene.choose_many()
    scene.wait(FAILURE_PAUSE.total_seconds())
    assert NEAR.address in scene.choose_many()
