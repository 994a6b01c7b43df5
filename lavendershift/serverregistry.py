"""Entries of backend servers, and how recent they are.

An entry describes one incarnation of a server. Entries are ordered by the start of
the incarnation and by their sequence number, so that an older entry that arrives late
is ignored. ``ServerList`` selects servers among them::

    servers = ServerRegistry(clock)
    servers.update(entry)
    servers.mark_missing(entry.id, until)
"""

from collections.abc import Sequence
from datetime import timedelta

from lavendershift.clocks import Clock
from lavendershift.entryversions import EntryVersions
from lavendershift.evacuation.coldservers import ColdServers
from lavendershift.evacuation.homes import Homes, Regions
from lavendershift.serverstates import (
    ListedServer,
    ServerEntry,
    ServerKnowledge,
    ServerLoad,
)


class ServerRegistry:
    """The registered servers of all services that this VM knows."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._servers: dict[str, ListedServer] = {}
        self._versions = EntryVersions()
        self._entries_read_at: timedelta | None = None
        self.cold = ColdServers(clock)
        self.regions = Regions({})

    def __len__(self) -> int:
        return len(self._servers)

    def list_entries(self) -> list[ServerEntry]:
        """Return the entries of all servers."""
        return [server.entry for server in self._servers.values()]

    def list_servers(self) -> list[ListedServer]:
        """Return all servers."""
        return list(self._servers.values())

    def note_reading(self) -> None:
        """Record that the entries were read just now."""
        self._entries_read_at = self._clock.elapsed()

    def get_knowledge(self, server: ListedServer) -> ServerKnowledge:
        """Return how recent this VM's information about ``server`` is."""
        if self._entries_read_at is None:
            return ServerKnowledge(None, server.is_missing)
        return ServerKnowledge(
            self._clock.elapsed() - self._entries_read_at, server.is_missing
        )

    def update(self, entry: ServerEntry) -> bool:
        """Apply an entry; return false if it is outdated or conflicting.

        A removed server is listed again only by a newer entry, as its last one may
        be delivered late.
        """
        known = self._servers.get(entry.id)
        if known is None:
            if self._versions.is_removed(entry):
                return False
            self._servers[entry.id] = ListedServer(entry, self._clock)
            self._note_members(entry.service)
            # What the first reading lists may have started long ago.
            has_read = self._entries_read_at is not None
            is_start = has_read and not self._versions.is_same_start(entry)
            self.cold.note_entry(entry, is_start)
            return True
        old = known.entry
        if (entry.born, entry.sequence) < (old.born, old.sequence):
            return False
        if old.born == entry.born != 0 and self._versions.is_conflicting(old, entry):
            return False
        if entry.born != old.born or entry.address != old.address:
            # Requests in flight at the previous incarnation keep its own record.
            self._servers[entry.id] = ListedServer(entry, self._clock)
            self._note_replaced(entry)
        else:
            known.entry = entry
            known.capacity.set_slots(entry.slots)
        if old.service != entry.service:
            self._note_members(old.service)
            self._note_members(entry.service)
        self.cold.note_entry(entry, entry.born != old.born)
        return True

    def mark_missing(self, server_id: str, until: timedelta) -> None:
        """Mark a server's entry as missing, the server as usable before ``until``.

        A later outage doesn't extend this time while the entry is still missing.
        """
        server = self._servers[server_id]
        if server.usable_until is None:
            server.usable_until = until

    def mark_present(self, server_id: str) -> bool:
        """Mark a server's entry as present; return whether it was missing."""
        server = self._servers.get(server_id)
        was_missing = server is not None and server.is_missing
        if server is not None:
            server.usable_until = None
        return was_missing

    def remove(self, server_id: str) -> ServerEntry | None:
        """Remove a server and return its last entry."""
        server = self._servers.pop(server_id, None)
        if server is None:
            return None
        self._versions.note_removed(server.entry)
        self._note_members(server.entry.service)
        return server.entry

    def list_outside(self, service: str, homes: Homes | None) -> list[str]:
        """Return the ids of a service's servers in other regions than ``homes``."""
        if homes is None:
            return []
        return [
            server.entry.id
            for server in self._servers.values()
            if server.entry.service == service
            and not self.regions.allows(homes, server.entry.failure_domain)
        ]

    def find(self, server_id: str) -> ListedServer | None:
        """Return a server by its id."""
        return self._servers.get(server_id)

    def measure_own_load(self, server_id: str) -> ServerLoad:
        """Return this VM's load on a server."""
        server = self._servers.get(server_id)
        if server is None:
            return ServerLoad(0, 0)
        return ServerLoad(server.in_flight, server.unread_tokens)

    def list_in_use(self) -> list[str]:
        """Return the ids of the servers at which this VM has requests in flight."""
        return [name for name, s in self._servers.items() if s.in_flight]

    def record_peer_load(
        self, vm: str, server_id: str, load: ServerLoad, parts: Sequence[str]
    ) -> None:
        """Record another VM's load on a server, and the prompt parts it sent there."""
        server = self._servers.get(server_id)
        if server is None:
            return
        server.record_peer_load(vm, load, self._clock.elapsed())
        if parts:
            server.cache.note_used(parts)

    def _note_members(self, service: str) -> None:
        """Handle a change of the servers of a service."""

    def _note_replaced(self, entry: ServerEntry) -> None:
        """Handle the start of a new incarnation, that of ``entry``."""
