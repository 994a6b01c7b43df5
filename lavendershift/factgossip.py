"""Exchange of facts that all VMs should know, such as limits of backend servers.

A VM announces a fact to all others when it learns it. The *keeper* of the fact, a VM
that each derives from the list of VMs, repeats it periodically, for VMs that joined or
missed the announcement. Facts have versions, so that they may arrive late, twice or
out of order. A kind of fact knows how its facts are encoded and merged::

    gossip = FactGossip([limits, quarantines], datagrams, list_peers, find_keeper)
    gossip.announce(limits, {incarnation: state})
    await gossip.run()
"""

import asyncio
from collections.abc import Callable, Collection, Mapping
from datetime import timedelta
from functools import partial
from typing import Any, Protocol

import msgspec

from lavendershift.datagrams import Datagrams, Peer

REPEAT_INTERVAL = timedelta(seconds=2)


class FactKind(Protocol):
    """A kind of fact: ``message`` is the type of the datagrams that hold its facts."""

    message: type[msgspec.Struct]

    def list_facts(self) -> Mapping[Any, Any]:
        """Return the facts that have to be repeated."""
        ...

    def find_key(self, fact: Any) -> str:
        """Return the key that determines the keeper of a fact."""
        ...

    def encode(self, facts: Mapping[Any, Any]) -> list[msgspec.Struct]:
        """Return the datagrams with ``facts``, each small enough for one packet."""
        ...

    def apply(self, message: Any) -> None:
        """Merge the facts of another VM."""
        ...


class FactGossip:
    """Sends the facts that this VM knows, and merges those of other VMs.

    ``find_keeper`` returns the keeper of a key, ``None`` if it is this VM.
    """

    def __init__(
        self,
        kinds: Collection[FactKind],
        datagrams: Datagrams,
        list_peers: Callable[[], Collection[Peer]],
        find_keeper: Callable[[str], Peer | None],
    ) -> None:
        self._kinds = kinds
        self._datagrams = datagrams
        self._list_peers = list_peers
        self._find_keeper = find_keeper
        for kind in kinds:
            datagrams.handle(kind.message, partial(self._apply, kind))

    def _apply(self, kind: FactKind, message: Any, sender: Peer) -> None:
        kind.apply(message)

    def announce(self, kind: FactKind, facts: Mapping[Any, Any]) -> None:
        """Tell the other VMs facts that this VM has learned."""
        peers = self._list_peers()
        for message in kind.encode(facts):
            self._datagrams.send(message, peers)

    async def run(self) -> None:
        """Repeat the facts whose keeper is this VM, until cancelled."""
        while True:
            await asyncio.sleep(REPEAT_INTERVAL.total_seconds())
            self.repeat()

    def repeat(self) -> None:
        """Send the facts whose keeper is this VM."""
        for kind in self._kinds:
            kept = {
                fact: state
                for fact, state in kind.list_facts().items()
                if self._find_keeper(kind.find_key(fact)) is None
            }
            if kept:
                self.announce(kind, kept)
