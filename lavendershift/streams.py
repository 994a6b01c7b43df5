"""The interface through which everything reaches the platform's log service.

A ``LogClient`` either speaks to the log service itself or to a relay that
batches appends and caches reads. Clients are plug-ins, filed under a name by
``register_log_client``, so that another platform needs one new module.
"""

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import NamedTuple, Protocol

from lavendershift.records import Entry, Record


class ReadResult(NamedTuple):
    """A run of entries and where to go on reading.

    ``next_offset`` is one past the last entry, or the offset asked for where
    there was none. ``end_offset`` is one past the last entry of the stream
    that was known when the answer was made. ``confirmed_after`` is when the log
    was asked for it, counted from the call; it is negative for a time before.
    """

    entries: list[Entry]
    next_offset: int
    end_offset: int
    confirmed_after: timedelta = timedelta()


class LogClient(Protocol):
    """Access to append-only streams of records.

    All calls raise ``LogUnavailableError`` when the log service does not
    answer within the client's timeout. ``received_bytes`` counts what all
    answers so far have held.
    """

    @property
    def received_bytes(self) -> int:
        """Bytes of all answers so far."""
        ...

    async def append_records(self, stream: str, records: Sequence[Record]) -> int:
        """Append ``records`` in order and return the offset of the first.

        After ``LogUnavailableError`` the records may have been written. They
        may be appended again unchanged: a repeated id counts once.
        """
        ...

    async def read_entries(
        self, stream: str, offset: int, limit: int, wait: timedelta
    ) -> ReadResult:
        """Return up to ``limit`` entries from ``offset`` on.

        Waits up to ``wait`` for the first one. Raises ``RecordsExpiredError``
        when ``offset`` is no longer retained.
        """
        ...

    async def close(self) -> None:
        """Release connections; calls in flight fail."""
        ...


LogClientFactory = Callable[..., LogClient]
LOG_CLIENTS: dict[str, LogClientFactory] = {}


def register_log_client(name: str) -> Callable[[LogClientFactory], LogClientFactory]:
    """Return a decorator that files a log client under ``name``."""

    def register(factory: LogClientFactory) -> LogClientFactory:
        LOG_CLIENTS[name] = factory
        return factory

    return register
