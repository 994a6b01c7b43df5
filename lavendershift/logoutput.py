"""Log lines to standard output that never block the process.

Lines that the reader has not yet read wait in a bounded buffer. Lines that do
not fit are dropped. Once half of the buffer is free, the next line is preceded by
one with the number of dropped lines::

    handler = StandardOutputHandler(1, level="INFO")
"""

import os
from collections import deque

import logbook

MAX_BUFFERED_BYTES = 262_144  # limit of the buffer, enough for a few thousand lines
DROPPED_EVENT = "lines_left_out"


class StandardOutputHandler(logbook.Handler, logbook.StringFormatterHandlerMixin):
    """Write each record as a line to a file descriptor, without blocking."""

    def __init__(self, descriptor: int, level: str) -> None:
        logbook.Handler.__init__(self, level)
        logbook.StringFormatterHandlerMixin.__init__(self, None)
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record's line, or buffer it until the reader reads more."""
        line = self.format(record).encode() + b"\n"
        self.flush()
        if self._dropped and self._buffered_bytes < MAX_BUFFERED_BYTES // 2:
            report = f'{{"event":"{DROPPED_EVENT}","count":{self._dropped}}}\n'
            self._dropped = 0
            self._add(report.encode())
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self._dropped += 1
            return
        self._add(line)
        self.flush()

    def flush(self) -> None:
        """Write as many buffered bytes as possible without blocking."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except OSError:
                # The reader is slow or gone; the buffer is bounded in both cases.
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()

    def _add(self, line: bytes) -> None:
        self._buffer.append(line)
        self._buffered_bytes += len(line)
