"""Times as the commands print them."""

from datetime import UTC, datetime, timedelta

EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


def format_time(time_ms: int) -> str:
    """Return the log's time (Unix, ms) as ISO 8601 in UTC."""
    time = EPOCH + timedelta(milliseconds=time_ms)
    return time.isoformat(timespec="milliseconds").replace("+00:00", "Z")
