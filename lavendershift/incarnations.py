"""Router incarnations in the replayed state of a ledger stream.

An incarnation joins once, may be evicted, and closes once. Its records carry ids
``"<incarnation>/<seq>"`` with rising sequence numbers, so the highest number
applied is enough to detect a duplicate record.
"""

from enum import Enum
from typing import Any, NamedTuple

MAX_SEQUENCE_DIGITS = 18  # longest sequence number, which 64 bits hold


class Membership(Enum):
    """State in the life cycle of an incarnation."""

    JOINED = "joined"
    EVICTED = "evicted"
    CLOSED = "closed"


class IncarnationState(NamedTuple):
    """State of one incarnation.

    ``evict_offset`` is -1 unless it was evicted. ``acks`` holds the ids of the
    incarnations that acknowledged its eviction.
    """

    vm: str
    failure_domain: str
    state: Membership
    join_offset: int
    evict_offset: int = -1
    acks: tuple[str, ...] = ()

    @property
    def evicted(self) -> bool:
        """Whether the incarnation was evicted, even if it has closed since."""
        return self.evict_offset >= 0


class RecordId(NamedTuple):
    """The parts of a record id written by an incarnation."""

    author: str
    seq: int


def parse_record_id(record_id: str) -> RecordId | None:
    """Return the parts of ``"<incarnation>/<seq>"``, or ``None`` for other ids."""
    author, separator, digits = record_id.rpartition("/")
    if not separator or not (digits.isascii() and digits.isdigit()):
        return None
    if len(digits) > MAX_SEQUENCE_DIGITS:
        return None
    return RecordId(author, int(digits))


class IncarnationTable:
    """All incarnations of one ledger stream.

    Of an incarnation that closed and holds no tokens in doubt, only a log time in ms
    remains, in ``finished``. It is retained as long as request keys are.
    ``joined`` holds the live incarnations in the order in which they joined.
    """

    def __init__(self) -> None:
        self.states: dict[str, IncarnationState] = {}
        self.joined: dict[str, None] = {}
        self._sequences: dict[str, int] = {}
        self.finished: dict[str, int] = {}

    def join(self, incarnation: str, seq: int, state: IncarnationState) -> None:
        """Add an incarnation whose first record has sequence number ``seq``."""
        self.states[incarnation] = state
        self.joined[incarnation] = None
        self._sequences[incarnation] = seq

    def advance(self, author: str, seq: int) -> bool:
        """Advance the author's sequence to ``seq``; return false for a duplicate."""
        if seq <= self._sequences[author]:
            return False
        self._sequences[author] = seq
        return True

    def find(self, incarnation: str) -> IncarnationState | None:
        """Return the state of ``incarnation``, ``None`` if unknown or finished."""
        return self.states.get(incarnation)

    def is_joined(self, incarnation: str) -> bool:
        """Return whether ``incarnation`` may get new grants and claims."""
        state = self.states.get(incarnation)
        return state is not None and state.state is Membership.JOINED

    def is_open(self, incarnation: str) -> bool:
        """Return whether records of ``incarnation`` may still take effect."""
        state = self.states.get(incarnation)
        return state is not None and state.state is not Membership.CLOSED

    def evict(self, incarnation: str, offset: int) -> bool:
        """Evict ``incarnation``; return false if it is unknown or already evicted."""
        state = self.states.get(incarnation)
        if state is None or state.evicted:
            return False
        membership = state.state
        if membership is Membership.JOINED:
            membership = Membership.EVICTED
            del self.joined[incarnation]
        self.states[incarnation] = state._replace(state=membership, evict_offset=offset)
        return True

    def acknowledge(self, evicted: str, incarnation: str) -> bool:
        """Record that ``incarnation`` accepts no more transfers from ``evicted``.

        Returns false if ``evicted`` is not evicted or ``incarnation`` has already
        acknowledged the eviction.
        """
        state = self.states.get(evicted)
        if state is None or not state.evicted or incarnation in state.acks:
            return False
        self.states[evicted] = state._replace(acks=(*state.acks, incarnation))
        return True

    def close(self, incarnation: str) -> None:
        """Mark ``incarnation`` as closed."""
        state = self.states[incarnation]
        self.states[incarnation] = state._replace(state=Membership.CLOSED)
        self.joined.pop(incarnation, None)

    def find_missing_acks(self, evicted: str) -> list[str]:
        """Return the incarnations that may hold unlogged transfers from ``evicted``."""
        target = self.states[evicted]
        return [
            name
            for name, state in self.states.items()
            if name != evicted
            and state.state is not Membership.CLOSED
            and state.join_offset < target.evict_offset
            and name not in target.acks
        ]

    def finish(self, incarnation: str, time_ms: int) -> None:
        """Replace the state of a closed incarnation by ``time_ms`` in ``finished``."""
        del self.states[incarnation]
        del self._sequences[incarnation]
        self.finished[incarnation] = time_ms

    def dump(self) -> list[Any]:
        """Return the table as values that JSON can encode."""
        rows = [
            [name, *state._replace(state=state.state.value)]  # type: ignore[arg-type]
            for name, state in self.states.items()
        ]
        return [rows, self._sequences, self.finished]

    @classmethod
    def load(cls, data: list[Any]) -> "IncarnationTable":
        """Return the table whose ``dump`` is ``data``."""
        table = cls()
        rows, table._sequences, table.finished = data
        for name, *fields in rows:
            state = IncarnationState(*fields)
            table.states[name] = state._replace(
                state=Membership(state.state), acks=tuple(state.acks)
            )
            if table.states[name].state is Membership.JOINED:
                table.joined[name] = None
        return table
