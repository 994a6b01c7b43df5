"""What VMs tell each other about the backend servers they use.

Each VM with requests sends those in flight and unread prompt tokens on a server
to its peers whenever they change, and everything from time to time. Totals
are sent, never differences, so that a lost datagram is made up for by the next
one. Nothing that must hold depends on this: a VM that hears nobody places its
requests by its own alone.

The peers are the active VMs, and others that told of requests lately. An active VM
also tells listeners from time to time that it lives::

    gossip = Gossip(
        clock, "edge-1", incarnation, servers, list_peers, list_listeners, datagrams
    )
    gossip.note_change("i-7f3a91c2", ("5c1e07a2", "91bd3f06"))
"""

import asyncio
from collections.abc import Callable, Sequence
from datetime import timedelta

import msgspec

from lavendershift.clocks import Clock
from lavendershift.datagrams import Datagrams, Peer, register_message
from lavendershift.serverlist import ServerList
from lavendershift.serversignals import ServerSignal
from lavendershift.serverstates import ServerEntry, ServerLoad

SUMMARY_INTERVAL = timedelta(milliseconds=500)  # between datagrams with everything
DELAY_FOR_PEERS = timedelta(microseconds=50)  # times the square of their number
SHORTEST_DELAY = timedelta(milliseconds=2)  # lets changes of one turn go together
MAX_DATAGRAM_BYTES = 1400  # what passes an Ethernet link in one piece
MAX_PARTS = 40  # prompt parts in one datagram
TELLER_MEMORY = timedelta(seconds=2)  # in which a VM with requests is told of others'


class _Change(msgspec.Struct, array_like=True):
    """The sender's load on one server, and prompt parts it sent there."""

    server: str
    in_flight: int
    unread_tokens: int
    parts: list[str] = []


@register_message
class News(msgspec.Struct, array_like=True, tag="news"):
    """One datagram; ``number`` rises within an incarnation of its sender."""

    vm: str
    incarnation: str
    number: int
    changes: list[_Change]


@register_message
class Leaving(msgspec.Struct, array_like=True, tag="leaving"):
    """The sender's incarnation takes no callers any more."""

    vm: str
    incarnation: str


@register_message
class Departure(msgspec.Struct, array_like=True, tag="departure"):
    """A backend server's process, by its start, said in an answer that it leaves."""

    server: str
    born: int


class Gossip:
    """Sends this VM's news to the others and takes in theirs."""

    def __init__(
        self,
        clock: Clock,
        vm: str,
        incarnation: str,
        servers: ServerList,
        list_peers: Callable[[], Sequence[Peer]],
        list_listeners: Callable[[], Sequence[Peer]],
        datagrams: Datagrams,
    ) -> None:
        self._clock = clock
        self._vm = vm
        self._incarnation = incarnation
        self._servers = servers
        self._list_peers = list_peers
        self._list_listeners = list_listeners
        self._tellers: dict[Peer, timedelta] = {}
        self._datagrams = datagrams
        self._changed: dict[str, list[str]] = {}
        self._wake = asyncio.Event()
        self._number = 0
        self._newest: dict[str, tuple[str, int]] = {}
        self._heard_at: dict[str, timedelta] = {}
        self.on_leaving: Callable[[str, str], None] = lambda vm, incarnation: None
        datagrams.handle(News, self._take_news)
        datagrams.handle(Leaving, self._take_leaving)
        datagrams.handle(Departure, self._take_departure)

    def find_silence(self, vm: str) -> timedelta | None:
        """Return how long nothing was heard of ``vm``; ``None`` if never."""
        heard = self._heard_at.get(vm)
        return None if heard is None else self._clock.elapsed() - heard

    def note_change(self, server: str, parts: Sequence[str] = ()) -> None:
        """Send this VM's load on ``server`` soon."""
        self._changed.setdefault(server, []).extend(parts)
        self._wake.set()

    def announce_leaving(self, peers: Sequence[Peer]) -> None:
        """Tell ``peers`` that this VM leaves, sooner than they read its row."""
        self._datagrams.send(Leaving(self._vm, self._incarnation), peers)

    def _take_leaving(self, leaving: Leaving, sender: Peer) -> None:
        self.on_leaving(leaving.vm, leaving.incarnation)

    def announce_departure(self, entry: ServerEntry) -> None:
        """Tell the others of a server that leaves, as they may not reach the store.

        Each VM tells it once, so that one lost datagram keeps it from nobody.
        """
        peers = {*self._find_peers(), *self._list_listeners()}
        self._datagrams.send(Departure(entry.id, entry.born), peers)

    def _take_departure(self, departure: Departure, sender: Peer) -> None:
        server = self._servers.find(departure.server)
        if server is not None and server.entry.born == departure.born:
            self._servers.note_signal(server, ServerSignal(is_leaving=True))

    async def run(self) -> None:
        """Send news until cancelled."""
        summarized = timedelta()
        while True:
            try:
                async with asyncio.timeout(SUMMARY_INTERVAL.total_seconds()):
                    await self._wake.wait()
            except TimeoutError:
                pass  # nothing changed, a summary is due
            self._wake.clear()
            peers = self._find_peers()
            delay = max(DELAY_FOR_PEERS * len(peers) ** 2, SHORTEST_DELAY)
            await asyncio.sleep(delay.total_seconds())
            now = self._clock.elapsed()
            if now - summarized >= SUMMARY_INTERVAL:
                summarized = now
                for server in self._servers.list_in_use():
                    self._changed.setdefault(server, [])
                told = peers if self._changed else []
                self._send_batch(
                    [], [peer for peer in self._list_listeners() if peer not in told]
                )
            if self._changed:
                self._send(peers)

    def _find_peers(self) -> list[Peer]:
        """Return whom to tell of requests."""
        now = self._clock.elapsed()
        self._tellers = {
            peer: at for peer, at in self._tellers.items() if now - at <= TELLER_MEMORY
        }
        return list({*self._list_peers(), *self._tellers})

    def _send(self, peers: Sequence[Peer]) -> None:
        changes = [
            self._make_change(server, parts) for server, parts in self._changed.items()
        ]
        self._changed.clear()
        batch: list[_Change] = []
        size = 0
        for change in changes:
            length = 24 + len(change.server) + sum(len(p) + 2 for p in change.parts)
            if batch and size + length > MAX_DATAGRAM_BYTES:
                self._send_batch(batch, peers)
                batch, size = [], 0
            batch.append(change)
            size += length
        self._send_batch(batch, peers)

    def _make_change(self, server: str, parts: Sequence[str]) -> _Change:
        load = self._servers.measure_own_load(server)
        return _Change(
            server, load.in_flight, load.unread_tokens, list(parts[-MAX_PARTS:])
        )

    def _send_batch(self, batch: list[_Change], peers: Sequence[Peer]) -> None:
        self._number += 1
        news = News(self._vm, self._incarnation, self._number, batch)
        self._datagrams.send(news, peers)

    def _take_news(self, news: News, sender: Peer) -> None:
        """Take in the news of another VM."""
        incarnation, number = self._newest.get(news.vm, ("", 0))
        if news.incarnation == incarnation and news.number <= number:
            return
        self._newest[news.vm] = (news.incarnation, news.number)
        self._heard_at[news.vm] = self._clock.elapsed()
        if news.changes:
            self._tellers[sender] = self._clock.elapsed()
        for change in news.changes:
            load = ServerLoad(change.in_flight, change.unread_tokens)
            self._servers.record_peer_load(news.vm, change.server, load, change.parts)
