"""The allowance of one router incarnation in one ledger stream.

A router spends tokens from its allowance book. Grants and transfers add
tokens; reserving them for an attempt, lending or returning them deducts them
immediately. None of this needs the log, so a router that cannot reach the log
continues to spend the tokens that it holds, and no others::

    book = AllowanceBook("r1.7", ledger, next_id)
    match book.reserve("acme", 500, "acme/k9", "r1.7-a1"):
        case Success(reservation):
            charge = book.settle(reservation, 120)

The records that the methods return must be appended in the order of the
calls; ``next_id`` numbers them.
"""

from collections.abc import Callable

from returns.result import Failure, Result, Success

from lavendershift.accounts import Account
from lavendershift.incarnations import Membership
from lavendershift.ledger import Ledger
from lavendershift.ledgerrules import RECEIVER_CLOSED, Verdict
from lavendershift.loans import LoanRegistry, LoanResponse
from lavendershift.messages import BorrowRequest, LoanGrant
from lavendershift.records import (
    Charge,
    Close,
    Evict,
    EvictAck,
    Grant,
    Outcome,
    Record,
    Return,
    Transfer,
    Unspent,
)
from lavendershift.reservations import Reservation, ReservationShortage


class AllowanceBook:
    """What ``incarnation`` may spend of each budget of one ledger stream.

    ``ledger`` is the state that the router has replayed from the stream.
    ``next_id`` returns the next record id of the incarnation's sequence in the stream.
    """

    def __init__(
        self, incarnation: str, ledger: Ledger, next_id: Callable[[], str]
    ) -> None:
        self.incarnation = incarnation
        self.closed = False
        self._ledger = ledger
        self._next_id = next_id
        self._accounts: dict[str, Account] = {}
        self._reservations: dict[str, Reservation] = {}
        self._in_doubt: dict[str, Reservation] = {}
        self._requested: dict[str, Grant] = {}
        self._loans = LoanRegistry()
        self._loan_requests = 0

    @property
    def active(self) -> bool:
        """Whether this incarnation may spend, according to the records applied."""
        return not self.closed and self._is_joined(self.incarnation)

    def apply(self, record: Record, verdict: Verdict) -> list[Record]:
        """Apply a record that the ledger has applied; return records to append."""
        if isinstance(record, Grant) and record.incarnation == self.incarnation:
            self._apply_grant(record, verdict)
        elif isinstance(record, Transfer):
            self._apply_transfer(record, verdict)
        elif isinstance(record, Evict) and verdict.counted:
            return self._acknowledge_eviction(record.incarnation)
        return []

    def account(self, budget: str) -> Account:
        """Return the account of ``budget``; callers only read it."""
        return self._accounts.setdefault(budget, Account())

    def budgets(self) -> list[str]:
        """Return the budgets for which this incarnation has an account."""
        return list(self._accounts)

    def available(self, budget: str) -> int:
        """Return the tokens that can be reserved now."""
        return self.account(budget).free if self.active else 0

    def requested(self, budget: str) -> int:
        """Return the tokens of requested grants that are not applied yet."""
        return sum(g.tokens for g in self._requested.values() if g.budget == budget)

    def in_flight(self) -> list[Reservation]:
        """Return the reservations of running attempts."""
        return list(self._reservations.values())

    def in_doubt(self) -> list[Reservation]:
        """Return the reservations of attempts whose usage is unknown."""
        return list(self._in_doubt.values())

    def request_grant(self, budget: str, tokens: int, config_offset: int) -> Grant:
        """Return the record that requests a grant of ``tokens``.

        ``config_offset`` is the offset up to which this router has applied the
        configuration stream; the top-ups before it are available for the grant.
        """
        grant = Grant(self._next_id(), budget, self.incarnation, tokens, config_offset)
        self._requested[grant.id] = grant
        return grant

    def reserve(
        self, budget: str, tokens: int, request: str, attempt: str
    ) -> Result[Reservation, ReservationShortage]:
        """Reserve the most that an attempt can use, before it is dispatched.

        Raises ``ValueError`` for an attempt that already has a reservation.
        """
        if attempt in self._reservations or attempt in self._in_doubt:
            raise ValueError(f"attempt {attempt} already has a reservation")
        account = self.account(budget)
        if not self.active or not account.reserve(tokens):
            return Failure(
                ReservationShortage(
                    tokens,
                    account.free,
                    account.reserved,
                    account.in_doubt,
                    self.active,
                )
            )
        reservation = Reservation(budget, request, attempt, tokens)
        self._reservations[attempt] = reservation
        return Success(reservation)

    def cancel(self, reservation: Reservation) -> None:
        """Free the reservation of an attempt that is known not to have run."""
        self._settle(reservation, 0)

    def settle(self, reservation: Reservation, used_tokens: int) -> Charge:
        """Return the charge for an attempt's usage and free the remainder."""
        self._settle(reservation, used_tokens)
        return Charge(
            self._next_id(),
            reservation.budget,
            self.incarnation,
            reservation.request,
            used_tokens,
            reservation.attempt,
        )

    def settle_outcome(
        self,
        reservation: Reservation,
        used_tokens: int,
        status: int,
        content_type: str,
        body: str,
    ) -> Outcome:
        """Return the outcome record of a claimed request and free the remainder.

        The record stores the response and charges ``used_tokens``.
        """
        self._settle(reservation, used_tokens)
        return Outcome(
            self._next_id(),
            reservation.request,
            reservation.budget,
            self.incarnation,
            used_tokens,
            status,
            content_type,
            body,
            reservation.attempt,
        )

    def mark_in_doubt(self, reservation: Reservation) -> None:
        """Retain the reservation of an attempt whose usage is unknown."""
        self._reservations.pop(reservation.attempt)
        self._in_doubt[reservation.attempt] = reservation
        self.account(reservation.budget).mark_in_doubt(reservation.tokens)

    def resolve(self, reservation: Reservation, used_tokens: int) -> Charge:
        """Settle an attempt in doubt once its usage is known."""
        if reservation.attempt not in self._in_doubt:
            raise ValueError(f"attempt {reservation.attempt} is not in doubt")
        return self.settle(reservation, used_tokens)

    def return_tokens(self, budget: str, tokens: int) -> Return | None:
        """Deduct up to ``tokens`` and return the record that returns them."""
        if self.closed:
            return None
        tokens = self.account(budget).return_tokens(tokens)
        if tokens == 0:
            return None
        return Return(self._next_id(), budget, self.incarnation, tokens)

    def make_loan_request(self, budget: str, tokens: int) -> BorrowRequest:
        """Return a loan request to one peer; a retry sends it unchanged."""
        self._loan_requests += 1
        loan_id = f"{self.incarnation}:{self._loan_requests}"
        return BorrowRequest(loan_id, budget, self.incarnation, tokens)

    def lend(self, request: BorrowRequest, reserve: int = 0) -> LoanResponse:
        """Lend up to what can be lent beyond ``reserve``.

        The tokens are deducted before the response is made. A repeated request
        gets the same loan.
        """
        previous = self._loans.find_given(request.id)
        if previous is not None:
            return LoanResponse(previous, None)
        tokens = 0
        if self.active and self._is_joined(request.incarnation):
            account = self.account(request.budget)
            spare = max(0, account.lendable - reserve)
            tokens = account.lend(min(request.tokens, spare))
        loan = LoanGrant(
            request.id, request.budget, self.incarnation, request.incarnation, tokens
        )
        if tokens == 0:
            return LoanResponse(loan, None)
        self._loans.add_given(loan)
        return LoanResponse(loan, self._make_transfer(loan))

    def accept_loan(self, loan: LoanGrant) -> Transfer | None:
        """Add a loan and return the transfer to append, or ``None`` if refused.

        A loan from an incarnation that is evicted or closed is refused, as its
        tokens may have been released to the budget.
        """
        if loan.receiver != self.incarnation or loan.tokens == 0:
            return None
        if not self.active or not self._is_joined(loan.sender):
            return None
        if not self._loans.add_taken(loan.sender, loan.id):
            return None
        self.account(loan.budget).add_loan(loan.tokens, is_logged=False)
        return self._make_transfer(loan)

    def make_close(self) -> Close:
        """Return the record that closes this incarnation and returns its free tokens.

        Tokens in doubt are not returned. Nothing can be settled here afterwards,
        so the attempts in doubt are charged by ``Recover``. Raises ``ValueError``
        while attempts are in flight.
        """
        if self._reservations:
            raise ValueError(f"{len(self._reservations)} attempts are in flight")
        unspent = [
            Unspent(budget, account.free)
            for budget, account in self._accounts.items()
            if account.free > 0
        ]
        for entry in unspent:
            self._accounts[entry.budget].returned += entry.tokens
        self.closed = True
        return Close(self._next_id(), self.incarnation, unspent)

    def _settle(self, reservation: Reservation, used_tokens: int) -> None:
        if self.closed:
            raise ValueError(f"{self.incarnation} is closed")
        in_doubt = reservation.attempt in self._in_doubt
        held = self._in_doubt if in_doubt else self._reservations
        if held.pop(reservation.attempt, None) != reservation:
            raise ValueError(f"attempt {reservation.attempt} has no reservation")
        account = self.account(reservation.budget)
        account.settle(reservation.tokens, used_tokens, in_doubt)

    def _apply_grant(self, record: Grant, verdict: Verdict) -> None:
        self._requested.pop(record.id, None)
        if verdict.counted:
            self.account(record.budget).add_grant(verdict.tokens)

    def _apply_transfer(self, record: Transfer, verdict: Verdict) -> None:
        if record.receiver == self.incarnation and verdict.counted:
            self._apply_loan(record, verdict)
        elif record.sender != self.incarnation:
            return
        elif verdict.counted:
            self._loans.confirm_given(record.loan)
        elif verdict.reason == RECEIVER_CLOSED:
            account = self.account(record.budget)
            account.revoke_loan(self._loans.revoke(record.loan))

    def _apply_loan(self, record: Transfer, verdict: Verdict) -> None:
        account = self.account(record.budget)
        confirmed = self._loans.confirm_taken(record.sender, record.loan)
        if confirmed is None:
            account.add_loan(verdict.tokens, is_logged=True)
        elif not confirmed:
            account.confirm_loan(record.tokens)

    def _acknowledge_eviction(self, evicted: str) -> list[Record]:
        own = self._ledger.find_incarnation(self.incarnation)
        if own is None or self.closed or evicted == self.incarnation:
            return []
        return [EvictAck(self._next_id(), evicted, self.incarnation)]

    def _make_transfer(self, loan: LoanGrant) -> Transfer:
        return Transfer(
            self._next_id(),
            loan.budget,
            loan.sender,
            loan.receiver,
            loan.tokens,
            loan.id,
        )

    def _is_joined(self, incarnation: str) -> bool:
        state = self._ledger.find_incarnation(incarnation)
        return state is not None and state.state is Membership.JOINED
