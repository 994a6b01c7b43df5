"""``lavendershift requests``: the state and history of one request key."""

import sys
from typing import Annotated, NamedTuple

import cappa
import msgspec

from lavendershift.commands.access import LedgerOptions, LogReader
from lavendershift.commands.output import ExitCode, print_json, print_rows
from lavendershift.commands.runner import run_command
from lavendershift.commands.times import format_time
from lavendershift.records import KIND_OF_RECORD, Entry
from lavendershift.requeststates import RequestState
from lavendershift.streams import LogClient


class HistoryRow(NamedTuple):
    """One ledger record about a request."""

    stream: str
    offset: int
    time: str
    record: str
    incarnation: str
    tokens: int
    status: int | None


class StateRow(NamedTuple):
    """Current state of a request in the ledger.

    ``billed`` is ``None`` until the request is billed.
    """

    budget: str
    claimant: str
    outcome: int | None
    billed: int | None
    attempts: int
    expired: bool


@cappa.command(name="show", help="Show the history of a request key")
class RequestsShow(LedgerOptions, kw_only=True):
    """Show the history of a request key from the log.

    The key is the customer's path, a slash and the Idempotency-Key. Records that
    the log no longer retains are not listed, but the state includes them.

    Example: `lavendershift requests show desks/rennes/plume/proof-118`
    """

    key: Annotated[str, cappa.Arg(help="CUSTOMER/IDEMPOTENCY-KEY")]

    def __call__(self) -> int:
        """Print the history and the state."""
        return run_command(self, self.run)

    async def run(self, log: LogClient) -> ExitCode:
        """Look up the key in all ledgers."""
        reader = LogReader(log)
        history: list[HistoryRow] = []
        states: list[StateRow] = []
        for stream in self.list_streams():
            entries = await reader.read_retained(stream)
            history += list_history(stream, entries, self.key)
            ledger, _ = await reader.read_ledger(
                stream, self.shards, self.key_retention
            )
            state = ledger.find_request(self.key)
            states += [make_state_row(state)] if state is not None else []
        self.print_found(history, states)
        return ExitCode.DONE if history or states else ExitCode.REFUSED

    def print_found(self, history: list[HistoryRow], states: list[StateRow]) -> None:
        """Print the state and the history, or that there are none."""
        if self.json:
            rows = [row._asdict() for row in history]
            state = states[0]._asdict() if states else None
            print_json({"request": self.key, "state": state, "history": rows})
        elif not history and not states:
            print(f"no record of request {self.key!r}", file=sys.stderr)
            if "/" not in self.key:
                print(
                    "expected a key of the form desks/DESK/CUSTOMER/KEY",
                    file=sys.stderr,
                )
        else:
            print_rows(f"State of {self.key}", states, False)
            print_rows("History", history, False)


@cappa.command(name="requests", help="Look up requests")
class Requests(msgspec.Struct):
    """Look up requests."""

    command: cappa.Subcommands[RequestsShow]


def list_history(stream: str, entries: list[Entry], key: str) -> list[HistoryRow]:
    """Return a row for each entry about the request ``key``."""
    return [
        HistoryRow(
            stream,
            entry.offset,
            format_time(entry.time_ms),
            KIND_OF_RECORD[type(entry.record)],
            getattr(entry.record, "incarnation", ""),
            getattr(entry.record, "tokens", 0),
            getattr(entry.record, "status", None),
        )
        for entry in entries
        if entry.record is not None and getattr(entry.record, "request", "") == key
    ]


def make_state_row(state: RequestState) -> StateRow:
    """Return the row of a request's state."""
    return StateRow(
        state.budget,
        state.claimant,
        state.outcome.status if state.outcome else None,
        state.billed,
        len(state.charges),
        state.expired,
    )
