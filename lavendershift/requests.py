"""Requests by key, as the fold of a ledger stream knows them.

A request is known by its scoped key ``customer/idempotency key``. The table
keeps who claimed it, its recorded answer and its charges. Keys are dropped a
fixed log time after their last record; those that were claimed leave a marker
behind for longer, so that an old key is never mistaken for a new one.
"""

from collections import OrderedDict
from datetime import timedelta
from typing import Any, NamedTuple

from lavendershift.records import Charge, Claim, Outcome, Recover

GENERATED_MARK = "~"  # callers' keys cannot contain it
GENERATED_RETENTION_MS = 3_600_000  # nobody repeats a key that a router made
MARKER_RETENTIONS = 30  # an expired claim is remembered this many times longer


class AttemptCharge(NamedTuple):
    """Tokens that one attempt of a request consumed."""

    attempt: str
    tokens: int


class RequestState(NamedTuple):
    """What the ledger knows of one request, whose scoped key is ``request``.

    ``touched_ms`` is the log time of its last record. ``billed`` is ``None``
    until a first charge or an outcome billed it. ``claimant`` is empty when
    nobody claimed it. An ``expired`` request keeps neither outcome nor
    charges, yet may not run again.
    """

    request: str
    budget: str
    touched_ms: int = 0
    billed: int | None = None
    charges: tuple[AttemptCharge, ...] = ()
    claimant: str = ""
    fingerprint: str = ""
    claim_offset: int = -1
    outcome: Outcome | None = None
    expired: bool = False


class RequestRows(NamedTuple):
    """A dumped table; the fields of a state are those of its row."""

    states: list[RequestState]
    generated: list[RequestState]
    expired: list[RequestState]


DEFAULT_FIELDS = tuple(RequestState("", ""))
REQUIRED_FIELDS = 2  # request and budget


class RequestTable:
    """All request keys of one ledger stream that are still kept."""

    def __init__(self, key_retention: timedelta) -> None:
        self.states: OrderedDict[str, RequestState] = OrderedDict()
        self.generated: OrderedDict[str, RequestState] = OrderedDict()
        self.expired: OrderedDict[str, RequestState] = OrderedDict()
        self._retention_ms = int(key_retention / timedelta(milliseconds=1))

    def find(self, request: str) -> RequestState | None:
        """Return the state of ``request`` if it is still kept."""
        if is_generated(request):
            return self.generated.get(request)
        return self.states.get(request) or self.expired.get(request)

    def claim(self, record: Claim, offset: int, time_ms: int) -> str:
        """Record a claim; return why it is void, or an empty string."""
        state = self.find(record.request) or RequestState(record.request, record.budget)
        reason = _find_claim_fault(state, record)
        if reason:
            return reason
        state = state._replace(
            claimant=record.incarnation,
            fingerprint=record.fingerprint,
            claim_offset=offset,
            touched_ms=time_ms,
        )
        self._store(state)
        return ""

    def abandon(self, request: str, incarnation: str, time_ms: int) -> bool:
        """Free a claim that was never dispatched; false when it is not theirs."""
        state = self.states.get(request)
        if state is None or state.claimant != incarnation or state.outcome is not None:
            return False
        state = state._replace(
            claimant="", fingerprint="", claim_offset=-1, touched_ms=time_ms
        )
        self._store(state)
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
        state = self.find(request)
        if state is None or not attempt:
            return False
        return any(charge.attempt == attempt for charge in state.charges)

    def add_charge(
        self, record: Charge | Outcome | Recover, tokens: int, time_ms: int
    ) -> bool:
        """Add an attempt's tokens; return whether they bill the request."""
        state = self.find(record.request) or RequestState(record.request, record.budget)
        bills = state.billed is None and not state.expired
        charge = AttemptCharge(record.attempt, tokens)
        state = state._replace(
            billed=tokens if bills else state.billed,
            charges=(*state.charges, charge),
            touched_ms=time_ms,
        )
        self._store(state)
        return bills

    def set_outcome(self, record: Outcome, time_ms: int) -> None:
        """Keep the recorded answer of a claimed request."""
        state = self.states[record.request]
        self._store(state._replace(outcome=record, touched_ms=time_ms))

    def expire(self, time_ms: int) -> None:
        """Drop what was last touched longer ago than keys are kept."""
        limit = time_ms - self._retention_ms
        while self.states and self._peek(self.states) < limit:
            request, state = self.states.popitem(last=False)
            if state.claimant:
                self.expired[request] = state._replace(
                    outcome=None, charges=(), expired=True
                )
        self._drop_before(
            self.expired, time_ms - self._retention_ms * MARKER_RETENTIONS
        )
        kept_ms = min(GENERATED_RETENTION_MS, self._retention_ms)
        self._drop_before(self.generated, time_ms - kept_ms)

    def dump(self) -> list[Any]:
        """Return the table in a form that JSON can hold.

        Fields at the end of a row that have their default value are left out.
        """
        return [[_trim(state) for state in kept.values()] for kept in self._tables()]

    @classmethod
    def load(cls, data: RequestRows, key_retention: timedelta) -> "RequestTable":
        """Return the table that ``dump`` gave, as decoded to rows."""
        table = cls(key_retention)
        for kept, rows in zip(table._tables(), data, strict=True):
            kept.update((state.request, state) for state in rows)
        return table

    def _tables(self) -> "tuple[OrderedDict[str, RequestState], ...]":
        return (self.states, self.generated, self.expired)

    def _drop_before(self, kept: "OrderedDict[str, RequestState]", limit: int) -> None:
        while kept and self._peek(kept) < limit:
            kept.popitem(last=False)

    def _peek(self, kept: "OrderedDict[str, RequestState]") -> int:
        return kept[next(iter(kept))].touched_ms

    def _store(self, state: RequestState) -> None:
        kept = self.expired if state.expired else self.states
        if is_generated(state.request):
            kept = self.generated
        kept[state.request] = state
        kept.move_to_end(state.request)


def make_generated_request(customer: str, attempt: str) -> str:
    """Return the scoped key of a request that came without a key."""
    return f"{customer}/{GENERATED_MARK}{attempt}"


def is_generated(request: str) -> bool:
    """Whether a scoped key was made by a router and not by a caller."""
    return request.rpartition("/")[2].startswith(GENERATED_MARK)


def _trim(state: RequestState) -> list[Any]:
    fields = list(state)
    while (
        len(fields) > REQUIRED_FIELDS and fields[-1] == DEFAULT_FIELDS[len(fields) - 1]
    ):
        fields.pop()
    return fields


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
