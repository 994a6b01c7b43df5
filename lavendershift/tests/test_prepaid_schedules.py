import pytest

from lavendershift.tests.prepaid_simulation import PrepaidSimulation

SEEDS = 400
STEPS = 500


def run_seed(seed, steps=STEPS, **options):
    simulation = PrepaidSimulation(seed, **options)
    try:
        simulation.run(steps)
    except AssertionError as error:
        raise AssertionError(f"seed {seed}: {error}") from error
    return simulation


@pytest.mark.parametrize("block", range(8))
def test_random_fault_schedules_never_overspend(block):
    served = borrowed = 0
    for seed in range(block * SEEDS // 8, (block + 1) * SEEDS // 8):
        simulation = run_seed(seed)
        served += simulation.served
        borrowed += simulation.borrowed
    assert served > SEEDS // 8 * 20
    assert borrowed > SEEDS // 8 * 1000


@pytest.mark.parametrize("block", range(2))
def test_fault_schedules_of_one_customer_never_overspend(block):
    served = 0
    for seed in range(block * 100, (block + 1) * 100):
        served += run_seed(seed, customers=("plume",)).served
    assert served > 100 * 20


@pytest.mark.parametrize("block", range(2))
def test_schedules_with_restores_of_the_store_never_overspend(block):
    """Grants that the copy lacked were drawn twice."""
    served = restores = 0
    for seed in range(block * 60, (block + 1) * 60):
        simulation = run_seed(seed, 300, is_restored=True)
        served += simulation.served
        restores += simulation.restores
    assert served > 60 * 10
    assert restores > 60


@pytest.mark.parametrize(
    ("vms", "seeds", "steps"),
    [(8, 40, 500), (66, 2, 500), (195, 1, 300), (330, 1, 300)],
)
def test_fault_schedules_of_a_fleet_never_overspend(vms, seeds, steps):
    for seed in range(seeds):
        assert run_seed(seed, steps, vms=vms).served > 0
