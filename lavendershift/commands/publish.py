"""``lavendershift publish`` and ``drain``: changes of the settings tree."""

import asyncio
import sys
from datetime import timedelta
from pathlib import Path
from typing import Annotated, Literal, NamedTuple

import cappa
from returns.result import Failure, Success

from lavendershift.clocks import Clock, SystemClock
from lavendershift.commands.access import (
    LogOptions,
    LogReader,
    StatusClient,
    StatusResult,
    find_default_author,
    make_id,
)
from lavendershift.commands.output import (
    ExitCode,
    make_progress,
    print_faults,
    print_json,
    print_result,
)
from lavendershift.commands.publisher import PublishedRecord, Publisher, PublishOutcome
from lavendershift.commands.runner import run_command
from lavendershift.commands.tree import select_changed
from lavendershift.commands.treefiles import load_tree_file
from lavendershift.configuration import Configuration
from lavendershift.nodes import VmSettings
from lavendershift.records import Change, Setting
from lavendershift.streams import LogClient
from lavendershift.values import suggest_name

# Interval between two status requests of --wait.
POLL_INTERVAL = timedelta(milliseconds=200)

OUTCOME_EXIT_CODES = {
    PublishOutcome.ACCEPTED: ExitCode.DONE,
    PublishOutcome.REJECTED: ExitCode.REFUSED,
    PublishOutcome.UNKNOWN: ExitCode.UNKNOWN,
}


class PublishResult(NamedTuple):
    """Outcome of a change, and the number of routers on which it is active.

    ``in_force`` and ``routers`` are ``None`` without --wait. ``behind`` lists the
    VMs whose routers have not confirmed the change.
    """

    id: str
    outcome: PublishOutcome
    offset: int
    reason: str
    in_force: int | None = None
    routers: int | None = None
    behind: tuple[str, ...] = ()


class PublishOptions(LogOptions, kw_only=True):
    """Options of every command that publishes a record."""

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

    def make_publisher(self, log: LogClient) -> Publisher:
        """Return a publisher with the timeout of the options."""
        timeout = timedelta(seconds=self.publish_timeout_s)
        return Publisher(log, SystemClock(), timeout)


class TreePublishOptions(PublishOptions, kw_only=True):
    """Options of every command that changes the tree."""

    wait: Annotated[
        bool,
        cappa.Arg(long=True, help="Wait until the change is active on all routers"),
    ] = False
    wait_s: Annotated[
        float, cappa.Arg(long=True, help="Timeout of --wait, seconds")
    ] = 30.0

    async def publish_settings(
        self,
        log: LogClient,
        configuration: Configuration,
        settings: list[Setting],
        base: int,
    ) -> ExitCode:
        """Publish ``settings`` as one change and print its outcome.

        ``base`` is the configuration offset that the change is based on.
        """
        change = Change(
            self.id or make_id(), base, self.author or find_default_author(), settings
        )
        published = await self.make_publisher(log).publish(change, configuration)
        result = PublishResult(*published)
        if self.wait and published.outcome is PublishOutcome.ACCEPTED:
            wait = timedelta(seconds=self.wait_s)
            result = await wait_until_active(
                published, configuration, StatusClient(), SystemClock(), wait
            )
        print_result(result, describe_result(result), self.json)
        if result.behind:
            return ExitCode.UNKNOWN
        return OUTCOME_EXIT_CODES[result.outcome]


@cappa.command(name="publish", help="Publish a file of settings to the tree")
class Publish(TreePublishOptions, kw_only=True):
    """Publish a file of settings to the tree.

    The file has a table for each node. By default, only values that differ from
    the active ones are published, based on the latest configuration. With --base,
    all values are published, and the change is rejected if any of their keys was
    changed at that offset or later.

    The outcome is accepted, rejected with a reason, or unknown if the log did
    not respond in time. After "unknown", repeat the command with the --id that
    it printed: a change with this ID takes effect at most once.

    Example: `lavendershift publish tree.toml --wait`

    Example: `lavendershift publish tree.toml --base 41`
    """

    file: Annotated[Path, cappa.Arg(help="Tree file")]
    base: Annotated[
        int | None,
        cappa.Arg(long=True, help="Configuration offset that the change is based on"),
    ] = None

    def __call__(self) -> int:
        """Validate and publish the file."""
        match load_tree_file(self.file):
            case Failure(faults):
                print_faults(faults, self.json)
                return ExitCode.REFUSED
            case Success(settings):
                return run_command(self, lambda log: self.run(log, settings))
        return ExitCode.UNKNOWN

    async def run(self, log: LogClient, settings: list[Setting]) -> ExitCode:
        """Publish the values that differ, or with ``base`` all of them.

        If the configuration already has a change with the given ID, the values are
        not compared with the active ones: they may be active through that change,
        and the command prints its outcome.
        """
        configuration = await LogReader(log).read_configuration()
        if self.id and configuration.find_verdict(self.id):
            return await self.publish_settings(log, configuration, settings, 0)
        base = configuration.next_offset if self.base is None else self.base
        if self.base is None:
            settings = select_changed(configuration, settings)
        if not settings:
            print("nothing to change", file=sys.stderr)
            if self.json:
                print_json({"outcome": "unchanged"})
            return ExitCode.DONE
        return await self.publish_settings(log, configuration, settings, base)


@cappa.command(name="drain", help="Drain a VM or a backend server")
class Drain(TreePublishOptions, kw_only=True):
    """Set a VM or a backend server to `leaving`, or with --undo to `live`.

    A leaving server gets no new requests; a leaving VM is no longer advertised
    to callers. Requests in flight are completed.

    Example: `lavendershift drain server index1 --wait`
    """

    kind: Annotated[Literal["vm", "server"], cappa.Arg(help="Kind of node")]
    name: Annotated[str, cappa.Arg(help="Name of the node in the tree")]
    undo: Annotated[bool, cappa.Arg(long=True, help="Set it to live again")] = False

    def __call__(self) -> int:
        """Publish the change of state."""
        return run_command(self, self.run)

    async def run(self, log: LogClient) -> ExitCode:
        """Publish the new state if the tree has the node."""
        configuration = await LogReader(log).read_configuration()
        known = configuration.vms() if self.kind == "vm" else configuration.servers()
        if self.name not in known:
            nearest = suggest_name(self.name, known)
            hint = f"; did you mean {nearest!r}?" if nearest else ""
            print(f"no {self.kind} {self.name!r} in the tree{hint}", file=sys.stderr)
            return ExitCode.REFUSED
        state = "live" if self.undo else "leaving"
        setting = Setting(f"{self.kind}s/{self.name}", "state", state)
        base = configuration.next_offset
        return await self.publish_settings(log, configuration, [setting], base)


async def wait_until_active(
    published: PublishedRecord,
    configuration: Configuration,
    client: StatusClient,
    clock: Clock,
    wait: timedelta,
) -> PublishResult:
    """Poll the tree's routers until the change is active on all, or ``wait`` elapses.

    Returns ``published`` with the number of routers on which the change is active.
    A leaving VM counts for as long as its router responds.
    """
    vms = dict(configuration.vms())
    deadline = clock.elapsed() + wait
    behind = set(vms)
    with make_progress() as progress:
        task = progress.add_task("routers with the change active", total=len(vms))
        while True:
            results = await client.fetch_all(select_vms(vms, behind))
            for name in find_stopped_vms(results, vms):
                del vms[name]
            behind = behind & set(vms) - find_confirmed_vms(results, published.offset)
            progress.update(task, completed=len(vms) - len(behind), total=len(vms))
            if not behind or clock.elapsed() >= deadline:
                break
            await asyncio.sleep(POLL_INTERVAL.total_seconds())
    client.close()
    in_force = len(vms) - len(behind)
    return PublishResult(*published, in_force, len(vms), tuple(sorted(behind)))


def find_stopped_vms(
    results: list[StatusResult], vms: dict[str, VmSettings]
) -> list[str]:
    """Return the leaving VMs whose router does not respond."""
    return [
        result.vm
        for result in results
        if result.status is None and vms[result.vm].state == "leaving"
    ]


def select_vms(vms: dict[str, VmSettings], names: set[str]) -> dict[str, VmSettings]:
    """Return the VMs with these names."""
    return {name: vms[name] for name in sorted(names)}


def find_confirmed_vms(results: list[StatusResult], offset: int) -> set[str]:
    """Return the VMs whose router has applied the entry at ``offset``."""
    return {
        result.vm
        for result in results
        if result.status is not None and result.status.config_offset > offset
    }


def describe_result(result: PublishResult) -> str:
    """Return the result as one line of text."""
    if result.outcome is PublishOutcome.UNKNOWN:
        return (
            f"unknown: {result.reason}; the change may still take effect. "
            f"Repeat with --id {result.id}"
        )
    if result.outcome is PublishOutcome.REJECTED:
        return f"rejected at offset {result.offset}: {result.reason}"
    text = f"accepted at offset {result.offset}, id {result.id}"
    if result.routers is None:
        return text
    text = f"{text}; in force on {result.in_force} of {result.routers} routers"
    return f"{text}, not on {', '.join(result.behind)}" if result.behind else text
