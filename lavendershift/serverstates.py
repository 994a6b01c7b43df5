"""One backend server as this VM knows it: its entry, its load, what it holds."""

from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.notices import Incarnation
from lavendershift.prefixes import PrefixIndex

CONNECT_BACKOFF = timedelta(milliseconds=400)  # after a failed connection attempt
LOAD_EXPIRY = timedelta(seconds=2)  # of what another VM told, four summaries


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
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may have as well, all but the last."""
        return self.parts[:-1] or self.parts

    @property
    def affinity_key(self) -> str:
        """The largest shared part, which decides the prompt's home server."""
        parts = self.shared_parts
        return max(parts, key=lambda part: part.tokens).id if parts else ""


NO_PROMPT = PromptShape((), 0, 0)


class ServerLoad(NamedTuple):
    """One VM's requests on a server, and their prompt tokens still to be read."""

    in_flight: int
    unread_tokens: int


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


class ServerKnowledge(NamedTuple):
    """How sure this VM is of a server: the age of the newest reading of all entries.

    ``is_missing`` is set while the server's own entry is not there.
    """

    age: timedelta | None = None
    is_missing: bool = False


class PeerLoad(NamedTuple):
    """What another VM told of its load, and when."""

    load: ServerLoad
    received_at: timedelta


class ListedServer:
    """A registered server, this VM's requests on it and what others told.

    ``usable_until`` is set while its entry is missing.
    """

    def __init__(self, entry: ServerEntry, clock: Clock) -> None:
        self.entry = entry
        self.in_flight = 0
        self.unread_tokens = 0
        self.avoided_until = timedelta()
        self.pause = CONNECT_BACKOFF
        self.usable_until: timedelta | None = None
        self.cache = PrefixIndex(clock)
        self.peer_loads: dict[str, PeerLoad] = {}

    @property
    def incarnation(self) -> Incarnation:
        """What names this process of the server."""
        return self.entry.id, self.entry.born

    @property
    def is_missing(self) -> bool:
        """Whether its entry is gone, and may only have lapsed."""
        return self.usable_until is not None

    def sum_load(self, now: timedelta) -> ServerLoad:
        """Return the load of all VMs."""
        loads = [
            o.load
            for o in self.peer_loads.values()
            if now - o.received_at <= LOAD_EXPIRY
        ]
        return ServerLoad(
            self.in_flight + sum(load.in_flight for load in loads),
            self.unread_tokens + sum(load.unread_tokens for load in loads),
        )

    def count_unread(self, prompt: PromptShape) -> int:
        """Return the tokens of ``prompt`` that the server would have to read."""
        held = self.cache.count_held([part.id for part in prompt.parts])
        return max(
            prompt.input_tokens - sum(part.tokens for part in prompt.parts[:held]), 0
        )
