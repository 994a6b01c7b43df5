"""The program ``lavendershift-router``: routes callers' requests to servers."""

import random
from dataclasses import dataclass
from typing import ClassVar

import cappa

from lavendershift.clocks import SystemClock
from lavendershift.programs import ProgramCommand
from lavendershift.router import RouterApplication
from lavendershift.settings_sections import RouterSettings
from lavendershift.settings_table import Program


@cappa.command(name="lavendershift-router", help="Route requests of callers.")
@dataclass
class RouterCommand(ProgramCommand):
    """The command line of ``lavendershift-router``."""

    program: ClassVar[Program] = Program.ROUTER

    async def run(self, settings: RouterSettings) -> None:
        """Run a router until it is stopped."""
        await RouterApplication(settings, SystemClock(), random.Random()).run()


def main() -> None:
    """Run the command line."""
    cappa.invoke(RouterCommand)
