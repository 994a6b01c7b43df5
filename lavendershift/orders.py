"""Orders to engines to load the models that the settings tree gives them.

Each engine is looked after by one router, chosen by rendezvous hash, which
orders a model that is missing from the engine's report. When routers disagree
on who it is, an engine gets an order twice, which does no harm; the offset of
the configuration serves as fencing token, so that an engine that honours it
refuses an order made from an older tree. Each router has few orders open at a
time, to keep within the rate of the weight store::

    for order in planner.plan(servers, loaded, vms, config_offset):
        send(order)
"""

from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.hashing import rank_by_hash
from lavendershift.nodes import ServerSettings

ORDER_TIMEOUT = timedelta(seconds=60)  # until an order without effect is repeated
MAX_OPEN_ORDERS = 2

FindModels = Callable[[str], Sequence[str] | None]


class Order(NamedTuple):
    """An order to ``server`` at ``address`` to load ``model``."""

    server: str
    address: str
    model: str
    fencing_token: int


class _OpenOrder(NamedTuple):
    server: str
    model: str


class OrderPlanner:
    """Decides on the orders of the router on ``vm``."""

    def __init__(self, clock: Clock, vm: str) -> None:
        self._clock = clock
        self._vm = vm
        self._open: dict[_OpenOrder, timedelta] = {}

    def plan(
        self,
        servers: Mapping[str, ServerSettings],
        find_models: FindModels,
        vms: Sequence[str],
        config_offset: int,
    ) -> list[Order]:
        """Return the orders to send now.

        ``find_models`` returns the models an engine reported as loaded, and
        ``vms`` are the routers that share the engines, one's own included.
        """
        missing = self._find_missing(servers, find_models, vms)
        self._close_orders(missing)
        orders = []
        for wanted in missing:
            if wanted in self._open or len(self._open) >= MAX_OPEN_ORDERS:
                continue
            self._open[wanted] = self._clock.elapsed()
            address = servers[wanted.server].address
            orders.append(Order(wanted.server, address, wanted.model, config_offset))
        return orders

    def _find_missing(
        self,
        servers: Mapping[str, ServerSettings],
        find_models: FindModels,
        vms: Sequence[str],
    ) -> list[_OpenOrder]:
        missing = []
        for name, server in servers.items():
            loaded = find_models(name)
            if server.kind != "engine" or server.state != "live" or loaded is None:
                continue
            if rank_by_hash(vms, name)[:1] != [self._vm]:
                continue
            absent = [model for model in server.models if model not in loaded]
            missing += [_OpenOrder(name, model) for model in absent]
        return missing

    def _close_orders(self, missing: Sequence[_OpenOrder]) -> None:
        now = self._clock.elapsed()
        self._open = {
            wanted: ordered_at
            for wanted, ordered_at in self._open.items()
            if wanted in missing and now - ordered_at < ORDER_TIMEOUT
        }
