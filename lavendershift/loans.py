"""Loans of tokens between incarnations, as one of them remembers them.

A loan is deducted by the lender before its answer exists, and taken in by the
borrower once, whether it learns of it from the answer or from the log. Both
log the transfer, and the fold counts the first.
"""

from typing import NamedTuple

from lavendershift.messages import LoanGrant
from lavendershift.records import Transfer


class LoanAnswer(NamedTuple):
    """The answer to a borrower, and the transfer to log if it is a new loan."""

    lent: LoanGrant
    transfer: Transfer | None


class LoanKey(NamedTuple):
    """What identifies a loan; ids are the borrower's and unique per lender."""

    sender: str
    loan: str


class LoanMemory:
    """The loans that one incarnation has given and taken."""

    def __init__(self) -> None:
        self._given: dict[str, LoanGrant] = {}
        self._given_logged: set[str] = set()
        self._taken: dict[LoanKey, bool] = {}

    def find_given(self, loan: str) -> LoanGrant | None:
        """Return the answer given before to the borrower's request ``loan``."""
        return self._given.get(loan)

    def give(self, lent: LoanGrant) -> None:
        """Remember a loan that was deducted."""
        self._given[lent.id] = lent

    def confirm_given(self, loan: str) -> None:
        """Note that a given loan has been counted by the fold."""
        self._given_logged.add(loan)

    def revoke(self, loan: str) -> int:
        """Cancel a given loan that never counted; return its tokens.

        The caller has seen its transfer void because the borrower is closed.
        A borrower logs what it has taken before it closes.
        """
        lent = self._given.get(loan)
        if lent is None or loan in self._given_logged:
            return 0
        self._given[loan] = lent._replace(tokens=0)
        return lent.tokens

    def take(self, sender: str, loan: str) -> bool:
        """Note a loan learnt of from its answer; false if already known."""
        key = LoanKey(sender, loan)
        if key in self._taken:
            return False
        self._taken[key] = False
        return True

    def confirm_taken(self, sender: str, loan: str) -> bool | None:
        """Note a loan that the fold has counted.

        Returns ``None`` when it was not known before, else whether it had
        been confirmed before.
        """
        key = LoanKey(sender, loan)
        known = self._taken.get(key)
        self._taken[key] = True
        return known
