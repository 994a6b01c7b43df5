"""Publishing of configuration records with at-most-once effect.

The response of the log can be lost after the append took effect. The publisher
then searches the stream for the record's ID and, if it isn't there, retries the
append with the same ID. If both appends turn out to have succeeded, readers
apply the first and treat the second as a duplicate::

    publisher = Publisher(log, SystemClock(), timeout=timedelta(seconds=30))
    published = await publisher.publish(change, configuration)
    match published.outcome:
        case PublishOutcome.UNKNOWN: ...
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.configuration import Configuration
from lavendershift.errors import LogUnavailableError
from lavendershift.records import CONFIG_STREAM, Change, TopUp
from lavendershift.streams import LogClient
from lavendershift.verdicts import Status

READ_LIMIT = 1_000  # maximum number of entries in the response to one read request
# Delay of a retry after the log was unavailable.
RETRY_PAUSE = timedelta(milliseconds=200)

Sleep = Callable[[float], Awaitable[None]]


class PublishOutcome(Enum):
    """Outcome of a published record; unknown if the log did not confirm it."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class PublishedRecord(NamedTuple):
    """The outcome of publishing the record with this ID.

    If the outcome is unknown, ``offset`` is -1 and ``reason`` is the last error.
    """

    id: str
    outcome: PublishOutcome
    offset: int
    reason: str


class Publisher:
    """Appends records to the configuration stream and reads their outcomes.

    ``timeout`` is the time after which publishing one record is no longer
    retried.
    """

    def __init__(
        self,
        log: LogClient,
        clock: Clock,
        timeout: timedelta,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        self._log = log
        self._clock = clock
        self._timeout = timeout
        self._sleep = sleep

    async def publish(
        self, record: Change | TopUp, configuration: Configuration
    ) -> PublishedRecord:
        """Publish ``record`` and replay ``configuration`` until it has the outcome."""
        deadline = self._clock.elapsed() + self._timeout
        fault = ""
        while True:
            try:
                return await self._try_publish(record, configuration)
            except LogUnavailableError as error:
                fault = str(error)
            if self._clock.elapsed() >= deadline:
                return PublishedRecord(record.id, PublishOutcome.UNKNOWN, -1, fault)
            await self._sleep(RETRY_PAUSE.total_seconds())

    async def _try_publish(
        self, record: Change | TopUp, configuration: Configuration
    ) -> PublishedRecord:
        """Append ``record`` unless the stream already has its ID."""
        await self._advance(configuration)
        published = find_published(record, configuration)
        if published is None:
            await self._log.append_records(CONFIG_STREAM, [record])
            await self._advance(configuration)
            published = find_published(record, configuration)
        if published is None:
            raise LogUnavailableError("the stream does not have the record yet")
        return published

    async def _advance(self, configuration: Configuration) -> None:
        """Apply the entries up to the current end of the stream."""
        while True:
            offset = configuration.next_offset
            result = await self._log.read_entries(
                CONFIG_STREAM, offset, READ_LIMIT, timedelta()
            )
            for entry in result.entries:
                configuration.apply(entry)
            if configuration.next_offset >= result.end_offset or not result.entries:
                return


def find_published(
    record: Change | TopUp, configuration: Configuration
) -> PublishedRecord | None:
    """Return the outcome of ``record`` if ``configuration`` has applied it."""
    verdict = configuration.find_verdict(record.id)
    if verdict is None and isinstance(record, TopUp):
        return _find_expired_top_up(record, configuration)
    if verdict is None:
        return None
    accepted = verdict.status is Status.ACCEPTED
    outcome = PublishOutcome.ACCEPTED if accepted else PublishOutcome.REJECTED
    return PublishedRecord(record.id, outcome, verdict.offset, verdict.reason)


def _find_expired_top_up(
    record: TopUp, configuration: Configuration
) -> PublishedRecord | None:
    """Return the outcome of a top-up that the verdict history no longer has.

    The configuration retains all accepted top-ups, but no rejected ones.
    """
    for entry in configuration.top_ups():
        if entry.id == record.id:
            return PublishedRecord(record.id, PublishOutcome.ACCEPTED, entry.offset, "")
    return None
