"""Orders to engines to load the models that the settings tree assigns to them.

One router, chosen by rendezvous hash, is responsible for each engine and orders
the models that are missing from the engine's load report. If routers disagree on
the choice, an engine receives an order twice, which is harmless. The offset of
the configuration serves as fencing token: an engine that honours it refuses an
order made from an older settings tree. Each router keeps few orders open at a
time, to stay within the download rate of the weight store::

    for order in planner.plan(servers, loaded, vms, config_offset):
        send(order)
"""

from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple

from lavendershift.clocks import Clock
from lavendershift.hashing import rank_by_hash
from lavendershift.nodes import ServerSettings

ORDER_TIMEOUT = timedelta(seconds=60)  # time until an order without effect is repeated
MAX_OPEN_ORDERS = 2  # open orders of one router, to limit the load on the weight store

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
    """Plans the orders of the router on ``vm``."""

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

        ``find_models`` returns the models that an engine reported as loaded,
        ``None`` if unknown. ``vms`` are the VMs of all routers that share the
        engines, including this one.
        """
        missing = self._find_missing(servers, find_models, vms)
        self._close_orders(missing)
        orders = []
        for missing_model in missing:
            if missing_model in self._open or len(self._open) >= MAX_OPEN_ORDERS:
                continue
            self._open[missing_model] = self._clock.elapsed()
            address = servers[missing_model.server].address
            orders.append(
                Order(missing_model.server, address, missing_model.model, config_offset)
            )
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
            missing_model: ordered_at
            for missing_model, ordered_at in self._open.items()
            if missing_model in missing and now - ordered_at < ORDER_TIMEOUT
        }
