"""Playing one seed."""

import tempfile
from pathlib import Path

from lavendershift.platform.tests.soak.judge import judge
from lavendershift.platform.tests.soak.world import SoakWorld


def play_seed(seed, nodes=3, calm_s=6.0, chaos_s=10.0, folder=None):
    """Play one seed; returns its violations and the number of requests."""
    with tempfile.TemporaryDirectory() as temporary:
        world = SoakWorld(Path(folder or temporary), seed, nodes)
        try:
            starts = world.run(calm_s, chaos_s)
            found = list(judge(world, starts))
        finally:
            world.stop()
        return found, sum(len(caller.calls) for caller in world.callers)
