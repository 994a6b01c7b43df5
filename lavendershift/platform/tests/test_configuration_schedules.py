"""Configurations that are written in quick succession, in virtual time."""

import pytest

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


def test_version_is_in_force_in_time_though_the_store_ends_each_wait_late():
    """A poll that missed a record was answered at the end of its wait only."""
    delays = []
    for step in range(20):
        fleet = FeedFleet([LinkSpeed(5, 0.3)])
        fleet.store.has_lost_wakeups = True
        fleet.play(make_versions([5.0, 15 + step / 10], 1200), 25.0)
        delays += fleet.measure_delays(fleet.vms[0]).values()
    assert max(delays) <= APPLY_S, delays
