"""Servers whose entries may have expired during an outage of the store.

A server renews its entry with regular heartbeats, and the entry expires after three
failed ones. After an outage a missing entry means either that its server left, or that
the entry expired and will be written again soon. The two can't be told apart: a VM that
alone lost its connection sees the same as after an outage of the store. Their costs
differ: a few missing servers can be left out, but if many are missing, the remaining
ones can't carry the load::

    until = found_at + find_grace(timedelta(seconds=8), interval)
    needs_missing(present=2, known=12)
"""

from datetime import timedelta

RENEWAL_TIME = timedelta(seconds=2)  # until entries are rewritten after an outage
# Heartbeat intervals that an outage lasts at least if it expires an entry: the first of
# the three failed heartbeats may fall on its very beginning.
MIN_OUTAGE_HEARTBEATS = 2
# Share of a service's servers that can carry its load until the others are back.
MIN_PRESENT_SHARE = 0.5


def find_grace(outage: timedelta, interval: timedelta) -> timedelta:
    """Return how long after an outage expired entries may still be rewritten.

    ``interval`` is the time between two heartbeats of a server.
    """
    return RENEWAL_TIME if outage >= MIN_OUTAGE_HEARTBEATS * interval else timedelta()


def needs_missing(present: int, known: int) -> bool:
    """Whether servers with missing entries have to stay in use.

    Load pattern: the store is unreachable for some seconds and all entries expire;
    they are rewritten one by one, and the first servers would get all requests.
    """
    return present < MIN_PRESENT_SHARE * known
