"""Returns of prepaid tokens whose lease snapshots meet faults of the store."""

import asyncio
from datetime import timedelta

import pytest

from lavendershift.tests.prepaid_simulation import (
    LEASES,
    Fault,
    PrepaidSimulation,
)
from lavendershift.tests.virtualloop import VirtualLoop

HOLDING_AFTER = timedelta(seconds=3)  # time from the start until VMs draw ahead


def simulate(work):
    """Run ``work`` with two VMs and one customer, without random faults."""
    simulation = PrepaidSimulation(seed=0, vms=2)
    simulation.prepaid = {"plume": 60_000}
    simulation.late_share = simulation.lost_share = 0.0
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        runner.run(work(simulation, *simulation.vms))
    return simulation


async def hold_tokens(simulation, vm):
    """Let a VM that started without tokens draw ahead."""
    await vm.run_round()
    simulation.now += HOLDING_AFTER
    await vm.run_round()


async def return_and_restart(simulation, vm):
    """Return all tokens, then replace the process by one that may adopt some."""
    vm.draws.return_all()
    await vm.run_round()
    vm.end_process(loses_power=False)
    await vm.run_round()


def test_returned_tokens_are_not_adopted_after_a_lost_answer_to_a_snapshot():
    async def work(simulation, vm, other):
        await vm.run_round()
        simulation.now += HOLDING_AFTER
        simulation.faults[LEASES] = [Fault.LOST]
        await vm.run_round()
        await return_and_restart(simulation, vm)
        simulation.check()

    simulate(work)


@pytest.mark.parametrize("races", [10, 1000])
def test_returned_tokens_are_not_adopted_after_lost_races_for_a_snapshot(races):
    async def work(simulation, vm, other):
        await hold_tokens(simulation, vm)
        simulation.faults[LEASES] = [Fault.RACE] * races
        vm.draws.return_all()
        await vm.run_round()
        vm.end_process(loses_power=False)
        simulation.faults[LEASES].clear()
        await vm.run_round()
        simulation.check()

    simulate(work)


def test_no_quota_record_below_zero_locks_a_customer_out():
    async def work(simulation, vm, other):
        await vm.run_round()
        simulation.now += HOLDING_AFTER
        simulation.faults[LEASES] = [Fault.LOST]
        await vm.run_round()
        for _ in range(2):
            await return_and_restart(simulation, vm)
        await other.run_round()
        assert simulation.find_granted("plume") >= 0
        assert other.draws.count_left("plume") > 0

    simulate(work)


def test_more_tokens_than_are_granted_are_not_returned():
    """The quota record would be below zero, and lock the customer out."""

    async def work(simulation, vm, other):
        await hold_tokens(simulation, vm)
        granted = simulation.find_granted("plume")
        vm.draws.find_account("plume").credit(50_000)
        vm.draws.return_all()
        await vm.run_round()
        assert simulation.find_granted("plume") == granted
        await other.run_round()
        assert other.draws.count_left("plume") > 0

    simulate(work)
