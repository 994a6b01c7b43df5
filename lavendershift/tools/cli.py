"""The operators' command line ``lavendershift``.

It uses only the log service and the HTTP interfaces of the routers, so it runs
on any host that can reach them. To generate shell completion::

    lavendershift --completion generate
"""

import sys

import cappa
import msgspec

from lavendershift import __version__
from lavendershift.commands.budgets import Budgets
from lavendershift.commands.check import Check
from lavendershift.commands.explain import Explain
from lavendershift.commands.logtail import Log
from lavendershift.commands.publish import Drain, Publish
from lavendershift.commands.requests import Requests
from lavendershift.commands.status import StatusCommand
from lavendershift.commands.tree import Tree
from lavendershift.commands.versions import Versions


@cappa.command(name="lavendershift")
class Lavendershift(msgspec.Struct):
    """Operate a lavendershift fleet.

    Every command exits with 0 on success, 1 if something was rejected, invalid or
    not found, and 2 if the outcome is unknown or the usage is wrong. Every command
    has --json. The URL of the log service is --log or LAVENDERSHIFT_LOG.
    """

    command: cappa.Subcommands[
        Check
        | Tree
        | Publish
        | Budgets
        | Requests
        | StatusCommand
        | Drain
        | Log
        | Explain
        | Versions
    ]


def main(arguments: list[str] | None = None) -> None:
    """Run the command line and exit."""
    sys.exit(cappa.invoke(Lavendershift, argv=arguments, version=__version__))


if __name__ == "__main__":
    main()
