"""Work that a router does from time to time, besides serving requests.

Each class does one kind of work; the router calls its ``run`` periodically.
"""

from collections.abc import Callable, Sequence
from datetime import timedelta

import msgspec

from lavendershift.budgets import Budgets, Shard
from lavendershift.clocks import Clock
from lavendershift.configurationfeeds import ConfigurationFeed
from lavendershift.ledgersessions import LedgerSession
from lavendershift.membership import Membership, Vm, VmState
from lavendershift.metrics import Metrics
from lavendershift.modelorders import Order, OrderPlanner
from lavendershift.records import Evict
from lavendershift.servers import ServerPool
from lavendershift.upstreams import UpstreamClient

ORDER_CALL_TIMEOUT = timedelta(seconds=2)


class EvictionProposer:
    """Tells the membership of the ledgers' incarnations, and evicts lost ones.

    ``vm`` is named as the author of evictions.
    """

    def __init__(
        self, vm: str, sessions: Sequence[LedgerSession], membership: Membership
    ) -> None:
        self._vm = vm
        self._sessions = sessions
        self._membership = membership

    async def run(self) -> None:
        """Note live incarnations and log the evictions that are due."""
        for session in self._sessions:
            self._note_incarnations(session)
        for eviction in self._membership.propose_evictions():
            for session in self._sessions:
                self._evict(session, eviction.incarnation)

    def _note_incarnations(self, session: LedgerSession) -> None:
        for name in session.ledger.list_live():
            state = session.ledger.find_incarnation(name)
            if state is not None:
                self._membership.note_incarnation(name, state.vm)

    def _evict(self, session: LedgerSession, incarnation: str) -> None:
        """Log an eviction, unless it would only wait for the log to be back."""
        if incarnation not in session.ledger.list_live():
            self._membership.forget_incarnation(incarnation)
        elif session.log_reachable:
            session.participant.writer.submit(
                lambda record_id: Evict(record_id, incarnation, self._vm)
            )


class CheckpointTurns:
    """Writes checkpoints in time, each router in its turn."""

    def __init__(
        self,
        clock: Clock,
        interval: timedelta,
        feed: ConfigurationFeed,
        sessions: Sequence[LedgerSession],
        is_ready: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._interval = interval
        self._feed = feed
        self._sessions = sessions
        self._is_ready = is_ready
        self._turn: int | None = None

    async def run(self) -> None:
        """Write checkpoints if a turn of this router has begun."""
        turn = int(self._clock.now().timestamp() // self._interval.total_seconds())
        has_begun = self._turn not in (None, turn)
        self._turn = turn
        if not has_begun or not self._is_ready():
            return
        for session in self._sessions:
            if session.is_checkpoint_writer(turn):
                session.start_checkpoint()
        if self._sessions[0].is_checkpoint_writer(turn):
            self._feed.start_checkpoint()


class OrderSender:
    """Orders engines to load the models that they miss.

    ``list_vms`` returns all routers' VMs, one's own included.
    """

    def __init__(
        self,
        planner: OrderPlanner,
        feed: ConfigurationFeed,
        pool: ServerPool,
        client: UpstreamClient,
        list_vms: Callable[[], Sequence[Vm]],
    ) -> None:
        self._planner = planner
        self._feed = feed
        self._pool = pool
        self._client = client
        self._list_vms = list_vms

    async def run(self) -> None:
        """Send the orders that are due."""
        vms = [vm.name for vm in self._list_vms() if vm.state is VmState.LIVE]
        servers = self._feed.configuration.servers()
        offset = self._feed.offset
        for order in self._planner.plan(servers, self._pool.find_models, vms, offset):
            await self._send(order)

    async def _send(self, order: Order) -> None:
        body = {
            "order": "load_model",
            "name": order.model,
            "fencing_token": order.fencing_token,
        }
        url = self._client.make_url(order.address, "/control/orders")
        data = msgspec.json.encode(body)
        await self._client.fetch("POST", url, ORDER_CALL_TIMEOUT, data)


class PolicyRunner:
    """Runs the holding policies and keeps the budgets' gauges up to date."""

    def __init__(
        self, budgets: Budgets, feed: ConfigurationFeed, metrics: Metrics
    ) -> None:
        self._budgets = budgets
        self._feed = feed
        self._metrics = metrics
        self._gauged: dict[str, set[str]] = {}

    async def run(self) -> None:
        """Look at all budgets in use."""
        for shard in self._budgets.list_shards():
            shard.allocator.run_policies()
            self._update_gauges(shard)

    def _update_gauges(self, shard: Shard) -> None:
        stream = shard.session.stream
        budgets = set(shard.allocator.budgets())
        for budget in self._gauged.get(stream, set()) - budgets:
            self._metrics.drop_budget(budget)
        self._gauged[stream] = budgets
        for budget in budgets:
            view = shard.session.ledger.find_budget(budget, self._feed.offset)
            self._metrics.set_budget(budget, view)
