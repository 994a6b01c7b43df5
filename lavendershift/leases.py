"""Leases on prepaid tokens, which a restarted process adopts from the previous one.

A process keeps a lease snapshot in the platform's store: the tokens it holds unspent,
and terms that bound how fast it commits them from then on. The next process on the
same VM and boot knows from the clock that counts since boot how long the previous
one can have run after the snapshot, and adopts the tokens that the terms did not
allow it to commit by then. That clock runs through suspensions and restarts with the
VM, and the boot id tells a restart of the VM from a restart of the process. After a
power loss nothing is adopted, as it is unknown how long the previous process ran.

Tokens are returned only once a snapshot without them is known to be stored, see
``tokenreturns``.
"""

import asyncio
import random
from collections.abc import Callable, Mapping
from datetime import datetime, timedelta
from enum import Enum
from pathlib import Path
from typing import NamedTuple, Protocol

from lavendershift.clocks import BootClock
from lavendershift.errors import LogUnavailableError
from lavendershift.prepaid import (
    UNLOCK_PERIOD,
    LeaseTerms,
    PrepaidAccount,
    SpendingLimit,
)
from lavendershift.tokenreturns import ReleasedTokens, SnapshotHistory

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
# Time between snapshots while tokens are held.
SNAPSHOT_INTERVAL = timedelta(milliseconds=400)
# Least fraction of the free tokens that may be committed immediately.
MIN_BURST_FRACTION = 0.1
# Largest fraction of the free tokens that may be committed for one large request.
MAX_REQUEST_BURST_FRACTION = 0.2
RATE_FACTOR = 1.3  # factor on the measured demand, in the lease terms
# Delay before held tokens unlock: two snapshot intervals and a slow call.
UNLOCK_DELAY = timedelta(milliseconds=1200)
# Age of a snapshot beyond which it is not adopted.
MAX_LEASE_AGE = timedelta(seconds=60)
# Largest difference of a snapshot's age between boot and wall clock if neither was
# set.
CLOCK_TOLERANCE = timedelta(seconds=1)
MAX_ATTEMPTS = 5  # attempts at one append, as other VMs append to the partition too
# Snapshots written for one return, each with all its attempts, and the longest pause
# between two of them.
MAX_RELEASE_SNAPSHOTS = 4
MAX_RELEASE_PAUSE = timedelta(milliseconds=40)


class LeaseEntry(NamedTuple):
    """One customer's unspent tokens and the burst and rate of their lease terms.

    The other terms are those of the snapshot: beyond burst and rate, all unspent
    tokens are held back until its unlock delay has passed.
    """

    unspent: int
    burst: float
    rate: float  # rate of the lease terms, in tokens/s


class LeaseSnapshot(NamedTuple):
    """A process's unspent tokens and lease terms at one moment.

    That moment is ``since_boot`` on the clock of ``boot`` and ``written_at`` on the
    wall clock. The unspent tokens unlock over ``unlock_period``, which begins
    ``unlock_delay`` after that moment.
    """

    incarnation: str
    boot: str
    since_boot: timedelta
    written_at: datetime
    entries: Mapping[str, LeaseEntry]
    unlock_delay: timedelta = timedelta()
    unlock_period: timedelta = UNLOCK_PERIOD


class SnapshotResult(Enum):
    """Outcome of an append of a snapshot."""

    DONE = "done"
    MOVED = "moved"  # append at an offset other than the partition's end
    REFUSED = "refused"  # refusal for a reason that an immediate retry would meet again
    UNKNOWN = "unknown"


class LeaseLog(Protocol):
    """The lease snapshots in the store; calls raise ``LogUnavailableError``."""

    async def read(self) -> tuple[LeaseSnapshot | None, int]:
        """Return this VM's newest snapshot and the end of its partition."""
        ...

    async def write(
        self, end: int, snapshot: LeaseSnapshot
    ) -> tuple[SnapshotResult, int]:
        """Append a snapshot if the partition ends at ``end``; return its end."""
        ...


def read_boot_id(path: Path = BOOT_ID_PATH) -> str:
    """Return the id of the VM's boot, empty if there is none."""
    try:
        return path.read_text(encoding="ascii").strip()
    except OSError:
        return ""


def find_lifetime(
    snapshot: LeaseSnapshot, boot: str, at: timedelta, now: datetime
) -> timedelta | None:
    """Return how long the writer of ``snapshot`` can have run after it.

    Returns ``None`` if that is unknown: the boot differs, or the clock since boot and
    the wall clock disagree, as after a power loss or when one of them was set. An age
    below zero or above ``MAX_LEASE_AGE`` is unknown as well.
    """
    boot_age, wall_age = at - snapshot.since_boot, now - snapshot.written_at
    if not boot or snapshot.boot != boot or abs(boot_age - wall_age) > CLOCK_TOLERANCE:
        return None
    if not timedelta() <= boot_age <= MAX_LEASE_AGE:
        return None
    return max(boot_age, wall_age)


def find_adoptable(
    snapshot: LeaseSnapshot, boot: str, at: timedelta, now: datetime
) -> dict[str, int]:
    """Return the tokens that the ended writer of ``snapshot`` can't have committed."""
    lifetime = find_lifetime(snapshot, boot, at, now)
    if lifetime is None:
        return {}
    adoptable = {}
    for customer, entry in snapshot.entries.items():
        terms = LeaseTerms(
            entry.burst,
            entry.rate,
            entry.unspent,
            snapshot.unlock_delay,
            snapshot.unlock_period,
        )
        left = entry.unspent - int(terms.find_allowance(lifetime)) - 1
        if left > 0:
            adoptable[customer] = left
    return adoptable


class LeaseBook:
    """Writes this process's lease snapshots and adopts the previous one's tokens.

    ``on_adopt`` is called with a customer and the adopted tokens, ``on_loss`` with the
    unspent tokens that stay granted because the VM was started anew.
    """

    def __init__(
        self,
        clock: BootClock,
        log: LeaseLog,
        incarnation: str,
        boot: str,
        on_adopt: Callable[[str, int], None] = lambda customer, tokens: None,
        on_loss: Callable[[int], None] = lambda tokens: None,
    ) -> None:
        self._clock = clock
        self._log = log
        self._incarnation = incarnation
        self._boot = boot
        self._on_adopt = on_adopt
        self._on_loss = on_loss
        self._started_since_boot, self._started_at = clock.since_boot(), clock.now()
        self._end: int | None = None
        self._history = SnapshotHistory()
        self._lock = asyncio.Lock()
        self._rng = random.Random(incarnation)

    async def adopt(self, find_account: Callable[[str], PrepaidAccount]) -> None:
        """Adopt the tokens of the previous process; call before any are held.

        This process's first snapshot has the adopted tokens and replaces the previous
        one, so that no other process can adopt them.
        """
        while self._end is None:
            old, end = await self._log.read()
            if old is not None and old.incarnation == self._incarnation:
                # An earlier append that got no response took effect.
                adopted = {c: e.unspent for c, e in old.entries.items()}
                self._history.confirm(self._history.begin(adopted))
                self._end = end
            else:
                # The previous process ended before this one started.
                started = self._started_since_boot, self._started_at
                adopted = find_adoptable(old, self._boot, *started) if old else {}
                if not await self._replace(end, adopted):
                    continue
                if old and find_lifetime(old, self._boot, *started) is None:
                    self._note_loss(old)
            for customer, tokens in adopted.items():
                account = find_account(customer)
                account.credit(tokens)
                # That snapshot allows no spending before the next one.
                no_spending = LeaseTerms(0.0, 0.0)
                account.limits = [SpendingLimit(self._clock.since_boot(), no_spending)]
                self._on_adopt(customer, tokens)

    def _note_loss(self, old: LeaseSnapshot) -> None:
        """Report tokens of which it is unknown whether they were spent."""
        tokens = sum(entry.unspent for entry in old.entries.values())
        if tokens:
            self._on_loss(tokens)

    async def _replace(self, end: int, adopted: dict[str, int]) -> bool:
        entries = {c: LeaseEntry(tokens, 0.0, 0.0) for c, tokens in adopted.items()}
        snapshot = self._make_snapshot(entries)
        result, new_end = await self._log.write(end, snapshot)
        if result in (SnapshotResult.UNKNOWN, SnapshotResult.REFUSED):
            raise LogUnavailableError(f"append of a lease snapshot: {result.value}")
        if result is SnapshotResult.MOVED:
            return False
        self._history.confirm(self._history.begin(adopted))
        self._end = new_end
        return True

    async def record(
        self, accounts: Mapping[str, PrepaidAccount], wanted: Mapping[str, int]
    ) -> None:
        """Write a snapshot of ``accounts``; raises ``LogUnavailableError``.

        Nothing is written while no tokens are held and no snapshot that may be the
        newest has any. A snapshot that loses its races is left out, as a newer one
        follows. The snapshot counts the ``wanted`` tokens as spent, because waiting
        requests commit them as soon as it is written.
        """
        async with self._lock:
            is_held = any(a.free or a.reserved for a in accounts.values())
            if is_held or self._history.counts_tokens:
                await self._store(accounts, wanted)

    async def release(
        self,
        tokens: Mapping[str, int],
        accounts: Mapping[str, PrepaidAccount],
        wanted: Mapping[str, int],
    ) -> ReleasedTokens:
        """Debit ``tokens``, and write a snapshot without them if one may count them.

        Raises ``LogUnavailableError`` if none is known to be stored, or
        ``SnapshotNotStoredError`` if that is because of lost races; ``accounts`` are
        as before then.
        """
        for customer, count in tokens.items():
            accounts[customer].credit(-count)
        debit = self._history.debit(tokens)
        try:
            async with self._lock:
                for attempt in range(MAX_RELEASE_SNAPSHOTS):
                    if not self._history.may_count(debit):
                        break
                    if attempt:
                        pause = MAX_RELEASE_PAUSE * self._rng.random()
                        await asyncio.sleep(pause.total_seconds())
                    await self._store(accounts, wanted)
                return ReleasedTokens(self._history, debit)
        except LogUnavailableError:
            for customer, count in tokens.items():
                accounts[customer].credit(count)
            raise

    async def _store(
        self, accounts: Mapping[str, PrepaidAccount], wanted: Mapping[str, int]
    ) -> None:
        """Write a snapshot; raises ``LogUnavailableError``, but not for lost races."""
        now = self._clock.elapsed()
        at = self._clock.since_boot()
        entries, limits = {}, {}
        for customer, account in accounts.items():
            ahead = min(wanted.get(customer, 0), account.free)
            unspent = account.free - ahead
            burst, rate = find_lease_terms(account, now)
            entries[customer] = LeaseEntry(unspent, burst, rate)
            terms = LeaseTerms(burst + ahead, rate, unspent, UNLOCK_DELAY)
            limits[customer] = SpendingLimit(at, terms)
        snapshot = self._make_snapshot(entries, at)
        number = self._history.begin({c: e.unspent for c, e in entries.items()})
        for customer, limit in limits.items():
            accounts[customer].limits.append(limit)
        result = await self._write(snapshot)
        if result is SnapshotResult.UNKNOWN:
            raise LogUnavailableError("no response to the append of a lease snapshot")
        if result is SnapshotResult.DONE:
            self._history.confirm(number)
            for customer, limit in limits.items():
                accounts[customer].limits = [limit]
            return
        # Nothing was appended, so the limits of this snapshot do not apply.
        self._history.discard(number)
        for customer, limit in limits.items():
            accounts[customer].limits.remove(limit)
        if result is SnapshotResult.REFUSED:
            raise LogUnavailableError("the store refused a lease snapshot")

    async def _write(self, snapshot: LeaseSnapshot) -> SnapshotResult:
        """Append a snapshot; retry if others have appended to the partition."""
        assert self._end is not None
        result = SnapshotResult.MOVED
        for _ in range(MAX_ATTEMPTS):
            result, end = await self._log.write(self._end, snapshot)
            if result is SnapshotResult.UNKNOWN:
                break
            self._end = end
            if result is not SnapshotResult.MOVED:
                break
        return result

    def _make_snapshot(
        self, entries: Mapping[str, LeaseEntry], at: timedelta | None = None
    ) -> LeaseSnapshot:
        if at is None:
            at = self._clock.since_boot()
        written_at = self._clock.now()
        return LeaseSnapshot(
            self._incarnation, self._boot, at, written_at, entries, UNLOCK_DELAY
        )


def find_lease_terms(account: PrepaidAccount, now: timedelta) -> tuple[float, float]:
    """Return the burst and the rate of the lease terms for an account.

    Tokens that the terms allow to be committed are lost with the process, so they
    allow a large request only a fraction of the free tokens. Demand beyond the terms
    waits until a new snapshot is written.
    """
    large = min(account.largest_request, account.free * MAX_REQUEST_BURST_FRACTION)
    burst = max(large, account.free * MIN_BURST_FRACTION)
    return burst, account.find_rate(now) * RATE_FACTOR
