"""Ordered, idempotent appends of an incarnation's records to one stream.

Records get ids ``incarnation/sequence`` and are appended strictly in order.
A batch whose append was not confirmed is appended again unchanged before any
later record. Readers can therefore detect duplicates by the sequence number
alone, and a lost reply neither loses nor duplicates a record.
"""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from lavendershift.clocks import Clock
from lavendershift.errors import LogUnavailableError
from lavendershift.records import Record
from lavendershift.streams import LogClient

MAX_BATCH_RECORDS = 500  # most records in one append
RETRY_PAUSE = timedelta(milliseconds=200)  # pause after a failed append


class StreamWriter:
    """Appends the records of ``incarnation`` to ``stream``.

    ::

        writer = StreamWriter(log, "ledger-0", "r1.7", clock)
        appended = writer.submit(lambda id: Return(id, "acme", "r1.7", 500))
        await appended
    """

    def __init__(
        self, log: LogClient, stream: str, incarnation: str, clock: Clock
    ) -> None:
        self._log = log
        self._stream = stream
        self._incarnation = incarnation
        self._clock = clock
        self._sequence = 0
        self._queue: deque[tuple[Record, asyncio.Future[None]]] = deque()
        self._wakeup = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._failing_since: timedelta | None = None
        self._confirmed_sequence = 0
        self._read_back = asyncio.Event()

    @property
    def failing_for(self) -> timedelta:
        """Time since appends began to fail; zero while they succeed."""
        if self._failing_since is None:
            return timedelta()
        return self._clock.elapsed() - self._failing_since

    @property
    def backlog(self) -> int:
        """Number of queued records that the log has not confirmed."""
        return len(self._queue)

    def start(self) -> None:
        """Start appending in the background."""
        self._task = asyncio.ensure_future(self._run())

    def next_id(self) -> str:
        """Return the next record id of this incarnation."""
        self._sequence += 1
        return f"{self._incarnation}/{self._sequence}"

    def submit(self, make_record: Callable[[str], Record]) -> asyncio.Future[None]:
        """Queue the record that ``make_record`` returns for the next id.

        Returns a future that completes once the log has the record; it stays
        pending during an outage.
        """
        return self.submit_record(make_record(self.next_id()))

    def submit_record(self, record: Record) -> asyncio.Future[None]:
        """Queue a record whose id is the latest result of ``next_id``."""
        appended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._queue.append((record, appended))
        self._wakeup.set()
        return appended

    def confirm_record(self, record_id: str) -> None:
        """Confirm a record of this incarnation that was read back from the log.

        The record is confirmed even if the reply to its append was lost.
        """
        sequence = int(record_id.rpartition("/")[2])
        self._confirmed_sequence = max(self._confirmed_sequence, sequence)
        self._read_back.set()

    async def flush(self, timeout: timedelta) -> bool:
        """Wait until all queued records are confirmed.

        Returns false after ``timeout``.
        """
        pending = [appended for _, appended in self._queue]
        if not pending:
            return True
        _, late = await asyncio.wait(pending, timeout=timeout.total_seconds())
        return not late

    async def stop(self) -> None:
        """Stop appending; unconfirmed records are dropped."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    async def _run(self) -> None:
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            while self._queue:
                await self._append_batch()

    async def _append_batch(self) -> None:
        batch = [
            self._queue[i] for i in range(min(len(self._queue), MAX_BATCH_RECORDS))
        ]
        await self._append_until_confirmed([record for record, _ in batch])
        for _, appended in batch:
            self._queue.popleft()
            if not appended.done():
                appended.set_result(None)

    async def _append_until_confirmed(self, records: list[Record]) -> None:
        last_sequence = int(records[-1].id.rpartition("/")[2])
        while not await self._append_once(records, last_sequence):
            if self._failing_since is None:
                self._failing_since = self._clock.elapsed()
            await asyncio.sleep(RETRY_PAUSE.total_seconds())
        self._failing_since = None

    async def _append_once(self, records: list[Record], last_sequence: int) -> bool:
        """Append once; return whether the records are known to be in the log."""
        append = asyncio.ensure_future(self._log.append_records(self._stream, records))
        read_back = asyncio.ensure_future(self._wait_read_back(last_sequence))
        try:
            await asyncio.wait([append, read_back], return_when=asyncio.FIRST_COMPLETED)
            if read_back.done():
                return True
            await append
            return True
        except LogUnavailableError:
            return self._confirmed_sequence >= last_sequence
        finally:
            read_back.cancel()
            self._ignore_result(append)

    async def _wait_read_back(self, sequence: int) -> None:
        while self._confirmed_sequence < sequence:
            self._read_back.clear()
            await self._read_back.wait()

    def _ignore_result(self, append: asyncio.Future[int]) -> None:
        """Let an append that is no longer needed finish, and ignore its result."""
        if not append.done():
            append.add_done_callback(lambda done: done.cancelled() or done.exception())
