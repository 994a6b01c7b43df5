"""Simulation of a fleet of VMs whose backend servers fall silent and go on.

The real gateways, deliveries, server lists, retry budgets and quarantines run in
virtual time. Servers, connections and callers are modelled. The servers are those of
one service, and VMs don't tell each other their loads.
"""

import asyncio
import itertools
import random
from bisect import bisect_right
from collections import Counter
from datetime import timedelta

from tornado.httputil import HTTPHeaders

from lavendershift.attempts import CallerRequest
from lavendershift.crashes import CrashDetector
from lavendershift.datagrams import Datagrams
from lavendershift.gateway import RETRY_MARGIN, Gateway, RetryBounds
from lavendershift.permits import Permits
from lavendershift.platform.application import ACTIVE_RETRY_SHARE, MIN_RETRY_SHARERS
from lavendershift.preparations import Backends
from lavendershift.quarantine import Quarantine
from lavendershift.requesttimes import RESPONSE_RESERVE
from lavendershift.routes import (
    CallerLimits,
    Repeat,
    Route,
    RoutingTable,
    Service,
    ServiceShare,
)
from lavendershift.serverlist import ServerList
from lavendershift.serverstates import PromptPart, PromptShape
from lavendershift.tests.silenceservers import (
    NEVER,
    SERVICE,
    SilentServer,
    SimulatedPool,
    SimulatedWire,
    make_body,
)
from lavendershift.tests.virtualloop import VirtualLoop

RETRY_RATIO, RETRY_SLACK = 0.2, 56  # of the whole fleet
WINDOW_S = 10.0  # window of the retry bounds
DEADLINE = timedelta(seconds=6)
TARGET = timedelta(milliseconds=200)
POPULAR = 40  # number of first parts of prompts


class Size:
    """A fleet's VMs, active VMs, servers, and the requests/s of all callers."""

    def __init__(self, vms, active, servers, demand):
        self.vms, self.active = vms, active
        self.servers, self.demand = servers, demand


# The servers are a few of the site's, of which there are about three for each VM.
SIZES = {
    8: Size(8, 4, 6, 50.0),
    66: Size(66, 9, 20, 60.0),
    195: Size(195, 15, 40, 70.0),
    330: Size(330, 21, 60, 80.0),
}
KINDS = {
    "stream": (Repeat.RESUME, 3),
    "safe": (Repeat.ALWAYS, 2),
    "once": (Repeat.NEVER, 1),
}


def make_table(version=1, timeout=DEADLINE):
    """Return the routes: one for each kind of request."""
    routes = [
        Route(
            kind,
            "h",
            f"/{kind}/",
            (ServiceShare(SERVICE, 1.0),),
            repeat,
            kind == "stream",
            timeout,
            TARGET,
            max_attempts=attempts,
        )
        for kind, (repeat, attempts) in KINDS.items()
    ]
    services = [Service(SERVICE, is_engine=True)]
    return RoutingTable(version, routes, services, [], CallerLimits())


class Call:
    """A caller's request, and the response to it."""

    def __init__(self, request_id, kind, vm, started):
        self.id, self.kind, self.vm, self.started = request_id, kind, vm, started
        self.flights = []
        self.has_started = self.is_done = False
        self.body, self.error = b"", None
        self.ended_at = NEVER

    @property
    def is_whole(self):
        """Whether the caller got its whole own response, and nothing else."""
        return self.is_done and self.body == make_body(self.id, self.kind == "stream")

    def send(self, status, headers, body):
        self.has_started = self.is_done = True
        self.body += body

    def start(self, status, headers):
        self.has_started = True

    async def write(self, chunk):
        self.body += chunk

    def finish(self):
        self.is_done = True

    def abort(self):
        self.error = "aborted"

    def refuse(self, error):
        self.error = error.kind.name


class Reports:
    """Counts what gateways report."""

    def __init__(self):
        self.retries = Counter()
        self.besides = 0
        self.ends = Counter()
        self.errors = []
        self.endings = []

    def count_received(self):
        pass

    def report_answered(self, trace):
        pass

    def report_refused(self, trace, error):
        self.endings.append((trace.request.id, trace.ending))

    def report_error(self, trace, error):
        self.errors.append(error)

    def count_retry(self, end):
        self.retries[end] += 1

    def report_attempt(self, request, report):
        self.ends[report.end] += 1
        if report.ending is not None:
            self.endings.append((request.id, report.ending))
        self.besides += report.is_beside and report.connecting is not None


class SilenceVm:
    """A VM that forwards requests to servers."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self._retry_part = None
        loop, rng = fleet.loop, random.Random(f"{fleet.seed}/{number}")
        self.servers = ServerList(loop, rng)
        for server in fleet.servers:
            self.servers.update(server.entry)
        self.servers.on_silence = self._note_silence
        pool = SimulatedPool(self)
        permits = Permits(loop, self.servers.limits, Datagrams(), lambda server: None)
        crashes = CrashDetector(pool.is_refused)
        backends = Backends(
            self.servers,
            pool,
            permits,
            crashes,
            Quarantine(loop, rng),
            SimulatedWire(),
        )
        bounds = RetryBounds(RETRY_RATIO, RETRY_SLACK)
        self.gateway = Gateway(
            loop, rng, backends, None, fleet.reports, bounds, self._find_retry_part
        )
        self.gateway.table = fleet.table

    @property
    def is_active(self):
        return self.number < self.fleet.size.active

    def _note_silence(self, entry, is_silent):
        fleet = self.fleet
        fleet.noted.append((fleet.loop.time(), self, entry.id, is_silent))

    def keep_retries(self, tokens):
        """Let the VM's retry budget hold a number of tokens."""
        self._retry_part = tokens / RETRY_SLACK / RETRY_MARGIN

    def _find_retry_part(self):
        """Return the VM's part of the retries, as the application does."""
        if self._retry_part is not None:
            return self._retry_part
        size = self.fleet.size
        if self.is_active:
            return ACTIVE_RETRY_SHARE / max(size.active, MIN_RETRY_SHARERS)
        return (1 - ACTIVE_RETRY_SHARE) / max(size.vms, MIN_RETRY_SHARERS)


class SilenceFleet:
    """VMs, servers and callers of one simulation."""

    def __init__(self, seed, size):
        self.loop = VirtualLoop()
        self.seed, self.size = seed, size
        self.rng = random.Random(seed)
        self.servers = [
            SilentServer(self.loop, self.rng, number) for number in range(size.servers)
        ]
        self.addresses = {server.entry.address: server for server in self.servers}
        self.table = make_table()
        self.timeouts = [(0.0, DEADLINE.total_seconds())]
        self.reports = Reports()
        self.calls = {}
        self.vms = {}
        self.noted = []
        self.still_avoided = []
        self._numbers = itertools.count()
        self._tasks = set()

    def find_vm(self, number):
        """Return a VM; it is made for its first request."""
        if number not in self.vms:
            self.vms[number] = SilenceVm(self, number)
        return self.vms[number]

    def set_timeout(self, seconds):
        """Put a version with another timeout of all routes into force on all VMs."""
        self.timeouts.append((self.loop.time(), seconds))
        self.table = make_table(len(self.timeouts), timedelta(seconds=seconds))
        for vm in self.vms.values():
            vm.gateway.table = self.table

    def find_end(self, call):
        """Return when a call may be ended, by the longest timeout in force until then.

        The error of one whose response has not begun may be sent a little earlier.
        """
        reserve = 0.0 if call.has_started else RESPONSE_RESERVE.total_seconds()
        longest = DEADLINE.total_seconds()
        allowed = min([t for at, t in self.timeouts if at <= call.started][-1], longest)
        for at, timeout in self.timeouts:
            if call.started < at < call.started + allowed - reserve:
                allowed = max(allowed, min(timeout, longest))
        return call.started + allowed - reserve

    def note_flight(self, flight):
        self.calls[flight.request_id].flights.append(flight)

    def send(self, kind):
        """Send a request of a caller: most to active VMs, some to any VM."""
        size = self.size
        known = size.active if self.rng.random() < 0.8 else size.vms
        vm = self.find_vm(self.rng.randrange(known))
        self._tasks.add(self.loop.create_task(self._call(vm, kind)))

    async def _call(self, vm, kind):
        rng = self.rng
        number = next(self._numbers)
        call = Call(f"r{number}", kind, vm, self.loop.time())
        self.calls[call.id] = call
        prompt = None
        if kind == "stream":
            popular = PromptPart(f"popular-{rng.randrange(POPULAR)}", 400)
            prompt = PromptShape((popular, PromptPart(f"own-{number}", 60)), 460, 90)
        now = self.loop.elapsed()
        headers = HTTPHeaders({"Stream": "1"} if kind == "stream" else {})
        request = CallerRequest(
            call.id,
            "POST",
            f"/{kind}/",
            "h",
            headers,
            b"",
            "",
            now,
            now + DEADLINE,
            prompt,
        )
        await vm.gateway.serve(request, call)
        call.ended_at = self.loop.time()

    async def _send_calls(self, until_s):
        while self.loop.time() < until_s:
            await asyncio.sleep(self.rng.expovariate(self.size.demand))
            self.send(self.rng.choices(["stream", "safe", "once"], [5, 3.5, 1.5])[0])

    def run(self, seconds, schedule=()):
        """Send requests for some time, and wait for the responses."""
        for at, function, *arguments in schedule:
            self.loop.call_later(at, function, *arguments)

        async def run_all():
            if self.size.demand:
                await self._send_calls(seconds)
            else:
                await asyncio.sleep(seconds)
            await asyncio.wait(self._tasks)
            for task in self._tasks:
                task.result()

        try:
            self.loop.run_until_complete(run_all())
        finally:
            self.loop.close()

    def check_return(self, server, after_s):
        """Record the VMs that avoid a server some time after it went on.

        One that has just sent it a request finds out that it went on.
        """
        now = self.loop.elapsed()
        if server.silences[-1][1] > self.loop.time() - after_s:
            return  # it has fallen silent again
        for vm in self.vms.values():
            listed = vm.servers.find(server.name)
            if listed.silence.is_avoided(now) and not listed.in_flight:
                self.still_avoided.append(
                    f"{server.name} by {vm.number} at {self.loop.time():.2f}"
                )


def count_per_second(server, since, seconds=6):
    """Return how many requests a server got in each second after ``since``."""
    counts = [0] * seconds
    for flight in server.flights:
        if 0 <= flight.sent_at - since < seconds:
            counts[int(flight.sent_at - since)] += 1
    return counts


def find_worst_window(fleet):
    """Return the repeats in the window that is nearest to the bound, and the bound.

    Repeats are arrivals beyond the first of their request.
    """
    started = sorted(call.started for call in fleet.calls.values())
    repeats = sorted(
        flight.sent_at for call in fleet.calls.values() for flight in call.flights[1:]
    )
    windows = [(0, float(RETRY_SLACK))]
    for end in repeats:
        since = end - WINDOW_S
        count = bisect_right(repeats, end) - bisect_right(repeats, since)
        requests = bisect_right(started, end) - bisect_right(started, since)
        windows.append((count, RETRY_RATIO * requests + RETRY_SLACK))
    return max(windows, key=lambda window: window[0] / window[1])


SHARES = {
    "one": lambda count: 1,
    "a tenth": lambda count: max(count // 10, 2),
    "all": lambda count: count,
}
