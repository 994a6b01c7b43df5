"""``lavendershift budgets release``: release the tokens of a lost router."""

import asyncio
import sys
from datetime import timedelta
from typing import Annotated, NamedTuple

import cappa

from lavendershift.clocks import Clock, SystemClock
from lavendershift.commands.access import (
    LedgerOptions,
    LogReader,
    find_default_author,
    make_id,
)
from lavendershift.commands.output import ExitCode, print_result
from lavendershift.commands.publisher import PublishOutcome
from lavendershift.commands.runner import run_command
from lavendershift.configuration import Configuration
from lavendershift.errors import LogUnavailableError
from lavendershift.ledger import Ledger
from lavendershift.records import EvictAck, Release, find_ledger_stream
from lavendershift.streams import LogClient

# Delay of a retry after the log was unavailable.
RETRY_PAUSE = timedelta(milliseconds=200)


class ReleaseResult(NamedTuple):
    """Outcome of a release; ``tokens`` is the number of released tokens."""

    id: str
    outcome: PublishOutcome
    offset: int
    tokens: int
    reason: str


@cappa.command(name="release", help="Release a lost router's tokens on evidence")
class BudgetsRelease(LedgerOptions, kw_only=True):
    """Release a lost router's tokens on evidence.

    Tokens of an evicted router stay in doubt, because it may have spent them.
    Release them only if it is certain that it did not and never will: its VM is
    destroyed, and the backend servers' own records show what they ran for it.
    Other lost routers can't acknowledge the eviction. Acknowledge for them with
    --lost if they are evicted as well and the same is certain of them.

    Example: `lavendershift budgets release plume r3.170-ab 5000
    --evidence "VM r3 destroyed, no requests on any engine"`
    """

    budget: Annotated[str, cappa.Arg(help="Name of the budget")]
    incarnation: Annotated[str, cappa.Arg(help="Incarnation that holds the tokens")]
    tokens: Annotated[int, cappa.Arg(help="Number of tokens to release")]
    evidence: Annotated[
        str, cappa.Arg(long=True, help="Evidence that the tokens are unspent")
    ]
    lost: Annotated[
        list[str],
        cappa.Arg(long=True, help="Other evicted, lost incarnation to acknowledge for"),
    ] = []
    id: Annotated[
        str | None,
        cappa.Arg(long=True, help="ID of an earlier attempt with unknown outcome"),
    ] = None
    author: Annotated[
        str | None, cappa.Arg(long=True, help="Author, by default the login name")
    ] = None
    publish_timeout_s: Annotated[
        float, cappa.Arg(long=True, help="Timeout of publishing with retries, seconds")
    ] = 30.0

    def __call__(self) -> int:
        """Publish the release."""
        if self.tokens <= 0 or not self.evidence.strip():
            print(
                "tokens must be positive and evidence must not be empty",
                file=sys.stderr,
            )
            return ExitCode.UNKNOWN
        return run_command(self, self.run)

    async def run(self, log: LogClient) -> ExitCode:
        """Publish the release and print its outcome in the ledger."""
        record = Release(
            self.id or make_id(),
            self.budget,
            self.incarnation,
            self.tokens,
            self.evidence,
            self.author or find_default_author(),
        )
        timeout = timedelta(seconds=self.publish_timeout_s)
        result = await self.publish(log, record, SystemClock(), timeout)
        print_result(result, describe_release(result), self.json)
        if result.outcome is PublishOutcome.UNKNOWN:
            return ExitCode.UNKNOWN
        accepted = result.outcome is PublishOutcome.ACCEPTED
        return ExitCode.DONE if accepted else ExitCode.REFUSED

    async def publish(
        self, log: LogClient, record: Release, clock: Clock, timeout: timedelta
    ) -> ReleaseResult:
        """Append ``record`` with retries until the stream has it, or until timeout.

        A record whose ID the ledger already has is not appended again. Its outcome is
        reported as unknown, because the ledger's state does not include it.
        """
        stream = find_ledger_stream(self.budget, self.shards)
        ledger, configuration = await LogReader(log).read_ledger(
            stream, self.shards, self.key_retention
        )
        if record.id in ledger.operator_ids:
            reason = "a record with this ID was published before; see `budgets show`"
            return ReleaseResult(record.id, PublishOutcome.UNKNOWN, -1, 0, reason)
        acks = [
            EvictAck(f"{record.id}-{name}", record.incarnation, name)
            for name in self.lost
        ]
        publisher = _ReleasePublisher(log, ledger, configuration, acks)
        deadline = clock.elapsed() + timeout
        while True:
            try:
                return await publisher.publish(record)
            except LogUnavailableError as error:
                fault = str(error)
            if clock.elapsed() >= deadline:
                return ReleaseResult(record.id, PublishOutcome.UNKNOWN, -1, 0, fault)
            await asyncio.sleep(RETRY_PAUSE.total_seconds())


class _ReleasePublisher:
    """Appends a release and replays the ledger up to its outcome.

    The acknowledgements are appended before the release, in the same request.
    """

    def __init__(
        self,
        log: LogClient,
        ledger: Ledger,
        configuration: Configuration,
        acks: list[EvictAck],
    ) -> None:
        self._log = log
        self._acks = acks
        self._reader = LogReader(log)
        self._ledger = ledger
        self._configuration = configuration

    async def publish(self, record: Release) -> ReleaseResult:
        """Append ``record`` unless an earlier attempt did; return its outcome."""
        result = await self._find_result(record)
        if result is None:
            await self._log.append_records(self._ledger.stream, [*self._acks, record])
            result = await self._find_result(record)
        if result is None:
            raise LogUnavailableError("the stream does not have the record yet")
        return result

    async def _find_result(self, record: Release) -> ReleaseResult | None:
        """Apply new entries; return the outcome of ``record`` if it is among them."""
        ledger = self._ledger
        for entry in await self._reader.read_to_end(ledger.stream, ledger.next_offset):
            if ledger.required_config_offset(entry) > self._configuration.next_offset:
                await self._reader.advance_configuration(self._configuration)
            verdict = ledger.apply(entry)
            if entry.record == record:
                outcome = (
                    PublishOutcome.ACCEPTED
                    if verdict.counted
                    else PublishOutcome.REJECTED
                )
                return ReleaseResult(
                    record.id, outcome, entry.offset, verdict.tokens, verdict.reason
                )
        return None


def describe_release(result: ReleaseResult) -> str:
    """Return the result as one line of text."""
    if result.outcome is PublishOutcome.UNKNOWN:
        return f"unknown: {result.reason}. Repeat with --id {result.id}"
    if result.outcome is PublishOutcome.REJECTED:
        return f"rejected at offset {result.offset}: {result.reason}"
    return f"{result.tokens:,} tokens released at offset {result.offset}"
