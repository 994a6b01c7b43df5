"""Servers whose entries may have expired during an outage of the store.

A server renews its entry with regular heartbeats, and the entry expires after three
failed ones. After an outage a missing entry means either that its server left, or that
the entry expired and will be written again soon. A VM can't distinguish the two by what
it reads: if it alone was disconnected, it reads the same as after an outage of the
store. What counts is how many servers are missing: a few can be left out, but if many
are missing, the remaining ones can't carry the load::

    until = found_at + find_grace(timedelta(seconds=8), interval)
    needs_missing(present=2, known=12)
"""

from datetime import timedelta

RENEWAL_TIME = timedelta(seconds=2)  # time to write entries again after an outage
# Heartbeat intervals of the shortest outage that can expire an entry. They are two, not
# three, as the last successful heartbeat may precede the outage by almost an interval.
MIN_OUTAGE_HEARTBEATS = 2
# Share of a service's servers that carry its load until the other entries are written.
MIN_PRESENT_SHARE = 0.5


def find_grace(outage: timedelta, interval: timedelta) -> timedelta:
    """Return how long after an outage expired entries may still be rewritten.

    ``interval`` is the time between two heartbeats of a server.
    """
    return RENEWAL_TIME if outage >= MIN_OUTAGE_HEARTBEATS * interval else timedelta()


def needs_missing(present: int, known: int) -> bool:
    """Whether servers with missing entries have to stay in use.

    Load pattern: the store is unreachable for some seconds and all entries expire;
    they are rewritten one by one, and the servers of the first ones would get all
    requests.
    """
    return present < MIN_PRESENT_SHARE * known
