"""``lavendershift explain``: the timeline of one request from collected logs.

    lavendershift explain 9c41d07be2a35f68 logs/*.jsonl

prints a line for each event of the request, in order of time. The lines before
them describe the VMs that handled the request: for each VM, the latest event
about each dependency, the configuration and the process, up to the time of the
request's first event, and the limits of servers and the quarantines of prompt parts
that it knew then.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa

NOT_FOUND = 1  # exit code if no log line has the request
# Events of a VM that are printed before those of the request
CONTEXT_EVENTS = frozenset(
    {
        "dependency_lost",
        "dependency_found",
        "configuration_changed",
        "process_started",
        "server_limited",
        "parts_quarantined",
        "parts_released",
    }
)
# Values that end the state of an earlier event
ENDED = frozenset({"unlimited", "parts_released"})
# Fields without which a line is no event
REQUIRED_FIELDS = frozenset({"time", "event", "vm"})
# Fields that ``format_event`` prints without their name, or not at all
COMMON_FIELDS = frozenset(
    {"time", "level", "event", "vm", "failure_domain", "request", "customer"}
)


@cappa.command(name="explain", help="Show the timeline of one request.")
@dataclass
class Explain:
    """Print the timeline of one request from log files."""

    request: Annotated[str, cappa.Arg(help="ID of the request")]
    logs: Annotated[list[Path], cappa.Arg(help="log files, one event per line as JSON")]
    as_json: Annotated[bool, cappa.Arg(long="--json", help="print JSON lines")] = False

    def __call__(self) -> None:
        """Print the timeline, or exit with 1 if no log line has the request."""
        lines = list(read_lines(self.logs))
        found = build_timeline(self.request, lines)
        if not found:
            print(f"no log line has the request {self.request}")
            raise cappa.Exit(code=NOT_FOUND)
        for line in found:
            print(json.dumps(line) if self.as_json else format_event(line))


def read_lines(paths: Iterable[Path]) -> Iterator[dict[str, Any]]:
    """Yield the events in log files, skipping lines that are no JSON event.

    Text before the first brace of a line, such as a log collector's prefix, is
    ignored.
    """
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                start = text.find("{")
                if start < 0:
                    continue
                try:
                    line = json.loads(text[start:])
                except ValueError:
                    continue
                if isinstance(line, dict) and line.keys() >= REQUIRED_FIELDS:
                    yield line


def build_timeline(request: str, lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the events of a request, preceded by the state of its VMs.

    The state is the latest of the ``CONTEXT_EVENTS`` of each VM and dependency, and of
    each server with a limit and quarantine, up to the request's first event.
    """
    lines = sorted(lines, key=lambda line: line["time"])
    own = [line for line in lines if line.get("request") == request]
    if not own:
        return []
    first = own[0]["time"]
    vms = {line["vm"] for line in own}
    context: dict[tuple[str, str], dict[str, Any]] = {}
    for line in lines:
        if line["time"] > first:
            break
        if line["event"] in CONTEXT_EVENTS and line["vm"] in vms:
            names = (line.get(field) for field in ("name", "server", "parts"))
            kind = next((name for name in names if name), line["event"])
            context[line["vm"], kind] = line
    state = [
        line
        for line in context.values()
        if ENDED.isdisjoint((line.get("result"), line["event"]))
    ]
    before = sorted(state, key=lambda line: line["time"])
    return before + own


def format_event(line: dict[str, Any]) -> str:
    """Return an event as one line of text."""
    fields = [
        f"{name}={value}"
        for name, value in line.items()
        if name not in COMMON_FIELDS and value != ""
    ]
    customer = [f"customer={line['customer']}"] if line.get("customer") else []
    text = [line["time"], line["vm"], line["event"], *customer, *fields]
    return " ".join(str(part) for part in text)
