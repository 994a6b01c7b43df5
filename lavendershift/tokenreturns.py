"""Proofs that prepaid tokens can be returned.

The next process on a VM adopts tokens that the newest lease snapshot in the store
counts as unspent. Returned tokens must not be among them, so the order is: debit the
tokens, know that a snapshot without them is stored, then lower the quota record. An
append without an answer may be executed now, later or never. Until a later snapshot is
known to be stored, each of several may therefore be the newest::

    history = SnapshotHistory()
    number = history.begin({"plume": 5000})
    history.confirm(number)
    debit = history.debit({"plume": 4000})
    ReleasedTokens(history, debit)  # raises SnapshotNotStoredError
"""

from collections.abc import Mapping
from typing import NamedTuple

from lavendershift.errors import LogUnavailableError


class SnapshotNotStoredError(LogUnavailableError):
    """No snapshot without the debited tokens is known to be stored."""


class Debit(NamedTuple):
    """Tokens that snapshots after the one with number ``last`` don't count."""

    tokens: Mapping[str, int]
    last: int


class SnapshotHistory:
    """The lease snapshots of a process of which one may be the newest in the store."""

    def __init__(self) -> None:
        self._last = 0
        self._unspent: dict[int, Mapping[str, int]] = {}

    @property
    def counts_tokens(self) -> bool:
        """Whether one of the snapshots counts any tokens."""
        return any(any(unspent.values()) for unspent in self._unspent.values())

    def begin(self, unspent: Mapping[str, int]) -> int:
        """Add a snapshot before it is sent; return its number."""
        self._last += 1
        self._unspent[self._last] = dict(unspent)
        return self._last

    def confirm(self, number: int) -> None:
        """Note that a snapshot is stored, after all that were sent before it."""
        self._unspent = {n: u for n, u in self._unspent.items() if n >= number}

    def discard(self, number: int) -> None:
        """Note that a snapshot was not stored and never will be."""
        del self._unspent[number]

    def debit(self, tokens: Mapping[str, int]) -> Debit:
        """Note that ``tokens`` were debited just now."""
        return Debit(dict(tokens), self._last)

    def may_count(self, debit: Debit) -> bool:
        """Return whether one of the snapshots may count tokens of ``debit``."""
        return any(
            unspent.get(customer, 0) > 0
            for number, unspent in self._unspent.items()
            if number <= debit.last
            for customer in debit.tokens
        )


class ReleasedTokens:
    """Debited tokens that the next process can't adopt.

    Quota records are lowered by such tokens only. Raises ``SnapshotNotStoredError`` if
    a snapshot that may be the newest in the store may count the tokens.
    """

    def __init__(self, history: SnapshotHistory, debit: Debit) -> None:
        if history.may_count(debit):
            raise SnapshotNotStoredError(
                "no lease snapshot without the tokens is known to be stored"
            )
        self.tokens = debit.tokens
