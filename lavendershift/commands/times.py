"""Formatting of timestamps in the output of the commands."""

from datetime import UTC, datetime, timedelta

EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


def format_time(time_ms: int) -> str:
    """Return a Unix time in ms as ISO 8601 in UTC with milliseconds."""
    time = EPOCH + timedelta(milliseconds=time_ms)
    return time.isoformat(timespec="milliseconds").replace("+00:00", "Z")
