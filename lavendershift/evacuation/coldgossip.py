"""Exchange of the servers that a VM presumes cold.

A VM that can't connect to a server presumes that the server will be cold when it is
back. It tells all others, as those that didn't try would send without permits::

    gossip = ColdGossip(servers, datagrams, list_peers)
"""

from collections.abc import Callable, Collection

import msgspec

from lavendershift.datagrams import Datagrams, Peer, register_message
from lavendershift.decoding import Count
from lavendershift.serverlist import ServerList
from lavendershift.serverstates import ServerEntry


@register_message
class ServerCold(msgspec.Struct, array_like=True, tag="cold"):
    """The sender presumes that an incarnation of a server is cold."""

    server: str
    born: Count


class ColdGossip:
    """Tells other VMs the servers that this VM presumes cold, and applies theirs."""

    def __init__(
        self,
        servers: ServerList,
        datagrams: Datagrams,
        list_peers: Callable[[], Collection[Peer]],
    ) -> None:
        self._servers = servers
        self._datagrams = datagrams
        self._list_peers = list_peers
        self._is_applying = False
        servers.cold.on_presumed = self._announce
        datagrams.handle(ServerCold, self._apply)

    def _announce(self, entry: ServerEntry) -> None:
        """Tell all VMs, unless one of them has told this VM."""
        if not self._is_applying:
            message = ServerCold(entry.id, entry.born)
            self._datagrams.send(message, list(self._list_peers()))

    def _apply(self, message: ServerCold, sender: Peer) -> None:
        server = self._servers.find(message.server)
        if server is None or server.entry.born != message.born:
            return
        self._is_applying = True
        try:
            self._servers.cold.presume(server.entry)
        finally:
            self._is_applying = False
