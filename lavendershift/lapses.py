"""Servers whose entries may have lapsed while none could be read or written.

A server writes its entry in regular beats, and the entry lapses after three of them
that failed. After an outage a missing entry means that its server left, or that it
lapsed and is back soon. Nothing that can be read tells the two apart: a VM that was cut
off alone sees what it would see after an outage of the store. What is at stake differs:
few missing servers are hardly missed, where many are, the others can't carry the load::

    until = found_at + find_grace(timedelta(seconds=8), interval)
    is_needed(present=2, known=12)
"""

from datetime import timedelta

RETURN_TIME = timedelta(seconds=2)  # from the store's return, for entries to be back
MISSED_HEARTBEATS = 2  # without which none lapse; three, one of which came just before
MIN_PRESENT_SHARE = 0.5  # of a service's servers, which carry its load for that time


def find_grace(outage: timedelta, interval: timedelta) -> timedelta:
    """Return how long after an outage missing entries may still come back.

    ``interval`` is the time between two beats of a server.
    """
    return RETURN_TIME if outage >= MISSED_HEARTBEATS * interval else timedelta()


def needs_missing(present: int, known: int) -> bool:
    """Whether missing servers of a service have to be used for now.

    Load pattern: the store is away for some seconds and all entries lapse; they come
    back one by one, and the first servers that do would get all requests.
    """
    return present < MIN_PRESENT_SHARE * known
