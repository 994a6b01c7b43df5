"""State of one backend server on this VM: its entry, load and cached prompts."""

from datetime import timedelta
from typing import NamedTuple

from lavendershift.capacity.servercapacity import ServerCapacity
from lavendershift.capacity.states import USUAL
from lavendershift.clocks import Clock
from lavendershift.prefixes import PrefixIndex
from lavendershift.serversignals import Incarnation
from lavendershift.silences import ServerSilence

# Backoff after the first failed connection.
CONNECT_BACKOFF = timedelta(milliseconds=400)
LOAD_EXPIRY = timedelta(seconds=2)  # lifetime of a load report, four reporting periods


class PromptPart(NamedTuple):
    """A part of a prompt that several requests may share, and its tokens."""

    id: str
    tokens: int


class PromptShape(NamedTuple):
    """The parts of a prompt in order, and its sizes in tokens.

    Engines cache the parts they have read, so that a later prompt that begins with
    the same parts is read faster.
    """

    parts: tuple[PromptPart, ...]
    input_tokens: int
    max_output_tokens: int

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share: all but the last."""
        return self.parts[:-1] or self.parts

    @property
    def shared_tokens(self) -> int:
        """The tokens of the shared parts."""
        total = 0
        for part in self.shared_parts:
            total += part.tokens
        return total

    @property
    def part_ids(self) -> tuple[str, ...]:
        """The ids of all parts."""
        return tuple([part.id for part in self.parts])

    @property
    def affinity_key(self) -> str:
        """Id of the largest shared part, which determines the affinity server."""
        parts = self.shared_parts
        return max(parts, key=lambda part: part.tokens).id if parts else ""


NO_PROMPT = PromptShape((), 0, 0)


class ServerLoad(NamedTuple):
    """One VM's requests at a server, and their prompt tokens not yet read."""

    in_flight: int
    unread_tokens: int


class ServerEntry(NamedTuple):
    """A server's registration.

    ``born`` is the start of its incarnation in ms since the epoch, 0 if it is not
    stated; ``sequence`` counts the entries of the incarnation. ``cold_remaining`` is
    how long it stays cold.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool
    born: int = 0
    sequence: int = 0
    cold_remaining: timedelta = timedelta()


class ServerKnowledge(NamedTuple):
    """How recent a VM's information about a server is.

    ``age`` is the time since the entries were last read, ``None`` before the first
    reading. ``is_missing`` is set while the server's own entry is missing.
    """

    age: timedelta | None = None
    is_missing: bool = False


class PeerLoad(NamedTuple):
    """Another VM's reported load, and when the report arrived."""

    load: ServerLoad
    received_at: timedelta


class ListedServer:
    """A registered server, with this VM's load on it and that reported by peers.

    ``usable_until`` is set while the server's entry is missing.
    """

    def __init__(self, entry: ServerEntry, clock: Clock) -> None:
        self.entry = entry
        self.in_flight = 0
        self.unread_tokens = 0
        self.avoided_until = timedelta()
        self.connect_backoff = CONNECT_BACKOFF
        self.silence = ServerSilence()
        self.usable_until: timedelta | None = None
        self.cache = PrefixIndex(clock)
        self.capacity = ServerCapacity(entry.slots)
        self.speed_state = USUAL
        self.speed_reported_at = timedelta()
        self._peer_loads: dict[str, PeerLoad] = {}
        self._peer_sum = ServerLoad(0, 0)
        self._peer_sum_until = timedelta.max

    @property
    def incarnation(self) -> Incarnation:
        """Identifier of the server's current process."""
        return self.entry.id, self.entry.born

    @property
    def is_missing(self) -> bool:
        """Whether the server's entry is missing, perhaps only because it expired."""
        return self.usable_until is not None

    def record_peer_load(self, vm: str, load: ServerLoad, now: timedelta) -> None:
        """Record the load that another VM reports."""
        known = self._peer_loads.get(vm)
        old = known.load if known else ServerLoad(0, 0)
        self._peer_loads[vm] = PeerLoad(load, now)
        self._peer_sum = ServerLoad(
            self._peer_sum.in_flight + load.in_flight - old.in_flight,
            self._peer_sum.unread_tokens + load.unread_tokens - old.unread_tokens,
        )
        self._peer_sum_until = min(self._peer_sum_until, now + LOAD_EXPIRY)

    def sum_load(self, now: timedelta) -> ServerLoad:
        """Return the load of all VMs, without expired reports.

        The sum is kept, as a choice needs it of all servers, with a report of each VM.
        """
        if now > self._peer_sum_until:
            self._drop_expired(now)
        peers = self._peer_sum
        return ServerLoad(
            self.in_flight + peers.in_flight, self.unread_tokens + peers.unread_tokens
        )

    def _drop_expired(self, now: timedelta) -> None:
        reports = {
            vm: report
            for vm, report in self._peer_loads.items()
            if now - report.received_at <= LOAD_EXPIRY
        }
        loads = [report.load for report in reports.values()]
        self._peer_loads = reports
        self._peer_sum = ServerLoad(
            sum(load.in_flight for load in loads),
            sum(load.unread_tokens for load in loads),
        )
        oldest = min(
            (report.received_at for report in reports.values()),
            default=timedelta.max - LOAD_EXPIRY,
        )
        self._peer_sum_until = oldest + LOAD_EXPIRY

    def count_in_flight(self, now: timedelta) -> int:
        """Return the requests in flight of all VMs."""
        return self.sum_load(now).in_flight

    def count_unread(self, prompt: PromptShape) -> int:
        """Return the tokens of ``prompt`` that the server does not have cached."""
        unread = prompt.input_tokens
        cached = self.cache.count_cached(prompt.part_ids)
        for part in prompt.parts[:cached]:
            unread -= part.tokens
        return max(unread, 0)
