"""``lavendershift versions``: when versions of the configuration came into force.

    lavendershift versions logs/*.jsonl --late 2

prints a line for each version: the first VM that had it, how many had it and after how
many seconds, and where they had it from. With ``--late``, the lines of the VMs that had
it later than that follow.
"""

import json
import statistics
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import cappa

from lavendershift.commands.explain import format_event, read_lines

NOT_FOUND = 1  # exit code if no log line has a version
CHANGE = "configuration_changed"


class Spread(NamedTuple):
    """How a version came into force: delays are in seconds after the first VM."""

    version: int
    first_at: str
    first_vm: str
    vms: int
    median_s: float
    longest_s: float
    last_vm: str
    sources: dict[str, int]
    late: list[dict[str, Any]]


@cappa.command(name="versions", help="Show when VMs had each configuration.")
@dataclass
class Versions:
    """Print when versions of the configuration came into force, from log files."""

    logs: Annotated[list[Path], cappa.Arg(help="log files, one event per line as JSON")]
    late: Annotated[
        float | None,
        cappa.Arg(long="--late", help="show VMs that were this many seconds late"),
    ] = None
    as_json: Annotated[bool, cappa.Arg(long="--json", help="print JSON lines")] = False

    def __call__(self) -> None:
        """Print the versions, or exit with 1 if there are none."""
        spreads = measure_spreads(read_lines(self.logs), self.late)
        if not spreads:
            print("no log line has a version of the configuration")
            raise cappa.Exit(code=NOT_FOUND)
        for spread in spreads:
            if self.as_json:
                print(json.dumps(spread._asdict()))
                continue
            print(format_spread(spread))
            for line in spread.late:
                print(f"  {format_event(line)}")


def measure_spreads(
    lines: Iterable[dict[str, Any]], late_s: float | None = None
) -> list[Spread]:
    """Return how each version came into force, in the order of the versions.

    A VM that skipped a version had it when it had a newer one. VMs that started later
    than a version's first VM had it aren't counted for it.
    """
    changes: dict[str, list[tuple[float, dict[str, Any]]]] = {}
    for line in lines:
        if line["event"] == CHANGE and "version" in line:
            at = datetime.fromisoformat(line["time"]).timestamp()
            changes.setdefault(line["vm"], []).append((at, line))
    versions = sorted({line["version"] for own in changes.values() for _, line in own})
    return [_measure(version, changes, late_s) for version in versions]


def _measure(
    version: int,
    changes: dict[str, list[tuple[float, dict[str, Any]]]],
    late_s: float | None,
) -> Spread:
    reached = []
    for own in changes.values():
        newer = [change for change in own if change[1]["version"] >= version]
        if newer:
            started = min(at for at, _ in own)
            reached.append((*min(newer, key=lambda change: change[0]), started))
    reached.sort(key=lambda change: change[0])
    first_at, first, _ = reached[0]
    counted = [
        (at - first_at, line)
        for at, line, started in reached
        if started < first_at or line["version"] == version
    ]
    delays = [delay for delay, _ in counted]
    return Spread(
        version,
        first["time"],
        first["vm"],
        len(counted),
        round(statistics.median(delays), 3),
        round(delays[-1], 3),
        counted[-1][1]["vm"],
        dict(Counter(line.get("source", "") for _, line in counted)),
        [line for delay, line in counted if late_s is not None and delay > late_s],
    )


def format_spread(spread: Spread) -> str:
    """Return a spread as one line of text."""
    sources = " ".join(f"{name}={count}" for name, count in spread.sources.items())
    return (
        f"{spread.version} {spread.first_at} {spread.first_vm} "
        f"vms={spread.vms} median={spread.median_s:.2f} last={spread.longest_s:.2f} "
        f"{spread.last_vm} {sources}"
    )
