"""What one router incarnation may spend of one budget, in tokens.

An ``Account`` moves tokens between columns and refuses any move that would let
``committed`` exceed ``received``. It is the router's own copy of what the log
has granted it, less everything it has promised since, logged or not::

    account = Account()
    account.add_grant(100)
    account.reserve(30)
    assert account.free == 70
"""


class Account:
    """Columns of one budget at one incarnation.

    ``unlogged`` is the part of ``borrowed`` whose transfer this router has not
    folded yet; it may be spent but not lent on. ``in_doubt`` is reserved by
    attempts whose usage is unknown.
    """

    def __init__(self) -> None:
        self.granted = 0
        self.borrowed = 0
        self.unlogged = 0
        self.reserved = 0
        self.in_doubt = 0
        self.spent = 0
        self.lent = 0
        self.returned = 0

    @property
    def received(self) -> int:
        """Tokens that ever came in."""
        return self.granted + self.borrowed

    @property
    def committed(self) -> int:
        """Tokens that were spent, promised or given away."""
        kept = self.reserved + self.in_doubt + self.spent
        return kept + self.lent + self.returned

    @property
    def free(self) -> int:
        """Tokens that can be reserved now."""
        return self.received - self.committed

    @property
    def lendable(self) -> int:
        """Tokens that can be lent or returned now.

        A transfer must never reach the log before the tokens it passes on,
        so borrowed tokens count only once their own transfer was folded.
        """
        return max(0, self.free - self.unlogged)

    def add_grant(self, tokens: int) -> None:
        """Take in tokens granted by the log."""
        self.granted += tokens

    def add_loan(self, tokens: int, logged: bool) -> None:
        """Take in tokens transferred by another incarnation."""
        self.borrowed += tokens
        if not logged:
            self.unlogged += tokens

    def confirm_loan(self, tokens: int) -> None:
        """Note that a borrowed amount's transfer was folded."""
        self.unlogged -= tokens

    def reserve(self, tokens: int) -> bool:
        """Set ``tokens`` aside for an attempt if they are free."""
        if tokens > self.free:
            return False
        self.reserved += tokens
        return True

    def settle(self, reserved: int, used: int, in_doubt: bool) -> int:
        """Turn a reservation into spending; return what could be covered."""
        if in_doubt:
            self.in_doubt -= reserved
        else:
            self.reserved -= reserved
        covered = min(used, self.free)
        self.spent += covered
        return covered

    def mark_in_doubt(self, reserved: int) -> None:
        """Keep a reservation whose usage is unknown."""
        self.reserved -= reserved
        self.in_doubt += reserved

    def return_tokens(self, tokens: int) -> int:
        """Deduct up to ``tokens`` that return to the budget."""
        tokens = min(tokens, self.lendable)
        self.returned += tokens
        return tokens

    def lend(self, tokens: int) -> int:
        """Deduct up to ``tokens`` that go to another incarnation."""
        tokens = min(tokens, self.lendable)
        self.lent += tokens
        return tokens

    def revoke_loan(self, tokens: int) -> None:
        """Take back a loan that its receiver can no longer have taken."""
        self.lent -= tokens
