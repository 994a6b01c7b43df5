import pytest

from lavendershift.tests.prepaid_simulation import PrepaidSimulation

SEEDS = 400
STEPS = 500


@pytest.mark.parametrize("block", range(8))
def test_random_fault_schedules_never_overspend(block):
    served = borrowed = 0
    for seed in range(block * SEEDS // 8, (block + 1) * SEEDS // 8):
        simulation = PrepaidSimulation(seed)
        try:
            simulation.run(STEPS)
        except AssertionError as error:
            raise AssertionError(f"seed {seed}: {error}") from error
        served += simulation.served
        borrowed += simulation.borrowed
    assert served > SEEDS // 8 * 20
    assert borrowed > SEEDS // 8 * 1000
