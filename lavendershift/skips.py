"""Reports of input that was skipped because it can't be decoded.

Each skipped input is counted. The number of log lines is bounded, as another program
may write such input without end::

    skips = SkipReports(clock, log)
    skips.note("server", "nested more than 32 levels deep", server="i-7")
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Unpack

from lavendershift.clocks import Clock
from lavendershift.errors import DecodeError
from lavendershift.linelimits import LineLimit
from lavendershift.logs import Event, EventFields, EventLog

PERIOD = timedelta(seconds=10)
MAX_LINES = 20  # log lines in one period


class SkipReports:
    """Counts skipped input and logs a bounded part of it.

    ``on_skipped`` is called with the kind of each skipped input.
    """

    def __init__(self, clock: Clock, log: EventLog) -> None:
        self._log = log
        self._lines = LineLimit(clock, MAX_LINES, PERIOD)
        self.on_skipped: Callable[[str], None] = lambda kind: None

    def note(
        self,
        kind: str,
        fault: str,
        customer: str = "",
        **fields: Unpack[EventFields],
    ) -> None:
        """Report one input of ``kind``; ``fields`` say which one it is."""
        self.on_skipped(kind)
        if self._lines.take():
            fields["name"], fields["reason"] = kind, fault
            self._log.write(Event.ENTRY_SKIPPED, customer=customer, **fields)

    def note_failure(self, kind: str, error: Exception) -> None:
        """Report an input that failed to be applied, with the place of the failure."""
        if isinstance(error, DecodeError):
            self.note(kind, error.reason)
            return
        self.on_skipped(kind)
        if self._lines.take():
            self._log.write_error(error)
            reason = f"failed with {type(error).__name__}"
            self._log.write(Event.ENTRY_SKIPPED, name=kind, reason=reason)
