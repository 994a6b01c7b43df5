import asyncio
from datetime import timedelta

import logbook
import pytest

from lavendershift.instruments import Instruments
from lavendershift.logs import EventLog
from lavendershift.looppauses import (
    INTERVAL,
    MAX_LINES,
    MIN_REPORTED_PAUSE,
    NO_WORK,
    PERIOD,
    PauseMeter,
    PauseReports,
)
from lavendershift.tests.virtualloop import VirtualLoop


class PausedLoop:
    """A loop in virtual time that stands still once, with a meter on it."""

    def __init__(self, length, work=NO_WORK, processor_share=1.0):
        self.length = length
        self.work = work
        self.processor_share = processor_share
        self.used = timedelta()
        self.pauses = []
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            self.loop = runner.get_loop()
            self.meter = PauseMeter(self.loop, lambda: self.used, self.pauses.append)
            runner.run(self.play())

    async def play(self):
        running = asyncio.ensure_future(self.meter.run())
        await asyncio.sleep(1.0)
        if self.work:
            with self.meter.measure("short"):
                self.loop.selector.now += 0.001
            with self.meter.measure(self.work):
                self.stand_still()
        else:
            self.stand_still()
        await asyncio.sleep(1.0)
        running.cancel()

    def stand_still(self):
        self.loop.selector.now += self.length.total_seconds()
        self.used += self.length * self.processor_share


@pytest.mark.parametrize("length_ms", [60, 500, 2000])
def test_a_pause_is_measured_to_within_the_interval(length_ms):
    length = timedelta(milliseconds=length_ms)
    longest = max(PausedLoop(length).pauses)
    assert length - INTERVAL <= longest.length <= length
    assert longest.work == NO_WORK


def test_a_loop_without_a_pause_is_on_time():
    pauses = PausedLoop(timedelta()).pauses
    assert len(pauses) > 30
    assert max(pauses).length < timedelta(milliseconds=1)


def test_a_pause_names_its_longest_work():
    longest = max(PausedLoop(timedelta(seconds=0.4), "configuration").pauses)
    assert longest.work == "configuration"
    assert longest.work_time == timedelta(seconds=0.4)


def test_a_pause_without_the_processor_is_told_from_a_busy_one():
    length = timedelta(seconds=1)
    assert max(PausedLoop(length).pauses).processor_time == length
    suspended = max(PausedLoop(length, processor_share=0.0).pauses)
    assert suspended.processor_time == timedelta()


@pytest.fixture
def reports():
    handler = logbook.TestHandler()
    clock = VirtualLoop()
    log = EventLog(handler, "edge-1", "rennes", clock)
    yield clock, PauseReports(clock, log, Instruments()), handler
    clock.close()


def make_pauses(length, count):
    paused = PausedLoop(timedelta())
    return [paused.pauses[0]._replace(length=length)] * count


def test_log_lines_of_pauses_are_bounded(reports):
    clock, report, handler = reports
    clock.selector.now += 1
    for pause in make_pauses(MIN_REPORTED_PAUSE, 3 * MAX_LINES):
        report.report(pause)
    assert len(handler.records) == MAX_LINES
    clock.selector.now += PERIOD.total_seconds()
    for pause in make_pauses(MIN_REPORTED_PAUSE, 1):
        report.report(pause)
    assert len(handler.records) == MAX_LINES + 1


def test_metrics_have_the_longest_pause_and_lines_only_long_ones(reports):
    _, report, handler = reports
    for length_s in (0.01, 0.09, 0.02):
        for pause in make_pauses(timedelta(seconds=length_s), 1):
            report.report(pause)
    assert not handler.records
    page = report._instruments.render()
    assert b"lavendershift_longest_loop_pause 0.09" in page
    assert b"lavendershift_loop_pause_seconds_count 3.0" in page
