"""Followers of the store's topics: the operator's configuration and server entries.

A feed reads one topic in a loop, applies the new records and survives outages of the
store, whose beginning and end it logs.
"""

import asyncio
import random
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.errors import DecodeError, LogUnavailableError
from lavendershift.evacuation.evacuations import Evacuations
from lavendershift.expiries import RENEWAL_TIME, find_grace
from lavendershift.logs import Event, EventLog, in_milliseconds
from lavendershift.platform import names
from lavendershift.platform.configuration import decode_configuration
from lavendershift.platform.evacuations import apply_evacuations
from lavendershift.platform.servers import decode_entry
from lavendershift.platform.store import StoreClient
from lavendershift.platform.storerecords import Batch, Record
from lavendershift.platform.topicreaders import ReadResult, TopicReader
from lavendershift.readschedules import ReadSchedule
from lavendershift.recordexchange import Place, Version
from lavendershift.routes import RoutingTable
from lavendershift.serverlist import ServerList
from lavendershift.serverstates import ServerEntry
from lavendershift.skips import SkipReports
from lavendershift.storehistories import History

# Readings within the time in which a change has to be in force: that until a new
# configuration is, or a leaving server gets no more requests.
READS_PER_CHANGE = 5
STANDBY_READS_PER_CHANGE = 3  # the same on a standby VM
# Shortest part of the interval, as VMs that read at the same time could tell each other
# nothing new.
MIN_INTERVAL_PART = 0.75
# Age of the last reading from which the log holds several records of most keys.
MIN_SNAPSHOT_AGE = timedelta(seconds=3)
# Records from which on the newest of each key are read instead of all.
MIN_SNAPSHOT_RECORDS = 2
# Records of the operator that are read at once, if they are small.
MAX_OPERATOR_KILOBYTES = 64
# Source of a version that another VM has read.
FROM_VM = "vm"


class Reading(NamedTuple):
    """What one reading of a topic brought, and how long it took.

    ``called_at`` is the begin of its call and ``received_at`` the time of the first
    byte, as the time on the feed's clock. ``left`` is the number of records that the
    partition had beyond those read.
    """

    called_at: timedelta = timedelta()
    received_at: timedelta = timedelta()
    records: int = 0
    size: int = 0  # bytes of the records' values
    left: int = 0


class Feed:
    """A loop that follows a topic and survives outages of the store.

    ``read_at`` is the time of the last reading, ``recovered_at`` the end of the last
    outage, and ``outage`` its duration. ``restored_at`` is the time of the first
    reading since the store was last restored, ``None`` if it wasn't. ``kind`` names one
    record in log lines, and ``measure`` measures the time in which records are applied.
    With ``has_newest_only``, a key's older records have no meaning, and aren't read
    after an outage.
    """

    name = ""
    kind = ""
    has_newest_only = False

    def __init__(self, clock: Clock, reader: TopicReader, log: EventLog) -> None:
        self._clock = clock
        self._reader = reader
        self._log = log
        self.skips = SkipReports(clock, log)
        self._unreachable_since: timedelta | None = timedelta()
        self.recovered_at = timedelta()
        self.outage = timedelta()
        self.read_at: timedelta | None = None
        self.restored_at: timedelta | None = None
        self._history: History | None = None
        self.measure: Callable[[str], AbstractContextManager[object]] = nullcontext
        self.reading = Reading()
        self._schedule = ReadSchedule()
        self._calls: dict[asyncio.Task[ReadResult], int] = {}

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            result = await self._read()
            self.note_reading(self._reader.accept(result), result.is_snapshot)
            await self.pause()

    async def _read(self) -> ReadResult:
        """Return the next result, however long the store is unavailable.

        A call that hangs is hedged by another, as its connection alone may have fallen
        silent. The limits on how late a change takes effect count from the write of
        the record, and leave no time for a call to time out.
        """
        calls = self._calls
        try:
            while True:
                plan = self._schedule.plan(self._clock.elapsed())
                if plan.starts_call:
                    self._start_call()
                elif not calls and plan.check_after is not None:
                    await asyncio.sleep(plan.check_after.total_seconds())
                else:
                    result = await self._await_calls(plan.check_after)
                    if result is not None:
                        return result
        finally:
            self._schedule.clear()
            for task in list(calls):
                task.cancel()
            calls.clear()

    def _start_call(self) -> None:
        """Start a call; the first one that receives bytes is kept.

        During an outage, a call that waits for a change would hide that it hangs.
        """
        is_hedge = bool(self._calls) or self._unreachable_since is not None
        schedule, clock = self._schedule, self._clock
        wait = timedelta() if is_hedge else self._reader.wait
        began = clock.elapsed()
        number = schedule.start(began, wait)

        def note_connected() -> None:
            schedule.note_connected(number, clock.elapsed())

        def note_bytes() -> None:
            if schedule.note_bytes(number, clock.elapsed()):
                self.reading = Reading(began, clock.elapsed())
                for task, other in list(self._calls.items()):
                    if other != number:
                        task.cancel()
                        del self._calls[task]

        fetching = self._reader.fetch(
            note_bytes, is_hedge, note_connected, self._needs_snapshot()
        )
        self._calls[asyncio.ensure_future(fetching)] = number

    def _needs_snapshot(self) -> bool:
        """Whether the newest record of each key is less than what was written since.

        All that a VM missed in an outage, or while it read, may take seconds to cross
        its link.
        """
        if not self.has_newest_only:
            return False
        reading = self.reading
        if reading.left >= MIN_SNAPSHOT_RECORDS or reading.left and not reading.records:
            return True
        if self._unreachable_since is None:
            return False
        age = self._clock.elapsed() - (self.read_at or timedelta())
        return age >= MIN_SNAPSHOT_AGE

    async def _await_calls(self, timeout: timedelta | None) -> ReadResult | None:
        """Wait up to ``timeout`` for a call to end, and return its result if any."""
        done, _ = await asyncio.wait(
            self._calls,
            timeout=None if timeout is None else timeout.total_seconds(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        ended = {task: self._calls.pop(task) for task in done if task in self._calls}
        failed = {task for task in ended if task.exception() is not None}
        for task in ended.keys() - failed:
            return task.result()
        for task in failed:
            self._schedule.note_failed(ended[task], self._clock.elapsed())
            try:
                task.result()
            except LogUnavailableError as error:
                self.note_failure(error)
        return None

    def apply_records(self, records: list[Record], is_snapshot: bool) -> None:
        """Apply records; with ``is_snapshot``, keys without a record don't exist."""

    async def pause(self) -> None:
        """Wait before the next reading."""

    def apply_each(
        self, records: list[Record], apply: Callable[[Record], None]
    ) -> None:
        """Call ``apply`` for each record; one that fails is skipped alone.

        The reading isn't repeated, so the records after it would be lost.
        """
        for record in records:
            try:
                apply(record)
            except Exception as error:
                self.skips.note_failure(self.kind, error)

    def note_reading(self, batch: Batch, is_snapshot: bool) -> None:
        """Apply the records of a reading, and end an outage if there was one."""
        now = self._clock.elapsed()
        was_unreachable, self._unreachable_since = (
            self._unreachable_since is not None,
            None,
        )
        if was_unreachable:
            self.recovered_at = now
            self.outage = now - self.read_at if self.read_at else timedelta()
        self.read_at = now
        if self._history not in (None, batch.history):
            self.restored_at = now
            self._log.write(
                Event.STORE_RESTORED, name=self.name, version=batch.history.era
            )
        self._history = batch.history
        self.reading = self.reading._replace(
            records=len(batch.records),
            size=sum(len(record.value) for record in batch.records),
            left=max(batch.end - self._reader.offset, 0),
        )
        with self.measure(self.name):
            self.apply_records(batch.records, is_snapshot)
        if was_unreachable:
            outage_ms = in_milliseconds(self.outage)
            self._log.write(Event.DEPENDENCY_FOUND, name=self.name, outage_ms=outage_ms)

    def note_failure(self, error: LogUnavailableError) -> None:
        """Note that a reading failed, which may begin an outage."""
        if self._unreachable_since is None:
            self._unreachable_since = self._clock.elapsed()
            self._log.write(Event.DEPENDENCY_LOST, name=self.name, reason=str(error))


def find_interval(change_time: timedelta, is_active: bool) -> timedelta:
    """Return the interval between readings of what changes within ``change_time``."""
    return change_time / (READS_PER_CHANGE if is_active else STANDBY_READS_PER_CHANGE)


class ConfigurationFeed(Feed):
    """Follows the operator's configuration; its version never decreases.

    ``apply_time`` is the time within which a new version has to be in force. The store
    isn't asked to wait for one, as a wake-up that is lost would cost the whole wait.
    ``evacuations`` gets the evacuations that the operator requests, before a VM that
    starts has a configuration and serves. ``on_read`` is called with each version that
    was read and put into force.
    """

    name = kind = "configuration"
    has_newest_only = True

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        log: EventLog,
        rng: random.Random,
        accept: Callable[[RoutingTable], None],
        apply_time: timedelta,
        evacuations: Evacuations | None = None,
        is_active: Callable[[], bool] = lambda: True,
    ) -> None:
        key = names.CONFIGURATION_KEY
        reader = TopicReader(
            store, names.OPERATOR_TOPIC, timedelta(), key, MAX_OPERATOR_KILOBYTES
        )
        super().__init__(clock, reader, log)
        self._store = store
        self._rng = rng
        self._accept = accept
        self._apply_time = apply_time
        self._evacuations = evacuations or Evacuations()
        self._is_active = is_active
        self._version: int | None = None
        self.on_read: Callable[[Version], None] = lambda version: None

    async def pause(self) -> None:
        """Wait for further versions, unless some are known to be there."""
        if self.reading.left and self.reading.records:
            return
        interval = find_interval(self._apply_time, self._is_active())
        interval *= self._rng.uniform(MIN_INTERVAL_PART, 1.0)
        await asyncio.sleep(interval.total_seconds())

    def accept_version(self, version: Version) -> bool:
        """Put a version into force that another VM has read; return whether it is.

        That VM may use another address of the store, or a store of another history.
        """
        place, value = version.place, version.value
        now = self._clock.elapsed()
        reading = Reading(now, now, 1, len(value))
        record = Record(place.offset, names.CONFIGURATION_KEY, value)
        is_used = self._activate(record, FROM_VM, reading)
        if not is_used or self._version != version.number:
            return False
        if (place.store, place.era) == (self._store.address, self._reader.history.era):
            self._reader.skip(place.since, place.offset)
        return True

    def apply_records(self, records: list[Record], is_snapshot: bool) -> None:
        """Apply evacuations, and the newest valid configuration among ``records``."""
        self._apply_evacuations(records, is_snapshot)
        for record in reversed(records):
            if record.key != names.CONFIGURATION_KEY or not record.value:
                continue
            source = "snapshot" if is_snapshot else "log"
            if self._activate(record, source, self.reading):
                return

    def _apply_evacuations(self, records: list[Record], is_snapshot: bool) -> None:
        """Apply evacuations; the operator has some time to write those a copy lacks."""
        restored_at, is_complete = self.restored_at, is_snapshot
        if restored_at is not None:
            is_renewed = self._clock.elapsed() - restored_at >= RENEWAL_TIME
            if is_snapshot and not is_renewed:
                self._evacuations.note_restore()
                is_complete = False
            if is_renewed:
                self._evacuations.end_unconfirmed()
        apply_evacuations(self._evacuations, records, is_complete, self._note_odd)

    def _note_odd(self, error: DecodeError) -> None:
        self.skips.note(error.location, error.reason)

    def _activate(self, record: Record, source: str, reading: Reading) -> bool:
        began = self._clock.elapsed()
        try:
            decoded = decode_configuration(record.value)
            table = decoded.table
            if self._version is not None and table.version <= self._version:
                return True
            self._accept(table)
        except Exception as error:
            self.skips.note_failure(self.kind, error)
            return False
        for reason in decoded.skipped:
            self.skips.note(self.kind, reason)
        self._version = table.version
        self._log.write(
            Event.CONFIGURATION_CHANGED,
            version=table.version,
            offset=record.offset,
            routes=table.count_routes(),
            bytes=len(record.value),
            source=source,
            records=reading.records,
            records_left=reading.left,
            read_bytes=reading.size,
            first_ms=in_milliseconds(reading.received_at - reading.called_at),
            read_ms=in_milliseconds(began - reading.received_at),
            build_ms=in_milliseconds(self._clock.elapsed() - began),
        )
        if source != FROM_VM:
            reader, store = self._reader, self._store.address
            place = Place(store, reader.history.era, record.offset, reader.since)
            self.on_read(Version(table.version, place, record.value))
        return True


class ServerFeed(Feed):
    """Follows the entries of backend servers.

    An entry that is missing after an outage may have expired although its server
    still runs, and one that is missing after a restore of the store may be newer than
    the copy. Its server is kept for the time that ``find_grace`` returns, by when
    running servers have renewed their entries, and gets requests only while too few
    other servers are listed.
    """

    name = "servers"
    kind = "server"
    has_newest_only = True

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        log: EventLog,
        servers: ServerList,
        on_removed: Callable[[ServerEntry], None],
        drain: timedelta,
        heartbeat_interval: timedelta,
        is_active: Callable[[], bool] = lambda: True,
    ) -> None:
        reader = TopicReader(store, names.SERVERS_TOPIC, timedelta())
        super().__init__(clock, reader, log)
        self._servers = servers
        self._on_removed = on_removed
        self._drain = drain
        self._heartbeat_interval = heartbeat_interval
        self._is_active = is_active
        self._missing: set[str] = set()
        self._grace_ends = timedelta()
        self.is_ready = False

    async def pause(self) -> None:
        """Wait for further entries, as each server writes one about every second."""
        interval = find_interval(self._drain, self._is_active())
        await asyncio.sleep(interval.total_seconds())

    def apply_records(self, records: list[Record], is_snapshot: bool) -> None:
        """Update servers from their entries; drop those missing after their grace."""
        self.apply_each(records, self._apply_record)
        if is_snapshot:
            named = {decode_key(record) for record in records}
            for entry in self._servers.list_entries():
                if entry.id not in named:
                    self._note_missing(entry.id)
        self._servers.note_reading()
        if self.recovered_at == self.read_at:
            grace = find_grace(self.outage, self._heartbeat_interval)
            self._grace_ends = self.recovered_at + grace
        if self.restored_at is not None and self.restored_at == self.read_at:
            self._grace_ends = self.restored_at + RENEWAL_TIME
        for server_id in self._missing:
            self._servers.mark_missing(server_id, self._grace_ends)
        if self._clock.elapsed() >= self._grace_ends:
            self._drop_missing()
        self.is_ready = True

    def _apply_record(self, record: Record) -> None:
        server_id = decode_key(record)
        if not record.value:
            self._note_missing(server_id)
            return
        try:
            entry = decode_entry(record.key, record.value)
        except DecodeError as error:
            self.skips.note(self.kind, error.reason, server=server_id)
            return
        self._update(server_id, entry)

    def _update(self, server_id: str, entry: ServerEntry) -> None:
        old = self._servers.find(server_id)
        before = old.entry if old is not None else None
        self._missing.discard(server_id)
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

    def _note_missing(self, server_id: str) -> None:
        if self._servers.find(server_id) is None or server_id in self._missing:
            return
        self._missing.add(server_id)
        self._log.write(Event.SERVER_CHANGED, server=server_id, result="missing")

    def _drop_missing(self) -> None:
        while self._missing:
            server_id = self._missing.pop()
            entry = self._servers.remove(server_id)
            if entry is not None:
                self._on_removed(entry)
                self._log.write(Event.SERVER_CHANGED, server=server_id, result="gone")


def decode_key(record: Record) -> str:
    """Return the id of the server whose entry a record holds."""
    return record.key.decode("utf-8", "replace")
