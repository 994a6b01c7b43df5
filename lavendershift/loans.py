"""Loans of tokens that one incarnation has given and taken.

The lender deducts a loan before it makes the response. The borrower adds the
loan once, whether it receives the response or reads the transfer from the log
first. Both append the transfer, and the ledger counts only the first of them.
"""

from typing import NamedTuple

from lavendershift.messages import LoanGrant
from lavendershift.records import Transfer


class LoanResponse(NamedTuple):
    """The response to a borrower, and the transfer to append for a new loan."""

    loan: LoanGrant
    transfer: Transfer | None


class LoanKey(NamedTuple):
    """Identity of a loan; the borrower chooses an id that is unique per lender."""

    sender: str
    loan_id: str


class LoanRegistry:
    """The loans that one incarnation has given and taken."""

    def __init__(self) -> None:
        self._given: dict[str, LoanGrant] = {}
        self._given_confirmed: set[str] = set()
        self._taken: dict[LoanKey, bool] = {}

    def find_given(self, loan_id: str) -> LoanGrant | None:
        """Return the earlier response to the loan request ``loan_id``, if any."""
        return self._given.get(loan_id)

    def add_given(self, loan: LoanGrant) -> None:
        """Store a loan that was deducted."""
        self._given[loan.id] = loan

    def confirm_given(self, loan_id: str) -> None:
        """Mark a given loan as counted by the ledger."""
        self._given_confirmed.add(loan_id)

    def revoke(self, loan_id: str) -> int:
        """Cancel a given loan that was never counted and return its tokens.

        The caller has found its transfer void because the borrower is closed. As
        a borrower appends the transfers of its loans before it closes, it cannot
        have taken this one.
        """
        loan = self._given.get(loan_id)
        if loan is None or loan_id in self._given_confirmed:
            return 0
        self._given[loan_id] = loan._replace(tokens=0)
        return loan.tokens

    def add_taken(self, sender: str, loan_id: str) -> bool:
        """Store a loan received in a response; return false if already known."""
        key = LoanKey(sender, loan_id)
        if key in self._taken:
            return False
        self._taken[key] = False
        return True

    def confirm_taken(self, sender: str, loan_id: str) -> bool | None:
        """Mark a taken loan as counted by the ledger.

        Returns ``None`` if the loan was unknown, else whether it was already
        marked.
        """
        key = LoanKey(sender, loan_id)
        known = self._taken.get(key)
        self._taken[key] = True
        return known
