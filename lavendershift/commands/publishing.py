"""Publishing a record so that it takes effect once, whatever gets lost.

A reply of the log can be lost after the write took effect. The publisher then
looks for the record's id in the stream and, if it isn't there, appends the
same record again under the same id, which counts once::

    publisher = Publisher(log, SystemClock(), timeout=timedelta(seconds=30))
    published = await publisher.publish(change, configuration)
    match published.outcome:
        case Outcome.UNKNOWN: ...
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

READ_LIMIT = 1_000  # entries of one read
RETRY_PAUSE = timedelta(milliseconds=200)

Sleep = Callable[[float], Awaitable[None]]


class PublishOutcome(Enum):
    """What became of a published record, as far as it could be learned."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class PublishedRecord(NamedTuple):
    """The outcome of publishing the record ``id``.

    ``offset`` is -1 and ``reason`` names the last fault when it is unknown.
    """

    id: str
    outcome: PublishOutcome
    offset: int
    reason: str


class Publisher:
    """Appends records to the configuration stream and learns their verdicts.

    ``timeout`` bounds the time for one record, including all repetitions.
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
        """Publish ``record`` and fold ``configuration`` up to its verdict."""
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
        """Append ``record`` unless the stream already has its id."""
        await self._advance(configuration)
        published = find_published(record, configuration)
        if published is None:
            await self._log.append_records(CONFIG_STREAM, [record])
            await self._advance(configuration)
            published = find_published(record, configuration)
        if published is None:
            raise LogUnavailableError("the log does not show the record yet")
        return published

    async def _advance(self, configuration: Configuration) -> None:
        """Fold the stream up to its present end."""
        while True:
            offset = configuration.next_offset
            result = await self._log.read_entries(
                CONFIG_STREAM, offset, READ_LIMIT, timedelta()
            )
            for entry in result.entries:
                configuration.fold(entry)
            if configuration.next_offset >= result.end_offset or not result.entries:
                return


def find_published(
    record: Change | TopUp, configuration: Configuration
) -> PublishedRecord | None:
    """Return the outcome of ``record`` if ``configuration`` has folded it."""
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
    """Return the outcome of a top-up whose verdict is no longer kept."""
    for entry in configuration.top_ups():
        if entry.id == record.id:
            return PublishedRecord(record.id, PublishOutcome.ACCEPTED, entry.offset, "")
    return None
