import itertools

import pytest
from returns.result import Failure

from lavendershift.allowances import AllowanceBook
from lavendershift.ledger import Ledger
from lavendershift.records import Close, Entry, Evict, EvictAck, Join, Unspent


class Pair:
    """Two books, ``i`` with 100 granted tokens and ``j`` with none."""

    def __init__(self):
        self.ledger = Ledger("ledger-0", lambda budget, offset: 1000)
        self.i, self.j = self.start("i"), self.start("j")
        self.fold(self.i.ask_grant("b", 100, 0))

    def start(self, name):
        numbers = itertools.count(1)
        self.fold(Join(f"{name}/0", name, name, "d", 0))
        return AllowanceBook(name, self.ledger, lambda: f"{name}/{next(numbers)}")

    def fold(self, record):
        verdict = self.ledger.apply(Entry(self.ledger.next_offset, 0, record))
        books = [book for book in (getattr(self, n, None) for n in "ij") if book]
        return [answer for book in books for answer in book.apply(record, verdict)]


def test_a_grant_is_spent_only_once_folded():
    pair = Pair()
    grant = pair.i.ask_grant("b", 50, 0)
    assert (pair.i.available("b"), pair.i.asked("b")) == (100, 50)
    pair.fold(grant)
    assert (pair.i.available("b"), pair.i.asked("b")) == (150, 0)


def test_a_shortage_says_what_may_come_free():
    book = Pair().i
    first = book.reserve("b", 60, "k1", "a1").unwrap()
    second = book.reserve("b", 30, "k2", "a2").unwrap()
    book.keep_in_doubt(second)
    match book.reserve("b", 50, "k3", "a3"):
        case Failure(shortage):
            assert shortage.in_flight_covers
            assert shortage == (50, 10, 60, 30, True)
    assert not book.reserve("b", 80, "k3", "a3").failure().in_flight_covers
    assert book.settle(first, 20).tokens == 20
    assert book.resolve(second, 5).attempt == "a2"
    assert book.available("b") == 75
    with pytest.raises(ValueError, match="no reservation"):
        book.cancel(first)


def test_a_loan_counts_once_whoever_logs_it():
    pair = Pair()
    request = pair.j.make_borrow("b", 30)
    answer = pair.i.lend(request)
    assert pair.i.lend(request).lent == answer.lent
    assert pair.i.available("b") == 70
    copy = pair.j.accept(answer.lent)
    assert pair.j.accept(answer.lent) is None
    assert pair.j.account("b").lendable == 0, "not in the log yet"
    pair.fold(answer.transfer)
    pair.fold(copy)
    assert pair.j.available("b") == pair.j.account("b").lendable == 30
    assert pair.ledger.find_budget("b").held == {"i": 70, "j": 30}


def test_a_lost_answer_to_a_borrower_is_found_in_the_log():
    pair = Pair()
    answer = pair.i.lend(pair.j.make_borrow("b", 30))
    pair.fold(answer.transfer)
    assert pair.j.available("b") == 30
    assert pair.j.accept(answer.lent) is None


def test_a_loan_to_a_closed_borrower_comes_back():
    pair = Pair()
    answer = pair.i.lend(pair.j.make_borrow("b", 30))
    pair.fold(pair.j.make_close())
    pair.fold(answer.transfer)
    assert pair.i.available("b") == 100


def test_a_counted_loan_stays_lent_when_its_borrower_closes():
    pair = Pair()
    answer = pair.i.lend(pair.j.make_borrow("b", 30))
    pair.fold(pair.j.accept(answer.lent))
    pair.fold(pair.j.make_close())
    assert pair.ledger.find_incarnation("j") is None
    pair.fold(answer.transfer)
    assert pair.i.available("b") == pair.ledger.find_held("b", "i") == 70


def test_an_evicted_lender_is_refused_and_may_not_spend():
    pair = Pair()
    answer = pair.i.lend(pair.j.make_borrow("b", 30))
    acks = pair.fold(Evict("op", "i", "op"))
    assert acks == [EvictAck(acks[0].id, "i", "j")]
    assert pair.j.accept(answer.lent) is None
    assert pair.i.available("b") == 0
    assert not pair.i.reserve("b", 1, "k", "a").failure().active
    assert pair.j.lend(pair.i.make_borrow("b", 1)).lent.tokens == 0


def test_a_close_hands_back_all_but_what_is_in_doubt():
    book = Pair().i
    reservation = book.reserve("b", 60, "k", "a").unwrap()
    with pytest.raises(ValueError, match="in flight"):
        book.make_close()
    book.keep_in_doubt(reservation)
    close = book.make_close()
    assert close == Close(close.id, "i", [Unspent("b", 40)])
    with pytest.raises(ValueError, match="closed"):
        book.resolve(reservation, 1)
    assert book.take_return("b", 1) is None
