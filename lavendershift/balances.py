"""Token balances of one budget, as replayed from a ledger stream.

A ``Balance`` stores what the incarnations hold, what was consumed and what was
billed. It satisfies ``outstanding == sum(held) + spent`` after each change::

    balance = Balance()
    balance.grant("r1.7", 100)
    assert balance.consume("r1.7", 30) == 30
    assert balance.held == {"r1.7": 70}
"""

from typing import Any, NamedTuple


class BudgetView(NamedTuple):
    """What the ledger knows of a budget, in tokens.

    ``available`` can still be granted. ``held`` maps incarnations to what they
    may spend; ``in_doubt`` is the part of it held by incarnations that were
    evicted or closed. ``overdrawn`` tokens were consumed beyond what the
    incarnation held; they are 0 unless a program or an operator made an error.
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

    ``outstanding`` is the sum of all grants less the tokens that returns,
    closes and releases gave back to the budget.
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
        deducted = self._deduct(incarnation, tokens)
        self.spent += deducted
        self.overdrawn += tokens - deducted
        return deducted

    def return_tokens(self, incarnation: str, tokens: int) -> int:
        """Deduct returned tokens and return how many were held.

        Tokens that a release has already freed are not given back twice.
        """
        freed = min(self.released.get(incarnation, 0), tokens)
        if freed:
            self.released[incarnation] -= freed
        deducted = self._deduct(incarnation, tokens - freed)
        self.outstanding -= deducted
        return deducted

    def release(self, incarnation: str, tokens: int) -> int:
        """Free up to ``tokens`` in doubt and return how many were held."""
        deducted = self._deduct(incarnation, tokens)
        self.outstanding -= deducted
        self.released[incarnation] = self.released.get(incarnation, 0) + deducted
        return deducted

    def transfer(self, sender: str, receiver: str, tokens: int) -> int:
        """Transfer held tokens between incarnations; return how many were held."""
        deducted = self._deduct(sender, tokens)
        if deducted:
            self.held[receiver] = self.held.get(receiver, 0) + deducted
        return deducted

    def drop_incarnation(self, incarnation: str) -> None:
        """Drop the released tokens stored for an incarnation that holds nothing."""
        self.released.pop(incarnation, None)

    def dump(self) -> list[Any]:
        """Return the balances as a list that JSON can encode."""
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
        """Return the balances from a list made by ``dump``."""
        balance = cls()
        balance.outstanding, balance.spent, balance.billed = data[:3]
        balance.overdrawn, balance.held, balance.released = data[3:]
        return balance

    def _deduct(self, incarnation: str, tokens: int) -> int:
        held = self.held.get(incarnation, 0)
        deducted = min(held, tokens)
        if deducted == held:
            self.held.pop(incarnation, None)
        else:
            self.held[incarnation] = held - deducted
        return deducted
