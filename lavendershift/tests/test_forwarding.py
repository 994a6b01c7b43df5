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

OWN = Target("10.0.0.1:80", "rennes", 52.0, 100.0)
NEAR = Target("10.0.0.2:80", "rennes", 215.0, 10.0)
NEAR_TOO = Target("10.0.0.3:80", "rennes", 215.0, 32.0)
FAR = Target("10.0.1.2:80", "brest", 215.0, 0.0)
BUSY = Target("10.0.0.4:80", "rennes", 215.0, 60.0)


class Scene:
    def __init__(self, *targets):
        self.clock = ManualClock()
        self.load = 0.0
        self.own = OWN
        self.targets = list(targets)
        self.forwarding = ConnectionForwarding(
            self.clock,
            random.Random(1),
            lambda: self.load,
            lambda: self.own,
            lambda: self.targets,
        )

    def choose_many(self, number=1000):
        return Counter(self.forwarding.choose() for _ in range(number))

    def wait(self, seconds, load):
        self.load = load
        for _ in range(int(seconds * 20)):
            self.clock.advance(timedelta(seconds=0.05))
            self.forwarding.find_share()


def test_a_calm_vm_forwards_nothing():
    scene = Scene(NEAR)
    scene.wait(10, load=0.55)
    assert set(scene.choose_many()) == {None}
    assert not scene.forwarding.may_shift()


def test_a_surge_of_one_customer_goes_to_other_vms_of_the_domain():
    """The callers stay with a VM of 52 requests/s, and send 100."""
    scene = Scene(NEAR, NEAR_TOO, FAR, BUSY)
    scene.wait(1, load=1.0)
    chosen = scene.choose_many()
    assert set(chosen) == {None, NEAR.address, NEAR_TOO.address}
    assert chosen[None] < 100
    # Two thirds of the spare capacity are at the first one.
    assert chosen[NEAR.address] > 1.3 * chosen[NEAR_TOO.address]


def test_the_forwarded_fraction_settles_where_the_load_can_be_handled():
    """A surge of twice the capacity; forwarding takes a fifth of serving."""
    scene = Scene(NEAR)
    loads = []
    for _ in range(600):
        share = scene.forwarding.find_share()
        scene.wait(0.05, load=min(2 * (1 - share) + 0.4 * share, 1.0))
        loads.append(scene.load)
    # Half a second of lag is not reached again, and the VM goes on serving a part.
    assert max(loads[100:]) < 0.75 and min(loads[100:]) > 0.3


def test_another_domain_is_used_if_there_is_no_room_in_this_one():
    scene = Scene(BUSY, FAR)
    scene.wait(1, load=1.0)
    assert set(scene.choose_many()) == {None, FAR.address}


@pytest.mark.parametrize("targets", [(), (BUSY,)])
def test_a_fleet_without_room_forwards_nothing(targets):
    scene = Scene(*targets)
    scene.wait(1, load=1.0)
    assert set(scene.choose_many()) == {None}
    assert not scene.forwarding.may_shift()


def test_vms_that_are_equally_busy_forward_nothing_to_each_other():
    scene = Scene(NEAR._replace(arrivals=40.0))
    scene.own = OWN._replace(capacity=215.0, arrivals=40.0)
    scene.wait(1, load=1.0)
    assert set(scene.choose_many()) == {None}


def test_forwarding_ends_slowly_after_a_surge():
    """It lowers the load by itself, so that it would begin and end in turn."""
    scene = Scene(NEAR)
    scene.wait(1, load=1.0)
    scene.wait(2, load=0.1)
    assert scene.choose_many()[NEAR.address] > 600
    scene.wait(10, load=0.1)
    assert set(scene.choose_many()) == {None}


def test_a_vm_that_accepts_nothing_is_left_out_for_a_second():
    scene = Scene(NEAR, FAR)
    scene.wait(1, load=1.0)
    scene.forwarding.note_failure(NEAR.address)
    assert NEAR.address not in scene.choose_many()
    scene.wait(FAILURE_PAUSE.total_seconds() + 0.05, load=1.0)
    assert NEAR.address in scene.choose_many()
