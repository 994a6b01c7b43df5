"""``lavendershift check``: offline validation of settings and tree files."""

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple

import cappa
import msgspec
from returns.result import Failure, Result, Success

from lavendershift.commands.output import ExitCode, print_faults, print_json
from lavendershift.commands.treefiles import FileFault, load_top_ups, load_tree_file
from lavendershift.configuration import Configuration
from lavendershift.configurationchecks import Draft, Finding, Severity
from lavendershift.configurationdiffs import Difference, compare
from lavendershift.errors import DecodeError
from lavendershift.platform.configuration import check_draft, decode_draft
from lavendershift.records import Change
from lavendershift.settings import load_settings
from lavendershift.settings_table import Program


@cappa.command(name="check", help="Validate files offline")
class Check(msgspec.Struct, kw_only=True):
    """Validate files offline, without a connection to the log or the routers.

    All errors are printed, each with file, line and key.

    Example: `lavendershift check router r1.toml r2.toml`

    Example: `lavendershift check tree --whole tree.toml`

    A configuration of the platform is also checked for entries that never match and
    limits that contradict each other, and compared with the one in force.

    Example: `lavendershift check configuration --in-force old.json new.json`
    """

    kind: Annotated[
        Literal["router", "relay", "tree", "top-ups", "configuration"],
        cappa.Arg(help="Kind of file"),
    ]
    files: Annotated[list[Path], cappa.Arg(num_args=-1, help="Files to check")]
    whole: Annotated[
        bool,
        cappa.Arg(
            long=True, help="Validate a tree file as the first change of an empty tree"
        ),
    ] = False
    in_force: Annotated[
        Path | None,
        cappa.Arg(long=True, help="The configuration that a new one will replace"),
    ] = None
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON")] = False

    def __call__(self) -> int:
        """Validate all files and return 1 if any has an error."""
        if self.kind == "configuration":
            reports = [review_file(path, self.in_force) for path in self.files]
            print_reports(reports, self.json)
            return ExitCode.REFUSED if any(map(has_errors, reports)) else ExitCode.DONE
        faults: list[Any] = []
        for path in self.files:
            faults += check_file(self.kind, path, self.whole)
        print_faults(faults, self.json)
        if faults:
            return ExitCode.REFUSED
        if not self.json:
            print(f"{len(self.files)} valid")
        return ExitCode.DONE


class ConfigurationReport(NamedTuple):
    """Findings in a configuration file, and how it differs from the one in force."""

    file: str
    findings: list[Finding]
    differences: list[Difference]


def review_file(path: Path, in_force: Path | None) -> ConfigurationReport:
    """Check a configuration file, and compare it with the one in force."""
    current: Draft | None = None
    try:
        if in_force is not None:
            current, _ = decode_draft(in_force.read_bytes())
        draft, findings = check_draft(path.read_bytes(), current)
    except (OSError, DecodeError) as error:
        found = Finding(Severity.ERROR, "file", str(error))
        return ConfigurationReport(str(path), [found], [])
    differences = [] if current is None else list(compare(current, draft))
    return ConfigurationReport(str(path), findings, differences)


def has_errors(report: ConfigurationReport) -> bool:
    """Return whether a configuration has errors and not only warnings."""
    return any(finding.severity is Severity.ERROR for finding in report.findings)


def print_reports(reports: Sequence[ConfigurationReport], as_json: bool) -> None:
    """Print findings to standard error and differences to standard output."""
    if as_json:
        print_json(
            [
                {
                    "file": report.file,
                    "findings": [finding._asdict() for finding in report.findings],
                    "differences": [each._asdict() for each in report.differences],
                }
                for report in reports
            ]
        )
        return
    for report in reports:
        for finding in report.findings:
            print(f"{report.file}: {finding}", file=sys.stderr)
        for difference in report.differences:
            print(f"{report.file}: {difference}")


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
