"""The operators' command ``lavendershift``.

It reads and publishes through the same log service and HTTP interfaces as
everybody else, so it can run anywhere that reaches them. Shell completion::

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


@cappa.command(name="lavendershift")
class Lavendershift(msgspec.Struct):
    """Operate a lavendershift fleet.

    Every command exits with 0 when done, 1 when rejected, invalid or not
    found, and 2 when that is not known or the usage was wrong. Every command
    has --json. The log service is named by --log or LAVENDERSHIFT_LOG.
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
    ]


def main(arguments: list[str] | None = None) -> None:
    """Run the command line and exit."""
    sys.exit(cappa.invoke(Lavendershift, argv=arguments, version=__version__))


if __name__ == "__main__":
    main()
