import asyncio
from datetime import timedelta

import msgspec

from lavendershift.clocks import SystemClock
from lavendershift.datagrams import Datagrams
from lavendershift.pendingtokens import TokenRequest
from lavendershift.prepaid import LARGE_FLEET
from lavendershift.quotalogs import QuotaRecord
from lavendershift.tests.test_tokendraws import MemoryQuotaLog
from lavendershift.tests.virtualloop import VirtualLoop
from lavendershift.tokendraws import TokenDraws
from lavendershift.tokenloans import Lender, Loan, LoanRequest, TokenLoans
from lavendershift.tokenwaits import WaitResult
from lavendershift.tools.ports import find_ports

TOTAL = {"plume": 100_000}


class Node:
    """A VM that draws from shared quota records and lends to another one."""

    def __init__(self, name, quota_log, ports, is_lender=True, vms=2):
        self.port = ports[0]
        self.datagrams = Datagrams()
        self.draws = TokenDraws(
            SystemClock(), [quota_log], name, lambda: TOTAL, lambda: vms
        )
        self.events = []
        self.loans = TokenLoans(
            name,
            self.draws,
            self.datagrams,
            lambda customer: [Lender(("127.0.0.1", port)) for port in ports[1:]],
            lambda customer, tokens: self.events.append(tokens),
        )
        self.draws.use_loans(
            self.loans.borrow, lambda customer: is_lender, self.loans.find_failure
        )
        self.account = self.draws.find_account("plume")


def run_nodes(work, **options):
    async def run():
        quota_log, ports = MemoryQuotaLog(), find_ports(2)
        lender = Node("vm-1/1", quota_log, ports, **options)
        borrower = Node("vm-2/1", quota_log, ports[::-1], is_lender=False, **options)
        for node in (lender, borrower):
            await node.datagrams.listen("127.0.0.1", node.port)
            await node.draws.run_round()
        try:
            return await work(lender, borrower, quota_log)
        finally:
            lender.datagrams.close()
            borrower.datagrams.close()

    return asyncio.run(run())


def test_a_vm_without_the_store_borrows_for_a_request():
    """The store refuses calls of some VMs while it serves the others."""

    async def work(lender, borrower, quota_log):
        lender.account.credit(5000)
        borrower.draws.is_store_reachable = False
        reserved = await borrower.draws.wait_for(
            TokenRequest("plume", 800), timedelta(seconds=5)
        )
        return reserved, lender.account.free, lender.events, borrower.events

    reserved, left, lent, borrowed = run_nodes(work)
    assert reserved is WaitResult.GRANTED
    assert left == 5000 - borrowed[0]
    assert lent == [-borrowed[0]]


def test_a_lender_draws_the_tokens_it_lacks():
    async def work(lender, borrower, quota_log):
        borrower.draws.is_store_reachable = False
        reserved = await borrower.draws.wait_for(
            TokenRequest("plume", 800), timedelta(seconds=5)
        )
        return reserved, quota_log.records[-1].granted

    reserved, granted = run_nodes(work)
    assert reserved is WaitResult.GRANTED
    assert granted >= 800


def test_a_lender_without_the_store_retains_tokens_for_its_own_demand():
    async def work(lender, borrower, quota_log):
        lender.draws.is_store_reachable = borrower.draws.is_store_reachable = False
        lender.account.credit(1000)
        for _ in range(8):
            lender.account.note_demand(1000, SystemClock().elapsed())
        reserved = await borrower.draws.wait_for(
            TokenRequest("plume", 900), timedelta(seconds=5)
        )
        return reserved, lender.account.free

    assert run_nodes(work) == (WaitResult.LENDER_EMPTY, 1000)


def test_in_a_large_fleet_only_the_lender_changes_the_records():
    async def work(lender, borrower, quota_log):
        reserved = await borrower.draws.wait_for(
            TokenRequest("plume", 800), timedelta(seconds=5)
        )
        return reserved, {
            record.change_id.rpartition("/")[0] for record in quota_log.records
        }

    assert run_nodes(work, vms=LARGE_FLEET) == (
        WaitResult.GRANTED,
        {"vm-1/1"},
    )


def test_a_vm_draws_itself_if_the_lender_does_not_reply():
    async def work(lender, borrower, quota_log):
        lender.datagrams.close()
        return await borrower.draws.wait_for(
            TokenRequest("plume", 800), timedelta(seconds=5)
        )

    assert run_nodes(work, vms=LARGE_FLEET) is WaitResult.GRANTED


def test_the_next_lender_is_asked_only_for_the_tokens_that_are_still_missing():
    """Each lender gave all that was missing, and the surplus remained idle."""
    stocks, announced = {"a": 500, "b": 9000, "c": 9000}, {"a": 500, "b": 9000}
    asked = []

    class Accounts:
        def add_loan(self, customer, tokens):
            pass

    class Wire:
        def handle(self, kind, handler):
            if kind is Loan:
                self.receive = handler

        def send(self, request, peers):
            (peer,) = peers
            asked.append((peer, request.least, request.most))
            tokens = min(stocks[peer], request.most)
            loan = Loan("vm/1", request.number, request.customer, tokens)
            self.receive(loan, peer)

    def find_lenders(customer):
        return [Lender(peer, stock) for peer, stock in announced.items()]

    loans = TokenLoans("vm/1", Accounts(), Wire(), find_lenders)
    borrowed = asyncio.run(loans.borrow(TokenRequest("plume", 900), 5000))
    assert asked == [("a", 500, 5000), ("b", 400, 4500)]
    assert borrowed == 5000


def test_a_late_reply_counts_for_what_the_next_lenders_are_asked():
    """A lender whose event loop paused gave the same tokens as the next one."""
    asked = []

    class Accounts:
        def add_loan(self, customer, tokens):
            pass

    class Wire:
        def handle(self, kind, handler):
            if kind is Loan:
                self.receive = handler

        def send(self, request, peers):
            asked.append((peers[0], request.most))
            loop = asyncio.get_running_loop()
            tokens, delay_s = {"a": (800, 0.03), "b": (50, 0.02), "c": (150, 0)}[
                peers[0]
            ]
            loan = Loan("vm/1", request.number, request.customer, tokens)
            loop.call_later(delay_s, self.receive, loan, peers[0])

    def find_lenders(customer):
        return [Lender(peer) for peer in "abc"]

    async def work():
        timeout = timedelta(milliseconds=12)
        loans = TokenLoans(
            "vm/1", Accounts(), Wire(), find_lenders, reply_timeout=timeout
        )
        return await loans.borrow(TokenRequest("plume", 1000), 1000)

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        assert runner.run(work()) == 1000
    assert ("c", 150) in asked


def test_a_retried_loan_request_gets_the_first_reply():
    async def work(lender, borrower, quota_log):
        lender.account.credit(5000)
        sent = []
        lender.datagrams.send = lambda message, peers: sent.append(message)
        request = LoanRequest("vm-2/1", 1, "plume", 300, 300)
        for _ in range(3):
            lender.datagrams.datagram_received(
                msgspec.msgpack.encode(request), ("127.0.0.1", 1)
            )
            await asyncio.sleep(0.01)
        return lender.account.free, sent

    left, sent = run_nodes(work)
    assert left == 4700
    assert sent == [Loan("vm-2/1", 1, "plume", 300)] * 3


def test_replies_to_another_incarnation_and_second_replies_are_ignored():
    async def work(lender, borrower, quota_log):
        task = asyncio.ensure_future(
            borrower.loans.borrow(TokenRequest("plume", 10), 10)
        )
        await asyncio.sleep(0)
        receive = borrower.loans._receive_loan
        receive(Loan("vm-2/0", 1, "plume", 77), ("127.0.0.1", 1))
        receive(Loan("vm-2/1", 9, "plume", 10), ("127.0.0.1", 1))
        receive(Loan("vm-2/1", 1, "plume", 10), ("127.0.0.1", 1))
        receive(Loan("vm-2/1", 1, "plume", 10), ("127.0.0.1", 1))
        await task
        return borrower.account.free

    assert run_nodes(work) == 10


def test_a_loan_that_arrives_after_the_lender_was_silent_is_not_lost():
    async def work(lender, borrower, quota_log):
        lender.account.credit(5000)
        held = []
        send = lender.datagrams.send
        lender.datagrams.send = lambda message, peers: held.append((message, peers))
        borrowed = await borrower.loans.borrow(TokenRequest("plume", 300), 300)
        for message, peers in held:
            send(message, peers)
        await asyncio.sleep(0.05)
        return borrowed, lender.account.free, borrower.account.free

    assert run_nodes(work) == (0, 4700, 300)


def test_tokens_reserved_while_a_loan_is_awaited_are_not_returned():
    """A round plans returns and then waits for a lender, while requests arrive."""

    async def work(lender, borrower, quota_log):
        now = SystemClock().elapsed()
        borrower.draws.return_all()
        borrower.account.credit(5000)
        quota_log.records.append(QuotaRecord("plume", 5000, "vm-2/1/0"))
        deltas = {"plume": -5000}
        assert borrower.account.reserve(4000, now)
        shared = borrower.draws._records[0]
        await shared.sync()
        await shared.change(deltas, borrower.draws._release)
        return borrower.account.free, quota_log.records[-1].granted

    assert run_nodes(work) == (0, 4000)


class LenderDatagrams:
    """Datagrams to lenders that hold ``stocks`` and lend no more than these."""

    def __init__(self, stocks):
        self.stocks = stocks
        self.handlers = {}
        self.asked = []

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, message, peers):
        (peer,) = peers
        self.asked.append((peer, message.least))
        held = self.stocks[peer]
        lent = next((n for n in (message.most, message.least) if n <= held), 0)
        self.stocks[peer] -= lent
        loan = Loan(message.borrower, message.number, message.customer, lent)
        asyncio.get_running_loop().call_soon(self.handlers[Loan], loan, peer)


class CreditedTokens:
    def __init__(self):
        self.tokens = 0

    def add_loan(self, customer, tokens):
        self.tokens += tokens


def borrow_from(stocks, announced, tokens, standby=""):
    async def work():
        wire, credited = LenderDatagrams(dict(stocks)), CreditedTokens()
        lenders = [Lender(p, announced.get(p), p in standby) for p in stocks]
        loans = TokenLoans("vm-1/1", credited, wire, lambda customer: lenders)
        borrowed = await loans.borrow(TokenRequest("plume", tokens), tokens)
        assert borrowed == credited.tokens
        return borrowed, wire.asked

    return asyncio.run(work())


def test_several_lenders_serve_one_request_during_a_store_outage():
    """Each VM held fewer tokens than a large request needs, so all refused it."""
    stocks = {"a": 6000, "b": 4000, "c": 3000}
    borrowed, asked = borrow_from(stocks, stocks, 12_000)
    assert borrowed == 12_000
    assert asked == [("a", 6000), ("b", 4000), ("c", 2000)]


def test_no_lender_is_asked_for_more_than_all_hold_together():
    stocks = {"a": 6000, "b": 4000}
    assert borrow_from(stocks, stocks, 12_000) == (0, [])


def test_a_lender_that_can_draw_is_asked_for_the_remainder():
    borrowed, asked = borrow_from({"a": 6000, "b": 50_000}, {"a": 100}, 12_000)
    assert borrowed >= 12_000
    assert asked == [("a", 100), ("b", 11_900)]
