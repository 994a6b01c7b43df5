"""The part a router takes in one ledger stream.

A ``LedgerSession`` follows the stream, folds it, and holds the router's
current ``Participant``: the incarnation with its book and its writer. One that is
evicted, for instance because the process was stopped for a while, takes no
new work; a new one joins at once, while the old one ends its attempts in
flight and then closes, which hands back what it had left.
"""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple

from lavendershift import signals
from lavendershift.allowances import AllowanceBook
from lavendershift.clocks import Clock
from lavendershift.collector import pause_collection
from lavendershift.errors import DecodeError
from lavendershift.followers import (
    StreamFollower,
    read_checkpoint,
    repeat_until_answered,
)
from lavendershift.ledger import Ledger, Verdict
from lavendershift.records import (
    Checkpoint,
    Entry,
    Evict,
    Join,
    Record,
    name_checkpoint_stream,
)
from lavendershift.streams import LogClient
from lavendershift.writers import StreamWriter

OUTAGE_AFTER = timedelta(seconds=2)  # of failed appends; shorter ones are retries
SILENT_AFTER = timedelta(seconds=4)  # without an answer of the log, two a second
CURRENT_WITHIN = timedelta(seconds=2)  # since the log was asked for its answer
CLOSE_POLL = timedelta(milliseconds=100)


class SessionSettings(NamedTuple):
    """What a session has to know of its router and of the ledger."""

    vm: str
    failure_domain: str
    shards: int
    checkpoint_every: int
    key_retention: timedelta


class Participant(NamedTuple):
    """One incarnation with what it holds and how it writes."""

    incarnation: str
    book: AllowanceBook
    writer: StreamWriter


def make_incarnation(vm: str, clock: Clock, rng: random.Random) -> str:
    """Return a new incarnation id, for example ``r1.1767225600000-4f2a9c``."""
    started_ms = int(clock.now().timestamp() * 1000)
    return f"{vm}.{started_ms}-{rng.getrandbits(24):06x}"


class LedgerSession:
    """Folds one ledger stream and takes part in it.

    ``wait_for_config`` returns once the configuration is folded up to an
    offset, ``find_prepaid`` looks a budget's prepaid tokens up in it.
    ``on_evicted`` is called when the current incarnation is evicted, or may
    have been, and has to call ``rejoin`` of all sessions with a new one.
    """

    def __init__(
        self,
        stream: str,
        log: LogClient,
        settings: SessionSettings,
        clock: Clock,
        incarnation: str,
        find_prepaid: Callable[[str, int], int],
        wait_for_config: Callable[[int], Awaitable[None]],
        config_offset: Callable[[], int],
        on_evicted: Callable[[], None],
    ) -> None:
        self.stream = stream
        self.ledger = Ledger(
            stream, find_prepaid, settings.shards, settings.key_retention
        )
        self.failure_domain = settings.failure_domain
        self.follower: StreamFollower | None = None
        self.restored_bytes = 0
        self._log = log
        self._settings = settings
        self._clock = clock
        self._on_evicted = on_evicted
        self.find_prepaid = find_prepaid
        self._wait_for_config = wait_for_config
        self.config_offset = config_offset
        self._watched: dict[str, asyncio.Future[Verdict]] = {}
        self._changed = asyncio.Event()
        self._closing: set[asyncio.Task[None]] = set()
        self._last_checkpoint = 0
        self._writers: dict[str, StreamWriter] = {}
        self._former: list[Participant] = []
        self._starting: asyncio.Task[None] | None = None
        self.participant = self._make_participant(incarnation)

    @property
    def joined(self) -> bool:
        """Whether the current participant may spend."""
        return self.participant.book.active

    @property
    def log_reachable(self) -> bool:
        """Whether appends and reads get through, as far as is known."""
        if self.follower is None or self.follower.silent_for > SILENT_AFTER:
            return False
        return self.participant.writer.failing_for < OUTAGE_AFTER

    @property
    def is_current(self) -> bool:
        """Whether all is folded that the log had a moment ago."""
        follower = self.follower
        if follower is None or not follower.at_end:
            return False
        return follower.silent_for < CURRENT_WITHIN

    async def start(self) -> None:
        """Restore the latest checkpoint, then follow and join, in the background."""
        self._starting = asyncio.ensure_future(self._start_following())

    async def stop(self) -> None:
        """Stop following and writing at once."""
        if self._starting is not None:
            self._starting.cancel()
        for task in self._closing:
            task.cancel()
        if self.follower is not None:
            await self.follower.stop()
        for writer in list(self._writers.values()):
            await writer.stop()

    def rejoin(self, incarnation: str) -> None:
        """Go on as another incarnation.

        The one until now ends its attempts in flight and then closes.
        """
        former = self.participant
        self._former.append(former)
        self.participant = self._make_participant(incarnation)
        self._join()
        task = asyncio.ensure_future(self._close_participant(former))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def close(self, timeout: timedelta) -> bool:
        """Close and hand back what is unspent; false after ``timeout``."""
        participant = self.participant
        if not participant.book.closed and self.ledger.find_incarnation(
            participant.incarnation
        ):
            participant.writer.submit_record(participant.book.make_close())
        return await participant.writer.flush(timeout)

    async def wait_verdict(self, record_id: str, timeout: timedelta) -> Verdict | None:
        """Return the fold's verdict on a record not folded yet.

        Returns ``None`` after ``timeout``; the record may still be folded.
        """
        verdict = asyncio.get_running_loop().create_future()
        self._watched[record_id] = verdict
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await verdict
        except TimeoutError:
            return None
        finally:
            self._watched.pop(record_id, None)

    async def wait_change(self, timeout: timedelta) -> bool:
        """Wait until balances may have changed; false after ``timeout``."""
        changed = self._changed
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await changed.wait()
        except TimeoutError:
            return False
        return True

    def note_change(self) -> None:
        """Wake all that wait for a change of balances."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _start_following(self) -> None:
        await repeat_until_answered(self._restore)
        self.follower = StreamFollower(
            self._log,
            self.stream,
            self.ledger.next_offset,
            self._fold,
            self._skip_ahead,
            self._clock,
        )
        self.follower.start()
        self._join()

    def _make_participant(self, incarnation: str) -> Participant:
        writer = StreamWriter(self._log, self.stream, incarnation, self._clock)
        book = AllowanceBook(incarnation, self.ledger, writer.next_id)
        self._writers[incarnation] = writer
        writer.start()
        return Participant(incarnation, book, writer)

    def _join(self) -> None:
        self.participant.writer.submit(
            lambda record_id: Join(
                record_id,
                self.participant.incarnation,
                self._settings.vm,
                self._settings.failure_domain,
                self.config_offset(),
            )
        )

    async def _restore(self) -> int:
        parts = await read_checkpoint(self._log, self.stream)
        if parts and parts[0].next_offset > self.ledger.next_offset:
            with contextlib.suppress(DecodeError):  # of another version
                self._adopt(parts)
        return self.ledger.next_offset

    async def _skip_ahead(self) -> int:
        """Restore a checkpoint beyond records that expired before they were read.

        What they said of the current incarnation is lost, so it ends its
        attempts in flight and closes, which hands back what its book holds.
        Grants among them that its book never saw stay in doubt.
        """
        before = self.ledger.next_offset
        if await self._restore() > before:
            self._on_evicted()
        return self.ledger.next_offset

    def _adopt(self, parts: list[Checkpoint]) -> None:
        retention = self._settings.key_retention
        with pause_collection():
            ledger = Ledger.restore(parts, self.find_prepaid, retention)
        self.ledger.__dict__.update(ledger.__dict__)
        self.restored_bytes = sum(len(part.state) for part in parts)
        self._last_checkpoint = ledger.next_offset

    async def _fold(self, entry: Entry) -> None:
        await self._wait_for_config(self.ledger.required_config_offset(entry))
        verdict = self.ledger.fold(entry)
        if entry.record is None:
            return
        for participant in [self.participant, *self._former]:
            for answer in participant.book.apply(entry.record, verdict):
                participant.writer.submit_record(answer)
        author = entry.record.id.rpartition("/")[0]
        if author in self._writers:
            self._writers[author].note_folded(entry.record.id)
        self._notify(entry.record, verdict)
        if self._ends_participant(entry.record, verdict):
            self._on_evicted()
        self._maybe_checkpoint()

    def _ends_participant(self, record: Record, verdict: Verdict) -> bool:
        if not isinstance(record, Evict) or not verdict.counted:
            return False
        return record.incarnation == self.participant.incarnation

    def _notify(self, record: Record, verdict: Verdict) -> None:
        signals.record_folded.send(self, record=record, verdict=verdict)
        watched = self._watched.get(record.id)
        if watched is not None and not watched.done():
            watched.set_result(verdict)
        self.note_change()

    async def _close_participant(self, participant: Participant) -> None:
        while participant.book.in_flight():
            await asyncio.sleep(CLOSE_POLL.total_seconds())
        await participant.writer.submit_record(participant.book.make_close())
        self._former.remove(participant)
        del self._writers[participant.incarnation]
        await participant.writer.stop()

    def is_checkpoint_writer(self, turn: int) -> bool:
        """Whether it is this router's turn to write a checkpoint.

        All routers agree on the turns as far as they have folded the same
        records; a checkpoint written twice does no harm.
        """
        live = sorted(self.ledger.live_incarnations())
        return bool(live) and live[turn % len(live)] == self.participant.incarnation

    def start_checkpoint(self) -> None:
        """Write a checkpoint of the folded state in the background."""
        offset = self.ledger.next_offset
        self._last_checkpoint = offset
        checkpoint_id = f"{self.stream}@{offset}:{self.participant.incarnation}"
        parts = self.ledger.make_checkpoint(checkpoint_id)
        task = asyncio.ensure_future(self._write_checkpoint(parts))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    def _maybe_checkpoint(self) -> None:
        every = self._settings.checkpoint_every
        offset = self.ledger.next_offset
        if offset - self._last_checkpoint < every:
            return
        self._last_checkpoint = offset
        if self.is_checkpoint_writer(offset // every):
            self.start_checkpoint()

    async def _write_checkpoint(self, parts: list[Checkpoint]) -> None:
        stream = name_checkpoint_stream(self.stream)
        for part in parts:
            with contextlib.suppress(Exception):
                await self._log.append_records(stream, [part])
