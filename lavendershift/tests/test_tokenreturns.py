import random

import pytest

from lavendershift.tokenreturns import (
    ReleasedTokens,
    SnapshotHistory,
    SnapshotNotStoredError,
)


def make_history(*unspent):
    """Return a history whose first snapshot is stored and whose others are in doubt."""
    history = SnapshotHistory()
    for number, tokens in enumerate(unspent):
        sent = history.begin({"plume": tokens})
        if number == 0:
            history.confirm(sent)
    return history


def is_released(history, debit):
    try:
        ReleasedTokens(history, debit)
    except SnapshotNotStoredError:
        return False
    return True


def test_tokens_that_no_snapshot_counts_are_released_at_once():
    history = make_history(0, 0)
    assert is_released(history, history.debit({"plume": 100}))


def test_tokens_of_a_snapshot_in_doubt_are_not_released():
    history = make_history(0, 500)
    assert not is_released(history, history.debit({"plume": 100}))


@pytest.mark.parametrize("unspent", [(500,), (500, 0), (0, 500)])
def test_tokens_are_released_by_a_later_stored_snapshot_only(unspent):
    history = make_history(*unspent)
    debit = history.debit({"plume": 100})
    assert not is_released(history, debit)
    history.discard(history.begin({"plume": 400}))
    assert not is_released(history, debit)
    history.begin({"plume": 400})
    assert not is_released(history, debit)
    history.confirm(history.begin({"plume": 400}))
    assert is_released(history, debit)


def test_another_customers_snapshots_do_not_hold_tokens_back():
    history = SnapshotHistory()
    history.confirm(history.begin({"encre": 500}))
    assert is_released(history, history.debit({"plume": 100}))


class SimulatedReturns:
    """A process, its snapshots in the store, and appends that may still succeed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.history = SnapshotHistory()
        self.held, self.released, self.debit = 1000, 0, None
        self.stored, self.late = 0, []  # tokens that the snapshots count

    def step_draw(self):
        self.held += self.rng.choice([10, 1000])

    def step_snapshot(self):
        number = self.history.begin({"plume": self.held})
        outcome = self.rng.choice(["done", "lost", "late", "never", "refused"])
        if outcome in ("done", "lost"):
            # Appends in doubt can't succeed any more.
            self.stored, self.late = self.held, []
        if outcome == "done":
            self.history.confirm(number)
        elif outcome == "late":
            self.late.append(self.held)
        elif outcome == "refused":
            self.history.discard(number)

    def step_late(self):
        if self.late:
            self.stored, self.late = self.rng.choice(self.late), []

    def step_debit(self):
        if self.debit is None:
            tokens = self.rng.choice([self.held, self.rng.randint(0, self.held)])
            self.debit = self.history.debit({"plume": tokens})
            self.held -= tokens

    def step_release(self):
        if self.debit is None:
            return
        if is_released(self.history, self.debit):
            self.released += 1
        elif self.rng.random() < 0.5:
            return
        else:
            self.held += self.debit.tokens["plume"]
        self.debit = None

    def check(self):
        debited = self.debit.tokens["plume"] if self.debit else 0
        assert max([self.stored, *self.late]) <= self.held + debited


@pytest.mark.parametrize("seed", range(200))
def test_no_snapshot_that_can_be_the_newest_counts_released_tokens(seed):
    simulated = SimulatedReturns(seed)
    steps = [simulated.step_draw, simulated.step_snapshot, simulated.step_snapshot]
    steps += [simulated.step_late, simulated.step_debit, simulated.step_release]
    for _ in range(200):
        simulated.rng.choice(steps)()
        simulated.check()
    assert simulated.released
