"""Periodic maintenance of a router.

Each class does one maintenance job; the router calls its ``run`` periodically.
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
    """Adds the ledgers' incarnations to the membership, and evicts lost ones.

    ``vm`` is the author of the eviction records.
    """

    def __init__(
        self, vm: str, sessions: Sequence[LedgerSession], membership: Membership
    ) -> None:
        self._vm = vm
        self._sessions = sessions
        self._membership = membership

    async def run(self) -> None:
        """Add live incarnations and submit the eviction records that are due."""
        for session in self._sessions:
            self._add_incarnations(session)
        for eviction in self._membership.propose_evictions():
            for session in self._sessions:
                self._evict(session, eviction.incarnation)

    def _add_incarnations(self, session: LedgerSession) -> None:
        for name in session.ledger.list_live():
            state = session.ledger.find_incarnation(name)
            if state is not None:
                self._membership.add_incarnation(name, state.vm)

    def _evict(self, session: LedgerSession, incarnation: str) -> None:
        """Submit an eviction record, unless the log is unreachable.

        The record would only wait in the queue until the log is reachable again.
        """
        if incarnation not in session.ledger.list_live():
            self._membership.forget_incarnation(incarnation)
        elif session.log_reachable:
            session.participant.writer.submit(
                lambda record_id: Evict(record_id, incarnation, self._vm)
            )


class CheckpointTurns:
    """Writes a checkpoint of each stream in every interval; the routers take turns.

    The wall-clock time is divided into turns of one ``interval`` each.
    """

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
        self._last_turn: int | None = None

    async def run(self) -> None:
        """Write the checkpoints for which this router is responsible this turn.

        Does nothing on the first call, if no new turn has begun since the previous
        call, or if the router is not ready.
        """
        turn = int(self._clock.now().timestamp() // self._interval.total_seconds())
        has_begun = self._last_turn not in (None, turn)
        self._last_turn = turn
        if not has_begun or not self._is_ready():
            return
        for session in self._sessions:
            if session.is_checkpoint_writer(turn):
                session.start_checkpoint()
        if self._sessions[0].is_checkpoint_writer(turn):
            self._feed.start_checkpoint()


class OrderSender:
    """Orders engines to load the models that they lack.

    ``list_vms`` returns the VMs of all routers, including this one.
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
    """Runs the holding policies and updates the budgets' gauges."""

    def __init__(
        self, budgets: Budgets, feed: ConfigurationFeed, metrics: Metrics
    ) -> None:
        self._budgets = budgets
        self._feed = feed
        self._metrics = metrics
        self._budgets_by_stream: dict[str, set[str]] = {}

    async def run(self) -> None:
        """Run the policies of all budgets in use."""
        for shard in self._budgets.list_shards():
            shard.allocator.run_policies()
            self._update_gauges(shard)

    def _update_gauges(self, shard: Shard) -> None:
        stream = shard.session.stream
        budgets = set(shard.allocator.budgets())
        for budget in self._budgets_by_stream.get(stream, set()) - budgets:
            self._metrics.drop_budget(budget)
        self._budgets_by_stream[stream] = budgets
        for budget in budgets:
            view = shard.session.ledger.find_budget(budget, self._feed.offset)
            self._metrics.set_budget(budget, view)
