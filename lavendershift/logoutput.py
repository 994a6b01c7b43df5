"""Log lines to standard output that never block the process.

Lines that a reader does not take in time wait in a bounded buffer. What does
not fit is left out, and the next line that fits tells how many were::

    handler = StandardOutputHandler(1, level="INFO")
"""

import os
from collections import deque

import logbook

MAX_WAITING_BYTES = 262_144  # some thousand lines
REPORT_EVENT = "lines_left_out"


class StandardOutputHandler(logbook.Handler, logbook.StringFormatterHandlerMixin):
    """Writes each record as a line to a file descriptor, without blocking."""

    def __init__(self, descriptor: int, level: str) -> None:
        logbook.Handler.__init__(self, level)
        logbook.StringFormatterHandlerMixin.__init__(self, None)
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._left_out = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record's line, or keep it until the reader goes on."""
        line = self.format(record).encode() + b"\n"
        self.flush()
        if self._left_out and self._waiting_bytes < MAX_WAITING_BYTES // 2:
            report = f'{{"event":"{REPORT_EVENT}","count":{self._left_out}}}\n'
            self._left_out = 0
            self._add(report.encode())
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self._left_out += 1
            return
        self._add(line)
        self.flush()

    def flush(self) -> None:
        """Write as much of what waits as the reader takes now."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except OSError:  # the reader is slow, or gone; the bound holds for both
                return
            self._waiting_bytes -= written
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()

    def _add(self, line: bytes) -> None:
        self._waiting.append(line)
        self._waiting_bytes += len(line)
