"""Requests by key, as the fold of a ledger stream knows them.

A request is known by its scoped key ``customer/idempotency key``. The table
keeps who claimed it, its recorded answer and its charges. Keys are dropped a
fixed log time after their last record; those that were claimed leave a marker
behind for longer, so that an old key is never mistaken for a new one.
"""

from collections import deque
from datetime import timedelta
from typing import Any, NamedTuple

from lavendershift.records import Charge, Claim, Outcome, Recover

MARKER_RETENTIONS = 30  # an expired claim is remembered this many times longer


class AttemptCharge(NamedTuple):
    """Tokens that one attempt of a request consumed."""

    attempt: str
    incarnation: str
    tokens: int


class RequestState(NamedTuple):
    """What the ledger knows of one request.

    ``claimant`` is empty when nobody claimed it. ``billed`` is ``None`` until
    a first charge or an outcome billed it. An ``expired`` request keeps
    neither outcome nor charges, yet may not run again.
    """

    budget: str
    claimant: str = ""
    fingerprint: str = ""
    claim_offset: int = -1
    outcome: Outcome | None = None
    billed: int | None = None
    charges: tuple[AttemptCharge, ...] = ()
    touched_ms: int = 0
    expired: bool = False


class Touch(NamedTuple):
    """A time at which a request had a record, in the order of the log."""

    time_ms: int
    request: str


class RequestTable:
    """All request keys of one ledger stream that are still kept."""

    def __init__(self, key_retention: timedelta) -> None:
        self.states: dict[str, RequestState] = {}
        self._retention_ms = int(key_retention / timedelta(milliseconds=1))
        self._touches: deque[Touch] = deque()
        self._markers: deque[Touch] = deque()

    def find(self, request: str) -> RequestState | None:
        """Return the state of ``request`` if it is still kept."""
        return self.states.get(request)

    def claim(self, record: Claim, offset: int, time_ms: int) -> str:
        """Record a claim; return why it is void, or an empty string."""
        state = self.states.get(record.request) or RequestState(record.budget)
        reason = _find_claim_fault(state, record)
        if reason:
            return reason
        state = state._replace(
            claimant=record.incarnation,
            fingerprint=record.fingerprint,
            claim_offset=offset,
        )
        self._store(record.request, state, time_ms)
        return ""

    def abandon(self, request: str, incarnation: str, time_ms: int) -> bool:
        """Free a claim that was never dispatched; false when it is not theirs."""
        state = self.states.get(request)
        if state is None or state.claimant != incarnation or state.outcome is not None:
            return False
        state = state._replace(claimant="", fingerprint="", claim_offset=-1)
        self._store(request, state, time_ms)
        return True

    def accepts_outcome(self, record: Outcome) -> bool:
        """Return whether ``record`` would be the outcome of its request."""
        state = self.states.get(record.request)
        return (
            state is not None
            and not state.expired
            and state.claimant == record.incarnation
            and state.outcome is None
        )

    def is_charged(self, request: str, attempt: str) -> bool:
        """Return whether a charge of ``attempt`` has been folded."""
        state = self.states.get(request)
        if state is None or not attempt:
            return False
        return any(charge.attempt == attempt for charge in state.charges)

    def add_charge(
        self, record: Charge | Outcome | Recover, tokens: int, time_ms: int
    ) -> bool:
        """Add an attempt's tokens; return whether they bill the request."""
        state = self.states.get(record.request) or RequestState(record.budget)
        bills = state.billed is None and not state.expired
        charge = AttemptCharge(record.attempt, record.incarnation, tokens)
        state = state._replace(charges=(*state.charges, charge))
        if bills:
            state = state._replace(billed=tokens)
        self._store(record.request, state, time_ms)
        return bills

    def set_outcome(self, record: Outcome, time_ms: int) -> None:
        """Keep the recorded answer of a claimed request."""
        state = self.states[record.request]._replace(outcome=record)
        self._store(record.request, state, time_ms)

    def expire(self, time_ms: int) -> None:
        """Drop what was last touched longer ago than keys are kept."""
        limit = time_ms - self._retention_ms
        while self._touches and self._touches[0].time_ms < limit:
            self._expire_touch(self._touches.popleft())
        limit = time_ms - self._retention_ms * MARKER_RETENTIONS
        while self._markers and self._markers[0].time_ms < limit:
            self._drop_marker(self._markers.popleft())

    def dump(self) -> list[Any]:
        """Return the table in a form that JSON can hold."""
        rows = [[request, *state] for request, state in self.states.items()]
        return [rows, list(self._touches), list(self._markers)]

    @classmethod
    def load(cls, data: list[Any], key_retention: timedelta) -> "RequestTable":
        """Return the table that ``dump`` gave."""
        table = cls(key_retention)
        rows, touches, markers = data
        for request, *fields in rows:
            table.states[request] = _load_state(fields)
        table._touches = deque(Touch(*touch) for touch in touches)
        table._markers = deque(Touch(*marker) for marker in markers)
        return table

    def _store(self, request: str, state: RequestState, time_ms: int) -> None:
        if state.touched_ms != time_ms or request not in self.states:
            self._touches.append(Touch(time_ms, request))
        self.states[request] = state._replace(touched_ms=time_ms)

    def _expire_touch(self, touch: Touch) -> None:
        state = self.states.get(touch.request)
        if state is None or state.touched_ms != touch.time_ms:
            return
        if not state.claimant:
            del self.states[touch.request]
            return
        self.states[touch.request] = state._replace(
            outcome=None, charges=(), expired=True
        )
        self._markers.append(touch)

    def _drop_marker(self, marker: Touch) -> None:
        state = self.states.get(marker.request)
        if state is not None and state.touched_ms == marker.time_ms:
            del self.states[marker.request]


def _find_claim_fault(state: RequestState, record: Claim) -> str:
    if state.expired:
        return "key expired"
    if state.claimant and state.fingerprint != record.fingerprint:
        return "key reused for different content"
    if state.claimant:
        return "already claimed"
    if state.charges:
        return "key reused for different content"
    return ""


def _load_state(fields: list[Any]) -> RequestState:
    state = RequestState(*fields)
    outcome = Outcome(*state.outcome) if state.outcome is not None else None
    charges = tuple(AttemptCharge(*charge) for charge in state.charges)
    return state._replace(outcome=outcome, charges=charges)
