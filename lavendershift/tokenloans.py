"""Loans of tokens between VMs, without the store.

A VM that lacks tokens asks another one. The lender debits them before it replies,
and the borrower credits them when the reply arrives, so that a lost datagram loses
tokens and never duplicates them. A retried request gets the reply to the first one.

The lender of a customer is chosen by rendezvous hashing. In a large fleet it draws
for all other VMs, so that few VMs change the same quota records; in any fleet loans
replace draws while the store is unreachable.
"""

import asyncio
import contextlib
from collections import OrderedDict
from collections.abc import Callable, Sequence
from datetime import timedelta
from enum import Enum
from typing import NamedTuple, Protocol

import msgspec

from lavendershift.datagrams import Datagrams, Peer, register_message
from lavendershift.decoding import Count
from lavendershift.pendingtokens import TokenRequest
from lavendershift.timeouts import Timeout

# Time for the lender's draw and a round trip.
REPLY_TIMEOUT = timedelta(milliseconds=30)
MAX_ATTEMPTS = 2  # requests to one lender, as datagrams get lost
MAX_LENDERS = 3  # lenders asked in turn for one request
MAX_STANDBY_LENDERS = 2  # standby VMs asked if the others lend nothing
MAX_CACHED_LOANS = 2000  # cached loans, some seconds' worth in a large fleet


@register_message
class LoanRequest(msgspec.Struct, array_like=True, tag="loan_request"):
    """A request for up to ``most`` tokens, and no fewer than ``least``.

    ``number`` increases within the borrower's incarnation. An urgent request may use
    the part of the total that is reserved for urgent requests.
    """

    borrower: str
    number: Count
    customer: str
    least: Count
    most: Count
    is_urgent: bool = False


@register_message
class Loan(msgspec.Struct, array_like=True, tag="loan"):
    """The reply to a ``LoanRequest``; 0 tokens are a refusal."""

    borrower: str
    number: Count
    customer: str
    tokens: Count


class Lender(NamedTuple):
    """A VM to ask; ``stock`` is the tokens it holds, ``None`` if it can draw more.

    A standby VM holds nothing, but may reach the store; it is asked last.
    """

    peer: Peer
    stock: int | None = None
    is_standby: bool = False


class LoanFailure(Enum):
    """Why the last loan of a customer gave too few tokens."""

    EMPTY = "empty"  # lenders without enough tokens
    NO_REPLY = "no_reply"


class LoanAccounts(Protocol):
    """The accounts that loans are taken from and added to."""

    async def lend(self, request: TokenRequest, most: int) -> int:
        """Debit tokens for another VM; return how many."""
        ...

    def add_loan(self, customer: str, tokens: int) -> None:
        """Credit tokens that another VM has debited."""
        ...


class _PendingLoan:
    """A loan request of this VM and the tokens of its reply."""

    def __init__(self) -> None:
        self.replied = asyncio.Event()
        self.tokens = 0


LoanListener = Callable[[str, int], None]


class TokenLoans:
    """Lends tokens to other VMs and borrows from them.

    ``find_lenders`` returns the VMs to ask for tokens of a customer, the best first.
    Each is asked for the tokens it holds, until there are enough, and for no more than
    the earlier ones have left missing. ``on_loan`` is
    called with customer and tokens, negative if these were lent.
    """

    def __init__(
        self,
        incarnation: str,
        accounts: LoanAccounts,
        datagrams: Datagrams,
        find_lenders: Callable[[str], Sequence[Lender]],
        on_loan: LoanListener = lambda customer, tokens: None,
        reply_timeout: timedelta = REPLY_TIMEOUT,
    ) -> None:
        self._incarnation = incarnation
        self._accounts = accounts
        self._datagrams = datagrams
        self._find_lenders = find_lenders
        self._on_loan = on_loan
        self._reply_timeout = reply_timeout
        self._failures: dict[str, LoanFailure] = {}
        self._number = 0
        self._pending: OrderedDict[int, _PendingLoan] = OrderedDict()
        self._replies: OrderedDict[tuple[str, int], Loan | None] = OrderedDict()
        self._tasks: set[asyncio.Task[None]] = set()
        datagrams.handle(LoanRequest, self._receive_request)
        datagrams.handle(Loan, self._receive_loan)

    async def borrow(self, request: TokenRequest, most: int) -> int:
        """Borrow the tokens of ``request``; return how many were credited here.

        No lender is asked if all of them together hold too few tokens. Standby VMs are
        asked only if no other VM lends anything.
        """
        self._failures.pop(request.customer, None)
        lenders = self._find_lenders(request.customer)
        active = [lender for lender in lenders if not lender.is_standby][:MAX_LENDERS]
        stocks = [request.tokens if x.stock is None else x.stock for x in active]
        borrowed = 0
        if sum(stocks) >= request.tokens:
            borrowed = await self._borrow_from(active, request, most)
        if not borrowed:
            standby = [lender for lender in lenders if lender.is_standby]
            standby = standby[:MAX_STANDBY_LENDERS]
            borrowed = await self._borrow_from(standby, request, most)
        if lenders and borrowed < request.tokens:
            self._failures.setdefault(request.customer, LoanFailure.EMPTY)
        return borrowed

    def find_failure(self, customer: str) -> LoanFailure | None:
        """Return why the last loan of ``customer`` gave too few tokens, if it did."""
        return self._failures.get(customer)

    async def _borrow_from(
        self, lenders: Sequence[Lender], request: TokenRequest, most: int
    ) -> int:
        """Ask lenders in turn, each for what the replies so far leave missing.

        A reply may come while the next lender is asked.
        """
        asked: list[_PendingLoan] = []
        for lender in lenders:
            borrowed = sum(pending.tokens for pending in asked)
            least = request.tokens - borrowed
            if least <= 0:
                break
            if lender.stock is not None:
                least = min(least, lender.stock)
            if least > 0:
                part = request._replace(tokens=least)
                wanted = max(most - borrowed, least)
                asked.append(await self._ask(lender.peer, part, wanted))
        return sum(pending.tokens for pending in asked)

    async def _ask(
        self, lender: Peer, request: TokenRequest, most: int
    ) -> _PendingLoan:
        self._number += 1
        loan_request = LoanRequest(
            self._incarnation,
            self._number,
            request.customer,
            request.tokens,
            most,
            request.is_urgent,
        )
        pending = self._pending[loan_request.number] = _PendingLoan()
        if len(self._pending) > MAX_CACHED_LOANS:
            self._pending.popitem(last=False)
        for _ in range(MAX_ATTEMPTS):
            self._datagrams.send(loan_request, [lender])
            with contextlib.suppress(TimeoutError):
                async with Timeout(self._reply_timeout.total_seconds()):
                    await pending.replied.wait()
                    break
        if not pending.replied.is_set():
            self._failures[request.customer] = LoanFailure.NO_REPLY
        return pending

    def _receive_loan(self, loan: Loan, sender: Peer) -> None:
        """Credit the tokens of a reply once, even if it arrives late."""
        pending = self._pending.get(loan.number)
        if loan.borrower != self._incarnation or pending is None:
            return
        if pending.replied.is_set():
            return
        pending.replied.set()
        pending.tokens = loan.tokens
        if loan.tokens > 0:
            self._accounts.add_loan(loan.customer, loan.tokens)
            self._on_loan(loan.customer, loan.tokens)

    def _receive_request(self, request: LoanRequest, sender: Peer) -> None:
        key = (request.borrower, request.number)
        if key not in self._replies:
            self._replies[key] = None
            if len(self._replies) > MAX_CACHED_LOANS:
                self._replies.popitem(last=False)
            task = asyncio.ensure_future(self._lend(request, sender))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return
        loan = self._replies[key]
        if loan is not None:
            self._datagrams.send(loan, [sender])

    async def _lend(self, request: LoanRequest, sender: Peer) -> None:
        least, most = max(request.least, 1), max(request.most, 1)
        token_request = TokenRequest(
            request.customer, min(least, most), request.is_urgent
        )
        tokens = await self._accounts.lend(token_request, most)
        loan = Loan(request.borrower, request.number, request.customer, tokens)
        self._replies[request.borrower, request.number] = loan
        self._datagrams.send(loan, [sender])
        if tokens:
            self._on_loan(request.customer, -tokens)
