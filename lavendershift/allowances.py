"""The allowance of one router incarnation in one ledger stream.

The book is what a router spends from. Tokens come in only from grants and
transfers, and leave the moment they are promised: reserved for an attempt,
lent, or returned. No move needs the log, so a router that cannot reach it
goes on spending what it holds and nothing else::

    book = AllowanceBook("r1.7", ledger, next_id)
    match book.reserve("acme", 500, "acme/k9", "r1.7-a1"):
        case Success(reservation):
            charge = book.settle(reservation, 120)

Every record a method returns has to be appended in the order in which the
methods were called; ``next_id`` numbers them.
"""

from collections.abc import Callable

from returns.result import Failure, Result, Success

from lavendershift.accounts import Account
from lavendershift.incarnations import Membership
from lavendershift.ledger import Ledger
from lavendershift.ledgerrules import RECEIVER_CLOSED, Verdict
from lavendershift.loans import LoanAnswer, LoanMemory
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
from lavendershift.reservations import Reservation, Shortage


class AllowanceBook:
    """What ``incarnation`` may spend of each budget of one ledger stream.

    ``ledger`` is the router's own fold. ``next_id`` returns the next record id
    of the incarnation's sequence in the stream.
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
        self._doubtful: dict[str, Reservation] = {}
        self._asked: dict[str, Grant] = {}
        self._loans = LoanMemory()
        self._borrow_requests = 0

    @property
    def active(self) -> bool:
        """Whether this incarnation may still spend, as far as it knows."""
        return not self.closed and self._is_joined(self.incarnation)

    def apply(self, record: Record, verdict: Verdict) -> list[Record]:
        """Take in a folded record; return records to append in answer."""
        if isinstance(record, Grant) and record.incarnation == self.incarnation:
            self._apply_grant(record, verdict)
        elif isinstance(record, Transfer):
            self._apply_transfer(record, verdict)
        elif isinstance(record, Evict) and verdict.counted:
            return self._acknowledge(record.incarnation)
        return []

    def account(self, budget: str) -> Account:
        """Return the account of ``budget``, to read from."""
        return self._accounts.setdefault(budget, Account())

    def budgets(self) -> list[str]:
        """Return the budgets this incarnation has ever had to do with."""
        return list(self._accounts)

    def available(self, budget: str) -> int:
        """Return the tokens that can be reserved now."""
        return self.account(budget).free if self.active else 0

    def asked(self, budget: str) -> int:
        """Return the tokens of grants that were asked for and not yet folded."""
        return sum(g.tokens for g in self._asked.values() if g.budget == budget)

    def in_flight(self) -> list[Reservation]:
        """Return the reservations of running attempts."""
        return list(self._reservations.values())

    def in_doubt(self) -> list[Reservation]:
        """Return the reservations of attempts whose usage is unknown."""
        return list(self._doubtful.values())

    def ask_grant(self, budget: str, tokens: int, config_offset: int) -> Grant:
        """Return the record that asks the log for ``tokens``.

        ``config_offset`` is how far this router has folded the configuration;
        top-ups up to there can be granted from.
        """
        grant = Grant(self._next_id(), budget, self.incarnation, tokens, config_offset)
        self._asked[grant.id] = grant
        return grant

    def reserve(
        self, budget: str, tokens: int, request: str, attempt: str
    ) -> Result[Reservation, Shortage]:
        """Set the most an attempt can use aside before it is dispatched.

        Raises ``ValueError`` for an attempt that has a reservation already.
        """
        if attempt in self._reservations or attempt in self._doubtful:
            raise ValueError(f"attempt {attempt} has a reservation")
        account = self.account(budget)
        if not self.active or not account.reserve(tokens):
            return Failure(
                Shortage(
                    tokens,
                    account.free,
                    account.reserved,
                    account.doubtful,
                    self.active,
                )
            )
        reservation = Reservation(budget, request, attempt, tokens)
        self._reservations[attempt] = reservation
        return Success(reservation)

    def cancel(self, reservation: Reservation) -> None:
        """Free the reservation of an attempt that certainly did not run."""
        self._spend(reservation, 0)

    def settle(self, reservation: Reservation, used_tokens: int) -> Charge:
        """Return the charge for what an attempt used, and free the rest."""
        self._spend(reservation, used_tokens)
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
        """Return the recorded answer of a claimed request, and free the rest."""
        self._spend(reservation, used_tokens)
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

    def keep_in_doubt(self, reservation: Reservation) -> None:
        """Keep the reservation of an attempt whose usage is unknown."""
        self._reservations.pop(reservation.attempt)
        self._doubtful[reservation.attempt] = reservation
        self.account(reservation.budget).doubt(reservation.tokens)

    def resolve(self, reservation: Reservation, used_tokens: int) -> Charge:
        """Settle an attempt in doubt on evidence of what it used."""
        if reservation.attempt not in self._doubtful:
            raise ValueError(f"attempt {reservation.attempt} is not in doubt")
        return self.settle(reservation, used_tokens)

    def take_return(self, budget: str, tokens: int) -> Return | None:
        """Deduct up to ``tokens``; return the record that hands them back."""
        if self.closed:
            return None
        tokens = self.account(budget).give_back(tokens)
        if tokens == 0:
            return None
        return Return(self._next_id(), budget, self.incarnation, tokens)

    def make_borrow(self, budget: str, tokens: int) -> BorrowRequest:
        """Return a request to one peer; repeat it unchanged if unanswered."""
        self._borrow_requests += 1
        loan = f"{self.incarnation}:{self._borrow_requests}"
        return BorrowRequest(loan, budget, self.incarnation, tokens)

    def lend(self, request: BorrowRequest, keep: int = 0) -> LoanAnswer:
        """Answer a borrower with up to what is held beyond ``keep``.

        The tokens are deducted before the answer exists. A repeated request
        is answered with the same loan.
        """
        given = self._loans.find_given(request.id)
        if given is not None:
            return LoanAnswer(given, None)
        tokens = 0
        if self.active and self._is_joined(request.incarnation):
            account = self.account(request.budget)
            spare = max(0, account.lendable - keep)
            tokens = account.lend(min(request.tokens, spare))
        lent = LoanGrant(
            request.id, request.budget, self.incarnation, request.incarnation, tokens
        )
        if tokens == 0:
            return LoanAnswer(lent, None)
        self._loans.give(lent)
        return LoanAnswer(lent, self._make_transfer(lent))

    def accept(self, lent: LoanGrant) -> Transfer | None:
        """Take in a loan; return the transfer to log, ``None`` if refused.

        A loan from an incarnation that is evicted or closed is refused: its
        tokens may have been released.
        """
        if lent.receiver != self.incarnation or lent.tokens == 0:
            return None
        if not self.active or not self._is_joined(lent.sender):
            return None
        if not self._loans.take(lent.sender, lent.id):
            return None
        self.account(lent.budget).add_loan(lent.tokens, logged=False)
        return self._make_transfer(lent)

    def make_close(self) -> Close:
        """Return the record that ends this incarnation and all it holds.

        Tokens in doubt are not handed back, and nothing can be settled here
        afterwards: those attempts are charged by ``Recover``. Raises
        ``ValueError`` while attempts are in flight.
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

    def _spend(self, reservation: Reservation, used_tokens: int) -> None:
        if self.closed:
            raise ValueError(f"{self.incarnation} is closed")
        doubtful = reservation.attempt in self._doubtful
        held = self._doubtful if doubtful else self._reservations
        if held.pop(reservation.attempt, None) != reservation:
            raise ValueError(f"attempt {reservation.attempt} has no reservation")
        account = self.account(reservation.budget)
        account.settle(reservation.tokens, used_tokens, doubtful)

    def _apply_grant(self, record: Grant, verdict: Verdict) -> None:
        self._asked.pop(record.id, None)
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
            account.add_loan(verdict.tokens, logged=True)
        elif not confirmed:
            account.confirm_loan(record.tokens)

    def _acknowledge(self, evicted: str) -> list[Record]:
        own = self._ledger.find_incarnation(self.incarnation)
        if own is None or self.closed or evicted == self.incarnation:
            return []
        return [EvictAck(self._next_id(), evicted, self.incarnation)]

    def _make_transfer(self, lent: LoanGrant) -> Transfer:
        return Transfer(
            self._next_id(),
            lent.budget,
            lent.sender,
            lent.receiver,
            lent.tokens,
            lent.id,
        )

    def _is_joined(self, incarnation: str) -> bool:
        state = self._ledger.find_incarnation(incarnation)
        return state is not None and state.state is Membership.JOINED
