"""``lavendershift tree``: active values, and the changes a file would make."""

from pathlib import Path
from typing import Annotated, Any, NamedTuple

import cappa
import msgspec
from returns.result import Failure, Success

from lavendershift.commands.access import LogOptions, LogReader
from lavendershift.commands.output import ExitCode, print_faults, print_rows
from lavendershift.commands.runner import run_command
from lavendershift.commands.treefiles import load_tree_file
from lavendershift.configuration import Configuration
from lavendershift.records import Setting
from lavendershift.streams import LogClient
from lavendershift.tree import ROWS, check_setting, find_node_kind
from lavendershift.tree_values import ResolvedValue
from lavendershift.values import suggest_name

DEFAULT_SOURCE = "(default)"
ROOT_NAME = "(root)"


class ValueRow(NamedTuple):
    """An active value at a node and the node that sets it."""

    path: str
    key: str
    value: Any
    source: str


class DiffRow(NamedTuple):
    """The change that a file would make to one key."""

    path: str
    key: str
    in_force: Any
    source: str
    file: Any


@cappa.command(name="show", help="Show active values and the nodes that set them")
class TreeShow(LogOptions, kw_only=True):
    """Show active values and the nodes that set them.

    Without a path, all values set in the tree are listed. With a path, all
    active values at that node are listed, with the node they are inherited from.

    Example: `lavendershift tree show desks/rennes/plume`
    """

    path: Annotated[str | None, cappa.Arg(help='Path of a node; "" is the root')] = None

    def __call__(self) -> int:
        """Print the rows."""
        return run_command(self, self.run)

    async def run(self, log: LogClient) -> ExitCode:
        """Read the configuration and print the rows."""
        configuration = await LogReader(log).read_configuration()
        offset = configuration.next_offset
        if self.path is None:
            rows = list_set_values(configuration)
            print_rows(f"Values set, offset {offset}", rows, self.json)
            return ExitCode.DONE
        if find_node_kind(self.path) is None:
            nearest = suggest_name(self.path, configuration.nodes())
            hint = f"; did you mean {nearest!r}?" if nearest else ""
            print_faults([f"{self.path!r} is not a path in the tree{hint}"], False)
            return ExitCode.REFUSED
        rows = list_values(configuration, self.path)
        print_rows(f"{self.path or ROOT_NAME}, offset {offset}", rows, self.json)
        return ExitCode.DONE


@cappa.command(name="diff", help="Show what publishing a file would change")
class TreeDiff(LogOptions, kw_only=True):
    """Show what publishing a file would change.

    Example: `lavendershift tree diff tree.toml`
    """

    file: Annotated[Path, cappa.Arg(help="Tree file")]

    def __call__(self) -> int:
        """Print the rows."""
        return run_command(self, self.run)

    async def run(self, log: LogClient) -> ExitCode:
        """Compare the file with the active configuration."""
        match load_tree_file(self.file):
            case Failure(faults):
                print_faults(faults, self.json)
                return ExitCode.REFUSED
            case Success(settings):
                configuration = await LogReader(log).read_configuration()
                rows = list_differences(configuration, settings)
                print_rows(f"Changes by {self.file}", rows, self.json)
        return ExitCode.DONE


@cappa.command(name="tree", help="Show and compare the settings tree")
class Tree(msgspec.Struct):
    """Show and compare the settings tree."""

    command: cappa.Subcommands[TreeShow | TreeDiff]


def format_source(resolved: ResolvedValue) -> str:
    """Return the node that sets a value as the tables print it."""
    if resolved.path is None:
        return DEFAULT_SOURCE
    return resolved.path or ROOT_NAME


def list_set_values(configuration: Configuration) -> list[ValueRow]:
    """Return all values that are set on a node."""
    return [
        ValueRow(path, key, value, path or ROOT_NAME)
        for path, values in configuration.nodes().items()
        for key, value in values.items()
    ]


def list_values(configuration: Configuration, path: str) -> list[ValueRow]:
    """Return all active values at ``path``, inherited and default ones included."""
    kind = find_node_kind(path)
    rows = []
    for key in ROWS[kind] if kind else ():
        resolved = configuration.explain(path, key)
        rows.append(ValueRow(path, key, resolved.value, format_source(resolved)))
    return rows


def list_differences(
    configuration: Configuration, settings: list[Setting]
) -> list[DiffRow]:
    """Return the settings that differ from the values set on their nodes."""
    rows = []
    for setting in select_changed(configuration, settings):
        resolved = configuration.explain(setting.path, setting.key)
        rows.append(
            DiffRow(
                setting.path,
                setting.key,
                resolved.value,
                format_source(resolved),
                "(removed)" if setting.value is None else setting.value,
            )
        )
    return rows


def select_changed(
    configuration: Configuration, settings: list[Setting]
) -> list[Setting]:
    """Return the settings whose node does not have their value yet.

    All settings must be valid.
    """
    nodes = configuration.nodes()
    return [
        setting
        for setting in settings
        if nodes.get(setting.path, {}).get(setting.key)
        != check_setting(setting).unwrap()
    ]
