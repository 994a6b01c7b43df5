"""Pauses of the event loop, in which a process handles no connection and no timer.

A loop pauses while one callback runs for long, or while the process gets no processor
time; the processor time of a pause tells one from the other. ``PauseMeter`` sleeps for
a short interval again and again and takes its lateness for the length of a pause. Code
that may run for long names itself with ``measure``::

    meter = PauseMeter(clock, read_processor_time, report)
    with meter.measure("configuration"):
        table = build_table()
"""

import asyncio
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.instruments import Instruments
from lavendershift.linelimits import LineLimit
from lavendershift.logs import Event, EventLog, in_milliseconds

INTERVAL = timedelta(milliseconds=50)  # interval between two wake-ups of the meter
MIN_REPORTED_PAUSE = timedelta(milliseconds=100)  # shortest pause with a log line
MAX_LINES = 10  # log lines in one period
PERIOD = timedelta(seconds=10)
NO_WORK = ""


class Pause(NamedTuple):
    """A pause of the event loop.

    ``length`` is its length, to within the meter's interval, and ``processor_time``
    what the process used of the processor meanwhile. ``work`` names the longest
    measured work in it, which took ``work_time``.
    """

    length: timedelta
    processor_time: timedelta
    work: str
    work_time: timedelta


PauseListener = Callable[[Pause], None]


def read_processor_time() -> timedelta:
    """Return the processor time that this process has used."""
    return timedelta(seconds=time.process_time())


class PauseMeter:
    """Measures the pauses of the event loop that it runs on."""

    def __init__(
        self,
        clock: Clock,
        read_processor: Callable[[], timedelta],
        *listeners: PauseListener,
    ) -> None:
        self._clock = clock
        self._read_processor = read_processor
        self._listeners = listeners
        self._work = NO_WORK
        self._work_time = timedelta()

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            self._work, self._work_time = NO_WORK, timedelta()
            began, used = self._clock.elapsed(), self._read_processor()
            await asyncio.sleep(INTERVAL.total_seconds())
            length = self._clock.elapsed() - began - INTERVAL
            processor_time = self._read_processor() - used
            pause = Pause(
                max(length, timedelta()),
                processor_time,
                self._work,
                self._work_time,
            )
            for listener in self._listeners:
                listener(pause)

    @contextmanager
    def measure(self, work: str) -> Iterator[None]:
        """Measure work that doesn't yield to the event loop."""
        began = self._clock.elapsed()
        try:
            yield
        finally:
            duration = self._clock.elapsed() - began
            if duration >= self._work_time:
                self._work, self._work_time = work, duration


class PauseReports:
    """Metrics of all pauses, and log lines of long ones."""

    def __init__(self, clock: Clock, log: EventLog, instruments: Instruments) -> None:
        self._log = log
        self._instruments = instruments
        self._lines = LineLimit(clock, MAX_LINES, PERIOD)
        self._longest = timedelta()

    def report(self, pause: Pause) -> None:
        """Report one pause."""
        self._instruments.observe("loop_pause", pause.length)
        if pause.length > self._longest:
            self._longest = pause.length
            self._instruments.set_gauge(
                "longest_loop_pause", pause.length.total_seconds()
            )
        if pause.length < MIN_REPORTED_PAUSE or not self._lines.take():
            return
        self._log.write(
            Event.LOOP_PAUSED,
            duration_ms=in_milliseconds(pause.length),
            processor_ms=in_milliseconds(pause.processor_time),
            name=pause.work,
            work_ms=in_milliseconds(pause.work_time),
        )
