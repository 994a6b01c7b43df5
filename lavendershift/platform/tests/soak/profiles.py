"""Sizes and phases of soak runs."""

import time
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from lavendershift.platform.tests.soak.callers import Caller
from lavendershift.platform.tests.soak.evacuations import EVACUATIONS
from lavendershift.platform.tests.soak.faults import FAULTS, PLANNED
from lavendershift.platform.tests.soak.misbehaviours import MISBEHAVIOURS
from lavendershift.platform.tests.soak.oddentries import ODD_ENTRIES
from lavendershift.platform.tests.soak.restarts import (
    ONCE_ROUTE,
    RESTARTS,
    OnceCaller,
)
from lavendershift.platform.tests.soak.schedules import run_phase
from lavendershift.platform.tests.soak.silences import LONG_SILENCES, SILENCES
from lavendershift.platform.tests.soak.sites import (
    SITE,
    SITE_SILENCES,
    SiteCaller,
    end_site,
    prepare_site,
)
from lavendershift.platform.tests.soak.versions import run_versions


class Profile(NamedTuple):
    """Numbers of processes, and a function that runs the phases in a world.

    It returns the start times of the planned phase, of the faults and of the recovery.
    """

    nodes: int
    servers: dict
    callers: int
    caller: type
    run_phases: Callable
    routes: list = []  # beside those of all profiles


def run_all_phases(world, planned_s=6.0, faults_s=10.0):
    """Run planned operations, then faults of all kinds."""
    starts = [time.monotonic()]
    time.sleep(0.5)
    beside = SILENCES | ODD_ENTRIES | MISBEHAVIOURS
    run_phase(world, [PLANNED, beside, EVACUATIONS], planned_s, gap_s=(0.3, 1.2))
    time.sleep(0.5)
    starts.append(time.monotonic())
    beside |= LONG_SILENCES
    run_phase(world, [FAULTS, beside], faults_s, gap_s=(0.05, 0.6))
    return [*starts, time.monotonic()]


def run_repeats(world, length_s=20.0):
    """Run servers that restart and repeat refusals beside faults of all kinds."""
    start = time.monotonic()
    beside = SILENCES | ODD_ENTRIES | MISBEHAVIOURS | LONG_SILENCES
    kinds = [FAULTS, beside, RESTARTS | EVACUATIONS]
    run_phase(world, kinds, length_s, gap_s=(0.05, 0.6))
    return [start, start, time.monotonic()]


def run_site(world, length_s=30.0):
    """Run planned operations and silences; ``check_endings`` covers all of them."""
    start = time.monotonic()
    prepare_site(world)
    run_phase(world, [SITE, SILENCES | SITE_SILENCES], length_s, gap_s=(0.1, 1.0))
    end_site(world)
    return [start, start, time.monotonic()]


SHORT = Profile(3, {"pool": 3, "ledger": 3}, 8, Caller, run_all_phases)
SITE_SIZE = Profile(8, {"pool": 6, "ledger": 3}, 40, SiteCaller, run_site)
# With few servers, the next one to try is often the restarted one.
REPEATS = SHORT._replace(
    servers={"pool": 2, "ledger": 2},
    caller=OnceCaller,
    run_phases=run_repeats,
    routes=[ONCE_ROUTE],
)
PROFILES = {
    "brief": SHORT._replace(
        run_phases=partial(run_all_phases, planned_s=2.5, faults_s=4.0)
    ),
    "short": SHORT,
    "repeats": REPEATS,
    "repeats-brief": REPEATS._replace(run_phases=partial(run_repeats, length_s=6.0)),
    "site": SITE_SIZE,
    "versions": SHORT._replace(nodes=6, run_phases=run_versions),
    "versions-brief": SHORT._replace(
        nodes=4, run_phases=partial(run_versions, length_s=8.0)
    ),
    "versions-large": SHORT._replace(
        nodes=24, callers=40, run_phases=partial(run_versions, length_s=30.0)
    ),
    "large": SITE_SIZE._replace(
        nodes=24, servers={"pool": 12, "ledger": 6}, callers=80
    ),
}
