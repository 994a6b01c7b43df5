"""The program ``lavendershift-router``."""

import asyncio
import random
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from returns.result import Failure, Success

from lavendershift.clocks import SystemClock
from lavendershift.router import RouterApplication
from lavendershift.settings import load_settings
from lavendershift.settings_page import render_defaults
from lavendershift.settings_sections import RouterSettings
from lavendershift.settings_table import Program


@cappa.command(name="lavendershift-router", help="Route requests of callers.")
@dataclass
class RouterCommand:
    """Arguments of the program."""

    config: Annotated[Path | None, cappa.Arg(long=True, help="TOML settings file")] = (
        None
    )
    print_defaults: Annotated[
        bool, cappa.Arg(long=True, help="print a settings file of all defaults")
    ] = False

    def __call__(self) -> None:
        """Run the router until it is told to stop."""
        if self.print_defaults:
            print(render_defaults(Program.ROUTER), end="")
            return
        if self.config is None:
            print("--config is required", file=sys.stderr)
            raise cappa.Exit(code=2)
        match load_settings(self.config, Program.ROUTER):
            case Success(RouterSettings() as settings):
                asyncio.run(run_router(settings))
            case Failure(faults):
                for fault in faults:
                    print(fault, file=sys.stderr)
                raise cappa.Exit(code=2)


async def run_router(settings: RouterSettings) -> None:
    """Run a router with ``settings`` on the current loop."""
    await RouterApplication(settings, SystemClock(), random.Random()).run()


def main() -> None:
    """Run the command line."""
    cappa.invoke(RouterCommand)
