"""A router's view of the backend servers.

``ServerPool`` combines the settings tree, the platform's membership list, the
servers' delayed load reports and cache events, and this router's own requests
into a state of each server, and lists the servers that a request could be sent
to now::

    pool = ServerPool(clock, rng, failure_domain="rennes")
    pool.update_settings({"engine1": settings})
    pool.start("engine1", "attempt-1", tokens=900, prefix=())
    pool.note_first_token("attempt-1")
    pool.finish("attempt-1", AttemptResult.COMPLETED)

A server that the settings tree or the membership list marks as leaving gets no
new requests once the pool is updated.
"""

import random
from collections.abc import Collection, Iterator, Mapping, Sequence
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from lavendershift import signals
from lavendershift.candidates import Candidate
from lavendershift.clocks import Clock
from lavendershift.concurrency import ConcurrencyLimit, PrefillRate
from lavendershift.ejection import Ejection
from lavendershift.groups import (
    INITIAL_SERVICE_S,
    ServerGroup,
    choose_batch_servers,
    serves,
)
from lavendershift.loads import LoadEstimate, LoadReport
from lavendershift.nodes import ServerSettings
from lavendershift.prefixes import BLOCK_TOKENS, CacheEvent, PrefixIndex


class AttemptResult(Enum):
    """Result of an attempt, as it counts for the health of the server.

    Of attempts that overlap and time out only the first one counts, because a sound
    server may be silent for a second or so.
    """

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed_out"


class _Attempt(NamedTuple):
    """One request in flight on a server."""

    server: str
    tokens: int
    started: timedelta
    priority: str
    awaits_first_token: bool = True


class _Server:
    """State of one backend server."""

    def __init__(
        self, clock: Clock, settings: ServerSettings, group: ServerGroup
    ) -> None:
        self.settings = settings
        self.group = group
        self.load = LoadEstimate(clock)
        self.limit = ConcurrencyLimit(settings.capacity)
        self.cache = PrefixIndex(clock)
        self.adapters: frozenset[str] = frozenset()
        self.models: tuple[str, ...] | None = None
        self.membership: str | None = None


class ServerPool:
    """State of all backend servers, as known to one router.

    ``routers`` is the number of live routers that share the servers.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        failure_domain: str = "",
        routers: int = 1,
    ) -> None:
        self._clock = clock
        self._failure_domain = failure_domain
        self._routers = routers
        self._servers: dict[str, _Server] = {}
        self._attempts: dict[str, _Attempt] = {}
        self._rng = rng
        self._groups: dict[str, ServerGroup] = {}

    def estimate_service_time(
        self, model: str = "", service: str = "", priority: str = "interactive"
    ) -> timedelta:
        """Return the mean time in flight of completed requests of a class."""
        for server in self._servers.values():
            if serves(server.settings, model, service):
                return timedelta(seconds=server.group.find_mean_service_s(priority))
        return timedelta(seconds=INITIAL_SERVICE_S)

    def estimate_first_token(self, tokens: int, model: str = "") -> timedelta:
        """Return the time to first token of an unloaded server of ``model``."""
        for server in self._servers.values():
            if serves(server.settings, model, ""):
                return server.group.prefill.estimate_first_token(tokens)
        return PrefillRate().estimate_first_token(tokens)

    def update_routers(self, routers: int) -> None:
        """Set the number of live routers that share the servers."""
        self._routers = max(routers, 1)

    def update_settings(self, settings: Mapping[str, ServerSettings]) -> None:
        """Replace the servers by those of the settings tree."""
        for name in self._servers.keys() - settings.keys():
            del self._servers[name]
        for name, server in settings.items():
            known = self._servers.get(name)
            if known is None or known.settings.address != server.address:
                self._add(server, known)
            else:
                known.settings = server
                known.group = self._find_group(server)
                known.limit.set_capacity(server.capacity)
        self._update_groups()

    def _find_group(self, settings: ServerSettings) -> ServerGroup:
        key = settings.service or ",".join(sorted(settings.models))
        return self._groups.setdefault(key, ServerGroup(self._rng))

    def _update_groups(self) -> None:
        for group in self._groups.values():
            names = [n for n, s in self._servers.items() if s.group is group]
            group.outliers.update_servers(set(names))

    def _add(self, settings: ServerSettings, known: _Server | None) -> None:
        server = _Server(self._clock, settings, self._find_group(settings))
        if known is not None:
            server.membership = known.membership
            server.load.count(known.load.in_flight)
        self._servers[settings.name] = server

    def update_membership(self, states: Mapping[str, str]) -> None:
        """Apply the platform's membership list: the state of each listed server.

        A server that was listed before and is missing counts as gone. A list
        without any known server is considered faulty and ignored. The state of a
        server that was never listed is that of its settings.
        """
        if not states.keys() & self._servers.keys():
            return
        for name, server in self._servers.items():
            listed = states.get(name)
            if listed is not None:
                server.membership = listed
            elif server.membership is not None:
                server.membership = "gone"

    def record_load(self, server: str, report: LoadReport) -> None:
        """Record a server's load report."""
        known = self._servers.get(server)
        if known is None:
            return
        known.load.record(report)
        known.adapters = frozenset(report.adapters)
        known.models = report.models

    def find_models(self, server: str) -> tuple[str, ...] | None:
        """Return the models that a server reported as loaded, ``None`` if unknown."""
        known = self._servers.get(server)
        return None if known is None else known.models

    def record_cache_events(
        self, server: str, events: Sequence[CacheEvent], last_seq: int
    ) -> None:
        """Record a server's cache events; see ``PrefixIndex.note_events``."""
        known = self._servers.get(server)
        if known is not None:
            known.cache.note_events(events, last_seq)

    def start(
        self,
        server: str,
        attempt: str,
        tokens: int,
        prefix: Sequence[str] = (),
        priority: str = "interactive",
    ) -> None:
        """Record that ``attempt``, of ``tokens`` prompt tokens, goes to ``server``."""
        known = self._servers[server]
        cached = known.cache.count_cached(prefix) * BLOCK_TOKENS
        uncached = max(tokens - cached, 0)
        now = self._clock.elapsed()
        self._attempts[attempt] = _Attempt(server, uncached, now, priority)
        known.load.count(1)
        known.load.pending_tokens += uncached
        known.cache.note_used(prefix)

    def note_first_token(self, attempt: str) -> None:
        """Record the first token, or the first byte of a service's response."""
        started = self._attempts.get(attempt)
        if started is None or not started.awaits_first_token:
            return
        self._attempts[attempt] = started._replace(awaits_first_token=False)
        known = self._servers.get(started.server)
        if known is None:
            return
        now = self._clock.elapsed()
        waited = now - started.started
        known.load.pending_tokens -= started.tokens
        group = known.group
        unloaded = group.prefill.estimate_first_token(started.tokens)
        known.limit.observe(waited, unloaded, known.load.in_flight, now)
        group.prefill.observe(started.tokens, waited)
        ratio = waited / unloaded
        self._signal_ejection(
            group.outliers.record_slowness(started.server, ratio, now, started.started)
        )

    def finish(self, attempt: str, result: AttemptResult) -> None:
        """Record the end of ``attempt``; unknown attempts are ignored."""
        ended = self._attempts.pop(attempt, None)
        known = None if ended is None else self._servers.get(ended.server)
        if ended is None or known is None:
            return
        now = self._clock.elapsed()
        known.load.count(-1)
        if ended.awaits_first_token:
            known.load.pending_tokens -= ended.tokens
        if result is AttemptResult.COMPLETED:
            known.group.outliers.record_success(ended.server)
            seconds = (now - ended.started).total_seconds()
            known.group.observe_service_time(ended.priority, seconds)
        elif result is not AttemptResult.CANCELLED:
            if result is AttemptResult.REFUSED:
                known.limit.decrease(now)
            started = ended.started if result is AttemptResult.TIMED_OUT else None
            self._signal_ejection(
                known.group.outliers.record_failure(ended.server, now, started)
            )

    def _signal_ejection(self, ejection: Ejection | None) -> None:
        if ejection is not None:
            signals.server_ejected.send(self, ejection=ejection)

    def is_available(self, name: str) -> bool:
        """Return whether a server is known and neither leaving, gone nor ejected."""
        server = self._servers.get(name)
        if server is None or server.settings.state != "live":
            return False
        if server.membership not in (None, "live"):
            return False
        return not server.group.outliers.is_ejected(name, self._clock.elapsed())

    def list_candidates(
        self,
        model: str = "",
        service: str = "",
        prefix: Sequence[str] = (),
        adapter: str = "",
    ) -> list[Candidate]:
        """Return the available servers of a model or service, including busy ones."""
        serving = list(self._find_serving(model, service))
        mean_other_load = self._find_mean_other_load(serving)
        names = [server.settings.name for server in serving]
        batch_servers = set(names) if service else choose_batch_servers(names)
        return [
            self._make_candidate(server, prefix, adapter, mean_other_load)._replace(
                takes_batch=server.settings.name in batch_servers
            )
            for server in serving
        ]

    def has_available(
        self, model: str, service: str, excluded: Collection[str]
    ) -> bool:
        """Return whether a server other than those ``excluded`` is available."""
        serving = self._find_serving(model, service)
        return any(server.settings.name not in excluded for server in serving)

    def _find_serving(self, model: str, service: str) -> Iterator[_Server]:
        """Yield the available servers of a model or service."""
        for server in self._servers.values():
            if (
                serves(server.settings, model, service)
                and (server.models is None or not model or model in server.models)
                and self.is_available(server.settings.name)
            ):
                yield server

    def _find_mean_other_load(self, servers: Sequence[_Server]) -> float:
        reported = [server.load.find_other_load() for server in servers]
        known = [other_load for other_load in reported if other_load is not None]
        return sum(known) / len(known) if known else 0.0

    def _make_candidate(
        self,
        server: _Server,
        prefix: Sequence[str],
        adapter: str,
        mean_other_load: float,
    ) -> Candidate:
        settings = server.settings
        outliers = server.group.outliers
        probe_limit = outliers.find_probe_limit(settings.name)
        limit = server.limit.limit
        return Candidate(
            name=settings.name,
            address=settings.address,
            same_domain=settings.failure_domain == self._failure_domain,
            capacity=settings.capacity,
            limit=limit if probe_limit is None else min(limit, probe_limit),
            share=settings.capacity / self._routers,
            in_flight=server.load.in_flight,
            load=server.load.estimate(mean_other_load),
            pending_tokens=server.load.pending_tokens,
            cached_tokens=server.cache.count_cached(prefix) * BLOCK_TOKENS,
            slowness=outliers.find_slowness(settings.name),
            has_adapter=not adapter or adapter in server.adapters,
            takes_batch=False,
        )
