"""Histories of the platform's store, each of which has offsets of its own.

A store that is restored from an older copy loses what it has acknowledged since, and
assigns the same offsets again. What was read before says nothing about the records at
these offsets; so offsets and conditions of appends are tied to the history from which
they were read::

    first = History(0, 4)
    first < History(0, 5)  # the store was restored
    first < History(1, 0)  # the settings name another address of the store
"""

from typing import NamedTuple

from lavendershift.errors import LogUnavailableError


class History(NamedTuple):
    """A history of the store; a later one is greater.

    ``moves`` counts the changes of the store's address, as the store at another address
    may hold a copy, and the corrections of eras that were read from damaged responses.
    ``era`` is the number of the store's last restore, 0 for stores that send none.
    """

    moves: int = 0
    era: int = 0


class StoreRestoredError(LogUnavailableError):
    """The response belongs to another history than the call."""
