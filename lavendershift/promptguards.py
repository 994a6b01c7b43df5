"""Guard of one request, whose prompt may crash the servers it is sent to.

A delivery asks its guard whether the prompt is in quarantine, and tells it of each
attempt: when the request is sent, when the server responds, and when it breaks off::

    guard = PromptGuard(prompt.part_ids, crashes, quarantine)
    if guard.find_block() is None:
        guard.expose(connection.close)
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
        self._exposure: Exposure | None = None
        self._is_in_flight = False
        self._is_repeat = False

    def find_block(self) -> Block | None:
        """Return the quarantine that stops the request, unless it is a trial of it."""
        block = self._quarantine.find(self.parts)
        return None if block is None or block.parts == self.trial else block

    def expose(self, stop: Callable[[], None]) -> None:
        """Begin an attempt; ``stop`` closes its connection."""
        self._exposure = self._crashes.expose(self.parts, stop)
        self._is_in_flight = True

    def note_response(self) -> None:
        """Record an event or a complete response of the attempt."""
        if self._is_in_flight and self.parts:
            self._quarantine.note_answer(self.parts)
        self.end_exposure()

    def end_exposure(self) -> None:
        """End the time in which the attempt may crash its server."""
        if self._is_in_flight and self._exposure is not None:
            self._crashes.end(self._exposure)
        self._is_in_flight = False

    @property
    def was_stopped(self) -> bool:
        """Whether the last attempt was stopped because of a quarantine."""
        return self._exposure is not None and self._exposure.was_stopped

    async def inspect_break(self, server: ListedServer, has_begun: bool) -> None:
        """Find out whether a server crashed that broke off the attempt.

        ``has_begun`` is set if its response had begun.
        """
        if self._exposure is None or not self.parts:
            return
        was_suspicious = self._quarantine.is_suspicious(self.parts)
        has_begun = has_begun or self._is_repeat
        is_crash = await self._crashes.inspect(server, self._exposure, has_begun)
        self._is_repeat = is_crash
        if is_crash and was_suspicious:
            self.is_suspicious = has_begun
            if not has_begun:
                await asyncio.sleep(SUSPECT_DELAY.total_seconds())
