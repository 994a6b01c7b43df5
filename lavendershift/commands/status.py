"""``lavendershift status``: the state of routers and backend servers."""

from typing import NamedTuple

import cappa

from lavendershift.commands.access import (
    LogOptions,
    LogReader,
    StatusClient,
    StatusResult,
)
from lavendershift.commands.output import ExitCode, print_json, print_rows
from lavendershift.commands.runner import run_command
from lavendershift.configuration import Configuration
from lavendershift.streams import LogClient


class RouterRow(NamedTuple):
    """Status of one VM's router.

    ``config_behind`` and ``ledger_behind`` count the entries of the log that the
    router has not applied yet. A negative ``config_behind`` means that the router
    reads from another log than this command.
    """

    vm: str
    failure_domain: str
    state: str
    ready: bool | None
    config_offset: int | None
    config_behind: int | None
    ledger_behind: int | None
    in_flight: int | None
    incarnation: str
    fault: str


class ServerRow(NamedTuple):
    """One backend server and the number of routers on which it is available.

    ``routers`` counts the routers that responded.
    """

    server: str
    kind: str
    failure_domain: str
    state: str
    available_on: int
    routers: int


@cappa.command(name="status", help="Show VMs, servers and configuration offsets")
class StatusCommand(LogOptions, kw_only=True):
    """Show VMs, backend servers, the active configuration and each router's lag.

    The exit code is 2 if a live VM's router does not respond or is not ready.

    Example: `lavendershift status --json`
    """

    def __call__(self) -> int:
        """Print the tables."""
        return run_command(self, self.run)

    async def run(self, log: LogClient) -> ExitCode:
        """Request the status of all routers in the tree and print it."""
        configuration = await LogReader(log).read_configuration()
        client = StatusClient()
        results = await client.fetch_all(configuration.vms())
        client.close()
        routers = [make_router_row(result, configuration) for result in results]
        servers = list_servers(results, configuration)
        if self.json:
            print_json(
                {
                    "config_offset": configuration.next_offset,
                    "routers": [row._asdict() for row in routers],
                    "servers": [row._asdict() for row in servers],
                }
            )
        else:
            offset = configuration.next_offset
            print_rows(f"Routers, configuration at {offset}", routers, False)
            print_rows("Backend servers", servers, False)
        healthy = all(row.ready for row in routers if row.state == "live")
        return ExitCode.DONE if healthy else ExitCode.UNKNOWN


def make_router_row(result: StatusResult, configuration: Configuration) -> RouterRow:
    """Return the row of one VM, with ``None`` for unknown values."""
    vm = configuration.vms()[result.vm]
    status = result.status
    if status is None:
        return RouterRow(
            result.vm,
            vm.failure_domain,
            vm.state,
            None,
            None,
            None,
            None,
            None,
            "",
            result.fault,
        )
    behind = configuration.next_offset - status.config_offset
    return RouterRow(
        result.vm,
        vm.failure_domain,
        vm.state,
        status.ready,
        status.config_offset,
        behind,
        sum(max(0, item.end_offset - item.next_offset) for item in status.ledgers),
        status.in_flight,
        status.incarnation,
        status.fault or "",
    )


def list_servers(
    results: list[StatusResult], configuration: Configuration
) -> list[ServerRow]:
    """Return a row for each backend server in the tree."""
    reported = [result.status.servers for result in results if result.status]
    return [
        ServerRow(
            name,
            server.kind,
            server.failure_domain,
            server.state,
            sum(servers.get(name, False) for servers in reported),
            len(reported),
        )
        for name, server in configuration.servers().items()
    ]
