"""Client interface of the platform's log service.

A ``LogClient`` connects either to the log service or to a relay that batches
appends and caches reads. Clients are plug-ins that ``register_log_client``
registers under a name, so that support for another platform is one new module.
"""

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import NamedTuple, Protocol

from lavendershift.records import Entry, Record


class ReadResult(NamedTuple):
    """Consecutive entries and the offset of the next read.

    ``next_offset`` is one past the last entry, or the requested offset if there
    are none. ``end_offset`` is one past the last entry of the stream that was known
    when the response was made. ``confirmed_after`` is when the log service was
    asked for ``end_offset``, counted from the call; it is negative if a relay had
    asked before the call.
    """

    entries: list[Entry]
    next_offset: int
    end_offset: int
    confirmed_after: timedelta = timedelta()


class LogClient(Protocol):
    """Access to append-only streams of records.

    All calls raise ``LogUnavailableError`` if the log service does not respond
    within the client's timeout.
    """

    @property
    def received_bytes(self) -> int:
        """Bytes received in all responses so far."""
        ...

    async def append_records(self, stream: str, records: Sequence[Record]) -> int:
        """Append ``records`` in order and return the offset of the first.

        After ``LogUnavailableError`` the records may have been written. It is safe to
        append them again unchanged, because a duplicate id has no effect.
        """
        ...

    async def read_entries(
        self, stream: str, offset: int, limit: int, wait: timedelta
    ) -> ReadResult:
        """Return up to ``limit`` entries from ``offset`` on.

        Waits up to ``wait`` for the first entry. Raises ``RecordsExpiredError`` if
        ``offset`` is no longer retained.
        """
        ...

    async def close(self) -> None:
        """Release connections; in-flight calls fail."""
        ...


LogClientFactory = Callable[..., LogClient]
LOG_CLIENTS: dict[str, LogClientFactory] = {}


def register_log_client(name: str) -> Callable[[LogClientFactory], LogClientFactory]:
    """Return a decorator that registers a log client under ``name``."""

    def register(factory: LogClientFactory) -> LogClientFactory:
        LOG_CLIENTS[name] = factory
        return factory

    return register
