"""The program ``lavendershift-node``: the gateway on a VM of the platform."""

import asyncio
import os
import random
import sys
from pathlib import Path

from lavendershift.clocks import SystemClock
from lavendershift.platform.application import run_node
from lavendershift.platform.nodesettings import SETTINGS_VARIABLE, SettingsError

INVALID_SETTINGS = 2  # exit code


def main() -> None:
    """Run with the settings file that the platform names."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        print(f"{SETTINGS_VARIABLE} names no settings file", file=sys.stderr)
        sys.exit(INVALID_SETTINGS)
    try:
        asyncio.run(run_node(Path(path), SystemClock(), random.Random()))
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(INVALID_SETTINGS)


if __name__ == "__main__":
    main()
