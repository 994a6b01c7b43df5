"""Capacity probes of the ledger: folds of each kind, balances and keys held."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

import msgspec

from lavendershift.allowances import AllowanceBook
from lavendershift.ledger import Ledger
from lavendershift.records import (
    KIND_OF_RECORD,
    Abandon,
    Charge,
    Claim,
    Close,
    Entry,
    Evict,
    EvictAck,
    Grant,
    Join,
    Outcome,
    Recall,
    Record,
    Recover,
    Release,
    Return,
    Transfer,
    Unspent,
    decode_entry,
    encode_record,
)
from lavendershift.tools.capacity_probes import (
    Role,
    Slope,
    measure_memory,
    register_probe,
    time_prepared,
    time_work,
)

STREAM = "ledger-0"
RECORDS = 5_000
BUDGETS = 95_000
PREPAID = 10**12
GRANTED = 10**6
ANSWER_BYTES = 400  # of a recorded answer of a plain service
FOLD_STEP_MS = 1


def find_prepaid(budget: str, config_offset: int) -> int:
    """Return more than any probe spends."""
    return PREPAID


def name_incarnation(number: int) -> str:
    """Return an incarnation id as routers make them."""
    return f"r{number}.1767225600000-4f2a9c"


class RecordScript:
    """Records in their order, with the sequence numbers of their authors."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self._numbers: dict[str, int] = {}

    def add(self, author: str, make: Callable[[str], Record]) -> None:
        """Add the record that ``make`` returns for the author's next id."""
        self._numbers[author] = self._numbers.get(author, 0) + 1
        self.records.append(make(f"{author}/{self._numbers[author]}"))

    def join(self, number: int) -> str:
        """Add the join of a router and return its incarnation."""
        name = name_incarnation(number)
        self.add(name, lambda i: Join(i, name, f"r{number}", "rennes-a", 0))
        return name

    def grant(self, name: str, budget: str) -> None:
        """Add a grant."""
        self.add(name, lambda i: Grant(i, budget, name, GRANTED, 0))


class Case(NamedTuple):
    """Records that prepare a ledger and those whose fold is measured."""

    setup: list[Record]
    measured: list[Record]


def name_request(number: int) -> str:
    """Return a scoped request key of usual length."""
    return f"desks/rennes/plume/key-{number:012d}"


def name_budget(number: int) -> str:
    """Return a budget's name; a thousand of them take turns."""
    return f"desk-plume-{number % 1000:05d}"


CASES: dict[type, Callable[[], Case]] = {}


def _register_case(record_type: type) -> Callable[..., Callable[[], Case]]:
    def register(make: Callable[[RecordScript, str], int]) -> Callable[[], Case]:
        def build() -> Case:
            script = RecordScript()
            start = make(script, script.join(0))
            return Case(script.records[:start], script.records[start:])

        CASES[record_type] = build
        return build

    return register


def _repeat(
    script: RecordScript, author: str, make: Callable[[str, int], Record]
) -> int:
    start = len(script.records)
    for number in range(RECORDS):
        script.add(author, lambda i, n=number: make(i, n))  # type: ignore[misc]
    return start


def _hold(script: RecordScript, name: str) -> None:
    for number in range(1000):
        script.grant(name, name_budget(number))


@_register_case(Join)
def _join(script: RecordScript, name: str) -> int:
    for number in range(1, RECORDS):
        script.join(number)
    return 1


@_register_case(Grant)
def _grant(script: RecordScript, name: str) -> int:
    return _repeat(
        script, name, lambda i, n: Grant(i, name_budget(n), name, GRANTED, 0)
    )


@_register_case(Return)
def _return(script: RecordScript, name: str) -> int:
    _hold(script, name)
    return _repeat(script, name, lambda i, n: Return(i, name_budget(n), name, 10))


@_register_case(Transfer)
def _transfer(script: RecordScript, name: str) -> int:
    other = script.join(1)
    _hold(script, name)
    return _repeat(
        script,
        name,
        lambda i, n: Transfer(i, name_budget(n), name, other, 10, f"{other}:{n}"),
    )


@_register_case(Recall)
def _recall(script: RecordScript, name: str) -> int:
    return _repeat(script, name, lambda i, n: Recall(i, name_budget(n), name, 10))


@_register_case(Charge)
def _charge(script: RecordScript, name: str) -> int:
    _hold(script, name)
    return _repeat(
        script,
        name,
        lambda i, n: Charge(
            i, name_budget(n), name, name_request(n), 275, f"{name}-{n}"
        ),
    )


def _claim_at(name: str) -> Callable[[str, int], Record]:
    return lambda i, n: Claim(i, name_request(n), name_budget(n), name, "f" * 16)


@_register_case(Claim)
def _claim(script: RecordScript, name: str) -> int:
    return _repeat(script, name, _claim_at(name))


@_register_case(Abandon)
def _abandon(script: RecordScript, name: str) -> int:
    _repeat(script, name, _claim_at(name))
    return _repeat(script, name, lambda i, n: Abandon(i, name_request(n), name))


@_register_case(Outcome)
def _outcome(script: RecordScript, name: str) -> int:
    _hold(script, name)
    _repeat(script, name, _claim_at(name))
    body = "x" * ANSWER_BYTES
    return _repeat(
        script,
        name,
        lambda i, n: Outcome(
            i,
            name_request(n),
            name_budget(n),
            name,
            10,
            200,
            "application/json",
            body,
            f"{name}-{n}",
        ),
    )


def _join_others(script: RecordScript) -> None:
    for number in range(1, RECORDS + 1):
        script.join(number)


@_register_case(Evict)
def _evict(script: RecordScript, name: str) -> int:
    _join_others(script)
    return _repeat(
        script, name, lambda i, n: Evict(i, name_incarnation(n + 1), "operator")
    )


@_register_case(EvictAck)
def _evict_ack(script: RecordScript, name: str) -> int:
    _join_others(script)
    _repeat(script, name, lambda i, n: Evict(i, name_incarnation(n + 1), "operator"))
    return _repeat(
        script, name, lambda i, n: EvictAck(i, name_incarnation(n + 1), name)
    )


@_register_case(Close)
def _close(script: RecordScript, name: str) -> int:
    for number in range(1, 201):
        other = script.join(number)
        script.grant(other, name_budget(number))
    start = len(script.records)
    for number in range(1, 201):
        other = name_incarnation(number)
        unspent = [Unspent(name_budget(number), GRANTED)]
        script.add(other, lambda i, o=other, u=unspent: Close(i, o, u))  # type: ignore[misc]
    return start


def _evict_one(script: RecordScript) -> str:
    gone = script.join(1)
    _hold(script, gone)
    script.add(name_incarnation(0), lambda i: Evict(i, gone, "operator"))
    script.add(name_incarnation(0), lambda i: EvictAck(i, gone, name_incarnation(0)))
    return gone


@_register_case(Release)
def _release(script: RecordScript, name: str) -> int:
    gone = _evict_one(script)
    return _repeat(
        script,
        name,
        lambda i, n: Release(i, name_budget(n), gone, 10, "server restarted", "op"),
    )


@_register_case(Recover)
def _recover(script: RecordScript, name: str) -> int:
    gone = _evict_one(script)
    return _repeat(
        script,
        name,
        lambda i, n: Recover(
            i, name_budget(n), gone, name_request(n), 10, f"{gone}-{n}", name
        ),
    )


def make_raw_entries(
    records: list[Record], first: int
) -> list[tuple[int, int, list[object]]]:
    """Return entries as a log client receives them."""
    return [
        (first + number, (first + number) * FOLD_STEP_MS, encode_record(record))
        for number, record in enumerate(records)
    ]


def fold_all(ledger: Ledger, raw: list[tuple[int, int, list[object]]]) -> None:
    """Decode and fold entries, all of which have to count."""
    for entry in raw:
        verdict = ledger.apply(decode_entry(STREAM, *entry))
        assert verdict.counted, verdict


def build_ledger(case: Case) -> Ledger:
    """Return a ledger that has folded the setup of ``case``."""
    ledger = Ledger(STREAM, find_prepaid)
    fold_all(ledger, make_raw_entries(case.setup, 0))
    return ledger


def measure_fold(build: Callable[[], Case]) -> Slope:
    """Return the cost to decode and fold a record, and its size in the log."""
    case = build()
    raw = make_raw_entries(case.measured, len(case.setup))

    def prepare() -> Callable[[], object]:
        ledger = build_ledger(case)
        return lambda: fold_all(ledger, raw)

    sent = sum(len(msgspec.json.encode(entry)) for entry in raw) / len(raw)
    return Slope(us=time_prepared(prepare, len(raw)), sent=sent)


def _register_folds() -> None:
    for record_type, build in CASES.items():
        name = f"fold of {KIND_OF_RECORD[record_type]}"
        register_probe(name, Role.ROUTER, "record")(lambda b=build: measure_fold(b))  # type: ignore[misc]


_register_folds()


def _fold_requests(record_type: type) -> Ledger:
    case = CASES[record_type]()
    ledger = build_ledger(case)
    fold_all(ledger, make_raw_entries(case.measured, len(case.setup)))
    return ledger


def measure_state(make: Callable[[], Ledger], base: Callable[[], Ledger]) -> Slope:
    """Return memory and checkpoint bytes of one of ``RECORDS`` items."""
    held = measure_memory(make, RECORDS) - measure_memory(base, RECORDS)
    return Slope(held=held, sent=(size_state(make()) - size_state(base())) / RECORDS)


def size_state(ledger: Ledger) -> int:
    """Return the characters of a checkpoint of ``ledger``."""
    return sum(len(part.state) for part in ledger.make_checkpoint("c"))


@register_probe("request key of a charge held", Role.ROUTER, "key")
def measure_request_key() -> Slope:
    """Measure a key that a charge leaves behind."""
    return measure_state(
        lambda: _fold_requests(Charge), lambda: build_ledger(CASES[Charge]())
    )


@register_probe("request key of an outcome held", Role.ROUTER, "key")
def measure_outcome_key() -> Slope:
    """Measure a key with its recorded answer."""
    return measure_state(
        lambda: _fold_requests(Outcome), lambda: build_ledger(CASES[Abandon]())
    )


def build_balances(budgets: int) -> Ledger:
    """Return a ledger with one holder of each of ``budgets``."""
    ledger = Ledger(STREAM, find_prepaid)
    script = RecordScript()
    name = script.join(0)
    for number in range(budgets):
        script.grant(name, f"desk-plume-{number:05d}")
    for offset, record in enumerate(script.records):
        ledger.apply(Entry(offset, offset, record))
    return ledger


@register_probe("budget held in the ledger", Role.ROUTER, "budget")
def measure_balance() -> Slope:
    """Measure a balance with one holder."""
    held = measure_memory(lambda: build_balances(RECORDS), RECORDS)
    return Slope(held=held, sent=size_state(build_balances(RECORDS)) / RECORDS)


@register_probe("checkpoint of 95,000 budgets made", Role.ROUTER, "checkpoint")
def measure_checkpoint() -> Slope:
    """Measure the making of a checkpoint, which holds the loop up."""
    ledger = build_balances(BUDGETS)
    return Slope(
        us=time_work(lambda: ledger.make_checkpoint("c"), 1), sent=size_state(ledger)
    )


@register_probe("close folded with 95,000 budgets", Role.ROUTER, "record")
def measure_collapse() -> Slope:
    """Measure the end of an incarnation that holds nothing."""
    ledger = build_balances(BUDGETS)
    closes = 20
    script = RecordScript()
    for number in range(1, closes * 3 + 1):
        script.join(number)
    for record in script.records:
        ledger.apply(Entry(ledger.next_offset, ledger.next_offset, record))
    numbers = iter(range(1, closes * 3 + 1))

    def run() -> None:
        for _ in range(closes):
            name = name_incarnation(next(numbers))
            record = Close(f"{name}/9", name, [])
            ledger.apply(Entry(ledger.next_offset, ledger.next_offset, record))

    return Slope(us=time_work(run, closes))


@register_probe("request reserved and settled", Role.ROUTER, "request")
def measure_reservation() -> Slope:
    """Measure the book's part of a request."""
    ledger = build_balances(0)
    numbers: Iterator[int] = iter(range(10**9))
    name = name_incarnation(0)
    book = AllowanceBook(name, ledger, lambda: f"{name}/{next(numbers)}")
    book.account("b").add_grant(10**12)

    def run() -> None:
        for _ in range(RECORDS):
            attempt = f"{name}-{next(numbers)}"
            book.settle(book.reserve("b", 500, "c/k", attempt).unwrap(), 275)

    return Slope(us=time_work(run, RECORDS))
