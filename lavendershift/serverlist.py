"""Backend servers that registered themselves, and the choice among them.

An entry names one incarnation of a server. Entries are ordered by the start of
the incarnation and its sequence number, so that an older one that arrives late
changes nothing. A server that is leaving gets nothing new from the moment its
entry says so::

    servers = ServerList(clock, rng)
    servers.update(entry)
    server = servers.choose("index", PromptShape((), 0, 0), frozenset())
"""

import random
from collections.abc import Iterable, Sequence
from datetime import timedelta
from typing import NamedTuple

import xxhash

from lavendershift.clocks import Clock
from lavendershift.ejection import OutlierDetector

UNREACHABLE_PAUSE = timedelta(milliseconds=400)  # after a failed connection attempt
LONGEST_PAUSE = timedelta(seconds=3)  # with doubling after each further failure
SPILL_TOKENS = 24_000  # unread prompt tokens at which a prompt goes elsewhere
RESTART_GRACE = timedelta(seconds=2)  # for entries to come back after an outage


class PromptPart(NamedTuple):
    """A part of a prompt that requests may share, by its id."""

    id: str
    tokens: int


class PromptShape(NamedTuple):
    """The parts of a prompt in order, and its sizes in tokens."""

    parts: tuple[PromptPart, ...]
    input_tokens: int
    max_output_tokens: int

    @property
    def subject(self) -> str:
        """The last part that other requests share as well."""
        if len(self.parts) > 1:
            return self.parts[-2].id
        return self.parts[0].id if self.parts else ""


NO_PROMPT = PromptShape((), 0, 0)


class ServerEntry(NamedTuple):
    """What a server says of itself.

    ``born`` is the start of its incarnation in ms since the epoch, 0 if it
    does not tell; ``sequence`` counts its entries.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool
    born: int = 0
    sequence: int = 0


class ListedServer:
    """A registered server and this VM's own requests on it."""

    def __init__(self, entry: ServerEntry) -> None:
        self.entry = entry
        self.in_flight = 0
        self.unread_tokens = 0
        self.avoided_until = timedelta()
        self.pause = UNREACHABLE_PAUSE
        self.needs_fresh_connection = False


class ServerList:
    """The servers of all services, as this VM knows them."""

    def __init__(self, clock: Clock, rng: random.Random, domain: str = "") -> None:
        self._clock = clock
        self._rng = rng
        self._domain = domain
        self._servers: dict[str, ListedServer] = {}
        self._outliers: dict[str, OutlierDetector] = {}

    def __len__(self) -> int:
        return len(self._servers)

    def list_entries(self) -> list[ServerEntry]:
        """Return the entries of all servers."""
        return [server.entry for server in self._servers.values()]

    def update(self, entry: ServerEntry) -> ServerEntry | None:
        """Take over an entry; returns the one it replaces if that changed.

        An entry older than the known one is ignored.
        """
        known = self._servers.get(entry.id)
        if known is None:
            self._servers[entry.id] = ListedServer(entry)
            self._update_outliers(entry.service)
            return None
        old = known.entry
        if (entry.born, entry.sequence) < (old.born, old.sequence):
            return None
        if entry.born != old.born or entry.address != old.address:
            self._servers[entry.id] = ListedServer(entry)
        known.entry = entry
        if old.service != entry.service:
            self._update_outliers(old.service)
            self._update_outliers(entry.service)
        return old

    def remove(self, server_id: str) -> ServerEntry | None:
        """Forget a server that is gone; returns its last entry."""
        server = self._servers.pop(server_id, None)
        if server is None:
            return None
        self._update_outliers(server.entry.service)
        return server.entry

    def find(self, server_id: str) -> ListedServer | None:
        """Return a server by its id."""
        return self._servers.get(server_id)

    def choose(
        self, service: str, prompt: PromptShape, excluded: Iterable[str]
    ) -> ListedServer | None:
        """Return the server for a request, or ``None`` if there is none.

        A prompt goes to the server that all VMs prefer for its shared part, so
        that the part is read once; other requests go where least of this VM's
        own requests run. Servers that failed lately come last.
        """
        tried = set(excluded)
        usable = [
            server
            for server in self._servers.values()
            if server.entry.service == service
            and not server.entry.is_leaving
            and server.entry.id not in tried
        ]
        if not usable:
            return None
        sound = [server for server in usable if not self._is_avoided(server)]
        candidates = sound or usable
        if prompt.subject:
            return self._choose_by_subject(candidates, prompt)
        return min(
            candidates,
            key=lambda s: (s.in_flight / max(s.entry.slots, 1), self._rng.random()),
        )

    def _choose_by_subject(
        self, candidates: Sequence[ListedServer], prompt: PromptShape
    ) -> ListedServer:
        ranked = sorted(
            candidates,
            key=lambda s: rank_server(prompt.subject, s.entry.id),
            reverse=True,
        )
        least = min(s.unread_tokens for s in ranked)
        for server in ranked:
            if server.unread_tokens <= least + SPILL_TOKENS:
                return server
        return ranked[0]

    def _is_avoided(self, server: ListedServer) -> bool:
        now = self._clock.elapsed()
        if server.avoided_until > now:
            return True
        outliers = self._outliers.get(server.entry.service)
        return outliers is not None and outliers.is_ejected(server.entry.id, now)

    def start(self, server: ListedServer, unread_tokens: int) -> None:
        """Note a request sent to ``server``."""
        server.in_flight += 1
        server.unread_tokens += unread_tokens

    def note_answering(self, server: ListedServer, unread_tokens: int) -> None:
        """Note the first event of an answer: its prompt was read."""
        server.unread_tokens -= unread_tokens

    def finish(self, server: ListedServer) -> None:
        """Note that a request on ``server`` ended."""
        server.in_flight -= 1

    def note_success(self, server: ListedServer) -> None:
        """Note a sound answer."""
        server.pause = UNREACHABLE_PAUSE
        outliers = self._outliers.get(server.entry.service)
        if outliers is not None:
            outliers.record_success(server.entry.id)

    def note_failure(self, server: ListedServer) -> None:
        """Note a failed answer; after some in a row the server is left alone."""
        outliers = self._outliers.get(server.entry.service)
        if outliers is not None:
            outliers.record_failure(server.entry.id, self._clock.elapsed())

    def note_unreachable(self, server: ListedServer) -> None:
        """Note a failed connection attempt; the server is left alone for a while."""
        server.avoided_until = self._clock.elapsed() + server.pause
        server.pause = min(server.pause * 2, LONGEST_PAUSE)

    def _update_outliers(self, service: str) -> None:
        outliers = self._outliers.setdefault(service, OutlierDetector(self._rng))
        outliers.update_servers(
            {s.entry.id for s in self._servers.values() if s.entry.service == service}
        )


def rank_server(subject: str, server: str) -> int:
    """Return the rank of a server for a subject, the same on all VMs."""
    return xxhash.xxh3_64_intdigest(f"{subject}/{server}".encode())
