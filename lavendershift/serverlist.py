"""Selection of a backend server for each request.

A draining server gets no new request from the moment its entry or one of its responses
announces it, nor does a server of an evacuated failure domain. Every condition that
excludes a server is checked when the server is selected and again just before the
request is sent, so that none of them takes effect only at the next reading of the
entries::

    servers = ServerList(clock, rng)
    servers.update(entry)
    server = servers.choose("index", NO_PROMPT, ())
"""

import random
from collections.abc import Callable, Container, Iterable, Sequence
from datetime import timedelta
from functools import lru_cache
from typing import NamedTuple

import xxhash

from lavendershift.clocks import Clock
from lavendershift.ejection import OutlierDetector
from lavendershift.evacuation.evacuations import EVACUATION_RETRY, Evacuations
from lavendershift.expiries import needs_missing
from lavendershift.serverlimits import MIN_RATE, ServerLimits
from lavendershift.serverregistry import ServerRegistry
from lavendershift.serversignals import ServerSignal, ServerSignals
from lavendershift.serverstates import (
    CONNECT_BACKOFF,
    ListedServer,
    PromptShape,
    ServerEntry,
)

MAX_CONNECT_BACKOFF = timedelta(seconds=3)  # limit of the doubling at each failure
IN_FLIGHT_COST = 60  # cost of a running request, in prompt tokens read in the same time
STREAM_DURATION = timedelta(seconds=2)  # usual time until a stream frees its slot
REREAD_WEIGHT = 3.0  # cost factor of shared prompt tokens that are read once more
PREFILL_RATE = 50_000.0  # prompt tokens/s that an engine is estimated to read
# Time to the first event of an idle engine.
UNLOADED_LATENCY = timedelta(milliseconds=40)
LATENCY_WEIGHT = 0.05  # weight of the newest response in a service's mean latency
RETRY_SPREAD = 0.25  # largest random addition to a retry delay, as a share of it
# Hashes that are kept: those of 60 servers for 130 shared parts, in about 2 MB.
MAX_RANKS = 8192


class Assignment(NamedTuple):
    """A request that counts towards a server's load until it has finished.

    ``unread_tokens`` is the part of its prompt that the server has yet to read, and
    ``expected`` the estimated time to its first event.
    """

    server: ListedServer
    unread_tokens: int
    started: timedelta
    expected: timedelta


class ServerList(ServerRegistry):
    """The servers of all services that this VM knows.

    ``on_leaving`` is called with the entry of a server whose response announces that
    it drains, and ``on_load_change`` with a server's id and the prompt parts sent to
    it whenever this VM's load on it changes. ``on_invalid_limit`` is called with the
    entry of a server whose response names a limit that can't be read, ``on_silence``
    with that of one that falls silent or is heard again. ``count_vms`` returns the
    number of VMs that callers are sent to.
    """

    def __init__(self, clock: Clock, rng: random.Random, domain: str = "") -> None:
        super().__init__(clock)
        self._rng = rng
        self._domain = domain
        self._outliers: dict[str, OutlierDetector] = {}
        self._mean_latency: dict[str, timedelta] = {}
        self._signals = ServerSignals(clock)
        self.limits = ServerLimits(clock)
        self.limits.find_cold = self.cold.find_rate
        self.evacuations = Evacuations()
        self.evacuations.on_end = self._presume_cold
        self.count_vms: Callable[[], int] = lambda: 1
        self.on_invalid_limit: Callable[[ServerEntry], None] = lambda entry: None
        self.on_leaving: Callable[[ServerEntry], None] = lambda entry: None
        self.on_silence: Callable[[ServerEntry, bool], None] = _ignore_silence
        self.on_load_change: Callable[[str, Sequence[str]], None] = (
            lambda server, parts: None
        )

    def choose(
        self,
        service: str,
        prompt: PromptShape,
        excluded: Iterable[str],
        urgency: int = 0,
    ) -> ListedServer | None:
        """Return the server for a request, or ``None`` if there is none.

        A prompt goes to the server that has to read the fewest prompt tokens before
        the first event, including the prompts of all VMs that are queued there. Other
        requests go to the server with the smallest share of its slots in use. Servers
        that failed recently are used only if there is no other. A server with a limit
        is left out while no permit is due for a request of this ``urgency``.
        """
        tried = set(excluded)
        usable = [
            server
            for server in self._list_available(service)
            if server.entry.id not in tried
            and not self.limits.find_wait(server.incarnation, urgency)
        ]
        if any(self._was_refused(name, urgency) for name in tried):
            # Each further limited server costs the request a round trip to a keeper.
            usable = [s for s in usable if self.find_limit(s) is None] or usable
        if not usable:
            return None
        healthy = [server for server in usable if not self._is_avoided(server)]
        candidates = healthy or usable
        now = self._clock.elapsed()
        if prompt.parts:
            # A server with a limit can't take all prompts with some shared part.
            unlimited = [s for s in candidates if self.find_limit(s) is None]
            affinity_key = prompt.affinity_key
            affinity_server = max(
                unlimited or candidates,
                key=lambda s: rank_server(affinity_key, s.entry.id),
            )
            return min(
                candidates,
                key=lambda s: (
                    estimate_cost(s, prompt, s is affinity_server, now),
                    s is not affinity_server,
                ),
            )
        return min(
            candidates,
            key=lambda s: (
                s.sum_load(now).in_flight / max(s.entry.slots, 1),
                self._rng.random(),
            ),
        )

    def _was_refused(self, server_id: str, urgency: int) -> bool:
        server = self._servers.get(server_id)
        if server is None:
            return False
        return bool(self.limits.find_wait(server.incarnation, urgency))

    def _list_available(self, service: str) -> list[ListedServer]:
        """Return the servers of a service that can be sent requests.

        Servers whose entries are missing are included only if too few others remain.
        """
        available = [
            server
            for server in self._servers.values()
            if server.entry.service == service and self._accepts(server)
        ]
        present = [server for server in available if not server.is_missing]
        return available if needs_missing(len(present), len(available)) else present

    def is_usable(self, server: ListedServer) -> bool:
        """Whether a server that was selected earlier may still be sent a request."""
        is_listed = self._servers.get(server.entry.id) is server
        return is_listed and self._accepts(server)

    def is_evacuated(self, server: ListedServer) -> bool:
        """Whether a server is in a failure domain under evacuation."""
        return self.evacuations.includes(server.entry.failure_domain)

    def _presume_cold(self, failure_domain: str) -> None:
        """Presume servers cold whose evacuation ended, as they may have restarted."""
        for server in self._servers.values():
            if server.entry.failure_domain == failure_domain:
                self.cold.presume(server.entry, is_certain=False)

    def is_leaving(self, server: ListedServer) -> bool:
        """Whether a server's entry or one of its responses announced that it drains."""
        return server.entry.is_leaving or self._signals.is_leaving(server.incarnation)

    def _accepts(self, server: ListedServer) -> bool:
        """Whether a server may be sent requests.

        It may not if it is draining, evacuated, paused or missing for too long.
        """
        if self.is_leaving(server) or self.is_evacuated(server):
            return False
        if self._signals.find_pause(server.incarnation):
            return False
        until = server.usable_until
        return until is None or self._clock.elapsed() < until

    def note_signal(
        self,
        server: ListedServer,
        signal: ServerSignal,
        sent_at: timedelta | None = None,
    ) -> None:
        """Apply the signals of a response of ``server``.

        ``sent_at`` is when its request was sent, ``None`` if that is unknown.
        """
        if signal.has_invalid_limit:
            self.on_invalid_limit(server.entry)
        else:
            self.limits.note_response(server.incarnation, signal.limit, sent_at)
        if self._signals.apply(server.incarnation, signal):
            self.on_leaving(server.entry)

    def find_limit(self, server: ListedServer) -> float | None:
        """Return the requests/s that ``server`` takes, ``None`` without a limit."""
        return self.limits.find(server.incarnation)

    def find_permit_delay(
        self, service: str, urgency: int, excluded: Container[str] = ()
    ) -> timedelta | None:
        """Return the time after which a caller without a permit should return.

        ``None`` unless a server of the service could be used but for its limit. VMs
        that callers are sent to share the permits of all limited servers.
        """
        waits = {}
        for server in self._list_available(service):
            wait = self.limits.find_wait(server.incarnation, urgency)
            if wait and server.entry.id not in excluded:
                waits[server.incarnation] = wait
        if not waits:
            return None
        rate = sum(self.limits.find(incarnation) or 0.0 for incarnation in waits)
        part = max(rate, MIN_RATE) / self.count_vms()
        return self.limits.schedule_return(service, min(waits.values()), part)

    def find_retry_delay(self, service: str) -> timedelta | None:
        """Return the time until a service's first server may take requests again.

        ``None`` unless all servers that don't drain asked for a pause or are evacuated.
        A random addition spreads the retries of callers over time.
        """
        pauses = [
            EVACUATION_RETRY
            if self.is_evacuated(server)
            else self._signals.find_pause(server.incarnation)
            for server in self._servers.values()
            if server.entry.service == service and not self.is_leaving(server)
        ]
        if not pauses or not all(pauses):
            return None
        return min(pauses) * self._rng.uniform(1, 1 + RETRY_SPREAD)

    def _is_avoided(self, server: ListedServer) -> bool:
        now = self._clock.elapsed()
        if server.avoided_until > now or server.silence.is_avoided(now):
            return True
        outliers = self._outliers.get(server.entry.service)
        return outliers is not None and outliers.is_ejected(server.entry.id, now)

    def note_selection(self, server: ListedServer) -> None:
        """Record that a request was given to ``server``, and may open a connection."""
        server.silence.note_request(self._clock.elapsed())

    def start(self, server: ListedServer, prompt: PromptShape) -> Assignment:
        """Count a request sent to ``server`` towards its load."""
        now = self._clock.elapsed()
        unread = server.count_unread(prompt)
        expected = self._estimate_latency(server, unread, now)
        parts = [part.id for part in prompt.parts]
        server.in_flight += 1
        server.unread_tokens += unread
        server.cache.note_used(parts)
        self.on_load_change(server.entry.id, parts)
        return Assignment(server, unread, now, expected)

    def _estimate_latency(
        self, server: ListedServer, unread: int, now: timedelta
    ) -> timedelta:
        if not unread:
            return self._mean_latency.get(server.entry.service, timedelta())
        ahead = server.sum_load(now).unread_tokens + unread
        return UNLOADED_LATENCY + timedelta(seconds=ahead / PREFILL_RATE)

    def record_prompt_read(self, assignment: Assignment) -> None:
        """Record the first event of a response: its prompt has been read."""
        assignment.server.unread_tokens -= assignment.unread_tokens
        self.on_load_change(assignment.server.entry.id, ())

    def finish(self, assignment: Assignment) -> None:
        """Remove a finished request from its server's load."""
        assignment.server.in_flight -= 1
        self.on_load_change(assignment.server.entry.id, ())

    def record_latency(self, assignment: Assignment) -> None:
        """Record the time to a first event or a response; may eject an outlier."""
        now = self._clock.elapsed()
        waited = now - assignment.started
        service = assignment.server.entry.service
        if assignment.expected:
            outliers = self._find_current_outliers(assignment.server)
            ratio = waited / assignment.expected
            if outliers is not None:
                outliers.record_slowness(
                    assignment.server.entry.id, ratio, now, assignment.started
                )
        if not assignment.unread_tokens:
            mean = self._mean_latency.get(service, waited)
            self._mean_latency[service] = mean + (waited - mean) * LATENCY_WEIGHT

    def note_success(self, server: ListedServer) -> None:
        """Record a successful response."""
        server.connect_backoff = CONNECT_BACKOFF
        outliers = self._find_current_outliers(server)
        if outliers is not None:
            outliers.record_success(server.entry.id)

    def note_failure(self, server: ListedServer) -> None:
        """Record a failed response; consecutive ones eject the server."""
        outliers = self._find_current_outliers(server)
        if outliers is not None:
            outliers.record_failure(server.entry.id, self._clock.elapsed())

    def note_silence(self, server: ListedServer, progress_at: timedelta) -> None:
        """Record that a request makes no progress since ``progress_at``."""
        if server.silence.note_silence(self._clock.elapsed(), progress_at):
            self.on_silence(server.entry, True)

    def note_progress(self, server: ListedServer) -> bool:
        """Record progress of a response; return whether it ended a silence."""
        if not server.silence.note_heard(self._clock.elapsed()):
            return False
        self.on_silence(server.entry, False)
        return True

    def list_silent(self, service: str) -> list[str]:
        """Return the ids of the servers of a service that are probably silent."""
        now = self._clock.elapsed()
        return [
            server.entry.id
            for server in self._servers.values()
            if server.entry.service == service and server.silence.is_presumed(now)
        ]

    def note_unreachable(self, server: ListedServer, is_refused: bool = False) -> None:
        """Record a failed connection attempt, and back off from the server.

        It may restart. ``is_refused`` is set if its machine refused the connection.
        """
        self.cold.presume(server.entry, is_certain=is_refused)
        server.avoided_until = self._clock.elapsed() + server.connect_backoff
        server.connect_backoff = min(server.connect_backoff * 2, MAX_CONNECT_BACKOFF)

    def _find_current_outliers(self, server: ListedServer) -> OutlierDetector | None:
        """Return a server's outlier detector, ``None`` for a previous incarnation."""
        if self._servers.get(server.entry.id) is not server:
            return None
        return self._outliers.get(server.entry.service)

    def _note_replaced(self, old: ServerEntry) -> None:
        self._outliers[old.service].reset(old.id)

    def _note_members(self, service: str) -> None:
        outliers = self._outliers.setdefault(service, OutlierDetector(self._rng))
        outliers.update_servers(
            {s.entry.id for s in self._servers.values() if s.entry.service == service}
        )


def _ignore_silence(entry: ServerEntry, is_silent: bool) -> None:
    """Do nothing."""


def estimate_cost(
    server: ListedServer, prompt: PromptShape, is_affinity_server: bool, now: timedelta
) -> float:
    """Return the prompt tokens that are read before the prompt's first event.

    The affinity server of a prompt counts as having its shared parts cached. All VMs
    derive it from a hash, without a message, so that a shared part is read by one
    server even if VMs can't reach each other.
    """
    load = server.sum_load(now)
    unread = server.count_unread(prompt)
    own = prompt.input_tokens - prompt.shared_tokens
    if is_affinity_server:
        unread = min(unread, max(own, 0))
    reread = max(unread - own, 0) * REREAD_WEIGHT
    slots = max(server.entry.slots, 1)
    waiting = max(load.in_flight + 1 - slots, 0)
    queued = waiting * STREAM_DURATION.total_seconds() / slots * PREFILL_RATE
    running = load.in_flight * IN_FLIGHT_COST
    return load.unread_tokens + unread + reread + queued + running


@lru_cache(maxsize=MAX_RANKS)
def rank_server(key: str, server: str) -> int:
    """Return a server's rendezvous hash for a prompt part, the same on all VMs."""
    return xxhash.xxh3_64_intdigest(f"{key}/{server}".encode())
