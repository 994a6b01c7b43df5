"""Tests of which parts of prompts are put into quarantine, and for how long."""

import random
from datetime import timedelta

import pytest

from lavendershift.clocks import ManualClock
from lavendershift.crashes import Suspect
from lavendershift.errors import Ran
from lavendershift.quarantine import (
    FIRST_TRIAL_DELAY,
    MAX_ANSWERED,
    MAX_QUARANTINES,
    MAX_SUSPECTED,
    RETENTION,
    Quarantine,
    QuarantineState,
    make_quarantine_error,
)

SECOND = timedelta(seconds=1)


class Play:
    """A quarantine, and the crashes and responses that it is told of."""

    def __init__(self):
        self.clock = ManualClock()
        self.quarantine = Quarantine(self.clock, random.Random(1))
        self.changes = []
        self.cleared = []
        self.quarantine.on_change = lambda *change: self.changes.append(change)
        self.quarantine.on_cleared = self.cleared.extend
        self.crashes = 0

    def crash(self, *prompts, begun=True, after=SECOND, incarnation=None, **fields):
        """Let a server crash with ``prompts``, each written as ``a,b,c``."""
        self.clock.advance(after)
        self.crashes += 1
        suspects = [Suspect(tuple(text.split(",")), begun) for text in prompts]
        incarnation = incarnation or (f"i-{self.crashes}", 1)
        fields.setdefault("is_own", True)
        self.quarantine.note_crash(incarnation, suspects, **fields)

    def answer(self, prompt):
        self.quarantine.note_answer(tuple(prompt.split(",")))

    def find(self, prompt):
        block = self.quarantine.find(tuple(prompt.split(",")))
        return None if block is None else ",".join(block.parts)


@pytest.fixture
def play():
    return Play()


def test_a_part_is_guilty_after_two_responses_that_had_begun(play):
    play.crash("a,dead,1")
    assert play.find("b,dead,2") is None
    play.crash("b,dead,2")
    assert play.find("c,dead,3") == "dead"
    assert play.find("a,x,1") is None


def test_a_part_of_waiting_requests_is_guilty_after_three_crashes(play):
    for number in range(2):
        play.crash(f"{number},dead,x{number}", begun=False)
    assert play.find("dead") is None
    play.crash("3,dead,x3", begun=False)
    assert play.find("9,dead,x9") == "dead"


def test_waiting_requests_at_a_rolling_failure_make_no_part_guilty(play):
    """Load: servers fail shortly one after the other, and requests are repeated."""
    for _ in range(12):
        play.crash("a,b,c", begun=False, after=timedelta(milliseconds=50))
    assert play.changes == []


def test_a_repeated_request_at_a_rolling_failure_makes_no_part_guilty(play):
    play.crash("a,b,c", begun=False)
    play.crash("a,b,c", begun=True)
    assert play.changes == []


def test_several_vms_report_one_crash_once(play):
    play.crash("a,dead,1", incarnation=("i-1", 1))
    play.crash("b,dead,2", incarnation=("i-1", 1), is_own=False)
    assert play.find("b,dead,2") is None


def test_two_incarnations_of_a_server_are_two_crashes(play):
    play.crash("a,dead,1", incarnation=("i-1", 1))
    play.crash("b,dead,2", incarnation=("i-1", 2))
    assert play.find("c,dead,3") == "dead"


def test_servers_that_crash_at_one_moment_count_once(play):
    """Load: a failure domain loses its power with one popular prompt in flight."""
    for _ in range(20):
        play.crash("popular,book,1", after=timedelta(milliseconds=2))
    assert play.changes == []


def test_servers_that_crash_shortly_one_after_the_other_count_each(play):
    """Load: callers send deadly prompts to several VMs at once."""
    for number in range(2):
        play.crash(f"a{number},dead,x{number}", after=timedelta(milliseconds=110))
    assert play.find("b,dead,9") == "dead"


def test_a_prompt_that_is_repeated_by_its_caller_costs_one_more_crash(play):
    play.crash("a,dead,own")
    play.answer("a,b,c")
    play.crash("a,dead,own")
    assert play.find("a,dead,own") == "dead,own"
    play.crash("a,dead,other")
    assert play.find("a,dead,third") == "dead"


def test_crashes_with_a_popular_part_in_flight_do_not_make_it_guilty(play):
    """Load: all servers crash one after the other while others respond to the part."""
    for number in range(10):
        play.crash(f"popular,{number},x{number}", begun=number % 2 == 0)
        play.answer("popular,other,y")
    assert play.changes == []
    assert "popular" in play.cleared


def test_a_response_at_another_vm_clears_a_part(play):
    play.crash("rare,1")
    play.clock.advance(SECOND)
    play.quarantine.note_peer_answer("rare", timedelta(milliseconds=100))
    play.crash("rare,2")
    assert play.find("rare,3") is None


def test_a_part_that_was_answered_before_needs_twice_the_evidence(play):
    """Load: a part becomes deadly, as with new weights."""
    play.answer("dead,1")
    for number in range(3):
        play.crash(f"dead,{number}")
    assert play.find("dead,9") is None
    play.crash("dead,4")
    assert play.find("dead,9") == "dead"


def test_the_same_holds_if_another_vm_got_the_response(play):
    play.crash("dead,1", answered=["dead"], is_own=False)
    play.crash("dead,2")
    assert play.find("dead,9") is None
    play.crash("dead,3")
    play.crash("dead,4")
    assert play.find("dead,9") == "dead"


def test_parts_that_always_occur_together_are_only_stopped_together(play):
    """A caller can't have the prompts of another customer refused."""
    play.crash("victim,dead,1")
    play.crash("victim,dead,2")
    assert play.find("victim,dead,3") == "victim,dead"
    assert play.find("victim,sound,4") is None
    assert play.find("other,dead,5") is None
    play.answer("victim,sound,4")
    play.crash("other,dead,5", after=5 * SECOND)
    assert play.find("any,dead,6") == "dead"
    assert play.find("victim,sound,7") is None


def test_a_sound_prompt_beside_a_deadly_one_does_not_stop_their_shared_part(play):
    """All VMs have restarted, so that none knows the shared part to be sound."""
    play.crash("a,dead,1")
    play.crash("a,dead,2", "a,3")
    assert play.find("a,dead,4") == "a,dead"
    assert play.find("a,5") is None


def test_two_deadly_parts_at_once_are_both_found(play):
    play.crash("dead1,a")
    play.crash("dead2,b")
    play.crash("dead1,c")
    play.crash("dead2,d")
    assert play.find("dead1,e") == "dead1"
    assert play.find("dead2,f") == "dead2"


def test_a_crash_soon_after_the_quarantine_does_not_prolong_it(play):
    play.crash("dead,1")
    play.crash("dead,2")
    play.crash("dead,3", after=SECOND / 2)
    assert len(play.changes) == 1


def test_a_failed_trial_doubles_the_time_until_the_next(play):
    play.crash("dead,1")
    play.crash("dead,2")
    parts, state, cause, is_own = play.changes[-1]
    assert (parts, cause, is_own) == (("dead",), "crash", True)
    assert state.trial_at - play.clock.elapsed() == FIRST_TRIAL_DELAY
    assert not play.quarantine.find(("dead", "3")).is_trial_due
    play.clock.advance(FIRST_TRIAL_DELAY)
    assert play.quarantine.find(("dead", "3")).is_trial_due
    play.crash("dead,3")
    _, state, _, _ = play.changes[-1]
    assert (state.version, state.failed_trials) == (2, 1)
    assert state.trial_at - play.clock.elapsed() == 2 * FIRST_TRIAL_DELAY


def test_a_response_to_a_trial_ends_the_quarantine(play):
    play.crash("dead,1")
    play.crash("dead,2")
    play.clock.advance(FIRST_TRIAL_DELAY)
    play.answer("dead,3")
    assert play.find("dead,4") is None
    parts, state, cause, is_own = play.changes[-1]
    assert (parts, state.is_active, cause, is_own) == (("dead",), False, "answer", True)
    play.crash("dead,5")
    assert play.find("dead,6") is None


def test_a_quarantine_without_trials_ends_by_itself(play):
    play.crash("dead,1")
    play.crash("dead,2")
    play.clock.advance(FIRST_TRIAL_DELAY + RETENTION + SECOND)
    assert play.find("dead,3") is None
    assert play.quarantine.list_active() == {}


def test_the_newest_state_of_other_vms_holds(play):
    play.crash("dead,1")
    play.crash("dead,2")
    at = play.clock.elapsed()
    merge = play.quarantine.merge
    merge(("dead",), QuarantineState(False, 2, 0, at + SECOND))
    assert play.find("dead,3") is None
    merge(("dead",), QuarantineState(True, 1, 0, at + SECOND))
    assert play.find("dead,3") is None
    merge(("dead",), QuarantineState(True, 2, 0, at + SECOND))
    assert play.find("dead,3") == "dead"
    merge(("dead",), QuarantineState(False, 2, 0, at + SECOND))
    assert play.find("dead,3") == "dead"


def test_callers_return_after_the_trial_is_due_and_not_together(play):
    play.crash("dead,1")
    play.crash("dead,2")
    errors = [
        make_quarantine_error(play.quarantine.find(("dead", str(n)))) for n in range(20)
    ]
    delays = {error.retry_after for error in errors}
    assert len(delays) == 20
    assert all(FIRST_TRIAL_DELAY <= d <= 1.5 * FIRST_TRIAL_DELAY for d in delays)
    assert {error.answer.ran for error in errors} == {Ran.NO}
    assert {error.answer.status for error in errors} == {503}


def test_ids_chosen_by_callers_do_not_fill_the_memory(play):
    quarantine = play.quarantine
    for number in range(3 * MAX_SUSPECTED):
        play.crash(f"part{number}" * 50, begun=False)
        quarantine.note_answer((f"answered{number}" * 50,))
    for number in range(2 * MAX_QUARANTINES):
        at = play.clock.elapsed() + SECOND
        quarantine.merge((f"q{number}",), QuarantineState(True, 1, 0, at))
    assert len(quarantine._evidence) <= MAX_SUSPECTED
    assert len(quarantine._answered) <= MAX_ANSWERED
    assert len(quarantine._states) == len(quarantine._since) == MAX_QUARANTINES
    assert max(map(len, quarantine._evidence)) <= 64


def test_a_prompt_is_suspicious_until_all_its_shared_parts_were_answered(play):
    assert play.quarantine.is_suspicious(("a", "b", "own"))
    play.answer("a,b,other")
    assert not play.quarantine.is_suspicious(("a", "b", "own"))
    play.clock.advance(timedelta(minutes=5))
    assert play.quarantine.is_suspicious(("a", "b", "own"))
