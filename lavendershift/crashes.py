"""Detection of crashes of backend servers, and of the requests that may cause them.

A server that crashes breaks off all its responses at once and refuses connections,
in contrast to a server of which one connection was cut or reset. A request that had
no event or complete response by then is a suspect: the server may have crashed
because it began to respond to this prompt::

    crashes = CrashDetector(clock, probe)
    exposure = crashes.expose(("5c1e07a2", "91bd3f06"), connection.close)
    ...
    has_crashed = await crashes.inspect(server, exposure, has_begun=True)

The detector doesn't judge. ``on_crash`` is called with the suspects of each crash, as
far as this VM sent them.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Collection, Sequence
from typing import NamedTuple

from lavendershift.serversignals import Incarnation
from lavendershift.serverstates import ListedServer

MAX_CRASHES = 500  # crashed incarnations that are remembered


class Suspect(NamedTuple):
    """A prompt whose request a crash broke off before its first event.

    ``has_begun`` is set if the response had begun, with its head or part of an event,
    or if the request was repeated after a crash of another server.
    """

    parts: tuple[str, ...]
    has_begun: bool


class Exposure:
    """A request in flight at a server, until its first event or complete response.

    ``was_stopped`` is set if this VM closed its connection.
    """

    def __init__(self, parts: tuple[str, ...], stop: Callable[[], None]) -> None:
        self.parts = parts
        self.was_stopped = False
        self._stop = stop

    def stop(self) -> None:
        """Close the connection, so that the server doesn't begin to respond."""
        self.was_stopped = True
        self._stop()


class CrashDetector:
    """Finds out which servers crashed, and with which requests.

    ``probe`` returns whether the server at an address refuses connections.
    """

    def __init__(self, probe: Callable[[str], Awaitable[bool]]) -> None:
        self._probe = probe
        self._exposures: set[Exposure] = set()
        self._crashed: OrderedDict[Incarnation, None] = OrderedDict()
        self._suspects: dict[Incarnation, list[Suspect]] = {}
        self._probes: dict[Incarnation, asyncio.Task[bool]] = {}
        self.on_crash: Callable[[Incarnation, Sequence[Suspect]], None] = (
            lambda incarnation, suspects: None
        )

    def expose(self, parts: tuple[str, ...], stop: Callable[[], None]) -> Exposure:
        """Register a request that is sent to a server.

        ``stop`` closes its connection.
        """
        exposure = Exposure(parts, stop)
        self._exposures.add(exposure)
        return exposure

    def end(self, exposure: Exposure) -> None:
        """Unregister a request that got an event, or whose attempt ended."""
        self._exposures.discard(exposure)

    def stop_exposed(self, parts: Collection[str]) -> None:
        """Stop the requests in flight whose prompts have all of ``parts``."""
        for exposure in [e for e in self._exposures if set(parts) <= set(e.parts)]:
            exposure.stop()

    async def inspect(
        self, server: ListedServer, exposure: Exposure, has_begun: bool
    ) -> bool:
        """Return whether ``server`` crashed when it broke off a request.

        The requests that break off at the same moment share one probe, which goes on
        if a caller disconnects meanwhile.
        """
        incarnation = server.incarnation
        suspect = Suspect(exposure.parts, has_begun)
        if incarnation in self._crashed:
            self.on_crash(incarnation, [suspect])
            return True
        self._suspects.setdefault(incarnation, []).append(suspect)
        probing = self._probes.get(incarnation)
        if probing is None:
            probing = asyncio.ensure_future(
                self._probe_crash(incarnation, server.entry.address)
            )
            self._probes[incarnation] = probing
        return await asyncio.shield(probing)

    async def _probe_crash(self, incarnation: Incarnation, address: str) -> bool:
        try:
            has_crashed = await self._probe(address)
        finally:
            del self._probes[incarnation]
            suspects = self._suspects.pop(incarnation)
        if has_crashed:
            self._crashed[incarnation] = None
            if len(self._crashed) > MAX_CRASHES:
                self._crashed.popitem(last=False)
            self.on_crash(incarnation, suspects)
        return has_crashed
