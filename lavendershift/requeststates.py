"""Request state by idempotency key, replayed from a ledger stream.

A request is identified by its scoped key ``customer/idempotency key``. The table
stores which incarnation claimed it, its recorded outcome and its charges. A key
is dropped a fixed log time after its last record. A claimed key leaves an
"expired" marker that is retained for longer, so that a late retry under an old
key is not taken for a new request.
"""

from collections import OrderedDict
from datetime import timedelta
from typing import Any, NamedTuple

from lavendershift.records import Charge, Claim, Outcome, Recover

GENERATED_PREFIX = "~"  # character that callers' keys cannot contain
# Milliseconds of log time to retain router-generated keys; no caller can send such
# a key, so no retry can use it.
GENERATED_RETENTION_MS = 3_600_000
# Retention of the marker of an expired claim, in multiples of the key retention;
# a retry under a key that is no longer marked would run again.
EXPIRED_RETENTION_FACTOR = 30


class AttemptCharge(NamedTuple):
    """Tokens that one attempt of a request consumed."""

    attempt: str
    tokens: int


class RequestState(NamedTuple):
    """State of the request whose scoped key is ``request``.

    ``updated_ms`` is the log time of its last record. ``billed`` is ``None``
    until a first charge or an outcome bills the request. ``claimant`` is the
    incarnation that claimed it, or empty; ``fingerprint`` is the content hash of
    its claim. A request loses its outcome and charges when it becomes ``expired``,
    but may not run again.
    """

    request: str
    budget: str
    updated_ms: int = 0
    billed: int | None = None
    charges: tuple[AttemptCharge, ...] = ()
    claimant: str = ""
    fingerprint: str = ""
    claim_offset: int = -1
    outcome: Outcome | None = None
    expired: bool = False


class RequestRows(NamedTuple):
    """A dumped table; each row has the fields of ``RequestState`` in order."""

    states: list[RequestState]
    generated: list[RequestState]
    expired: list[RequestState]


DEFAULT_FIELDS = tuple(RequestState("", ""))
REQUIRED_FIELDS = 2  # number of fields always encoded: request and budget


class RequestTable:
    """The request keys of one ledger stream that are still retained."""

    def __init__(self, key_retention: timedelta) -> None:
        self.states: OrderedDict[str, RequestState] = OrderedDict()
        self.generated: OrderedDict[str, RequestState] = OrderedDict()
        self.expired: OrderedDict[str, RequestState] = OrderedDict()
        self._retention_ms = int(key_retention / timedelta(milliseconds=1))

    def find(self, request: str) -> RequestState | None:
        """Return the state of ``request`` if it is still retained."""
        if is_generated(request):
            return self.generated.get(request)
        return self.states.get(request) or self.expired.get(request)

    def claim(self, record: Claim, offset: int, time_ms: int) -> str:
        """Apply a claim; return why it is rejected, or an empty string."""
        state = self.find(record.request) or RequestState(record.request, record.budget)
        reason = _find_claim_fault(state, record)
        if reason:
            return reason
        state = state._replace(
            claimant=record.incarnation,
            fingerprint=record.fingerprint,
            claim_offset=offset,
            updated_ms=time_ms,
        )
        self._store(state)
        return ""

    def abandon(self, request: str, incarnation: str, time_ms: int) -> bool:
        """Release a claim whose request was never dispatched.

        Return false if ``incarnation`` does not hold the claim or if the request
        has an outcome.
        """
        state = self.states.get(request)
        if state is None or state.claimant != incarnation or state.outcome is not None:
            return False
        state = state._replace(
            claimant="", fingerprint="", claim_offset=-1, updated_ms=time_ms
        )
        self._store(state)
        return True

    def accepts_outcome(self, record: Outcome) -> bool:
        """Return whether ``record`` would be accepted as its request's outcome."""
        state = self.states.get(record.request)
        return (
            state is not None
            and not state.expired
            and state.claimant == record.incarnation
            and state.outcome is None
        )

    def is_charged(self, request: str, attempt: str) -> bool:
        """Return whether a charge of ``attempt`` has been applied."""
        state = self.find(request)
        if state is None or not attempt:
            return False
        return any(charge.attempt == attempt for charge in state.charges)

    def add_charge(
        self, record: Charge | Outcome | Recover, tokens: int, time_ms: int
    ) -> bool:
        """Add an attempt's tokens; return whether they are billed.

        Only the first charge of a request that has not expired is billed.
        """
        state = self.find(record.request) or RequestState(record.request, record.budget)
        bills = state.billed is None and not state.expired
        charge = AttemptCharge(record.attempt, tokens)
        state = state._replace(
            billed=tokens if bills else state.billed,
            charges=(*state.charges, charge),
            updated_ms=time_ms,
        )
        self._store(state)
        return bills

    def set_outcome(self, record: Outcome, time_ms: int) -> None:
        """Store the outcome of a claimed request."""
        state = self.states[record.request]
        self._store(state._replace(outcome=record, updated_ms=time_ms))

    def expire(self, time_ms: int) -> None:
        """Drop the keys whose last record is older than their retention."""
        limit_ms = time_ms - self._retention_ms
        while self.states and self._find_oldest_ms(self.states) < limit_ms:
            request, state = self.states.popitem(last=False)
            if state.claimant:
                self.expired[request] = state._replace(
                    outcome=None, charges=(), expired=True
                )
        self._drop_before(
            self.expired, time_ms - self._retention_ms * EXPIRED_RETENTION_FACTOR
        )
        retention_ms = min(GENERATED_RETENTION_MS, self._retention_ms)
        self._drop_before(self.generated, time_ms - retention_ms)

    def dump(self) -> list[Any]:
        """Return the table as JSON-compatible rows.

        Trailing fields of a row that have their default value are omitted.
        """
        return [
            [_trim(state) for state in states.values()] for states in self._tables()
        ]

    @classmethod
    def load(cls, data: RequestRows, key_retention: timedelta) -> "RequestTable":
        """Return the table restored from the decoded rows of ``dump``."""
        table = cls(key_retention)
        for states, rows in zip(table._tables(), data, strict=True):
            states.update((state.request, state) for state in rows)
        return table

    def _tables(self) -> "tuple[OrderedDict[str, RequestState], ...]":
        return (self.states, self.generated, self.expired)

    def _drop_before(
        self, states: "OrderedDict[str, RequestState]", limit_ms: int
    ) -> None:
        while states and self._find_oldest_ms(states) < limit_ms:
            states.popitem(last=False)

    def _find_oldest_ms(self, states: "OrderedDict[str, RequestState]") -> int:
        return states[next(iter(states))].updated_ms

    def _store(self, state: RequestState) -> None:
        states = self.expired if state.expired else self.states
        if is_generated(state.request):
            states = self.generated
        states[state.request] = state
        states.move_to_end(state.request)


def make_generated_key(customer: str, attempt: str) -> str:
    """Return a scoped key for a request without an idempotency key."""
    return f"{customer}/{GENERATED_PREFIX}{attempt}"


def is_generated(request: str) -> bool:
    """Return whether a scoped key was generated by a router."""
    return request.rpartition("/")[2].startswith(GENERATED_PREFIX)


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
