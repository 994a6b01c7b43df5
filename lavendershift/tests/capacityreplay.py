"""Replay of load on backend servers of different speed, without a network.

The real ``ServerList`` chooses in virtual time. Servers are modelled: an engine reads
prompts one after the other and streams several responses beside each other, a plain
server has slots and a queue. ``Replay.delays`` holds the times to a first event or a
response, ``rejections`` the requests that a server refused::

    replay = Replay([ModelledServer(factor=0.7), ModelledServer(factor=1.7)], seed=1)
    replay.run(Load(large=12, small=19), until_s=20)
    replay.find_mean(since_s=4)
"""

import heapq
import random
import statistics
from collections import Counter
from datetime import timedelta
from itertools import count
from typing import NamedTuple

from lavendershift.clocks import ManualClock
from lavendershift.serverlist import ServerList
from lavendershift.serverstates import NO_PROMPT, PromptPart, PromptShape, ServerEntry

READ_RATE = 50_000.0  # prompt tokens/s of an engine with speed factor 1
IDLE_S = 0.04  # time to the first event of an idle engine
STREAM_S = 1.2
NOISE_FACTOR = 2.5
NOISE_S = 0.6
NOISE_SHARE = 0.15
FAST_S = 0.002  # time until a refusal or a fast failure
MAX_ATTEMPTS = 3
SERVICE = "index"


class Load(NamedTuple):
    """Requests/s of each kind; ``parts`` is the number of different shared parts."""

    large: float = 0.0
    small: float = 0.0
    plain: float = 0.0
    parts: int = 24


class ModelledServer:
    """A server; ``factor`` multiplies its times, ``knee`` is the load that it takes.

    ``fails`` is the share of requests that it refuses without running them.
    """

    def __init__(self, factor=1.0, slots=64, queue=1000, work_s=0.09, noise=False):
        self.factor, self.slots, self.queue, self.work_s = factor, slots, queue, work_s
        self.noise = noise
        self.knee = None
        self.fails = 0.0
        self.in_flight = 0
        self.read_until = 0.0
        self.slots_free_at = [0.0] * slots
        self.cached = set()
        self.noise_until, self.calm_until = 0.0, 0.0

    def find_factor(self, now, rng):
        """Return the factor of a request that starts now."""
        factor = self.factor
        if self.noise:
            while now >= self.noise_until:
                calm_s = NOISE_S * (1 - NOISE_SHARE) / NOISE_SHARE
                self.calm_until = self.noise_until + rng.uniform(0.5, 1.5) * calm_s
                self.noise_until = self.calm_until + NOISE_S
            if now >= self.calm_until:
                factor *= NOISE_FACTOR
        if self.knee is not None and self.in_flight > self.knee:
            factor *= 1 + 2 * (self.in_flight - self.knee) / self.knee
        return factor

    def accept(self, prompt, now, rng):
        """Return the times of the first event and of the end, ``None`` if refused."""
        if rng.random() < self.fails or self.in_flight >= self.slots + self.queue:
            return None
        factor = self.find_factor(now, rng)
        self.in_flight += 1
        if not prompt.parts:
            begin = max(heapq.heappop(self.slots_free_at), now)
            end = begin + self.work_s * factor
            heapq.heappush(self.slots_free_at, end)
            return end, end
        unread = prompt.input_tokens
        if prompt.parts[0].id in self.cached:
            unread -= prompt.parts[0].tokens
        self.cached.add(prompt.parts[0].id)
        self.read_until = max(self.read_until, now) + unread / READ_RATE * factor
        first = self.read_until + IDLE_S * factor
        return first, first + STREAM_S * factor


class Replay:
    """Replays requests; without ``learns``, servers are chosen by their load alone."""

    def __init__(self, servers, seed, learns=True):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.list = ServerList(self.clock, random.Random(seed + 1000))
        self.learns = learns
        if not learns:
            self.list.speeds.refresh = lambda *args: None
        self.servers = {}
        for number, server in enumerate(servers):
            self.put(f"s{number}", server)
        self.delays, self.rejections, self.failed = [], 0, 0
        self.chosen, self.log = Counter(), []
        self._order = count()
        self._events = []

    def put(self, name, server, born=1):
        """List a server, or replace it with a new incarnation."""
        self.servers[name] = server
        self.list.update(
            ServerEntry(name, SERVICE, name, "", server.slots, False, born, 1)
        )

    def at(self, seconds, change):
        """Call ``change`` at a time, in seconds."""
        heapq.heappush(self._events, (seconds, next(self._order), change))

    @property
    def now(self):
        return self.clock.elapsed().total_seconds()

    def run(self, load, until_s):
        """Replay ``load`` until ``until_s``, then finish what is in flight."""
        for kind in ("large", "small", "plain"):
            rate, at = getattr(load, kind), self.now
            while rate and (at := at + self.rng.expovariate(rate)) < until_s:
                prompt = self.make_prompt(kind, load.parts)
                self.at(at, lambda prompt=prompt, at=at: self.send(prompt, (), at))
        while self._events:
            at, _, change = heapq.heappop(self._events)
            self.clock.advance(timedelta(seconds=max(at - self.now, 0)))
            change()
        return self

    def make_prompt(self, kind, parts):
        if kind == "plain":
            return NO_PROMPT
        shared, own = (5382, 6610) if kind == "large" else (300, 500)
        own = int(own * self.rng.uniform(0.5, 1.5))
        part = PromptPart(f"{kind}-{self.rng.randrange(parts)}", shared)
        return PromptShape(
            (part, PromptPart(str(next(self._order)), own)), shared + own, 300
        )

    def send(self, prompt, tried, arrived):
        listed = self.list.choose(SERVICE, prompt, tried)
        if listed is None or len(tried) >= MAX_ATTEMPTS:
            self.failed += 1
            return
        name = listed.entry.id
        self.chosen[name] += 1
        self.log.append((self.now, name))
        assignment = self.list.start(listed, prompt)
        server = self.servers[name]
        times = server.accept(prompt, self.now, self.rng)
        if times is None:
            self.at(
                self.now + FAST_S,
                lambda: self.refuse(assignment, prompt, (*tried, name), arrived),
            )
            return
        self.at(times[0], lambda: self.note_first(assignment, arrived))
        self.at(times[1], lambda: self.end(assignment, server))

    def refuse(self, assignment, prompt, tried, arrived):
        self.rejections += 1
        self.list.record_prompt_read(assignment)
        self.list.finish(assignment)
        if self.learns:
            self.list.note_rejection(assignment.server)
        self.send(prompt, tried, arrived)

    def note_first(self, assignment, arrived):
        self.list.record_latency(assignment)
        self.list.record_prompt_read(assignment)
        self.delays.append((arrived, self.now - arrived))

    def end(self, assignment, server):
        server.in_flight -= 1
        self.list.finish(assignment)
        self.list.note_success(assignment.server)

    def find_mean(self, since_s=0.0, until_s=1e9):
        """Return the mean delay of requests that arrived in a time."""
        return statistics.mean(d for at, d in self.delays if since_s <= at < until_s)

    def find_quantile(self, share, since_s=0.0, until_s=1e9):
        delays = sorted(d for at, d in self.delays if since_s <= at < until_s)
        return delays[int(share * (len(delays) - 1))]

    def find_share(self, name, since_s=0.0, until_s=1e9):
        """Return the share of requests that a server got in a time."""
        chosen = [n for at, n in self.log if since_s <= at < until_s]
        return chosen.count(name) / len(chosen)
