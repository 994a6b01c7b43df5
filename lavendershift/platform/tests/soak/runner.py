"""Runner of one seed of the soak test."""

import tempfile
from pathlib import Path

from lavendershift.platform.tests.soak.violations import find_violations
from lavendershift.platform.tests.soak.world import SoakWorld


def run_seed(seed, nodes=3, planned_s=6.0, faults_s=10.0, folder=None):
    """Run one seed; return its violations and the number of requests."""
    with tempfile.TemporaryDirectory() as temporary:
        world = SoakWorld(Path(folder or temporary), seed, nodes)
        try:
            starts = world.run(planned_s, faults_s)
            violations = list(find_violations(world, starts))
        finally:
            world.stop()
        return violations, sum(len(caller.calls) for caller in world.callers)
