"""Runs a command's coroutine and turns errors into messages and exit codes."""

import asyncio
import sys
from collections.abc import Awaitable, Callable

from lavendershift.commands.access import LogOptions, describe_expired_records
from lavendershift.commands.output import ExitCode
from lavendershift.errors import DecodeError, LogUnavailableError, RecordsExpiredError
from lavendershift.streams import LogClient


def run_command(
    options: LogOptions, work: Callable[[LogClient], Awaitable[ExitCode]]
) -> int:
    """Run ``work`` with a log client and return the exit code.

    On an error of the log or an interrupt, print it and return
    ``ExitCode.UNKNOWN``.
    """
    try:
        return asyncio.run(_run_with_log(options, work))
    except LogUnavailableError as error:
        print(f"the log service does not answer: {error}", file=sys.stderr)
    except RecordsExpiredError as error:
        print(describe_expired_records(error), file=sys.stderr)
    except DecodeError as error:
        print(f"cannot decode data of the log: {error}", file=sys.stderr)
    except KeyboardInterrupt:
        print("interrupted", file=sys.stderr)
    return ExitCode.UNKNOWN


async def _run_with_log(
    options: LogOptions, work: Callable[[LogClient], Awaitable[ExitCode]]
) -> ExitCode:
    """Run ``work`` with a log client and close the client afterwards."""
    log = options.open_log()
    try:
        return await work(log)
    finally:
        await log.close()
