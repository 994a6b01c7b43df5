"""Configurations that are written in quick succession, in virtual time."""

import random

import pytest

from lavendershift.platform import names
from lavendershift.platform.tests.feedfleet import FeedFleet, LinkSpeed, make_versions

APPLY_S = 3.0  # time after which a version has to be in force
CALM = LinkSpeed(50, 0.004)
# A link at which packets wait for half a second in each direction.
CONGESTED = LinkSpeed(5, 1.0)


@pytest.mark.parametrize("gap_s", [0.08, 0.25, 0.6])
def test_versions_in_quick_succession_are_in_force_in_time_on_a_congested_link(gap_s):
    """Older versions were read whole before the newest one."""
    versions = make_versions([5.0, *(15 + gap_s * n for n in range(12))], 250)
    fleet = FeedFleet([CALM, CALM, CONGESTED]).play(versions, 40.0)
    delays = fleet.measure_delays(fleet.vms[-1])
    assert max(delays.values()) <= APPLY_S, delays


@pytest.mark.parametrize("gap_s", [0.02, 0.1, 0.3])
def test_changes_of_all_routes_in_quick_succession_are_in_force_in_time(gap_s):
    """Versions whose patches are too large were all read, one after the other."""
    times = [5.0, *(15 + gap_s * n for n in range(14))]
    versions = make_versions(times, 1200, random.Random(1))
    fleet = FeedFleet([CALM, LinkSpeed(5, 0.02)]).play(versions, 40.0)
    delays = fleet.measure_delays(fleet.vms[-1])
    assert max(delays.values()) <= APPLY_S, delays


@pytest.mark.parametrize("loss", [0.0, 0.05, 0.2])
@pytest.mark.parametrize("routes", [600, 1200])
def test_a_large_change_is_in_force_in_time_on_a_congested_link(routes, loss):
    """Each VM read the version whole, a window of bytes in each round trip."""
    times = [5.0, *(15.0 + 5 * number for number in range(8))]
    versions = make_versions(times, routes, random.Random(1))
    fleet = FeedFleet([CALM, CALM, CONGESTED], loss=loss).play(versions, 60.0)
    delays = fleet.measure_delays(fleet.vms[-1])
    assert max(delay for version, delay in delays.items() if version > 1) <= APPLY_S, (
        delays
    )


def test_version_is_in_force_in_time_though_the_store_ends_each_wait_late():
    """A poll that missed a record was answered at the end of its wait only."""
    delays = []
    for step in range(20):
        fleet = FeedFleet([LinkSpeed(5, 0.3)])
        fleet.store.has_lost_wakeups = True
        fleet.play(make_versions([5.0, 15 + step / 10], 1200), 25.0)
        delays += fleet.measure_delays(fleet.vms[0]).values()
    assert max(delays) <= APPLY_S, delays


@pytest.mark.parametrize("loss", [0.0, 0.1, 0.5, 1.0])
@pytest.mark.parametrize("count", [3, 30])
def test_versions_are_in_force_in_time_whatever_datagrams_are_lost(count, loss):
    versions = make_versions([5.0, *(15 + 0.3 * n for n in range(10))], 250)
    speeds = [LinkSpeed(20, 0.01)] * count
    fleet = FeedFleet(speeds, loss=loss).play(versions, 30.0)
    delays = [max(fleet.measure_delays(vm).values()) for vm in fleet.vms]
    assert max(delays) <= APPLY_S, delays


def test_a_version_from_another_vm_skips_no_evacuation():
    """A VM went on after the version, and never read what was written before it."""
    evacuation = (names.OPERATOR_TOPIC, names.EVACUATION_PREFIX + b"rennes", b"{}")
    versions = make_versions([5.0, 15.0, 15.2], 250)
    for at in (14.9, 15.1, 15.3):
        fleet = FeedFleet([LinkSpeed(20, 0.01)] * 3)
        fleet.loop.call_later(at, fleet.store.append, *evacuation)
        fleet.play(versions, 25.0)
        for vm in fleet.vms:
            assert vm.evacuations.includes("rennes")


def test_version_reaches_a_vm_that_the_store_does_not():
    """A VM without the store went on with keys that had been revoked."""
    versions = make_versions([5.0, 15.0, 16.0], 250)
    fleet = FeedFleet([CALM] * 3)
    fleet.vms[-1].link.outages = [(14.0, 30.0)]
    fleet.play(versions, 25.0)
    delays = fleet.measure_delays(fleet.vms[-1])
    assert max(delays.values()) <= APPLY_S, delays


@pytest.mark.parametrize("count", [8, 78, 330])
def test_a_version_is_read_from_the_store_by_few_vms(count):
    """Each VM read each version whole."""
    versions = make_versions([5.0, *(15 + 0.5 * n for n in range(8))], 50)
    fleet = FeedFleet([CALM] * count).play(versions, 20.0)
    size = max(len(body) for _, body in versions)
    read = sum(vm.link.received for vm in fleet.vms) / size
    first = count  # versions that VMs read before they can apply a patch
    assert (read - first) / len(versions) < 0.05 * count + 2, read
    for vm in fleet.vms:
        assert max(fleet.measure_delays(vm).values()) <= APPLY_S
