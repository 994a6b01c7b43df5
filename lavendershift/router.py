"""The router application, which connects all stages of request handling.

A request passes admission, budgets, placement and dispatch, in this order;
each stage is a separate module. In the background the router follows the
streams of the log, exchanges heartbeats with its peers and polls the membership
list and the backend servers.
"""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from lavendershift import signals
from lavendershift.admission import Admission
from lavendershift.allocators import POLICY_INTERVAL, BudgetAllocator
from lavendershift.applications import SHIPPED_PLUGINS, Application, load_plugins
from lavendershift.budgets import Budgets, Shard
from lavendershift.callerserver import open_server
from lavendershift.clocks import Clock
from lavendershift.configuration import Configuration
from lavendershift.configurationfeeds import ConfigurationFeed
from lavendershift.demands import DemandTracker
from lavendershift.discovery import RouterList, find_limit_share, list_routers
from lavendershift.dispatch import CompletionDispatcher, DispatchSettings
from lavendershift.errors import ErrorKind, RequestError
from lavendershift.eventreports import open_reporter
from lavendershift.handlers import AdmittedHandler, make_web_application
from lavendershift.ledgersessions import (
    LedgerSession,
    SessionSettings,
    make_incarnation,
)
from lavendershift.maintenance import (
    CheckpointTurns,
    EvictionProposer,
    OrderSender,
    PolicyRunner,
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

QUEUE_INTERVAL = timedelta(milliseconds=50)  # time between polls of queued requests
MEMBERSHIP_INTERVAL = timedelta(seconds=1)  # time between updates of the membership
CLOSE_TIMEOUT = timedelta(seconds=5)  # timeout for the log to accept the closing record
# Time between checks for requests in flight.
DRAIN_INTERVAL = timedelta(milliseconds=50)
# Time between checks for a new turn to write checkpoints.
CHECKPOINT_TURN_INTERVAL = timedelta(seconds=1)
ORDER_INTERVAL = timedelta(seconds=1)  # time between checks of the engines' models
# Part of a router's even share of a customer's limits that the router may use
# regardless of the customer's demand at the other routers.
MIN_SHARE = 0.5
# Time from leaving discovery to refusing requests.
DISCOVERY_DELAY = timedelta(seconds=2)

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

    ``rng`` is the source of ids, routing choices and the order of routers in
    discovery responses.
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
        self._attempt_count = 0
        self.handlers: set[AdmittedHandler] = set()  # of requests in flight
        self.incarnation = make_incarnation(settings.vm.name, clock, rng)
        self._min_shares: dict[str, float] = {}
        self._model_names: list[str] = []
        self._is_apply_scheduled = False

    @property
    def configuration(self) -> Configuration:
        """The active configuration."""
        return self.feed.configuration

    def setup(self) -> None:
        """Create all parts and add them in the order in which they start."""
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
        self.demands = DemandTracker(self._clock)
        tls_ca = settings.servers.tls_ca
        self._client = UpstreamClient(
            str(tls_ca) if tls_ca else "", settings.servers.tls
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
        signals.record_folded.connect(self._on_record_folded)
        signals.configuration_changed.connect(self._on_configuration_changed)

    def find_fault(self) -> ErrorKind | None:
        """Return why the router accepts no requests, ``None`` if it does."""
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
        """Log an unexpected exception."""
        self._reporter.log.write_error(error)

    def list_models(self) -> list[str]:
        """Return the sorted names of all models and aliases."""
        return self._model_names

    def list_routers(self, customer: str, failure_domain: str) -> RouterList:
        """Return the routers for a caller, best first."""
        vms = self.configuration.vms()
        addresses = {name: vm.address for name, vm in vms.items() if vm.state == "live"}
        return list_routers(
            customer, failure_domain, self._list_vms(), addresses, self._rng
        )

    async def drain(self) -> None:
        """Leave discovery, finish requests in flight and close the ledgers."""
        self._leaving = True
        await asyncio.sleep(DISCOVERY_DELAY.total_seconds())
        self._stopping = True
        deadline = self._clock.elapsed() + self.settings.shutdown.drain
        while self._has_work_in_flight() and self._clock.elapsed() < deadline:
            await asyncio.sleep(DRAIN_INTERVAL.total_seconds())
        for handler in list(self.handlers):
            # Some may not have run, but only their servers know.
            error = RequestError(ErrorKind.OUTCOME_UNKNOWN, "shutting down")
            handler.end_request(error)
        if not self._has_work_in_flight():
            await asyncio.gather(*(s.close(CLOSE_TIMEOUT) for s in self.sessions))

    def _has_work_in_flight(self) -> bool:
        """Return whether requests, or attempts abandoned by callers, are in flight."""
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
                self._start_new_incarnation,
            )
            for shard in range(settings.ledger.shards)
        ]
        return self.sessions

    def _start_new_incarnation(self) -> None:
        """Continue as a new incarnation after the current one was evicted."""
        vm = self.settings.vm.name
        self.incarnation = make_incarnation(vm, self._clock, self._rng)
        self.membership.replace_own_incarnation(self.incarnation)
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
            self._find_min_share,
            self._make_attempt_id,
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
        dispatch_settings = DispatchSettings(
            settings.servers.connect_timeout, settings.limits.max_buffered_bytes
        )
        self.completions = CompletionDispatcher(
            self._clock,
            dispatch_settings,
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
        self.add_part("load polls", stop=load.stop)
        jobs = [
            ("members", settings.members.poll, members.poll),
            ("load", settings.servers.load_poll, load.poll),
            ("attempts", FLUSH_STEP, self._sender.flush),
            ("queues", QUEUE_INTERVAL, self.placement.poll_queues),
            ("policies", POLICY_INTERVAL, policies.run),
            ("membership", MEMBERSHIP_INTERVAL, self._update_membership),
            ("orders", ORDER_INTERVAL, orders.run),
            ("checkpoints", CHECKPOINT_TURN_INTERVAL, checkpoints.run),
        ]
        for name, interval, job in jobs:
            periodic = Periodic(interval, job, self.report_fault)
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

    def _make_attempt_id(self) -> str:
        self._attempt_count += 1
        return f"{self.incarnation}-{self._attempt_count}"

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

    def _find_min_share(self, customer: str) -> float:
        share = self._min_shares.get(customer)
        if share is None:
            share = find_limit_share(customer, self.settings.vm.name, self._list_vms())
            share *= MIN_SHARE
            self._min_shares[customer] = share
        return share

    def _list_servers(self) -> list[ServerSettings]:
        return list(self.configuration.servers().values())

    def _on_record_folded(
        self, session: LedgerSession, record: Record, **fields: Any
    ) -> None:
        if session not in self.sessions:
            return
        shard = self.budgets.find_shard_by_stream(session.stream)
        verdict = fields["verdict"]
        shard.allocator.apply_record(record, verdict)
        if isinstance(record, Evict) and verdict.counted:
            self._replica.recover(record.incarnation)
        elif isinstance(record, Close):
            self._replica.forget(record.incarnation)

    def _on_configuration_changed(self, feed: ConfigurationFeed, **fields: Any) -> None:
        if feed is not self.feed or self._is_apply_scheduled:
            return
        self._is_apply_scheduled = True
        asyncio.get_running_loop().call_soon(self._apply_configuration)

    def _apply_configuration(self) -> None:
        """Update state derived from the configuration, once per batch of entries."""
        self._is_apply_scheduled = False
        servers = self.configuration.servers()
        models = set(self.configuration.models())
        for server in servers.values():
            models.update(server.models)
        self._model_names = sorted(models)
        self._min_shares.clear()
        self.pool.update_settings(servers)
        self.peers.update_vms(self.configuration.vms())

    async def _update_membership(self) -> None:
        """Update state derived from the membership, and submit due evictions."""
        self._min_shares.clear()
        self._replica.forget_stale()
        self.pool.update_routers(self.membership.count_live())
        self.metrics.set_gauge("requests.in_flight", self.admission.in_flight)
        await self._evictions.run()
