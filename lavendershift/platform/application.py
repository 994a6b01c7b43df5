"""Router process on a VM of the platform: builds and runs its components."""

import asyncio
import logging
import random
import secrets
import signal
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial
from pathlib import Path

from tornado.httputil import HTTPServerRequest

from lavendershift.applications import Application
from lavendershift.capacity.states import STATES
from lavendershift.clocks import BootClock
from lavendershift.connectionreports import ConnectionReports
from lavendershift.connections import ConnectionPool
from lavendershift.crashcontrol import CrashControl
from lavendershift.datagrams import Datagrams, Peer
from lavendershift.evacuation.coldgossip import ColdGossip
from lavendershift.evacuation.homes import Regions
from lavendershift.factgossip import FactGossip
from lavendershift.gateway import Gateway, RetryBounds
from lavendershift.gossip import Gossip
from lavendershift.grantnotices import GrantNotices
from lavendershift.instruments import Instruments
from lavendershift.leases import LeaseBook, read_boot_id
from lavendershift.limitgossip import LimitFacts
from lavendershift.logoutput import StandardOutputHandler
from lavendershift.logs import (
    Event,
    EventLog,
    LibraryHandler,
    format_line,
    in_milliseconds,
)
from lavendershift.looppauses import (
    PauseMeter,
    PauseReports,
    read_processor_time,
)
from lavendershift.memory.budgets import MemoryBudget
from lavendershift.memory.limits import (
    METRICS_CONNECTIONS,
    READINESS_CONNECTIONS,
    count_server_connections,
    derive_limits,
)
from lavendershift.overload.forwarding import ConnectionForwarding, Target
from lavendershift.overload.meters import OverloadMeter
from lavendershift.permits import Permits
from lavendershift.platform.callers import CallerServer
from lavendershift.platform.directory import SyncHttpServer, VmDirectory
from lavendershift.platform.feeds import ConfigurationFeed, ServerFeed
from lavendershift.platform.grants import StoreQuotaLog
from lavendershift.platform.leases import StoreLeaseLog
from lavendershift.platform.nodereports import NodeReports
from lavendershift.platform.nodesettings import (
    NodeSettings,
    SettingsError,
    load_node_settings,
)
from lavendershift.platform.presence import PresenceFeed, PresenceWriter
from lavendershift.platform.serverwire import PlatformServerWire
from lavendershift.platform.settingswatch import watch_file
from lavendershift.platform.store import StoreClient
from lavendershift.prepaid import LARGE_FLEET
from lavendershift.preparations import Backends
from lavendershift.recordexchange import RecordExchange
from lavendershift.requestreports import RequestReports
from lavendershift.routes import RoutingTable
from lavendershift.serverlimits import LimitState
from lavendershift.serverlist import ServerList
from lavendershift.serverplaces import ServerPlaces
from lavendershift.serversignals import Incarnation
from lavendershift.serverstates import ServerEntry
from lavendershift.skips import SkipReports
from lavendershift.stops import plan_stop
from lavendershift.storehistories import History
from lavendershift.supervision import LoopSupervisor
from lavendershift.tokendraws import TokenDraws
from lavendershift.tokenloans import MAX_STANDBY_LENDERS, Lender, TokenLoans
from lavendershift.tokenstocks import TokenStocks
from lavendershift.vmlist import VmList, VmRow, find_listing_expiry
from lavendershift.workingset import Activity, WorkingSet, estimate_capacity

# Time for responses in the sockets' buffers to be sent, if there is that much.
FLUSH_TIME = timedelta(milliseconds=200)
# Smallest number of VMs among which retries are divided, as a VM that starts doesn't
# know the others yet.
MIN_RETRY_SHARERS = 3
ACTIVE_RETRY_SHARE = 0.8  # fraction of the fleet's retries that the active VMs share
METRICS_PORT = 9464  # default port of the text format of the metrics
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Time for which a VM tells the others that it lost tokens with its power.
LOSS_MEMORY = timedelta(seconds=30)
# Interval between checks for stale idle connections.
IDLE_SWEEP_INTERVAL = timedelta(seconds=2)


class NodeApplication(Application):
    """Serves callers on one VM of the platform."""

    def __init__(
        self,
        settings: NodeSettings,
        clock: BootClock,
        rng: random.Random,
        log: EventLog,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._log = log
        self._instruments = Instruments()
        self._reports = NodeReports(log, self._instruments)
        self._tasks: list[asyncio.Task[None]] = []
        self._supervisor = LoopSupervisor(clock, self._reports.report_loop_failure)
        self._is_leaving = False
        self._prepaid: dict[str, int] = {}
        self._stop_requested_at: timedelta | None = None
        incarnation = f"{settings.name}/{secrets.token_hex(4)}"
        memory = derive_limits(settings.memory_mb, settings.max_fds)
        self._budget = MemoryBudget(clock, memory.held_bytes)
        self._connections = ConnectionPool(clock)
        # The store's connections are among the reserved descriptors.
        self._store_connections = ConnectionPool(clock)
        self._store = StoreClient(
            settings.store_address,
            self._store_connections,
            clock,
            self._reports.report_call,
        )
        row = VmRow(
            settings.name,
            "",
            settings.failure_domain,
            incarnation,
            0,
            False,
            peer_address=f"{settings.ip}:{settings.peer_port}",
            capacity=estimate_capacity(settings.cores, settings.link_mbps),
        )
        self._vms = VmList(clock, row, find_listing_expiry(settings.stable_window))
        self._working_set = WorkingSet(clock, self._vms.list_serving)
        self._activity = Activity(clock, self._working_set, settings.name)
        self._servers = ServerList(clock, rng, settings.failure_domain)
        self._datagrams = Datagrams()
        self._skips = SkipReports(clock, log)
        self._skips.on_skipped = self._note_skipped
        self._datagrams.on_dropped = self._note_dropped
        self._gossip = Gossip(
            clock,
            settings.name,
            incarnation,
            self._servers,
            self._list_active_peers,
            self._list_heartbeat_peers,
            self._datagrams,
        )
        self._gossip.on_leaving = self._vms.note_leaving
        self._servers.on_load_change = self._gossip.note_change
        self._servers.on_leaving = self._note_server_leaving
        self._servers.on_invalid_limit = self._note_invalid_limit
        self._servers.on_silence = self._reports.report_silence
        self._servers.speeds.on_change = self._reports.report_speed
        self._servers.count_vms = self._working_set.count
        self._servers.limits.on_change = self._note_limit
        self._servers.evacuations.on_change = self._reports.report_evacuation
        self._servers.cold.bounds = settings.cold_bounds
        ColdGossip(self._servers, self._datagrams, self._list_all_peers)
        self._crash_control = CrashControl(
            clock,
            rng,
            log,
            self._instruments,
            self._connections,
            self._datagrams,
            self._list_all_peers,
            self._find_keeper,
        )
        self._limit_facts = LimitFacts(self._servers.limits)
        self._fact_gossip = FactGossip(
            [self._limit_facts, self._crash_control.facts],
            self._datagrams,
            self._list_all_peers,
            self._find_keeper,
        )
        self._crash_control.announce = self._fact_gossip.announce
        permits = Permits(
            clock, self._servers.limits, self._datagrams, self._find_keeper
        )
        permits.on_taken = lambda outcome: self._instruments.count("permits", outcome)
        places = self._make_places(rng) if settings.shares_places else None
        self._vms.set_silence_lookup(self._gossip.find_silence)
        self._draws = TokenDraws(
            clock,
            [
                StoreQuotaLog(self._store, partition)
                for partition in range(settings.partitions)
            ],
            incarnation,
            self._list_prepaid,
            self._working_set.count,
            self._vms.sum_demand,
            LeaseBook(
                clock,
                StoreLeaseLog(
                    self._store,
                    settings.name,
                    settings.partitions,
                    partial(self._skips.note, "lease snapshot"),
                ),
                incarnation,
                read_boot_id(),
                self._reports.report_adopted,
                self._note_tokens_lost,
            ),
            self._note_draw,
            self._reports.report_grants_reached,
            self._activity.is_active,
            self._find_rank,
            lambda customer, reason: self._skips.note("quota", reason, customer),
            self._vms.measure_lost_fraction,
        )
        self._store.on_history = self._note_history
        self._grant_notices = GrantNotices(
            rng,
            self._datagrams,
            self._list_active_peers,
            self._draws.grants,
            lambda: self._store.address,
        )
        self._draws.grants.listen(self._grant_notices.inquire)
        self._stocks = TokenStocks(
            clock,
            settings.name,
            incarnation,
            self._draws.measure_free,
            lambda: self._draws.is_store_reachable,
            lambda: self._list_active_peers() if self._activity.is_active() else [],
            self._datagrams,
        )
        loans = TokenLoans(
            incarnation,
            self._draws,
            self._datagrams,
            self._find_lenders,
            self._note_loan,
        )
        self._draws.use_loans(loans.borrow, self._is_lender, loans.find_failure)
        reports = RequestReports(clock, log, self._instruments)
        self._gateway = Gateway(
            clock,
            rng,
            Backends(
                self._servers,
                self._connections,
                permits,
                self._crash_control.detector,
                self._crash_control.quarantine,
                PlatformServerWire(),
                places,
                self._budget,
            ),
            self._draws,
            reports,
            RetryBounds(settings.retry_share, settings.retry_slack),
            self._find_retry_share,
        )
        self._overload = OverloadMeter(clock, read_processor_time)
        if settings.refuses_overload:
            self._gateway.admission.find_excess = self._overload.find_excess
            self._gateway.admission.find_lag = lambda: self._overload.lag
        self._gateway.take_trial = self._crash_control.trials.take
        self._gateway.on_arrival = self._activity.note_arrival
        self._gateway.estimate_peer_tokens = self._estimate_peer_tokens
        forwarding = (
            self._make_forwarding(rng) if settings.forwards_connections else None
        )
        self._callers = CallerServer(
            clock, self._gateway, memory, self._budget, forwarding, settings.ip
        )
        self._callers.is_vm = self._vms.is_vm
        self._callers.on_forwarded = lambda outcome: self._instruments.count(
            "connections_forwarded", outcome
        )
        self._connections.find_limit = lambda: count_server_connections(
            memory, self._callers.count_descriptors()
        )
        self._callers.on_connection = self._connections.trim
        self._callers.find_customer = self._gateway.find_customer
        self._callers.on_connection_refused = lambda: self._instruments.count(
            "connections_refused"
        )
        self._callers.on_refusal = reports.report_rejected
        self._callers.on_connection_end = ConnectionReports(
            log, self._instruments, self._find_version
        ).report
        self._directory = VmDirectory(
            self._vms, self._working_set, settings.resolve_ttl
        )
        self._directory.regions = self._servers.regions = Regions(settings.regions)
        self._directory_server = SyncHttpServer(
            self._directory.handle,
            max_connections=memory.directory_connections,
        )
        self._readiness_server = SyncHttpServer(
            self._handle_readiness, max_connections=READINESS_CONNECTIONS
        )
        self._metrics_server = SyncHttpServer(
            self._handle_metrics, METRICS_TYPE, METRICS_CONNECTIONS
        )
        pause_reports = PauseReports(clock, log, self._instruments)
        self._pauses = PauseMeter(
            clock,
            read_processor_time,
            pause_reports.report,
            self._overload.note_pause,
        )
        self._configuration = ConfigurationFeed(
            clock,
            self._store,
            log,
            rng,
            self._accept_table,
            settings.apply_time,
            self._servers.evacuations,
            self._activity.is_active,
        )
        self._exchange = RecordExchange(
            clock,
            rng,
            self._datagrams,
            self._list_all_peers,
            self._configuration.accept_version,
        )
        self._exchange.schedule = lambda delay, function: (
            asyncio.get_running_loop().call_later(delay.total_seconds(), function)
        )
        self._exchange.on_notice = lambda outcome: self._instruments.count(
            "version_notices", outcome
        )
        self._configuration.on_read = self._exchange.note
        self._server_feed = ServerFeed(
            clock,
            self._store,
            log,
            self._servers,
            self._close_connections,
            settings.drain,
            settings.heartbeat_interval,
            self._activity.is_active,
        )
        self._presence_feed = PresenceFeed(
            clock, self._store, log, self._vms, self._activity.is_active
        )
        for feed in (self._configuration, self._server_feed, self._presence_feed):
            feed.skips.on_skipped = self._note_skipped
            feed.measure = self._pauses.measure
        self._presence = PresenceWriter(
            self._store,
            self._vms,
            self._draws.measure_demand,
            self._activity.measure_arrivals,
            self._activity.is_active,
        )

    def _make_forwarding(self, rng: random.Random) -> ConnectionForwarding:
        return ConnectionForwarding(
            self._clock,
            rng,
            self._measure_load,
            self._find_forwarding_source,
            self._list_forwarding_targets,
        )

    def _make_places(self, rng: random.Random) -> ServerPlaces:
        places = ServerPlaces(
            self._clock, rng, self._servers, self._datagrams, self._find_keeper
        )
        places.on_taken = lambda outcome: self._instruments.count("places", outcome)
        return places

    @property
    def is_ready(self) -> bool:
        """Whether callers may be directed to this VM."""
        return (
            self._gateway.table is not None
            and self._server_feed.is_ready
            and self._draws.has_synced
            and not self._is_leaving
        )

    def setup(self) -> None:
        """Register the listeners and the background loops."""
        self.add_part("listeners", self._listen)
        self.add_part("loops", self._start_loops, self._stop_loops)
        self.add_part("log", self._log_start, self._log_stop)

    async def _listen(self) -> None:
        settings = self._settings
        self._readiness_server.listen(settings.ready_address)
        if settings.directory_address:
            self._directory_server.listen(settings.directory_address)
        self._callers.listen(settings.callers_address)
        self._metrics_server.listen(f"{settings.ip}:{METRICS_PORT}")
        await self._datagrams.listen(settings.ip, settings.peer_port)

    async def _start_loops(self) -> None:
        loops: dict[str, Callable[[], Awaitable[None]]] = {
            "configuration": self._configuration.run,
            "servers": self._server_feed.run,
            "vms": self._presence_feed.run,
            "draws": self._draws.run,
            "snapshots": self._draws.run_snapshots,
            "stocks": self._stocks.run,
            "row": self._maintain_row,
            "gossip": self._gossip.run,
            "facts": self._fact_gossip.run,
            "connections": self._close_stale_connections,
            "pauses": self._pauses.run,
        }
        for name, loop in loops.items():
            self._start_loop(name, loop)

    def _start_loop(self, name: str, loop: Callable[[], Awaitable[None]]) -> None:
        running = self._supervisor.run(name, loop)
        self._tasks.append(asyncio.ensure_future(running))

    async def _stop_loops(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._datagrams.close()
        self._connections.close()
        self._store_connections.close()

    async def _log_start(self) -> None:
        self._log.write(Event.PROCESS_STARTED)

    async def _log_stop(self) -> None:
        self._log.write(Event.PROCESS_STOPPED)

    async def _maintain_row(self) -> None:
        """Publish this VM's address once it is ready, and renew its row."""
        while not self.is_ready:
            await asyncio.sleep(0.05)
        self._vms.set_own(
            self._vms.own._replace(address=self._settings.callers_address)
        )
        await self._presence.run()

    async def _close_stale_connections(self) -> None:
        while True:
            await asyncio.sleep(IDLE_SWEEP_INTERVAL.total_seconds())
            self._connections.drop_stale()
            self._store_connections.drop_stale()

    def request_stop(self) -> None:
        """Ask the process to drain and stop."""
        if self._stop_requested_at is None:
            self._stop_requested_at = self._clock.elapsed()
        super().request_stop()

    async def drain(self) -> None:
        """Leave the list of VMs, then wait until requests in flight end."""
        requested = self._stop_requested_at or self._clock.elapsed()
        times = plan_stop(requested, self._settings.grace)
        self._note_stop("requested")
        self._is_leaving = True
        self._vms.set_own(self._vms.own._replace(is_leaving=True))
        self._callers.announce_leaving()
        self._gossip.announce_leaving(self._vms.list_peers(self._vms.list_names()))
        self._start_loop("leaving", self._announce_leaving)
        await self._sleep_until(times.closing)
        self._callers.stop_listening()
        self._draws.return_all()
        self._note_stop("closed")
        await self._callers.wait_idle(times.ending)
        self._callers.end_requests()
        self._note_stop("ended")
        await self._callers.wait_idle(times.flushed)
        self._callers.close_connections()
        self._note_stop("flushed")
        await self._sleep_until(min(self._clock.elapsed() + FLUSH_TIME, times.flushed))

    async def _announce_leaving(self) -> None:
        await self._presence.announce()
        self._note_stop("announced")

    async def _sleep_until(self, time: timedelta) -> None:
        delay = time - self._clock.elapsed()
        await asyncio.sleep(max(delay.total_seconds(), 0))

    def _note_stop(self, stage: str) -> None:
        """Log a stage of the stop, and how far callers' requests have come."""
        now = self._clock.elapsed()
        since = now - (self._stop_requested_at or now)
        counts = self._callers.count_stages()
        self._log.write(
            Event.PROCESS_STOPPING,
            stage=stage,
            reason=" ".join(
                f"{request_stage.value}={count}"
                for request_stage, count in counts.items()
            ),
            duration_ms=in_milliseconds(since),
        )

    def reload(self, path: Path) -> None:
        """Reload the settings, except for the addresses of this VM.

        If the file can't be read, the active settings stay.
        """
        try:
            settings = load_node_settings(path)
        except SettingsError as error:
            self._skips.note("settings", str(error))
            return
        self._settings = settings
        self._store.follow(settings.store_address)
        self._gateway.set_retry_bounds(
            RetryBounds(settings.retry_share, settings.retry_slack)
        )
        self._servers.cold.bounds = settings.cold_bounds
        self._log.write(Event.SETTINGS_RELOADED)

    def _handle_readiness(self, request: HTTPServerRequest) -> tuple[int, bytes]:
        return (200 if self.is_ready else 503), b"{}"

    def _handle_metrics(self, request: HTTPServerRequest) -> tuple[int, bytes]:
        self._update_gauges()
        return 200, self._instruments.render()

    def _update_gauges(self) -> None:
        instruments = self._instruments
        for name, account in self._draws.accounts.items():
            instruments.set_gauge("tokens_free", account.free, name)
            instruments.set_gauge("tokens_reserved", account.reserved, name)
            instruments.set_gauge("tokens_left", self._draws.count_left(name), name)
        instruments.set_gauge("configuration_version", self._find_version())
        instruments.set_gauge("servers", len(self._servers))
        limited = self._servers.limits.list_limited()
        instruments.set_gauge("servers_limited", len(limited))
        states = Counter(server.speed_state for server in self._servers.list_servers())
        for state in STATES:
            instruments.set_gauge("servers_by_speed", states[state], state)
        evacuated = self._servers.evacuations.count()
        instruments.set_gauge("domains_evacuated", evacuated)
        instruments.set_gauge("servers_cold", self._servers.cold.count())
        quarantines = len(self._crash_control.quarantine.list_active())
        instruments.set_gauge("quarantines", quarantines)
        instruments.set_gauge("overload_excess", self._overload.find_excess())
        instruments.set_gauge("held_bytes", self._budget.used)
        instruments.set_gauge("vms", self._vms.count())
        instruments.set_gauge("vms_active", self._working_set.count())
        now = self._clock.elapsed()
        for feed in (self._configuration, self._server_feed, self._presence_feed):
            if feed.read_at is not None:
                age = (now - feed.read_at).total_seconds()
                instruments.set_gauge("belief_age", age, feed.name)

    def _find_version(self) -> int:
        """Return the version of the configuration in force, 0 if there is none."""
        table = self._gateway.table
        return table.version if table else 0

    def _note_history(self, history: History) -> None:
        self._instruments.count("store_histories")
        self._draws.note_restore()

    def _list_prepaid(self) -> dict[str, int]:
        return self._prepaid

    def _accept_table(self, table: RoutingTable) -> None:
        self._gateway.table = self._directory.table = table
        self._prepaid = {
            customer.name: customer.prepaid
            for customer in table.customers.values()
            if customer.prepaid is not None
        }
        self._servers.cold.services = {
            name: service.cold for name, service in table.services.items()
        }
        self._draws.mark_totals_known()
        self._callers.update_limits(table.limits)

    def _close_connections(self, entry: ServerEntry) -> None:
        self._connections.drop(entry.address)

    def _note_server_leaving(self, entry: ServerEntry) -> None:
        """Handle a server's shutdown, announced in a response or by another VM."""
        self._connections.drop(entry.address)
        self._reports.report_leaving(entry)
        self._gossip.announce_server_leaving(entry)

    def _note_limit(
        self, incarnation: Incarnation, state: LimitState, is_own: bool
    ) -> None:
        """Handle a server's new limit, named in a response or by another VM."""
        self._reports.report_limit(incarnation, state, is_own)
        if is_own:
            self._fact_gossip.announce(self._limit_facts, {incarnation: state})

    def _note_invalid_limit(self, entry: ServerEntry) -> None:
        self._skips.note("limit", "", server=entry.id)

    def _list_all_peers(self) -> list[Peer]:
        """Return the datagram addresses of all other VMs."""
        return self._vms.list_peers(self._vms.list_names())

    def _find_keeper(self, key: str) -> Peer | None:
        """Return the VM that keeps a server's permits or another fact.

        Returns ``None`` if it is this one.
        """
        ranked = self._working_set.rank_members()
        name = self._vms.choose_keeper(key, ranked)
        if name == self._vms.own.name:
            return None
        (address,) = self._vms.list_peers([name])
        return address

    def _note_draw(self, customer: str, tokens: int, granted: int) -> None:
        account = self._draws.find_account(customer)
        if tokens > 0:
            era = self._draws.grants.find_era(customer)
            self._grant_notices.tell(customer, granted, era)
        self._reports.report_draw(customer, tokens, granted, account.free)

    def _find_retry_share(self) -> float:
        """Return this VM's share of the fleet's retries."""
        if self._activity.is_active():
            return ACTIVE_RETRY_SHARE / max(
                self._working_set.count(), MIN_RETRY_SHARERS
            )
        return (1 - ACTIVE_RETRY_SHARE) / max(self._vms.count(), MIN_RETRY_SHARERS)

    def _list_active_peers(self) -> list[Peer]:
        """Return the datagram addresses of the other active VMs."""
        return self._vms.list_peers(self._working_set.list_names())

    def _measure_load(self) -> float:
        """Return the load of the processor, 1 if the event loop can't keep up.

        A host may limit the processor time to less than a core, so that the measured
        load stays low.
        """
        return 1.0 if self._overload.find_excess() else self._overload.load

    def _find_forwarding_source(self) -> Target:
        """Return this VM, as one that forwards connections."""
        row = self._vms.own
        arrivals = self._activity.measure_arrivals()
        return Target(row.address, row.failure_domain, row.capacity, arrivals)

    def _list_forwarding_targets(self) -> list[Target]:
        """Return the other active VMs, which may take connections of this one."""
        rows = self._vms.find_rows(self._working_set.list_names())
        return [
            Target(row.address, row.failure_domain, row.capacity, row.arrivals)
            for row in rows
            if row.address and not row.is_leaving
        ]

    def _list_heartbeat_peers(self) -> list[Peer]:
        """Return the VMs that get this VM's heartbeats, none while it stands by.

        They are the active VMs, and those of its failure domain, which give its
        address to callers.
        """
        if not self._activity.is_active():
            return []
        names = {*self._working_set.list_names(), *self._vms.list_domain_peers()}
        return self._vms.list_peers(names)

    def _find_lenders(self, customer: str) -> list[Lender]:
        """Return the other VMs to borrow a customer's tokens from, the best first.

        In a large fleet, the VM that comes first draws tokens for the others. Without
        contact with the store, standby VMs that may reach it come last.
        """
        active = self._working_set.list_names()
        rows = self._vms.rank_lenders(customer, active)
        names = [row.name for row in rows if row.name != self._vms.own.name]
        if self._working_set.count() < LARGE_FLEET:
            names = self._stocks.rank_holders(customer, names)
        lenders = [
            Lender(peer, self._stocks.find_stock(name, customer))
            for name in names
            for peer in self._vms.list_peers([name])
        ]
        if not self._draws.is_store_reachable:
            standby = [r.name for r in self._vms.rank_standby(customer, active)]
            peers = self._vms.list_peers(standby[:MAX_STANDBY_LENDERS])
            lenders += [Lender(peer, is_standby=True) for peer in peers]
        return lenders

    def _find_rank(self, customer: str) -> int:
        """Return this VM's rank among the active VMs by a customer's demand."""
        demand = self._draws.find_account(customer).find_rate(self._clock.elapsed())
        names = self._working_set.list_names()
        ranked = self._vms.rank_by_demand(customer, names, demand)
        own = self._vms.own.name
        return ranked.index(own) if own in ranked else len(ranked)

    def _estimate_peer_tokens(self, customer: str) -> int | None:
        """Return the most tokens of a customer that another active VM holds.

        Returns ``None`` if that is unknown, or if one of them can draw more.
        """
        own = self._vms.own.name
        names = [name for name in self._working_set.list_names() if name != own]
        return self._stocks.estimate_largest(customer, names)

    def _is_lender(self, customer: str) -> bool:
        """Whether this VM draws a customer's tokens on behalf of the others."""
        ranked = self._vms.rank_lenders(customer, self._working_set.list_names())
        return ranked[0].name == self._vms.own.name

    def _note_loan(self, customer: str, tokens: int) -> None:
        free = self._draws.find_account(customer).free
        self._reports.report_loan(customer, tokens, free)

    def _note_tokens_lost(self, tokens: int) -> None:
        """Report tokens lost with the VM's power; its row says so for a while."""
        self._reports.report_lost(tokens)
        self._vms.set_own(self._vms.own._replace(has_lost_tokens=True))
        asyncio.get_running_loop().call_later(
            LOSS_MEMORY.total_seconds(),
            lambda: self._vms.set_own(self._vms.own._replace(has_lost_tokens=False)),
        )

    def _note_skipped(self, kind: str) -> None:
        self._instruments.count("skipped_entries", kind)

    def _note_dropped(self, error: Exception) -> None:
        self._skips.note_failure("datagram", error)


def make_log(settings: NodeSettings, clock: BootClock) -> EventLog:
    """Return the event log of the process, which writes to standard output."""
    handler = StandardOutputHandler(sys.stdout.fileno(), "INFO")
    handler.formatter = format_line
    return EventLog(handler, settings.name, settings.failure_domain, clock)


async def run_node(path: Path, clock: BootClock, rng: random.Random) -> None:
    """Run the process with the settings file at ``path`` until it is stopped."""
    settings = load_node_settings(path)
    log = make_log(settings, clock)
    logging.getLogger().addHandler(LibraryHandler(log))
    application = NodeApplication(settings, clock, rng, log)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, application.reload, path)
    watching = asyncio.ensure_future(watch_file(path, application.reload))
    try:
        await application.run()
    finally:
        watching.cancel()
