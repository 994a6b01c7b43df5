"""Quota records of granted tokens in a log that all VMs share.

A customer's quota record is the number of tokens of its prepaid total that were
granted to VMs so far. A VM draws tokens by raising it and returns tokens by lowering
it. A change is a conditional append, which succeeds only if its partition still ends
where this VM has read it. Of concurrent changes to a partition only one therefore
succeeds, and each change is based on the newest records.

Drawn tokens are spent only after the change that granted them was acknowledged or
read back. Tokens are returned only if no lease snapshot can count them any more. A
change that got no response may still be appended later, so its outcome is read from
the log: once its offset holds a record, that is either this change or another one, and
in the latter case this change can no longer be appended.

If another program has written a record without a valid number of grants, nothing is
drawn or returned for its customer until an operator has written a valid one: the
number before it may be outdated, and a guess could overspend the total. Other
customers of the partition aren't affected.
"""

from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.errors import LogUnavailableError, RecordsExpiredError
from lavendershift.prepaid import PrepaidAccount
from lavendershift.quotalogs import DrawRefusedError, QuotaLog, QuotaRecord, SwapResult
from lavendershift.restoredgrants import CONFIRMATION_TIME, KnownGrants
from lavendershift.storehistories import StoreRestoredError
from lavendershift.tokenreturns import ReleasedTokens, SnapshotNotStoredError

# Grants that a restore has lost are written again in appends of this many records, so
# that those of 95,000 budgets don't exceed the store's limit on an append.
MAX_LOST_RECORDS = 500
MAX_REPAIRS = 40  # appends of lost grants, won or lost, after which a round ends


# Debits tokens that may then be returned; raises ``LogUnavailableError`` if it can't.
Release = Callable[[Mapping[str, int]], Awaitable[ReleasedTokens]]


# Asks other VMs for grants beyond the known ones, which the store in an era may lack.
InquiryListener = Callable[[Mapping[str, int], int], None]


class _Change(NamedTuple):
    """Tokens to draw, and tokens to return."""

    draws: Mapping[str, int]
    returns: ReleasedTokens | None

    def list_deltas(self) -> dict[str, int]:
        """Return the changes of the numbers of grants."""
        returned = self.returns.tokens if self.returns else {}
        return {**self.draws, **{c: -tokens for c, tokens in returned.items()}}


class _PendingChange(NamedTuple):
    """A change that was sent for ``offset``, with an unknown outcome.

    ``granted`` holds the numbers of grants that it raises or lowers.
    """

    offset: int
    change_id: str
    change: _Change
    granted: Mapping[str, int]


class QuotaRecords:
    """The quota records of one partition, and this VM's changes to them.

    ``on_draw`` is called with customer, tokens and the new total of grants, and
    ``on_invalid`` with customer and reason for a record that can't be decoded. The
    newest records of the customers ``invalid`` are such records. ``on_inquiry`` is
    called with the known grants to ask other VMs about, and the store's era.
    ``read_at`` is the time at which the records were last known to be the newest.
    """

    def __init__(
        self,
        clock: Clock,
        log: QuotaLog,
        name: str,
        find_account: Callable[[str], PrepaidAccount],
        on_draw: Callable[[str, int, int], None],
        on_invalid: Callable[[str, str], None] = lambda customer, reason: None,
    ) -> None:
        self._clock = clock
        self._log = log
        self._name = name
        self._find_account = find_account
        self._on_draw = on_draw
        self._on_invalid = on_invalid
        self.invalid: set[str] = set()
        self.on_inquiry: InquiryListener = lambda granted, era: None
        self._was_read = False
        self._grants = KnownGrants(clock)
        self.granted = self._grants.granted
        self.read_at: timedelta | None = None
        self._end: int | None = None
        self._change_count = 0
        self._pending: list[_PendingChange] = []

    def is_older_than(self, age: timedelta) -> bool:
        """Return whether the records are older than ``age``.

        While the outcome of a change is unknown they always count as older.
        """
        if self.read_at is None or self._pending or self.has_lost_grants:
            return True
        return self._clock.elapsed() - self.read_at > age

    @property
    def has_lost_grants(self) -> bool:
        """Whether a restored store may lack grants that are known here."""
        if self._grants.lost:
            return True
        if not self._was_read:
            return self._grants.has_told_before(self._log.newest_history)
        return self._log.is_restored

    def find_draw_wait(self, customer: str) -> timedelta:
        """Return how long nothing can be drawn for ``customer`` after a restore."""
        if self._log.is_restored and self._was_read:
            return CONFIRMATION_TIME
        return self._grants.find_wait(customer)

    async def sync(self) -> None:
        """Read the records up to the end of the log, and write lost ones again."""
        await self._read()
        for _ in range(MAX_REPAIRS):
            if not self._grants.lost:
                return
            await self._write_lost()
        raise LogUnavailableError("other changes won the races for lost grants")

    async def _write_lost(self) -> None:
        """Write grants again that a restore of the store has lost."""
        assert self._end is not None
        lost = list(self._grants.lost.items())[:MAX_LOST_RECORDS]
        self._change_count += 1
        change_id = f"{self._name}/{self._change_count}"
        records = [
            QuotaRecord(
                customer, granted, change_id, era=self._grants.era, is_settled=False
            )
            for customer, granted in lost
        ]
        result = await self._log.swap(self._end, records)
        if result is SwapResult.REFUSED:
            raise DrawRefusedError("the store refused an append of lost grants")
        if result is SwapResult.UNKNOWN:
            raise self._make_unknown_error("lost grants")
        await self._read()

    def _make_unknown_error(self, records: str) -> LogUnavailableError:
        """Return the error for an append of ``records`` with an unknown outcome."""
        if self._log.is_restored:
            return StoreRestoredError(f"restored during the append of {records}")
        return LogUnavailableError(f"no response to the append of {records}")

    def note_told(self, customer: str, granted: int, era: int) -> None:
        """Note the grants after a draw of another VM, in case a restore loses it."""
        self._grants.note_told(customer, granted, era)

    def note_lost(self, customer: str, granted: int, era: int) -> None:
        """Note grants that the store in ``era`` may lack, as another VM says."""
        if era == self.era:
            self._grants.raise_lost(customer, granted)

    def find_unrecorded(self, customer: str, era: int, is_same_store: bool) -> int:
        """Return the known grants if the store in ``era`` may lack them, or else 0."""
        if is_same_store and era == self.era and not self._grants.lost:
            return 0
        return self._grants.find_known(customer)

    @property
    def era(self) -> int:
        """The era of the store from which the records were read."""
        return self._grants.era

    async def _read(self) -> None:
        try:
            await self._read_records()
        except StoreRestoredError:
            await self._read_records()

    async def _read_records(self) -> None:
        started = self._clock.elapsed()
        if self._log.is_restored:
            self._reset()
        if self._end is None:
            records, end = await self._log.read_newest()
            self._grants.begin(self._log.history)
            for record in records:
                self._store_quota(record)
            self._end = end
        try:
            records = await self._log.read_records(self._end)
        except RecordsExpiredError:
            self._reset()
            raise LogUnavailableError(
                "quota records expired before they were read"
            ) from None
        for offset, record in enumerate(records, self._end):
            self._apply(offset, record)
        self._end += len(records)
        self.read_at = started
        self._grants.note_reading(started)
        self._was_read = True

    async def change(self, deltas: Mapping[str, int], release: Release) -> bool:
        """Append changes; return false if they have to be planned again.

        That is so if another VM's append came first, and if more grants became known,
        or the store was restored, during ``release``.

        ``release`` debits the tokens to return. While other VMs win the races for the
        lease snapshots, tokens are drawn but not returned. Nothing is changed while
        grants that a restore has lost may be unrecorded. Raises
        ``LogUnavailableError``, or ``DrawRefusedError`` if the store refuses the
        append.
        """
        assert self._end is not None
        deltas = self._bound_returns(deltas)
        self._inquire([c for c, delta in deltas.items() if delta > 0])
        deltas = {
            c: delta
            for c, delta in deltas.items()
            if self._grants.is_settled(c) and (delta < 0 or self._grants.is_answered(c))
        }
        if not deltas:
            return True
        end, started = self._end, self._clock.elapsed()
        self._change_count += 1
        change_id = f"{self._name}/{self._change_count}"
        granted = {customer: self.granted.get(customer, 0) for customer in deltas}
        change = await self._prepare(deltas, release)
        if self._log.is_restored or self._list_raised(granted):
            self._undo(change)
            return False
        records = [
            QuotaRecord(
                customer, granted[customer] + delta, change_id, era=self._grants.era
            )
            for customer, delta in change.list_deltas().items()
        ]
        pending = _PendingChange(end, change_id, change, granted)
        self._pending.append(pending)
        result = await self._log.swap(end, records)
        if result is SwapResult.UNKNOWN:
            raise self._make_unknown_error("quota records")
        self._pending.remove(pending)
        if result is not SwapResult.DONE:
            self._undo(change)
            if result is SwapResult.REFUSED:
                raise DrawRefusedError("the store refused an append of quota records")
            return False
        raised = self._list_raised(granted)
        for offset, record in enumerate(records, end):
            self._apply(offset, record)
        self._end = end + len(records)
        self.read_at = started
        self._credit(change, raised)
        return True

    def _inquire(self, customers: list[str]) -> None:
        """Ask other VMs for lost grants before tokens of ``customers`` are drawn."""
        granted = self._grants.begin_inquiry(customers)
        if granted:
            self.on_inquiry(granted, self._grants.era)

    def _list_raised(self, granted: Mapping[str, int]) -> set[str]:
        """Return the customers with more grants than ``granted`` by now."""
        return {c for c, number in granted.items() if self.granted.get(c, 0) > number}

    async def _prepare(self, deltas: Mapping[str, int], release: Release) -> _Change:
        draws = {customer: delta for customer, delta in deltas.items() if delta > 0}
        returns = {customer: -delta for customer, delta in deltas.items() if delta < 0}
        if not returns:
            return _Change(draws, None)
        try:
            return _Change(draws, await release(returns))
        except SnapshotNotStoredError:
            if not draws:
                raise
            return _Change(draws, None)  # returns are planned again

    def exceeds_grants(self, deltas: Mapping[str, int]) -> bool:
        """Return whether ``deltas`` return more tokens than are granted.

        The records are outdated then, as loans of newer grants were returned, or
        wrong.
        """
        return any(self.granted.get(c, 0) + delta < 0 for c, delta in deltas.items())

    def _bound_returns(self, deltas: Mapping[str, int]) -> dict[str, int]:
        """Return ``deltas`` with returns limited to the tokens that are still free.

        Requests may have reserved tokens since the change was planned. Tokens beyond
        those granted aren't returned: the record is too low already, and one below
        zero can't be decoded.
        """
        bounded = {}
        for customer, planned in deltas.items():
            delta = max(planned, -self._find_account(customer).free)
            if self.exceeds_grants({customer: delta}):
                self._on_invalid(customer, "fewer tokens are granted than held")
            elif delta:
                bounded[customer] = delta
        return bounded

    def _undo(self, change: _Change) -> None:
        """Credit the tokens of returns that were not appended."""
        if change.returns is not None:
            for customer, tokens in change.returns.tokens.items():
                self._find_account(customer).credit(tokens)

    def _credit(self, change: _Change, raised: set[str]) -> None:
        """Credit draws that were appended; returns were debited before.

        A draw for a customer in ``raised`` isn't credited: lost grants became known
        during its append, and its tokens may be among them.
        """
        uncredited = raised & change.draws.keys()
        for customer, delta in change.list_deltas().items():
            if customer in uncredited:
                continue
            if delta > 0:
                self._find_account(customer).credit_drawn(delta)
            self._on_draw(customer, delta, self.granted.get(customer, 0))

    def _apply(self, offset: int, record: QuotaRecord) -> None:
        """Apply a record and resolve the pending changes sent for its offset."""
        resolved = [p for p in self._pending if p.offset == offset]
        raised = [self._list_raised(p.granted) for p in resolved]
        self._store_quota(record)
        for pending, customers in zip(resolved, raised, strict=True):
            self._pending.remove(pending)
            if record.change_id == pending.change_id:
                self._credit(pending.change, customers)
            else:
                self._undo(pending.change)

    def _store_quota(self, record: QuotaRecord) -> None:
        if record.granted is None:
            self.invalid.add(record.customer)
            self._grants.forget(record.customer)
            self._on_invalid(record.customer, record.fault)
            return
        self.invalid.discard(record.customer)
        self._grants.note(
            record.customer, record.granted, record.era, record.is_settled
        )

    def _reset(self) -> None:
        """Forget the offset, so that the newest records are read next.

        The outcomes of changes sent for expired offsets, or before a restore of the
        store, can no longer be read; their tokens count as granted but are not
        credited.
        """
        self._end = None
        self.read_at = None
        self._pending.clear()
