"""Clients of the log service and of the routers' status endpoint.

``LogReader`` replays the configuration and the ledgers from the log exactly as
the routers do, starting from the latest checkpoint if there is one, so that a
command sees the same outcome of every record as the routers::

    reader = LogReader(log)
    configuration = await reader.read_configuration()
"""

import asyncio
import getpass
import secrets
from collections.abc import Mapping
from datetime import timedelta
from typing import Annotated, NamedTuple

import cappa
import msgspec
from rich.progress import Progress
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError

from lavendershift.checkpoints import join_checkpoint
from lavendershift.commands.output import make_progress
from lavendershift.configuration import Configuration
from lavendershift.errors import RecordsExpiredError
from lavendershift.ledger import Ledger
from lavendershift.nodes import VmSettings
from lavendershift.plugins.http_log import HttpLogClient
from lavendershift.records import CONFIG_STREAM, LEDGER_STREAM_PREFIX, Entry
from lavendershift.streamfollowers import find_bounds, read_checkpoint
from lavendershift.streams import LogClient

READ_LIMIT = 1_000  # maximum number of entries in the response to one read request
STATUS_TIMEOUT = timedelta(seconds=2)
ID_BYTES = 8  # number of random bytes of a record ID, written as 16 hex digits


class LogOptions(msgspec.Struct, kw_only=True):
    """Options of every command that reads the log."""

    log: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env("LAVENDERSHIFT_LOG", default="http://127.0.0.1:7100"),
            help="URL of the log service, by default LAVENDERSHIFT_LOG",
        ),
    ] = "http://127.0.0.1:7100"
    timeout_s: Annotated[
        float, cappa.Arg(long=True, help="Timeout of one request to the log, seconds")
    ] = 5.0
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON")] = False

    def open_log(self) -> LogClient:
        """Return a new client of the log service, to be closed by the caller."""
        return HttpLogClient(self.log, timedelta(seconds=self.timeout_s))


class LedgerOptions(LogOptions, kw_only=True):
    """Options of every command that reads the ledgers."""

    shards: Annotated[
        int,
        cappa.Arg(
            long=True,
            default=cappa.Env("LAVENDERSHIFT_SHARDS", default="1"),
            help="Number of ledger streams, as in the routers' settings",
        ),
    ] = 1
    key_retention_h: Annotated[
        float,
        cappa.Arg(
            long=True,
            help="Retention of idempotency keys, hours, as in the routers' settings",
        ),
    ] = 48.0

    @property
    def key_retention(self) -> timedelta:
        """Retention of idempotency keys."""
        return timedelta(hours=self.key_retention_h)

    def list_streams(self) -> list[str]:
        """Return the names of all ledger streams."""
        return [f"{LEDGER_STREAM_PREFIX}{shard}" for shard in range(self.shards)]


class LogReader:
    """Reads streams up to their current end and replays them."""

    def __init__(self, log: LogClient, progress: Progress | None = None) -> None:
        self._log = log
        self._progress = progress or make_progress()

    async def read_configuration(self) -> Configuration:
        """Return the configuration that is active at the end of the stream."""
        parts = await read_checkpoint(self._log, CONFIG_STREAM)
        configuration = Configuration()
        if parts:
            configuration = Configuration.restore(join_checkpoint(parts)[0])
        return await self.advance_configuration(configuration)

    async def advance_configuration(
        self, configuration: Configuration
    ) -> Configuration:
        """Apply the entries from ``next_offset`` to the current end of the stream."""
        for entry in await self.read_to_end(CONFIG_STREAM, configuration.next_offset):
            configuration.apply(entry)
        return configuration

    async def read_ledger(
        self, stream: str, shards: int, key_retention: timedelta
    ) -> tuple[Ledger, Configuration]:
        """Return the replayed ledger and a configuration that is at least as new.

        The configuration is read after the ledger's entries, because these cite
        configuration offsets.
        """
        parts = await read_checkpoint(self._log, stream)
        start = parts[0].next_offset if parts else 0
        entries = await self.read_to_end(stream, start)
        configuration = await self.read_configuration()
        if parts:
            ledger = Ledger.restore(parts, configuration.prepaid, key_retention)
        else:
            ledger = Ledger(stream, configuration.prepaid, shards, key_retention)
        for entry in entries:
            ledger.apply(entry)
        return ledger, configuration

    async def read_retained(self, stream: str) -> list[Entry]:
        """Return all entries of ``stream`` that the log retains."""
        first, _ = await find_bounds(self._log, stream)
        return await self.read_to_end(stream, first)

    async def read_to_end(self, stream: str, offset: int) -> list[Entry]:
        """Return the entries from ``offset`` to the end that the first read reports."""
        entries: list[Entry] = []
        end = offset + 1
        with self._progress as progress:
            task = progress.add_task(f"reading {stream}", total=None)
            while offset < end:
                result = await self._log.read_entries(
                    stream, offset, READ_LIMIT, timedelta()
                )
                end = result.end_offset if not entries else end
                entries += result.entries
                if not result.entries:
                    break
                offset = result.next_offset
                progress.update(task, completed=offset, total=end)
        return entries


class LedgerStatus(msgspec.Struct):
    """Progress of a router in replaying one ledger stream."""

    stream: str
    next_offset: int
    end_offset: int
    log_reachable: bool = True


class RouterStatus(msgspec.Struct):
    """The fields of a router's ``GET /v1/status`` that the commands use."""

    vm: str
    incarnation: str
    ready: bool
    config_offset: int
    failure_domain: str = ""
    fault: str | None = None
    in_flight: int = 0
    ledgers: list[LedgerStatus] = []
    servers: dict[str, bool] = {}


class StatusResult(NamedTuple):
    """A router's status, or the error of the request for it."""

    vm: str
    status: RouterStatus | None
    fault: str


class StatusClient:
    """Requests the status of routers over HTTP."""

    def __init__(self, timeout: timedelta = STATUS_TIMEOUT) -> None:
        self._timeout = timeout
        self._http = CurlAsyncHTTPClient(force_instance=True)

    async def fetch(self, vm: str, address: str) -> StatusResult:
        """Return the status of the router at ``address``."""
        timeout = self._timeout.total_seconds()
        try:
            response = await self._http.fetch(
                f"http://{address}/v1/status",
                connect_timeout=timeout,
                request_timeout=timeout,
            )
            status = msgspec.json.decode(response.body, type=RouterStatus)
        except (HTTPClientError, OSError) as error:
            return StatusResult(vm, None, str(error))
        except msgspec.DecodeError as error:
            return StatusResult(vm, None, f"invalid status response: {error}")
        return StatusResult(vm, status, "")

    async def fetch_all(self, vms: Mapping[str, VmSettings]) -> list[StatusResult]:
        """Request the status of all ``vms`` concurrently; return it in their order."""
        return await asyncio.gather(
            *(self.fetch(name, vm.address) for name, vm in vms.items())
        )

    def close(self) -> None:
        """Close the HTTP client and its connections."""
        self._http.close()


def make_id() -> str:
    """Return a new random ID for an operator's record."""
    return secrets.token_hex(ID_BYTES)


def find_default_author() -> str:
    """Return the user's login name, or ``unknown``, as the author of records."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def describe_expired_records(error: RecordsExpiredError) -> str:
    """Return the error text for expired records, with what an operator can do."""
    return (
        f"{error}; no checkpoint covers them: start a router, which writes "
        f"one, or restore the stream"
    )
