"""Token balances of one budget, as the fold of a ledger stream keeps them.

A ``Balance`` knows what the incarnations hold, what was consumed and what was
billed. Tokens only move between its columns, so that at any moment
``outstanding == sum(held) + spent``::

    balance = Balance()
    balance.grant("r1.7", 100)
    assert balance.consume("r1.7", 30) == 30
    assert balance.held == {"r1.7": 70}
"""

from typing import Any, NamedTuple


class BudgetView(NamedTuple):
    """What the ledger knows of a budget, in tokens.

    ``available`` may still be granted. ``held`` maps incarnations to what they
    may spend; ``in_doubt`` is the part of it held by incarnations that were
    evicted or closed. ``overdrawn`` was consumed beyond what its incarnation
    held and is 0 unless a program or an operator erred.
    """

    prepaid: int
    available: int
    spent: int
    billed: int
    overdrawn: int
    held: dict[str, int]
    in_doubt: int


class Balance:
    """Mutable balances of one budget.

    ``outstanding`` is the sum of all grants less what came back by returns,
    closes and releases.
    """

    def __init__(self) -> None:
        self.outstanding = 0
        self.spent = 0
        self.billed = 0
        self.overdrawn = 0
        self.held: dict[str, int] = {}
        self.released: dict[str, int] = {}

    def grant(self, incarnation: str, tokens: int) -> None:
        """Add ``tokens`` to what ``incarnation`` holds."""
        self.outstanding += tokens
        self.held[incarnation] = self.held.get(incarnation, 0) + tokens

    def consume(self, incarnation: str, tokens: int) -> int:
        """Spend ``tokens`` and return how many of them were held."""
        counted = self._take(incarnation, tokens)
        self.spent += counted
        self.overdrawn += tokens - counted
        return counted

    def return_tokens(self, incarnation: str, tokens: int) -> int:
        """Take back unspent tokens and return how many count.

        Tokens that a release has freed already do not come back twice.
        """
        freed = min(self.released.get(incarnation, 0), tokens)
        if freed:
            self.released[incarnation] -= freed
        counted = self._take(incarnation, tokens - freed)
        self.outstanding -= counted
        return counted

    def release(self, incarnation: str, tokens: int) -> int:
        """Free up to ``tokens`` in doubt and return how many count."""
        counted = self._take(incarnation, tokens)
        self.outstanding -= counted
        self.released[incarnation] = self.released.get(incarnation, 0) + counted
        return counted

    def transfer(self, sender: str, receiver: str, tokens: int) -> int:
        """Move held tokens between incarnations and return how many count."""
        counted = self._take(sender, tokens)
        if counted:
            self.held[receiver] = self.held.get(receiver, 0) + counted
        return counted

    def drop_incarnation(self, incarnation: str) -> None:
        """Drop what is kept for an incarnation that holds nothing."""
        self.released.pop(incarnation, None)

    def dump(self) -> list[Any]:
        """Return the balances in a form that JSON can hold."""
        return [
            self.outstanding,
            self.spent,
            self.billed,
            self.overdrawn,
            self.held,
            self.released,
        ]

    @classmethod
    def load(cls, data: list[Any]) -> "Balance":
        """Return the balances that ``dump`` gave."""
        balance = cls()
        balance.outstanding, balance.spent, balance.billed = data[:3]
        balance.overdrawn, balance.held, balance.released = data[3:]
        return balance

    def _take(self, incarnation: str, tokens: int) -> int:
        held = self.held.get(incarnation, 0)
        counted = min(held, tokens)
        if counted == held:
            self.held.pop(incarnation, None)
        else:
            self.held[incarnation] = held - counted
        return counted
