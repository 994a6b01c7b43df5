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

from lavendershift.clocks import Clock
from lavendershift.evacuation.evacuations import EVACUATION_RETRY, Evacuations
from lavendershift.expiries import needs_missing
from lavendershift.servercosts import (
    choose_for_prompt,
    estimate_plain_cost,
)
from lavendershift.serverlimits import MIN_RATE, ServerLimits
from lavendershift.serverregistry import ServerRegistry
from lavendershift.serversignals import ServerSignal, ServerSignals
from lavendershift.serverspeeds import Assignment, ServerSpeeds
from lavendershift.serverstates import (
    CONNECT_BACKOFF,
    ListedServer,
    PromptShape,
    ServerEntry,
)
from lavendershift.serviceoutliers import ServiceOutliers

MAX_CONNECT_BACKOFF = timedelta(seconds=3)  # limit of the doubling at each failure
RETRY_SPREAD = 0.25  # largest random addition to a retry delay, as a share of it


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
        self._outliers = ServiceOutliers(rng)
        self.speeds = ServerSpeeds(clock)
        self._signals = ServerSignals(clock)
        self.limits = ServerLimits(clock)
        self.limits.find_cold = self.cold.find_rate
        self.evacuations = Evacuations()
        self.evacuations.on_end = self._presume_cold
        self.count_vms: Callable[[], int] = lambda: 1
        self.on_invalid_limit: Callable[[ServerEntry], None] = lambda entry: None
        self.on_leaving: Callable[[ServerEntry], None] = lambda entry: None
        self.on_silence: Callable[[ServerEntry, bool], None] = lambda *args: None
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
        requests go to the server with the smallest share of its slots in use. Both are
        weighted by how fast the servers are, see ``capacity``. Servers that failed
        recently are used only if there is no other. A server with a limit is left out
        while no permit is due for a request of this ``urgency``.
        """
        tried = set(excluded)
        now = self._clock.elapsed()
        available = self.list_available(service)
        self.speeds.refresh(service, available, now)
        usable = [
            server
            for server in available
            if server.entry.id not in tried
            and not self.limits.find_wait(server.incarnation, urgency)
        ]
        if any(self._was_refused(name, urgency) for name in tried):
            # Each further limited server costs the request a round trip to a keeper.
            usable = [s for s in usable if self.find_limit(s) is None] or usable
        if not usable:
            return None
        healthy = [server for server in usable if not self.is_avoided(server)]
        candidates = healthy or usable
        if prompt.parts:
            # A server with a limit can't take all prompts with some shared part.
            unlimited = [s for s in candidates if self.find_limit(s) is None]
            return choose_for_prompt(candidates, unlimited or candidates, prompt, now)
        return min(
            candidates,
            key=lambda s: (estimate_plain_cost(s, now), self._rng.random()),
        )

    def _was_refused(self, server_id: str, urgency: int) -> bool:
        server = self._servers.get(server_id)
        if server is None:
            return False
        return bool(self.limits.find_wait(server.incarnation, urgency))

    def list_available(self, service: str) -> list[ListedServer]:
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
        return self._is_current(server) and self._accepts(server)

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
        for server in self.list_available(service):
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

    def is_avoided(self, server: ListedServer) -> bool:
        """Whether a server failed recently, or is silent."""
        now = self._clock.elapsed()
        if server.avoided_until > now or server.silence.is_avoided(now):
            return True
        return self._outliers.is_ejected(server.entry, now)

    def note_selection(self, server: ListedServer) -> None:
        """Record that a request was given to ``server``, and may open a connection."""
        server.silence.note_request(self._clock.elapsed())

    def start(self, server: ListedServer, prompt: PromptShape) -> Assignment:
        """Count a request sent to ``server`` towards its load."""
        assignment = self.speeds.make_assignment(server, prompt)
        parts = [part.id for part in prompt.parts]
        server.in_flight += 1
        server.unread_tokens += assignment.unread_tokens
        server.cache.note_used(parts)
        self.on_load_change(server.entry.id, parts)
        return assignment

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
        if assignment.expected and self._is_current(assignment.server):
            ratio = waited / assignment.expected
            self._outliers.note_slowness(
                assignment.server.entry, ratio, now, assignment.started
            )
        self.speeds.note_latency(assignment, waited)

    def note_success(self, server: ListedServer) -> None:
        """Record a successful response."""
        server.connect_backoff = CONNECT_BACKOFF
        self.speeds.note_outcome(server, is_failure=False)
        if self._is_current(server):
            self._outliers.note_success(server.entry)

    def note_failure(self, server: ListedServer) -> None:
        """Record a failed response; consecutive ones eject the server."""
        self.speeds.note_outcome(server, is_failure=True)
        if self._is_current(server):
            self._outliers.note_failure(server.entry, self._clock.elapsed())

    def note_rejection(self, server: ListedServer) -> None:
        """Record that a server refused a request without running it.

        Limits of servers and pauses are obeyed anyway, and tell nothing about speed.
        """
        if self.find_limit(server) is None:
            self.speeds.note_rejection(server)

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

    def _is_current(self, server: ListedServer) -> bool:
        """Whether a server is listed, and no previous incarnation."""
        return self._servers.get(server.entry.id) is server

    def _note_replaced(self, entry: ServerEntry) -> None:
        self._outliers.reset(entry)

    def _note_members(self, service: str) -> None:
        self._outliers.update_servers(
            service,
            {s.entry.id for s in self._servers.values() if s.entry.service == service},
        )
