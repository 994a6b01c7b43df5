"""Estimates of the tokens that other VMs hold.

Active VMs report their free tokens to each other periodically, so that a VM that
lacks tokens asks the one that holds most, and a refused caller is sent to another VM
only if that probably has the tokens. The estimates are hints: no invariant depends on
them::

    stocks = TokenStocks(
        clock,
        "edge-1",
        incarnation,
        measure_free,
        is_store_reachable,
        list_peers,
        datagrams,
    )
    stocks.rank_holders("plume", ["edge-2", "edge-3"])
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping, Sequence
from datetime import timedelta

import msgspec

from lavendershift.clocks import Clock
from lavendershift.datagrams import Datagrams, Peer, register_message
from lavendershift.decoding import Count

REPORT_INTERVAL = timedelta(milliseconds=500)  # time between reports of each active VM
# Time without a new report after which an estimate is 0.
STOCK_EXPIRY = timedelta(seconds=8)
MAX_REPORTED = 50  # most customers in one datagram


@register_message
class StockReport(msgspec.Struct, array_like=True, tag="stock"):
    """Free tokens on the sender, and whether it reaches the store."""

    vm: str
    incarnation: str
    is_store_reachable: bool
    tokens: dict[str, Count]


class _KnownStock:
    """The last report of one VM and when it arrived."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.is_store_reachable = False
        self.received_at = timedelta()
        self.tokens: dict[str, int] = {}


class TokenStocks:
    """Reports the stock of this VM and records the reports of other VMs.

    ``measure_free`` returns the free tokens of each customer here,
    ``is_store_reachable`` whether this VM reaches the store, and ``list_peers`` the
    receivers of reports, none while this VM is on standby.
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
        self._is_store_reachable = is_store_reachable
        self._list_peers = list_peers
        self._datagrams = datagrams
        self._known: dict[str, _KnownStock] = {}
        self._reported: set[str] = set()
        datagrams.handle(StockReport, self._receive)

    async def run(self) -> None:
        """Send reports periodically until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL.total_seconds())
            self.report()

    def report(self) -> None:
        """Send this VM's stock, including customers whose tokens just ran out."""
        peers = self._list_peers()
        if not peers:
            return
        free = {c: tokens for c, tokens in self._measure_free().items() if tokens > 0}
        names = sorted(self._reported | free.keys())
        self._reported = set(free)
        for start in range(0, max(len(names), 1), MAX_REPORTED):
            tokens = {name: free.get(name, 0) for name in names[start:][:MAX_REPORTED]}
            report = StockReport(
                self._vm, self._incarnation, self._is_store_reachable(), tokens
            )
            self._datagrams.send(report, peers)

    def _receive(self, report: StockReport, sender: Peer) -> None:
        known = self._known.get(report.vm)
        if known is None or known.incarnation != report.incarnation:
            known = self._known[report.vm] = _KnownStock(report.incarnation)
        known.is_store_reachable = report.is_store_reachable
        known.received_at = self._clock.elapsed()
        known.tokens.update(report.tokens)

    def estimate(self, vm: str, customer: str) -> int:
        """Return the tokens that a VM probably holds, fewer the older its report is."""
        known = self._known.get(vm)
        if known is None:
            return 0
        age = (self._clock.elapsed() - known.received_at) / STOCK_EXPIRY
        return int(known.tokens.get(customer, 0) * max(1 - age, 0.0))

    def estimate_largest(self, customer: str, vms: Iterable[str]) -> int | None:
        """Return the largest stock among ``vms``, ``None`` if one can draw more.

        One can if it reached the store recently. ``None`` is also returned if there is
        no report of any of them.
        """
        known = [self._known[vm] for vm in vms if vm in self._known]
        now = self._clock.elapsed()
        fresh = [each for each in known if now - each.received_at < 3 * REPORT_INTERVAL]
        if not known or any(each.is_store_reachable for each in fresh):
            return None
        return max(self.estimate(vm, customer) for vm in vms)

    def rank_holders(self, customer: str, vms: Iterable[str]) -> list[str]:
        """Return ``vms`` by what they probably hold, the largest stock first."""
        return sorted(vms, key=lambda vm: -self.estimate(vm, customer))

    def find_stock(self, vm: str, customer: str) -> int | None:
        """Return the tokens that a VM probably holds.

        Returns ``None`` if it can draw more or has sent no report.
        """
        known = self._known.get(vm)
        if known is None or known.is_store_reachable:
            return None
        return self.estimate(vm, customer)
