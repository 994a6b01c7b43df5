"""Tokens that VMs lend each other without the store.

A VM that lacks tokens asks another one. The lender takes them out of use
before it answers, and the borrower adds them when the answer arrives, so that
a lost datagram loses tokens and never doubles them. A repeated request gets
the answer of the first one.

Which VM is asked follows from the customer by rendezvous hashing. In a large
fleet that VM draws for all others, so that few VMs change the same rows; in any
fleet loans take the store's place where it does not answer.
"""

import asyncio
import contextlib
from collections import OrderedDict
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import NamedTuple, Protocol

import msgspec

from lavendershift.datagrams import Datagrams, Peer, register_message
from lavendershift.needs import TokenRequest

ANSWER_TIMEOUT = timedelta(milliseconds=30)  # a draw of the lender and the way
TRIES = 2  # at one lender, as datagrams get lost
MAX_LENDERS = 3  # that are asked in turn
MAX_REMEMBERED = 2000  # loans, some seconds of them in a large fleet


@register_message
class LoanRequest(msgspec.Struct, array_like=True, tag="loan_request"):
    """A request for ``most`` tokens, or at least ``least``.

    ``number`` rises within the borrower's incarnation. An urgent one may use
    the part of the total that is kept for those.
    """

    borrower: str
    number: int
    customer: str
    least: int
    most: int
    is_urgent: bool = False


@register_message
class Loan(msgspec.Struct, array_like=True, tag="loan"):
    """The answer to a ``LoanRequest``; 0 tokens are a refusal."""

    borrower: str
    number: int
    customer: str
    tokens: int


class Lender(NamedTuple):
    """A VM to ask; ``stock`` is what it holds, ``None`` if it can draw more."""

    peer: Peer
    stock: int | None = None


class Stock(Protocol):
    """The accounts that loans are taken from and added to."""

    async def lend(self, need: TokenRequest, most: int) -> int:
        """Take tokens out of use for another VM; returns how many."""
        ...

    def add_loan(self, customer: str, tokens: int) -> None:
        """Add tokens that another VM has taken out of use."""
        ...


class _Asked:
    """A request of this VM and whether its tokens have come."""

    def __init__(self) -> None:
        self.answered = asyncio.Event()
        self.tokens = 0


LoanListener = Callable[[str, int], None]


class TokenLoans:
    """Lends tokens to other VMs and borrows from them.

    ``find_lenders`` returns the VMs to ask for tokens of a customer, the best
    first. Each is asked for what it holds, until there is enough. ``on_loan`` is
    told customer and tokens, negative where they were lent.
    """

    def __init__(
        self,
        incarnation: str,
        stock: Stock,
        datagrams: Datagrams,
        find_lenders: Callable[[str], Sequence[Lender]],
        on_loan: LoanListener = lambda customer, tokens: None,
        answer_timeout: timedelta = ANSWER_TIMEOUT,
    ) -> None:
        self._incarnation = incarnation
        self._stock = stock
        self._datagrams = datagrams
        self._find_lenders = find_lenders
        self._on_loan = on_loan
        self._answer_timeout = answer_timeout
        self._number = 0
        self._asked: OrderedDict[int, _Asked] = OrderedDict()
        self._given: OrderedDict[tuple[str, int], Loan | None] = OrderedDict()
        self._tasks: set[asyncio.Task[None]] = set()
        datagrams.handle(LoanRequest, self._take_request)
        datagrams.handle(Loan, self._take_loan)

    async def borrow(self, need: TokenRequest, most: int) -> int:
        """Return the tokens borrowed, which were added to the stock; 0 if none.

        Nobody is asked where all lenders together hold too little.
        """
        lenders = self._find_lenders(need.customer)[:MAX_LENDERS]
        stocks = [need.tokens if x.stock is None else x.stock for x in lenders]
        if sum(stocks) < need.tokens:
            return 0
        borrowed = 0
        for lender, stock in zip(lenders, stocks, strict=True):
            least = min(need.tokens - borrowed, stock)
            if least > 0:
                part = need._replace(tokens=least)
                borrowed += await self._ask(lender.peer, part, max(most, least))
            if borrowed >= need.tokens:
                break
        return borrowed

    async def _ask(self, lender: Peer, need: TokenRequest, most: int) -> int:
        self._number += 1
        request = LoanRequest(
            self._incarnation,
            self._number,
            need.customer,
            need.tokens,
            most,
            need.is_urgent,
        )
        asked = self._asked[request.number] = _Asked()
        if len(self._asked) > MAX_REMEMBERED:
            self._asked.popitem(last=False)
        for _ in range(TRIES):
            self._datagrams.send(request, [lender])
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._answer_timeout.total_seconds()):
                    await asked.answered.wait()
                    break
        return asked.tokens

    def _take_loan(self, loan: Loan, sender: Peer) -> None:
        """Add the tokens of an answer, once; also of one that comes late."""
        asked = self._asked.get(loan.number)
        if loan.borrower != self._incarnation or asked is None:
            return
        if asked.answered.is_set():
            return
        asked.answered.set()
        asked.tokens = loan.tokens
        if loan.tokens > 0:
            self._stock.add_loan(loan.customer, loan.tokens)
            self._on_loan(loan.customer, loan.tokens)

    def _take_request(self, request: LoanRequest, sender: Peer) -> None:
        key = (request.borrower, request.number)
        if key not in self._given:
            self._given[key] = None
            if len(self._given) > MAX_REMEMBERED:
                self._given.popitem(last=False)
            task = asyncio.ensure_future(self._lend(request, sender))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return
        loan = self._given[key]
        if loan is not None:
            self._datagrams.send(loan, [sender])

    async def _lend(self, request: LoanRequest, sender: Peer) -> None:
        least, most = max(request.least, 1), max(request.most, 1)
        need = TokenRequest(request.customer, min(least, most), request.is_urgent)
        tokens = await self._stock.lend(need, most)
        loan = Loan(request.borrower, request.number, request.customer, tokens)
        self._given[request.borrower, request.number] = loan
        self._datagrams.send(loan, [sender])
        if tokens:
            self._on_loan(request.customer, -tokens)
