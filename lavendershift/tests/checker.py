"""Checker of recorded runs, from the data of callers, backend servers and the log.

It shares no code with the logic that it checks. Its input is plain data: records
are raw JSON arrays, everything else numbers and strings. It does not replay the
ledger: consumption is what the backend servers ran, and bills are the first
charge of each request in the order of the log::

    for violation in check_run(Run(...)):
        print(violation.check, violation.detail)
"""

from collections import Counter, defaultdict
from typing import Any, NamedTuple


class Deposit(NamedTuple):
    """Prepaid tokens that are available from ``time_ms`` on."""

    time_ms: int
    budget: str
    tokens: int


class Execution(NamedTuple):
    """One attempt that a backend server ran.

    ``call`` is the id of the call that caused it. A caller's retry with the same
    key is another call of the same ``request``.
    """

    time_ms: int
    call: str
    request: str
    attempt: str
    budget: str
    tokens: int
    repeatable: bool
    answer: str


class Reply(NamedTuple):
    """What a caller received: kind ``answer``, ``refused`` or ``unknown``.

    ``refused`` means that the request was reported as not run. ``body`` is the
    response as the caller received it, and ``whole`` whether it looked complete.
    """

    time_ms: int
    call: str
    request: str
    kind: str
    body: str = ""
    whole: bool = True


class Run(NamedTuple):
    """Recorded data of a run.

    ``log`` holds ``[offset, time_ms, record]``. ``bills`` are the tokens billed
    per request as the system reports them, ``overdrawn`` the tokens per budget
    that it reports as consumed beyond what was held. ``drained`` is true if every
    charge had the time to reach the log.
    """

    deposits: list[Deposit]
    executions: list[Execution]
    replies: list[Reply]
    log: list[Any]
    bills: dict[str, int]
    overdrawn: dict[str, int]
    drained: bool = True


class Violation(NamedTuple):
    """A violated guarantee: the check that found it, and the details."""

    check: str
    detail: str


def check_run(run):
    """Return all violations; the list is empty for a correct run."""
    checks = [
        check_spending,
        check_bills,
        check_charges,
        check_single_executions,
        check_answers,
        check_refusals,
    ]
    return [violation for check in checks for violation in check(run)]


def check_spending(run):
    """Check that consumption never exceeds what was prepaid by then."""
    events = [(d.time_ms, 0, d.budget, d.tokens) for d in run.deposits]
    events += [(e.time_ms, 1, e.budget, -e.tokens) for e in run.executions]
    balances = Counter()
    for time_ms, _, budget, tokens in sorted(events):
        balances[budget] += tokens
        if balances[budget] < 0:
            yield Violation(
                "overspend",
                f"{budget} is {-balances[budget]} tokens over at {time_ms} ms",
            )
    for budget, tokens in run.overdrawn.items():
        if tokens:
            yield Violation("overdrawn", f"{budget} reports {tokens} overdrawn tokens")


def find_charges(run):
    """Return ``(request, tokens, attempt)`` of each charged attempt in the log."""
    charges, ids, attempts = [], set(), set()
    for _, _, record in run.log:
        kind, record_id = record[0], record[1]
        if kind == "charge":
            _, _, _, _, request, tokens, attempt = record
        elif kind == "outcome":
            request, tokens, attempt = record[2], record[5], record[9]
        elif kind == "recover":
            _, _, _, _, request, tokens, attempt, _ = record
        else:
            continue
        if record_id in ids or (request, attempt) in attempts:
            continue
        ids.add(record_id)
        attempts.add((request, attempt))
        charges.append((request, tokens, attempt))
    return charges


def check_bills(run):
    """Check that each executed request is billed once, by its first charge."""
    expected = {}
    for request, tokens, _ in find_charges(run):
        expected.setdefault(request, tokens)
    for request in expected.keys() | run.bills.keys():
        if expected.get(request) != run.bills.get(request):
            seen = f"log {expected.get(request)}, reported {run.bills.get(request)}"
            yield Violation("bill", f"{request}: {seen}")
    if not run.drained:
        return
    for request in {e.request for e in run.executions}:
        if request not in run.bills:
            yield Violation("unbilled", request)


def check_charges(run):
    """Check that each charge in the log is the usage of an attempt that ran."""
    usage = {e.attempt: (e.request, e.tokens) for e in run.executions}
    for request, tokens, attempt in find_charges(run):
        if usage.get(attempt) != (request, tokens):
            yield Violation(
                "charge", f"{attempt}: {request} {tokens}, ran {usage.get(attempt)}"
            )


def check_single_executions(run):
    """Check that non-repeatable requests, and all attempts, ran at most once."""
    counts = Counter(e.request for e in run.executions if not e.repeatable)
    counts.update(e.attempt for e in run.executions)
    for name, count in counts.items():
        if count > 1:
            yield Violation("ran twice", f"{name} ran {count} times")


def check_answers(run):
    """Check that a call gets one reply, and complete responses are its own."""
    answers = defaultdict(set)
    for execution in run.executions:
        answers[execution.request].add(execution.answer)
    for reply in run.replies:
        looks_complete = reply.kind == "answer" and reply.whole
        if looks_complete and reply.body not in answers[reply.request]:
            yield Violation("answer", f"{reply.call} got {reply.body[:60]!r}")
    for call, count in Counter(reply.call for reply in run.replies).items():
        if count > 1:
            yield Violation("replies", f"{call} got {count}")


def check_refusals(run):
    """Check that a call refused as not run has no execution, then or later."""
    ran = {execution.call for execution in run.executions}
    for reply in run.replies:
        if reply.kind == "refused" and reply.call in ran:
            yield Violation("refusal", f"{reply.call} was refused as not run, but ran")
