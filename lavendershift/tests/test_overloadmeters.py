import asyncio
from datetime import timedelta

import pytest

from lavendershift.clocks import ManualClock
from lavendershift.looppauses import INTERVAL, NO_WORK, Pause, PauseMeter
from lavendershift.overload.meters import LAG_LIMIT, MAX_EXCESS, OverloadMeter
from lavendershift.tests.virtualloop import VirtualLoop

MS = timedelta(milliseconds=1)
CORES = 0.516
REQUEST_S = 0.010 / CORES  # time for which a request occupies the loop
ARRIVAL_INTERVAL_S = 0.005
# Longest turn, as in traces of such VMs, where a turn handles a limited number of
# connections; and the longest queue, as callers give up.
MAX_TURN_S = 0.3
MAX_QUEUE_S = 1.0


def make_pause(length, processor_time=None):
    if processor_time is None:
        processor_time = (length + INTERVAL) * CORES
    return Pause(length, processor_time, NO_WORK, timedelta())


class LoadedLoop:
    """A loop in virtual time whose requests occupy it, and a meter on it.

    ``rates`` are the requests/s of each second, of which the fraction ``find_excess``
    is left out. ``freezes`` are times and lengths of pauses of the host.
    """

    def __init__(self, rates, freezes=()):
        self.rates = rates
        self.freezes = list(freezes)
        self.used = timedelta()
        self.excesses = []  # time and excess at each measurement
        self.lags = []
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            self.loop = runner.get_loop()
            self.meter = OverloadMeter(self.loop, lambda: self.used)
            pauses = PauseMeter(self.loop, lambda: self.used, self.note_pause)
            runner.run(self.play(pauses))

    def note_pause(self, pause):
        self.meter.note_pause(pause)
        self.excesses.append((self.loop.time(), self.meter.find_excess()))
        self.lags.append(pause.length)

    async def play(self, pauses):
        running = asyncio.ensure_future(pauses.run())
        arrived = queue = 0.0
        while self.loop.time() < len(self.rates):
            started = arrived
            arrived = max(self.loop.time(), started + ARRIVAL_INTERVAL_S)
            second = min(int(arrived), len(self.rates) - 1)
            queue += (arrived - started) * self.rates[second] * REQUEST_S
            queue = min(queue, MAX_QUEUE_S)
            excess = self.meter.find_excess()
            work = min(queue * (1 - excess), MAX_TURN_S)
            queue = max(queue - work / (1 - excess), 0)
            self.work(work)
            if self.freezes and arrived >= self.freezes[0][0]:
                self.loop.selector.now += self.freezes.pop(0)[1]
            await asyncio.sleep(max(arrived - self.loop.time(), 0))
        running.cancel()

    def work(self, seconds):
        self.loop.selector.now += seconds
        self.used += timedelta(seconds=seconds * CORES)

    def list_excesses(self, start, end):
        return [excess for time, excess in self.excesses if start <= time < end]


@pytest.mark.parametrize("load", [2, 3, 4])
def test_the_excess_is_what_the_loop_cannot_handle(load):
    """Guards against an estimate that sheds too little, or everything."""
    loop = LoadedLoop([load / REQUEST_S] * 10)
    settled = loop.list_excesses(3, 10)
    mean = sum(settled) / len(settled)
    assert abs(mean - (1 - 1 / load)) < 0.12
    late = sorted(loop.lags[len(loop.lags) // 3 :])
    assert late[len(late) // 2] < 2 * load * LAG_LIMIT


def test_a_calm_loop_has_no_excess():
    """Guards against refusals on a VM that keeps up with its load."""
    assert not any(LoadedLoop([0.7 / REQUEST_S] * 5).list_excesses(0, 5))


def test_an_overload_is_noticed_within_a_second_and_ends_within_one():
    loop = LoadedLoop([10] * 2 + [4 / REQUEST_S] * 4 + [10] * 3)
    assert not any(loop.list_excesses(0, 2))
    assert all(excess > 0.3 for excess in loop.list_excesses(3, 6))
    assert not any(loop.list_excesses(7, 9))


@pytest.mark.parametrize("length_s", [0.3, 1, 10])
@pytest.mark.parametrize("is_working", [True, False])
def test_one_long_pause_does_not_count(length_s, is_working):
    """Guards against refusals for a pause that is over, whatever its cause."""
    length = timedelta(seconds=length_s)
    meter = OverloadMeter(ManualClock(), timedelta)
    for pause in [timedelta()] * 5 + [length] + [timedelta()] * 5:
        used = pause * CORES if is_working else timedelta()
        meter.note_pause(make_pause(pause, used + MS))
        assert not meter.find_excess()


def test_pauses_of_the_host_are_no_load():
    """Guards against refusals on an idle VM that its host often suspends."""
    meter = OverloadMeter(ManualClock(), timedelta)
    for _ in range(100):
        meter.note_pause(make_pause(300 * MS, 2 * MS))
        assert not meter.find_excess()


def test_a_frozen_loop_that_was_calm_has_no_excess_for_more_than_a_second():
    loop = LoadedLoop([0.5 / REQUEST_S] * 6, freezes=[(2.0, 1.0)])
    assert not any(loop.list_excesses(0, 2))
    assert not any(loop.list_excesses(4, 6))


def test_the_excess_rises_within_a_long_turn():
    """In a growing load a turn takes seconds, in which everything was admitted."""
    clock, used = ManualClock(), timedelta()
    meter = OverloadMeter(clock, lambda: used)
    meter.note_pause(make_pause(100 * MS))
    assert not meter.find_excess()
    clock.advance(INTERVAL + 300 * MS)
    assert not meter.find_excess()  # the host has paused the process
    used += 200 * MS
    assert meter.find_excess() > 0.3


def test_a_pause_of_the_host_is_followed_by_time_to_catch_up():
    clock = ManualClock()
    meter = OverloadMeter(clock, timedelta)
    meter.note_pause(make_pause(timedelta(seconds=1), MS))
    for _ in range(3):
        clock.advance(INTERVAL + 200 * MS)
        meter.note_pause(make_pause(200 * MS))
        assert not meter.find_excess()
    for _ in range(3):
        clock.advance(INTERVAL + 200 * MS)
        meter.note_pause(make_pause(200 * MS))
    assert meter.find_excess() > 0.3


def test_the_excess_leaves_some_load():
    """Guards against a VM that sheds everything and can't notice a lower load."""
    meter = OverloadMeter(ManualClock(), timedelta)
    for _ in range(100):
        meter.note_pause(make_pause(timedelta(seconds=20)))
    assert 0.5 < meter.find_excess() <= MAX_EXCESS
