"""The program ``lavendershift-node``: the gateway on a VM of the platform."""

import os
import signal
import sys
from types import FrameType

INVALID_SETTINGS = 2  # exit code


def end_start(number: int, frame: FrameType | None) -> None:
    """End a process that was told to stop before it runs; it holds nothing yet."""
    sys.exit(0)


def main() -> None:
    """Run with the settings file that the platform names."""
    # Signals may come before the imports, which take most of a start, are done. A
    # request to reload is ignored then, as the settings are still to be read.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, end_start)
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


if __name__ == "__main__":
    main()
