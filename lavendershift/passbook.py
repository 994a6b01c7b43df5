"""What a restarted process takes over of its predecessor's prepaid tokens.

A process keeps a page in the platform's store: the tokens it holds unspent,
and a promise of how fast it will commit them from then on. Its successor on
the same VM and boot knows, by the clock that counts since boot, how long the
predecessor can have lived after the page, and adopts what the promise left.
The clock runs through suspensions and starts anew with the VM, and the id of
the boot tells a restart of the VM from a restart of the process. After a loss
of power nothing is adopted, since how long the predecessor ran is unknown.
"""

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

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
SNAPSHOT_INTERVAL = timedelta(milliseconds=400)  # while tokens are held
HELD_BURST = 0.1  # of the free tokens, which may be committed at once
LARGE_BURST = 0.2  # of the free tokens, for one large request at once
RATE_FACTOR = 1.3  # times the demand that is measured
UNLOCK_DELAY = timedelta(milliseconds=1200)  # two pages, and a slow call
LONGEST_LIFE = timedelta(seconds=60)  # after a page; beyond it nothing is adopted
CLOCK_TOLERANCE = timedelta(seconds=1)  # between clocks that were never set
MAX_TRIES = 5  # at one page, against changes by others in the same partition


class Entry(NamedTuple):
    """One customer's unspent tokens, and the promise that goes with them.

    The rest of the promise is in the page: all unspent tokens are held, and
    the page says when they open.
    """

    unspent: int
    burst: float
    rate: float  # tokens/s


class Page(NamedTuple):
    """A process's page, made ``at`` the time since ``boot`` and ``written`` by day.

    The unspent tokens open ``unlock_delay`` after it, within ``unlock_period``.
    """

    incarnation: str
    boot: str
    at: timedelta
    written: datetime
    entries: Mapping[str, Entry]
    unlock_delay: timedelta = timedelta()
    unlock_period: timedelta = UNLOCK_PERIOD


class PageResult(Enum):
    """What came of writing a page."""

    DONE = "done"
    MOVED = "moved"
    REFUSED = "refused"  # for a reason that a repeat at once would meet again
    UNKNOWN = "unknown"


class PassbookLog(Protocol):
    """The pages in the store; calls raise ``LogUnavailableError``."""

    async def read(self) -> tuple[Page | None, int]:
        """Return this VM's newest page and the end of its partition."""
        ...

    async def write(self, end: int, page: Page) -> tuple[PageResult, int]:
        """Write a page if the partition ends at ``end``; returns its end."""
        ...


def read_boot_id(path: Path = BOOT_ID_PATH) -> str:
    """Return the id of the VM's boot, empty where there is none."""
    try:
        return path.read_text(encoding="ascii").strip()
    except OSError:
        return ""


def find_life(page: Page, boot: str, at: timedelta, now: datetime) -> timedelta | None:
    """Return how long the writer of ``page`` can have lived after it.

    ``None`` where that is unknown: the boot is another one, or the time since boot
    and the time of day disagree, as after a loss of power or where one was set.
    """
    since_boot, by_day = at - page.at, now - page.written
    if not boot or page.boot != boot or abs(since_boot - by_day) > CLOCK_TOLERANCE:
        return None
    if not timedelta() <= since_boot <= LONGEST_LIFE:
        return None
    return max(since_boot, by_day)


def find_adoptable(
    page: Page, boot: str, at: timedelta, now: datetime
) -> dict[str, int]:
    """Return the tokens that the dead writer of ``page`` can't have committed."""
    lived = find_life(page, boot, at, now)
    if lived is None:
        return {}
    adoptable = {}
    for customer, entry in page.entries.items():
        promise = LeaseTerms(
            entry.burst,
            entry.rate,
            entry.unspent,
            page.unlock_delay,
            page.unlock_period,
        )
        left = entry.unspent - int(promise.find_allowance(lived)) - 1
        if left > 0:
            adoptable[customer] = left
    return adoptable


class LeaseBook:
    """Writes this process's pages and adopts its predecessor's tokens."""

    def __init__(
        self,
        clock: BootClock,
        log: PassbookLog,
        incarnation: str,
        boot: str,
        on_adopt: Callable[[str, int], None] = lambda customer, tokens: None,
    ) -> None:
        self._clock = clock
        self._log = log
        self._incarnation = incarnation
        self._boot = boot
        self._on_adopt = on_adopt
        self._started_at, self._started = clock.since_boot(), clock.now()
        self._end: int | None = None
        self._is_empty = False  # the newest page tells of no tokens

    async def adopt(self, find_account: Callable[[str], PrepaidAccount]) -> None:
        """Take over what the predecessor left; call before anything is held.

        The page that takes the tokens over replaces the predecessor's, so that
        nobody else can adopt them.
        """
        while self._end is None:
            old, end = await self._log.read()
            if old is not None and old.incarnation == self._incarnation:
                # An earlier try without an answer took effect.
                adopted = {c: e.unspent for c, e in old.entries.items()}
                self._end = end
            else:
                # The predecessor ended before this process began.
                began = self._started_at, self._started
                adopted = find_adoptable(old, self._boot, *began) if old else {}
                if not await self._replace(end, adopted):
                    continue
            for customer, tokens in adopted.items():
                account = find_account(customer)
                account.credit(tokens)
                # The page promised that nothing of it is spent before the next one.
                nothing = LeaseTerms(0.0, 0.0)
                account.limits = [SpendingLimit(self._clock.since_boot(), nothing)]
                self._on_adopt(customer, tokens)

    async def _replace(self, end: int, adopted: dict[str, int]) -> bool:
        entries = {c: Entry(tokens, 0.0, 0.0) for c, tokens in adopted.items()}
        page = self._make_page(entries)
        result, new_end = await self._log.write(end, page)
        if result in (PageResult.UNKNOWN, PageResult.REFUSED):
            raise LogUnavailableError(f"a page: {result.value}")
        if result is PageResult.MOVED:
            return False
        self._end = new_end
        return True

    async def record(
        self, accounts: Mapping[str, PrepaidAccount], wanted: Mapping[str, int]
    ) -> None:
        """Write a page of ``accounts``; raises ``LogUnavailableError``.

        One that would tell again that nothing is held is not written.
        ``wanted`` tokens wait to be committed at once, so the page counts them
        as spent already.
        """
        if self._is_empty and not any(a.free or a.reserved for a in accounts.values()):
            return
        now = self._clock.elapsed()
        at = self._clock.since_boot()
        entries, limits = {}, {}
        for customer, account in accounts.items():
            ahead = min(wanted.get(customer, 0), account.free)
            unspent = account.free - ahead
            burst, rate = find_lease_terms(account, now)
            entries[customer] = Entry(unspent, burst, rate)
            promise = LeaseTerms(burst + ahead, rate, unspent, UNLOCK_DELAY)
            limits[customer] = SpendingLimit(at, promise)
        page = self._make_page(entries, at)
        for customer, limit in limits.items():
            accounts[customer].limits.append(limit)
        result = await self._write(page)
        if result is PageResult.UNKNOWN:
            raise LogUnavailableError("no answer to a page")
        if result is PageResult.DONE:
            for customer, limit in limits.items():
                accounts[customer].limits = [limit]
            self._is_empty = not any(entry.unspent for entry in entries.values())
            return
        # No write happened, so the limits of this page bind nobody.
        for customer, limit in limits.items():
            accounts[customer].limits.remove(limit)
        if result is PageResult.REFUSED:
            raise LogUnavailableError("a page was refused")

    async def _write(self, page: Page) -> PageResult:
        """Write a page, again where others have changed the partition."""
        assert self._end is not None
        result = PageResult.MOVED
        for _ in range(MAX_TRIES):
            result, end = await self._log.write(self._end, page)
            if result is PageResult.UNKNOWN:
                break
            self._end = end
            if result is not PageResult.MOVED:
                break
        return result

    def _make_page(
        self, entries: Mapping[str, Entry], at: timedelta | None = None
    ) -> Page:
        if at is None:
            at = self._clock.since_boot()
        written = self._clock.now()
        return Page(self._incarnation, self._boot, at, written, entries, UNLOCK_DELAY)


def find_lease_terms(account: PrepaidAccount, now: timedelta) -> tuple[float, float]:
    """Return the burst and the rate to promise for an account.

    What is promised is lost with the process, so a large request may take only
    a part of what is held. Where more comes than the promise allows, a new page
    is written before it is served.
    """
    large = min(account.largest_request, account.free * LARGE_BURST)
    burst = max(large, account.free * HELD_BURST)
    return burst, account.find_rate(now) * RATE_FACTOR
