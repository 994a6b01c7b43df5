"""Participation of a router in one ledger stream.

A ``LedgerSession`` follows the stream, replays it, and holds the router's current
``Participant``: an incarnation with its allowance book and its stream writer. An
incarnation that is evicted, for example because the process was paused for a
while, takes no new work. A new incarnation joins immediately, while the old one
finishes its in-flight attempts and then closes, which returns its unspent tokens.
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
from lavendershift.ledger import Ledger, Verdict
from lavendershift.records import (
    Checkpoint,
    Entry,
    Evict,
    Join,
    Record,
    name_checkpoint_stream,
)
from lavendershift.streamfollowers import (
    StreamFollower,
    read_checkpoint,
    retry_until_available,
)
from lavendershift.streams import LogClient
from lavendershift.streamwriters import StreamWriter

# Time of failing appends that counts as an outage; shorter failures are retries.
OUTAGE_THRESHOLD = timedelta(seconds=2)
# Time without a read response that counts as an outage; reads return twice a second.
SILENCE_THRESHOLD = timedelta(seconds=4)
# Largest age, since its read was sent, of a log response that counts as current.
MAX_RESPONSE_AGE = timedelta(seconds=2)
# Time between checks whether the attempts of a previous incarnation have finished.
CLOSE_POLL = timedelta(milliseconds=100)


class SessionSettings(NamedTuple):
    """Settings of the router and of the ledger that a session needs."""

    vm: str
    failure_domain: str
    shards: int
    checkpoint_every: int
    key_retention: timedelta


class Participant(NamedTuple):
    """One incarnation with its allowance book and its stream writer."""

    incarnation: str
    book: AllowanceBook
    writer: StreamWriter


def make_incarnation(vm: str, clock: Clock, rng: random.Random) -> str:
    """Return a new incarnation id, for example ``r1.1767225600000-4f2a9c``."""
    started_ms = int(clock.now().timestamp() * 1000)
    return f"{vm}.{started_ms}-{rng.getrandbits(24):06x}"


class LedgerSession:
    """Replays one ledger stream and participates in it.

    ``wait_for_config`` returns once the configuration has been replayed up to an
    offset, ``config_offset`` returns the offset reached so far, and ``find_prepaid``
    looks up a budget's prepaid tokens as of an offset.
    ``on_evicted`` is called when the current incarnation is evicted, or may have
    been, and must call ``rejoin`` of all sessions with a new incarnation.
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
        self._verdict_waiters: dict[str, asyncio.Future[Verdict]] = {}
        self._changed = asyncio.Event()
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._last_checkpoint = 0
        self._writers: dict[str, StreamWriter] = {}
        self._previous_participants: list[Participant] = []
        self._starting: asyncio.Task[None] | None = None
        self.participant = self._make_participant(incarnation)

    @property
    def joined(self) -> bool:
        """Whether the current participant may spend tokens."""
        return self.participant.book.active

    @property
    def log_reachable(self) -> bool:
        """Whether the log service responds to appends and reads, as far as known."""
        if self.follower is None or self.follower.response_age > SILENCE_THRESHOLD:
            return False
        return self.participant.writer.failing_for < OUTAGE_THRESHOLD

    @property
    def is_current(self) -> bool:
        """Whether all entries in the log ``MAX_RESPONSE_AGE`` ago are applied."""
        follower = self.follower
        if follower is None or not follower.is_at_end:
            return False
        return follower.response_age < MAX_RESPONSE_AGE

    async def start(self) -> None:
        """Restore the latest checkpoint, then follow and join in the background."""
        self._starting = asyncio.ensure_future(self._start_following())

    async def stop(self) -> None:
        """Stop following and writing immediately; unconfirmed records are dropped."""
        if self._starting is not None:
            self._starting.cancel()
        for task in self._background_tasks:
            task.cancel()
        if self.follower is not None:
            await self.follower.stop()
        for writer in list(self._writers.values()):
            await writer.stop()

    def rejoin(self, incarnation: str) -> None:
        """Continue as another incarnation.

        The current one finishes its in-flight attempts and then closes.
        """
        previous = self.participant
        self._previous_participants.append(previous)
        self.participant = self._make_participant(incarnation)
        self._join()
        task = asyncio.ensure_future(self._close_participant(previous))
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def close(self, timeout: timedelta) -> bool:
        """Close the incarnation and return its unspent tokens.

        Returns false if the log has not confirmed it within ``timeout``.
        """
        participant = self.participant
        if not participant.book.closed and self.ledger.find_incarnation(
            participant.incarnation
        ):
            participant.writer.submit_record(participant.book.make_close())
        return await participant.writer.flush(timeout)

    async def wait_verdict(self, record_id: str, timeout: timedelta) -> Verdict | None:
        """Return the verdict of a record that has not been applied yet.

        Returns ``None`` after ``timeout``; the record may still be applied later.
        """
        waiter = asyncio.get_running_loop().create_future()
        self._verdict_waiters[record_id] = waiter
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await waiter
        except TimeoutError:
            return None
        finally:
            self._verdict_waiters.pop(record_id, None)

    async def wait_change(self, timeout: timedelta) -> bool:
        """Wait until balances may have changed; return false after ``timeout``."""
        changed = self._changed
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await changed.wait()
        except TimeoutError:
            return False
        return True

    def notify_change(self) -> None:
        """Wake all tasks that wait for a change of balances."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _start_following(self) -> None:
        await retry_until_available(self._restore)
        self.follower = StreamFollower(
            self._log,
            self.stream,
            self.ledger.next_offset,
            self._apply,
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
            with contextlib.suppress(DecodeError):  # unknown state version
                self._load_checkpoint(parts)
        return self.ledger.next_offset

    async def _skip_ahead(self) -> int:
        """Restore a checkpoint newer than records that expired before they were read.

        The expired records may have changed what the current incarnation holds, so
        it finishes its in-flight attempts and closes, which returns the tokens in
        its book. Grants among those records that never reached the book stay in
        doubt.
        """
        before = self.ledger.next_offset
        if await self._restore() > before:
            self._on_evicted()
        return self.ledger.next_offset

    def _load_checkpoint(self, parts: list[Checkpoint]) -> None:
        retention = self._settings.key_retention
        with pause_collection():
            ledger = Ledger.restore(parts, self.find_prepaid, retention)
        self.ledger.__dict__.update(ledger.__dict__)
        self.restored_bytes = sum(len(part.state) for part in parts)
        self._last_checkpoint = ledger.next_offset

    async def _apply(self, entry: Entry) -> None:
        await self._wait_for_config(self.ledger.required_config_offset(entry))
        verdict = self.ledger.apply(entry)
        if entry.record is None:
            return
        for participant in [self.participant, *self._previous_participants]:
            for response in participant.book.apply(entry.record, verdict):
                participant.writer.submit_record(response)
        author = entry.record.id.rpartition("/")[0]
        if author in self._writers:
            self._writers[author].confirm_record(entry.record.id)
        self._notify(entry.record, verdict)
        if self._evicts_participant(entry.record, verdict):
            self._on_evicted()
        self._checkpoint_if_due()

    def _evicts_participant(self, record: Record, verdict: Verdict) -> bool:
        if not isinstance(record, Evict) or not verdict.counted:
            return False
        return record.incarnation == self.participant.incarnation

    def _notify(self, record: Record, verdict: Verdict) -> None:
        signals.record_folded.send(self, record=record, verdict=verdict)
        waiter = self._verdict_waiters.get(record.id)
        if waiter is not None and not waiter.done():
            waiter.set_result(verdict)
        self.notify_change()

    async def _close_participant(self, participant: Participant) -> None:
        while participant.book.in_flight():
            await asyncio.sleep(CLOSE_POLL.total_seconds())
        await participant.writer.submit_record(participant.book.make_close())
        self._previous_participants.remove(participant)
        del self._writers[participant.incarnation]
        await participant.writer.stop()

    def is_checkpoint_writer(self, turn: int) -> bool:
        """Return whether it is this router's turn to write a checkpoint.

        Routers that have applied the same records agree on the turns; a checkpoint
        written twice does no harm.
        """
        live = sorted(self.ledger.list_live())
        return bool(live) and live[turn % len(live)] == self.participant.incarnation

    def start_checkpoint(self) -> None:
        """Write a checkpoint of the replayed state in the background."""
        offset = self.ledger.next_offset
        self._last_checkpoint = offset
        checkpoint_id = f"{self.stream}@{offset}:{self.participant.incarnation}"
        parts = self.ledger.make_checkpoint(checkpoint_id)
        task = asyncio.ensure_future(self._write_checkpoint(parts))
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    def _checkpoint_if_due(self) -> None:
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
