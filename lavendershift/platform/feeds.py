"""Following what the operator and the servers write to the store."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import NamedTuple

import msgspec

from lavendershift.clocks import Clock
from lavendershift.errors import LogUnavailableError, RecordsExpiredError
from lavendershift.expiries import find_grace
from lavendershift.logs import Event, EventLog, in_milliseconds
from lavendershift.platform import names
from lavendershift.platform.configuration import decode_configuration, describe_fault
from lavendershift.platform.servers import decode_entry
from lavendershift.platform.store import Batch, Record, StoreClient
from lavendershift.routes import RoutingTable
from lavendershift.serverlist import ServerList
from lavendershift.serverstates import ServerEntry

SHORTEST_WAIT = timedelta(milliseconds=1200)  # for a change of the configuration
LONGEST_WAIT = timedelta(seconds=3)
NOTICE_TIME = timedelta(milliseconds=1800)  # until a connection fallen silent is left
DRAIN_PARTS = 5  # readings in the time in which a leaving server may get requests
IDLE_DRAIN_PARTS = 3  # the same on a VM that stands by
AWAY_INTERVAL = timedelta(milliseconds=250)  # between tries while the store is away
PATIENCE = timedelta(milliseconds=400)  # without a byte; calls take a hundredth of it
MOST_CALLS = 4  # that one reading makes beside each other
MAX_SKIPPED_LOGGED = 5  # faulty entries of one configuration that are logged


class Reading(NamedTuple):
    """What one call brought; ``is_whole`` if its records are all newest records."""

    batch: Batch
    is_whole: bool


class KeyedFeed:
    """Reads one partition of a keyed topic, the newest records first.

    Several calls may be under way; ``accept`` takes over the answer of one of them.
    """

    def __init__(self, store: StoreClient, topic: str, wait: timedelta) -> None:
        self.topic = topic
        self.wait = wait
        self._store = store
        self._offset: int | None = None
        self._ahead: dict[bytes, int] = {}

    async def fetch(
        self, on_bytes: Callable[[], None] = lambda: None, is_repeat: bool = False
    ) -> Reading:
        """Read what is new; raises ``LogUnavailableError``.

        ``on_bytes`` is told of progress. A repeat is made beside a call that hangs:
        it does not wait for a change, and uses a connection of its own.
        """
        offset = self._offset
        if offset is not None:
            wait = timedelta() if is_repeat else self.wait
            try:
                batch = await self._store.read(
                    self.topic, 0, offset, wait, on_bytes, is_repeat
                )
                return Reading(batch, False)
            except RecordsExpiredError:
                pass  # the newest records are still there
        batch = await self._store.read_newest(self.topic, 0, on_bytes, is_repeat)
        return Reading(batch, True)

    def accept(self, reading: Reading) -> Batch:
        """Go on after ``reading``; returns its records that are news."""
        batch = reading.batch
        self._offset = batch.next_offset
        if not reading.is_whole:
            return self._drop_older(batch)
        # Pages may be newer than the offset that the reading goes on from.
        self._ahead = {
            record.key: record.offset
            for record in batch.records
            if record.offset >= batch.next_offset
        }
        return batch

    def _drop_older(self, batch: Batch) -> Batch:
        """Return ``batch`` without records older than a page told."""
        if not self._ahead:
            return batch
        records = [r for r in batch.records if r.offset > self._ahead.get(r.key, -1)]
        if batch.next_offset > max(self._ahead.values()):
            self._ahead = {}
        return batch._replace(records=records)


class Feed:
    """A loop that reads a ``KeyedFeed`` and survives outages of the store."""

    name = ""

    def __init__(self, clock: Clock, feed: KeyedFeed, log: EventLog) -> None:
        self._clock = clock
        self._feed = feed
        self._log = log
        self._lost_at: timedelta | None = timedelta()
        self.found_at = timedelta()
        self.outage = timedelta()  # before ``found_at``, in which nothing was read
        self.read_at: timedelta | None = None
        self._heard: asyncio.Task[Reading] | None = None

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            reading = await self._read()
            self.note_reading(self._feed.accept(reading), reading.is_whole)
            await self.pause()

    async def _read(self) -> Reading:
        """Return the next reading, however long the store is away.

        A call that hangs is not waited for: another one is made beside it, as only its
        connection may have fallen silent. Bounds on what callers see count from what
        was written, and don't wait for a call to time out.
        """
        calls: set[asyncio.Task[Reading]] = set()
        patience = PATIENCE + self._feed.wait
        try:
            while True:
                if self._heard not in calls and len(calls) < MOST_CALLS:
                    calls.add(self._start_call(is_repeat=bool(calls)))
                calls, reading = await self._await_calls(calls, patience)
                if reading is not None:
                    return reading
                patience = PATIENCE
        finally:
            self._heard = None
            for task in calls:
                task.cancel()

    def _start_call(self, is_repeat: bool) -> "asyncio.Task[Reading]":
        """Start a call; the first that brings bytes is the one that goes on."""

        def note_bytes() -> None:
            if self._heard is None:
                self._heard = call

        fetching = self._feed.fetch(note_bytes, is_repeat)
        call: asyncio.Task[Reading] = asyncio.ensure_future(fetching)
        return call

    async def _await_calls(
        self, calls: set[asyncio.Task[Reading]], patience: timedelta
    ) -> tuple[set[asyncio.Task[Reading]], Reading | None]:
        """Wait until a call ends; no longer than ``patience`` if none brings a byte."""
        done, calls = await asyncio.wait(
            calls,
            timeout=patience.total_seconds(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if self._heard in calls:
            for call in calls - {self._heard}:
                call.cancel()
            calls = {self._heard}
        if not done:
            return calls, None
        if self._heard in done:
            self._heard = None
        failed = [call for call in done if call.exception() is not None]
        for call in done:
            if call not in failed:
                return calls, call.result()
        for call in failed:
            try:
                call.result()
            except LogUnavailableError as error:
                self.note_failure(error)
        await asyncio.sleep(AWAY_INTERVAL.total_seconds())
        return calls, None

    def take(self, records: list[Record], is_whole: bool) -> None:
        """Take over records; ``is_whole`` if keys that are missing don't exist."""

    async def pause(self) -> None:
        """Wait before the next reading."""

    def note_reading(self, batch: Batch, is_whole: bool) -> None:
        """Take over what was read."""
        now = self._clock.elapsed()
        was_lost, self._lost_at = self._lost_at is not None, None
        if was_lost:
            self.found_at = now
            self.outage = now - self.read_at if self.read_at else timedelta()
        self.read_at = now
        self.take(batch.records, is_whole)
        if was_lost:
            outage_ms = in_milliseconds(self.outage)
            self._log.write(Event.DEPENDENCY_FOUND, name=self.name, outage_ms=outage_ms)

    def note_failure(self, error: LogUnavailableError) -> None:
        """Note that nothing could be read."""
        if self._lost_at is None:
            self._lost_at = self._clock.elapsed()
            self._log.write(Event.DEPENDENCY_LOST, name=self.name, reason=str(error))


def find_configuration_wait(unstable: timedelta) -> timedelta:
    """Return how long a reading waits for a change.

    A connection that has fallen silent is noticed only when that time is over, by
    when the VM still has to be excused.
    """
    return min(max(unstable - NOTICE_TIME, SHORTEST_WAIT), LONGEST_WAIT)


class ConfigurationFeed(Feed):
    """Follows the operator's configuration; versions only rise.

    ``unstable`` is how long after a fault of its connections a VM may be behind.
    """

    name = "configuration"

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        log: EventLog,
        accept: Callable[[RoutingTable], None],
        unstable: timedelta,
    ) -> None:
        wait = find_configuration_wait(unstable)
        feed = KeyedFeed(store, names.OPERATOR_TOPIC, wait)
        super().__init__(clock, feed, log)
        self._accept = accept
        self._version: int | None = None

    def take(self, records: list[Record], is_whole: bool) -> None:
        """Put the newest configuration among ``records`` in force."""
        for record in reversed(records):
            is_configuration = record.key == names.CONFIGURATION_KEY
            if is_configuration and record.value and self._put_in_force(record):
                return

    def _put_in_force(self, record: Record) -> bool:
        try:
            decoded = decode_configuration(record.value)
        except msgspec.MsgspecError as error:
            self._skip("configuration", describe_fault(error))
            return False
        for reason in decoded.skipped[:MAX_SKIPPED_LOGGED]:
            self._skip("configuration", reason)
        table = decoded.table
        if self._version is not None and table.version <= self._version:
            return True
        self._version = table.version
        self._accept(table)
        self._log.write(
            Event.CONFIGURATION_CHANGED, version=table.version, offset=record.offset
        )
        return True

    def _skip(self, name: str, reason: str) -> None:
        self._log.write(Event.ENTRY_SKIPPED, name=name, reason=reason)


class ServerFeed(Feed):
    """Follows the entries of backend servers.

    An entry that is missing after an outage may only have lapsed. Its server is kept
    for as long as ``find_grace`` says, by when the entries of servers that live are
    back, and gets requests only where too few others are there.
    """

    name = "servers"

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        log: EventLog,
        servers: ServerList,
        on_gone: Callable[[ServerEntry], None],
        drain: timedelta,
        beat_interval: timedelta,
        is_active: Callable[[], bool] = lambda: True,
    ) -> None:
        feed = KeyedFeed(store, names.SERVERS_TOPIC, timedelta())
        super().__init__(clock, feed, log)
        self._servers = servers
        self._on_gone = on_gone
        self._drain = drain
        self._beat_interval = beat_interval
        self._is_active = is_active
        self._removed: set[str] = set()
        self._grace_ends = timedelta()
        self.is_ready = False

    async def pause(self) -> None:
        """Let entries gather, as each server writes one about every second."""
        parts = DRAIN_PARTS if self._is_active() else IDLE_DRAIN_PARTS
        await asyncio.sleep((self._drain / parts).total_seconds())

    def take(self, records: list[Record], is_whole: bool) -> None:
        """Take over entries, and forget servers whose entries were removed."""
        for record in records:
            server_id = record.key.decode("utf-8", "replace")
            if record.value:
                self._update(server_id, record.value)
            else:
                self._note_removed(server_id)
        if is_whole:
            named = {record.key.decode("utf-8", "replace") for record in records}
            for entry in self._servers.list_entries():
                if entry.id not in named:
                    self._note_removed(entry.id)
        self._servers.note_reading()
        if self.found_at == self.read_at:
            grace = find_grace(self.outage, self._beat_interval)
            self._grace_ends = self.found_at + grace
        for server_id in self._removed:
            self._servers.mark_missing(server_id, self._grace_ends)
        if self._clock.elapsed() >= self._grace_ends:
            self._drop_removed()
        self.is_ready = True

    def _update(self, server_id: str, value: bytes) -> None:
        entry = decode_entry(server_id, value)
        if entry is None:
            self._log.write(Event.ENTRY_SKIPPED, name="server", server=server_id)
            return
        old = self._servers.find(server_id)
        before = old.entry if old is not None else None
        self._removed.discard(server_id)
        if self._servers.mark_present(server_id):
            self._log.write(Event.SERVER_CHANGED, server=server_id, result="back")
        if not self._servers.update(entry):
            return
        if before is None or (before.born, before.is_leaving, before.address) != (
            entry.born,
            entry.is_leaving,
            entry.address,
        ):
            self._log.write(
                Event.SERVER_CHANGED,
                server=server_id,
                result="leaving" if entry.is_leaving else "listed",
                version=entry.sequence,
            )

    def _note_removed(self, server_id: str) -> None:
        if self._servers.find(server_id) is None or server_id in self._removed:
            return
        self._removed.add(server_id)
        self._log.write(Event.SERVER_CHANGED, server=server_id, result="missing")

    def _drop_removed(self) -> None:
        for server_id in self._removed:
            entry = self._servers.remove(server_id)
            if entry is not None:
                self._on_gone(entry)
                self._log.write(Event.SERVER_CHANGED, server=server_id, result="gone")
        self._removed.clear()
