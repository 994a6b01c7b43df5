"""The servers that a request was sent to, and the choice of the next one."""

from lavendershift.evacuation.homes import Homes
from lavendershift.routes import Repeat
from lavendershift.serverlist import ServerList
from lavendershift.serverstates import ListedServer, PromptShape


class ServerSelection:
    """Chooses servers for the attempts at one request.

    ``homes`` are the regions that may serve the request, ``None`` for all. ``placed``
    is the server at which the request has a place, ``None`` without one.
    Servers that are ``tried`` are not chosen again; the request was not sent to those
    that are ``unsent``.
    """

    def __init__(
        self,
        servers: ServerList,
        service: str,
        prompt: PromptShape,
        repeat: Repeat,
        urgency: int,
        homes: Homes | None = None,
    ) -> None:
        self.placed: str | None = None
        self.tried: set[str] = set()
        self.unsent: set[str] = set()
        self._servers = servers
        self._service = service
        self._prompt = prompt
        self._repeat = repeat
        self._urgency = urgency
        self._homes = homes

    def choose(self) -> ListedServer | None:
        """Return a server that was not tried, or ``None`` if there is none.

        A request that can't be repeated is not the one to find out whether a silent
        server goes on, unless there is no other.
        """
        placed = self._find_placed()
        if placed is not None:
            return placed
        choose, service = self._servers.choose, self._service
        excluded = self.tried.union(self._servers.list_outside(service, self._homes))
        if self._repeat is Repeat.NEVER:
            heard = excluded.union(self._servers.list_silent(service))
            server = choose(service, self._prompt, heard, self._urgency)
            if server is not None:
                return server
        return choose(service, self._prompt, excluded, self._urgency)

    def _find_placed(self) -> ListedServer | None:
        """Return the server of the request's place, if it may still be used.

        The VM that granted the place may not know what this one does.
        """
        if self.placed is None or self.placed in self.tried:
            return None
        server = self._servers.find(self.placed)
        if server is None or not self._servers.is_usable(server):
            return None
        if not self._servers.regions.allows(self._homes, server.entry.failure_domain):
            return None
        return None if self._servers.is_avoided(server) else server
