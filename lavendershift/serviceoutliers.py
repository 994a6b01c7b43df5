"""Outliers among the servers of each service."""

import random
from datetime import timedelta

from lavendershift.ejection import OutlierDetector
from lavendershift.serverstates import ServerEntry


class ServiceOutliers:
    """One ``OutlierDetector`` for each service, found by a server's entry."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._detectors: dict[str, OutlierDetector] = {}

    def update_servers(self, service: str, names: set[str]) -> None:
        """Set the servers of a service; those that stay keep their statistics."""
        detector = self._detectors.get(service)
        if detector is None:
            detector = self._detectors[service] = OutlierDetector(self._rng)
        detector.update_servers(names)

    def reset(self, entry: ServerEntry) -> None:
        """Reset the statistics of a server that was restarted."""
        self._detectors[entry.service].reset(entry.id)

    def is_ejected(self, entry: ServerEntry, now: timedelta) -> bool:
        """Return whether a server is ejected at ``now``."""
        detector = self._detectors.get(entry.service)
        return detector is not None and detector.is_ejected(entry.id, now)

    def note_slowness(
        self, entry: ServerEntry, ratio: float, now: timedelta, started: timedelta
    ) -> None:
        """Record the ratio of a latency to its estimate."""
        detector = self._detectors.get(entry.service)
        if detector is not None:
            detector.record_slowness(entry.id, ratio, now, started)

    def note_success(self, entry: ServerEntry) -> None:
        """Record a successful response."""
        detector = self._detectors.get(entry.service)
        if detector is not None:
            detector.record_success(entry.id)

    def note_failure(self, entry: ServerEntry, now: timedelta) -> None:
        """Record a failed response."""
        detector = self._detectors.get(entry.service)
        if detector is not None:
            detector.record_failure(entry.id, now)
