"""What each kind of record does to a ledger.

A rule is filed by the type of record it applies to and is called only for a
record that is neither a repeat nor out of its author's sequence. It returns a
``Verdict`` and never raises: a record that breaks a rule is void for every
reader alike.
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
    """What the fold made of a record.

    ``tokens`` is the amount that took effect, for example of a partial grant.
    ``reason`` says why a record is void or counted only in part.
    """

    counted: bool
    tokens: int = 0
    reason: str = ""


FindPrepaid = Callable[[str, int], int]
Rule = Callable[["Ledger", Any, Entry], Verdict]
RULES: dict[type, Rule] = {}


def register_rule(record_type: type) -> Callable[[Rule], Rule]:
    """Return a decorator that files the rule for a type of record."""

    def register(rule: Rule) -> Rule:
        RULES[record_type] = rule
        return rule

    return register


@register_rule(Join)
def fold_join(ledger: "Ledger", record: Join, entry: Entry) -> Verdict:
    """Add an incarnation; it can join once."""
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
def fold_grant(ledger: "Ledger", record: Grant, entry: Entry) -> Verdict:
    """Grant what the budget has left, up to what was asked for."""
    if not ledger.incarnations.is_joined(record.incarnation):
        return Verdict(False, 0, "incarnation is evicted")
    ledger.config_offset = max(ledger.config_offset, record.config_offset)
    tokens = min(record.tokens, ledger.find_available(record.budget))
    if tokens <= 0:
        return Verdict(False, 0, "budget is exhausted")
    ledger.find_balance(record.budget).grant(record.incarnation, tokens)
    return Verdict(True, tokens, "" if tokens == record.tokens else "in part")


@register_rule(Return)
def fold_return(ledger: "Ledger", record: Return, entry: Entry) -> Verdict:
    """Take unspent tokens back into the budget."""
    balance = ledger.find_balance(record.budget)
    tokens = balance.return_tokens(record.incarnation, record.tokens)
    return Verdict(True, tokens, "" if tokens == record.tokens else "in part")


@register_rule(Transfer)
def fold_transfer(ledger: "Ledger", record: Transfer, entry: Entry) -> Verdict:
    """Move tokens between incarnations, once whoever of the two logged it."""
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
        ledger.collapse(record.sender)
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
def fold_recall(ledger: "Ledger", record: Recall, entry: Entry) -> Verdict:
    """Let the holders of idle tokens see that they are wanted."""
    if not ledger.incarnations.is_joined(record.incarnation):
        return Verdict(False, 0, "incarnation is evicted")
    return Verdict(True, record.tokens)


@register_rule(Charge)
def fold_charge(ledger: "Ledger", record: Charge, entry: Entry) -> Verdict:
    """Consume an attempt's tokens; the first attempt bills its request."""
    return _consume(ledger, record, entry)


@register_rule(Claim)
def fold_claim(ledger: "Ledger", record: Claim, entry: Entry) -> Verdict:
    """Give a request that may not be repeated to its first claimant."""
    if not ledger.incarnations.is_joined(record.incarnation):
        return Verdict(False, 0, "incarnation is evicted")
    reason = ledger.requests.claim(record, entry.offset, ledger.time_ms)
    return Verdict(not reason, 0, reason)


@register_rule(Abandon)
def fold_abandon(ledger: "Ledger", record: Abandon, entry: Entry) -> Verdict:
    """Free the key of a claim whose claimant never dispatched it."""
    freed = ledger.requests.abandon(record.request, record.incarnation, ledger.time_ms)
    return Verdict(freed, 0, "" if freed else "no open claim of the incarnation")


@register_rule(Outcome)
def fold_outcome(ledger: "Ledger", record: Outcome, entry: Entry) -> Verdict:
    """Record the claimant's answer and bill it.

    The tokens of a void outcome were consumed all the same.
    """
    if not ledger.requests.accepts_outcome(record):
        verdict = _consume(ledger, record, entry)
        reason = "not the open claim of the incarnation"
        return Verdict(False, verdict.tokens, reason)
    verdict = _consume(ledger, record, entry)
    ledger.requests.set_outcome(record, ledger.time_ms)
    return verdict._replace(counted=True)


@register_rule(Recover)
def fold_recover(ledger: "Ledger", record: Recover, entry: Entry) -> Verdict:
    """Charge an attempt that an evicted incarnation did not log itself."""
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
def fold_evict(ledger: "Ledger", record: Evict, entry: Entry) -> Verdict:
    """End an incarnation's right to new grants and claims."""
    if ledger.incarnations.evict(record.incarnation, entry.offset):
        return Verdict(True)
    return Verdict(False, 0, "unknown or evicted before")


@register_rule(EvictAck)
def fold_evict_ack(ledger: "Ledger", record: EvictAck, entry: Entry) -> Verdict:
    """Note that an incarnation takes no more transfers from an evicted one.

    Of an incarnation that is lost itself an operator may say so.
    """
    own = record.id.rpartition("/")[0] == record.incarnation
    if not own and ledger.incarnations.is_joined(record.incarnation):
        return Verdict(False, 0, "a live incarnation acknowledges by itself")
    if ledger.incarnations.acknowledge(record.evicted, record.incarnation):
        return Verdict(True)
    return Verdict(False, 0, "not evicted or acknowledged before")


@register_rule(Release)
def fold_release(ledger: "Ledger", record: Release, entry: Entry) -> Verdict:
    """Free tokens in doubt of an evicted incarnation."""
    state = ledger.find_incarnation(record.incarnation)
    if state is None or not state.evicted:
        return Verdict(False, 0, "incarnation is not evicted")
    missing = ledger.incarnations.find_missing_acks(record.incarnation)
    if missing:
        return Verdict(False, 0, f"not acknowledged by {', '.join(missing)}")
    balance = ledger.find_balance(record.budget)
    tokens = balance.release(record.incarnation, record.tokens)
    ledger.collapse(record.incarnation)
    return Verdict(True, tokens, "" if tokens == record.tokens else "in part")


@register_rule(Close)
def fold_close(ledger: "Ledger", record: Close, entry: Entry) -> Verdict:
    """Take back what an incarnation has left, and end it."""
    tokens = 0
    for unspent in record.unspent:
        balance = ledger.find_balance(unspent.budget)
        tokens += balance.return_tokens(record.incarnation, unspent.tokens)
    ledger.incarnations.close(record.incarnation)
    ledger.collapse(record.incarnation)
    return Verdict(True, tokens)
