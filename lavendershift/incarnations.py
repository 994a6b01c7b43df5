"""Router incarnations as the fold of a ledger stream knows them.

An incarnation joins once, may be evicted, and closes once. Its records carry
ids ``"<incarnation>/<seq>"`` whose sequence numbers rise, so the highest
number folded is enough to recognise a repeated record.
"""

from enum import Enum
from typing import Any, NamedTuple


class Membership(Enum):
    """Where an incarnation is in its life."""

    JOINED = "joined"
    EVICTED = "evicted"
    CLOSED = "closed"


class IncarnationState(NamedTuple):
    """One incarnation.

    ``evict_offset`` is -1 unless it was evicted. ``acks`` names the
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
        """Whether an eviction was folded, also when it has closed since."""
        return self.evict_offset >= 0


class RecordId(NamedTuple):
    """The parts of a record id written by an incarnation."""

    author: str
    seq: int


def parse_record_id(record_id: str) -> RecordId | None:
    """Return the parts of ``"<incarnation>/<seq>"``, ``None`` for other ids."""
    author, separator, digits = record_id.rpartition("/")
    if not separator or not (digits.isascii() and digits.isdigit()):
        return None
    return RecordId(author, int(digits))


class IncarnationTable:
    """All incarnations of one ledger stream.

    Those that closed with nothing left in doubt shrink to the time they
    closed in ``finished``, which is kept as long as request keys are.
    ``joined`` has the live ones, in the order in which they joined.
    """

    def __init__(self) -> None:
        self.states: dict[str, IncarnationState] = {}
        self.joined: dict[str, None] = {}
        self._sequences: dict[str, int] = {}
        self.finished: dict[str, int] = {}

    def join(self, incarnation: str, seq: int, state: IncarnationState) -> None:
        """Add an incarnation whose first record has the number ``seq``."""
        self.states[incarnation] = state
        self.joined[incarnation] = None
        self._sequences[incarnation] = seq

    def advance(self, author: str, seq: int) -> bool:
        """Note a record's sequence number; false when it is a repeat."""
        if seq <= self._sequences[author]:
            return False
        self._sequences[author] = seq
        return True

    def find(self, incarnation: str) -> IncarnationState | None:
        """Return the state of ``incarnation`` if it is still kept."""
        return self.states.get(incarnation)

    def is_joined(self, incarnation: str) -> bool:
        """Return whether ``incarnation`` may still get grants and claims."""
        state = self.states.get(incarnation)
        return state is not None and state.state is Membership.JOINED

    def is_open(self, incarnation: str) -> bool:
        """Return whether records of ``incarnation`` may still count."""
        state = self.states.get(incarnation)
        return state is not None and state.state is not Membership.CLOSED

    def evict(self, incarnation: str, offset: int) -> bool:
        """Evict ``incarnation``; false when it is unknown or evicted already."""
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
        """Note that ``incarnation`` takes no more transfers from ``evicted``."""
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
        """Return who may still hold an unlogged transfer from ``evicted``."""
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
        """Shrink a closed incarnation to the time it closed."""
        del self.states[incarnation]
        del self._sequences[incarnation]
        self.finished[incarnation] = time_ms

    def dump(self) -> list[Any]:
        """Return the table in a form that JSON can hold."""
        rows = [
            [name, *state._replace(state=state.state.value)]  # type: ignore[arg-type]
            for name, state in self.states.items()
        ]
        return [rows, self._sequences, self.finished]

    @classmethod
    def load(cls, data: list[Any]) -> "IncarnationTable":
        """Return the table that ``dump`` gave."""
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
