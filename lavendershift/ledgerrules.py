"""Rules by which each kind of record changes a ledger.

A rule is registered under the type of record it applies to. It is called only
for a record that is neither a duplicate nor out of its author's sequence. It
returns a ``Verdict`` and never raises: a record that breaks a rule is void for
every reader alike.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple

from lavendershift.incarnations import IncarnationState, Membership
from lavendershift.records import (
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
    Recover,
    Release,
    Return,
    Transfer,
)

if TYPE_CHECKING:
    from lavendershift.ledger import Ledger

RECEIVER_CLOSED = "receiver is closed"


class Verdict(NamedTuple):
    """Outcome of applying a record.

    ``counted`` tells whether the record took effect and ``tokens`` for how much,
    for example after a partial grant. ``reason`` tells why a record is void or
    took effect only in part.
    """

    counted: bool
    tokens: int = 0
    reason: str = ""


FindPrepaid = Callable[[str, int], int]
Rule = Callable[["Ledger", Any, Entry], Verdict]
RULES: dict[type, Rule] = {}


def register_rule(record_type: type) -> Callable[[Rule], Rule]:
    """Return a decorator that registers the rule for ``record_type``."""

    def register(rule: Rule) -> Rule:
        RULES[record_type] = rule
        return rule

    return register


@register_rule(Join)
def apply_join(ledger: "Ledger", record: Join, entry: Entry) -> Verdict:
    """Add an incarnation; an incarnation joins only once."""
    if ledger.find_incarnation(record.incarnation) is not None:
        return Verdict(False, 0, "joined before")
    state = IncarnationState(
        record.vm, record.failure_domain, Membership.JOINED, entry.offset
    )
    seq = int(record.id.rpartition("/")[2])
    ledger.incarnations.join(record.incarnation, seq, state)
    ledger.config_offset = max(ledger.config_offset, record.config_offset)
    return Verdict(True)


@register_rule(Grant)
def apply_grant(ledger: "Ledger", record: Grant, entry: Entry) -> Verdict:
    """Grant the requested tokens, or as many as the budget has left."""
    if not ledger.incarnations.is_joined(record.incarnation):
        return Verdict(False, 0, "incarnation is evicted")
    ledger.config_offset = max(ledger.config_offset, record.config_offset)
    tokens = min(record.tokens, ledger.find_available(record.budget))
    if tokens <= 0:
        return Verdict(False, 0, "budget is exhausted")
    ledger.find_balance(record.budget).grant(record.incarnation, tokens)
    return Verdict(True, tokens, "" if tokens == record.tokens else "in part")


@register_rule(Return)
def apply_return(ledger: "Ledger", record: Return, entry: Entry) -> Verdict:
    """Return unspent tokens to the budget."""
    balance = ledger.find_balance(record.budget)
    tokens = balance.return_tokens(record.incarnation, record.tokens)
    return Verdict(True, tokens, "" if tokens == record.tokens else "in part")


@register_rule(Transfer)
def apply_transfer(ledger: "Ledger", record: Transfer, entry: Entry) -> Verdict:
    """Move tokens between incarnations.

    Sender and receiver may both log the transfer; only the first record counts.
    """
    author = record.id.rpartition("/")[0]
    if author not in (record.sender, record.receiver):
        return Verdict(False, 0, "author is neither sender nor receiver")
    loan = (record.sender, record.loan)
    if loan in ledger.loans:
        return Verdict(False, 0, "repeated")
    fault = _find_transfer_fault(ledger, record)
    if fault:
        return Verdict(False, 0, fault)
    balance = ledger.find_balance(record.budget)
    tokens = balance.transfer(record.sender, record.receiver, record.tokens)
    ledger.loans[loan] = record.receiver
    if author == record.receiver:
        ledger.discard_closed(record.sender)
    return Verdict(True, tokens, "" if tokens == record.tokens else "overdrawn")


def _find_transfer_fault(ledger: "Ledger", record: Transfer) -> str:
    sender = ledger.find_incarnation(record.sender)
    receiver = ledger.find_incarnation(record.receiver)
    if sender is None:
        return "sender is unknown"
    if receiver is None or receiver.state is Membership.CLOSED:
        return RECEIVER_CLOSED
    if not sender.evicted:
        return ""
    if receiver.join_offset > sender.evict_offset:
        return "receiver joined after the sender was evicted"
    if record.receiver in sender.acks:
        return "receiver acknowledged the sender's eviction"
    return ""


@register_rule(Recall)
def apply_recall(ledger: "Ledger", record: Recall, entry: Entry) -> Verdict:
    """Accept a request that holders return idle tokens; no balance changes."""
    if not ledger.incarnations.is_joined(record.incarnation):
        return Verdict(False, 0, "incarnation is evicted")
    return Verdict(True, record.tokens)


@register_rule(Charge)
def apply_charge(ledger: "Ledger", record: Charge, entry: Entry) -> Verdict:
    """Consume an attempt's tokens; the first charge of a request also bills it."""
    return _consume(ledger, record, entry)


@register_rule(Claim)
def apply_claim(ledger: "Ledger", record: Claim, entry: Entry) -> Verdict:
    """Assign a request that must not run twice to the first claimant."""
    if not ledger.incarnations.is_joined(record.incarnation):
        return Verdict(False, 0, "incarnation is evicted")
    reason = ledger.requests.claim(record, entry.offset, ledger.time_ms)
    return Verdict(not reason, 0, reason)


@register_rule(Abandon)
def apply_abandon(ledger: "Ledger", record: Abandon, entry: Entry) -> Verdict:
    """Free the key of a claim that its claimant never dispatched."""
    freed = ledger.requests.abandon(record.request, record.incarnation, ledger.time_ms)
    return Verdict(freed, 0, "" if freed else "no open claim of the incarnation")


@register_rule(Outcome)
def apply_outcome(ledger: "Ledger", record: Outcome, entry: Entry) -> Verdict:
    """Store the claimant's response and bill the request.

    A void outcome still consumes its tokens.
    """
    if not ledger.requests.accepts_outcome(record):
        verdict = _consume(ledger, record, entry)
        reason = "not the open claim of the incarnation"
        return Verdict(False, verdict.tokens, reason)
    verdict = _consume(ledger, record, entry)
    ledger.requests.set_outcome(record, ledger.time_ms)
    return verdict._replace(counted=True)


@register_rule(Recover)
def apply_recover(ledger: "Ledger", record: Recover, entry: Entry) -> Verdict:
    """Charge an evicted incarnation for an attempt whose charge it did not log."""
    state = ledger.find_incarnation(record.incarnation)
    if state is None or not state.evicted:
        return Verdict(False, 0, "incarnation is not evicted")
    return _consume(ledger, record, entry)


def _consume(
    ledger: "Ledger", record: Charge | Outcome | Recover, entry: Entry
) -> Verdict:
    if ledger.requests.is_charged(record.request, record.attempt):
        return Verdict(False, 0, "attempt is charged")
    balance = ledger.find_balance(record.budget)
    tokens = balance.consume(record.incarnation, record.tokens)
    if ledger.requests.add_charge(record, tokens, ledger.time_ms):
        balance.billed += tokens
    return Verdict(True, tokens, "" if tokens == record.tokens else "overdrawn")


@register_rule(Evict)
def apply_evict(ledger: "Ledger", record: Evict, entry: Entry) -> Verdict:
    """Evict an incarnation, which bars it from new grants and claims."""
    if ledger.incarnations.evict(record.incarnation, entry.offset):
        return Verdict(True)
    return Verdict(False, 0, "unknown or evicted before")


@register_rule(EvictAck)
def apply_evict_ack(ledger: "Ledger", record: EvictAck, entry: Entry) -> Verdict:
    """Record that an incarnation accepts no more transfers from an evicted one.

    An operator may acknowledge for an incarnation that is itself not live.
    """
    is_own = record.id.rpartition("/")[0] == record.incarnation
    if not is_own and ledger.incarnations.is_joined(record.incarnation):
        return Verdict(False, 0, "a live incarnation acknowledges by itself")
    if ledger.incarnations.acknowledge(record.evicted, record.incarnation):
        return Verdict(True)
    return Verdict(False, 0, "not evicted or acknowledged before")


@register_rule(Release)
def apply_release(ledger: "Ledger", record: Release, entry: Entry) -> Verdict:
    """Free the in-doubt tokens of an evicted incarnation."""
    state = ledger.find_incarnation(record.incarnation)
    if state is None or not state.evicted:
        return Verdict(False, 0, "incarnation is not evicted")
    missing = ledger.incarnations.find_missing_acks(record.incarnation)
    if missing:
        return Verdict(False, 0, f"not acknowledged by {', '.join(missing)}")
    balance = ledger.find_balance(record.budget)
    tokens = balance.release(record.incarnation, record.tokens)
    ledger.discard_closed(record.incarnation)
    return Verdict(True, tokens, "" if tokens == record.tokens else "in part")


@register_rule(Close)
def apply_close(ledger: "Ledger", record: Close, entry: Entry) -> Verdict:
    """Return an incarnation's unspent tokens and close it."""
    tokens = 0
    for unspent in record.unspent:
        balance = ledger.find_balance(unspent.budget)
        tokens += balance.return_tokens(record.incarnation, unspent.tokens)
    ledger.incarnations.close(record.incarnation)
    ledger.discard_closed(record.incarnation)
    return Verdict(True, tokens)
