"""``lavendershift log``: read the entries of a stream."""

import json
import sys
from datetime import timedelta
from typing import Annotated, Any

import cappa
import msgspec

from lavendershift.commands.access import LogOptions
from lavendershift.commands.output import ExitCode
from lavendershift.commands.runner import run_command
from lavendershift.commands.times import format_time
from lavendershift.records import CONFIG_STREAM, Entry, encode_record
from lavendershift.streamfollowers import find_bounds
from lavendershift.streams import LogClient

READ_LIMIT = 1_000  # maximum number of entries in the response to one read request
FOLLOW_WAIT = timedelta(seconds=10)  # long-poll time of a read at the end of a stream


@cappa.command(name="tail", help="Print the last entries of a stream")
class LogTail(LogOptions, kw_only=True):
    """Print the last entries of a stream, and with --follow new ones as they arrive.

    Example: `lavendershift log tail --stream ledger-0 --follow`
    """

    stream: Annotated[str, cappa.Arg(long=True, help="Name of the stream")] = (
        CONFIG_STREAM
    )
    lines: Annotated[
        int, cappa.Arg(short="-n", long=True, help="Number of entries to print")
    ] = 20
    follow: Annotated[
        bool,
        cappa.Arg(short="-f", long=True, help="Print new entries until interrupted"),
    ] = False

    def __call__(self) -> int:
        """Print the entries."""
        return run_command(self, self.run)

    async def run(self, log: LogClient) -> ExitCode:
        """Print the last entries, and with ``follow`` poll the stream for new ones."""
        first, end = await find_bounds(log, self.stream)
        offset = max(first, end - self.lines)
        while offset < end or self.follow:
            wait = FOLLOW_WAIT if offset >= end else timedelta()
            result = await log.read_entries(self.stream, offset, READ_LIMIT, wait)
            for entry in result.entries:
                print(self.format_entry(entry))
            sys.stdout.flush()
            if not result.entries and not self.follow:
                break
            offset = result.next_offset
        return ExitCode.DONE

    def format_entry(self, entry: Entry) -> str:
        """Return ``entry`` as one line, text or JSON."""
        time = format_time(entry.time_ms)
        record = None if entry.record is None else encode_record(entry.record)
        if self.json:
            fields: dict[str, Any] = {
                "offset": entry.offset,
                "time": time,
                "record": record,
                "fault": entry.fault,
            }
            return json.dumps(fields, ensure_ascii=False)
        text = entry.fault or json.dumps(record, ensure_ascii=False)
        return f"{entry.offset:>8} {time} {text}"


@cappa.command(name="log", help="Read streams of the log")
class Log(msgspec.Struct):
    """Read streams of the log."""

    command: cappa.Subcommands[LogTail]
