"""The router: the application that joins all stages of a request.

A request passes admission, budgets, placement and dispatch, in this order;
each stage is a module of its own. Around them run the feeds that follow the
log, the peers, and the watchers of the membership list and the servers.
"""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from lavendershift import signals
from lavendershift.admission import Admission
from lavendershift.allocators import TICK, BudgetAllocator
from lavendershift.applications import SHIPPED_PLUGINS, Application, load_plugins
from lavendershift.budgets import Budgets, Shard
from lavendershift.callers import open_server
from lavendershift.clocks import Clock
from lavendershift.configuration import Configuration
from lavendershift.configurationfeeds import ConfigurationFeed
from lavendershift.demands import Demands
from lavendershift.discovery import Directory, find_share, list_routers
from lavendershift.dispatch import CompletionDispatcher, DispatchSettings
from lavendershift.errors import ErrorKind
from lavendershift.handlers import make_web_application
from lavendershift.housekeeping import (
    CheckpointTurns,
    EvictionProposer,
    OrderSender,
    PolicyRunner,
)
from lavendershift.ledgersessions import (
    LedgerSession,
    SessionSettings,
    make_incarnation,
)
from lavendershift.membership import Membership, Vm, VmState
from lavendershift.messages import BorrowRequest, Heartbeat, LoanGrant
from lavendershift.metrics import Metrics
from lavendershift.modelorders import OrderPlanner
from lavendershift.nodes import ServerSettings
from lavendershift.peers import Peers
from lavendershift.placement import Placement
from lavendershift.records import Close, Evict, Record, Recover
from lavendershift.replicas import FLUSH_STEP, AttemptReplica, AttemptSender
from lavendershift.reports import open_reporter
from lavendershift.retries import Retries, RetryBudget
from lavendershift.routing import ROUTING_POLICIES
from lavendershift.servers import ServerPool
from lavendershift.servicecalls import CallDispatcher
from lavendershift.settings_sections import RouterSettings
from lavendershift.streams import LOG_CLIENTS, LogClient
from lavendershift.upstreams import UpstreamClient
from lavendershift.usageinquiries import UsageInquiry
from lavendershift.usages import UsageReader
from lavendershift.watchers import LoadWatcher, MembersWatcher, Periodic

QUEUE_STEP = timedelta(milliseconds=50)  # between looks at waiting requests
MEMBERSHIP_STEP = timedelta(seconds=1)
CLOSE_WAIT = timedelta(seconds=5)  # for the log to take the closing record
DRAIN_STEP = timedelta(milliseconds=50)
CHECKPOINT_STEP = timedelta(seconds=1)  # between looks at whose turn it is
ORDER_STEP = timedelta(seconds=1)  # between looks at the engines' models
LEAST_SHARE = 0.5  # of an even part of a customer's limits
DISCOVERY_PAUSE = timedelta(seconds=2)  # between leaving discovery and refusing

ROUTER_PLUGINS = (
    *SHIPPED_PLUGINS,
    "lavendershift.plugins.routing_affinity",
    "lavendershift.plugins.routing_least_in_flight",
    "lavendershift.plugins.routing_round_robin",
    "lavendershift.plugins.routing_two_choices",
    "lavendershift.plugins.statsd_metrics",
)


class RouterApplication(Application):
    """One router process.

    ``rng`` seeds ids, routing and the order of discovery answers.
    """

    def __init__(
        self, settings: RouterSettings, clock: Clock, rng: random.Random
    ) -> None:
        super().__init__()
        self.settings = settings
        self._clock = clock
        self._rng = rng
        self._stopping = False
        self._leaving = False
        self._attempts = 0
        self.incarnation = make_incarnation(settings.vm.name, clock, rng)
        self._shares: dict[str, float] = {}
        self._models: list[str] = []
        self._applying = False

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self.feed.configuration

    def setup(self) -> None:
        """Create all parts and add them in the order of their start."""
        settings = self.settings
        load_plugins([*ROUTER_PLUGINS, *settings.plugins.modules])
        self._set_up_reports()
        self.log = self._make_log_client()
        self.add_part("log", stop=self.log.close)
        self.feed = ConfigurationFeed(
            self.log,
            self._clock,
            settings.ledger.checkpoint_every,
            lambda turn: self.sessions[0].is_checkpoint_writer(turn),
        )
        sessions = self._make_sessions()
        self.membership = Membership(
            self._clock,
            settings.vm.name,
            self.incarnation,
            settings.peers.evict_after,
        )
        self.demands = Demands(self._clock)
        authorities = settings.servers.tls_ca
        self._client = UpstreamClient(
            str(authorities) if authorities else "", settings.servers.tls
        )
        self._usage_reader = UsageReader(self._client)
        self._replica = AttemptReplica(
            settings.vm.name, self._usage_reader, self._submit_recover, self._clock
        )
        self.peers = self._make_peers()
        self._sender = AttemptSender(
            settings.vm.failure_domain,
            lambda: self.incarnation,
            self.peers.list_reachable,
            self.peers.notify,
            self._clock,
        )
        shards = {session.stream: self._make_shard(session) for session in sessions}
        self.budgets = Budgets(shards, self._sender)
        self._make_dispatch()
        self.add_part("client", stop=self._close_client)
        self.add_part("callers", self._listen, self._close_listener)
        self.add_part("feed", self.feed.start, self.feed.stop)
        for session in sessions:
            self.add_part(session.stream, session.start, session.stop)
        self.add_part("peers", self.peers.start, self.peers.stop)
        self._add_watchers()
        signals.record_folded.connect(self._note_folded)
        signals.configuration_changed.connect(self._note_configuration)

    def find_fault(self) -> ErrorKind | None:
        """Return why the router takes no requests, ``None`` if it does."""
        if self._stopping:
            return ErrorKind.STOPPING
        if not self.feed.is_ready(self.membership.required_config_offset):
            if self.feed.offset:
                return ErrorKind.CONFIGURATION_STALE
            return ErrorKind.STARTING
        if not all(session.joined for session in self.sessions):
            return ErrorKind.STARTING
        return None

    def report_fault(self, error: BaseException) -> None:
        """Log an error that has no kind of its own."""
        self._reporter.log.write_error(error)

    def list_models(self) -> list[str]:
        """Return the names of all models that a server may serve."""
        return self._models

    def list_routers(self, customer: str, failure_domain: str) -> Directory:
        """Return the routers for a caller, best first."""
        vms = self.configuration.vms()
        addresses = {name: vm.address for name, vm in vms.items() if vm.state == "live"}
        return list_routers(
            customer, failure_domain, self._list_vms(), addresses, self._rng
        )

    async def drain(self) -> None:
        """Leave discovery, finish requests in flight and close the ledgers."""
        self._leaving = True
        await asyncio.sleep(DISCOVERY_PAUSE.total_seconds())
        self._stopping = True
        deadline = self._clock.elapsed() + self.settings.shutdown.drain
        while self._is_busy() and self._clock.elapsed() < deadline:
            await asyncio.sleep(DRAIN_STEP.total_seconds())
        if not self._is_busy():
            await asyncio.gather(*(s.close(CLOSE_WAIT) for s in self.sessions))

    def _is_busy(self) -> bool:
        """Whether callers wait, or attempts run whose callers have gone."""
        if self.admission.in_flight:
            return True
        return any(s.participant.book.in_flight() for s in self.sessions)

    def _set_up_reports(self) -> None:
        self.metrics = Metrics()
        self.metrics.connect()
        self._reporter = open_reporter(
            self.settings.vm, self.settings.logging, self._clock
        )

    def _make_log_client(self) -> LogClient:
        log = self.settings.log
        if log.client == "relay":
            return LOG_CLIENTS["relay"](log.relays, log.timeout)
        return LOG_CLIENTS[log.client](log.url, log.timeout)

    def _make_sessions(self) -> list[LedgerSession]:
        settings = self.settings
        session_settings = SessionSettings(
            settings.vm.name,
            settings.vm.failure_domain,
            settings.ledger.shards,
            settings.ledger.checkpoint_every,
            settings.ledger.key_retention,
        )
        self.sessions = [
            LedgerSession(
                f"ledger-{shard}",
                self.log,
                session_settings,
                self._clock,
                self.incarnation,
                lambda budget, offset: self.configuration.prepaid(budget, offset),
                self.feed.wait_for,
                lambda: self.feed.offset,
                self._renew_incarnation,
            )
            for shard in range(settings.ledger.shards)
        ]
        return self.sessions

    def _renew_incarnation(self) -> None:
        """Go on as a new incarnation after the current one was evicted."""
        vm = self.settings.vm.name
        self.incarnation = make_incarnation(vm, self._clock, self._rng)
        self.membership.renew_incarnation(self.incarnation)
        for session in self.sessions:
            session.rejoin(self.incarnation)

    def _make_peers(self) -> Peers:
        settings = self.settings
        return Peers(
            settings.vm.name,
            settings.listen.peer_address,
            self._clock,
            self.membership,
            settings.peers.heartbeat,
            settings.peers.lost_after,
            self._make_heartbeat,
            self._lend,
            self.demands,
            self._replica.apply_notice,
        )

    def _make_shard(self, session: LedgerSession) -> Shard:
        allocator = BudgetAllocator(
            session,
            self.settings.ledger.holding_policy,
            self._clock,
            self.peers.list_reachable,
            self.peers.borrow,
        )
        return Shard(session, allocator)

    def _make_dispatch(self) -> None:
        settings = self.settings
        self.admission = Admission(
            self._clock,
            lambda: self.configuration,
            self.find_fault,
            self.demands,
            self._find_least_share,
            self._make_attempt,
            settings.limits.max_in_flight,
        )
        self.pool = ServerPool(self._clock, self._rng, settings.vm.failure_domain)
        policy = ROUTING_POLICIES[settings.servers.routing_policy](self._rng)
        self.placement = Placement(self._clock, self.pool, policy)
        retries = Retries(
            self._clock,
            self._rng,
            RetryBudget(settings.retries.share, settings.retries.burst),
        )
        self._inquiry = UsageInquiry(self._usage_reader, self.budgets)
        bounds = DispatchSettings(
            settings.servers.connect_timeout, settings.limits.max_buffered_bytes
        )
        self.completions = CompletionDispatcher(
            self._clock,
            bounds,
            self.budgets,
            self.placement,
            retries,
            self._client,
            self._inquiry,
        )
        self.calls = CallDispatcher(
            self._clock,
            settings.servers.connect_timeout,
            self.budgets,
            self.placement,
            retries,
            self._client,
        )

    def _add_watchers(self) -> None:
        settings = self.settings
        members = MembersWatcher(
            settings.members.url, self._client, self.membership, self.pool
        )
        load = LoadWatcher(
            self._client,
            self.pool,
            self._list_servers,
            lambda: int(self._clock.now().timestamp() * 1000),
        )
        self._evictions = EvictionProposer(
            settings.vm.name, self.sessions, self.membership
        )
        policies = PolicyRunner(self.budgets, self.feed, self.metrics)
        orders = OrderSender(
            OrderPlanner(self._clock, settings.vm.name),
            self.feed,
            self.pool,
            self._client,
            self._list_vms,
        )
        checkpoints = CheckpointTurns(
            self._clock,
            settings.ledger.checkpoint_interval,
            self.feed,
            self.sessions,
            lambda: self.find_fault() is None,
        )
        works = [
            ("members", settings.members.poll, members.poll),
            ("load", settings.servers.load_poll, load.poll),
            ("attempts", FLUSH_STEP, self._sender.flush),
            ("queues", QUEUE_STEP, self.placement.poll_queues),
            ("policies", TICK, policies.run),
            ("membership", MEMBERSHIP_STEP, self._look_after_members),
            ("orders", ORDER_STEP, orders.run),
            ("checkpoints", CHECKPOINT_STEP, checkpoints.run),
        ]
        for name, interval, work in works:
            periodic = Periodic(interval, work, self.report_fault)
            self.add_part(name, periodic.start, periodic.stop)

    async def _listen(self) -> None:
        self._server = open_server(
            make_web_application(self), self.settings.listen, self.settings.limits
        )

    async def _close_client(self) -> None:
        await self._inquiry.stop()
        self._client.close()

    async def _close_listener(self) -> None:
        self._server.stop()
        await self._server.close_all_connections()

    def _make_attempt(self) -> str:
        self._attempts += 1
        return f"{self.incarnation}-{self._attempts}"

    def _make_heartbeat(self) -> Heartbeat:
        session = self.sessions[0]
        return Heartbeat(
            self.settings.vm.name,
            self.incarnation,
            self.settings.vm.failure_domain,
            self.find_fault() is None and not self._leaving,
            self.feed.offset,
            session.ledger.next_offset,
            self.demands.list_demands(),
        )

    def _lend(self, request: BorrowRequest) -> LoanGrant:
        return self.budgets.find_shard(request.budget).allocator.lend(request)

    def _submit_recover(
        self, budget: str, make_record: Callable[[str], Recover]
    ) -> None:
        session = self.budgets.find_shard(budget).session
        session.participant.writer.submit(make_record)

    def _list_vms(self) -> list[Vm]:
        own = Vm(
            self.settings.vm.name,
            self.incarnation,
            self.settings.vm.failure_domain,
            VmState.LEAVING if self._is_leaving() else VmState.LIVE,
            self.find_fault() is None,
        )
        return [own, *self.membership.list_vms()]

    def _is_leaving(self) -> bool:
        own = self.configuration.vms().get(self.settings.vm.name)
        in_tree = own is not None and own.state == "leaving"
        return self._leaving or in_tree or self.membership.is_leaving()

    def _find_least_share(self, customer: str) -> float:
        share = self._shares.get(customer)
        if share is None:
            share = find_share(customer, self.settings.vm.name, self._list_vms())
            share *= LEAST_SHARE
            self._shares[customer] = share
        return share

    def _list_servers(self) -> list[ServerSettings]:
        return list(self.configuration.servers().values())

    def _note_folded(
        self, session: LedgerSession, record: Record, **fields: Any
    ) -> None:
        if session not in self.sessions:
            return
        shard = self.budgets.find_shard_of(session.stream)
        verdict = fields["verdict"]
        shard.allocator.note_folded(record, verdict)
        if isinstance(record, Evict) and verdict.counted:
            self._replica.recover(record.incarnation)
        elif isinstance(record, Close):
            self._replica.forget(record.incarnation)

    def _note_configuration(self, feed: ConfigurationFeed, **fields: Any) -> None:
        if feed is not self.feed or self._applying:
            return
        self._applying = True
        asyncio.get_running_loop().call_soon(self._apply_configuration)

    def _apply_configuration(self) -> None:
        """Derive what depends on the configuration, once for a run of entries."""
        self._applying = False
        servers = self.configuration.servers()
        models = set(self.configuration.models())
        for server in servers.values():
            models.update(server.models)
        self._models = sorted(models)
        self._shares.clear()
        self.pool.update_settings(servers)
        self.peers.update_vms(self.configuration.vms())

    async def _look_after_members(self) -> None:
        """Follow the membership: shares, the servers' load, lost incarnations."""
        self._shares.clear()
        self._replica.forget_stale()
        self.pool.update_routers(self.membership.count_live())
        self.metrics.set_gauge("requests.in_flight", self.admission.in_flight)
        await self._evictions.run()
