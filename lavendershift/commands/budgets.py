"""``lavendershift budgets``: prepaid, spent and held tokens of budgets."""

import sys
from pathlib import Path
from typing import Annotated, NamedTuple

import cappa
import msgspec
from returns.result import Failure, Success

from lavendershift.balances import BudgetView
from lavendershift.commands.access import (
    LedgerOptions,
    LogReader,
    find_default_author,
    make_id,
)
from lavendershift.commands.output import (
    ExitCode,
    make_progress,
    print_faults,
    print_json,
    print_rows,
)
from lavendershift.commands.publish import OUTCOME_EXIT_CODES, PublishOptions
from lavendershift.commands.publisher import PublishedRecord, PublishOutcome
from lavendershift.commands.release import BudgetsRelease
from lavendershift.commands.runner import run_command
from lavendershift.commands.treefiles import TopUpItem, load_top_ups
from lavendershift.configuration import Configuration
from lavendershift.ledger import Ledger
from lavendershift.records import TopUp, find_ledger_stream
from lavendershift.streams import LogClient
from lavendershift.values import suggest_name


class BudgetRow(NamedTuple):
    """Balances of one budget, in tokens."""

    budget: str
    prepaid: int
    spent: int
    billed: int
    held: int
    available: int
    in_doubt: int
    overdrawn: int


class HolderRow(NamedTuple):
    """Unspent tokens of a budget that one router incarnation holds.

    ``missing_acks`` lists the incarnations that have not acknowledged its
    eviction.
    """

    vm: str
    incarnation: str
    state: str
    tokens: int
    missing_acks: tuple[str, ...]


class TopUpRow(NamedTuple):
    """Outcome of publishing one top-up."""

    id: str
    budget: str
    tokens: int
    outcome: PublishOutcome
    offset: int
    reason: str


@cappa.command(name="list", help="List all budgets")
class BudgetsList(LedgerOptions, kw_only=True):
    """List all budgets, or those whose names begin with a prefix.

    Example: `lavendershift budgets list --json`
    """

    prefix: Annotated[str, cappa.Arg(help="Prefix of the budget names")] = ""

    def __call__(self) -> int:
        """Print the balances."""
        return run_command(self, self.run)

    async def run(self, log: LogClient) -> ExitCode:
        """Replay all ledgers and print a row for each budget."""
        rows: list[BudgetRow] = []
        reader = LogReader(log)
        for stream in self.list_streams():
            ledger, configuration = await reader.read_ledger(
                stream, self.shards, self.key_retention
            )
            names = {*configuration.budgets(), *ledger.list_budgets()}
            rows += [
                make_budget_row(name, ledger, configuration)
                for name in names
                if name.startswith(self.prefix)
                and find_ledger_stream(name, self.shards) == stream
            ]
        print_rows("Budgets, in tokens", sorted(rows), self.json)
        return ExitCode.DONE


@cappa.command(name="show", help="Show one budget and the holders of its tokens")
class BudgetsShow(LedgerOptions, kw_only=True):
    """Show one budget and the holders of its tokens.

    Example: `lavendershift budgets show plume`
    """

    budget: Annotated[str, cappa.Arg(help="Name of the budget")]

    def __call__(self) -> int:
        """Print the balances and the holders."""
        return run_command(self, self.run)

    async def run(self, log: LogClient) -> ExitCode:
        """Replay the budget's ledger and print its balances and holders."""
        stream = find_ledger_stream(self.budget, self.shards)
        ledger, configuration = await LogReader(log).read_ledger(
            stream, self.shards, self.key_retention
        )
        known = {*configuration.budgets(), *ledger.list_budgets()}
        if self.budget not in known:
            print(describe_unknown_budget(self.budget, known), file=sys.stderr)
            return ExitCode.REFUSED
        row = make_budget_row(self.budget, ledger, configuration)
        view = ledger.find_budget(self.budget, configuration.next_offset)
        holders = list_holders(ledger, view)
        if self.json:
            listed = [holder._asdict() for holder in holders]
            print_json(row._asdict() | {"holders": listed})
            return ExitCode.DONE
        print_rows("Budget, in tokens", [row], False)
        print_rows("Held, in tokens", holders, False)
        return ExitCode.DONE


@cappa.command(name="top-up", help="Add prepaid tokens to a budget")
class BudgetsTopUp(PublishOptions, kw_only=True):
    """Add prepaid tokens to a budget, or to every budget in a file.

    A top-up can't be undone, so a budget that no node of the tree refers to
    needs --new. A file has `[[top_up]]` tables with `id`, `budget` and `tokens`.
    A top-up takes effect once per ID, so publishing the file again has no effect.

    Example: `lavendershift budgets top-up plume 500000`

    Example: `lavendershift budgets top-up --file budgets.toml`
    """

    budget: Annotated[str | None, cappa.Arg(help="Name of the budget")] = None
    tokens: Annotated[int | None, cappa.Arg(help="Number of tokens to add")] = None
    file: Annotated[Path | None, cappa.Arg(long=True, help="TOML file of top-ups")] = (
        None
    )
    new: Annotated[
        bool, cappa.Arg(long=True, help="Allow budgets that no node refers to yet")
    ] = False

    def __call__(self) -> int:
        """Publish the top-ups."""
        given = [value is not None for value in (self.budget, self.tokens)]
        if any(given) if self.file is not None else not all(given):
            print("expected either a budget and tokens, or --file", file=sys.stderr)
            return ExitCode.UNKNOWN
        if self.file is None:
            item = TopUpItem(self.id or make_id(), self.budget or "", self.tokens or 0)
            return run_command(self, lambda log: self.run(log, [item]))
        match load_top_ups(self.file):
            case Failure(faults):
                print_faults(faults, self.json)
                return ExitCode.REFUSED
            case Success(items):
                return run_command(self, lambda log: self.run(log, items))
        return ExitCode.UNKNOWN

    async def run(self, log: LogClient, items: list[TopUpItem]) -> ExitCode:
        """Publish ``items`` one after another and print the outcome of each."""
        configuration = await LogReader(log).read_configuration()
        unknown = sorted({item.budget for item in items} - {*configuration.budgets()})
        if unknown and not self.new:
            for name in unknown:
                reason = describe_unknown_budget(name, configuration.budgets())
                print(f"{reason}; --new allows it", file=sys.stderr)
            return ExitCode.REFUSED
        publisher = self.make_publisher(log)
        author = self.author or find_default_author()
        rows = []
        with make_progress() as progress:
            for item in progress.track(items, description="top-ups"):
                record = TopUp(item.id, item.budget, item.tokens, author)
                published = await publisher.publish(record, configuration)
                rows.append(make_top_up_row(item, published))
        print_rows("Top-ups", rows, self.json)
        if any(row.outcome is PublishOutcome.UNKNOWN for row in rows):
            print(
                "the outcome of some top-ups is unknown; repeat them with the same IDs",
                file=sys.stderr,
            )
        return max(
            (OUTCOME_EXIT_CODES[row.outcome] for row in rows), default=ExitCode.DONE
        )


@cappa.command(name="budgets", help="Prepaid, spent and held tokens")
class Budgets(msgspec.Struct):
    """Show and top up prepaid budgets, and release tokens of lost routers."""

    command: cappa.Subcommands[
        BudgetsList | BudgetsShow | BudgetsTopUp | BudgetsRelease
    ]


def make_top_up_row(item: TopUpItem, published: PublishedRecord) -> TopUpRow:
    """Return the row for ``item`` with its outcome."""
    return TopUpRow(
        item.id,
        item.budget,
        item.tokens,
        published.outcome,
        published.offset,
        published.reason,
    )


def make_budget_row(
    name: str, ledger: Ledger, configuration: Configuration
) -> BudgetRow:
    """Return the balances of one budget, with the latest prepaid total."""
    view = ledger.find_budget(name, configuration.next_offset)
    held = sum(view.held.values())
    return BudgetRow(
        name,
        view.prepaid,
        view.spent,
        view.billed,
        held,
        view.available,
        view.in_doubt,
        view.overdrawn,
    )


def list_holders(ledger: Ledger, view: BudgetView) -> list[HolderRow]:
    """Return the incarnations that hold tokens, sorted by VM."""
    rows = []
    for incarnation, tokens in view.held.items():
        state = ledger.find_incarnation(incarnation)
        missing: tuple[str, ...] = ()
        if state is not None and state.evicted:
            missing = tuple(ledger.incarnations.find_missing_acks(incarnation))
        rows.append(
            HolderRow(
                state.vm if state else "",
                incarnation,
                state.state.value if state else "unknown",
                tokens,
                missing,
            )
        )
    return sorted(rows)


def describe_unknown_budget(name: str, known: list[str] | set[str]) -> str:
    """Return the error text for an unknown budget, with the most similar name."""
    nearest = suggest_name(name, known)
    hint = f"; did you mean {nearest!r}?" if nearest else ""
    return f"no budget {name!r} in the tree or the ledger{hint}"
