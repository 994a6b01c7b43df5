import pytest

from lavendershift.tests.prepaid_world import PrepaidWorld

SEEDS = 400
STEPS = 500


@pytest.mark.parametrize("block", range(8))
def test_no_schedule_of_faults_overspends(block):
    served = borrowed = 0
    for seed in range(block * SEEDS // 8, (block + 1) * SEEDS // 8):
        world = PrepaidWorld(seed)
        try:
            world.run(STEPS)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error
        served += world.served
        borrowed += world.borrowed
    assert served > SEEDS // 8 * 20
    assert borrowed > SEEDS // 8 * 1000
