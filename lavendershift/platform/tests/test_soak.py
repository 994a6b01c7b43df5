"""Short soak runs: one seed, and the seeds that found faults, with their causes."""

import pytest

from lavendershift.platform.tests.soak.runner import run_seed

REGRESSIONS = {
    2: "a stream was resumed with a body of another type, or ended within an event",
    9: "a partial event of a broken stream was joined with the resumed stream",
    8: "after SIGCONT, data that arrived along with a stream's timeout raised an error",
    3: "a stream was cut off while its silent server went on",
    40: "many requests were cut off or got 502 while their silent servers went on",
    10: "a request got 502 while its silent server went on",
    4: "an odd entry among the servers' or the VMs' ended the processes",
    77: "SIGHUP before the signal handlers were installed ended the process",
}


@pytest.mark.parametrize("seed", [1, 2])
def test_short_soak_of_versions_finds_no_violations(seed, tmp_path):
    violations, endings = run_seed(seed, "versions-brief", tmp_path)
    assert violations == []
    assert endings.total() > 100


@pytest.mark.parametrize("seed", [1, 2])
def test_short_soak_of_repeated_refusals_finds_no_violations(seed, tmp_path):
    """Guards against requests that run twice after a copied refusal (TWICE)."""
    violations, endings = run_seed(seed, "repeats-brief", tmp_path)
    assert violations == []
    assert endings.total() > 100


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_short_soak_finds_no_violations(seed, tmp_path):
    # pytest keeps the folder, with the logs and records of the run.
    violations, endings = run_seed(seed, "brief", tmp_path)
    assert violations == []
    assert endings.total() > 100
