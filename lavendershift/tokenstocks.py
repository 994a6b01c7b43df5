"""What other VMs hold of the customers' tokens.

Active VMs tell each other from time to time, so that a VM that lacks tokens asks the
one that holds most, and a caller that can't be served here is sent elsewhere only
where its tokens are likely to be. Nothing that must hold depends on this::

    stocks = TokenStocks(
        clock, "edge-1", incarnation, measure_free, is_reached, list_peers, datagrams
    )
    stocks.rank_holders("plume", ["edge-2", "edge-3"])
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping, Sequence
from datetime import timedelta

import msgspec

from lavendershift.clocks import Clock
from lavendershift.datagrams import Datagrams, Peer, register_message

TELL_INTERVAL = timedelta(milliseconds=500)
STOCK_LIFE = timedelta(seconds=8)  # in which a stock that is not told again runs out
MAX_TOLD = 50  # customers in one datagram


@register_message
class Stock(msgspec.Struct, array_like=True, tag="stock"):
    """Free tokens on the sender, which does or does not reach the store."""

    vm: str
    incarnation: str
    is_store_reachable: bool
    tokens: dict[str, int]


class _Told:
    """What one VM told, and when."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.is_store_reachable = False
        self.told_at = timedelta()
        self.tokens: dict[str, int] = {}


class TokenStocks:
    """Tells the stock of this VM and keeps those of the others.

    ``measure_free`` returns the free tokens of each customer here, ``is_store_reachable``
    whether the store answers, ``list_peers`` whom to tell, nobody where this VM
    stands by.
    """

    def __init__(
        self,
        clock: Clock,
        vm: str,
        incarnation: str,
        measure_free: Callable[[], Mapping[str, int]],
        is_store_reachable: Callable[[], bool],
        list_peers: Callable[[], Sequence[Peer]],
        datagrams: Datagrams,
    ) -> None:
        self._clock = clock
        self._vm = vm
        self._incarnation = incarnation
        self._measure_free = measure_free
        self._is_reached = is_store_reachable
        self._list_peers = list_peers
        self._datagrams = datagrams
        self._told: dict[str, _Told] = {}
        self._last: set[str] = set()
        datagrams.handle(Stock, self._take)

    async def run(self) -> None:
        """Tell until cancelled."""
        while True:
            await asyncio.sleep(TELL_INTERVAL.total_seconds())
            self.tell()

    def tell(self) -> None:
        """Send this VM's stock, also of customers of whom nothing is left."""
        peers = self._list_peers()
        if not peers:
            return
        free = {c: tokens for c, tokens in self._measure_free().items() if tokens > 0}
        names = sorted(self._last | free.keys())
        self._last = set(free)
        for start in range(0, max(len(names), 1), MAX_TOLD):
            tokens = {name: free.get(name, 0) for name in names[start:][:MAX_TOLD]}
            stock = Stock(self._vm, self._incarnation, self._is_reached(), tokens)
            self._datagrams.send(stock, peers)

    def _take(self, stock: Stock, sender: Peer) -> None:
        told = self._told.get(stock.vm)
        if told is None or told.incarnation != stock.incarnation:
            told = self._told[stock.vm] = _Told(stock.incarnation)
        told.is_store_reachable = stock.is_store_reachable
        told.told_at = self._clock.elapsed()
        told.tokens.update(stock.tokens)

    def estimate(self, vm: str, customer: str) -> int:
        """Return the tokens that a VM probably holds, fewer the older the news."""
        told = self._told.get(vm)
        if told is None:
            return 0
        age = (self._clock.elapsed() - told.told_at) / STOCK_LIFE
        return int(told.tokens.get(customer, 0) * max(1 - age, 0.0))

    def estimate_largest(self, customer: str, vms: Iterable[str]) -> int | None:
        """Return the largest stock among ``vms``, ``None`` where one can draw more.

        That is so where one of them reached the store lately, and where none of
        them told anything.
        """
        told = [self._told[vm] for vm in vms if vm in self._told]
        now = self._clock.elapsed()
        fresh = [each for each in told if now - each.told_at < 3 * TELL_INTERVAL]
        if not told or any(each.is_store_reachable for each in fresh):
            return None
        return max(self.estimate(vm, customer) for vm in vms)

    def rank_holders(self, customer: str, vms: Iterable[str]) -> list[str]:
        """Return ``vms`` by what they probably hold, the largest stock first."""
        return sorted(vms, key=lambda vm: -self.estimate(vm, customer))

    def find_stock(self, vm: str, customer: str) -> int | None:
        """Return what a VM probably holds, ``None`` where it can draw more."""
        told = self._told.get(vm)
        if told is None or told.is_store_reachable:
            return None
        return self.estimate(vm, customer)
