"""What one router incarnation may spend of one budget, in tokens.

An ``Account`` refuses any change that would let ``committed`` exceed
``received``. It holds what the log has granted to the router, less everything
that the router has committed since, whether or not the log has it yet::

    account = Account()
    account.add_grant(100)
    account.reserve(30)
    assert account.free == 70
"""


class Account:
    """Token counts of one budget at one incarnation.

    ``unlogged`` is the part of ``borrowed`` whose transfer this router has not
    read from the log yet; it may be spent but not lent. ``in_doubt`` is reserved
    by attempts whose usage is unknown.
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
        """Tokens granted or borrowed over the lifetime of the incarnation."""
        return self.granted + self.borrowed

    @property
    def committed(self) -> int:
        """Tokens that were reserved, spent, lent or returned."""
        unavailable = self.reserved + self.in_doubt + self.spent
        return unavailable + self.lent + self.returned

    @property
    def free(self) -> int:
        """Tokens that can be reserved now."""
        return self.received - self.committed

    @property
    def lendable(self) -> int:
        """Tokens that can be lent or returned now.

        Borrowed tokens count only after this router has read their transfer from
        the log: the log must not receive a transfer or return of tokens before
        the transfer that brought them.
        """
        return max(0, self.free - self.unlogged)

    def add_grant(self, tokens: int) -> None:
        """Add tokens granted by the log."""
        self.granted += tokens

    def add_loan(self, tokens: int, is_logged: bool) -> None:
        """Add tokens transferred by another incarnation."""
        self.borrowed += tokens
        if not is_logged:
            self.unlogged += tokens

    def confirm_loan(self, tokens: int) -> None:
        """Record that the transfer of borrowed tokens was read from the log."""
        self.unlogged -= tokens

    def reserve(self, tokens: int) -> bool:
        """Reserve ``tokens`` for an attempt if they are free."""
        if tokens > self.free:
            return False
        self.reserved += tokens
        return True

    def settle(self, reserved: int, used: int, in_doubt: bool) -> int:
        """Free a reservation and spend ``used``; return the tokens spent.

        These are fewer than ``used`` if not enough tokens are free.
        """
        if in_doubt:
            self.in_doubt -= reserved
        else:
            self.reserved -= reserved
        covered = min(used, self.free)
        self.spent += covered
        return covered

    def mark_in_doubt(self, reserved: int) -> None:
        """Retain a reservation whose usage is unknown."""
        self.reserved -= reserved
        self.in_doubt += reserved

    def return_tokens(self, tokens: int) -> int:
        """Deduct up to ``tokens`` to return to the budget; return their number."""
        tokens = min(tokens, self.lendable)
        self.returned += tokens
        return tokens

    def lend(self, tokens: int) -> int:
        """Deduct up to ``tokens`` to lend; return their number."""
        tokens = min(tokens, self.lendable)
        self.lent += tokens
        return tokens

    def revoke_loan(self, tokens: int) -> None:
        """Restore the tokens of a loan that its receiver can no longer take."""
        self.lent -= tokens
