"""Reading of the store's topics, across restores of the store."""

from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

from lavendershift.errors import RecordsExpiredError
from lavendershift.platform.store import StoreClient
from lavendershift.platform.storerecords import Batch, Record
from lavendershift.storehistories import History


class ReadResult(NamedTuple):
    """The records of one call; ``is_snapshot`` if they are the newest of all keys."""

    batch: Batch
    is_snapshot: bool


class TopicReader:
    """Reads partition 0 of a keyed topic: a snapshot, then the records after it.

    Several calls may be in flight; ``accept`` continues from the result of one.
    ``since`` is an offset from which on all records have the key ``key``. A call
    returns one record, and more only if they take at most ``max_kilobytes``.
    """

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        wait: timedelta,
        key: bytes = b"",
        max_kilobytes: int | None = None,
    ) -> None:
        self.topic = topic
        self.wait = wait
        self.since = 0
        self._key = key
        self._max_kilobytes = max_kilobytes
        self._store = store
        self._offset: int | None = None
        self._history = History()
        self._snapshot_offsets: dict[bytes, int] = {}

    async def fetch(
        self,
        on_bytes: Callable[[], None] = lambda: None,
        is_hedge: bool = False,
        on_connect: Callable[[], None] = lambda: None,
        newest_only: bool = False,
    ) -> ReadResult:
        """Read new records; raises ``LogUnavailableError``.

        ``on_connect`` is called once there is a connection, ``on_bytes`` whenever bytes
        arrive. A hedge is a call made beside
        one that hangs: it does not wait for a change, and uses a new connection. With
        ``newest_only``, older records of each key aren't read, nor if the store was
        restored since the last reading, as its offsets hold other records then.
        """
        offset, history = None if newest_only else self._offset, self._history
        if offset is not None:
            wait = timedelta() if is_hedge else self.wait
            try:
                batch = await self._store.read(
                    self.topic,
                    0,
                    offset,
                    wait,
                    on_bytes,
                    is_hedge,
                    on_connect,
                    self._max_kilobytes,
                )
                if batch.history == history:
                    return ReadResult(batch, False)
            except RecordsExpiredError:
                pass  # a snapshot still holds the newest record of each key
        batch = await self._store.read_newest(
            self.topic, 0, on_bytes, is_hedge, on_connect
        )
        return ReadResult(batch, True)

    def accept(self, result: ReadResult) -> Batch:
        """Continue from the end of ``result``; return its records that are new.

        A result of an older history than that of another one holds none.
        """
        batch = result.batch
        if batch.history < self._history:
            return Batch([], 0, 0, self._history)
        if batch.history != self._history:
            self._offset = None
        self._history = batch.history
        self._offset = max(batch.next_offset, self._offset or 0)
        if not result.is_snapshot:
            self._note_keys(batch.records)
            return self._drop_stale(batch)
        self.since = batch.next_offset
        # A snapshot may hold records from beyond the offset that is read next.
        self._snapshot_offsets = {
            record.key: record.offset
            for record in batch.records
            if record.offset >= batch.next_offset
        }
        return batch

    def _note_keys(self, records: list[Record]) -> None:
        for record in reversed(records):
            if record.key != self._key:
                self.since = max(self.since, record.offset + 1)
                return

    @property
    def offset(self) -> int:
        """The offset that is read next."""
        return self._offset or 0

    @property
    def history(self) -> History:
        """The history that is read."""
        return self._history

    def skip(self, since: int, offset: int) -> None:
        """Go on after the record at ``offset``, if all that would be skipped is known.

        All records from ``since`` to ``offset`` have the key ``key``, and the one at
        ``offset`` is known.
        """
        if self._offset is not None and since <= self._offset <= offset:
            self._offset = offset + 1

    def _drop_stale(self, batch: Batch) -> Batch:
        """Return ``batch`` without records older than those of the snapshot."""
        if not self._snapshot_offsets:
            return batch
        records = [
            r for r in batch.records if r.offset > self._snapshot_offsets.get(r.key, -1)
        ]
        if batch.next_offset > max(self._snapshot_offsets.values()):
            self._snapshot_offsets = {}
        return batch._replace(records=records)
