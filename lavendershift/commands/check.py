"""``lavendershift check``: offline validation of settings and tree files."""

from pathlib import Path
from typing import Annotated, Any, Literal

import cappa
import msgspec
from returns.result import Failure, Result, Success

from lavendershift.commands.output import ExitCode, print_faults
from lavendershift.commands.treefiles import FileFault, load_top_ups, load_tree_file
from lavendershift.configuration import Configuration
from lavendershift.records import Change
from lavendershift.settings import load_settings
from lavendershift.settings_table import Program


@cappa.command(name="check", help="Validate files offline")
class Check(msgspec.Struct, kw_only=True):
    """Validate files offline, without a connection to the log or the routers.

    All errors are printed, each with file, line and key.

    Example: `lavendershift check router r1.toml r2.toml`

    Example: `lavendershift check tree --whole tree.toml`
    """

    kind: Annotated[
        Literal["router", "relay", "tree", "top-ups"], cappa.Arg(help="Kind of file")
    ]
    files: Annotated[list[Path], cappa.Arg(num_args=-1, help="Files to check")]
    whole: Annotated[
        bool,
        cappa.Arg(
            long=True, help="Validate a tree file as the first change of an empty tree"
        ),
    ] = False
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON")] = False

    def __call__(self) -> int:
        """Validate all files and return 1 if any has an error."""
        faults: list[Any] = []
        for path in self.files:
            faults += check_file(self.kind, path, self.whole)
        print_faults(faults, self.json)
        if faults:
            return ExitCode.REFUSED
        if not self.json:
            print(f"{len(self.files)} valid")
        return ExitCode.DONE


def check_file(kind: str, path: Path, whole: bool) -> list[Any]:
    """Return the errors in one file."""
    if kind == "tree":
        return check_tree_file(path, whole)
    found: Result[Any, Any]
    if kind == "top-ups":
        found = load_top_ups(path)
    else:
        found = load_settings(path, Program(kind))
    return list(found.failure()) if isinstance(found, Failure) else []


def check_tree_file(path: Path, whole: bool) -> list[FileFault]:
    """Return the errors in a tree file.

    With ``whole``, also check the file as the first change of an empty
    configuration, which is invalid if a required value is missing.
    """
    match load_tree_file(path):
        case Failure(faults):
            return list(faults)
        case Success(settings):
            change = Change("check", 0, "", settings)
            reason = Configuration().check(change) if whole else ""
            return [FileFault(str(path), 0, "", reason)] if reason else []
    raise AssertionError("a result is a success or a failure")
