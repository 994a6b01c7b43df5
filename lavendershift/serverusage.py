"""The load that one attempt puts on a server, and what its response tells of its speed.

A silence says nothing about speed, so a response with one is not measured. Neither are
errors, which are often faster than the work::

    usage = ServerUsage(clock, servers, server, prompt)
    usage.note_first_event(was_silent=False)
    usage.finish()
"""

from datetime import timedelta

from lavendershift.clocks import Clock
from lavendershift.serverlist import ServerList
from lavendershift.serverstates import ListedServer, PromptShape


class ServerUsage:
    """A request that counts towards its server's load until ``finish``."""

    def __init__(
        self,
        clock: Clock,
        servers: ServerList,
        server: ListedServer,
        prompt: PromptShape,
    ) -> None:
        self._clock = clock
        self._servers = servers
        self._assignment = servers.start(server, prompt)
        self._is_prompt_read = False
        self._first_event_at: timedelta | None = None

    @property
    def expected(self) -> timedelta:
        """The estimated time to the first event."""
        return self._assignment.expected

    def note_first_event(self, was_silent: bool) -> None:
        """Record that an event arrived; all but the first are ignored."""
        if self._is_prompt_read:
            return
        self._first_event_at = self._clock.elapsed()
        if not was_silent:
            self._servers.record_latency(self._assignment)
        self._note_prompt_read()

    def note_response(self, status: int, was_silent: bool) -> None:
        """Record a complete response that is not a stream."""
        if not was_silent and status < 400:
            self._servers.record_latency(self._assignment)

    def note_stream_end(self, events: int, was_silent: bool) -> None:
        """Record a complete stream of ``events``."""
        if self._first_event_at is None or was_silent:
            return
        duration = self._clock.elapsed() - self._first_event_at
        self._servers.speeds.note_output(self._assignment, duration, events - 1)

    def finish(self) -> None:
        """Remove the request from its server's load."""
        self._note_prompt_read()
        self._servers.finish(self._assignment)

    def _note_prompt_read(self) -> None:
        if not self._is_prompt_read:
            self._is_prompt_read = True
            self._servers.record_prompt_read(self._assignment)
