"""Replicated state of a ledger stream.

Every reader applies the same records in offset order under the same rules and
computes the same verdict for each. The order of the log alone resolves
conflicts between routers; no clock, lease or leader is involved::

    ledger = Ledger("ledger-0", find_prepaid)
    for entry in entries:
        verdict = ledger.apply(entry)

The rules are in ``ledgerrules``. The prepaid total of a budget comes from the
configuration, which is another stream. Grants and joins carry the configuration
offset that their author had reached, and the ledger uses the highest one so far,
so that all readers use the same total. A reader must therefore have replayed the
configuration up to ``required_config_offset(entry)`` before it applies the entry.
"""

from collections.abc import Iterable
from datetime import timedelta
from typing import Any, NamedTuple

from lavendershift.balances import Balance, BudgetView
from lavendershift.checkpoints import join_checkpoint, split_checkpoint
from lavendershift.errors import DecodeError
from lavendershift.incarnations import (
    IncarnationState,
    IncarnationTable,
    Membership,
    parse_record_id,
)
from lavendershift.ledgerrules import RULES, FindPrepaid, Verdict
from lavendershift.records import (
    Checkpoint,
    Entry,
    Evict,
    EvictAck,
    Grant,
    Join,
    Record,
    Recover,
    Release,
    find_ledger_stream,
)
from lavendershift.requeststates import RequestRows, RequestState, RequestTable

KEY_RETENTION = timedelta(hours=24)  # default retention of request keys, in log time
STATE_VERSION = 2  # layout of the state in a checkpoint; others are not restored
MAX_CONFIG_STEP = 1_000_000  # largest rise of the cited configuration offset, entries


class LedgerState(NamedTuple):
    """Replayed state in the layout of a checkpoint.

    ``loans`` holds the sender, loan id and receiver of each logged transfer.
    """

    version: int
    shards: int
    next_offset: int
    config_offset: int
    time_ms: int
    incarnations: list[Any]
    requests: RequestRows
    balances: dict[str, list[Any]]
    loans: list[tuple[str, str, str]]
    operator_ids: list[str]


class Ledger:
    """State of one ledger stream after replaying its records.

    ``prepaid`` returns the prepaid tokens of a budget as of a configuration
    offset. ``shards`` is the number of ledger streams.
    """

    def __init__(
        self,
        stream: str,
        prepaid: FindPrepaid,
        shards: int = 1,
        key_retention: timedelta = KEY_RETENTION,
    ) -> None:
        self.stream = stream
        self.shards = shards
        self.key_retention = key_retention
        self.next_offset = 0
        self.config_offset = 0
        self.time_ms = 0
        self.incarnations = IncarnationTable()
        self.requests = RequestTable(key_retention)
        self.balances: dict[str, Balance] = {}
        self.loans: dict[tuple[str, str], str] = {}
        self.operator_ids: dict[str, None] = {}
        self._find_prepaid = prepaid

    def required_config_offset(self, entry: Entry) -> int:
        """Return the configuration offset to reach before applying ``entry``.

        It is 0 for records other than grants and joins, which cite none, and for a
        record that cites an impossible offset, as that record is void.
        """
        record = entry.record
        if isinstance(record, Grant | Join) and not self.cites_impossible_offset(
            record
        ):
            return record.config_offset
        return 0

    def cites_impossible_offset(self, record: Grant | Join) -> bool:
        """Return whether ``record`` cites configuration that cannot exist yet.

        Without this bound one damaged record would block every reader forever,
        since each would wait for a configuration offset that is never written.
        """
        return record.config_offset > self.config_offset + MAX_CONFIG_STEP

    def apply(self, entry: Entry) -> Verdict:
        """Apply the next entry; raises ``ValueError`` for any other offset."""
        if entry.offset != self.next_offset:
            raise ValueError(
                f"entry at offset {entry.offset}, expected offset {self.next_offset}"
            )
        self.next_offset += 1
        self.time_ms = max(self.time_ms, entry.time_ms)
        self._expire()
        record = entry.record
        if isinstance(record, Grant | Join) and self.cites_impossible_offset(record):
            return Verdict(False, 0, "cites configuration that cannot exist")
        rule = RULES.get(type(record))
        if record is None or rule is None:
            return Verdict(False, 0, entry.fault or "not a ledger record")
        fault = self._find_fault(record)
        if fault:
            return Verdict(False, 0, fault)
        return rule(self, record, entry)

    def find_budget(self, budget: str, config_offset: int | None = None) -> BudgetView:
        """Return the balances of ``budget`` as of the last applied entry.

        The prepaid total is as of ``config_offset``, by default the highest
        offset cited so far.
        """
        balance = self.balances.get(budget) or Balance()
        available = self.find_available(budget, config_offset)
        in_doubt = sum(
            tokens
            for incarnation, tokens in balance.held.items()
            if not self.incarnations.is_joined(incarnation)
        )
        return BudgetView(
            available + balance.outstanding,
            available,
            balance.spent,
            balance.billed,
            balance.overdrawn,
            dict(balance.held),
            in_doubt,
        )

    def find_available(self, budget: str, config_offset: int | None = None) -> int:
        """Return the tokens of ``budget`` that may still be granted."""
        balance = self.balances.get(budget)
        outstanding = balance.outstanding if balance else 0
        offset = self.config_offset if config_offset is None else config_offset
        return self._find_prepaid(budget, offset) - outstanding

    def find_held(self, budget: str, incarnation: str) -> int:
        """Return the unspent tokens of ``budget`` that ``incarnation`` holds."""
        balance = self.balances.get(budget)
        return balance.held.get(incarnation, 0) if balance else 0

    def find_request(self, request: str) -> RequestState | None:
        """Return the state of a request key, ``None`` for an unknown one."""
        return self.requests.find(request)

    def find_incarnation(self, incarnation: str) -> IncarnationState | None:
        """Return the state of an incarnation, ``None`` for an unknown one."""
        return self.incarnations.find(incarnation)

    def list_live(self) -> list[str]:
        """Return the incarnations that joined and neither closed nor were evicted."""
        return list(self.incarnations.joined)

    def count_live(self) -> int:
        """Return the number of live incarnations."""
        return len(self.incarnations.joined)

    def find_prepaid(self, budget: str, config_offset: int) -> int:
        """Return the prepaid tokens of ``budget`` as of ``config_offset``."""
        return self._find_prepaid(budget, config_offset)

    def list_holders(self, budget: str) -> list[tuple[str, int]]:
        """Return the live holders of ``budget`` with their unspent tokens."""
        balance = self.balances.get(budget)
        if balance is None:
            return []
        joined = self.incarnations.joined
        return [(name, held) for name, held in balance.held.items() if name in joined]

    def list_budgets(self) -> list[str]:
        """Return the budgets that have ever had a grant."""
        return list(self.balances)

    def find_balance(self, budget: str) -> Balance:
        """Return the mutable balance of ``budget`` for use by the rules."""
        return self.balances.setdefault(budget, Balance())

    def make_checkpoint(self, checkpoint_id: str) -> list[Checkpoint]:
        """Return the replayed state as checkpoint records of bounded size."""
        state = [
            STATE_VERSION,
            self.shards,
            self.next_offset,
            self.config_offset,
            self.time_ms,
            self.incarnations.dump(),
            self.requests.dump(),
            {budget: balance.dump() for budget, balance in self.balances.items()},
            [[*key, receiver] for key, receiver in self.loans.items()],
            list(self.operator_ids),
        ]
        return split_checkpoint(checkpoint_id, self.stream, self.next_offset, state)

    @classmethod
    def restore(
        cls,
        checkpoints: Iterable[Checkpoint],
        prepaid: FindPrepaid,
        key_retention: timedelta = KEY_RETENTION,
    ) -> "Ledger":
        """Return the ledger restored from ``checkpoints``, all parts of one id.

        Raises ``DecodeError`` when a part is missing or the state version differs.
        """
        parts = list(checkpoints)
        state: LedgerState = join_checkpoint(parts, LedgerState)
        if state.version != STATE_VERSION:
            raise DecodeError(f"checkpoint {parts[0].id}", "unknown state version")
        ledger = cls(parts[0].stream, prepaid, state.shards, key_retention)
        ledger.next_offset = state.next_offset
        ledger.config_offset = state.config_offset
        ledger.time_ms = state.time_ms
        ledger.incarnations = IncarnationTable.load(state.incarnations)
        ledger.requests = RequestTable.load(state.requests, key_retention)
        ledger.balances = {
            name: Balance.load(data) for name, data in state.balances.items()
        }
        ledger.loans = {
            (sender, loan): receiver for sender, loan, receiver in state.loans
        }
        ledger.operator_ids = dict.fromkeys(state.operator_ids)
        return ledger

    def discard_closed(self, incarnation: str) -> None:
        """Discard the state of a closed incarnation that holds no tokens."""
        state = self.incarnations.find(incarnation)
        if state is None or state.state is not Membership.CLOSED:
            return
        if any(incarnation in balance.held for balance in self.balances.values()):
            return
        self.incarnations.finish(incarnation, self.time_ms)
        for balance in self.balances.values():
            balance.drop_incarnation(incarnation)
        self.loans = {
            key: receiver
            for key, receiver in self.loans.items()
            if incarnation not in (key[0], receiver)
        }

    def _find_fault(self, record: Record) -> str:
        """Return why ``record`` is void under the rules common to all kinds.

        Returns an empty string if the record breaks none of these rules.
        """
        budget = getattr(record, "budget", None)
        if budget is not None and self._is_foreign(budget):
            return "budget of another stream"
        parsed = parse_record_id(record.id)
        if parsed is not None and parsed.author in self.incarnations.finished:
            return "author is closed"
        if parsed is not None and parsed.author in self.incarnations.states:
            return self._find_sequence_fault(record, parsed.author, parsed.seq)
        if isinstance(record, Join):
            is_own = parsed is not None and parsed.author == record.incarnation
            return "" if is_own else "id is not of the incarnation's own sequence"
        if not _may_be_from_operator(record):
            return "author never joined"
        if record.id in self.operator_ids:
            return "repeated"
        self.operator_ids[record.id] = None
        return ""

    def _find_sequence_fault(self, record: Record, author: str, seq: int) -> str:
        if not self.incarnations.advance(author, seq):
            return "repeated"
        if not self.incarnations.is_open(author):
            return "author is closed"
        subject = getattr(record, "incarnation", author)
        if subject != author and not _may_name_others(record):
            return "id is not of the incarnation's own sequence"
        return ""

    def _is_foreign(self, budget: str) -> bool:
        if self.shards == 1:
            return False
        return find_ledger_stream(budget, self.shards) != self.stream

    def _expire(self) -> None:
        self.requests.expire(self.time_ms)
        limit = self.time_ms - self.key_retention / timedelta(milliseconds=1)
        finished = self.incarnations.finished
        while finished:
            name = next(iter(finished))
            if finished[name] >= limit:
                return
            del finished[name]


def _may_name_others(record: Record) -> bool:
    """Return whether a router may write ``record`` about another incarnation."""
    return isinstance(record, Evict | Release | Recover)


def _may_be_from_operator(record: Record) -> bool:
    """Return whether an operator, who has no incarnation, may write ``record``."""
    return isinstance(record, Evict | EvictAck | Release | Recover)
