import itertools

import pytest
from returns.result import Failure

from lavendershift.allowances import AllowanceBook
from lavendershift.ledger import Ledger
from lavendershift.records import Close, Entry, Evict, EvictAck, Join, Unspent


class Pair:
    """Allowance books on one ledger: ``i`` is granted 100 tokens, ``j`` none."""

    def __init__(self):
        self.ledger = Ledger("ledger-0", lambda budget, offset: 1000)
        self.i, self.j = self.start("i"), self.start("j")
        self.apply(self.i.request_grant("b", 100, 0))

    def start(self, name):
        numbers = itertools.count(1)
        self.apply(Join(f"{name}/0", name, name, "d", 0))
        return AllowanceBook(name, self.ledger, lambda: f"{name}/{next(numbers)}")

    def apply(self, record):
        verdict = self.ledger.apply(Entry(self.ledger.next_offset, 0, record))
        books = [book for book in (getattr(self, n, None) for n in "ij") if book]
        return [reply for book in books for reply in book.apply(record, verdict)]


def test_grant_is_available_only_after_its_record_is_applied():
    pair = Pair()
    grant = pair.i.request_grant("b", 50, 0)
    assert (pair.i.available("b"), pair.i.requested("b")) == (100, 50)
    pair.apply(grant)
    assert (pair.i.available("b"), pair.i.requested("b")) == (150, 0)


def test_shortage_reports_tokens_that_may_become_free():
    book = Pair().i
    first = book.reserve("b", 60, "k1", "a1").unwrap()
    second = book.reserve("b", 30, "k2", "a2").unwrap()
    book.mark_in_doubt(second)
    match book.reserve("b", 50, "k3", "a3"):
        case Failure(shortage):
            assert shortage.is_covered_in_flight
            assert shortage == (50, 10, 60, 30, True)
    assert not book.reserve("b", 80, "k3", "a3").failure().is_covered_in_flight
    assert book.settle(first, 20).tokens == 20
    assert book.resolve(second, 5).attempt == "a2"
    assert book.available("b") == 75
    with pytest.raises(ValueError, match="no reservation"):
        book.cancel(first)


def test_loan_counts_once_if_both_sides_append_its_transfer():
    pair = Pair()
    request = pair.j.make_loan_request("b", 30)
    response = pair.i.lend(request)
    assert pair.i.lend(request).loan == response.loan
    assert pair.i.available("b") == 70
    copy = pair.j.accept_loan(response.loan)
    assert pair.j.accept_loan(response.loan) is None
    assert pair.j.account("b").lendable == 0, "the transfer is not in the log yet"
    pair.apply(response.transfer)
    pair.apply(copy)
    assert pair.j.available("b") == pair.j.account("b").lendable == 30
    assert pair.ledger.find_budget("b").held == {"i": 70, "j": 30}


def test_borrower_that_missed_the_response_gets_the_loan_from_the_log():
    pair = Pair()
    response = pair.i.lend(pair.j.make_loan_request("b", 30))
    pair.apply(response.transfer)
    assert pair.j.available("b") == 30
    assert pair.j.accept_loan(response.loan) is None


def test_loan_to_a_closed_borrower_is_revoked():
    pair = Pair()
    response = pair.i.lend(pair.j.make_loan_request("b", 30))
    pair.apply(pair.j.make_close())
    pair.apply(response.transfer)
    assert pair.i.available("b") == 100


def test_counted_loan_is_not_revoked_when_its_borrower_closes():
    pair = Pair()
    response = pair.i.lend(pair.j.make_loan_request("b", 30))
    pair.apply(pair.j.accept_loan(response.loan))
    pair.apply(pair.j.make_close())
    assert pair.ledger.find_incarnation("j") is None
    pair.apply(response.transfer)
    assert pair.i.available("b") == pair.ledger.find_held("b", "i") == 70


def test_evicted_lender_is_refused_and_may_not_spend():
    pair = Pair()
    response = pair.i.lend(pair.j.make_loan_request("b", 30))
    acks = pair.apply(Evict("op", "i", "op"))
    assert acks == [EvictAck(acks[0].id, "i", "j")]
    assert pair.j.accept_loan(response.loan) is None
    assert pair.i.available("b") == 0
    assert not pair.i.reserve("b", 1, "k", "a").failure().active
    assert pair.j.lend(pair.i.make_loan_request("b", 1)).loan.tokens == 0


def test_close_returns_all_tokens_except_those_in_doubt():
    book = Pair().i
    reservation = book.reserve("b", 60, "k", "a").unwrap()
    with pytest.raises(ValueError, match="in flight"):
        book.make_close()
    book.mark_in_doubt(reservation)
    close = book.make_close()
    assert close == Close(close.id, "i", [Unspent("b", 40)])
    with pytest.raises(ValueError, match="closed"):
        book.resolve(reservation, 1)
    assert book.return_tokens("b", 1) is None
