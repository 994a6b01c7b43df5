"""Whether entries of backend servers may have lapsed while none could be read.

A server writes its entry in regular beats, and the entry lapses after three of them
that failed. A server whose entry is missing may therefore be well after an outage of
the store, and its entry is back soon after the store is. After an outage of one VM only
nothing can have lapsed: the servers went on writing, and a missing entry means that its
server left::

    find_grace(timedelta(seconds=8), beats=6, interval=timedelta(seconds=1.2))
"""

from datetime import timedelta

RETURN_TIME = timedelta(seconds=2)  # from the store's return, for entries to be back
SILENT_BEATS = 2  # without which none lapse; three, one of which came just before


def find_grace(outage: timedelta, beats: int, interval: timedelta) -> timedelta:
    """Return how long after an outage missing entries may still come back.

    ``beats`` are those that the server with most of them wrote in the outage. The rest
    of it is the time in which none of the servers could write.
    """
    silence = outage - beats * interval
    return RETURN_TIME if silence >= SILENT_BEATS * interval else timedelta()
