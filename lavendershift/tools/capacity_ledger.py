"""Capacity probes of the ledger.

They measure the application of each kind of record, balances, request keys and
checkpoints.
"""

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
RESPONSE_BODY_BYTES = 400  # body of a recorded response of a plain service
ENTRY_INTERVAL_MS = 1


def find_prepaid(budget: str, config_offset: int) -> int:
    """Return a prepaid amount larger than any probe spends."""
    return PREPAID


def name_incarnation(number: int) -> str:
    """Return an incarnation id in the form that routers generate."""
    return f"r{number}.1767225600000-4f2a9c"


class RecordScript:
    """A list of records whose ids count up separately for each author."""

    def __init__(self) -> None:
        self.records: list[Record] = []
        self._numbers: dict[str, int] = {}

    def add(self, author: str, make: Callable[[str], Record]) -> None:
        """Append the record that ``make`` returns for the author's next id."""
        self._numbers[author] = self._numbers.get(author, 0) + 1
        self.records.append(make(f"{author}/{self._numbers[author]}"))

    def join(self, number: int) -> str:
        """Append the join of a router and return its incarnation id."""
        name = name_incarnation(number)
        self.add(name, lambda i: Join(i, name, f"r{number}", "rennes-a", 0))
        return name

    def grant(self, name: str, budget: str) -> None:
        """Append a grant of ``GRANTED`` tokens of ``budget`` to ``name``."""
        self.add(name, lambda i: Grant(i, budget, name, GRANTED, 0))


class Case(NamedTuple):
    """Records that prepare a ledger and those whose application is measured."""

    setup: list[Record]
    measured: list[Record]


def name_request(number: int) -> str:
    """Return a customer-scoped request key of typical length."""
    return f"desks/rennes/plume/key-{number:012d}"


def name_budget(number: int) -> str:
    """Return a budget's name; numbers map to 1,000 names in rotation."""
    return f"desk-plume-{number % 1000:05d}"


CASES: dict[type, Callable[[], Case]] = {}


def _register_case(record_type: type) -> Callable[..., Callable[[], Case]]:
    """Return a decorator that registers a function as the case of ``record_type``.

    The function adds records to a script in which the named incarnation has joined,
    and returns the index of the first record to measure.
    """

    def register(make: Callable[[RecordScript, str], int]) -> Callable[[], Case]:
        def build() -> Case:
            script = RecordScript()
            start = make(script, script.join(0))
            return Case(script.records[:start], script.records[start:])

        CASES[record_type] = build
        return build

    return register


def _add_repeated(
    script: RecordScript, author: str, make: Callable[[str, int], Record]
) -> int:
    """Add ``RECORDS`` records of an author; return the index of the first."""
    start = len(script.records)
    for number in range(RECORDS):
        script.add(author, lambda i, n=number: make(i, n))  # type: ignore[misc]
    return start


def _grant_budgets(script: RecordScript, name: str) -> None:
    for number in range(1000):
        script.grant(name, name_budget(number))


@_register_case(Join)
def _join(script: RecordScript, name: str) -> int:
    for number in range(1, RECORDS):
        script.join(number)
    return 1


@_register_case(Grant)
def _grant(script: RecordScript, name: str) -> int:
    return _add_repeated(
        script, name, lambda i, n: Grant(i, name_budget(n), name, GRANTED, 0)
    )


@_register_case(Return)
def _return(script: RecordScript, name: str) -> int:
    _grant_budgets(script, name)
    return _add_repeated(script, name, lambda i, n: Return(i, name_budget(n), name, 10))


@_register_case(Transfer)
def _transfer(script: RecordScript, name: str) -> int:
    other = script.join(1)
    _grant_budgets(script, name)
    return _add_repeated(
        script,
        name,
        lambda i, n: Transfer(i, name_budget(n), name, other, 10, f"{other}:{n}"),
    )


@_register_case(Recall)
def _recall(script: RecordScript, name: str) -> int:
    return _add_repeated(script, name, lambda i, n: Recall(i, name_budget(n), name, 10))


@_register_case(Charge)
def _charge(script: RecordScript, name: str) -> int:
    _grant_budgets(script, name)
    return _add_repeated(
        script,
        name,
        lambda i, n: Charge(
            i, name_budget(n), name, name_request(n), 275, f"{name}-{n}"
        ),
    )


def _make_claim(name: str) -> Callable[[str, int], Record]:
    return lambda i, n: Claim(i, name_request(n), name_budget(n), name, "f" * 16)


@_register_case(Claim)
def _claim(script: RecordScript, name: str) -> int:
    return _add_repeated(script, name, _make_claim(name))


@_register_case(Abandon)
def _abandon(script: RecordScript, name: str) -> int:
    _add_repeated(script, name, _make_claim(name))
    return _add_repeated(script, name, lambda i, n: Abandon(i, name_request(n), name))


@_register_case(Outcome)
def _outcome(script: RecordScript, name: str) -> int:
    _grant_budgets(script, name)
    _add_repeated(script, name, _make_claim(name))
    body = "x" * RESPONSE_BODY_BYTES
    return _add_repeated(
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


def _join_routers(script: RecordScript) -> None:
    for number in range(1, RECORDS + 1):
        script.join(number)


@_register_case(Evict)
def _evict(script: RecordScript, name: str) -> int:
    _join_routers(script)
    return _add_repeated(
        script, name, lambda i, n: Evict(i, name_incarnation(n + 1), "operator")
    )


@_register_case(EvictAck)
def _evict_ack(script: RecordScript, name: str) -> int:
    _join_routers(script)
    _add_repeated(
        script, name, lambda i, n: Evict(i, name_incarnation(n + 1), "operator")
    )
    return _add_repeated(
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


def _evict_holder(script: RecordScript) -> str:
    evicted = script.join(1)
    _grant_budgets(script, evicted)
    script.add(name_incarnation(0), lambda i: Evict(i, evicted, "operator"))
    script.add(name_incarnation(0), lambda i: EvictAck(i, evicted, name_incarnation(0)))
    return evicted


@_register_case(Release)
def _release(script: RecordScript, name: str) -> int:
    evicted = _evict_holder(script)
    return _add_repeated(
        script,
        name,
        lambda i, n: Release(i, name_budget(n), evicted, 10, "server restarted", "op"),
    )


@_register_case(Recover)
def _recover(script: RecordScript, name: str) -> int:
    evicted = _evict_holder(script)
    return _add_repeated(
        script,
        name,
        lambda i, n: Recover(
            i, name_budget(n), evicted, name_request(n), 10, f"{evicted}-{n}", name
        ),
    )


def make_raw_entries(
    records: list[Record], first: int
) -> list[tuple[int, int, list[object]]]:
    """Return the entries of ``records`` in the form that a log client receives."""
    return [
        (first + number, (first + number) * ENTRY_INTERVAL_MS, encode_record(record))
        for number, record in enumerate(records)
    ]


def apply_all(ledger: Ledger, entries: list[tuple[int, int, list[object]]]) -> None:
    """Decode and apply entries; fail if the ledger doesn't count one of them."""
    for entry in entries:
        verdict = ledger.apply(decode_entry(STREAM, *entry))
        assert verdict.counted, verdict


def build_ledger(case: Case) -> Ledger:
    """Return a ledger to which the setup of ``case`` has been applied."""
    ledger = Ledger(STREAM, find_prepaid)
    apply_all(ledger, make_raw_entries(case.setup, 0))
    return ledger


def measure_apply(build: Callable[[], Case]) -> Slope:
    """Return the CPU time to decode and apply a record and its size in the log."""
    case = build()
    entries = make_raw_entries(case.measured, len(case.setup))

    def prepare() -> Callable[[], object]:
        ledger = build_ledger(case)
        return lambda: apply_all(ledger, entries)

    sent = sum(len(msgspec.json.encode(entry)) for entry in entries) / len(entries)
    return Slope(us=time_prepared(prepare, len(entries)), sent=sent)


def _register_apply_probes() -> None:
    for record_type, build in CASES.items():
        name = f"fold of {KIND_OF_RECORD[record_type]}"
        register_probe(name, Role.ROUTER, "record")(lambda b=build: measure_apply(b))  # type: ignore[misc]


_register_apply_probes()


def _apply_case(record_type: type) -> Ledger:
    case = CASES[record_type]()
    ledger = build_ledger(case)
    apply_all(ledger, make_raw_entries(case.measured, len(case.setup)))
    return ledger


def measure_state(make: Callable[[], Ledger], base: Callable[[], Ledger]) -> Slope:
    """Return the memory and checkpoint bytes of an item.

    ``make`` returns a ledger with ``RECORDS`` items more than that of ``base``.
    """
    held = measure_memory(make, RECORDS) - measure_memory(base, RECORDS)
    return Slope(
        held=held,
        sent=(count_checkpoint_chars(make()) - count_checkpoint_chars(base()))
        / RECORDS,
    )


def count_checkpoint_chars(ledger: Ledger) -> int:
    """Return the number of characters in a checkpoint of ``ledger``."""
    return sum(len(part.state) for part in ledger.make_checkpoint("c"))


@register_probe("request key of a charge held", Role.ROUTER, "key")
def measure_request_key() -> Slope:
    """Measure a request key that the ledger keeps for a charge."""
    return measure_state(
        lambda: _apply_case(Charge), lambda: build_ledger(CASES[Charge]())
    )


@register_probe("request key of an outcome held", Role.ROUTER, "key")
def measure_outcome_key() -> Slope:
    """Measure a request key with its recorded response."""
    return measure_state(
        lambda: _apply_case(Outcome), lambda: build_ledger(CASES[Abandon]())
    )


def build_balances(budgets: int) -> Ledger:
    """Return a ledger in which one router holds tokens of ``budgets`` budgets."""
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
    """Measure the balance of a budget with one holder."""
    held = measure_memory(lambda: build_balances(RECORDS), RECORDS)
    return Slope(
        held=held, sent=count_checkpoint_chars(build_balances(RECORDS)) / RECORDS
    )


@register_probe("checkpoint of 95,000 budgets made", Role.ROUTER, "checkpoint")
def measure_checkpoint() -> Slope:
    """Measure the encoding of a checkpoint, which blocks the event loop."""
    ledger = build_balances(BUDGETS)
    return Slope(
        us=time_work(lambda: ledger.make_checkpoint("c"), 1),
        sent=count_checkpoint_chars(ledger),
    )


@register_probe("close folded with 95,000 budgets", Role.ROUTER, "record")
def measure_close() -> Slope:
    """Measure the close of an incarnation that holds no tokens."""
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
    """Measure the allowance book's reservation and settlement for a request."""
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
