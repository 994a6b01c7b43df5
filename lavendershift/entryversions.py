"""Versions of server entries, by which late and conflicting ones are told apart."""

from collections import OrderedDict

from lavendershift.serverstates import ServerEntry

MAX_REMOVED = 1000  # removed servers of which the version of the last entry is kept
NO_VERSION = (-1, -1)  # (start, sequence) that is older than any entry


class EntryVersions:
    """Versions of the entries of removed servers, and entries that are disputed."""

    def __init__(self) -> None:
        self._removed: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self._disputed: dict[str, ServerEntry] = {}

    def is_removed(self, entry: ServerEntry) -> bool:
        """Whether an entry is not newer than the last one of its removed server."""
        last = self._removed.get(entry.id, NO_VERSION)
        return (entry.born, entry.sequence) <= last

    def is_same_start(self, entry: ServerEntry) -> bool:
        """Whether an entry is of the incarnation that was removed."""
        return self._removed.get(entry.id, NO_VERSION)[0] == entry.born

    def note_removed(self, entry: ServerEntry) -> None:
        """Record the last entry of a server that is removed."""
        self._disputed.pop(entry.id, None)
        self._removed[entry.id] = (entry.born, entry.sequence)
        if len(self._removed) > MAX_REMOVED:
            self._removed.popitem(last=False)

    def is_conflicting(self, old: ServerEntry, entry: ServerEntry) -> bool:
        """Whether another server may have written ``entry`` under the same id.

        An incarnation never changes its service or address. Such an entry is accepted
        once it is written a second time, as ``old`` may be the wrong one.
        """
        location = (entry.service, entry.address)
        if location == (old.service, old.address):
            self._disputed.pop(entry.id, None)
            return False
        before = self._disputed.get(entry.id)
        self._disputed[entry.id] = entry
        return before is None or (before.service, before.address) != location
