"""Replay of a VM with little processor time, on virtual time.

The VM handles its requests as an event loop does: in each turn, what has arrived by
then. A request costs processor time when it arrives, and more when it is served, and in
between it is at a server. Callers return once after a refusal, to the same VM or to
another one that serves them.
"""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import ManualClock
from lavendershift.looppauses import INTERVAL, NO_WORK, Pause
from lavendershift.overload.admissions import OverloadAdmission, OverloadError
from lavendershift.overload.meters import LAG_LIMIT, OverloadMeter
from lavendershift.overload.works import Work

CORES = 0.516
ARRIVAL_S = 0.002  # processor time of an arrival, and of a refusal
SERVING_S = 0.008  # further processor time of a served request
SERVER_S = 0.1  # time at the server
CAPACITY = CORES / (ARRIVAL_S + SERVING_S)  # requests/s, if none is refused
ELSEWHERE_S = 0.15  # time in which another VM serves a request
DEADLINE_S = 10.0
LATE_WORTH = 0.1  # worth of a late response, as a part of the full value


class Kind(NamedTuple):
    """A kind of request."""

    name: str
    urgency: int
    target_s: float
    value: float


CHAT = Kind("chat", 0, 1.0, 1.5)
TAG = Kind("tag", 2, 2.0, 0.16)


class Load(NamedTuple):
    """Requests/s of a customer from ``start`` to ``end``.

    ``size`` is relative to the usual one, with ``spread`` around it. Callers that
    ``insist`` retry at once, up to three times. ``stays`` is the fraction of refused
    callers that return to this VM.
    """

    customer: str
    kind: Kind
    rate: float
    start: float = 0.0
    end: float = 10.0
    size: float = 1.0
    spread: float = 0.5
    insists: bool = False
    stays: float = 1.0


class Call:
    """A request of a caller, and what became of it."""

    def __init__(self, load, number, started, size):
        self.load, self.number, self.size = load, number, size
        self.started = started
        self.refusals = []  # times
        self.served = None  # time
        self.is_admitted = False
        self.retry_delays = []

    @property
    def is_on_time(self):
        return (
            self.served is not None
            and self.served - self.started <= self.load.kind.target_s
        )

    @property
    def worth(self):
        value = self.load.kind.value * (0.3 + 0.7 * min(self.size, 4))
        if self.served is None:
            return -0.3 * value if len(self.refusals) > 1 else 0.0
        return value if self.is_on_time else value * LATE_WORTH


class OverloadReplay:
    """Plays loads to one VM; ``pauses`` are times and lengths of its host's pauses."""

    def __init__(self, loads, has_admission=True, pauses=(), seed=1, cores=CORES):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.cores, self.used = cores, 0.0
        self.meter = OverloadMeter(self.clock, lambda: timedelta(seconds=self.used))
        self.has_admission = has_admission
        self.admission = OverloadAdmission(
            self.clock, self.rng, self.meter.find_excess, lambda: self.meter.lag
        )
        self.pauses = sorted(pauses)
        self.calls = []
        self.causes = Counter()
        self.late_until = 0.0  # last time at which the loop was late
        self._events = []
        self._numbers = itertools.count()
        self._due, self._used_before = INTERVAL, 0.0
        end = max(load.end for load in loads)
        for load in loads:
            self._add_arrivals(load)
        self._run(end + DEADLINE_S)

    @property
    def now(self):
        return self.clock.elapsed().total_seconds()

    def _add_arrivals(self, load):
        at = load.start + self.rng.expovariate(load.rate)
        while at < load.end:
            size = load.size * self.rng.lognormvariate(0, load.spread)
            call = Call(load, next(self._numbers), at, size)
            self.calls.append(call)
            self._schedule(at, self._receive, call)
            at += self.rng.expovariate(load.rate)

    def _schedule(self, at, action, call):
        heapq.heappush(self._events, (at, next(self._numbers), action, call))

    def _use(self, seconds):
        """Use processor time."""
        self.used += seconds
        self.clock.advance(timedelta(seconds=seconds / self.cores))

    def _run(self, end):
        while self._events and self.now < end:
            self._measure()
            if self.pauses and self.now >= self.pauses[0][0]:
                self.clock.advance(timedelta(seconds=self.pauses.pop(0)[1]))
            ready = []
            while self._events and self._events[0][0] <= self.now:
                ready.append(heapq.heappop(self._events))
            for _, _, action, call in ready:
                action(call)
            if not ready:
                wake = self._due.total_seconds()
                if self._events:
                    wake = min(self._events[0][0], wake)
                step = timedelta(seconds=max(wake - self.now, 0))
                self.clock.advance(step + timedelta(microseconds=1))

    def _measure(self):
        """Measure the lag, as ``PauseMeter`` does."""
        now = self.clock.elapsed()
        if now < self._due:
            return
        if now - self._due >= LAG_LIMIT:
            self.late_until = self.now
        used = timedelta(seconds=self.used - self._used_before)
        self.meter.note_pause(Pause(now - self._due, used, NO_WORK, timedelta()))
        self._due, self._used_before = now + INTERVAL, self.used

    def _make_work(self, call):
        kind = call.load.kind
        return Work(
            call.load.customer,
            kind.name,
            kind.urgency,
            timedelta(seconds=kind.target_s),
            timedelta(seconds=call.started + DEADLINE_S),
            int(call.size * 1000),
            call.number,
        )

    def _receive(self, call):
        if self.now > call.started + DEADLINE_S:
            return  # its caller gave up
        self._use(ARRIVAL_S)
        work, received = self._make_work(call), self.clock.elapsed()
        try:
            if self.has_admission:
                self.admission.admit(work)
        except OverloadError as error:
            self._refuse(call, error)
            return
        call.is_admitted = True
        finish = lambda call: self._finish(call, work, received)  # noqa: E731
        self._schedule(self.now + SERVER_S, finish, call)

    def _refuse(self, call, error):
        self.causes[error.cause] += 1
        call.refusals.append(self.now)
        left = call.started + DEADLINE_S - self.now
        delay = error.retry_after.total_seconds()
        call.retry_delays.append((delay, left))
        if call.load.insists:
            if len(call.refusals) <= 3:
                self._schedule(self.now + 0.006, self._receive, call)
        elif len(call.refusals) == 1:
            returns = self.now + min(delay, left / 3)
            if self.rng.random() < call.load.stays:
                self._schedule(returns, self._receive, call)
            else:
                call.served = returns + ELSEWHERE_S

    def _finish(self, call, work, received):
        is_gone = self.now > call.started + DEADLINE_S
        if not is_gone:
            self._use(SERVING_S)
            call.served = self.now
        if self.has_admission:
            delivered = None if is_gone else self.clock.elapsed()
            self.admission.note_delivery(work, received, timedelta(), delivered)

    def select(self, **properties):
        """Return the calls whose load has these properties."""
        return [
            call
            for call in self.calls
            if all(getattr(call.load, key) == v for key, v in properties.items())
        ]

    def sum_worth(self):
        """Return the worth of all calls as a part of the value of all."""
        value = sum(
            call.load.kind.value * (0.3 + 0.7 * min(call.size, 4))
            for call in self.calls
        )
        return sum(call.worth for call in self.calls) / value


def measure_served(calls):
    """Return the part of calls that was served."""
    return sum(call.served is not None for call in calls) / len(calls)


def measure_on_time(calls):
    """Return the part of calls that was served on time."""
    return sum(call.is_on_time for call in calls) / len(calls)


def group_by_customer(calls):
    """Return calls by customer."""
    groups = defaultdict(list)
    for call in calls:
        groups[call.load.customer].append(call)
    return groups
