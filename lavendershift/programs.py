"""Command lines of the long-running programs."""

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, ClassVar

import cappa
from returns.result import Failure, Success

from lavendershift.settings import load_settings
from lavendershift.settings_page import render_defaults
from lavendershift.settings_table import Program

INVALID_SETTINGS = 2  # exit code for invalid or missing settings


@dataclass
class ProgramCommand:
    """Arguments that all long-running programs have.

    Subclasses set ``program`` and implement ``run``.
    """

    config: Annotated[Path | None, cappa.Arg(long=True, help="TOML settings file")] = (
        None
    )
    print_defaults: Annotated[
        bool, cappa.Arg(long=True, help="print a settings file of all defaults")
    ] = False

    program: ClassVar[Program]

    async def run(self, settings: Any) -> None:
        """Run the program with validated ``settings`` until it is stopped."""
        raise NotImplementedError

    def __call__(self) -> None:
        """Load the settings and run the program, or print all errors in them."""
        if self.print_defaults:
            print(render_defaults(self.program), end="")
            return
        if self.config is None:
            print("--config is required", file=sys.stderr)
            raise cappa.Exit(code=INVALID_SETTINGS)
        match load_settings(self.config, self.program):
            case Success(settings):
                asyncio.run(self.run(settings))
            case Failure(faults):
                for fault in faults:
                    print(fault, file=sys.stderr)
                raise cappa.Exit(code=INVALID_SETTINGS)
