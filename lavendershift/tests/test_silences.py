"""Tests of silent attempts and servers on a clock of their own."""

import random
from datetime import timedelta

import pytest

from lavendershift.clocks import ManualClock
from lavendershift.progresstimeouts import UNSIZED_BODY_TIMEOUT
from lavendershift.serverlist import ServerList
from lavendershift.serverstates import (
    NO_PROMPT,
    PromptPart,
    PromptShape,
    ServerEntry,
)
from lavendershift.silences import (
    FIRST_AVOIDANCE,
    MAX_AVOIDANCE,
    MIN_FIRST_BYTE_WAIT,
    ServerSilence,
    SilenceMonitor,
    find_first_byte_wait,
)

FIRST, GAP = 0.6, 0.9


class Timer:
    def __init__(self, at, call):
        self.at, self.call, self.is_cancelled = at, call, False

    def cancel(self):
        self.is_cancelled = True


class Loop:
    """An event loop's clock and timers; ``late_s`` delays the timers."""

    def __init__(self):
        self.now, self.late_s, self.timers = 0.0, 0.0, []

    def time(self):
        return self.now

    def call_at(self, at, call, *arguments):
        timer = Timer(at, lambda: call(*arguments))
        self.timers.append(timer)
        return timer

    def advance(self, to):
        while due := [t for t in self.timers if t.at <= to and not t.is_cancelled]:
            timer = min(due, key=lambda t: t.at)
            self.timers.remove(timer)
            self.now = max(timer.at + self.late_s, self.now)
            timer.call()
        self.now = max(self.now, to)


@pytest.fixture
def loop():
    return Loop()


@pytest.fixture
def monitor(loop):
    monitor = SilenceMonitor(loop, FIRST, GAP)
    monitor.silences = []
    monitor.on_silence = lambda: monitor.silences.append(round(loop.now, 3))
    monitor.start()
    return monitor


def test_attempt_is_silent_without_a_first_byte(loop, monitor):
    loop.advance(5.0)
    assert monitor.silences == [0.6] and monitor.is_silent
    assert monitor.longest_gap == 5.0


def test_silence_ends_with_progress_and_may_come_again(loop, monitor):
    loop.advance(1.3)
    monitor.note_progress()
    assert not monitor.is_silent and monitor.was_silent
    loop.advance(5.0)
    assert monitor.silences == [0.6, 2.2]


def test_attempt_with_progress_is_not_silent(loop, monitor):
    for step in range(1, 50):
        loop.advance(step * 0.5)
        monitor.note_progress()
    assert not monitor.silences and len(loop.timers) == 1


def test_bytes_without_progress_do_not_delay_a_silence_for_ever(loop, monitor):
    monitor.note_progress()
    for step in range(1, 40):
        loop.advance(step * 0.2)
        monitor.note_bytes()
    assert monitor.silences == [UNSIZED_BODY_TIMEOUT]


def test_slow_caller_is_no_silence_of_the_server(loop, monitor):
    monitor.note_progress()
    monitor.suspend()
    loop.advance(20.0)
    assert not monitor.silences
    monitor.resume()
    loop.advance(30.0)
    assert monitor.silences == [20.9]


def test_late_timer_lets_received_data_be_read_first(loop, monitor):
    loop.late_s = 2.0
    loop.advance(0.6)
    assert not monitor.silences
    loop.late_s = 0.0
    monitor.note_progress()
    loop.advance(3.4)
    assert not monitor.silences
    loop.advance(3.6)
    assert monitor.silences == [3.5]


def test_late_timers_do_not_hide_a_silence(loop, monitor):
    loop.late_s = 0.2
    loop.advance(5.0)
    assert monitor.silences == [1.1]


def test_stopped_monitor_reports_nothing(loop, monitor):
    monitor.stop()
    loop.advance(5.0)
    assert not monitor.silences


def seconds(number):
    return timedelta(seconds=number)


def test_first_byte_wait_grows_with_the_expected_latency():
    def find(target, expected, left):
        return find_first_byte_wait(seconds(target), seconds(expected), seconds(left))

    assert find(0.1, 0, 9) == MIN_FIRST_BYTE_WAIT
    assert find(0.8, 0.1, 9) == seconds(1.2)
    assert find(0.8, 2.0, 9) == seconds(4)
    assert find(0.8, 2.0, 1) == seconds(0.5)


def test_server_heard_on_another_request_is_not_silent():
    silence = ServerSilence()
    silence.note_heard(seconds(10))
    assert not silence.note_silence(seconds(10.5), progress_at=seconds(9.6))
    assert not silence.is_avoided(seconds(10.5))


def test_silent_server_gets_requests_at_growing_intervals():
    silence = ServerSilence()
    now = seconds(10)
    assert silence.note_silence(now, progress_at=seconds(9))
    trials = []
    while now < seconds(60):
        now += seconds(0.1)
        if not silence.is_avoided(now):
            trials.append(now)
            silence.note_request(now)
    gaps = [after - before for before, after in zip(trials, trials[1:], strict=False)]
    assert trials[0] - seconds(10) >= FIRST_AVOIDANCE
    assert gaps == sorted(gaps) and gaps[-1] <= MAX_AVOIDANCE + seconds(0.2)
    assert len(trials) < 12


def test_server_that_is_heard_again_gets_requests_at_once():
    silence = ServerSilence()
    silence.note_silence(seconds(10), progress_at=seconds(9))
    assert silence.note_heard(seconds(10.1))
    assert not silence.is_avoided(seconds(10.1))
    assert not silence.note_heard(seconds(10.2))


def test_silent_server_is_chosen_only_if_there_is_no_other():
    clock = ManualClock()
    servers = ServerList(clock, random.Random(1))
    for name in ("i-1", "i-2"):
        servers.update(ServerEntry(name, "index", f"10.0.0.{name[2]}:80", "", 8, False))
    servers.note_silence(servers.find("i-1"), clock.elapsed())
    chosen = {servers.choose("index", NO_PROMPT, ()).entry.id for _ in range(20)}
    assert chosen == {"i-2"}
    assert servers.choose("index", NO_PROMPT, ("i-2",)).entry.id == "i-1"
    assert servers.list_silent("index") == ["i-1"]
    servers.note_progress(servers.find("i-1"))
    chosen = {servers.choose("index", NO_PROMPT, ()).entry.id for _ in range(20)}
    assert chosen == {"i-1", "i-2"}


def test_requests_in_one_silence_do_not_eject_a_server_as_slow():
    clock = ManualClock()
    servers = ServerList(clock, random.Random(1))
    names = [f"i-{number}" for number in range(1, 5)]
    for name in names:
        servers.update(ServerEntry(name, "index", f"10.0.0.{name[2]}:80", "", 8, False))
    prompt = PromptShape((PromptPart("a1", 500),), 500, 10)

    def run(name, count, wait):
        started = [servers.start(servers.find(name), prompt) for _ in range(count)]
        clock.advance(wait)
        for assignment in started:
            servers.record_latency(assignment)
            servers.record_prompt_read(assignment)
            servers.finish(assignment)

    for _ in range(10):
        for name in names:
            run(name, 1, seconds(0.05))
    run("i-1", 8, seconds(0.55))
    assert servers.choose("index", NO_PROMPT, names[1:]).entry.id == "i-1"
    others = ("i-2", "i-3")
    assert servers.choose("index", NO_PROMPT, others).entry.id in ("i-1", "i-4")
    chosen = {servers.choose("index", NO_PROMPT, others).entry.id for _ in range(30)}
    assert chosen == {"i-1", "i-4"}
