import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from lavendershift.ledger import Ledger
from lavendershift.records import decode_entry
from lavendershift.tests.checker import check_run
from lavendershift.tests.fleet import STREAM
from lavendershift.tests.world import World

# With ``derandomize``, the source of a ``@given`` function, its name included, seeds
# the schedules that it is given.
STEPS = 900  # number of bytes of choices, about two for each step of a schedule
schedules = st.binary(min_size=STEPS, max_size=STEPS)


def run_schedules(count):
    return settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=count,
        phases=[Phase.generate],  # shrinking takes minutes for 900 bytes
        suppress_health_check=list(HealthCheck),
    )


def check_schedule(choices, policy):
    world = World(choices, policy)
    world.run()
    assert check_run(world.report()) == []
    for budget in world.budgets:
        view = world.operator.find_budget(budget, len(world.top_ups))
        ran = sum(e.tokens for e in world.executions if e.budget == budget)
        assert view.spent == ran
        assert view.held == {}, "tokens are still held after all attempts are settled"
        assert view.available == view.prepaid - ran
    return world


@run_schedules(700)
@given(schedules)
def test_no_schedule_breaks_a_promise(choices):
    check_schedule(choices, "adaptive")


@pytest.mark.parametrize("policy", ["per_request", "equal_split", "fixed"])
def test_no_other_policy_violates_a_guarantee(policy):
    @run_schedules(100)
    @given(schedules)
    def check(choices):
        check_schedule(choices, policy)

    check()


@run_schedules(60)
@given(schedules, st.integers(0, 10**6))
def test_checkpoint_and_tail_equal_full_replay(choices, cut):
    world = check_schedule(choices, "adaptive")
    entries = [decode_entry(STREAM, *entry) for entry in world.log.entries]
    cut %= len(entries)
    full = Ledger(STREAM, world.prepaid)
    for entry in entries[:cut]:
        full.apply(entry)
    restored = Ledger.restore(full.make_checkpoint("a"), world.prepaid)
    for entry in entries[cut:]:
        assert full.apply(entry) == restored.apply(entry)
    assert full.make_checkpoint("b") == restored.make_checkpoint("b")


def test_schedules_cover_every_kind_of_record_and_reply():
    seen = set()

    @run_schedules(60)
    @given(schedules)
    def collect(choices):
        world = check_schedule(choices, "adaptive")
        seen.update(raw[0] for _, _, raw in world.log.entries)
        seen.update(reply.kind for reply in world.replies)
        seen.add("expired" if world.log.first else "whole")

    collect()
    kinds = "join grant return transfer recall charge claim abandon outcome"
    kinds += " evict evict_ack close release recover answer refused unknown expired"
    assert seen >= set(kinds.split())
