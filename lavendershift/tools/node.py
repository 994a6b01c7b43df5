"""The program ``lavendershift-node``: the gateway on a VM of the platform."""

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

INVALID_SETTINGS = 2  # exit code


def main() -> None:
    """Run with the settings file that the platform names."""
    # A request to reload must not end a process that is about to read its
    # settings, so it is ignored before the imports, which take most of a start.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from lavendershift.clocks import SystemClock
    from lavendershift.platform.application import run_node
    from lavendershift.platform.nodesettings import SETTINGS_VARIABLE, SettingsError

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
