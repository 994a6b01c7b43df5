"""The program ``lavendershift-node``: the gateway process of a VM."""

import os
import signal
import sys
from types import FrameType

INVALID_SETTINGS = 2  # exit code for invalid or missing settings


def exit_while_starting(number: int, frame: FrameType | None) -> None:
    """Exit on a signal that arrives during startup, when there is nothing to drain."""
    # An exception would be lost in a destructor or a callback of a weak reference.
    os._exit(0)


def main() -> None:
    """Run the gateway with the settings file named by the environment."""
    # Signals may arrive during the imports below, which take up most of the startup
    # time, so the handlers come first. A reload is ignored: the settings are still
    # to be read.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, exit_while_starting)
    import asyncio
    import random
    from pathlib import Path

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
    # All parts have stopped; the interpreter's own teardown would use up the grace.
    os._exit(0)


if __name__ == "__main__":
    main()
