"""Failure domains that the operator has evacuated.

Nothing new is sent to the servers of an evacuated failure domain. The operator writes
a record for each evacuation and deletes it at its end. A record that is merely not
among those read doesn't end an evacuation; a reading of the newest record of each key
that lacks it does, as the deletion may have been missed::

    evacuations = Evacuations()
    evacuations.begin("rennes")
    evacuations.includes("rennes")
    evacuations.keep_only([])
"""

from collections.abc import Callable, Iterable
from datetime import timedelta

# Time after which refused callers return. When an evacuation ends is unknown, and its
# end is applied within a second.
EVACUATION_RETRY = timedelta(seconds=3)


class Evacuations:
    """The failure domains under evacuation.

    ``on_change`` is called with a failure domain and whether its evacuation begins,
    ``on_end`` with one whose evacuation ends.
    """

    def __init__(self) -> None:
        self._domains: set[str] = set()
        # Evacuations that the operator hasn't written again since a restore.
        self._unconfirmed: set[str] = set()
        self.on_change: Callable[[str, bool], None] = lambda domain, begins: None
        self.on_end: Callable[[str], None] = lambda domain: None

    def includes(self, failure_domain: str) -> bool:
        """Whether nothing is sent to the servers of a failure domain."""
        return failure_domain in self._domains

    def count(self) -> int:
        """Return the number of failure domains under evacuation."""
        return len(self._domains)

    def begin(self, failure_domain: str) -> None:
        """Record that a failure domain is under evacuation."""
        self._unconfirmed.discard(failure_domain)
        if failure_domain not in self._domains:
            self._domains.add(failure_domain)
            self.on_change(failure_domain, True)

    def end(self, failure_domain: str) -> None:
        """Record that the evacuation of a failure domain was withdrawn."""
        self._unconfirmed.discard(failure_domain)
        if failure_domain in self._domains:
            self._domains.discard(failure_domain)
            self.on_end(failure_domain)
            self.on_change(failure_domain, False)

    def note_restore(self) -> None:
        """Note that the store was restored from a copy that may lack evacuations."""
        self._unconfirmed = set(self._domains)

    def end_unconfirmed(self) -> None:
        """End the evacuations that were not written again since the last restore."""
        for domain in sorted(self._unconfirmed):
            self.end(domain)

    def keep_only(self, failure_domains: Iterable[str]) -> None:
        """End the evacuations of all other failure domains."""
        for domain in sorted(self._domains.difference(failure_domains)):
            self.end(domain)
