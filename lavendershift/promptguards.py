"""Guard of one request, whose prompt may crash the servers it is sent to.

A delivery asks its guard whether the prompt is in quarantine, and tells it of each
attempt: when the request is sent, when the server responds, and when it breaks off::

    guard = PromptGuard(prompt.part_ids, crashes, quarantine)
    if guard.find_block() is None:
        exposure = guard.expose(connection.close)
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from lavendershift.crashes import CrashDetector, Exposure
from lavendershift.quarantine import Block, Parts, Quarantine
from lavendershift.serverstates import ListedServer

# Delay of a retry that may crash the next server too, while other VMs report the crash.
SUSPECT_DELAY = timedelta(milliseconds=100)


class PromptGuard:
    """Relates the attempts of a request to crashes of servers.

    ``trial`` may be set to quarantined parts of which the request is a trial.
    ``is_suspicious`` is set once a server may have crashed because of the request.
    """

    def __init__(
        self, parts: Parts, crashes: CrashDetector, quarantine: Quarantine
    ) -> None:
        self.parts = parts
        self.trial: Parts | None = None
        self.is_suspicious = False
        self._crashes = crashes
        self._quarantine = quarantine
        self._in_flight: set[Exposure] = set()
        self._is_repeat = False

    def find_block(self) -> Block | None:
        """Return the quarantine that stops the request, unless it is a trial of it."""
        block = self._quarantine.find(self.parts)
        return None if block is None or block.parts == self.trial else block

    def expose(self, stop: Callable[[], None]) -> Exposure:
        """Begin an attempt; ``stop`` closes its connection."""
        exposure = self._crashes.expose(self.parts, stop)
        self._in_flight.add(exposure)
        return exposure

    def note_response(self, exposure: Exposure) -> None:
        """Record an event or a complete response of an attempt."""
        if exposure in self._in_flight and self.parts:
            self._quarantine.note_answer(self.parts)
        self.end_exposure(exposure)

    def end_exposure(self, exposure: Exposure) -> None:
        """End the time in which an attempt may crash its server."""
        if exposure in self._in_flight:
            self._in_flight.remove(exposure)
            self._crashes.end(exposure)

    async def inspect_break(
        self, server: ListedServer, exposure: Exposure, has_begun: bool
    ) -> None:
        """Find out whether a server crashed that broke off an attempt.

        ``has_begun`` is set if its response had begun.
        """
        if not self.parts:
            return
        was_suspicious = self._quarantine.is_suspicious(self.parts)
        has_begun = has_begun or self._is_repeat
        is_crash = await self._crashes.inspect(server, exposure, has_begun)
        self._is_repeat = is_crash
        if is_crash and was_suspicious:
            self.is_suspicious = has_begun
            if not has_begun:
                await asyncio.sleep(SUSPECT_DELAY.total_seconds())
