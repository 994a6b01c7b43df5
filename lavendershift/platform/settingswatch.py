"""Watching of the settings file, which may be replaced without a signal."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

# Interval between two checks; a check is one call of the file system.
CHECK_INTERVAL = timedelta(seconds=1)


async def watch_file(path: Path, on_change: Callable[[Path], None]) -> None:
    """Call ``on_change`` whenever the file at ``path`` has changed, until cancelled."""
    stamp = _find_stamp(path)
    while True:
        await asyncio.sleep(CHECK_INTERVAL.total_seconds())
        newer = _find_stamp(path)
        if newer is not None and newer != stamp:
            on_change(path)
            stamp = newer


def _find_stamp(path: Path) -> tuple[int, int, int] | None:
    """Return what changes when the file is written, ``None`` if there is none."""
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino
